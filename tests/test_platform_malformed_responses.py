"""Test that no response of the platform makes a client raise or hang."""

import asyncio
import contextlib
from datetime import timedelta

import orjson
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock, SystemClock
from galenapass.forwarding.requests import Part
from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.forwarding.target_messages import (
    ClientRequest,
    EngineState,
    OrderOutcome,
)
from galenapass.platform.messages import Failure, ObjectListing, StoredObject
from galenapass.platform.runner_client import RunnerClient
from galenapass.platform.store_client import StoreClient
from galenapass.tables.targets import Role
from galenapass.verdicts import Run, Verdict
from tests.forwarding_fakes import make_target

MESSAGE = ClientRequest("a1", "POST", "/notes/1", "a.example", (), b"")
SECOND = timedelta(seconds=1)
FIELDS = (
    "metadata name revision spec items has_more current_rev events object removed "
    "stage busy seq born num_waiting num_running held kv_handle"
).split()
values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-9, 2**63)
    | st.floats()
    | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(FIELDS), inner, max_size=6)
    ),
    max_leaves=12,
)
bodies = st.binary(max_size=60) | values.map(orjson.dumps)
statuses = st.sampled_from([200, 200, 200, 201, 404, 409, 410, 429, 500, 503])


@contextlib.asynccontextmanager
async def serve(status, body):
    """Yield the address of a server that gives every request the same response."""

    async def respond(request):
        return web.Response(status=status, body=body)

    runner = web.ServerRunner(web.Server(respond))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


class TestMalformedResponses(TestCase):
    @given(statuses, bodies)
    def test_a_store_call_returns_a_typed_value_or_a_failure(self, status, body):
        async def check():
            async with asyncio.timeout(5), serve(status, body) as address:
                store = StoreClient(
                    address,
                    lambda call: None,
                    StoreAvailability(ManualClock()),
                    StoreEpochs(ManualClock()),
                )
                try:
                    results = [
                        (await store.read("config", "main"), StoredObject),
                        (await store.list("config"), ObjectListing),
                        (await store.watch("config", 1, SECOND), tuple),
                        (await store.write("leases", "roles", "{}", 3), int),
                        (await store.delete("leases", "roles", 3), type(None)),
                    ]
                finally:
                    await store.close()
            for result, kind in results:
                expected = Failure if isinstance(result, Err) else kind
                inner = result.err_value if isinstance(result, Err) else result.ok_value
                self.assertIsInstance(inner, expected)

        asyncio.run(check())

    def test_pages_that_never_end_are_a_failure(self):
        # A list whose pages started again from the beginning was read endlessly.
        item = {"metadata": {"name": "a", "revision": 3}, "spec": {}}
        page = {"items": [item], "has_more": True, "current_rev": 3}

        async def check():
            async with asyncio.timeout(5), serve(200, orjson.dumps(page)) as address:
                store = StoreClient(
                    address,
                    lambda call: None,
                    StoreAvailability(ManualClock()),
                    StoreEpochs(ManualClock()),
                )
                try:
                    return await store.list("servers")
                finally:
                    await store.close()

        self.assertIsInstance(asyncio.run(check()), Err)

    @given(statuses, bodies)
    def test_an_engine_call_returns_a_typed_value_or_a_verdict(self, status, body):
        async def check():
            async with asyncio.timeout(5), serve(status, body) as address:
                target = make_target("e1")
                target.address = address
                client = RunnerClient(SystemClock())
                try:
                    state = await client.fetch_state(target)
                    cached = await client.fetch_parts(target)
                    prefilled = await client.prefill(target, MESSAGE, SECOND, 0, None)
                    order_outcome = await client.order_role(
                        target, Role.DECODE, "h1", 1, 0
                    )
                finally:
                    await client.close()
            self.assertIsInstance(order_outcome, OrderOutcome)
            if isinstance(state, Ok):
                self.assertIsInstance(state.ok_value, EngineState)
            if isinstance(cached, Ok):
                for part in cached.ok_value:
                    self.assertIsInstance(part, Part)
            if isinstance(prefilled, Err):
                self.assertIsInstance(prefilled.err_value, Verdict)
                self.assertIs(Run.NOT_RUN, prefilled.err_value.run)

        asyncio.run(check())

    def test_an_odd_number_or_name_of_an_engine_is_a_verdict(self):
        async def call(body, ask):
            async with asyncio.timeout(5), serve(200, body) as address:
                client = RunnerClient(SystemClock())
                try:
                    return await ask(client, make_target("e1", address=address))
                finally:
                    await client.close()

        async def fetch_state(client, target):
            return await client.fetch_state(target)

        async def fetch_parts(client, target):
            return await client.fetch_parts(target)

        async def prefill(client, target):
            return await client.prefill(target, MESSAGE, SECOND, 0, None)

        state = b'{"stage":"decode","busy":false,"seq":1,"num_waiting":%b}'
        cases = [
            *((fetch_state, state % value) for value in (b"1e400", b"1" * 400, b"[]")),
            (fetch_parts, b'{"held":[["","p",1e400,"m"]]}'),
            (fetch_parts, b'{"held":[["",[],1,"m"]]}'),
            (prefill, rb'{"kv_handle":"h\r\nX-Other: 1"}'),
            (prefill, b'{"kv_handle":[]}'),
            (prefill, b"[" * 2000 + b"]" * 2000),
        ]
        for ask, body in cases:
            result = asyncio.run(call(body, ask))
            self.assertIsInstance(result, Err, body[:80])
            self.assertIs(Run.NOT_RUN, result.err_value.run)
