"""Test that an odd item of the object API affects no other item."""

import asyncio
import contextlib
import random

import orjson
from aiohttp import web
from result import Ok
from testtools import ExpectedException, TestCase

from galenapass.clocks import ManualClock, SystemClock
from galenapass.duties.claim_store import ClaimStore
from galenapass.duties.configuration_watch import CURRENT, watch_configurations
from galenapass.duties.host_list import HostListReader
from galenapass.platform.messages import ListedHost, ObjectChange
from galenapass.platform.object_client import MAX_WATCH_LINE_BYTES, ObjectClient
from galenapass.systems.claims import hash_key, name_slice
from galenapass.systems.orders_codec import decode_orders, encode_orders
from galenapass.tables.orders import Intent, IntentPhase, OrderSender, OrdersObject
from galenapass.tables.peer_messages import Drain
from galenapass.verdicts import Run
from tests.fake_objects import FakeObjects
from tests.test_platform_odd_entries import ODD_VALUES, log_of
from tests.test_presence import Objects, make_world

FIRST = {"name": "a", "version": 5, "body": "first"}
LAST = {"name": "z", "version": 7, "body": "last"}
ITEM = {"name": "m", "version": 6, "body": "odd"}
HOST = {"id": "h1", "kind": "daemon", "address": "a:1", "domain": "d", "state": "live"}
# Texts that are no body; the last of the odd values would change the frame.
ODD_TEXTS = {
    name: text for name, text in ODD_VALUES.items() if name != "brackets in a text"
} | {"null": b"null", "number": b"5", "array": b"[]", "table": b"{}"}


def _change(item, field, text):
    return orjson.dumps(item)[:-1] + b',"%s":%s}' % (field.encode(), text)


def _make_odd_items():
    """Return the texts of items of which a part cannot be read."""
    odd = {f"whole: {name}": text for name, text in ODD_TEXTS.items()}
    for field in ("name", "version", "body"):
        for name, text in ODD_TEXTS.items():
            if (field, name) != ("version", "number"):
                odd[f"{field}: {name}"] = _change(ITEM, field, text)
    odd["empty name"] = _change(ITEM, "name", b'""')
    odd["version in a text"] = _change(ITEM, "version", b'"6"')
    odd["version true"] = _change(ITEM, "version", b"true")
    return odd


# Values that are no part of a claim.
ODD = (None, True, 1.5, [], {})


class ObjectStore:
    """Store of slices that answers each call."""

    def __init__(self):
        self.objects = FakeObjects()

    async def read(self, kind, name):
        return self.objects.read(name)

    async def write(self, kind, name, body, if_version=None):
        return self.objects.write(name, body, if_version)


class _Server:
    """Object API that answers with given texts."""

    def __init__(self):
        self.text = b""
        # Answer of the next watch, after the first one has ended.
        self.rest = None
        self.watches = 0

    async def get(self, request):
        return web.Response(body=self.text, content_type="application/json")

    async def watch(self, request):
        self.watches += 1
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(self.text)
        if self.rest is None:
            await asyncio.sleep(5)
        else:
            self.text = self.rest
        return response


def _run(test):
    async def inner():
        server = _Server()
        app = web.Application()
        app.router.add_get("/objects/{kind}", server.get)
        app.router.add_get("/hosts", server.get)
        app.router.add_get("/watch/{kind}", server.watch)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        client = ObjectClient(address, "h", "d", lambda call: None, random.Random(1))
        try:
            await test(server, client)
        finally:
            await client.close()
            await runner.cleanup()

    return log_of(lambda: asyncio.run(inner()))


def _list_of(*items):
    return b'{"version":9,"items":[%s]}' % b",".join(items)


async def _follow(client, count):
    changes = []
    async with contextlib.aclosing(client.watch("things", 4)) as watch:
        async for change in watch:
            changes.append(change)
            if len(changes) == count:
                return changes


