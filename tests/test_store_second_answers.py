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
from tests.test_platform_odd_entries import log_of

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


class TestSecondAnswers(TestCase):
    """A second answer to a former call comes as the next call awaits its own."""

    def run_pair(self, first, second, *scripts):
        """Return the results of two calls and the requests on each connection."""

        async def scenario():
            async with open_store(*scripts) as (store, server):
                results = await first(store), await second(store)
                # The connection that had a second answer is not used again.
                await first(store)
                return (*results, server.requests)

        return asyncio.run(scenario())

    def assert_not_read(self, first, second, *answers):
        """Assert that the second call does not take the answer to the first one."""
        former, result, requests = self.run_pair(first, second, *answers)
        self.assertIsInstance(former, Ok)
        self.assertIsInstance(result, Err, result)
        self.assertIs(FailureCause.UNKNOWN, result.err_value.cause)
        self.assertEqual([2, 1], requests)

    def test_a_read_of_another_object(self):
        answer = [(0, make_answer(make_object("h1", 5, {})))]
        self.assert_not_read(
            lambda store: store.read("hosts", "h1"),
            lambda store: store.read("hosts", "h2"),
            answer,
            answer,
        )

    def test_a_rejected_answer_is_logged(self):
        answer = [(0, make_answer(make_object("h1", 5, {})))]
        logged = log_of(
            lambda: self.run_pair(
                lambda store: store.read("hosts", "h1"),
                lambda store: store.read("hosts", "h2"),
                answer,
                answer,
            )
        )
        [rejected] = [m for m in logged if m["text"] == "store: answer is rejected"]
        self.assertEqual("h2", rejected["name"])
        self.assertIn("'h1'", rejected["detail"])

    def test_a_read_before_a_write_of_the_same_object(self):
        answer = [(0, make_answer(make_object("roles", 5, {"holder": "h2"})))]
        self.assert_not_read(
            lambda store: store.read("leases", "roles"),
            lambda store: store.write("leases", "roles", '{"holder":"h1"}', 5),
            answer,
            answer,
        )

    def test_a_write_before_a_write_of_the_same_object(self):
        answer = [(0, make_answer(make_object("roles", 5, {"term": 1})))]
        self.assert_not_read(
            lambda store: store.write("leases", "roles", '{"term":1}', 4),
            lambda store: store.write("leases", "roles", '{"term":2}', 5),
            answer,
            answer,
        )

    def test_a_write_before_the_creation_of_another_object(self):
        answer = [(0, make_answer(make_object("h2", 5, {})))]
        self.assert_not_read(
            lambda store: store.write("hosts", "h2", "{}", 4),
            lambda store: store.write("hosts", "h1", "{}"),
            answer,
            answer,
        )

    def test_a_read_before_a_deletion_of_another_object(self):
        answer = [(0, make_answer(make_object("h2", 5, {})))]
        self.assert_not_read(
            lambda store: store.read("streams", "h2"),
            lambda store: store.delete("streams", "h1", 4),
            answer,
            answer,
        )

    def test_a_conflict_of_another_object(self):
        stored = make_object("h2", 7, {})
        self.assert_not_read(
            lambda store: store.read("hosts", "h2"),
            lambda store: store.write("hosts", "h1", "{}", 5),
            [(0, make_answer(stored))],
            [(0, make_answer(stored, b"409 Conflict"))],
        )

    def test_a_list_from_before_a_known_change(self):
        page = make_page(5, make_object("s1", 4, {}))
        written = make_answer(make_object("h1", 8, {}))

        async def write_and_list(store):
            self.assertEqual(Ok(8), await store.write("hosts", "h1", "{}"))
            return await store.list("hosts")

        async def scenario():
            listed = [(0, make_answer(page))]
            scripts = listed, [(0, written)], listed
            async with open_store(*scripts) as (store, server):
                first = await store.list("hosts")
                second = await write_and_list(store)
                third = await store.list("hosts")
                return first, second, third

        first, second, third = asyncio.run(scenario())
        self.assertIsInstance(first, Ok)
        self.assertIsInstance(second, Err)
        self.assertIs(FailureCause.UNKNOWN, second.err_value.cause)
        # The store was restored if it says so on another connection as well.
        self.assertIsInstance(third, Ok)

    def test_a_watch_from_before_the_known_version(self):
        events = {"events": [], "current_rev": 5}
        answers = [[(0, make_answer(events))]] * 2

        async def scenario():
            async with open_store(*answers) as (store, server):
                first = await store.watch("servers", 4, WAIT)
                second = await store.watch("servers", 8, WAIT)
                return first, second

        first, second = asyncio.run(scenario())
        self.assertEqual(Ok((5, ())), first)
        # Also the answer of a restored store that names no epoch.
        self.assertIsInstance(second, Err)
        self.assertIs(FailureCause.COMPACTED, second.err_value.cause)

    def test_a_list_before_a_watch(self):
        answer = [(0, make_answer(make_page(5)))]
        self.assert_not_read(
            lambda store: store.list("servers"),
            lambda store: store.watch("servers", 5, WAIT),
            answer,
            answer,
        )


