"""Test that an answer of the object API is whole, and the one to its call."""

import asyncio
import random

import orjson
from result import Err, Ok
from testtools import TestCase

from galenapass.platform.messages import FailureCause
from galenapass.platform.object_client import ObjectClient
from tests.test_platform_kept_connections import serve


def call_ending_platform(answer, call):
    """Return the result of a call whose answer ends with its connection."""

    async def end(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(end, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        objects = ObjectClient(
            f"127.0.0.1:{port}", "h1", "north", lambda call: None, random.Random(1)
        )
        async with server:
            result = await call(objects)
            await objects.close()
        return result

    return asyncio.run(scenario())


def make_open_answer(body):
    return b'HTTP/1.1 200 OK\r\nETag: "5"\r\n\r\n' + body


def make_written(version, body=b""):
    return b'HTTP/1.1 200 OK\r\nETag: "%d"\r\nContent-Length: %d\r\n\r\n%b' % (
        version,
        len(body),
        body,
    )


class TestCutAnswers(TestCase):
    def assert_unknown(self, result):
        self.assertIsInstance(result, Err, result)
        self.assertIs(FailureCause.UNKNOWN, result.err_value.cause)

    def test_a_read_that_is_cut_off_is_no_object(self):
        result = call_ending_platform(
            make_open_answer(b"[limits]\nmax_wait = 1"),
            lambda objects: objects.read("configurations", "current"),
        )
        self.assert_unknown(result)

    def test_a_list_that_is_cut_off_is_no_list_without_its_last_objects(self):
        item = {"name": "a", "version": 5, "body": "b", "tags": [1]}
        text = orjson.dumps({"version": 5, "items": [item]})
        result = call_ending_platform(
            make_open_answer(text[: text.index(b"]") + 2]),
            lambda objects: objects.list("configurations"),
        )
        self.assert_unknown(result)

    def test_a_list_without_a_length_is_whole_if_its_text_is(self):
        item = {"name": "a", "version": 5, "body": "b"}
        text = orjson.dumps({"version": 5, "items": [item]})
        result = call_ending_platform(
            make_open_answer(text), lambda objects: objects.list("configurations")
        )
        self.assertIsInstance(result, Ok)

    def test_a_write_without_a_length_is_answered_by_its_head(self):
        result = call_ending_platform(
            make_open_answer(b""),
            lambda objects: objects.write("leases", "a", "text", 4),
        )
        self.assertEqual(Ok(5), result)


class TestSecondAnswers(TestCase):
    """A second answer to a former call comes as the next call awaits its own."""

    def run_calls(self, answers, *calls):
        """Return the results of calls and the requests on each connection."""

        async def scenario():
            scripts = [[(0, answer)] for answer in answers]
            async with serve(*scripts) as (server, address):
                objects = ObjectClient(
                    address, "h1", "north", lambda call: None, random.Random(1)
                )
                results = [await call(objects) for call in calls]
                await objects.close()
            return results, server.requests

        return asyncio.run(scenario())

    def test_a_write_is_not_accepted_by_the_answer_to_another(self):
        answers = [make_written(8), make_written(8)]
        results, requests = self.run_calls(
            answers,
            lambda objects: objects.write("claims", "s1", "{}", 4),
            lambda objects: objects.write("claims", "s2", "{}", 5),
            lambda objects: objects.write("claims", "s1", "{}", 8),
        )
        self.assertEqual(Ok(8), results[0])
        self.assertIsInstance(results[1], Err, results[1])
        self.assertIs(FailureCause.UNKNOWN, results[1].err_value.cause)
        # The connection that had a second answer is not used again.
        self.assertEqual([2, 1], requests)

    def test_a_write_is_not_accepted_by_the_answer_to_a_read(self):
        answers = [make_written(8, b"{}"), make_written(8, b"{}")]
        results, _ = self.run_calls(
            answers,
            lambda objects: objects.read("leases", "north"),
            lambda objects: objects.write("leases", "north", "{}", 8),
        )
        self.assertIsInstance(results[0], Ok)
        self.assertIsInstance(results[1], Err, results[1])
        self.assertIs(FailureCause.UNKNOWN, results[1].err_value.cause)

    def test_a_platform_that_began_anew_is_believed_at_the_second_write(self):
        answers = [make_written(8), make_written(2)]
        results, requests = self.run_calls(
            answers,
            lambda objects: objects.write("claims", "s1", "{}", 4),
            lambda objects: objects.write("claims", "s1", "{}"),
            lambda objects: objects.write("claims", "s1", "{}"),
        )
        self.assertIsInstance(results[1], Err)
        self.assertIsInstance(results[2], Ok)

    def test_each_later_version_is_accepted(self):
        results, requests = self.run_calls(
            [make_written(8), make_written(9), make_written(12)],
            lambda objects: objects.write("claims", "s1", "{}", 4),
            lambda objects: objects.write("claims", "s1", "{}", 8),
            lambda objects: objects.write("claims", "s2", "{}"),
        )
        self.assertEqual([Ok(8), Ok(9), Ok(12)], results)
        self.assertEqual([3], requests)
