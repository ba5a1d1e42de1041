#!/usr/bin/env python3
"""Measures a deployment of real processes on loopback and injects faults.

Each subcommand starts its own deployment with scripts/cluster, runs for a
limited time, and prints one JSON line per result. See docs/measurements.md.
"""

import argparse
import hashlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BASE_PORT = 24000
CUSTOMER_KEY = "loopback-customer-key"
OPERATOR_KEY = "loopback-operator-key"
LOAD_GENERATOR = os.path.join(ROOT, "build/bench/gypsumfall-load")
WORKER_KINDS = ("--kind stock-check:{run_ms} --kind kit-quote:300 "
                "--kind catalogue-sync:800:200")


def http(method, port, path, body=None, key=OPERATOR_KEY, customer="", timeout=10):
    """Returns (status, text); status 0 means that no response was received."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", method=method,
        data=None if body is None else body.encode(),
        headers={"Authorization": f"Bearer {key}", "X-Customer": customer})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def contract_text(customer="bead-order-desk"):
    with open(os.path.join(ROOT, "examples/bead_order_desk.contract.ini")) as file:
        text = file.read().replace("id = bead-order-desk", f"id = {customer}")
    digest = hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest()
    return "\n".join(f"key_digest = {digest}" if line.startswith("key_digest") else line
                     for line in text.split("\n"))


class Deployment:
    """Entry hosts, workers and the platform stand-in, until stop() is called."""

    def __init__(self, hosts, workers, run_ms=5):
        self.hosts, self.workers = hosts, workers
        self.folder = tempfile.mkdtemp()
        self.key_file = os.path.join(self.folder, "key")
        with open(self.key_file, "w") as file:
            file.write(CUSTOMER_KEY)
        self.environment = dict(os.environ, WORKER_OPTIONS=WORKER_KINDS.format(run_ms=run_ms))
        self.cluster("start", self.folder, "bead", str(hosts), str(workers), str(BASE_PORT))
        for host in range(1, hosts + 1):
            self.await_healthy(host)

    def cluster(self, *arguments):
        subprocess.run([os.path.join(ROOT, "scripts/cluster"), *arguments], check=True,
                       env=self.environment, stdout=subprocess.DEVNULL)

    def port(self, host):
        return BASE_PORT + host

    def pid(self, name):
        """Returns the process id of the child of the timeout command in scripts/cluster."""
        with open(os.path.join(self.folder, f"{name}.pid")) as file:
            parent = file.read().strip()
        with open(f"/proc/{parent}/task/{parent}/children") as file:
            return int(file.read().split()[0])

    def await_healthy(self, host, limit=30):
        end = time.time() + limit
        while time.time() < end:
            if http("GET", self.port(host), "/healthz", timeout=1)[0] == 200:
                return
            time.sleep(0.1)
        raise RuntimeError(f"entry-{host} did not become healthy")

    def put_contract(self, base=0, text=None, host=1, customer="bead-order-desk"):
        body = {"text": text or contract_text(customer), "base_version": base, "author": "lab"}
        return http("PUT", self.port(host), f"/v1/contracts/{customer}", json.dumps(body))

    def load(self, *arguments, targets=None):
        targets = targets or range(1, self.hosts + 1)
        command = [LOAD_GENERATOR, "--targets",
                   ",".join(f"127.0.0.1:{self.port(h)}" for h in targets),
                   "--customer", "bead-order-desk", "--key-file", self.key_file, *arguments]
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def stop(self):
        self.cluster("stop", self.folder)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024


def socket_bytes(pid):
    """Returns the bytes sent and received over the open TCP connections of a process."""
    lines = subprocess.run(["ss", "-tipnH"], capture_output=True, text=True).stdout.split("\n")
    total = 0
    for head, detail in zip(lines[::2], lines[1::2]):
        if f"pid={pid}," not in head:
            continue
        for word in detail.split():
            if word.startswith(("bytes_acked:", "bytes_received:")):
                total += int(word.split(":")[1])
    return total


def report(**values):
    print(json.dumps(values), flush=True)


def measure_idle(deployment, seconds):
    """Returns CPU utilization, memory and traffic of the entry hosts without work."""
    pids = [deployment.pid(f"entry-{h}") for h in range(1, deployment.hosts + 1)]
    before = [(cpu_seconds(p), socket_bytes(p)) for p in pids]
    time.sleep(seconds)
    after = [(cpu_seconds(p), socket_bytes(p)) for p in pids]
    cpu = [100 * (b[0] - a[0]) / seconds for a, b in zip(before, after)]
    traffic = [(b[1] - a[1]) / seconds / 1000 for a, b in zip(before, after)]
    memory = [memory_mb(p) for p in pids]
    return {"cpu_percent_mean": round(sum(cpu) / len(cpu), 2),
            "cpu_percent_max": round(max(cpu), 2),
            "rss_mb_max": round(max(memory), 1),
            "kb_per_s_mean": round(sum(traffic) / len(traffic), 2),
            "kb_per_s_max": round(max(traffic), 2)}


def idle(arguments):
    for hosts, workers in ((7, 16), (7, 65), (7, 130), (7, 260), (2, 65), (4, 65), (12, 65)):
        deployment = Deployment(hosts, workers)
        try:
            deployment.put_contract()
            time.sleep(12)
            report(measure="idle", hosts=hosts, workers=workers,
                   **measure_idle(deployment, arguments.seconds))
        finally:
            deployment.stop()


def throughput(arguments):
    """Measures CPU time per routed request and latency of one entry host, at full
    load and at a fixed rate."""
    deployment = Deployment(1, 40, run_ms=0)
    try:
        text = contract_text().replace("requests_per_second = 10000", "requests_per_second = 90000")
        deployment.put_contract(text=text.replace("burst = 2000", "burst = 20000"))
        time.sleep(4)
        pid = deployment.pid("entry-1")
        for name, options in (
                ("full", ["--loop", "closed", "--connections", "24"]),
                ("half", ["--loop", "open", "--rate", str(arguments.rate), "--connections", "32"])):
            before = cpu_seconds(pid)
            run = deployment.load("--kind", "stock-check", "--count", "1000000", "--seconds",
                                  str(arguments.seconds), "--id-prefix", name, *options)
            result = json.loads(run.communicate()[0])
            used = cpu_seconds(pid) - before
            done = result["by_was_run"].get("yes", 0)
            report(measure="routed", load=name, answered=result["answered"], done=done,
                   per_core_second=round(result["answered"] / max(used, 0.01)),
                   per_second=round(result["answers_per_s"]), errors=result["by_error"],
                   p50_us=result["latency"]["p50_us"], p99_us=result["latency"]["p99_us"],
                   rss_mb=round(memory_mb(pid), 1))
    finally:
        deployment.stop()


def latency(arguments):
    """Measures the latency of the same requests sent through an entry host and sent
    to a worker directly, in alternation, at the same rate."""
    deployment = Deployment(1, 8, run_ms=2)
    worker_key = os.path.join(deployment.folder, "worker-key")
    with open(worker_key, "w") as file:
        file.write("loopback-worker-key")
    try:
        deployment.put_contract()
        time.sleep(4)
        for round_number in range(arguments.turns):
            common = ["--kind", "stock-check", "--loop", "open", "--rate", str(arguments.rate),
                      "--count", "100000", "--seconds", str(arguments.seconds), "--connections",
                      "8", "--id-prefix", f"turn{round_number}"]
            routed = json.loads(deployment.load(*common).communicate()[0])
            direct = json.loads(subprocess.run(
                [LOAD_GENERATOR, "--targets", f"127.0.0.1:{BASE_PORT + 1000}",
                 "--work", "direct", "--key-file", worker_key, "--epoch",
                 str(1000 * (round_number + 1)), *common],
                stdout=subprocess.PIPE, text=True, check=False).stdout)
            report(measure="latency", turn=round_number,
                   routed_us={q: routed["latency"][q] for q in ("p50_us", "p99_us")},
                   direct_us={q: direct["latency"][q] for q in ("p50_us", "p99_us")},
                   routed_done=routed["by_was_run"].get("yes", 0),
                   direct_done=direct["by_was_run"].get("yes", 0),
                   errors=[routed["by_error"], direct["by_error"]])
    finally:
        deployment.stop()


def stops(arguments):
    """Shuts down and restarts the entry hosts one after the other under load. With
    --kill 1 the hosts are killed instead, which must result in cut-off calls."""
    deployment = Deployment(7, 65)
    try:
        deployment.put_contract()
        time.sleep(4)
        load = deployment.load("--kind", "stock-check", "--loop", "open", "--rate",
                               str(arguments.rate), "--count", "10000000", "--seconds",
                               str(arguments.seconds), "--connections", "56")
        end, restarts = time.time() + arguments.seconds - 10, 0
        while time.time() < end:
            host = restarts % 7 + 1
            pid = deployment.pid(f"entry-{host}")
            os.kill(pid, signal.SIGKILL if arguments.kill else signal.SIGTERM)
            while os.path.exists(f"/proc/{pid}"):
                time.sleep(0.05)
            deployment.cluster("start-entry", deployment.folder, str(host))
            deployment.await_healthy(host)
            restarts += 1
        result = json.loads(load.communicate()[0])
        report(measure="kills" if arguments.kill else "planned stops", stops=restarts,
               calls=result["calls"],
               answered=result["answered"], cut_off=result["cut_off"],
               cut_off_on_reuse=result["cut_off_on_reuse"], not_sent=result["not_sent"],
               mismatched=result["mismatched"], errors=result["by_error"],
               was_run=result["by_was_run"], p99_us=result["latency"]["p99_us"])
    finally:
        deployment.stop()


def contracts(arguments):
    """Measures the time from a put until the contract is in force on all 7 entry hosts."""
    deployment = Deployment(7, 16)
    try:
        deployment.put_contract()
        times, incomplete = [], 0
        for change in range(1, arguments.count + 1):
            begin = time.time()
            text = contract_text().replace("burst = 2000", f"burst = {2000 + change}")
            answer = json.loads(deployment.put_contract(change, text, change % 7 + 1)[1])
            times.append(time.time() - begin)
            incomplete += any(h["state"] != "in_force" for h in answer["in_force"])
        times.sort()
        report(measure="contract changes", changes=len(times), incomplete=incomplete,
               p50_s=round(times[len(times) // 2], 3),
               p99_s=round(times[int(0.99 * (len(times) - 1))], 3), max_s=round(times[-1], 3))
    finally:
        deployment.stop()


def customers(arguments):
    """Measures memory and start-up time of one entry host by number of customers."""
    deployment = Deployment(1, 8)
    try:
        stored = 0
        for size in arguments.sizes.split(","):
            while stored < int(size):
                batch = range(stored, min(stored + 40, int(size)))
                puts = [{"key": f"contract/customer-{n}", "value": json.dumps(
                    {"customer": f"customer-{n}", "version": 1, "author": "lab", "token": "lab",
                     "text": contract_text(f"customer-{n}")})} for n in batch]
                http("POST", BASE_PORT, "/v1/transact", json.dumps(
                    {"token": "lab", "checks": [], "puts": puts, "deletes": []}))
                stored += len(batch)
                time.sleep(0.3)
            pid = deployment.pid("entry-1")
            os.kill(pid, signal.SIGKILL)
            while os.path.exists(f"/proc/{pid}"):
                time.sleep(0.05)
            deployment.cluster("start-entry", deployment.folder, "1")
            begin = time.time()
            deployment.await_healthy(1)
            listed = json.loads(http("GET", deployment.port(1), "/v1/contracts")[1])
            report(measure="customers", customers=int(size), loaded=len(listed["contracts"]),
                   healthy_s=round(time.time() - begin, 2),
                   rss_mb=round(memory_mb(deployment.pid("entry-1")), 1))
    finally:
        deployment.stop()


def tasks(arguments):
    """Measures the table rows written per 1000 task starts."""
    deployment = Deployment(7, 65)
    try:
        deployment.put_contract()
        time.sleep(8)
        before = json.loads(http("GET", BASE_PORT, "/standin/stats")[1])
        begin = time.time()
        run = deployment.load("--work", "tasks", "--kind", "kit-quote", "--count",
                              str(arguments.count), "--seconds", "60", "--connections", "64",
                              targets=[1])
        result = json.loads(run.communicate()[0])
        after = json.loads(http("GET", BASE_PORT, "/standin/stats")[1])
        done = result["by_task_end"].get("done", 0)
        seconds = time.time() - begin
        background = arguments.background * seconds
        rows = after["rows_written"] - before["rows_written"]
        report(measure="task writes", done=done, calls=result["calls"], seconds=round(seconds, 1),
               rows=rows, rows_without_host_rows=round(rows - background),
               rows_per_1000_starts=round(1000 * (rows - background) / max(done, 1)),
               ends=result["by_task_end"], p50_accept_ms=result["latency"]["p50_us"] / 1000)
    finally:
        deployment.stop()


class Soak:
    """Injects random faults into a deployment under load and counts version regressions."""

    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.deployment = Deployment(7, 40)
        self.end = time.time() + seconds
        self.fault_counts = {}
        self.highest_versions = {}
        self.version_regressions = 0

    def count_fault(self, name):
        self.fault_counts[name] = self.fault_counts.get(name, 0) + 1

    def inject_store_fault(self, fault, seconds, **options):
        query = "&".join(f"{k}={v}" for k, v in dict(options, fault=fault).items())
        http("POST", BASE_PORT, f"/faults?{query}", "")
        time.sleep(seconds)
        http("DELETE", BASE_PORT, "/faults")

    def inject_worker_fault(self, fault, query=""):
        index = self.random.randrange(40)
        http("POST", BASE_PORT + 999, f"/workers/{index}/{fault}{query}", "")
        return index

    def inject_random_fault(self):
        fault = self.random.choice(
            ["kill entry", "pause entry", "stop entry", "answers lost", "store down", "store slow",
             "worker restart", "worker pause", "worker fails", "racing operators"])
        self.count_fault(fault)
        host = self.random.randrange(2, 8)
        if fault in ("kill entry", "stop entry"):
            pid = self.deployment.pid(f"entry-{host}")
            os.kill(pid, signal.SIGKILL if fault == "kill entry" else signal.SIGTERM)
            while os.path.exists(f"/proc/{pid}"):
                time.sleep(0.05)
            time.sleep(self.random.uniform(0, 3))
            self.deployment.cluster("start-entry", self.deployment.folder, str(host))
            self.deployment.await_healthy(host)
        elif fault == "pause entry":
            pid = self.deployment.pid(f"entry-{host}")
            os.kill(pid, signal.SIGSTOP)
            time.sleep(self.random.uniform(1, 9))
            os.kill(pid, signal.SIGCONT)
        elif fault == "answers lost":
            self.inject_store_fault("applied_answer_lost", 2, op="transact", probability=0.3)
            self.inject_store_fault("not_applied_answer_lost", 1, op="transact", probability=0.3)
        elif fault == "store down":
            self.inject_store_fault("down", self.random.uniform(1, 8))
        elif fault == "store slow":
            self.inject_store_fault("slow", 3, delay_ms=700)
        elif fault == "worker restart":
            index = self.inject_worker_fault("die")
            time.sleep(1)
            http("POST", BASE_PORT + 999, f"/workers/{index}/restart", "")
        elif fault == "worker pause":
            self.inject_worker_fault("pause", f"?ms={self.random.randrange(500, 6000)}")
        elif fault == "worker fails":
            index = self.inject_worker_fault("fail", "?on=1")
            time.sleep(1)
            http("POST", BASE_PORT + 999, f"/workers/{index}/fail?on=0", "")
        else:
            self.put_concurrent_contracts()

    def put_concurrent_contracts(self):
        current = self.version_at(1)
        threads = [threading.Thread(target=self.deployment.put_contract, args=(
            current, contract_text().replace("burst = 2000", f"burst = {2000 + n}"), n))
            for n in (1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def version_at(self, host):
        status, text = http("GET", self.deployment.port(host),
                            "/v1/contracts/bead-order-desk", timeout=1)
        return json.loads(text)["version"] if status == 200 else 0

    def count_version_regressions(self):
        """Counts contract versions that are lower than one the same host reported before."""
        while time.time() < self.end:
            for host in range(1, 8):
                version = self.version_at(host)
                if version and version < self.highest_versions.get(host, 0):
                    self.version_regressions += 1
                self.highest_versions[host] = max(version, self.highest_versions.get(host, 0))
            time.sleep(0.2)

    def await_tasks(self, limit=180):
        """Waits until every accepted task is complete; returns the task counts by status."""
        end = time.time() + limit
        states = {}
        while time.time() < end:
            status, text = http("GET", self.deployment.port(1), "/v1/tasks", key=CUSTOMER_KEY,
                                customer="bead-order-desk")
            if status == 200:
                states = {}
                for task in json.loads(text)["tasks"]:
                    states[task["status"]] = states.get(task["status"], 0) + 1
                if not set(states) & {"accepting", "queued", "starting", "running"}:
                    break
            time.sleep(1)
        return states


def soak(arguments):
    run = Soak(arguments.seed, arguments.seconds)
    deployment = run.deployment
    try:
        deployment.put_contract()
        time.sleep(4)
        seconds = str(arguments.seconds)
        requests = deployment.load("--kind", "stock-check", "--loop", "open", "--rate", "300",
                                   "--count", "10000000", "--seconds", seconds,
                                   "--connections", "28")
        work = [deployment.load("--work", "tasks", "--kind", kind, "--count", count, "--seconds",
                                seconds, "--connections", "8", "--id-prefix", kind,
                                "--task-timeout-ms", "1000", targets=[1])
                for kind, count in (("kit-quote", "450"), ("catalogue-sync", "450"))]
        watcher = threading.Thread(target=run.count_version_regressions)
        watcher.start()
        while time.time() < run.end:
            run.inject_random_fault()
            time.sleep(run.random.uniform(0, 0.5))
        watcher.join()
        result = json.loads(requests.communicate()[0])
        accepted = [json.loads(process.communicate()[0]) for process in work]
        states = run.await_tasks()
        stats = json.loads(http("GET", BASE_PORT + 999, "/stats")[1])
        submitted = sum(a["by_status"].get("202", 0) for a in accepted)
        report(measure="soak", seed=arguments.seed, seconds=arguments.seconds,
               faults=sum(run.fault_counts.values()), by_fault=run.fault_counts,
               requests=result["calls"], mismatched=result["mismatched"],
               was_run=result["by_was_run"], errors=result["by_error"],
               tasks_accepted=submitted, task_ends=states, reverts=run.version_regressions,
               workers=stats)
        failures = (result["mismatched"] + run.version_regressions + stats["violations"] +
                    (sum(states.values()) < submitted) +
                    bool(set(states) & {"accepting", "queued", "starting", "running"}))
        return 1 if failures else 0
    finally:
        deployment.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(required=True)
    for function, options in (
            (idle, {"seconds": 10}), (throughput, {"seconds": 8, "rate": 4000}),
            (latency, {"seconds": 5, "rate": 500, "turns": 3}),
            (stops, {"seconds": 120, "rate": 600, "kill": 0}), (contracts, {"count": 60}),
            (customers, {"sizes": "1,100,400,770"}),
            (tasks, {"count": 900, "background": 3.5}), (soak, {"seconds": 120, "seed": 1})):
        command = commands.add_parser(function.__name__, help=function.__doc__)
        for name, default in options.items():
            command.add_argument(f"--{name}", type=type(default), default=default)
        command.set_defaults(function=function)
    arguments = parser.parse_args()
    return arguments.function(arguments) or 0


if __name__ == "__main__":
    sys.exit(main())
