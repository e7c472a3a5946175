"""Send requests on kept connections while a daemon process stops, as callers do."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from stand_ins.platform_routes import make_headers

# A request sent this shortly before its connection closed may have crossed the close.
CROSSING_SECONDS = 0.2
# Requests sent this long after the signal may be cut at the end of the grace period.
CUT_SECONDS = 3.0
# Part of the grace period at whose end a target may still be at work.
LAST_SHARE = 1 / 6


@dataclass(slots=True)
class Exchange:
    """Request on a raw connection, with what came back; times are monotonic seconds.

    ``status`` is 0 without a head, ``is_whole`` is set when the body arrived in full.
    """

    attempt: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def closes(self):
        """Return whether the answer says that its connection closes."""
        return self.headers.get("connection", "").lower() == "close"


def make_request(path, attempt, deadline_ms, method="POST", body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in make_headers(attempt, deadline_ms).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader, exchange):
    """Read one answer into an exchange, as far as it arrives."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        exchange.status = int(head[0].split()[1])
        pairs = [line.split(": ", 1) for line in head[1:] if line]
        exchange.headers = {name.lower(): value for name, value in pairs}
        if "content-length" in exchange.headers:
            length = int(exchange.headers["content-length"])
            exchange.body = await reader.readexactly(length)
        else:
            await _read_chunks(reader, exchange)
        exchange.is_whole = True
    exchange.ended_at = time.monotonic()


async def _read_chunks(reader, exchange):
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = (await reader.readexactly(size + 2))[:-2]
        exchange.body += chunk
        if not size:
            return


class KeptConnection:
    """Caller that sends one request after another, on kept connections.

    ``exchanges`` lists its requests. It opens a new connection where an answer closes
    the former one, and stops when the port is closed.
    """

    def __init__(self, name, address, paths, deadline_ms, pause=0.02):
        self.exchanges = []
        self._name = name
        self._address = address
        self._paths = paths
        self._deadline_ms = deadline_ms
        self._pause = pause

    async def run(self):
        """Send requests until no connection can be opened."""
        ip, _, port = self._address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                return
            with contextlib.suppress(OSError):
                await self._use(reader, writer)
            writer.close()

    async def _use(self, reader, writer):
        while True:
            number = len(self.exchanges)
            path = self._paths[number % len(self._paths)]
            exchange = Exchange(f"{self._name}-{number}", time.monotonic())
            self.exchanges.append(exchange)
            writer.write(make_request(path, exchange.attempt, self._deadline_ms))
            await read_answer(reader, exchange)
            if not exchange.is_whole or exchange.closes:
                return
            await asyncio.sleep(self._pause)


def list_lost(exchanges, received, signal_at, grace):
    """Return the exchanges that a planned stop lost.

    ``received`` holds the attempts that targets received, ``grace`` is in seconds.
    """
    last_part_at = signal_at + grace * (1 - LAST_SHARE)
    lost = []
    for exchange in exchanges:
        if exchange.is_whole:
            continue
        is_late = exchange.sent_at > signal_at + CUT_SECONDS
        if exchange.attempt in received:
            is_allowed = not is_late and exchange.ended_at >= last_part_at
        else:
            is_allowed = exchange.ended_at - exchange.sent_at <= CROSSING_SECONDS
        if not is_allowed:
            lost.append(exchange)
    return lost
