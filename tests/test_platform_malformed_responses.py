"""Check that no answer of the platform, whatever it holds, raises or hangs."""

import asyncio
import contextlib
from datetime import timedelta

import orjson
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.requests import Part
from galenapass.forwarding.store_availability import StoreAvailability
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
    """Give the address of a server that answers everything in one way."""

    async def answer(request):
        return web.Response(status=status, body=body)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


class TestGarbage(TestCase):
    @given(statuses, bodies)
    def test_the_store_gives_what_it_said_or_a_failure(self, status, body):
        async def check():
            async with asyncio.timeout(5), serve(status, body) as address:
                store = StoreClient(
                    address, lambda call: None, StoreAvailability(ManualClock())
                )
                try:
                    answers = [
                        (await store.read("config", "main"), StoredObject),
                        (await store.list("config"), ObjectListing),
                        (await store.watch("config", 1, SECOND), tuple),
                        (await store.write("leases", "roles", "{}", 3), int),
                        (await store.delete("leases", "roles", 3), type(None)),
                    ]
                finally:
                    await store.close()
            for answer, kind in answers:
                expected = Failure if isinstance(answer, Err) else kind
                inner = answer.err_value if isinstance(answer, Err) else answer.ok_value
                self.assertIsInstance(inner, expected)

        asyncio.run(check())

    def test_pages_that_never_end_are_a_failure(self):
        # A list whose pages began again was read for ever.
        item = {"metadata": {"name": "a", "revision": 3}, "spec": {}}
        page = {"items": [item], "has_more": True, "current_rev": 3}

        async def check():
            async with asyncio.timeout(5), serve(200, orjson.dumps(page)) as address:
                store = StoreClient(
                    address, lambda call: None, StoreAvailability(ManualClock())
                )
                try:
                    return await store.list("servers")
                finally:
                    await store.close()

        self.assertIsInstance(asyncio.run(check()), Err)

    @given(statuses, bodies)
    def test_an_engine_says_something_whole_or_nothing(self, status, body):
        async def check():
            async with asyncio.timeout(5), serve(status, body) as address:
                target = make_target("e1")
                target.address = address
                calls = RunnerClient()
                try:
                    state = await calls.fetch_state(target)
                    kept = await calls.fetch_kept(target)
                    read = await calls.prefill(target, MESSAGE, SECOND, 0, None)
                    order = await calls.order_role(target, Role.DECODE, "h1", 1, 0)
                finally:
                    await calls.close()
            self.assertIsInstance(order, OrderOutcome)
            if isinstance(state, Ok):
                self.assertIsInstance(state.ok_value, EngineState)
            if isinstance(kept, Ok):
                for part in kept.ok_value:
                    self.assertIsInstance(part, Part)
            if isinstance(read, Err):
                self.assertIsInstance(read.err_value, Verdict)
                self.assertIs(Run.NOT_RUN, read.err_value.run)

        asyncio.run(check())
