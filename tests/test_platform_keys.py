"""Test the keys of organisations on the platform's path, from client to target."""

import asyncio
import contextlib
import io
import json
import time
import zlib
from unittest import mock

import aiohttp
from eliot.testing import MemoryLogger, swap_logger
from testtools import TestCase

from experiments.soak.proxies import Disturbance
from galenapass.forwarding import datagram_endpoint
from galenapass.forwarding.peer_calls import PeerConnection
from galenapass.metrics import render_metrics
from stand_ins.platform_routes import make_headers, make_organisations
from stand_ins.runner import STREAM_BODY
from tests.platform_fleet import run, wait_for
from tests.platform_links import run_linked

KEY, SPARE, NEW, FOREIGN = "ka-1111", "ka-2222", "ka-3333", "ka-9999"
KEYED = make_organisations(3, {"org-a": [KEY, SPARE]}, public=("seats",))
ORGANISATION = "X-Galenapass-Tenant"
# From the acknowledgement of a version until each host applies it.
APPLY_SECONDS = 3.0


def with_key(key, **headers):
    return {"Authorization": f"Token {key}"} | headers


def list_callers(runners):
    """Return what each request that arrived says of its caller."""
    return [
        (r.headers.getall(ORGANISATION, []), r.headers.getall("Authorization", []))
        for runner in runners
        for r in runner.received
    ]


def put_version(store, version, *keys):
    store.put("config", "main", make_organisations(version, {"org-a": list(keys)}))


async def call(daemon, key):
    """Return the status of a call with a key, and the reason of a problem."""
    url = f"http://127.0.0.1:{daemon.settings.front[1]}/hold/1"
    headers = make_headers("a1", 1000) | with_key(key)
    async with aiohttp.request("POST", url, headers=headers) as response:
        body = await response.read()
        return response.status, json.loads(body)["reason"] if body else ""


class TestTargets(TestCase):
    def test_targets_get_the_name_and_never_the_key(self):
        async def scenario(fleet):
            forged = with_key(KEY, **{ORGANISATION: "org-b"})
            fleet.plain.faults.status = 500
            fleet.decode.faults.break_after = 2
            for number in range(4):
                await fleet.send(f"/seats/{number}", **forged)
                await fleet.send(f"/hold/{number}", "POST", b"{}", **forged)
                sent = await fleet.send_stream(f"/notes/{number}", **forged)
                self.assertEqual((200, STREAM_BODY, True), sent[1:])
            fleet.decode.faults.event_seconds = 1.5
            await fleet.send_stream("/notes/silent", **forged)
            received = [r for runner in fleet.runners for r in runner.received]
            self.assertTrue(any("Last-Event-Id" in r.headers for r in received))
            callers = list_callers(fleet.runners)
            # Without a retry, calls take one send and streams two.
            self.assertGreater(len(callers), 18)
            self.assertEqual([(["org-a"], [])] * len(callers), callers)

        run(scenario, configuration=KEYED)

    def test_a_connection_of_another_host_carries_no_key(self):
        async def scenario(fleet):
            await fleet.wait_for(
                lambda: all(daemon.daemon_count == 2 for daemon in fleet.daemons), 10
            )
            fleet.links[0].refuses = True
            sent = await fleet.send("/hold/1", "POST", b"{}", **with_key(KEY))
            self.assertEqual(200, sent[0])
            self.assertEqual([(["org-a"], [])], list_callers(fleet.runners))

        run(scenario, configuration=KEYED, domains=("zone-a",) * 2, linked=True)

    def test_a_public_route_drops_what_a_client_says_of_itself(self):
        async def scenario(fleet):
            for headers in ({}, with_key(FOREIGN), {ORGANISATION: "org-a"}):
                self.assertEqual(200, (await fleet.send("/seats/1", **headers))[0])
            self.assertEqual([([], [])] * 3, list_callers(fleet.runners))

        run(scenario, configuration=KEYED)

    def test_headers_pass_unchanged_without_organisations(self):
        async def scenario(fleet):
            await fleet.send("/seats/1", **with_key(KEY, **{ORGANISATION: "org-b"}))
            callers = list_callers(fleet.runners)
            self.assertEqual([(["org-b"], [f"Token {KEY}"])], callers)

        run(scenario)

    def test_a_send_after_organisations_appear_drops_the_key(self):
        async def scenario(fleet):
            fleet.decode.faults.break_after = fleet.second_decode.faults.break_after = 1
            fleet.prefill.faults.delay_seconds = 0.5
            sent = asyncio.create_task(fleet.send_stream("/notes/1", **with_key(KEY)))
            await fleet.wait_for(lambda: fleet.prefill.received)
            put_version(fleet.store, 4, KEY)
            await sent
            callers = list_callers(fleet.decode_runners)
            self.assertEqual({"[]"}, {str(keys) for _, keys in callers})

        run(scenario)


