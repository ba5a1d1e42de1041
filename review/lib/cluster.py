"""A small deployment on loopback: the scheduling hosts as separate processes, and
stand-ins for the platform's table store, the workers and the clients.

The stand-ins follow PROTOCOL.md. Limits of the store (row size, size and entries of a
call) are those of the settings that DEPLOY.md shows. Faults are added by the cases.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/gypsumfall/main/gypsumfall")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ROW_BYTES = 65536
CALL_BYTES = 1 << 20
CALL_ENTRIES = 100
TRANSACTION_S = 0.006
MAX_HOLD_MS = 6000
STOP_S = 0.1
HEARTBEAT_S = 1.1


class CannotRun(Exception):
    """The case could not be carried out; nothing is said about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(w) for w in words)
        print(line, file=self.file, flush=True)


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


# --- HTTP ---------------------------------------------------------------------------


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    first = await reader.readline()
    if not first.strip():
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.decode("latin-1").strip(), headers, body


class HttpServer:
    """Answers with what `handle(method, path, query, headers, body)` returns: a status
    and a JSON value, or None, which leaves the request unanswered."""

    def __init__(self, handle, port):
        self.handle, self.port = handle, port
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port,
                                                 limit=1 << 22)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:  # No answer ever on this connection.
                    await reader.read()
                    break
                status, value = answer
                text = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(port, method, path, host, value=None, timeout=3.0):
    """Returns the status and the decoded body, or None if there was no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        try:
            body = b"" if value is None else json.dumps(value).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"X-Deadline-Ms: {int(timeout * 1000)}\r\n"
                          "Content-Type: application/json\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return None
            line, _, text = message
            return int(line.split(" ")[1]), json.loads(text or b"{}")
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, OSError):
        return None


# --- The platform's table store -----------------------------------------------------


class Store:
    """`fault(method, path, query, body)` may return an answer that replaces the store's:
    a status, or a number of seconds after which the call is done without an answer."""

    def __init__(self, port, record):
        self.rows, self.log = {}, []
        self.version, self.history_from = 1, 0
        self.changed = asyncio.Condition()
        self.parts = {}
        self.fault = lambda method, path, query, body: None
        self.record = record
        self.refused = 0
        self.server = HttpServer(self._handle, port)
        self.port = port

    def put(self, table, part, key, value):
        """Writes a row as the operator or a worker does; `value` is JSON or None."""
        self.version += 1
        self._write((table, part, key), None if value is None else
                    base64.b64encode(json.dumps(value).encode()).decode())

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0])

    def forget_history(self):
        self.history_from = self.version
        self.log = []

    def _write(self, address, value):
        if value is None:
            self.rows.pop(address, None)
        else:
            self.rows[address] = (value, self.version)
        self.log.append((self.version, address, value))
        asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def _row(address, value, version):
        row = {"table": address[0], "part": address[1], "key": address[2],
               "rowVersion": version}
        row.update({"deleted": True} if value is None else {"value": value})
        return row

    def _page(self, rows, **more):
        return {"rows": rows, "rowVersion": self.version,
                "nowMs": int(time.monotonic() * 1000), **more}

    async def _handle(self, method, path, query, headers, body):
        fault = self.fault(method, path, query, body)
        if isinstance(fault, int):
            return fault, {}
        handler = {"/rows-tx": self._transact, "/rows-get": self._get,
                   "/rows-feed": self._feed}[path]
        if fault is not None:
            asyncio.get_running_loop().create_task(self._do_late(fault, handler, query, body))
            return None
        return await handler(query, body)

    async def _do_late(self, seconds, handler, query, body):
        await asyncio.sleep(seconds)
        status, _ = await handler(query, body)
        self.record("store: a call is done late, without an answer; its result:", status)

    async def _transact(self, query, body):
        call_ = json.loads(body)
        expect, puts, remove = (call_.get(k, []) for k in ("expect", "puts", "remove"))
        parts = {r.get("part", "") for r in expect + puts + remove}
        if len(body) > CALL_BYTES or len(expect + puts + remove) > CALL_ENTRIES or \
                len(parts) > 1 or any(len(base64.b64decode(p["value"])) > ROW_BYTES
                                      for p in puts):
            self.refused += 1
            if self.refused % 50 == 1:
                sizes = sorted(len(base64.b64decode(p["value"])) for p in puts)
                self.record("store: refuses a transaction over its limits; largest values",
                            sizes[-2:], "of", ROW_BYTES, "bytes; refusal", self.refused)
            return 400, {}
        async with self.parts.setdefault(parts.pop(), asyncio.Lock()):
            await asyncio.sleep(TRANSACTION_S)
            address = lambda r: (r["table"], r.get("part", ""), r["key"])
            for r in expect:
                row = self.rows.get(address(r))
                if (row[1] if row else 0) != r["rowVersion"]:
                    current = [self._row(address(e), *self.rows[address(e)])
                               for e in expect if address(e) in self.rows]
                    return 412, self._page(current)
            self.version += 1
            for r in puts:
                self._write(address(r), r["value"])
            for r in remove:
                self._write(address(r), None)
            return 200, self._page([])

    async def _get(self, query, body):
        await asyncio.sleep(0.002)
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(a for a in self.rows
                      if a[0] == query["table"] and a[1] == query.get("part", "") and
                      a[2].encode() >= query.get("from", "").encode() and
                      ("target" not in query or a[2] < query["target"]))
        return 200, self._page([self._row(a, *self.rows[a]) for a in keys[:limit]],
                               hasMore=len(keys) > limit)

    async def _feed(self, query, body):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.history_from:
                return 410, self._page([])
            rows = [self._row(a, value, version) for version, a, value in self.log
                    if version > after and a[0] == table]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._page(rows)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# --- Workers ------------------------------------------------------------------------


class Worker:
    """A worker as in "Running tasks". A task works for the milliseconds that its
    taskSpec names ("work 50"), or until it is stopped ("lasts")."""

    def __init__(self, cluster, name, port, zone, rack):
        self.cluster, self.name, self.port = cluster, name, port
        self.born = int(time.time() * 1000)
        self.start_clock = time.monotonic()
        self.fence, self.deadline = 0, 0
        self.running, self.ends, self.last_end, self.highest = {}, [], 0, {}
        self.last_seen = 0
        self.ended = asyncio.Condition()
        self.server = HttpServer(self._handle, port)
        self.entry = {"service": "desk", "address": f"127.0.0.1:{port}", "zone": zone,
                      "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                      "sequence": 1, "born": self.born,
                      "capacity": {"cpu": 32000, "memMb": 125000, "gpus": 0},
                      "labels": ["plain", rack]}

    def clock(self):
        return int((time.monotonic() - self.start_clock) * 1000)

    async def run(self):
        await self.server.start()
        while True:
            self.entry["sequence"] += 1
            if ("servers", "", self.name) not in self.cluster.store.rows:
                self.cluster.store.put("servers", "", self.name, self.entry)
            for _ in range(22):
                await asyncio.sleep(HEARTBEAT_S / 22)
                if self.running and self.clock() > self.deadline:
                    for task in list(self.running):
                        await self._end(task, "lapsed")

    async def _end(self, task, how):
        run, timer = self.running.pop(task)
        if timer:
            timer.cancel()
        self.last_end += 1
        self.ends.append([self.last_end, task, run, how, ""])
        self.cluster.on_end(self, task, run, how)
        async with self.ended:
            self.ended.notify_all()

    async def _handle(self, method, path, query, headers, body):
        if headers.get("x-target-instance", self.name) != self.name:
            return 421, {}
        value = json.loads(body)
        fence = value.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        return await {"/run-start": self._start, "/run-stop": self._stop,
                      "/hold": self._hold, "/pace": self._pace}[path](value)

    def _extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + MAX_HOLD_MS))

    async def _start(self, value):
        task, run, spec = value["task"], value["run"], value["taskSpec"]
        if value["deadlineMs"] < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self._extend(value["deadlineMs"])
        if task in self.running and self.running[task][0] == run:
            return 200, {"clockMs": self.clock()}
        if run <= self.highest.get(task, 0) or task in self.running:
            return 409, {"clockMs": self.clock(), "reason": "old"}
        timer = None
        if spec.startswith("work "):
            async def work():
                await asyncio.sleep(int(spec.split()[1]) / 1000)
                if task in self.running:
                    run_, _ = self.running[task]
                    self.running[task] = (run_, None)
                    await self._end(task, "done")
            timer = asyncio.get_running_loop().create_task(work())
        self.running[task] = (run, timer)
        self.highest[task] = run
        self.cluster.on_start(self, task, run, value)
        return 200, {"clockMs": self.clock()}

    async def _stop(self, value):
        task, run = value["task"], value["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.running and self.running[task][0] <= run:
            async def stop():
                await asyncio.sleep(STOP_S)
                if task in self.running and self.running[task][0] <= run:
                    await self._end(task, "stopped")
            asyncio.get_running_loop().create_task(stop())
        return 200, {"clockMs": self.clock()}

    async def _pace(self, value):
        return 200, {"clockMs": self.clock()}

    async def _hold(self, value):
        self.last_seen = max(self.last_seen, value["lastSeen"])
        self.ends = [e for e in self.ends if e[0] > value["lastSeen"]]
        if "deadlineMs" in value:
            self._extend(value["deadlineMs"])
        if not self.ends and value.get("waitMs"):
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), value["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
        running = [[t, run, "", 100 if timer is None else 50, 0]
                   for t, (run, timer) in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "endedRuns": self.ends[:500]}


# --- The deployment -----------------------------------------------------------------


class Host:
    def __init__(self, cluster, name, zone):
        self.cluster, self.name, self.zone = cluster, name, zone
        self.front, self.ready, self.peer, self.metrics = free_ports(4)
        self.process = None
        self.settings = os.path.join(cluster.folder, name + ".ini")
        with open(self.settings, "w") as f:
            f.write(f"[host]\nid = {name}\ndata_centre = {zone}\n"
                    f"listen_callers = 127.0.0.1:{self.front}\n"
                    f"listen_health = 127.0.0.1:{self.ready}\n"
                    f"listen_peers = 127.0.0.1:{self.peer}\n"
                    f"listen_metrics = 127.0.0.1:{self.metrics}\n"
                    "processor_share = 0.25\n\n[platform]\n"
                    f"table_service = 127.0.0.1:{cluster.store.port}\n\n[timings]\n"
                    f"max_worker_lease = {MAX_HOLD_MS}ms\nworker_heartbeat = 1100ms\n")

    async def start(self):
        log = open(os.path.join(self.cluster.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "schedule", self.settings, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.cluster.record("host", self.name, "started")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.cluster.record("host", self.name, "gets SIGKILL")


class Cluster:
    def __init__(self, case_folder, hosts=2, workers=4):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(PROGRAM + " is not built")
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="gypsumfall-review-")
        self.store = Store(free_ports(1)[0], self.record)
        self.hosts = [Host(self, f"front-{i + 1}", f"zone-{i % 2}") for i in range(hosts)]
        ports = free_ports(workers)
        self.workers = [Worker(self, f"worker-{i + 1:02}", ports[i], f"zone-{i % 2}",
                               f"r{i % 2}-{i // 4}") for i in range(workers)]
        self.starts, self.run_ends = [], []
        self.quiet = False
        self.tasks = []

    def on_start(self, worker, task, run, value):
        self.starts.append((time.monotonic(), worker.name, task, run))
        if not self.quiet:
            self.record(worker.name, "starts", task, "run", run, "token",
                        value["fencingToken"])

    def on_end(self, worker, task, run, how):
        self.run_ends.append((time.monotonic(), worker.name, task, run, how))
        if not self.quiet:
            self.record(worker.name, "lists", task, "run", run, "as", how)

    async def start(self):
        await self.store.server.start()
        self.store.put("op", "", "config", {
            "version": 1,
            "routes": [{"name": "quotes", "hostname": "desk.example", "pathPrefix": "/q/",
                        "service": "desk", "priority": 1, "maxAttempts": 3, "stretch": 2,
                        "targetLatencyMs": 1000}],
            "services": [{"name": "desk", "enforcesCapacity": False}], "limits": {}})
        for worker in self.workers:
            self.tasks.append(asyncio.get_running_loop().create_task(worker.run()))
        for host in self.hosts:
            await host.start()
        await self.until(self.all_ready, 15, "the hosts are not ready")
        await self.until(self.leader, 15, "no host leads")
        await asyncio.sleep(1.5)

    async def all_ready(self):
        for host in self.hosts:
            answer = await call(host.ready, "GET", "/ready", "ready", timeout=1)
            if answer is None or answer[0] != 200:
                return False
        return True

    def leader(self):
        """The host that the leader row names; used only to choose a host."""
        row = self.store.value("duty", "jobs", "scheduler")
        if not row:
            return None
        record = json.loads(row)
        if record.get("released"):
            return None
        return next((h for h in self.hosts if h.name == record["holder"]), None)

    async def until(self, condition, seconds, problem):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        raise CannotRun(problem)

    async def request(self, host, method, job, value=None, timeout=3.0):
        answer = await call(host.front, method, "/q/" + job, "desk.example", value, timeout)
        self.record("client:", method, job, "at", host.name, "->",
                    "no answer" if answer is None else f"{answer[0]} {answer[1]}")
        return answer

    async def stop(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for task in self.tasks:
            task.cancel()
        for worker in self.workers:
            if worker.server.server:
                worker.server.stop()
        if self.store.server.server:
            self.store.server.stop()
        if os.environ.get("KEEP"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_folder, play, **size):
    """Plays a case. `play(cluster)` returns a text if the rule was broken, else None."""
    async def run():
        cluster = Cluster(case_folder, **size)
        # The hosts are ended also when the script is stopped from outside.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await cluster.start()
            broken = await asyncio.wait_for(play(cluster), 95)
            cluster.record("RULE BROKEN: " + broken if broken else "rule held")
            print("rule broken: " + broken if broken else "rule held")
            return 1 if broken else 0
        except asyncio.TimeoutError:
            cluster.record("could not run: time is up")
            return 2
        finally:
            await cluster.stop()
    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as problem:  # No verdict on the rule.
        print("could not run:", type(problem).__name__, problem)
        status = 2
    sys.exit(status)
