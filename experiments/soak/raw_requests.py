"""Write HTTP requests on raw connections and read what comes back."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from stand_ins.platform_routes import make_headers

__all__ = ["Exchange", "make_request", "read_answer"]


@dataclass(slots=True)
class Exchange:
    """Request on a raw connection, with what came back; times are monotonic seconds.

    ``sent_at`` is the time of the last byte, None until then; ``status`` is 0 without a
    head, ``is_whole`` is set when the body arrived in full.
    """

    attempt: str
    sent_at: float | None
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def closes(self) -> bool:
        """Return whether the answer says that its connection closes."""
        return self.headers.get("connection", "").lower() == "close"


def make_request(
    path: str,
    attempt: str,
    deadline_ms: int,
    method: str = "POST",
    body: bytes = b"",
    output_tokens: int = 4,
    prompt: str | None = None,
    key: str = "",
) -> bytes:
    """Return the bytes of a request; ``prompt`` are the parts of its own prompt.

    ``key`` is that of its organisation, empty for none.
    """
    headers = make_headers(attempt, deadline_ms, output_tokens)
    if key:
        headers["Authorization"] = f"Token {key}"
    if prompt is not None:
        headers["X-Galenapass-Prompt-Prefix"] = prompt
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader, exchange: Exchange) -> None:
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


async def _read_chunks(reader: asyncio.StreamReader, exchange: Exchange) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = (await reader.readexactly(size + 2))[:-2]
        exchange.body += chunk
        if not size:
            return
