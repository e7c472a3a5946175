"""Test that an odd entry of another writer affects no other entry."""

import asyncio
import contextlib
import time
from datetime import UTC, datetime, timedelta

import orjson
from aiohttp import web
from eliot.testing import MemoryLogger, swap_logger
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.datagrams import Ping, decode_datagram, encode_message
from galenapass.forwarding.published_crashes import PublishedCrashes, decode_published
from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.json_values import split_array, split_object
from galenapass.platform.configuration import decode_configuration
from galenapass.platform.headers import decode_metadata
from galenapass.platform.runners import decode_runner
from galenapass.platform.store_client import StoreClient
from stand_ins.metadata_store import MetadataStore
from stand_ins.platform_routes import CONFIGURATION
from tests.platform_fleet import run

SECOND = timedelta(seconds=1)
NOW = timedelta(seconds=100)
WALL = datetime(2026, 1, 1, tzinfo=UTC)
RUNNER = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "born": 5,
    "slots": 4,
}


def nest(levels, opening=b"[", closing=b"]"):
    return opening * levels + closing * levels


# Texts that are no value of any field.
ODD_VALUES = {
    "300 arrays": nest(300),
    "2,000 arrays": nest(2_000),
    "100,000 arrays": nest(100_000),
    "2,000 tables": nest(2_000, b'{"a":', b"}").replace(b":}", b":1}"),
    "25 digits": b"1" * 25,
    "5,000 digits": b"1" * 5_000,
    "1e999": b"1e999",
    "NaN": b"NaN",
    "-Infinity": b"-Infinity",
    "not UTF-8": b'"\xff\xfe"',
    "lone surrogate": rb'"\ud800"',
    "brackets in a text": rb'"]}],[{\"\\" bare',
}
# Whole specs of which none is an entry of any kind.
ODD_SPECS = {
    **ODD_VALUES,
    **{f"{name} in a field": b'{"a":%s}' % text for name, text in ODD_VALUES.items()},
    "null": b"null",
    "text": b'"x"',
    "number": b"5",
    "array": b"[]",
    "empty": b"{}",
    "very long text": b'"%s"' % (b"x" * 300_000),
}
del ODD_SPECS["brackets in a text"], ODD_SPECS["brackets in a text in a field"]
ODD_SPECS["brackets in a text"] = rb'{"a":"]}],[{\"\\", "b":NaN}'

ODD_PORTS = (
    "",
    "0",
    "-1",
    " 80",
    "80 ",
    "65536",
    "1000000000",
    "1" * 5_000,
    "\u0661\u0668",
    "\u00b2",
    "0x50",
)
ODD_FIELDS = (None, True, -1, 1.5, 1e24, [], {}, [[[]]], "", "x" * 10_000, "a\r\nb")