class TestObjectClient(TestCase):
    def test_an_odd_item_hides_no_other_of_its_listing(self):
        odd = _make_odd_items()

        async def test(server, client):
            for name, text in odd.items():
                server.text = _list_of(orjson.dumps(FIRST), text, orjson.dumps(LAST))
                listing = await client.list("things")
                self.assertIsInstance(listing, Ok, name)
                self.assertEqual(9, listing.ok_value.version, name)
                names = [item.name for item in listing.ok_value.items]
                self.assertEqual(["a", "z"], names, name)

        lines = _run(test)
        left_out = [m for m in lines if "item is left out" in m["text"]]
        self.assertEqual(len(odd), len(left_out))

    def test_a_watch_goes_on_behind_an_odd_change(self):
        odd = _make_odd_items()

        async def test(server, client):
            lines = [orjson.dumps(FIRST), *odd.values(), orjson.dumps(LAST)]
            server.text = b"\n".join(lines) + b"\n"
            changes = await asyncio.wait_for(_follow(client, 2), 3)
            good = [ObjectChange("a", 5, "first"), ObjectChange("z", 7, "last")]
            self.assertEqual(good, changes)
            self.assertEqual(1, server.watches)

        lines = _run(test)
        left_out = [m for m in lines if "item is left out" in m["text"]]
        self.assertEqual(len(odd), len(left_out))

    def test_a_deleted_object_needs_no_body(self):
        async def test(server, client):
            gone = ITEM | {"deleted": True, "body": None}
            server.text = orjson.dumps(gone) + b"\n"
            changes = await asyncio.wait_for(_follow(client, 1), 3)
            self.assertEqual([ObjectChange("m", 6, "", True)], changes)

        _run(test)

    def test_a_watch_goes_on_behind_an_endless_change(self):
        async def test(server, client):
            for size in (MAX_WATCH_LINE_BYTES, 3 * MAX_WATCH_LINE_BYTES):
                odd = _change(ITEM, "body", b'"%s"' % (b"x" * size))
                lines = [orjson.dumps(FIRST), odd, orjson.dumps(LAST)]
                server.text = b"\n".join(lines) + b"\n"
                changes = await asyncio.wait_for(_follow(client, 2), 5)
                self.assertEqual(["a", "z"], [change.name for change in changes])
            self.assertEqual(2, server.watches)

        lines = _run(test)
        left_out = [m for m in lines if "item is left out" in m["text"]]
        self.assertEqual(2, len(left_out))

    def test_a_change_that_is_cut_off_is_read_again(self):
        whole = orjson.dumps(ITEM | {"body": '{"a":{}}'})

        async def test(server, client):
            server.text, server.rest = whole[:-2], whole + b"\n"
            changes = await asyncio.wait_for(_follow(client, 1), 3)
            self.assertEqual([ObjectChange("m", 6, '{"a":{}}')], changes)
            self.assertEqual(2, server.watches)

        _run(test)

    def test_a_last_change_without_the_end_of_its_line_is_read(self):
        async def test(server, client):
            server.text, server.rest = orjson.dumps(FIRST), orjson.dumps(LAST)
            changes = await asyncio.wait_for(_follow(client, 2), 3)
            self.assertEqual(["a", "z"], [change.name for change in changes])

        _run(test)

    def test_an_odd_row_hides_no_other_host(self):
        odd = list(ODD_TEXTS.values())
        for field in ("id", "kind", "address", "domain", "state"):
            odd += [_change(HOST, field, text) for text in ODD_TEXTS.values()]
        for text in (*ODD_VALUES.values(), b"null", b"[]", b"true"):
            if text != ODD_VALUES["brackets in a text"]:
                odd.append(_change(HOST, "incarnation", text))

        async def test(server, client):
            for text in odd:
                rows = b",".join([text, orjson.dumps(HOST | {"id": "h2"})])
                server.text = b'{"hosts":[%s]}' % rows
                hosts = await client.list_hosts()
                self.assertIsInstance(hosts, Ok, text[:80])
                ids = [host.id for host in hosts.ok_value]
                self.assertEqual(["h2"], ids, text[:80])

        lines = _run(test)
        left_out = [m for m in lines if "host is left out" in m["text"]]
        self.assertEqual(len(odd), len(left_out))


class TestConfigurationWatch(TestCase):
    def test_an_odd_configuration_leaves_the_current_one_in_force(self):
        # An empty file is a valid configuration, which names no target at all.
        accepted = []

        def accept(text, version):
            accepted.append((text, version))
            return True

        async def test(server, client):
            current = ITEM | {"name": CURRENT}
            lines = [_change(current, "body", text) for text in ODD_TEXTS.values()]
            lines.append(orjson.dumps(LAST | {"name": CURRENT}))
            server.text = b"\n".join(lines) + b"\n"
            watch = asyncio.create_task(watch_configurations(client, accept, lambda: 5))
            await asyncio.wait({watch}, timeout=0.5)
            self.assertFalse(watch.done())
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)
            self.assertEqual([("last", 7)], accepted)

        _run(test)


