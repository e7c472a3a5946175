"""Test that an answer of the store is whole, and the one to the call that reads it."""

import asyncio
import contextlib
from datetime import timedelta

import orjson
from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.platform.messages import FailureCause
from galenapass.platform.store_client import StoreClient
from tests.test_platform_kept_connections import serve

WAIT = timedelta(seconds=1)


def make_object(name, revision, spec):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


def make_page(revision, *items):
    return {"items": items, "has_more": False, "current_rev": revision}


def make_answer(value, status=b"200 OK"):
    body = orjson.dumps(value)
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def make_open_answer(body):
    """Return an answer that ends with its connection."""
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


@contextlib.asynccontextmanager
async def open_store(*scripts):
    clock = ManualClock()
    availability = StoreAvailability(clock, lambda: None, lambda since: None)
    epochs = StoreEpochs(clock, lambda: None)
    async with serve(*scripts) as (server, address):
        store = StoreClient(address, lambda call: None, availability, epochs)
        try:
            yield store, server
        finally:
            await store.close()


class EndingServer:
    """Server that closes its first connection after one answer, without a reset."""

    def __init__(self, answer):
        self.answer = answer

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        writer.close()


def call_ending_store(answer, call):
    """Return the result of a call whose answer ends with its connection."""

    async def scenario():
        ending = EndingServer(answer)
        server = await asyncio.start_server(ending.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        clock = ManualClock()
        store = StoreClient(
            f"127.0.0.1:{port}",
            lambda call: None,
            StoreAvailability(clock),
            StoreEpochs(clock),
        )
        async with server:
            result = await call(store)
            await store.close()
        return result

    return asyncio.run(scenario())


class TestCutAnswers(TestCase):
    def assert_unknown(self, result):
        self.assertIsInstance(result, Err, result)
        self.assertIs(FailureCause.UNKNOWN, result.err_value.cause)

    def test_a_read_that_is_cut_off_is_no_object_without_a_readable_spec(self):
        text = orjson.dumps(make_object("roles", 5, {"holder": {}}))
        result = call_ending_store(
            make_open_answer(text[:-2]), lambda store: store.read("leases", "roles")
        )
        self.assert_unknown(result)

    def test_a_list_that_is_cut_off_is_no_list_without_its_last_objects(self):
        page = make_page(5, make_object("a", 5, {"list": [1]}))
        text = orjson.dumps({"current_rev": 5, "has_more": False, **page})
        # The rest ends with the brackets that end a list and an object.
        cut = text[: text.index(b"]") + 2]
        result = call_ending_store(
            make_open_answer(cut), lambda store: store.list("servers")
        )
        self.assert_unknown(result)

    def test_a_second_answer_before_the_close_is_no_part_of_an_object(self):
        first = orjson.dumps(make_object("roles", 5, 1))
        second = make_answer(make_object("roles", 4, 0))
        result = call_ending_store(
            make_open_answer(first + second), lambda store: store.read("leases", "r")
        )
        self.assert_unknown(result)

    def test_a_write_whose_answer_is_cut_off_is_not_accepted(self):
        text = orjson.dumps(make_object("roles", 6, {"holder": {}}))
        result = call_ending_store(
            make_open_answer(text[:-2]),
            lambda store: store.write("leases", "roles", '{"holder":{}}', 5),
        )
        self.assert_unknown(result)

    def test_an_object_without_a_length_is_whole_if_its_text_is(self):
        text = orjson.dumps(make_object("roles", 5, {"holder": {}}))
        result = call_ending_store(
            make_open_answer(text), lambda store: store.read("leases", "roles")
        )
        self.assertIsInstance(result, Ok)
        self.assertEqual(5, result.ok_value.version)

    def test_an_answer_with_a_length_may_hold_an_unreadable_spec(self):
        text = b'{"metadata":{"name":"a","revision":5},"spec":{"b":}}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
        result = call_ending_store(
            head + text, lambda store: store.read("servers", "a")
        )
        self.assertIsInstance(result, Ok)
        self.assertEqual("", result.ok_value.body)

    def test_a_refusal_without_a_length_stays_one(self):
        result = call_ending_store(
            b"HTTP/1.1 503 Service Unavailable\r\n\r\ndown",
            lambda store: store.write("leases", "roles", "{}", 5),
        )
        self.assertIs(FailureCause.UNAVAILABLE, result.err_value.cause)
