"""A host is killed after it has stored a job, while the store is down in part and drops its
history. The client is told by the other host that the job is accepted."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from cluster import CannotRun, TROUBLE, main  # noqa: E402

FINISH_S = 14.0  # finish_s
DOWN_FOR_S = 4.5  # platform_down
JOB = "00000000000000a1"
BODY = {"taskSpec": "work 300", "steps": [
    {"count": 2, "cpu": 500, "memMb": 64, "estimatedRuntimeMs": 300}]}


def part_of(call):
    """The partition of a call to the store; none for the feed, which is of a table."""
    path, query, body = call
    if path == "/rows-get":
        return query.get("part", "")
    if path == "/rows-tx":
        entries = json.loads(body)
        rows = entries["expect"] + entries["puts"] + entries["remove"]
        return rows[0].get("part", "") if rows else None
    return None


async def play(cluster):
    store, leader = cluster.store, cluster.leader()
    other = next(h for h in cluster.hosts if h is not leader)
    parts, job_part = set(), []

    # Learns which partitions are in use.
    def learn(method, path, query, body):
        part = part_of((path, query, body))
        if part:
            parts.add(part)
        return None

    store.fault = learn
    await asyncio.sleep(1)
    for n in range(60):  # Other jobs.
        await cluster.request(leader, "POST", f"{0xbeef00 + n:016x}", BODY)
    await asyncio.sleep(2)
    victim, killed = other, False
    down_until = time.monotonic() + DOWN_FOR_S
    down = None

    def fault(method, path, query, body):
        nonlocal killed
        part = part_of((path, query, body))
        if path == "/rows-tx" and not killed and \
                any(p["key"] == JOB for p in json.loads(body)["puts"]):
            killed = True
            job_part.append(part)
            asyncio.get_running_loop().create_task(kill_when_stored())
            return 0.0  # Done; the host is dead before an answer could reach it.
        if part == down and time.monotonic() < down_until:
            return 503
        return None

    async def kill_when_stored():
        while not any(a[2] == JOB for a in store.rows):
            await asyncio.sleep(0)
        victim.kill()
        cluster.record("store: holds the job; drops its history")
        store.forget_history()

    if TROUBLE:
        # A partition that holds jobs. It must not be the one of the job above, which shows
        # only when that job is written.
        holding = sorted({a[1] for a in store.rows if a[2].startswith("0000000000beef")
                          and a[1] in parts and a[0] not in ("ended", "progress")})
        if len(holding) < 2:
            raise CannotRun("the jobs are in one partition")
        down = holding[0]
        cluster.record("store: one of", len(parts), "partitions in use answers 503 for",
                       DOWN_FOR_S, "s:", down)
        store.fault = fault
    await cluster.request(other, "POST", JOB, BODY)
    accepted = None
    for _ in range(20):  # The client tries again at the other host.
        answer = await cluster.request(leader, "POST", JOB, BODY)
        if answer and answer[0] == 200:
            accepted = True
            break
        await asyncio.sleep(0.2)
    if not accepted or (TROUBLE and job_part == [down]):
        raise CannotRun("the job was not accepted, or its partition was down")
    await asyncio.sleep(DOWN_FOR_S)
    if TROUBLE:
        await victim.process.wait()
        await victim.start()
    cluster.record("end of the traffic")
    await asyncio.sleep(FINISH_S)
    idle = True
    for _ in range(60):  # For 3 s.
        await asyncio.sleep(0.05)
        idle = idle and not any(t.startswith(JOB) for w in cluster.workers for t in w.running)
    answer = await cluster.request(leader, "GET", JOB)
    cluster.record("starts of tasks of the job:",
                   sum(s[2].startswith(JOB) for s in cluster.starts),
                   "; all others:", sum(not s[2].startswith(JOB) for s in cluster.starts))
    done = answer and answer[1].get("state") == "completed"
    if idle and not done:
        return f"LOST: {FINISH_S:.0f} s after the end of the traffic an accepted job had " \
               "nothing running for 3 s, with all workers free; it never started"
    return None


main(FOLDER, play, hosts=2, workers=4)
