"""Test answers that are another's, or end with their target, in rarer orders."""

import asyncio
import signal
import socket
import subprocess
import sys
import time
from datetime import timedelta

import aiohttp
from result import Err, Ok
from testtools import TestCase

from galenapass.targets.engines import EngineClient
from galenapass.targets.probes import ProbeClient
from galenapass.verdicts import Run
from stand_ins.runner import ATTEMPT, SIGNATURE
from tests.test_platform_faults import raw_target
from tests.test_platform_second_answers import Caller, make_answer

PART_BYTES = 250_000
PROCESS = """
import socket, sys, threading, time
listening = socket.socket()
listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listening.bind(("127.0.0.1", int(sys.argv[1])))
listening.listen(50)
print(listening.getsockname()[1], flush=True)
def serve(connected):
    data = b""
    connected.settimeout(float(sys.argv[3]))
    while b"\\r\\n\\r\\n" not in data:
        try:
            got = connected.recv(65536)
        except TimeoutError:
            connected.close()
            return
        if not got:
            return
        data += got
    lines = data.split(b"\\r\\n")
    name = b"x-galenapass-attempt-id"
    attempt = [l.split(b": ")[1] for l in lines if l.lower().startswith(name)][0]
    time.sleep(float(sys.argv[4]))
    connected.sendall(
        b"HTTP/1.1 200 OK\\r\\nX-Galenapass-Attempt-Id: " + attempt
        + b"\\r\\nX-Galenapass-Response-Signature: s\\r\\n\\r\\n"
        + b"x" * int(sys.argv[2])
    )
    if sys.argv[5] != "0":
        time.sleep(float(sys.argv[5]))
        connected.sendall(b"x" * 10)
    print("sent", flush=True)
    time.sleep(60)
while True:
    connected, _ = listening.accept()
    threading.Thread(target=serve, args=(connected,), daemon=True).start()
"""


class Target:
    """Target that is a process; it never ends an answer itself."""

    def __init__(self, port=0, size=PART_BYTES, idle=60, delay=0, pause=0):
        options = [str(option) for option in (port, size, idle, delay, pause)]
        command = [sys.executable, "-c", PROCESS, *options]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.port = int(self.process.stdout.readline())

    def wait_until_sent(self):
        assert self.process.stdout.readline() == "sent\n"

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process.stdout.close()


async def run_slowly(caller, between):
    """Return the size of an answer taken for whole, None if it was cut visibly."""
    context = caller.client.run(
        caller.target,
        caller.make_message("a1"),
        between.limit,
        priority=None,
        source=None,
        last_event=None,
        once=True,
    )
    try:
        async with context as response, asyncio.timeout(8):
            if isinstance(response, Err):
                return None
            size = 0
            async for chunk in response.ok_value.chunks:
                if not size:
                    await between()
                size += len(chunk)
            return size
    except (aiohttp.ClientError, OSError):
        return None


class Pause:
    """What happens after the first bytes of an answer."""

    def __init__(self, play, limit):
        self.play = play
        self.limit = limit

    async def __call__(self):
        await self.play()


