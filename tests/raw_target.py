"""Serve answers without a length or chunks as a process of its own.

The options are the first argument, in JSON. The port is bound once a line `listen` is
read from the standard input. What happens is written to the standard output, an object
of JSON a line. An answer is held back after its first part until a line `go` is read.
"""

import asyncio
import json
import os
import socket
import struct
import sys
import time

EVENTS = 6
BODY_BYTES = 30_000
HELD_EVENTS = 3
HELD_BYTES = 9_000
BUFFER_BYTES = 65_536
SMALL_BUFFER_BYTES = 4096
REPORT = b'{"stage":"decode","models":[],"busy":false,"seq":7,"born":1}'

WHOLE_STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, EVENTS + 1))


def make_body(path):
    """Return the body of a plain answer."""
    return (path.encode() + b" ").ljust(BODY_BYTES, b"x")


def split_stream(last_event):
    """Return the events after ``last_event``, before and after the held place."""
    events = WHOLE_STREAM.split(b"\n\n")[:-1]
    rest = [event + b"\n\n" for event in events]
    return b"".join(rest[last_event:HELD_EVENTS]), b"".join(
        rest[max(last_event, HELD_EVENTS) :]
    )


def set_reset(writer):
    """Make the connection end with a reset when it is closed."""
    connected = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def write_record(kind, **fields):
    """Write what happened; whole lines survive a kill."""
    line = json.dumps({"kind": kind, "at": time.monotonic(), **fields}) + "\n"
    os.write(1, line.encode())


class RawTarget:
    """Target whose runs are answered without a length.

    ``options`` are ``service``, ``stream``, ``holds`` (wait for `go` within an answer),
    ``seconds`` (duration of an answer), ``closes_idle`` (close all idle connections
    after an answer), ``max_connections``, ``resets_new`` (reset each new connection
    once a run has begun), ``resets`` (reset the connection in place of the second part
    of an answer) and ``unread`` (leave the body of a request in the socket).
    """

    def __init__(self, options):
        self.options = options
        self.go = asyncio.Event()
        self.open = set()
        self.idle = set()
        self.has_run = False

    async def serve(self, reader, writer):
        limit = self.options.get("max_connections")
        is_full = limit is not None and len(self.open) >= limit
        if is_full or (self.options.get("resets_new") and self.has_run):
            write_record("refused")
            set_reset(writer)
            writer.transport.abort()
            return
        self.open.add(writer)
        try:
            while await self.answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            self.idle.discard(writer)
            writer.close()

    async def answer(self, reader, writer):
        """Answer a request; return whether the connection is kept."""
        self.idle.add(writer)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        self.idle.discard(writer)
        method, path, _ = lines[0].split(" ")
        headers = dict(row.lower().split(": ", 1) for row in lines[1:] if ": " in row)
        if not self.options.get("unread"):
            await reader.readexactly(int(headers.get("content-length", 0)))
        if "x-galenapass-attempt-id" not in headers:
            body = REPORT if path == "/report" else b""
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await writer.drain()
            return True
        attempt = headers["x-galenapass-attempt-id"]
        self.has_run = True
        write_record("run", attempt=attempt, method=method, path=path)
        await self.run(writer, attempt, path, int(headers.get("last-event-id", 0)))
        write_record("end", attempt=attempt)
        if self.options.get("closes_idle"):
            for other in list(self.idle):
                other.close()
        return False

    async def run(self, writer, attempt, path, last_event):
        """Write an answer in two parts."""
        kind = "text/event-stream" if self.options["stream"] else "text/plain"
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Galenapass-Attempt-Id: {attempt}\r\n"
            "X-Galenapass-Response-Signature: signed-by-raw\r\n"
            f"Content-Type: {kind}\r\n\r\n".encode()
        )
        if self.options["stream"]:
            first, second = split_stream(last_event)
        else:
            body = make_body(path)
            first, second = body[:HELD_BYTES], body[HELD_BYTES:]
        writer.write(first)
        await writer.drain()
        if self.options.get("holds") and first:
            write_record("held", attempt=attempt)
            await self.go.wait()
        await asyncio.sleep(self.options.get("seconds", 0))
        if self.options.get("resets"):
            set_reset(writer)
            writer.transport.abort()
            return
        writer.write(second)
        await writer.drain()


async def serve_commands(serve, go=None, buffer_bytes=None):
    """Obey the commands from the standard input until that ends.

    ``buffer_bytes`` limits what is received of a connection and not yet read.
    """
    options = json.loads(sys.argv[1])
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    write_record("ready")
    while line := (await reader.readline()).strip():
        if line == b"listen":
            listening = socket.socket()
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if buffer_bytes is not None:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            listening.bind(("127.0.0.1", options["port"]))
            limit = buffer_bytes or BUFFER_BYTES
            server = await asyncio.start_server(serve, sock=listening, limit=limit)
            write_record("listening", port=server.sockets[0].getsockname()[1])
        elif line == b"go":
            go.set()


async def main():
    target = RawTarget(json.loads(sys.argv[1]))
    buffer_bytes = SMALL_BUFFER_BYTES if target.options.get("unread") else None
    await serve_commands(target.serve, target.go, buffer_bytes)


if __name__ == "__main__":
    asyncio.run(main())