@contextlib.asynccontextmanager
async def open_store():
    """Yield a store and a client of it."""
    store = MetadataStore()
    runner = web.AppRunner(store.make_app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    clock = ManualClock()
    client = StoreClient(
        f"{host}:{port}",
        lambda call: None,
        StoreAvailability(clock),
        StoreEpochs(clock),
    )
    try:
        yield store, client
    finally:
        await client.close()
        await runner.cleanup()


def log_of(action):
    """Return what was logged while an action ran."""
    logger = MemoryLogger()
    previous = swap_logger(logger)
    try:
        action()
    finally:
        swap_logger(previous)
    return [m for m in logger.messages if "text" in m]


class TestStoreClient(TestCase):
    def test_an_odd_entry_hides_no_other_of_its_page(self):
        async def check():
            async with open_store() as (store, client):
                store.put("servers", "a", {"n": 1})
                store.put("servers", "z", {"n": 2})
                for oddity, text in ODD_SPECS.items():
                    store.put("servers", "m", orjson.Fragment(text))
                    listing = (await client.list("servers")).unwrap()
                    bodies = {item.name: item.body for item in listing.items}
                    self.assertEqual(["a", "m", "z"], sorted(bodies), oddity)
                    self.assertEqual({"n": 2}, orjson.loads(bodies["z"]), oddity)
                    self.assertEqual(store.revision, listing.version, oddity)

        asyncio.run(check())

    def test_an_odd_entry_hides_no_other_change(self):
        async def check():
            async with open_store() as (store, client):
                # The first answer tells the epoch, which a watch relies on.
                (await client.list("servers")).unwrap()
                for oddity, text in ODD_SPECS.items():
                    after = store.revision
                    store.put("servers", "a", {"n": after})
                    store.put("servers", "m", orjson.Fragment(text))
                    store.put("servers", "z", {"n": after})
                    watched = await client.watch("servers", after, SECOND)
                    version, changes = watched.unwrap()
                    names = [change.name for change in changes]
                    self.assertEqual(["a", "m", "z"], names, oddity)
                    self.assertEqual({"n": after}, orjson.loads(changes[2].body))
                    self.assertEqual(store.revision, version, oddity)

        asyncio.run(check())

    def test_an_odd_entry_can_be_read_alone(self):
        # A lease or a configuration that cannot be read is not one that is missing.
        async def check():
            async with open_store() as (store, client):
                for oddity, text in ODD_SPECS.items():
                    store.put("leases", "roles", orjson.Fragment(text))
                    found = (await client.read("leases", "roles")).unwrap()
                    self.assertEqual(store.revision, found.version, oddity)

        asyncio.run(check())

    def test_an_object_with_odd_metadata_is_left_out_and_logged(self):
        odd = [
            {"name": 5},
            {"name": None},
            {"name": ""},
            {"name": ["x"]},
            {"revision": "x"},
            {"revision": 1e24},
            {"name": orjson.Fragment(rb'"\ud800"')},
            {"revision": orjson.Fragment(b"1" * 5_000)},
        ]

        async def check():
            async with open_store() as (store, client):
                store.put("servers", "z", {"n": 2})
                for changes in odd:
                    stored = store.put("servers", "m", {"n": store.revision})
                    stored["metadata"] |= changes
                    listing = (await client.list("servers")).unwrap()
                    names = [item.name for item in listing.items]
                    self.assertEqual(["z"], names, changes)
                    watched = await client.watch("servers", 1, SECOND)
                    names = {change.name for change in watched.unwrap()[1]}
                    self.assertEqual({"z"}, names - {"m"}, changes)

        lines = log_of(lambda: asyncio.run(check()))
        left_out = [m for m in lines if "entry is left out" in m["text"]]
        self.assertLessEqual(len(odd), len(left_out))

    def test_odd_status_and_finalizers_of_a_good_entry_do_not_matter(self):
        async def check():
            async with open_store() as (store, client):
                for text in ODD_VALUES.values():
                    stored = store.put("servers", "m", {"n": store.revision})
                    if text == ODD_VALUES["brackets in a text"]:
                        continue
                    stored["status"] = orjson.Fragment(text)
                    stored["metadata"]["finalizers"] = orjson.Fragment(text)
                    listing = (await client.list("servers")).unwrap()
                    self.assertEqual({"n"}, set(orjson.loads(listing.items[0].body)))

        asyncio.run(check())

    def test_pages_in_another_order_are_read_to_their_end(self):
        # A name that the store orders in another way ended each listing.
        async def check():
            async with open_store() as (store, client):
                names = [f"n{number:02}" for number in range(12)]
                for name in names:
                    store.put("servers", name, {"n": 1})
                store.objects["servers"]["n06"]["metadata"]["name"] = "A"
                listing = (await client.list("servers")).unwrap()
                found = {item.name for item in listing.items}
                self.assertEqual({*names, "A"} - {"n06"}, found)

        asyncio.run(check())

    def test_a_page_of_brackets_is_split_in_bounded_time(self):
        for text in (b"[" * 1_000_000, b'{"a":[' * 100_000, b'"\\' * 500_000):
            began = time.process_time()
            with contextlib.suppress(ValueError):
                split_array(b"[" + text + b"]")
            self.assertLess(time.process_time() - began, 2.0)


class TestSplitting(TestCase):
    @given(
        st.lists(
            st.recursive(
                st.none() | st.integers(0, 9) | st.text(max_size=6),
                lambda inner: (
                    st.lists(inner) | st.dictionaries(st.text(max_size=6), inner)
                ),
                max_leaves=12,
            )
        )
    )
    def test_elements_and_members_are_those_of_the_decoder(self, values):
        elements = split_array(orjson.dumps(values))
        self.assertEqual(values, [orjson.loads(element) for element in elements])
        table = {str(number): value for number, value in enumerate(values)}
        members = split_object(orjson.dumps(table))
        self.assertEqual(table, {k: orjson.loads(v) for k, v in members.items()})

    @given(st.binary(max_size=60))
    def test_any_bytes_are_split_or_refused(self, text):
        for split in (split_array, split_object):
            with contextlib.suppress(ValueError):
                split(text)


class TestDecoders(TestCase):
    def test_an_odd_port_names_no_target(self):
        for port in ODD_PORTS:
            entry = RUNNER | {"address": f"10.0.0.1:{port}"}
            self.assertIsInstance(decode_runner("r", entry), Err, port)

    def test_an_odd_field_names_no_target(self):
        for field in ("service", "address", "zone", "state"):
            for value in ODD_FIELDS:
                decoded = decode_runner("r", RUNNER | {field: value})
                self.assertIsInstance(decoded, Err, (field, value))
                self.assertLess(len(decoded.err_value), 200)
        for field in ("born", "slots"):
            for value in (True, 1.5, 1e24, "5", [], {}):
                decoded = decode_runner("r", RUNNER | {field: value})
                self.assertIsInstance(decoded, Err, (field, value))

    def test_an_odd_number_of_a_configuration_is_refused(self):
        odd = (True, -1, 1e24, 1e300, 10**18, "inf", "NaN", "5", [5], {"a": 1})
        for field in ("timeout_ms", "target_latency_ms"):
            for value in odd:
                route = CONFIGURATION["routes"][0] | {field: value}
                spec = CONFIGURATION | {"routes": [route]}
                self.assertIsInstance(decode_configuration(spec), Err, (field, value))
        for value in (True, -1, "inf", "NaN", [5], {}):
            parts = [{"service": "desk", "weight": value}]
            route = CONFIGURATION["routes"][0] | {"traffic_split": parts}
            spec = CONFIGURATION | {"routes": [route | {"service": None}]}
            self.assertIsInstance(decode_configuration(spec), Err, value)
        for field in ("idle_timeout_ms", "max_body_bytes", "max_header_bytes"):
            for value in (-1, 1e300, "inf", [5]):
                spec = CONFIGURATION | {"limits": {field: value}}
                self.assertIsInstance(decode_configuration(spec), Err, (field, value))

    def test_odd_published_crashes_hold_nothing(self):
        row = ["t", "1", "lm", "h", 5, 1, [[7, 1, 5]], ["f"]]
        for place in (4, 5, 6):
            for value in (1e24, 1e300, 10**18, "x", None, [[10.5, 1, 1]]):
                report = [*row[:place], value, *row[place + 1 :]]
                if place == 5 and value == 10**18:
                    continue
                text = orjson.dumps({"suspects": [], "reports": [report]}).decode()
                published = decode_published(text, WALL, NOW)
                self.assertEqual(PublishedCrashes(), published, (place, value))
        for text in ("", "[" * 100_000, '{"suspects":[],"written_at":1e300}'):
            self.assertEqual(PublishedCrashes(), decode_published(text, WALL, NOW))

    def test_an_odd_message_hides_no_other_of_its_datagram(self):
        good = encode_message(Ping(5, ()), NOW)
        for odd in (5, None, [], [[]], ["ping"], ["ping", 1e24], ["ping", "7"], [{}]):
            decoded = decode_datagram(orjson.dumps(["h", [odd, good]]), NOW)
            self.assertEqual(Ok(("h", [Ping(5, ())])), decoded, odd)


class TestClientHeaders(TestCase):
    def test_numbers_of_any_length_are_read(self):
        # The deadline overflowed a duration, and over 4,300 digits the integer.
        for digits in (1, 5, 18, 25, 400, 5_000, 60_000):
            number = "9" * digits
            metadata = decode_metadata(
                {
                    "X-Galenapass-Deadline-Ms": number,
                    "Last-Event-Id": number,
                    "X-Galenapass-Token-Count": f"{number},{number}",
                    "X-Galenapass-Prompt-Prefix": f"a:{number}",
                }
            )
            self.assertTrue(
                metadata.patience is None
                or timedelta(0) < metadata.patience <= timedelta(days=1)
            )

    def test_a_request_with_an_endless_deadline_is_answered(self):
        async def scenario(fleet):
            for digits in (18, 5_000):
                headers = {"X_Galenapass_Deadline_Ms": "9" * digits}
                status, _, _ = await fleet.send("/seats/1", **headers)
                self.assertEqual(200, status, digits)

        run(scenario)


class TestDaemon(TestCase):
    def test_lost_other_operators_odd_entries_are_left_out(self):
        """Play odd entries of every kind at a daemon that watches the store."""

        async def scenario(fleet):
            daemon = fleet.daemon
            for number, (oddity, text) in enumerate(ODD_SPECS.items()):
                for kind in ("servers", "config", "hosts", "crashes", "leases"):
                    fleet.store.put(kind, f"odd-{number}", orjson.Fragment(text))
                good = f"good-{number}"
                fleet.store.put("servers", good, fleet.plain.entry())
                await fleet.wait_for(lambda g=good: g in daemon.fleet.targets, 2.0)
                self.assertNotIn(f"odd-{number}", daemon.fleet.targets, oddity)
                fleet.store.remove("servers", good)
            # A listing among all of the odd entries.
            fleet.store.compact()
            fleet.store.put("servers", "last", fleet.plain.entry())
            spec = CONFIGURATION | {"version": 40}
            fleet.store.put("config", "main", spec)
            await fleet.wait_for(lambda: "last" in daemon.fleet.targets, 4.0)
            await fleet.wait_for(lambda: daemon.fleet.routes.version == 40, 4.0)
            self.assertIn(fleet.plain.id, daemon.fleet.targets)
            await daemon.hosts._list(stale=False)
            self.assertTrue(daemon.hosts.is_known)
            status, _, _ = await fleet.send("/seats/1")
            self.assertEqual(200, status)

        lines = log_of(lambda: run(scenario))
        named = {m["entry"] for m in lines if "entry names no target" in m["text"]}
        self.assertEqual({f"odd-{n}" for n in range(len(ODD_SPECS))}, named)
        hosts = {m["host"] for m in lines if "host entry is unreadable" in m["text"]}
        self.assertEqual(named, hosts)

    def test_a_good_entry_that_becomes_odd_names_no_target(self):
        async def scenario(fleet):
            targets = fleet.daemon.fleet.targets
            for name in ("2,000 arrays in a field", "NaN", "not UTF-8", "null"):
                fleet.store.put("servers", "i-1", fleet.plain.entry())
                await fleet.wait_for(lambda: "i-1" in targets, 2.0)
                fleet.store.put("servers", "i-1", orjson.Fragment(ODD_SPECS[name]))
                await fleet.wait_for(lambda: "i-1" not in targets, 2.0)

        run(scenario)
