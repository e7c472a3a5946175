"""Test the faults of the stand-in runner on raw connections."""

import asyncio
import signal
import tempfile
from pathlib import Path

import orjson
from testtools import TestCase

from experiments.processes import start_process
from stand_ins.runner import ATTEMPT, SIGNATURE, Runner, RunnerFaults

PREFILL = "X-Galenapass-Stage: prefill\r\n"
WAIT_SECONDS = 5.0


def make_request(path, attempt="a1", method="GET", headers="", body=b""):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n{ATTEMPT}: {attempt}\r\n"
        f"{headers}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


ORDER = make_request("/order", method="POST", body=b'{"stage":"prefill"}')
CALL = make_request("/seats/1")
STREAM = make_request("/notes/1")


async def read_until_close(reader):
    """Return all bytes and how the connection ended."""
    received = b""
    try:
        while piece := await reader.read(2**16):
            received += piece
    except ConnectionResetError:
        return received, "reset"
    return received, "FIN"


async def open_to(address):
    ip, _, port = address.rpartition(":")
    return await asyncio.open_connection(ip, int(port))


def split_answers(received):
    return received.split(b"HTTP/1.1 ")[1:]


class TestRunnerFaults(TestCase):
    def play(self, scenario, stage="", **faults):
        """Return what a scenario with a runner and a connection to it returns."""

        async def main():
            runner = Runner("r1", "lm", stage=stage, faults=RunnerFaults(**faults))
            await runner.start()
            reader, writer = await open_to(runner.address)
            try:
                async with asyncio.timeout(WAIT_SECONDS):
                    return await scenario(runner, reader, writer)
            finally:
                writer.close()
                await runner.stop()

        return asyncio.run(main())

    def send(self, *requests, seconds=0.2, stage="", gap=0.05, **faults):
        """Return the answers that arrive within a time to requests on a connection."""

        async def scenario(runner, reader, writer):
            reading = asyncio.create_task(read_until_close(reader))
            for request in requests:
                writer.write(request)
                await asyncio.sleep(gap)
            await asyncio.sleep(seconds)
            writer.transport.abort()
            return split_answers((await reading)[0])

        return self.play(scenario, stage, **faults)

    def read(self, request, stage="", **faults):
        """Return the bytes until the runner closes, and how it does."""

        async def scenario(runner, reader, writer):
            writer.write(request)
            return await read_until_close(reader)

        return self.play(scenario, stage, **faults)

    def test_each_kind_of_answer_is_written_twice(self):
        cases = [
            ("", CALL, b"r1 GET /seats/1"),
            ("decode", STREAM, b"data: t4"),
            ("prefill", make_request("/notes/1", headers=PREFILL), b"kv_handle"),
            ("decode", make_request("/report"), b'"stage":"decode"'),
            ("decode", make_request("/kv-list"), b'"held"'),
            ("decode", ORDER, b"202 Accepted"),
        ]
        for stage, request, mark in cases:
            self.assertEqual(1, len(self.send(request, stage=stage)), request)
            answers = self.send(request, stage=stage, stutters=True)
            self.assertEqual([1, 1], [a.count(mark) for a in answers], request)

    def test_a_share_of_the_answers_is_written_twice(self):
        answers = self.send(*[CALL] * 20, gap=0.01, stutters=True, stutter_share=0.5)
        self.assertIn(len(answers), range(23, 38))

    def test_an_order_that_is_answered_twice_is_accepted_once(self):
        async def scenario(runner, reader, writer):
            writer.write(ORDER)
            for _ in range(2):
                await reader.readuntil(b"\r\n\r\n")
            return runner.orders

        self.assertEqual(1, self.play(scenario, "decode", stutters=True))

    def test_the_second_answer_bears_the_id_or_not(self):
        header = f"{ATTEMPT}: a1\r\n".encode()
        for stage, request in (("", CALL), ("decode", STREAM)):
            first, second = self.send(request, stage=stage, stutters=True)
            self.assertEqual(1, first.count(header))
            self.assertEqual(1, second.count(header))
            first, second = self.send(
                request, stage=stage, stutters=True, repeats_id=False
            )
            self.assertEqual((1, 0), (first.count(header), second.count(header)))

    def test_the_second_answer_is_late(self):
        for seconds, count in ((0.1, 1), (0.6, 2)):
            answers = self.send(
                CALL, seconds=seconds, stutters=True, stutter_seconds=(0.3, 0.3)
            )
            self.assertEqual(count, len(answers))

    def test_a_late_second_answer_comes_before_the_next_one(self):
        answers = self.send(
            CALL,
            make_request("/seats/2?seconds=0.2", "a2"),
            seconds=0.5,
            stutters=True,
            stutter_seconds=(0.1, 0.1),
        )
        paths = [answer.rpartition(b" ")[2][:8] for answer in answers]
        self.assertEqual([b"/seats/1"] * 2 + [b"/seats/2"] * 2, paths)

    def test_a_late_second_answer_waits_for_the_end_of_another(self):
        answers = self.send(
            make_request("/notes/1?events=1"),
            make_request("/notes/2?events=6&seconds=0.05", "a2"),
            seconds=0.8,
            stage="decode",
            stutters=True,
            stutter_seconds=(0.12, 0.12),
        )
        self.assertEqual([1, 6, 1, 6], [a.count(b"data: t") for a in answers])

    def test_an_unframed_answer_ends_with_its_connection(self):
        cases = [
            ("", CALL, b"r1 GET /seats/1"),
            ("decode", STREAM, b"id: 4\ndata: t4\n\n"),
            ("prefill", make_request("/notes/1", headers=PREFILL), b'"version":1}'),
            ("decode", make_request("/report"), b"}"),
        ]
        for stage, request, end in cases:
            received, close = self.read(request, stage, unframed=True)
            self.assertEqual("FIN", close)
            self.assertTrue(received.endswith(end), received)
            head = received.partition(b"\r\n\r\n")[0].lower()
            self.assertNotIn(b"content-length", head)
            self.assertNotIn(b"transfer-encoding", head)

    def test_the_second_copy_of_an_unframed_answer_comes_before_the_close(self):
        received, close = self.read(CALL, unframed=True, stutters=True)
        self.assertEqual(("FIN", 2), (close, len(split_answers(received))))

    def test_prefills_are_named_if_asked_for(self):
        request = make_request("/notes/1", headers=PREFILL)
        for names, count in ((False, 0), (True, 1)):
            (answer,) = self.send(request, stage="prefill", names_prefills=names)
            self.assertEqual(count, answer.count(ATTEMPT.encode()))

    def test_a_handle_names_its_attempt(self):
        (answer,) = self.send(make_request("/n", headers=PREFILL), stage="prefill")
        handle = orjson.loads(answer.partition(b"\r\n\r\n")[2])["kv_handle"]
        self.assertEqual("a1", handle.rpartition("-")[2])

    def test_broken_connections_end_with_a_fin_or_a_reset(self):
        for resets, close in ((False, "FIN"), (True, "reset")):
            for faults in (
                {"crash": True},
                {"break_after": 2, "event_seconds": 0.02},
                {"break_after": 2, "event_seconds": 0.02, "unframed": True},
            ):
                received, seen = self.read(STREAM, "decode", resets=resets, **faults)
                self.assertEqual(close, seen, faults)
                self.assertNotIn(b"t3", received)

    def test_a_crash_ends_all_connections_alike(self):
        for resets, close in ((False, "FIN"), (True, "reset")):

            async def scenario(runner, reader, writer):
                writer.write(CALL)
                await reader.readuntil(b"\r\n\r\n")
                runner.crash()
                return (await read_until_close(reader))[1]

            self.assertEqual(close, self.play(scenario, resets=resets))

    def test_a_plain_answer_is_split(self):
        async def scenario(runner, reader, writer):
            writer.write(make_request("/seats/1?bytes=1000"))
            await reader.readuntil(b"\r\n\r\n")
            first = await reader.read(2000)
            return len(first), len(await reader.readexactly(1000 - len(first)))

        self.assertEqual((500, 500), self.play(scenario, split_seconds=0.1))

    def test_answers_name_their_run(self):
        call = make_request("/seats/1?bytes=99")
        one, two = self.send(call, call, marks_runs=True)
        self.assertIn(f"{SIGNATURE}: signed-by-r1.1.1\r\n".encode(), one)
        self.assertIn(b"r1.1.1 a1 GET /seats/1?bytes=99\n", one)
        self.assertIn(b"r1.1.2 a1 GET /seats/1?bytes=99\n", two)
        (answer,) = self.send(STREAM, stage="decode", marks_runs=True)
        self.assertIn(b"id: 2\ndata: t2 r1.1.1 a1\n\n", answer)


