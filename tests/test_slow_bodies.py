"""Test that a body on its way is not given up as long as bytes of it arrive."""

import asyncio
import contextlib
import random
from datetime import timedelta

import orjson
from aiohttp import web
from result import Err, Ok
from testtools import TestCase

from experiments.processes import find_free_port
from galenapass.clocks import ManualClock
from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.platform.object_client import ObjectClient
from galenapass.platform.store_client import STALE_READ_TIMEOUT, StoreClient

CHUNKS = 8
SPEC = {"text": "x" * 400}
STORED = orjson.dumps({"metadata": {"name": "main", "revision": 7}, "spec": SPEC})


@contextlib.asynccontextmanager
async def serve(pause, hangs=False):
    """Serve an object in chunks; yield the address."""

    async def answer(request):
        response = web.StreamResponse(headers={"ETag": '"7"'})
        response.content_length = len(STORED)
        await response.prepare(request)
        size = -(-len(STORED) // CHUNKS)
        for start in range(0, len(STORED), size):
            await response.write(STORED[start : start + size])
            await asyncio.sleep(60 if hangs else pause)
        return response

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    port = find_free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await runner.cleanup()


class TestSlowBodies(TestCase):
    def read_store(self, **options):
        async def main():
            clock = ManualClock()
            async with serve(**options) as address:
                store = StoreClient(
                    address,
                    lambda call: None,
                    StoreAvailability(clock),
                    StoreEpochs(clock),
                )
                try:
                    return await store.read("config", "main", stale=True)
                finally:
                    await store.close()

        return asyncio.run(main())

    def test_a_body_of_the_store_that_takes_longer_than_the_time_for_an_answer(self):
        pause = STALE_READ_TIMEOUT.total_seconds() / CHUNKS * 1.5
        self.assertIsInstance(self.read_store(pause=pause), Ok)

    def test_a_body_of_the_store_that_stops_is_given_up(self):
        self.assertIsInstance(self.read_store(pause=0.0, hangs=True), Err)

    def test_a_body_of_the_object_api_that_takes_longer_than_the_time_for_an_answer(
        self,
    ):
        async def main():
            async with serve(pause=0.06) as address:
                client = ObjectClient(
                    address,
                    "h1",
                    "zone-a",
                    lambda call: None,
                    random.Random(1),
                    timedelta(seconds=0.3),
                )
                try:
                    return await client.read("config", "main")
                finally:
                    await client.close()

        self.assertIsInstance(asyncio.run(main()), Ok)
