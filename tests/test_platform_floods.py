"""Test that targets that send without end do not use up the memory of a daemon."""

import asyncio
import contextlib
import re
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from experiments.soak.environment import Environment
from experiments.soak.raw_requests import Exchange, make_request, read_answer
from experiments.soak.runs import wait_ready
from stand_ins.platform_routes import CONFIGURATION, make_route
from stand_ins.runner import SIGNATURE, Runner

# Limit of the process on the hosts of the first deployments.
MEMORY_LIMIT_KB = 300_000
FLOOD_TARGETS = 3
FLOOD_SLOTS = 64
FLOOD_CALLERS = 250
OTHER_CALLERS = 10
DEADLINE_MS = 3000
# Answers that are small, and larger than what every request may hold.
OTHER_BYTES = (800, 200_000)
FILLER = b"x" * 65_536
CONFIGURED = CONFIGURATION | {
    "routes": [
        *CONFIGURATION["routes"],
        make_route("/flood/", "non_idempotent", "flood", attempts=1),
        make_route("/floods/", "streaming", "flood-lm", resumable=True),
    ],
    "services": [
        *CONFIGURATION["services"],
        {"name": "flood"},
        {"name": "flood-lm", "engine": {"kv_tokens": 500_000, "reconfig_s": 0.1}},
    ],
}
# Fields of the head, the repeated bytes, and the pause after each in seconds.
FLOODS = {
    "a body without a length": (b"", FILLER, 0.0),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"10000\r\n" + FILLER + b"\r\n",
        0.0,
    ),
    "a false length": (b"Content-Length: 900000000000\r\n", FILLER, 0.0),
    "a length that is allowed": (b"Content-Length: 8000000\r\n", FILLER, 0.05),
    "a body that grows slowly": (b"", FILLER, 0.05),
    "an event without an end": (b"", b"data: " + FILLER, 0.0),
    "a field without an end": (b"X-A: ", FILLER, 0.0),
}


class FloodTarget:
    """Target that answers each request with bytes without end."""

    def __init__(self, runner, flood):
        self.entry = runner.entry
        self.runner = runner
        self.head, self.more, self.pause = FLOODS[flood]
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.runner.address = f"{ip}:{port}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b"\r\n\r\n")
            attempt = re.search(rb"(?i)x-galenapass-attempt-id: (.*)\r\n", request)
            named = attempt.group(1) if attempt else b""
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Galenapass-Attempt-Id: "
                + named
                + f"\r\n{SIGNATURE}: s1\r\n".encode()
                + self.head
            )
            if not self.head.startswith(b"X-A"):
                writer.write(b"\r\n")
            while True:
                writer.write(self.more)
                await writer.drain()
                await asyncio.sleep(self.pause)
        writer.close()

    def stop(self):
        self._server.close()


class Callers:
    """Callers of one daemon process, each request on a connection of its own."""

    def __init__(self, environment):
        self._daemon = next(iter(environment.daemons.values()))
        self._number = 0

    def read_peak_memory(self):
        """Return the largest memory that the process has had, in kilobytes."""
        status = Path(f"/proc/{self._daemon.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s*(\d+) kB", status).group(1))

    async def ask(self, path):
        self._number += 1
        exchange = Exchange(f"a{self._number}", time.monotonic())
        reader, writer = await asyncio.open_connection(
            self._daemon.ip, self._daemon.front_port
        )
        writer.write(make_request(path, exchange.attempt, DEADLINE_MS))
        await read_answer(reader, exchange)
        writer.close()
        return exchange

    async def ask_without_reading(self, path, seconds):
        """Ask for an answer and leave it unread."""
        self._number += 1
        reader, writer = await asyncio.open_connection(
            self._daemon.ip, self._daemon.front_port, limit=1024
        )
        writer.write(make_request(path, f"a{self._number}", DEADLINE_MS))
        await asyncio.sleep(seconds)
        writer.transport.abort()