class TestReplacedTargets(TestCase):
    def check(self, scenario):
        self.assertIsNone(asyncio.run(scenario()))

    def test_killed_while_another_answer_is_not_read(self):
        """A connection that is not read shows no end; nothing listens any more."""

        async def scenario():
            target = await asyncio.to_thread(Target, 0, PART_BYTES, 0.2, 0, 0.5)
            caller = Caller(f"127.0.0.1:{target.port}")

            async def stall():
                await asyncio.sleep(6)

            async def play():
                return

            stalled = asyncio.create_task(
                run_slowly(caller, Pause(stall, timedelta(seconds=8)))
            )
            await asyncio.sleep(0.1)
            try:
                running = asyncio.create_task(
                    run_slowly(caller, Pause(play, timedelta(seconds=8)))
                )
                # The first and the second answer both hold their last bytes by then.
                await asyncio.to_thread(target.wait_until_sent)
                await asyncio.sleep(0.4)
                await asyncio.to_thread(target.kill)
                return await running
            finally:
                stalled.cancel()
                await asyncio.gather(stalled, return_exceptions=True)
                await caller.client.close()

        self.check(scenario)

    def test_killed_and_replaced_while_client_is_slow(self):
        """The bytes that wait in the socket are read once another process listens."""

        async def scenario():
            targets = [await asyncio.to_thread(Target)]
            caller = Caller(f"127.0.0.1:{targets[0].port}")

            async def play():
                await asyncio.to_thread(targets[0].wait_until_sent)
                await asyncio.sleep(0.1)
                await asyncio.to_thread(targets[0].kill)
                await asyncio.sleep(0.5)
                targets.append(await asyncio.to_thread(Target, targets[0].port))

            try:
                pause = Pause(play, timedelta(seconds=8))
                return await run_slowly(caller, pause)
            finally:
                await caller.client.close()
                for target in targets[1:]:
                    target.kill()

        self.check(scenario)

    def test_killed_and_replaced_after_idle_witness_closed(self):
        """A small answer is read at once, but its client takes it late."""

        async def scenario():
            targets = [await asyncio.to_thread(Target, 0, 9000, 0.2, 0, 0.5)]
            caller = Caller(f"127.0.0.1:{targets[0].port}")

            async def play():
                await asyncio.to_thread(targets[0].wait_until_sent)
                await asyncio.sleep(0.1)
                await asyncio.to_thread(targets[0].kill)
                await asyncio.sleep(0.5)
                targets.append(await asyncio.to_thread(Target, targets[0].port))

            try:
                return await run_slowly(caller, Pause(play, timedelta(seconds=8)))
            finally:
                await caller.client.close()
                for target in targets[1:]:
                    target.kill()

        self.check(scenario)

    def test_killed_and_replaced_while_host_is_frozen(self):
        """The head, the bytes and the end are all read once the host goes on."""
        self.check_frozen(0.0)

    def test_killed_and_replaced_while_host_is_frozen_for_longer(self):
        self.check_frozen(0.2)

    def check_frozen(self, seconds):
        async def scenario():
            targets = [await asyncio.to_thread(Target, 0, 9000, 60, 0.2)]
            caller = Caller(f"127.0.0.1:{targets[0].port}")

            def freeze():
                # As SIGSTOP: the loop does not run, the sockets receive.
                targets[0].wait_until_sent()
                time.sleep(0.1)
                targets[0].kill()
                targets.append(Target(targets[0].port))
                time.sleep(seconds)

            async def play():
                return

            try:
                asyncio.get_running_loop().call_later(0.1, freeze)
                return await run_slowly(caller, Pause(play, timedelta(seconds=8)))
            finally:
                await caller.client.close()
                for target in targets[1:]:
                    target.kill()

        self.check(scenario)

    def test_end_of_the_witness_is_late(self):
        """One lost segment delays the end of one connection by 200 ms or more."""

        async def scenario():
            open_writers = []

            async def serve(reader, writer):
                open_writers.append(writer)
                if len(open_writers) > 1:
                    return
                await reader.readuntil(b"\r\n\r\n")
                head = f"HTTP/1.1 200 OK\r\n{ATTEMPT}: a1\r\n{SIGNATURE}: s\r\n\r\n"
                writer.write(head.encode() + b"x" * 100)
                await asyncio.sleep(0.1)
                # The end of a killed process: nothing listens any more.
                server.close()
                writer.close()
                await asyncio.sleep(0.2)
                for other in open_writers[1:]:
                    other.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            caller = Caller(f"127.0.0.1:{port}")

            async def nothing():
                return

            try:
                return await run_slowly(caller, Pause(nothing, timedelta(seconds=8)))
            finally:
                await caller.client.close()

        self.check(scenario)


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    lines = dict(x.split(": ", 1) for x in head.split("\r\n")[1:] if ": " in x)
    await reader.readexactly(int(lines.get("content-length", 0)))
    return head.split(" ")[0], lines.get(ATTEMPT.lower(), "")


