"""Appends events to the record that all processes of a case share."""

import json
import os
import time


class Record:
    def __init__(self, path, who):
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.who = who

    def add(self, event, **fields):
        line = {"t": round(time.monotonic(), 4), "who": self.who,
                "event": event}
        line.update(fields)
        os.write(self.file, (json.dumps(line) + "\n").encode())


def read_record(path):
    with open(path) as lines:
        return [json.loads(line) for line in lines if line.startswith("{")]
