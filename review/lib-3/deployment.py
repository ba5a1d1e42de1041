"""Starts and ends a small deployment of the real program on loopback."""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from http_server import call
from record import Record

LIBRARY = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIBRARY))
SERVICE = "kralenbalie"
HOST_NAME = "shop.example"
PREFIX = "/quotes/"

# The bounds of the site kralen-sched.
FIELDS = {
    "zone": "zone-1",
    "limits.cpuShare": "0.25",
    "heartbeatIntervalMs": "1100",
    "bounds.maxHoldMs": "6000",
}
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "kit-quote", "hostname": HOST_NAME,
                "pathPrefix": PREFIX, "service": SERVICE, "priority": 2,
                "maxAttempts": 2, "stretch": 2.0, "targetLatencyMs": 1000}],
    "services": [{"name": SERVICE, "enforcesCapacity": False}],
    "limits": {},
}


class CannotRun(Exception):
    pass


def free_ports(count):
    """Returns the first of `count` consecutive free ports."""
    for _ in range(200):
        first = random.randrange(20000, 60000 - count)
        sockets = []
        try:
            for port in range(first, first + count):
                listener = socket.socket()
                sockets.append(listener)
                listener.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for listener in sockets:
                listener.close()
    raise CannotRun("no free ports")


def render(template, fields):
    """Fills in the parts of the template's language that the file uses."""
    def section(match):
        return match.group(3) if (match.group(1) == "#") == (
            match.group(2) in fields) else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(fields.get(match.group(1), "")), text)


class Deployment:
    def __init__(self, case_folder, hosts, workers):
        self.record_path = os.path.join(case_folder, "record.txt")
        open(self.record_path, "w").close()
        self.record = Record(self.record_path, "case")
        self.folder = tempfile.mkdtemp(prefix="gypsumfall-case-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = next(iter(tomllib.load(file)["roles"].values()))
        self.program = self.role["run"].split()[0]
        if not os.path.exists(os.path.join(ROOT, self.program)):
            raise CannotRun("run the build of deploy/system.toml first")
        self.host_count = hosts
        self.worker_count = workers
        first = free_ports(1 + 6 * hosts + workers)
        self.store = "127.0.0.1:%d" % first
        self.store_port = first + 1
        self.host_port = first + 1 + hosts
        self.worker_port = first + 1 + 6 * hosts
        self.processes = {}

    def host_name(self, host):
        return "front-%d" % host

    def callers(self, host):
        return "127.0.0.1:%d" % (self.host_port + 5 * host)

    def settings(self, host):
        port = self.host_port + 5 * host
        fields = dict(FIELDS)
        fields.update({
            "nodeName": self.host_name(host),
            "listenAddresses.front": "127.0.0.1:%d" % port,
            "listenAddresses.ready": "127.0.0.1:%d" % (port + 1),
            "ipAddress": "127.0.0.1",
            "internalPortRange.0": str(port + 2),
            "platform.address": "127.0.0.1:%d" % (self.store_port + host),
        })
        with open(os.path.join(ROOT, self.role["template"])) as file:
            # All hosts share one address here, so each has a metrics port.
            template = file.read().replace(":9464", ":%d" % (port + 3))
        path = os.path.join(self.folder, "host-%d.ini" % host)
        with open(path, "w") as file:
            file.write(render(template, fields))
        return path

    def start(self, name, command):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)

    def start_host(self, host):
        words = self.role["run"].split()
        words[-1] = self.settings(host)
        self.start(self.host_name(host), words)
        self.record.add("host started", host=self.host_name(host))

    def kill_host(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record.add("host killed", host=name)

    async def cut(self, name, for_s):
        await call(self.store, "POST", "/standin/cut",
                   {"host": name, "for_s": for_s})

    def freeze_host(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.record.add("host frozen", host=name)

    def wake_host(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.record.add("host wakes", host=name)

    async def start_all(self):
        python = [sys.executable, "-B"]
        self.start("store", python + [os.path.join(LIBRARY, "store.py"),
                                      self.store.rsplit(":", 1)[1],
                                      str(self.host_count),
                                      self.record_path])
        await self.await_true(lambda: call(self.store, "GET",
                                           "/standin/leader"), 10)
        await call(self.store, "POST", "/standin/row",
                   {"table": "op", "key": "config", "value": CONFIGURATION})
        self.start("workers", python + [
            os.path.join(LIBRARY, "workers.py"), self.store, self.record_path,
            SERVICE, str(self.worker_port), str(self.worker_count)])
        for host in range(self.host_count):
            self.start_host(host)
        for host in range(self.host_count):
            port = self.host_port + 5 * host + 1
            await self.await_true(
                lambda: call("127.0.0.1:%d" % port, "GET", "/ready"), 30)
        deadline = time.monotonic() + 20
        while not await self.leader():
            if time.monotonic() > deadline:
                raise CannotRun("no host leads")
            await asyncio.sleep(0.1)

    async def await_true(self, attempt, limit_s):
        deadline = time.monotonic() + limit_s
        while True:
            status, _ = await attempt()
            if status == 200:
                return
            if time.monotonic() > deadline:
                raise CannotRun("a process does not get ready")
            await asyncio.sleep(0.1)

    async def leader(self):
        _, value = await call(self.store, "GET", "/standin/leader")
        return value["holder"] if isinstance(value, dict) else ""

    async def request(self, host, method, job, value=None):
        """Sends a client's request; `host` is a number."""
        status, answer = await call(
            self.callers(host), method, PREFIX + job, value,
            {"Host": HOST_NAME, "X-Deadline-Ms": "3000"}, timeout=3.5)
        self.record.add("request", method=method, job=job,
                        host=self.host_name(host), status=status,
                        answer=answer)
        return status, answer

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()


def run_case(case, hosts, workers, folder):
    """Runs `await case(deployment, trouble)`, which returns whether the rule
    was kept, and exits as a case has to."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(*_):
        raise SystemExit(2)

    # An end from outside has to end the processes that were started, too.
    for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(name, stop)
    deployment = None
    try:
        deployment = Deployment(folder, hosts, workers)

        async def play():
            await deployment.start_all()
            return await asyncio.wait_for(case(deployment, trouble), 95)

        kept = asyncio.run(play())
    except Exception as error:  # Any other fault of the case itself.
        print("the case could not run: %s" % (error or type(error).__name__))
        sys.exit(2)
    finally:
        if deployment:
            deployment.stop_all()
            print("logs in " + deployment.folder)
    sys.exit(0 if kept else 1)
