"""Test the client of the object API against a fake server."""

import asyncio
import contextlib
import random

from aiohttp import web
from eliot.testing import MemoryLogger, swap_logger
from result import Err, Ok
from testtools import TestCase

from galenapass.platform.messages import Failure, FailureCause, ListedHost, ObjectChange
from galenapass.platform.object_client import ObjectClient, compute_retry_delay


class _Fake:
    """Object API that loses responses or refuses calls on request."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.puts = 0
        self.lose = 0
        self.status = None
        self.watches = 0
        self.refuse_watches = 0
        self.headers = []

    async def put(self, request):
        self.puts += 1
        self.headers.append(request.headers)
        if self.status:
            return web.Response(status=self.status)
        key = request.match_info["kind"], request.match_info["name"]
        held = self.objects.get(key, (None, ""))[0]
        wanted = request.headers.get("If-Match")
        if (wanted or "").strip('"') != ("" if held is None else str(held)):
            return web.Response(status=412, headers={"ETag": f'"{held}"'})
        self.version += 1
        self.objects[key] = (self.version, await request.text())
        if self.lose:
            self.lose -= 1
            request.transport.close()
        return web.Response(headers={"ETag": f'"{self.version}"'})

    async def get(self, request):
        key = request.match_info["kind"], request.match_info["name"]
        if key not in self.objects:
            return web.Response(status=404)
        version, body = self.objects[key]
        return web.Response(text=body, headers={"ETag": f'"{version}"'})

    async def watch(self, request):
        self.watches += 1
        if self.refuse_watches:
            self.refuse_watches -= 1
            raise web.HTTPServiceUnavailable()
        response = web.StreamResponse()
        await response.prepare(request)
        after = int(request.query["after"])
        line = f'{{"name":"a","version":{after + 1},"body":"b","deleted":false}}\n'
        await response.write(b"\n" + line.encode())
        return response

    async def hosts(self, request):
        row = '"id":"h1","kind":"daemon","address":"a:1","domain":"d"'
        text = f'{{"hosts":[{{{row},"state":"leaving","incarnation":3}}]}}'
        return web.Response(text=text, content_type="application/json")


def _run(test):
    async def inner():
        fake = _Fake()
        app = web.Application()
        app.router.add_put("/objects/{kind}/{name}", fake.put)
        app.router.add_get("/objects/{kind}/{name}", fake.get)
        app.router.add_get("/watch/{kind}", fake.watch)
        app.router.add_get("/hosts", fake.hosts)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        calls = []
        address, rng = f"127.0.0.1:{port}", random.Random(1)
        objects = ObjectClient(
            address, "h1", "north", calls.append, rng, token="secret"
        )
        try:
            await test(fake, objects, calls, site)
        finally:
            await objects.close()
            await runner.cleanup()

    asyncio.run(inner())


class ObjectsTest(TestCase):
    def test_reads_what_it_wrote_and_names_itself(self):
        async def test(fake, objects, calls, site):
            self.assertEqual(Ok(1), await objects.write("leases", "a/b", "one"))
            self.assertEqual(Ok(2), await objects.write("leases", "a/b", "two", 1))
            got = (await objects.read("leases", "a/b")).unwrap()
            self.assertEqual((2, "two"), (got.version, got.body))
            self.assertEqual(["write", "write", "read"], calls)
            self.assertEqual("north", fake.headers[0]["X-Failure-Domain"])
            self.assertEqual("h1", fake.headers[0]["X-Host"])
            self.assertEqual("Bearer secret", fake.headers[0]["Authorization"])

        _run(test)

    def test_names_the_version_that_it_conflicts_with(self):
        async def test(fake, objects, calls, site):
            await objects.write("leases", "a", "one")
            failure = (await objects.write("leases", "a", "two", 7)).unwrap_err()
            self.assertEqual(
                (FailureCause.CONFLICT, 1), (failure.cause, failure.current)
            )

        _run(test)

    def test_sends_a_write_once_when_its_answer_is_lost(self):
        async def test(fake, objects, calls, site):
            await objects.write("leases", "a", "one")
            fake.lose = 1
            failure = (await objects.write("leases", "a", "two", 1)).unwrap_err()
            self.assertEqual(FailureCause.UNKNOWN, failure.cause)
            self.assertEqual(2, fake.puts)

        _run(test)

    def test_tells_throttled_and_failed_writes_apart(self):
        async def test(fake, objects, calls, site):
            fake.status = 429
            throttled = (await objects.write("leases", "a", "one")).unwrap_err()
            fake.status = 503
            failed = (await objects.write("leases", "a", "one")).unwrap_err()
            self.assertEqual(
                [FailureCause.THROTTLED, FailureCause.UNKNOWN],
                [throttled.cause, failed.cause],
            )

        _run(test)

    def test_reports_unavailable_without_a_connection(self):
        async def test(fake, objects, calls, site):
            await site.stop()
            failure = (await objects.write("leases", "a", "one")).unwrap_err()
            self.assertEqual(FailureCause.UNAVAILABLE, failure.cause)

        _run(test)

    def test_reports_an_absent_object_as_not_found(self):
        async def test(fake, objects, calls, site):
            answer = await objects.read("leases", "a")
            self.assertIsInstance(answer, Err)
            self.assertIsInstance(answer.err(), Failure)
            self.assertEqual(FailureCause.NOT_FOUND, answer.unwrap_err().cause)

        _run(test)

    def test_reconnects_a_watch_after_the_last_version(self):
        async def test(fake, objects, calls, site):
            changes = []
            async with contextlib.aclosing(objects.watch("leases", 4)) as watch:
                async for change in watch:
                    changes.append(change)
                    if len(changes) == 2:
                        break
            self.assertEqual(
                [ObjectChange("a", 5, "b"), ObjectChange("a", 6, "b")], changes
            )
            self.assertEqual(2, fake.watches)

        _run(test)

    def test_a_refused_watch_is_logged_without_the_token(self):
        async def test(fake, objects, calls, site):
            fake.refuse_watches = 1
            async with contextlib.aclosing(objects.watch("leases", 4)) as watch:
                await anext(watch)

        logger = MemoryLogger()
        before = swap_logger(logger)
        self.addCleanup(swap_logger, before)
        _run(test)
        self.assertIn("watch failed", str(logger.messages))
        self.assertNotIn("secret", str(logger.messages))

    def test_lists_hosts(self):
        async def test(fake, objects, calls, site):
            hosts = (await objects.list_hosts()).unwrap()
            row = ListedHost("h1", "daemon", "a:1", "d", True, 3)
            self.assertEqual((row,), hosts)

        _run(test)


class WaitBeforeRetryTest(TestCase):
    def test_grows_to_a_bound(self):
        rng = random.Random(1)
        waits = [compute_retry_delay(n, rng).total_seconds() for n in range(40)]
        self.assertLess(waits[0], waits[3])
        self.assertLessEqual(max(waits), 10)