class TestHostListReader(TestCase):
    def test_an_odd_incarnation_hides_no_other_daemon_or_target(self):
        odd = ("x", "", "-1", -1, "\u0661", "\u00b2", "9" * 25, "9" * 5_000, 1.5, None)
        rows = [
            ListedHost(f"odd-{number}", "daemon", "", "d", False, incarnation)
            for number, incarnation in enumerate(odd)
        ]
        rows.append(ListedHost("entry-2", "daemon", "", "d", False, "3"))
        rows.append(ListedHost("runner-1", "target", "", "d", True, "x"))
        objects, daemons, announced = Objects(), [], []
        objects.answer = Ok(tuple(rows))
        reader = HostListReader(
            make_world(),
            ManualClock(),
            objects,
            lambda: True,
            daemons.extend,
            announced.append,
        )
        lines = log_of(lambda: asyncio.run(reader.read()))
        self.assertEqual([("entry-2", 3)], [(d.id, d.incarnation) for d in daemons])
        self.assertEqual([Drain("runner-1", 1)], announced)
        left_out = [m for m in lines if "daemon is left out" in m["text"]]
        self.assertEqual(len(odd), len(left_out))


class TestClaimStore(TestCase):
    def test_a_slice_with_an_odd_claim_is_refused_and_not_written(self):
        # Writing the slice without the odd claim would let its key run again.
        good = ["n", "f", "claimed", 5]
        odd = [[*good[:i], value, *good[i + 1 :]] for i in (0, 1, 3) for value in ODD]
        odd += [[*good, status, "text/plain", "aGk="] for status in ODD]
        odd += [[*good, 200, content_type, "aGk="] for content_type in ODD]
        odd += [5, None, [], {}, ["n"], "", "x", [*good, 200, "text/plain", "a"]]

        async def check():
            for row in odd:
                store = ObjectStore()
                name = name_slice(hash_key("c", "s", "k"))
                body = orjson.dumps({"claims": {"k": row}}).decode()
                store.objects.write(name, body, None)
                claims = ClaimStore(store, "h", SystemClock(), random.Random(1))
                begun = asyncio.create_task(claims.begin("c", "s", "k", "f"))
                await asyncio.wait({begun}, timeout=0.5)
                self.assertTrue(begun.done(), row)
                self.assertIs(Run.NOT_RUN, begun.result().unwrap_err().run, row)
                self.assertEqual(body, store.objects.read(name).unwrap().body, row)
                # The refused begin leaves no operation behind.
                self.assertEqual(0, claims.count_waiting(), row)

        lines = log_of(lambda: asyncio.run(check()))
        failed = [m for m in lines if "failed to decode slice" in m["text"]]
        self.assertEqual(len(odd), len(failed))


class TestOrders(TestCase):
    def test_orders_of_wrong_types_are_refused(self):
        intent = Intent("i", "t", "drain", "v", 1, IntentPhase.DRAINING, 1)
        orders = OrdersObject(1, 1, (intent,), (OrderSender("t", "h", 1),))
        self.assertEqual(orders, decode_orders(encode_orders(orders)))
        good = orjson.loads(encode_orders(orders))
        for value in (*ODD, -1):
            rows = [good | {field: value} for field in ("fence", "epoch")]
            for part in ("intents", "senders"):
                for field in good[part][0]:
                    odd = good[part][0] | {field: value}
                    if value != -1 or isinstance(good[part][0][field], int):
                        rows.append(good | {part: [odd]})
            for row in rows:
                with ExpectedException(ValueError):
                    decode_orders(orjson.dumps(row).decode())

    def test_orders_with_an_unknown_field_are_refused(self):
        # A daemon that wrote them again would drop the field.
        for part in ("intents", "senders"):
            intent = Intent("i", "t", "drain", "v", 1, IntentPhase.DRAINING, 1)
            orders = OrdersObject(1, 1, (intent,), (OrderSender("t", "h", 1),))
            row = orjson.loads(encode_orders(orders))
            row[part][0]["later"] = 1
            with ExpectedException(ValueError):
                decode_orders(orjson.dumps(row).decode())
