"""Test the platform stand-in over HTTP on loopback."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

import aiohttp
import orjson
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, rule
from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from stand_ins.platform import build_app
from stand_ins.platform_store import Store
from stand_ins.serving import Server

TIMEOUT_SECONDS = 20
HOST_HEADERS = {"X-Host": "entry-1", "X-Failure-Domain": "addis-1"}
OTHER_HOST_HEADERS = {"X-Host": "entry-2", "X-Failure-Domain": "addis-2"}
IF_ABSENT_HEADERS = {"If-None-Match": "*"}


@asynccontextmanager
async def serve(clock=None):
    """Serve one platform and yield a client session."""
    app = build_app(clock or ManualClock(), host_list_lag=2.0)
    server = Server(app, "127.0.0.1:0")
    address = await server.start()
    base = f"http://{address}"
    try:
        async with aiohttp.ClientSession(
            base, headers=HOST_HEADERS, middlewares=(prevent_resend,)
        ) as session:
            yield session
    finally:
        await server.stop()


async def prevent_resend(request, handler):
    """Prevent the client from resending a PUT that got no response."""
    try:
        return await handler(request)
    except aiohttp.ServerDisconnectedError as error:
        raise aiohttp.ClientConnectionError(repr(error)) from error


async def write(session, path, body, **headers):
    """Return the status and the ETag of the response to a write."""
    header_values = {name.replace("_", "-"): text for name, text in headers.items()}
    async with session.put(path, data=body, headers=header_values) as response:
        return response.status, response.headers.get("ETag")


async def put_faults(session, **faults):
    async with session.post("/stand-in/faults", json=faults) as response:
        return response.status


async def read_account(session):
    async with session.get("/stand-in/account") as response:
        return await response.json()


async def read_change(response):
    line = await asyncio.wait_for(response.content.readline(), TIMEOUT_SECONDS)
    return orjson.loads(line)


class ObjectTest(TestCase):
    def test_conditional_updates(self):
        async def run():
            async with serve() as session:
                path = "/objects/leases/a"
                first = await write(session, path, "1", If_None_Match="*")
                self.assertEqual((200, '"1"'), first)
                for condition, status, etag in (
                    ({"If_None_Match": "*"}, 412, '"1"'),
                    ({"If_Match": '"7"'}, 412, '"1"'),
                    ({"If_Match": '"1"'}, 200, '"2"'),
                    ({}, 428, None),
                    ({"If_Match": "x"}, 400, None),
                ):
                    answer = await write(session, path, "2", **condition)
                    self.assertEqual((status, etag), answer)
                async with session.get(path) as response:
                    self.assertEqual('"2"', response.headers["ETag"])
                    self.assertEqual("2", await response.text())
                async with session.get("/objects/leases") as response:
                    item = {"name": "a", "version": 2, "body": "2"}
                    listed = {"version": 2, "items": [item]}
                    self.assertEqual(listed, await response.json())

        asyncio.run(run())

    def test_deletes_by_version(self):
        async def run():
            async with serve() as session:
                path = "/objects/leases/a"
                await write(session, path, "1", If_None_Match="*")
                for etag, status in (('"5"', 412), ('"1"', 200), ('"1"', 404)):
                    headers = {"If-Match": etag}
                    async with session.delete(path, headers=headers) as response:
                        self.assertEqual(status, response.status)
                again = await write(session, path, "2", If_None_Match="*")
                self.assertEqual((200, '"3"'), again)

        asyncio.run(run())

    def test_refuses_values_over_the_limit(self):
        async def run():
            async with serve() as session:
                path = "/objects/leases/a"
                status, _ = await write(session, path, b"x" * 1_000_001, If_Match="1")
                self.assertEqual(413, status)

        asyncio.run(run())

    def test_watch_sends_earlier_and_later_changes(self):
        async def run():
            async with serve() as session:
                await write(session, "/objects/leases/a", "1", If_None_Match="*")
                await write(session, "/objects/leases/b", "2", If_None_Match="*")
                await write(session, "/objects/orders/a", "3", If_None_Match="*")
                async with session.get("/watch/leases?after=1") as response:
                    change = await read_change(response)
                    self.assertEqual(("b", 2, "2"), (*change.values(),)[:3])
                    await session.delete(
                        "/objects/leases/a", headers={"If-Match": '"1"'}
                    )
                    change = await read_change(response)
                    self.assertEqual(
                        {"name": "a", "version": 4, "body": "", "deleted": True},
                        change,
                    )

        asyncio.run(run())


class FaultTest(TestCase):
    def test_write_with_a_lost_response_takes_effect(self):
        async def run():
            async with serve() as session:
                await put_faults(session, lose_answers=1)
                with self.assertRaises(aiohttp.ClientError):
                    await write(session, "/objects/leases/a", "1", If_None_Match="*")
                async with session.get("/objects/leases/a") as response:
                    self.assertEqual("1", await response.text())
                second = await write(session, "/objects/leases/a", "2", If_Match='"1"')
                self.assertEqual((200, '"2"'), second)
                writes = (await read_account(session))["writes"]
                self.assertEqual([1, 2], [one["version"] for one in writes])
                self.assertEqual("entry-1", writes[0]["host"])

        asyncio.run(run())

    def test_outage_refuses_calls_and_ends_watches(self):
        async def run():
            async with serve() as session, session.get("/watch/leases") as watch:
                await put_faults(session, outage=True)
                with self.assertRaises(aiohttp.ClientError):
                    await asyncio.wait_for(watch.read(), TIMEOUT_SECONDS)
                status, _ = await write(session, "/objects/leases/a", "1", **{})
                self.assertEqual(503, status)
                await put_faults(session)
                async with session.get("/objects/leases/a") as response:
                    self.assertEqual(404, response.status)

        asyncio.run(run())

    def test_cut_domain_is_dropped_and_others_are_served(self):
        async def run():
            async with serve() as session:
                async with (
                    session.get("/watch/leases") as mine,
                    session.get("/watch/leases", headers=OTHER_HOST_HEADERS) as theirs,
                ):
                    await put_faults(session, cut_domains=["addis-1"])
                    with self.assertRaises(aiohttp.ClientError):
                        await asyncio.wait_for(mine.read(), TIMEOUT_SECONDS)
                    with self.assertRaises(aiohttp.ClientError):
                        await session.get("/hosts")
                    headers = {**OTHER_HOST_HEADERS, **IF_ABSENT_HEADERS}
                    path = "/objects/leases/a"
                    async with session.put(path, data="1", headers=headers) as answer:
                        self.assertEqual(200, answer.status)
                    self.assertEqual("a", (await read_change(theirs))["name"])

        asyncio.run(run())

    def test_refuses_unknown_faults(self):
        async def run():
            async with serve() as session:
                self.assertEqual(400, await put_faults(session, outrage=True))

        asyncio.run(run())


class ListTest(TestCase):
    def test_host_list_lags(self):
        clock = ManualClock()
        host = {"id": "entry-1", "kind": "daemon", "state": "live"}

        async def read(session):
            async with session.get("/hosts") as response:
                return (await response.json())["hosts"]

        async def run():
            async with serve(clock) as session:
                await session.post("/stand-in/hosts", json={"hosts": [host]})
                clock.advance(timedelta(seconds=1))
                self.assertEqual([], await read(session))
                clock.advance(timedelta(seconds=1))
                self.assertEqual([host], await read(session))
                await session.post("/stand-in/hosts", json={"hosts": []})
                self.assertEqual([host], await read(session))
                await put_faults(session, host_list_lag=0)
                self.assertEqual([], await read(session))

        asyncio.run(run())

    def test_weights_are_rate_limited(self):
        clock = ManualClock()

        async def run():
            async with serve(clock) as session:
                statuses = []
                for _ in range(3):
                    async with session.get("/weights/juniper-8b") as response:
                        statuses.append(response.status)
                self.assertEqual([200, 200, 429], statuses)
                self.assertEqual("1", response.headers["Retry-After"])
                clock.advance(timedelta(seconds=1))
                async with session.get("/weights/juniper-8b") as response:
                    self.assertEqual(200, response.status)

        asyncio.run(run())

    def test_counts_calls_by_kind_and_host(self):
        async def run():
            async with serve() as session:
                await write(session, "/objects/leases/a", "1", If_None_Match="*")
                for path in ("/objects/leases/a", "/objects/leases", "/hosts"):
                    await session.get(path)
                await session.get("/watch/leases", headers=OTHER_HOST_HEADERS)
                account = await read_account(session)
                leases = {"entry-1": 3, "entry-2": 1}
                expected = {"leases": leases, "hosts": {"entry-1": 1}}
                self.assertEqual(expected, account["calls"])
                methods = [one["method"] for one in account["calls_by_method"]]
                self.assertEqual(["PUT", "GET", "LIST", "GET", "WATCH"], methods)

        asyncio.run(run())


class StoreMachine(RuleBasedStateMachine):
    """Compare conditional writes with a dict of versions."""

    names = st.sampled_from(["a", "b", "c"])
    versions = Bundle("versions")

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.seen = []
        self.store.changes.subscribe(self.seen.append)
        self.table = {}

    @rule(target=versions, name=names)
    def write_over_current(self, name):
        expected = self.table.get(name)
        match self.store.write("k", name, "x", expected):
            case Ok(change):
                assert change.version > max(self.table.values(), default=0)
                self.table[name] = change.version
                return change.version
            case Err(refusal):
                raise AssertionError(refusal)

    @rule(name=names, version=versions)
    def write_over_some_version(self, name, version):
        before = self.store.version
        current = self.table.get(name)
        match self.store.write("k", name, "y", version):
            case Ok(change):
                assert current == version
                self.table[name] = change.version
            case Err(refusal):
                assert current != version
                assert (refusal.current, self.store.version) == (current, before)

    @rule(name=names, version=versions)
    def delete(self, name, version):
        current = self.table.get(name)
        if isinstance(self.store.delete("k", name, version), Ok):
            assert current == version
            del self.table[name]
        else:
            assert current != version

    @rule(after=st.integers(0, 20))
    def list_since_gives_the_last_change_of_each(self, after):
        last = {change.name: change for change in self.seen}
        expected = [one for one in last.values() if one.version > after]
        assert self.store.list_since("k", after) == sorted(
            expected, key=lambda one: one.version
        )
        present = {one.name: one.version for one in self.store.list_present("k")}
        assert present == self.table


StoreMachineTest = StoreMachine.TestCase
