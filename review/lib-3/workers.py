"""Stand-in of workers that run tasks, as the users' protocol page says.

    workers.py STORE RECORD SERVICE FIRST_PORT COUNT

Each worker has its own port and registers in the store. A task runs for the
time that its job names in `taskSpec` ("run_ms=N"), and ends as `done`.
"""

import asyncio
import sys
import time

from http_server import call, serve
from record import Record

MAX_HOLD_MS = 6000
MAX_LISTED_ENDS = 500
HEARTBEAT_S = 1.1


class Run:
    def __init__(self, number, ends_at):
        self.number = number
        self.started = time.monotonic()
        self.ends_at = ends_at
        self.timer = None


class Worker:
    def __init__(self, record, name, port, service, rack):
        self.record = record
        self.name = name
        self.port = port
        self.service = service
        self.rack = rack
        self.born_clock = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.lease_ms = 0
        self.lapsed = True
        self.runs = {}
        self.highest_gone = {}
        self.ends = []
        self.next_end = 1
        self.end_listed = asyncio.Event()
        self.sequence = 0

    def clock_ms(self):
        return int((time.monotonic() - self.born_clock) * 1000) + 1000

    def answer(self, status, reason=None):
        value = {"clockMs": self.clock_ms(), "born": self.born_ms}
        if reason:
            value["reason"] = reason
        return status, value

    def raise_fence(self, token):
        if token < self.fence:
            return False
        self.fence = token
        return True

    def extend(self, deadline_ms):
        clock = self.clock_ms()
        self.lapsed = False
        self.lease_ms = max(self.lease_ms, min(deadline_ms, clock + MAX_HOLD_MS))

    def end(self, task, how):
        run = self.runs.pop(task)
        if run.timer:
            run.timer.cancel()
        self.highest_gone[task] = max(self.highest_gone.get(task, 0), run.number)
        saved = ""
        self.ends.append([self.next_end, task, run.number, how, saved])
        self.next_end += 1
        self.record.add("end", worker=self.name, task=task, run=run.number,
                        how=how, number=self.next_end - 1)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def start(self, body):
        token = body.get("fencingToken", 0)
        if not self.raise_fence(token):
            return self.answer(409, "fence")
        if body["deadlineMs"] <= self.clock_ms():
            return self.answer(409, "late")
        self.extend(body["deadlineMs"])
        task, number = body["task"], body["run"]
        running = self.runs.get(task)
        if running and running.number == number:
            return self.answer(200)
        if running or number <= self.highest_gone.get(task, 0):
            return self.answer(409, "old")
        run_s = int(body["taskSpec"].split("run_ms=")[1].split()[0]) / 1000
        run = Run(number, time.monotonic() + run_s)
        run.timer = asyncio.get_running_loop().call_later(
            run_s, self.end, task, "done")
        self.runs[task] = run
        self.record.add("start", worker=self.name, task=task, run=number,
                        fence=token)
        return self.answer(200)

    def stop(self, body):
        if not self.raise_fence(body.get("fencingToken", 0)):
            return self.answer(409, "fence")
        task, number = body["task"], body["run"]
        self.highest_gone[task] = max(self.highest_gone.get(task, 0), number)
        self.record.add("stop", worker=self.name, task=task, run=number)
        if task in self.runs and self.runs[task].number <= number:
            self.end(task, "stopped")
        return self.answer(200)

    async def hold(self, body):
        if not self.raise_fence(body.get("fencingToken", 0)):
            return self.answer(409, "fence")
        seen = body.get("lastSeen", 0)
        if self.ends and self.ends[0][0] <= seen:
            self.ends = [end for end in self.ends if end[0] > seen]
            self.record.add("taken note", worker=self.name, up_to=seen)
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        if not self.ends and body.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.end_listed.wait(),
                                       body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for task, run in self.runs.items():
            whole = max(run.ends_at - run.started, 1e-6)
            percent = min(99, int(100 * (now - run.started) / whole))
            running.append([task, run.number, "", percent, 0])
        status, value = self.answer(200)
        value["running"] = running
        value["endedRuns"] = self.ends[:MAX_LISTED_ENDS]
        self.record.add("listed", worker=self.name, running=len(running),
                        ends=len(value["endedRuns"]), of=len(self.ends))
        return status, value

    async def handle(self, request):
        if request.headers.get("x-target-instance", self.name) != self.name:
            return self.answer(421)
        if request.path == "/run-start":
            return self.start(request.json())
        if request.path == "/run-stop":
            return self.stop(request.json())
        if request.path == "/hold":
            return await self.hold(request.json())
        if request.path == "/pace":
            return self.answer(200)
        return 404, {}

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": "zone-1", "version": "1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born_ms,
                "capacity": {"cpu": 32000, "memMb": 128000, "gpus": 0},
                "labels": ["a", self.rack]}

    async def register(self, store):
        while True:
            await call(store, "POST", "/standin/row",
                       {"table": "servers", "key": self.name,
                        "value": self.entry()})
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.lapsed and self.clock_ms() >= self.lease_ms:
                self.lapsed = True
                self.record.add("lease lapsed", worker=self.name)
                for task in list(self.runs):
                    self.end(task, "lapsed")


async def main():
    store, path, service, first_port, count = sys.argv[1:6]
    record = Record(path, "workers")
    tasks = []
    for i in range(int(count)):
        worker = Worker(record, "worker-%d" % i, int(first_port) + i, service,
                        "rack-%d" % (i // 2))
        await serve(worker.handle, worker.port)
        tasks += [worker.register(store), worker.watch_lease()]
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(main())