class TestRefusals(TestCase):
    def test_a_key_that_no_version_held_is_refused_at_once(self):
        async def scenario(fleet):
            for headers, detail in (
                ({}, "the request has no key"),
                (with_key(FOREIGN), "the key is unknown"),
                ({"Authorization": f"Bearer {KEY}"}, "the request has no key"),
            ):
                began = time.monotonic()
                sent = await fleet.send("/hold/1", "POST", b"{}", **headers)
                status, body, answered = sent
                self.assertLess(time.monotonic() - began, 0.3)
                self.assertEqual((401, detail), (status, json.loads(body)["detail"]))
                self.assertEqual("Token", answered["WWW-Authenticate"])
            self.assertEqual([], list_callers(fleet.runners))
            metrics = render_metrics(fleet.daemon.metrics).decode()
            line = 'galenapass_refused_keys_total{reason="unknown key"} 1.0'
            self.assertIn(line, metrics)

        run(scenario, configuration=KEYED)

    def test_a_malformed_head_is_not_repeated(self):
        async def scenario(fleet):
            front = fleet.settings.front
            for field in (f"Token {KEY}\0", "Token " + KEY * 10_000):
                reader, writer = await asyncio.open_connection(*front)
                head = f"POST / HTTP/1.1\r\nHost: a\r\nAuthorization: {field}\r\n\r\n"
                writer.write(head.encode())
                answer = await reader.read()
                writer.close()
                self.assertIn(b" 400 ", answer)
                self.assertNotIn(KEY.encode(), answer)

        with contextlib.redirect_stderr(io.StringIO()) as errors:
            run(scenario, configuration=KEYED)
        self.assertNotIn(KEY, errors.getvalue())

    def test_keys_change_for_connected_clients_and_open_streams(self):
        async def scenario(fleet):
            for runner in fleet.decode_runners:
                runner.faults.event_seconds = 0.3
            stream = asyncio.create_task(fleet.send_stream("/notes/1", **with_key(KEY)))
            await fleet.wait_for(lambda: any(r.ran for r in fleet.decode_runners))
            url = f"http://127.0.0.1:{fleet.settings.front[1]}/hold/1"
            async with aiohttp.ClientSession() as client:

                async def send(key):
                    headers = make_headers(f"a-{key}", 2500) | with_key(key)
                    async with client.post(url, headers=headers) as response:
                        return response.status

                table = fleet.daemon.fleet
                for version, keys, expected in (
                    (3, (KEY, SPARE), [200, 200, 401]),
                    (4, (KEY, SPARE, NEW), [200, 200, 200]),
                    (5, (SPARE, NEW), [401, 200, 200]),
                    (6, (), [401, 401, 401]),
                ):
                    put_version(fleet.store, version, *keys)
                    await fleet.wait_for(lambda v=version: table.routes.version == v)
                    statuses = [await send(key) for key in (KEY, SPARE, NEW)]
                    self.assertEqual(expected, statuses)
            self.assertEqual((200, STREAM_BODY, True), (await stream)[1:])

        run(scenario, configuration=KEYED)


class TestHostsBehind(TestCase):
    def test_a_cut_off_host_does_not_refuse_a_new_key_as_unknown(self):
        async def scenario(fleet):
            put_version(fleet.store, 4, KEY)
            await wait_for(lambda: fleet.host.fleet.routes.version == 4, APPLY_SECONDS)
            self.assertEqual((401, "unauthenticated"), await call(fleet.host, NEW))
            fleet.links[2].disturb(Disturbance.SILENCE)
            with mock.patch.object(fleet.host.peering.endpoint, "_on_message"):
                await asyncio.sleep(APPLY_SECONDS)
                put_version(fleet.store, 5, KEY, NEW)
                began = time.monotonic()
                calls = [call(fleet.host, NEW) for _ in range(20)]
                answers = set(await asyncio.gather(*calls))
                self.assertEqual({(503, "not configured")}, answers)
                self.assertLess(time.monotonic() - began, 1.0)
                self.assertNotEqual("not configured", (await call(fleet.host, KEY))[1])
            fleet.links[2].disturb(Disturbance.NONE)
            await wait_for(lambda: fleet.host.fleet.routes.version == 5, APPLY_SECONDS)
            self.assertNotEqual(401, (await call(fleet.host, NEW))[0])
            await wait_for(lambda: fleet.host.follower.is_newest)
            self.assertEqual(401, (await call(fleet.host, FOREIGN))[0])

        run_linked(scenario)

    def test_a_burst_of_versions_while_the_store_rejects_one_of_three_hosts(self):
        async def scenario(fleet):
            fleet.links[0].disturb(Disturbance.RESET)
            for version in range(4, 16):
                put_version(fleet.store, version, f"k{version}", f"k{version + 1}")
                for daemon in fleet.daemons:
                    self.assertNotEqual(401, (await call(daemon, f"k{version}"))[0])
                await asyncio.sleep(0.33)
            await asyncio.sleep(APPLY_SECONDS)
            for daemon in fleet.daemons:
                self.assertNotEqual(401, (await call(daemon, "k16"))[0])
                for version in range(4, 15):
                    self.assertEqual(401, (await call(daemon, f"k{version}"))[0])

        run_linked(scenario)


class TestKeysStay(TestCase):
    def test_no_key_leaves_the_entry_host(self):
        """Guard messages between hosts, logs, metrics and stored objects."""
        said = []

        async def scenario(fleet):
            for daemon in fleet.daemons:
                for key in (KEY, FOREIGN):
                    await call(daemon, key)
            fleet.links[2].disturb(Disturbance.SILENCE)
            put_version(fleet.store, 4, KEY, NEW)
            await wait_for(lambda: fleet.host.fleet.routes.version == 4, APPLY_SECONDS)
            await call(fleet.host, NEW)
            said.extend(render_metrics(d.metrics) for d in fleet.daemons)
            said.extend(v for k, v in fleet.store.objects.items() if k != "config")

        def watch(owner, name):
            function = getattr(owner, name)
            return mock.patch.object(owner, name, autospec=True, side_effect=function)

        logger = MemoryLogger()
        previous = swap_logger(logger)
        with (
            watch(datagram_endpoint, "encode_datagram") as datagrams,
            watch(PeerConnection, "send") as calls,
            watch(zlib, "compress") as payloads,
        ):
            run_linked(scenario)
        swap_logger(previous)
        self.assertIn("key_digests", repr(payloads.mock_calls))
        spies = [spy.mock_calls for spy in (datagrams, calls, payloads)]
        text = repr([*said, *spies, logger.messages])
        for key in (KEY, SPARE, NEW, FOREIGN):
            self.assertNotIn(key, text)
