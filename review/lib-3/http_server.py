"""A minimal HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve(handler, port, host="127.0.0.1"):
    """Calls `await handler(request)` for each request; it returns the status
    and a JSON value, or None to break the connection off."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await handler(Request(method, target, headers, body))
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                payload = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" %
                    (status, REASONS.get(status, "Other").encode(),
                     len(payload), payload))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 22,
                                      backlog=1024)


async def call(address, method, path, value=None, headers=None, timeout=3.0):
    """Returns (status, JSON value), or (None, text) if there is no answer."""
    host, port = address.rsplit(":", 1)
    body = b"" if value is None else json.dumps(value).encode()
    fields = {"Host": address, "Content-Type": "application/json",
              "Content-Length": str(len(body)), "Connection": "close"}
    fields.update(headers or {})
    head = "%s %s HTTP/1.1\r\n%s\r\n" % (
        method, path, "".join("%s: %s\r\n" % item for item in fields.items()))

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head.encode() + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer or b"null")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "timeout"
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        return None, type(error).__name__
