"""Test that an answer of the object API is whole, and the one to its call."""

import asyncio
import random

import orjson
from result import Err, Ok
from testtools import TestCase

from galenapass.platform.messages import FailureCause
from galenapass.platform.object_client import ObjectClient


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
