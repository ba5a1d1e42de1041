"""Hourly jobs of ordinary shape come at once. The platform ends a process that exceeds the memory of its machine
and starts it again, as DEPLOY.md says."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from cluster import CannotRun, TROUBLE, main  # noqa: E402

MEMORY_MB = 260  # limits.memoryMb
RESTART_S = 0.5  # "a process that ... is killed is restarted after a short delay"
FINISH_S = 14.0  # finish_s
# Jobs that repeat every hour, for twelve weeks or, without the trouble, for a day. Their
# shape is that of the kit quotes of SYSTEM.md: two steps of eight tasks. So many jobs are
# fewer than a burst of kit quotes brings in four seconds (8.8 a second, x 2.6).
PERIODIC_JOBS = 80
OCCURRENCES = 2016 if TROUBLE else 24
HOUR_MS = 3600_000


def memory_mb(pid):
    try:
        with open(f"/proc/{pid}/status") as f:
            return int(next(l for l in f if l.startswith("VmRSS")).split()[1]) / 1024
    except (OSError, StopIteration):
        return 0


async def platform(cluster, ends, most):
    """Keeps the memory limit and restarts processes."""
    async def restart(host):
        await host.process.wait()
        await asyncio.sleep(RESTART_S)
        await host.start()
    while True:
        for host in cluster.hosts:
            if host.process.returncode is not None:
                continue
            used = memory_mb(host.process.pid)
            most[host.name] = max(most.get(host.name, 0), used)
            if used > MEMORY_MB:
                cluster.record(host.name, f"uses {used:.0f} MB of {MEMORY_MB}")
                host.kill()
                ends[host.name] = ends.get(host.name, 0) + 1
                await host.process.wait()
                asyncio.get_running_loop().create_task(restart(host))
        await asyncio.sleep(0.02)


async def play(cluster):
    ends, most = {}, {}
    watch = asyncio.get_running_loop().create_task(platform(cluster, ends, most))
    step = {"count": 8, "cpu": 3500, "memMb": 64, "estimatedRuntimeMs": 1700}
    for n in range(PERIODIC_JOBS):
        await cluster.request(cluster.hosts[n % 3], "POST", f"{0xaa0000 + n:016x}", {
            "taskSpec": "work 1700", "steps": [step, {**step, "after": [0]}],
            "repetitions": OCCURRENCES, "intervalMs": HOUR_MS,
            "firstRunMs": int(time.time() * 1000) + HOUR_MS})
    await asyncio.sleep(5)
    jobs = [f"{n:016x}" for n in range(1, 5)]
    accepted = []
    for job in jobs:
        for attempt in range(40):
            answer = await cluster.request(
                cluster.hosts[attempt % len(cluster.hosts)], "POST", job, {
                    "taskSpec": "lasts", "steps": [{
                        "count": 2, "cpu": 500, "memMb": 64, "estimatedRuntimeMs": 300,
                        "longRunning": True}]})
            if answer and answer[0] == 200:
                accepted.append(job)
                break
            await asyncio.sleep(0.25)
    if not accepted:
        raise CannotRun("no job was accepted")
    cluster.record("end of the traffic; accepted", len(accepted), "jobs")
    await asyncio.sleep(FINISH_S)
    idle = set(accepted)
    for _ in range(60):  # For 3 s.
        await asyncio.sleep(0.05)
        idle -= {t.split(".")[0] for w in cluster.workers for t in w.running}
    watch.cancel()
    for name in most:
        cluster.record(name, f"used up to {most[name]:.0f} MB, ended",
                       ends.get(name, 0), "times by itself")
    cluster.record("accepted jobs that had nothing running for 3 s:", len(idle))
    if idle:
        return f"LOST: {len(idle)} of {len(accepted)} accepted jobs had nothing running for " \
               f"3 s, {FINISH_S:.0f} s after the end of the traffic; {sum(ends.values())} " \
               "times a process exceeded the memory of its machine"
    return None


main(FOLDER, play, hosts=3, workers=4)
