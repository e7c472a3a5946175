"""Read answers on raw connections, with how each of them ended."""

import asyncio
from dataclasses import dataclass, field

from stand_ins.runner_answers import Framing

__all__ = ["Answer", "read_answer"]


@dataclass(slots=True)
class Answer:
    """Answer to an attempt; times are in seconds from the start of the soak test.

    ``status`` is 0 without a head, ``end`` is how the end of the body was told, None if
    it never was. ``is_malformed`` is set if the bytes are no answer of the protocol.
    ``key`` is that of the request, empty for none.
    """

    attempt: str
    route: str
    path: str
    daemon: str
    began: float
    ended: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: Framing | None = None
    is_malformed: bool = False
    key: str = ""

    @property
    def stays_open(self) -> bool:
        """Return whether another request may follow on the connection."""
        is_closing = self.headers.get("connection", "").lower() == "close"
        return self.end in (Framing.LENGTH, Framing.CHUNKS) and not is_closing


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer as far as it arrives."""
    try:
        await _read_head(reader, answer)
        if "transfer-encoding" in answer.headers:
            await _read_chunks(reader, answer)
            answer.end = Framing.CHUNKS
        elif "content-length" in answer.headers:
            await _read_bytes(reader, answer, int(answer.headers["content-length"]))
            answer.end = Framing.LENGTH
        else:
            while piece := await reader.read(2**16):
                answer.body += piece
            answer.end = Framing.CLOSE
    except asyncio.IncompleteReadError as error:
        answer.is_malformed |= not answer.status and bool(error.partial)
    except (ValueError, asyncio.LimitOverrunError):
        answer.is_malformed = True
    except OSError:
        return


async def _read_head(reader: asyncio.StreamReader, answer: Answer) -> None:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    protocol, status, _ = lines[0].split(" ", 2)
    if protocol != "HTTP/1.1":
        raise ValueError(f"not an answer: {lines[0]!r}")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    answer.headers = {name.lower(): value.strip() for name, value in pairs}
    answer.status = int(status)


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await _read_bytes(reader, answer, size)
        await _read_line_end(reader)
    await _read_line_end(reader)


async def _read_line_end(reader: asyncio.StreamReader) -> None:
    if (found := await reader.readexactly(2)) != b"\r\n":
        raise ValueError(f"not the end of a chunk: {found!r}")


async def _read_bytes(reader: asyncio.StreamReader, answer: Answer, size: int) -> None:
    while size:
        piece = await reader.read(min(size, 2**16))
        if not piece:
            raise asyncio.IncompleteReadError(b"", size)
        answer.body += piece
        size -= len(piece)
