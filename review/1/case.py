"""One large periodic job; then ordinary jobs are handed in while nothing is disturbed."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from cluster import CannotRun, TROUBLE, main  # noqa: E402

FINISH_S = 14.0  # finish_s
ACK_TIMEOUT_S = 4.0  # ackTimeoutMs
# The large job has three steps and as many occurrences as one that repeats every five
# minutes has in three and a half days. Without the trouble it has a tenth of them.
OCCURRENCES = 1000 if TROUBLE else 100
INTERVAL_MS = 30
LARGE = "00000000000000aa"


def step(**more):
    return {"count": 1, "cpu": 200, "memMb": 64, "estimatedRuntimeMs": 20, **more}


async def cancelled(cluster, job):
    """Cancels as a client does that tries again until ackTimeoutMs have passed."""
    end = time.monotonic() + ACK_TIMEOUT_S
    n = 0
    while time.monotonic() < end:
        host = cluster.hosts[n % len(cluster.hosts)]
        n += 1
        answer = await cluster.request(host, "DELETE", job,
                                       timeout=min(3.0, end - time.monotonic()))
        if answer and (200 <= answer[0] < 300 or answer[0] == 410):
            return True
        await asyncio.sleep(0.2)
    return False


async def accepted(cluster, job, body):
    answer = await cluster.request(cluster.hosts[0], "POST", job, body)
    if not answer or answer[0] != 200:
        raise CannotRun("a job was not accepted")


def running(cluster, jobs):
    return {t.split(".")[0] for w in cluster.workers for t in w.running} & set(jobs)


async def play(cluster):
    cluster.quiet = True  # The runs of the large job would fill the record.
    await accepted(cluster, LARGE, {
        "taskSpec": "work 20", "steps": [step(), step(after=[0]), step(after=[1])],
        "repetitions": OCCURRENCES, "firstRunMs": int(time.time() * 1000),
        "intervalMs": INTERVAL_MS})
    await asyncio.sleep(OCCURRENCES * INTERVAL_MS / 1000 + 3)
    cluster.record("tasks of the large job that a worker has listed as done:", len(
        {e[2] for e in cluster.run_ends if e[2].startswith(LARGE) and e[4] == "done"}),
        "of", 3 * OCCURRENCES)
    await cluster.request(cluster.hosts[0], "GET", LARGE)
    cluster.quiet = False

    finite = [f"{n:016x}" for n in range(1, 5)]
    lasting = [f"{n:016x}" for n in range(5, 9)]
    for job in finite:
        await accepted(cluster, job, {"taskSpec": "work 300", "steps": [step(count=2)]})
    for job in lasting:
        await accepted(cluster, job, {"taskSpec": "lasts",
                                      "steps": [step(count=2, longRunning=True)]})
    cluster.record("end of the traffic")
    await asyncio.sleep(FINISH_S)
    began = len(cluster.starts)
    idle = set(finite + lasting) - running(cluster, lasting)
    busy = 0
    for _ in range(60):  # For 3 s.
        await asyncio.sleep(0.05)
        idle -= running(cluster, finite + lasting)
        busy = max(busy, sum(len(w.running) for w in cluster.workers))
    idle -= {s[2].split(".")[0] for s in cluster.starts[began:]}
    lost = []
    for job in sorted(idle):
        answer = await cluster.request(cluster.hosts[1], "GET", job)
        if not answer or answer[1].get("state") != "completed":
            lost.append(job)
    cluster.record("most tasks at work in these 3 s:", busy, "on", len(cluster.workers),
                   "workers of 32 cores; a task needs 0.2")

    acknowledged = await asyncio.gather(*(cancelled(cluster, job) for job in lasting))
    cluster.record("cancels acknowledged:", sum(acknowledged), "of", len(lasting))
    await cluster.request(cluster.hosts[1], "GET", LARGE)
    cluster.record("transactions that the store has refused:", cluster.store.refused)
    if lost:
        return f"LOST: {FINISH_S:.0f} s after the end of the traffic {len(lasting + finite)} " \
               f"jobs were accepted, and {len(lost)} of them had nothing running for 3 s"
    return None


main(FOLDER, play, hosts=2, workers=8)
