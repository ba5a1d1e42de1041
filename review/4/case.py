"""The store answers some writes not at all and does them late. A client whose job got no
answer in time cancels it and is told that there is no such job."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from cluster import CannotRun, TROUBLE, main  # noqa: E402

DEADLINE_S = 3.0  # deadline ms of all kinds of request
CANCEL_S = 3.0  # cancel_ms
LATE_S = 6.0  # platform_lost, late: "done 1 to 6 s later"
LOST_FOR_S = 2.7
JOB = "0123456789abcdef"
BODY = {"taskSpec": "work 100", "steps": [
    {"count": 2, "cpu": 500, "memMb": 64, "estimatedRuntimeMs": 100}]}


async def other_traffic(cluster):
    """Nine jobs a second; none of their writes is lost."""
    for n in range(60):
        asyncio.get_running_loop().create_task(cluster.request(
            cluster.hosts[n % len(cluster.hosts)], "POST", f"{0xbeef00 + n:016x}", BODY))
        await asyncio.sleep(0.11)


async def play(cluster):
    cluster.quiet = True
    traffic = asyncio.get_running_loop().create_task(other_traffic(cluster))
    await asyncio.sleep(0.5)
    begin = time.monotonic()
    writes = lost = 0

    def fault(method, path, query, body):
        nonlocal writes, lost
        if path != "/rows-tx" or time.monotonic() > begin + LOST_FOR_S:
            return None
        writes += 1
        if TROUBLE and any(p["key"] == JOB for p in json.loads(body)["puts"]):
            lost += 1
            cluster.record("store: a write of the job gets no answer; done in",
                           LATE_S, "s")
            return LATE_S
        return None

    cluster.store.fault = fault
    await cluster.request(cluster.hosts[0], "POST", JOB, BODY, timeout=DEADLINE_S)
    cancelled = None
    for attempt in range(20):  # Until the cancelling is acknowledged.
        answer = await cluster.request(cluster.hosts[attempt % 2], "DELETE", JOB)
        if answer and (200 <= answer[0] < 300 or answer[0] == 410):
            cancelled = time.monotonic()
            break
        await asyncio.sleep(0.2)
    if cancelled is None:
        raise CannotRun("the cancelling was not acknowledged")
    await traffic
    await asyncio.sleep(10)
    await cluster.request(cluster.hosts[0], "GET", JOB)
    cluster.record(f"writes in {LOST_FOR_S} s: {writes}, of these not answered: {lost}")
    if writes and lost / writes > 0.3:
        raise CannotRun("more than the share that the page names was lost")
    starts = [s for s in cluster.starts if s[2].startswith(JOB)]
    for s in starts:
        cluster.record(s[1], "started", s[2], f"{s[0] - cancelled:.2f} s after the "
                       "cancelling was acknowledged")
    after = [s for s in starts if s[0] > cancelled + CANCEL_S]
    if after:
        return f"UNASKED: {len(after)} starts of a job later than {CANCEL_S:.0f} s after " \
               f"its cancelling was acknowledged; the first {after[0][0] - cancelled:.2f} " \
               "s after it"
    return None


main(FOLDER, play, hosts=2, workers=4)