def make_head(attempt, length):
    return (
        f"HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SIGNATURE}: s\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


class TestSecondAnswersInBodies(TestCase):
    def play(self, second, first, kept, pause=0.05):
        """Return the bodies after a first call, the next one holding ``second``.

        What exceeds the length of the body comes ``pause`` seconds later.
        """

        async def scenario():
            async def serve(reader, writer):
                count = 0
                try:
                    while True:
                        method, attempt = await read_request(reader)
                        count += 1
                        if method == "delete":
                            writer.write(
                                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                            )
                            continue
                        body = b"y" * 200
                        if count == 1:
                            writer.write(make_head(attempt, 200) + body)
                            continue
                        mixed = body[:kept] + second + body[kept:]
                        writer.write(make_head(attempt, 200) + mixed[:200])
                        await asyncio.sleep(pause)
                        writer.write(mixed[200:])
                except (OSError, asyncio.IncompleteReadError):
                    writer.close()

            async with raw_target(serve) as address:
                caller = Caller(address)
                try:
                    await first(caller)
                    return await caller.run("a2")
                finally:
                    await caller.client.close()

        return asyncio.run(scenario())

    def test_answer_to_release_of_cache(self):
        """The answer to a DELETE names no attempt."""
        second = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        body = self.play(second, lambda caller: caller.release("h"), 100)
        self.assertIn(body, (None, b"y" * 200))

    def test_body_ends_within_status_line(self):
        """The rest of the second answer's head comes a little later."""
        second = make_head("a1", 200) + b"y" * 200
        body = self.play(second, lambda caller: caller.run("a1"), 190)
        self.assertIn(body, (None, b"y" * 200))

    def test_answer_without_headers(self):
        """A status line and an empty line are a head, too."""
        second = b"HTTP/1.1 200 OK\r\n\r\n"
        body = self.play(second, lambda caller: caller.release("h"), 100)
        self.assertIn(body, (None, b"y" * 200))


class TestCancelledProofs(TestCase):
    def test_records_end_with_cancelled_requests(self):
        """Requests that are cancelled while their witness connects leave nothing."""

        async def scenario():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                head = f"HTTP/1.1 200 OK\r\n{ATTEMPT}: a1\r\n{SIGNATURE}: s\r\n\r\n"
                writer.write(head.encode() + b"x" * 100)
                await asyncio.sleep(5)

            async with raw_target(serve) as address:
                caller = Caller(address)

                async def wait():
                    await asyncio.sleep(5)

                before = asyncio.all_tasks()
                for delay in range(40):
                    pause = Pause(wait, timedelta(seconds=8))
                    task = asyncio.create_task(run_slowly(caller, pause))
                    await asyncio.sleep(delay * 0.0002)
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                await asyncio.sleep(0.2)
                left = [
                    t
                    for t in asyncio.all_tasks() - before
                    if "serve" not in repr(t.get_coro())
                ]
                await caller.client.close()
                return left

        self.assertEqual([], asyncio.run(scenario()))


class TestProductProbes(TestCase):
    def play(self, probe, first, second):
        """Return the results of two probes; the first answer is repeated late."""

        async def scenario():
            # Probes, over all connections.
            count = 0

            async def serve(reader, writer):
                nonlocal count
                repeated = count
                try:
                    while True:
                        await reader.readuntil(b"\r\n\r\n")
                        count += 1
                        if count == 2 and repeated == 0:
                            writer.write(first)
                            await asyncio.sleep(0.03)
                        writer.write(first if count == 1 else second)
                except (OSError, asyncio.IncompleteReadError):
                    writer.close()

            engines = EngineClient()
            probes = ProbeClient(engines)
            async with raw_target(serve) as address:
                try:
                    return [await probe(engines, probes, address) for _ in range(2)]
                finally:
                    await probes.close()
                    await engines.close()

        return asyncio.run(scenario())

    def test_readiness(self):
        ready = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        other = ready.replace(b"200 OK", b"503 Busy")
        _, last = self.play(lambda e, p, a: p.fetch_ready(a), ready, other)
        self.assertNotEqual(Ok(True), last)


class TestSoundAnswers(TestCase):
    def test_idle_witness_closed_before_late_end(self):
        """A target closes its idle connection, and the answer a little later."""

        async def scenario():
            async def serve(reader, writer):
                try:
                    async with asyncio.timeout(0.2):
                        await reader.readuntil(b"\r\n\r\n")
                except (TimeoutError, asyncio.IncompleteReadError):
                    writer.close()
                    return
                head = f"HTTP/1.1 200 OK\r\n{ATTEMPT}: a1\r\n{SIGNATURE}: s\r\n\r\n"
                writer.write(head.encode() + b"x" * 100)
                await asyncio.sleep(0.4)
                writer.close()

            async with raw_target(serve) as address:
                caller = Caller(address)

                async def play():
                    return

                try:
                    pause = Pause(play, timedelta(seconds=8))
                    return await run_slowly(caller, pause)
                finally:
                    await caller.client.close()

        self.assertEqual(100, asyncio.run(scenario()))

    def test_target_with_full_backlog(self):
        """A busy target answers on, and its system drops new connections."""

        async def scenario():
            loop = asyncio.get_running_loop()
            listening = socket.socket()
            listening.bind(("127.0.0.1", 0))
            listening.listen(0)
            listening.setblocking(False)
            address = listening.getsockname()
            fillers = []

            async def serve():
                connected, _ = await loop.sock_accept(listening)
                with connected:
                    while b"\r\n\r\n" not in await loop.sock_recv(connected, 65536):
                        pass
                    for _ in range(2):
                        filler = socket.socket()
                        filler.setblocking(False)
                        filler.connect_ex(address)
                        fillers.append(filler)
                    await asyncio.sleep(0.05)
                    head = f"HTTP/1.1 200 OK\r\n{ATTEMPT}: a1\r\n{SIGNATURE}: s\r\n\r\n"
                    await loop.sock_sendall(connected, head.encode() + b"x" * 100)

            async def play():
                return

            caller = Caller(f"127.0.0.1:{address[1]}")
            serving = asyncio.create_task(serve())
            try:
                return await run_slowly(caller, Pause(play, timedelta(seconds=8)))
            finally:
                await serving
                for opened in (*fillers, listening):
                    opened.close()
                await caller.client.close()

        self.assertEqual(100, asyncio.run(scenario()))

    def count_connections(self, send, is_named):
        """Return how many connections are open after 30 calls, one after the other."""

        async def scenario():
            opened = set()

            async def serve(reader, writer):
                opened.add(writer)
                try:
                    while True:
                        _, attempt = await read_request(reader)
                        lines = [f"{ATTEMPT}: {attempt}"] if is_named else []
                        body = b'{"kv_handle":"h1","tokens":1,"version":1}'
                        writer.write(make_answer(body, *lines))
                except (OSError, asyncio.IncompleteReadError):
                    opened.discard(writer)
                    writer.close()

            async with raw_target(serve) as address:
                caller = Caller(address)
                try:
                    for number in range(30):
                        self.assertIsNotNone(await send(caller, f"a{number}"))
                    await asyncio.sleep(0.1)
                    return len(opened)
                finally:
                    await caller.client.close()

        return asyncio.run(scenario())

    def test_connections_after_named_prefills(self):
        count = self.count_connections(lambda c, a: c.prefill(a), True)
        self.assertLessEqual(count, 2)

    def test_connections_after_unnamed_prefills(self):
        count = self.count_connections(lambda c, a: c.prefill(a), False)
        self.assertLessEqual(count, 2)

    def test_connections_after_unnamed_runs(self):
        count = self.count_connections(lambda c, a: c.run(a), False)
        self.assertLessEqual(count, 2)


class TestEngineRetries(TestCase):
    def test_second_refusal_is_none_of_the_retry(self):
        """A refusal of a request comes again as the engine runs its retry."""

        async def scenario():
            runs = []

            async def serve(reader, writer):
                lines = "X-Request-Id: r1\r\nContent-Length: 0\r\n"
                ok = f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()
                refusal = f"HTTP/1.1 503 Busy\r\nX-Run: not-run\r\n{lines}\r\n".encode()
                try:
                    while True:
                        await read_request(reader)
                        runs.append(1)
                        if len(runs) == 1:
                            writer.write(ok)
                        elif len(runs) == 2:
                            writer.write(refusal)
                        else:
                            # The engine runs it; the refusal before comes again.
                            writer.write(refusal)
                            await asyncio.sleep(0.03)
                            writer.write(ok)
                except (OSError, asyncio.IncompleteReadError):
                    writer.close()

            client = EngineClient()
            async with raw_target(serve) as address:
                headers = {"X-Request-Id": "r1"}
                results = []
                try:
                    for _ in range(4):
                        posted = await client._post(address, "/x", b"{}", headers)
                        results.append(posted)
                        if isinstance(posted, Ok):
                            await posted.ok_value.read()
                            posted.ok_value.release()
                        if len(runs) == 3:
                            break
                finally:
                    await client.close()
            return results, len(runs)

        results, runs = asyncio.run(scenario())
        self.assertEqual(3, runs)
        last = results[-1]
        self.assertFalse(isinstance(last, Err) and last.err_value.run is Run.NOT_RUN)
