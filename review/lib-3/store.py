"""Stand-in of the platform's store: rows, transactions and feeds.

    store.py PORT HOSTS RECORD

PORT is for the workers and the case. Each host has a port of its own behind
it, so that a single host can be cut off from the store. The workers register through /standin/server, which plays the platform's side
of the worker list; the case reads /standin/leader to learn which host wrote
last under a condition, and uses /standin/cut.
"""

import asyncio
import base64
import bisect
import functools
import json
import sys
import time

from http_server import serve
from record import Record

PAGE_ROWS = 500
PAGE_BYTES = 1 << 20
# Times of an answer and of a transaction, from the site kralen-sched.
ANSWER_S = 0.004
TRANSACTION_S = 0.006


class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.log = []
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.leader = ""
        self.cut_until = {}

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def base(self):
        return {"rowVersion": self.version, "nowMs": self.now_ms()}

    def encode(self, address):
        table, part, key = address
        value, version = self.rows[address]
        return {"table": table, "part": part, "key": key, "value": value,
                "rowVersion": version}

    def apply(self, puts, removals):
        self.version += 1
        for address, value in puts:
            self.rows[address] = (value, self.version)
            self.log.append((self.version, address, False))
        for address in removals:
            if self.rows.pop(address, None) is not None:
                self.log.append((self.version, address, True))
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body):
        def address_of(row):
            return (row["table"], row.get("part", ""), row["key"])

        expected = body.get("expect", [])
        puts = [(address_of(row), row["value"]) for row in body.get("puts", [])]
        removals = [address_of(row) for row in body.get("remove", [])]
        touched = ([address_of(row) for row in expected] +
                   [address for address, _ in puts] + removals)
        if len(touched) > 100 or len({part for _, part, _ in touched}) > 1:
            return 400, {"reason": "entries"}
        for table, _, _ in [address for address, _ in puts] + removals:
            if table in ("op", "servers"):
                return 403, {}
        for row in expected:
            current = self.rows.get(address_of(row))
            if (current[1] if current else 0) != row["rowVersion"]:
                rows = [self.encode(address_of(row)) for row in expected
                        if address_of(row) in self.rows]
                return 412, {**self.base(), "rows": rows}
        self.apply(puts, removals)
        if expected:
            self.note_leader(puts)
        return 200, self.base()

    def note_leader(self, puts):
        for _, value in puts:
            try:
                row = json.loads(base64.b64decode(value))
            except ValueError:
                continue
            if isinstance(row, dict) and "holder" in row and "epoch" in row:
                named = "" if row.get("released") else row["holder"]
                if named != self.leader:
                    self.record.add("leader", holder=named, epoch=row["epoch"])
                self.leader = named

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(key for row_table, row_part, key in self.rows
                      if row_table == table and row_part == part and
                      key >= first and (last is None or key < last))
        rows, size = [], 0
        for key in keys:
            row = self.encode((table, part, key))
            size += len(row["value"])
            if len(rows) == limit or (rows and size > PAGE_BYTES):
                break
            rows.append(row)
        return 200, {**self.base(), "rows": rows,
                     "hasMore": len(rows) < len(keys)}

    def changes(self, table, after):
        first = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
        latest = {}
        for version, address, removed in self.log[first:]:
            if address[0] == table:
                latest.pop(address, None)
                latest[address] = (version, removed)
        rows = []
        for address, (version, removed) in latest.items():
            if removed:
                rows.append({"table": address[0], "part": address[1],
                             "key": address[2], "value": "",
                             "rowVersion": version, "deleted": True})
            else:
                rows.append(self.encode(address))
        return rows

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = self.changes(table, after)
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {**self.base(), "rows": rows, "hasMore": False}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle_host(self, host, request):
        """Serves a host; a host that is cut off gets no answer."""
        answer = None
        if not self.is_cut(host):
            answer = await self.handle(request)
            if answer[0] == 412:
                self.record.add("conflict", host=host)
        if not self.is_cut(host):
            return answer
        while self.is_cut(host):
            await asyncio.sleep(0.02)
        return None

    def is_cut(self, host):
        return time.monotonic() < self.cut_until.get(host, 0)

    async def handle(self, request):
        if request.path == "/rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            return self.transact(request.json())
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        if request.path == "/rows-get":
            answer = self.get(request.query)
        elif request.path == "/rows-parts":
            parts = sorted({part for table, part, _ in self.rows
                            if table == request.query["table"]})
            answer = 200, {**self.base(), "parts": parts, "hasMore": False}
        else:
            return 404, {}
        await asyncio.sleep(ANSWER_S)
        return answer

    async def control(self, request):
        if request.path == "/standin/row":
            row = request.json()
            address = (row["table"], "", row["key"])
            text = base64.b64encode(json.dumps(row["value"]).encode())
            self.apply([(address, text.decode())], [])
            return 200, self.base()
        if request.path == "/standin/cut":
            cut = request.json()
            self.cut_until[cut["host"]] = time.monotonic() + cut["for_s"]
            self.record.add("cut from the store", **cut)
            return 200, {}
        if request.path == "/standin/leader":
            return 200, {"holder": self.leader}
        return 404, {}


async def main():
    port, hosts, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
    store = Store(Record(path, "store"))
    await serve(store.control, port)
    for host in range(hosts):
        await serve(functools.partial(store.handle_host, "front-%d" % host),
                    port + 1 + host)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
