"""Test that callers get no more certainty about an answer than its target gave."""

import asyncio

import orjson
from testtools import TestCase

from galenapass.verdicts import Reason, Run, Verdict
from tests.callers_fakes import (
    BODY,
    CHAT,
    HEADERS,
    FakeEngine,
    Harness,
    make_event,
    make_stream_handler,
    route_to,
    serve,
)

KEY = b"Idempotency-Key: seat-7\r\n"


async def send_raw(harness, method, path, headers):
    """Send a call; return the head of its answer in lower case, and the rest."""
    host, port = harness.url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, port)
    authorization = f"Authorization: {HEADERS['Authorization']}\r\n".encode()
    target = f"/v1/services/booking{path}".encode()
    writer.write(
        b"%b %b HTTP/1.1\r\nHost: booking\r\n%b%bConnection: close\r\n"
        b"Content-Length: 0\r\n\r\n" % (method, target, authorization, headers)
    )
    answer = await reader.read()
    writer.close()
    head, _, rest = answer.partition(b"\r\n\r\n")
    return head.lower(), rest


class TestPlainServices(TestCase):
    def call(self, answer, method=b"GET", headers=b"", times=1):
        """Return the answers to a call that is sent a number of times."""

        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        async def scenario():
            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            harness = Harness([route_to(address)] * times)
            async with server, harness.run():
                return [
                    await send_raw(harness, method, "/seats", headers)
                    for _ in range(times)
                ]

        return asyncio.run(scenario())

    def assert_open_ended(self, head):
        self.assertTrue(head.startswith(b"http/1.1 200"), head)
        self.assertNotIn(b"content-length", head)
        self.assertNotIn(b"transfer-encoding", head)
        self.assertIn(b"connection: close", head)

    def test_an_answer_that_may_be_cut_off_does_not_look_whole(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\n\r\nseat,row\n1,"
        [(head, rest)] = self.call(answer)
        self.assert_open_ended(head)
        self.assertIn(b"content-type: text/csv", head)
        self.assertEqual(b"seat,row\n1,", rest)

    def test_an_answer_that_may_be_cut_off_is_not_stored_as_the_call_s(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\n\r\nseat,row\n1,"
        first, second = self.call(answer, b"POST", KEY, times=2)
        self.assert_open_ended(first[0])
        self.assertNotIn(b"x-replayed", second[0])
        self.assertNotIn(b"seat,row", second[1])
        self.assertIn(b"may have run", second[1])

    def test_an_answer_with_a_length_is_whole(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
        [(head, rest)] = self.call(answer)
        self.assertIn(b"content-length: 5", head)
        self.assertEqual(b"whole", rest)

    def test_a_whole_json_text_without_a_length_is_whole(self):
        answer = b'HTTP/1.1 200 OK\r\n\r\n{"seat":1}'
        first, second = self.call(answer, b"POST", KEY, times=2)
        self.assertIn(b"content-length: 10", first[0])
        self.assertIn(b"x-replayed", second[0])
        self.assertEqual(b'{"seat":1}', second[1])

    def test_an_answer_without_a_body_is_whole(self):
        [(head, rest)] = self.call(b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertTrue(head.startswith(b"http/1.1 204"), head)
        self.assertEqual(b"", rest)


class TestCompletions(TestCase):
    def test_a_stream_without_chunks_that_is_given_up_does_not_look_whole(self):
        async def check():
            engine = FakeEngine(make_stream_handler(5, last_event=2, end="hang"))
            async with (
                serve(engine.app) as address,
                Harness([route_to(address)]).run() as harness,
            ):
                host, port = harness.url.removeprefix("http://").split(":")
                reader, writer = await asyncio.open_connection(host, port)
                body = orjson.dumps({**BODY, "stream": True})
                key = HEADERS["Authorization"]
                head = f"POST {CHAT} HTTP/1.0\r\nAuthorization: {key}\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                await reader.readuntil(make_event(2, 5))
                stalled = Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED, "stalled")
                harness.streams.abort_all_attempts(stalled)
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
                writer.close()

        asyncio.run(check())
