"""Test that pauses of this process do not count as the silence of a peer."""

import asyncio
import contextlib
import functools
import socket
import time
from datetime import timedelta

import aiohttp
from aiohttp import web
from testtools import TestCase

from galenapass.targets.connections import open_keepalive_session
from galenapass.timeouts import limit_silence

LIMIT = timedelta(milliseconds=200)
PAUSE_SECONDS = 0.6


async def measure_limit(passes=None):
    """Return the seconds after which a wait for nothing ends.

    ``passes`` is the number of seconds that each pass of the event loop takes.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def work():
        while passes:
            time.sleep(passes)
            await asyncio.sleep(0)

    task = asyncio.create_task(work())
    try:
        async with limit_silence(LIMIT):
            await asyncio.Event().wait()
    except TimeoutError:
        return loop.time() - began
    finally:
        task.cancel()


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while it waits or is paused."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        select = self._selector.select

        def skip_and_select(timeout=None):
            self.now += timeout or 0.0
            return select(0)

        self._selector.select = skip_and_select

    def time(self):
        return self.now

    def pause(self, seconds):
        self.now += seconds


def simulate(main):
    """Return what a coroutine returns in simulated time, given its event loop."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main(runner.get_loop()))


class TestRepeatedPauses(TestCase):
    def test_a_silent_peer_is_given_up_however_often_this_process_pauses(self):
        for pause, factor in ((0.01, 2), (0.026, 2), (0.03, 2), (0.06, 4)):

            async def main(loop, pause=pause):
                async def work():
                    while True:
                        loop.pause(pause)
                        await asyncio.sleep(0)

                task = asyncio.create_task(work())
                with contextlib.suppress(TimeoutError):
                    async with limit_silence(LIMIT):
                        await asyncio.Event().wait()
                task.cancel()
                return loop.time()

            longest = factor * LIMIT.total_seconds()
            self.assertLessEqual(simulate(main), longest, pause)

    def test_an_answer_that_comes_during_any_pause_is_read(self):
        async def main(loop, first, last):
            async def answer():
                await asyncio.sleep(first)
                loop.pause(0.06)
                await asyncio.sleep(last - loop.time())
                loop.pause(0.6)
                # What came in the pause takes a few passes of the loop to read.
                for _ in range(5):
                    await asyncio.sleep(0)
                answered.set()

            answered = asyncio.Event()
            task = asyncio.create_task(answer())
            try:
                async with limit_silence(LIMIT):
                    await answered.wait()
            except TimeoutError:
                # The peer was silent until then.
                self.assertLess(loop.time(), last, (first, last))
            await task

        for first in range(5, 50, 5):
            for last in range(120, 270, 5):
                simulate(functools.partial(main, first=first / 1000, last=last / 1000))


class TestLimitSilence(TestCase):
    def test_a_silent_peer_is_given_up(self):
        took = asyncio.run(measure_limit())
        self.assertGreaterEqual(took, LIMIT.total_seconds())

    def test_a_peer_is_given_up_by_a_process_that_is_always_late(self):
        took = asyncio.run(measure_limit(passes=0.06))
        self.assertGreaterEqual(took, LIMIT.total_seconds())

    def test_an_answer_that_came_during_a_pause_is_read(self):
        async def main():
            ours, theirs = socket.socketpair()
            reader, writer = await asyncio.open_connection(sock=ours)
            loop = asyncio.get_running_loop()
            for delay in (0.0, 0.1, 0.15, 0.18):
                loop.call_later(delay, time.sleep, PAUSE_SECONDS)
                loop.call_later(delay, theirs.send, b"x")
                async with limit_silence(LIMIT):
                    self.assertEqual(b"x", await reader.read(1))
            writer.close()
            theirs.close()

        asyncio.run(main())

    def test_a_limit_does_not_end_what_has_ended(self):
        async def main():
            async with limit_silence(timedelta(milliseconds=10)):
                pass
            await asyncio.sleep(0.05)

        asyncio.run(main())

    def test_the_cancellation_of_a_caller_is_passed_on(self):
        async def main():
            async with limit_silence(LIMIT):
                await asyncio.Event().wait()

        async def cancel():
            task = asyncio.create_task(main())
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait((task,))
            self.assertTrue(task.cancelled())

        asyncio.run(cancel())


class TestConnect(TestCase):
    def test_a_target_is_not_unreachable_as_this_process_pauses(self):
        async def answer(request):
            return web.Response(text="whole")

        async def main():
            app = web.Application()
            app.router.add_get("/", answer)
            runner = web.AppRunner(app)
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            session = open_keepalive_session(once=True, connect=LIMIT)
            loop = asyncio.get_running_loop()
            connect = loop.sock_connect

            async def pause(*args):
                loop.call_soon(time.sleep, PAUSE_SECONDS)
                return await connect(*args)

            loop.sock_connect = pause
            url = "http://{}:{}/".format(*runner.addresses[0][:2])
            async with session, session.get(url) as response:
                self.assertEqual("whole", await response.text())
            await runner.cleanup()

        asyncio.run(main())

    def test_a_target_that_accepts_nothing_is_unreachable(self):
        async def main():
            with socket.socket() as full:
                full.bind(("127.0.0.1", 0))
                full.listen(0)
                # The queue of the socket holds one connection more than its limit.
                queued = [socket.create_connection(full.getsockname())]
                session = open_keepalive_session(once=True, connect=LIMIT)
                url = "http://{}:{}/".format(*full.getsockname())
                async with session:
                    with self.assertRaises(aiohttp.ConnectionTimeoutError):
                        await session.get(url)
                for connection in queued:
                    connection.close()

        asyncio.run(main())