def run(scenario, flood="chunks", sources=FLOOD_TARGETS, stage=""):
    """Run an async scenario with a daemon process and targets that flood it."""

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            environment = Environment(Path(folder), 1, configuration=CONFIGURED)
            service = "flood-lm" if stage else "flood"
            targets = [
                FloodTarget(
                    Runner(f"f{n}", service, stage=stage, slots=FLOOD_SLOTS), flood
                )
                for n in range(sources)
            ]
            sound = Runner("f9", "flood", slots=FLOOD_SLOTS)
            try:
                await environment.start()
                for target in targets:
                    await target.start()
                    environment.store.put("servers", target.runner.id, target.entry())
                if sources < FLOOD_TARGETS:
                    await sound.start()
                    environment.store.put("servers", sound.id, sound.entry())
                assert not await wait_ready(environment)
                await asyncio.sleep(0.5)
                await scenario(Callers(environment))
            finally:
                await environment.stop()
                for target in targets:
                    target.stop()
                await sound.stop()

    asyncio.run(main())


class TestFloods(TestCase):
    # Guards against a daemon that ends with the requests of all its callers, as its
    # targets send without end.

    def check(self, flood, path="/flood/1", **options):
        """Check memory and the other service under a flood; return its exchanges."""
        flooded = []

        async def scenario(callers):
            asked = [
                asyncio.create_task(callers.ask(path)) for _ in range(FLOOD_CALLERS)
            ]
            await asyncio.sleep(0.5)
            sizes = [n for n in OTHER_BYTES for _ in range(OTHER_CALLERS)]
            others = await asyncio.gather(
                *(callers.ask(f"/seats/1?bytes={size}") for size in sizes)
            )
            flooded.extend(await asyncio.gather(*asked))
            self.assertLess(callers.read_peak_memory(), MEMORY_LIMIT_KB)
            self.assertEqual(
                [(200, size) for size in sizes],
                [(e.status, len(e.body)) for e in others],
            )

        run(scenario, flood, **options)
        return flooded

    def test_bodies_without_end(self):
        for flood in (
            "a body without a length",
            "chunks",
            "a false length",
            "a length that is allowed",
            "a body that grows slowly",
            "a field without an end",
        ):
            with self.subTest(flood):
                flooded = self.check(flood)
                self.assertFalse({e.status for e in flooded} - {0, 200, 502, 503, 504})

    def test_prefills_without_end(self):
        for flood in ("chunks", "a body that grows slowly"):
            with self.subTest(flood):
                self.check(flood, "/floods/1", stage="prefill")

    def test_streams_without_end(self):
        for flood in ("chunks", "an event without an end"):
            with self.subTest(flood):
                self.check(flood, "/floods/1", stage="decode")

    def test_a_sound_target_beside_those_that_flood(self):
        flooded = self.check("chunks", sources=2)
        self.assertIn(200, {e.status for e in flooded})


class TestLargeAnswers(TestCase):
    def test_many_large_answers_at_once_are_all_served(self):
        async def scenario(callers):
            answers = await asyncio.gather(
                *(callers.ask("/seats/1?bytes=6000000") for _ in range(30))
            )
            self.assertEqual(
                [(200, 6_000_000)] * 30, [(e.status, len(e.body)) for e in answers]
            )
            self.assertLess(callers.read_peak_memory(), MEMORY_LIMIT_KB)

        run(scenario)

    def test_callers_that_do_not_read_do_not_use_up_the_memory(self):
        async def scenario(callers):
            slow = [
                asyncio.create_task(
                    callers.ask_without_reading("/seats/1?bytes=6000000", 2.0)
                )
                for _ in range(60)
            ]
            await asyncio.sleep(0.5)
            answers = [await callers.ask("/hold/1") for _ in range(OTHER_CALLERS)]
            await asyncio.gather(*slow)
            self.assertEqual([200] * OTHER_CALLERS, [e.status for e in answers])
            self.assertLess(callers.read_peak_memory(), MEMORY_LIMIT_KB)

        run(scenario)