class TestRunnerProcess(TestCase):
    def play(self, scenario, *options):
        """Return what a scenario with a runner process and its record returns."""

        async def main(folder):
            record = folder / "record"
            arguments = ["--id", "r1", "--service", "lm", "--record", str(record)]
            process = await start_process(
                "r1",
                "stand_ins.runner_process",
                [*arguments, *options],
                folder / "log",
            )
            try:
                async with asyncio.timeout(WAIT_SECONDS):
                    result = await scenario(process)
            finally:
                process.send(signal.SIGKILL)
                await process.wait()
            return result, [orjson.loads(line) for line in record.open("rb")]

        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(main(Path(folder)))

    def kill_amid(self, faults):
        """Return the bytes of a stream whose runner is killed, its end and record."""

        async def scenario(process):
            reader, writer = await open_to(process.address)
            writer.write(make_request("/notes/1?events=9&seconds=0.05"))
            received = await reader.readuntil(b"id: 3")
            process.send(signal.SIGKILL)
            rest, close = await read_until_close(reader)
            writer.close()
            return received + rest, close

        options = ("--stage", "decode", "--faults", orjson.dumps(faults).decode())
        return self.play(scenario, *options)

    def test_a_kill_amid_a_stream_ends_it_with_a_fin(self):
        for faults in ({}, {"unframed": True}):
            (received, close), records = self.kill_amid(faults | {"marks_runs": True})
            self.assertEqual("FIN", close)
            self.assertNotIn(b"\r\n0\r\n", received)
            run, *sent = records
            self.assertEqual(["run", "a1"], _get(run, "kind attempt"))
            self.assertEqual(9, len(run["pieces"]))
            for piece in sent[:3]:
                event = run["pieces"][piece["piece"]]
                self.assertIn(event.encode(), received.replace(b"\r\n", b"\n"))

    def test_the_record_names_handles_and_sources(self):
        async def scenario(process):
            reader, writer = await open_to(process.address)
            source = "X-Galenapass-Kv-Source: 127.0.0.1:9/handle-1-a7\r\n"
            writer.write(make_request("/notes/1", headers=source))
            await reader.readuntil(b"t4")
            writer.close()

        _, (run, *_) = self.play(scenario, "--stage", "decode")
        self.assertEqual("127.0.0.1:9/handle-1-a7", run["source"])

        async def prefill(process):
            reader, writer = await open_to(process.address)
            writer.write(make_request("/notes/1", headers=PREFILL))
            await reader.readuntil(b"}")
            writer.close()

        _, (record,) = self.play(prefill, "--stage", "prefill")
        self.assertEqual(["prefill", "a1"], _get(record, "kind attempt"))

    def test_sigterm_ends_the_process(self):
        async def main(folder):
            process = await start_process(
                "r1",
                "stand_ins.runner_process",
                ["--id", "r1", "--service", "lm"],
                folder / "log",
            )
            process.send(signal.SIGTERM)
            return await process.wait(WAIT_SECONDS)

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(0, asyncio.run(main(Path(folder))))


def _get(record, names):
    return [record[name] for name in names.split()]
