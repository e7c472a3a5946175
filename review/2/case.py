"""A machine stops as planned; a stream that it begins late lasts longer than others."""

import asyncio
import re
import signal
from pathlib import Path

from review.support import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Daemon,
    Platform,
    is_troubled,
    main,
)
from stand_ins.platform_routes import HOST, make_route
from stand_ins.runner import Runner

GRACE_SECONDS = 8.0
# A request sent later than this after SIGTERM is not excused by a long run.
EXCUSED_SECONDS = 3.0
SENT_SECONDS = 3.2
DEADLINE_MS = 8000
TOKENS = "686,40"
EVENT_SECONDS = 0.12
# Most answers end long before their largest number of tokens, one does not.
USUAL_EVENTS, LONG_EVENTS = 3, 40
USUAL_STREAMS = 60
LONG_STREAMS = 3
EVENT_ID = re.compile(rb"id: (\d+)\n")

CONFIGURATION = {
    "version": 3,
    "routes": [
        make_route(
            "/notes/",
            "streaming",
            "lm",
            resumable=True,
            timeout_ms=DEADLINE_MS,
            target_latency_ms=600,
        ),
    ],
    "services": [{"name": "lm", "engine": {"kv_tokens": 500_000, "reconfig_s": 3.0}}],
    "limits": {"idle_timeout_ms": 15000},
}


class Client:
    """Client that keeps one connection open for many requests."""

    def __init__(self, platform: Platform, daemon: Daemon, name: str):
        self._platform, self._daemon, self._name = platform, daemon, name
        self._number = 0

    async def connect(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self._daemon.ip, self._daemon.front_port
        )

    async def ask(self, events: int) -> tuple[int, int, bool]:
        """Return the status, the last event and whether the answer was complete."""
        self._number += 1
        attempt = f"{self._name}-{self._number}"
        body = attempt.encode()
        prefix = f"aa:350,bb:136,{attempt.encode().hex()}:200"
        head = (
            f"POST /notes/{attempt}?events={events}&seconds={EVENT_SECONDS}"
            " HTTP/1.1\r\n"
            f"Host: {HOST}\r\nX-Galenapass-Attempt-Id: {attempt}\r\n"
            f"X-Galenapass-Deadline-Ms: {DEADLINE_MS}\r\nX-Galenapass-Model: m\r\n"
            f"X-Galenapass-Token-Count: {TOKENS}\r\n"
            f"X-Galenapass-Prompt-Prefix: {prefix}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        record = self._platform.record
        record.write(f"client sends {attempt} to {self._daemon.name}")
        self._writer.write(head.encode() + body)
        status, last, is_complete = 0, 0, False
        try:
            head_bytes = await self._reader.readuntil(b"\r\n\r\n")
            status = int(head_bytes.split(b" ")[1])
            last, is_complete = await self._read_body(head_bytes)
        except (OSError, asyncio.IncompleteReadError):
            pass
        state = "whole" if is_complete else "cut"
        record.write(f"client gets {status} for {attempt}, {last} events, {state}")
        return status, last, is_complete

    async def _read_body(self, head: bytes) -> tuple[int, bool]:
        last = 0
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if length is not None:
            await self._reader.readexactly(int(length.group(1)))
            return last, True
        while True:
            try:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                chunk = await self._reader.readexactly(size + 2)
            except (OSError, asyncio.IncompleteReadError):
                return last, False
            if not size:
                return last, True
            found = EVENT_ID.findall(chunk)
            last = int(found[-1]) if found else last


async def play(platform: Platform) -> int:
    """Play the case."""
    await platform.start_store(CONFIGURATION)
    for number in range(9):
        stage = "prefill" if number < 4 else "decode"
        runner = Runner(f"e{number}", "lm", zone=ZONES[number % 3], stage=stage)
        await platform.add_runner(runner)
    for number in range(6):
        platform.add_daemon(ZONES[number % 3])
    for daemon in platform.daemons:
        await platform.wait_ready(daemon)
    await asyncio.sleep(10.0)
    stopping = platform.daemons[0]
    clients = [Client(platform, stopping, f"c{n}") for n in range(LONG_STREAMS)]
    for client in clients:
        await client.connect()
    for _ in range(USUAL_STREAMS // LONG_STREAMS):
        await asyncio.gather(*(client.ask(USUAL_EVENTS) for client in clients))
    start = platform.record.now()
    if is_troubled():
        platform.record.write(f"{stopping.name} gets SIGTERM")
        stopping.send(signal.SIGTERM)
    await asyncio.sleep(SENT_SECONDS)
    sent_at = platform.record.now() - start
    answers = await asyncio.gather(*(client.ask(LONG_EVENTS) for client in clients))
    ran = {attempt for runner in platform.runners for attempt in runner.ran}
    passed_on = [
        f"c{n}-{USUAL_STREAMS // LONG_STREAMS + 1}" for n in range(len(clients))
    ]
    lost = [
        name
        for name, (_, _, is_complete) in zip(passed_on, answers, strict=True)
        if not is_complete and name in ran
    ]
    platform.record.write(f"sent {sent_at:.2f} s after SIGTERM, lost: {lost}")
    if sent_at <= EXCUSED_SECONDS:
        return NOT_RUN
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