class TestSoundAnswers(TestCase):
    def call(self, call, answer):
        async def scenario():
            async with open_store([(0, answer)]) as (store, server):
                return await call(store)

        return asyncio.run(scenario())

    def test_a_write_that_changes_nothing_is_accepted(self):
        result = self.call(
            lambda store: store.write("leases", "roles", '{"a":[1.0,null]}', 5),
            make_answer(make_object("roles", 5, {"a": [1, None]})),
        )
        self.assertEqual(Ok(5), result)

    def test_a_write_whose_answer_names_only_the_revision_is_accepted(self):
        result = self.call(
            lambda store: store.write("leases", "roles", "{}", 5),
            make_answer({"metadata": {"revision": 6}}),
        )
        self.assertEqual(Ok(6), result)

    def test_a_deletion_without_a_body_is_accepted(self):
        result = self.call(
            lambda store: store.delete("streams", "h1", 5),
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        )
        self.assertEqual(Ok(None), result)

    def test_a_conflict_without_a_body_is_one(self):
        result = self.call(
            lambda store: store.write("hosts", "h1", "{}"),
            b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
        )
        self.assertIs(FailureCause.CONFLICT, result.err_value.cause)


class TestKinds(TestCase):
    """Lists and watches of two kinds look alike, so that none reads another's."""

    def run_pair(self, first, second, *answers):
        async def scenario():
            scripts = [[(0, make_answer(answer))] for answer in answers]
            async with open_store(*scripts) as (store, server):
                return await first(store), await second(store), server.requests

        return asyncio.run(scenario())

    def test_a_list_of_another_kind_is_not_awaited_on_the_same_connection(self):
        first, second, requests = self.run_pair(
            lambda store: store.list("hosts"),
            lambda store: store.list("servers"),
            make_page(5, make_object("h1", 4, {})),
            make_page(5, make_object("h1", 4, {})),
        )
        self.assertIsInstance(first, Ok)
        self.assertEqual([1, 1], requests)

    def test_a_watch_of_another_kind_is_not_awaited_on_the_same_connection(self):
        event = {"object": make_object("h1", 9, {}), "removed": False}
        answer = {"events": [event], "current_rev": 9}
        first, second, requests = self.run_pair(
            lambda store: store.watch("crashes", 5, WAIT),
            lambda store: store.watch("servers", 5, WAIT),
            answer,
            answer,
        )
        self.assertIsInstance(first, Ok)
        self.assertEqual([1, 1], requests)

    def test_a_write_of_the_same_name_is_not_awaited_on_the_same_connection(self):
        first, second, requests = self.run_pair(
            lambda store: store.write("hosts", "h1", "{}"),
            lambda store: store.write("crashes", "h1", "{}"),
            make_object("h1", 5, {}),
            make_object("h1", 5, {}),
        )
        self.assertIsInstance(first, Ok)
        self.assertEqual([1, 1], requests)

    def test_calls_of_one_kind_use_one_connection(self):
        first, second, requests = self.run_pair(
            lambda store: store.read("hosts", "h1"),
            lambda store: store.list("hosts"),
            make_object("h1", 4, {}),
            make_page(5),
        )
        self.assertIsInstance(second, Ok)
        self.assertEqual([2], requests)


class TestRestores(TestCase):
    def test_a_lower_revision_of_a_later_epoch_is_no_second_answer(self):
        def name_epoch(answer, epoch):
            line = b"HTTP/1.1 200 OK\r\n"
            return answer.replace(line, b"%bStore-Era: %d\r\n" % (line, epoch))

        page = name_epoch(make_answer(make_page(8)), 1)
        written = name_epoch(make_answer(make_object("h1", 3, {})), 2)
        later_page = name_epoch(make_answer(make_page(2)), 3)
        scripts = [[(0, answer)] for answer in (page, written, later_page)]

        async def scenario():
            async with open_store(*scripts) as (store, server):
                return [
                    await store.list("hosts"),
                    await store.write("hosts", "h1", "{}"),
                    await store.list("hosts"),
                ]

        listed, written, relisted = asyncio.run(scenario())
        self.assertIsInstance(listed, Ok)
        self.assertEqual(Ok(3), written)
        self.assertIsInstance(relisted, Ok)
