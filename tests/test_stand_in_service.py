"""Test the plain service stand-in, and that each program stops on a signal."""

import asyncio
import os
import signal
import sys
from contextlib import asynccontextmanager

import aiohttp
from testtools import TestCase

from stand_ins.service import attach_server, build_app
from stand_ins.serving import Server, split_address

TIMEOUT_SECONDS = 20


@asynccontextmanager
async def serve():
    """Serve one plain service and yield a client session."""
    app = build_app(restart_seconds=0.1)
    server = Server(app, "127.0.0.1:0")
    address = await server.start()
    attach_server(app, server)
    try:
        async with aiohttp.ClientSession(f"http://{address}") as session:
            yield session
    finally:
        await server.stop()


async def call(session, key, body=b"seat 4"):
    headers = {"Idempotency-Key": key, "X-Request-Id": f"r-{key}"}
    async with session.post("/holds", data=body, headers=headers) as response:
        return response.status, await response.json()


async def put_faults(session, **faults):
    async with session.post("/stand-in/faults", json=faults) as response:
        return response.status


async def read_account(session):
    async with session.get("/stand-in/account") as response:
        return await response.json()


class ServiceTest(TestCase):
    def test_counts_each_run_of_each_key(self):
        async def run():
            async with serve() as session:
                for key in ("a", "b", "a"):
                    status, answer = await call(session, key)
                self.assertEqual((200, "a", 2), (status, answer["key"], answer["run"]))
                await session.get("/seats?day=2")
                account = await read_account(session)
                self.assertEqual({"a": 2, "b": 1}, account["runs"])
                self.assertEqual(
                    (4, 1), (account["calls"], account["runs_without_key"])
                )

        asyncio.run(run())

    def test_only_a_lost_response_counts_as_a_run(self):
        async def run():
            async with serve() as session:
                await put_faults(session, refuse=1)
                self.assertEqual(503, (await call(session, "refused"))[0])
                await put_faults(session, lose_answers=1)
                await self._expect_drop(session, "lost")
                await put_faults(session, down=True)
                await self._expect_drop(session, "down")
                account = await read_account(session)
                self.assertEqual({"lost": 1}, account["runs"])
                self.assertEqual(3, account["calls"])

        asyncio.run(run())

    async def _expect_drop(self, session, key, body=b""):
        with self.assertRaises(aiohttp.ClientError):
            await call(session, key, body)

    def test_marked_body_crashes_the_service_and_keeps_the_account(self):
        async def run():
            async with serve() as session:
                await put_faults(session, crash_on="poison")
                await self._expect_drop(session, "a", b"some poison")
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    account = await self._read_when_back(session)
                self.assertEqual(({"a": 1}, 1), (account["runs"], account["crashes"]))

        asyncio.run(run())

    async def _read_when_back(self, session):
        while True:
            try:
                return await read_account(session)
            except aiohttp.ClientError:
                await asyncio.sleep(0.01)


class ProgramTest(TestCase):
    def test_each_program_is_ready_and_stops_by_signal(self):
        async def run():
            names = ("engine", "platform", "service")
            await asyncio.gather(*(self._start_and_stop(name) for name in names))

        asyncio.run(run())

    async def _start_and_stop(self, name):
        command = (sys.executable, "-m", f"stand_ins.{name}")
        pipe = asyncio.subprocess.PIPE
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        process = await asyncio.create_subprocess_exec(*command, stdout=pipe, env=env)
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                line = (await process.stdout.readline()).decode()
                address = line.removeprefix("ready ").strip()
                self.assertGreater(split_address(address)[1], 0)
                account = f"http://{address}/stand-in/account"
                async with aiohttp.ClientSession() as session:
                    async with session.get(account) as response:
                        self.assertEqual(200, response.status)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(0, await process.wait())
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    def test_refuses_an_address_without_a_port(self):
        error = self.assertRaises(ValueError, split_address, "127.0.0.1")
        self.assertIn("127.0.0.1", str(error))
