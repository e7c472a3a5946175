"""Check the claim store with callers that disconnect, cached slices and a flush."""

import asyncio
from datetime import timedelta
from random import Random
from unittest import mock

from testtools import TestCase

from galenapass.clocks import SystemClock
from galenapass.dispatch import Claim, StoredAnswer
from galenapass.duties import claim_store
from galenapass.duties.claim_store import ClaimStore
from galenapass.systems import claims
from tests.fake_objects import CallOutcome, FakeObjects

ANSWER = StoredAnswer(200, "text/plain", b"held")


class _GatedStore:
    """Slice store whose writes wait until the gate opens."""

    def __init__(self):
        self.objects = FakeObjects()
        self.gate = asyncio.Event()
        self.writes = 0
        self.call_outcomes = []

    async def read(self, kind, name):
        return self.objects.read(name)

    async def write(self, kind, name, body, if_version=None):
        self.writes += 1
        await self.gate.wait()
        call_outcome = (
            self.call_outcomes.pop(0) if self.call_outcomes else CallOutcome.ANSWERED
        )
        return self.objects.write(name, body, if_version, call_outcome)


class CancelledBeginTest(TestCase):
    def _begin_after_cancel(self, *call_outcomes):
        """Return what another daemon begins with the key of a cancelled begin."""

        async def inner():
            store = _GatedStore()
            store.call_outcomes = list(call_outcomes)
            one, two = (
                ClaimStore(store, host, SystemClock(), Random(1))
                for host in ("h1", "h2")
            )
            begin = asyncio.create_task(one.begin("c", "s", "k", "f"))
            while not store.writes:
                await asyncio.sleep(0)
            begin.cancel()
            await asyncio.gather(begin, return_exceptions=True)
            store.gate.set()
            while one.count_waiting():
                await asyncio.sleep(0.001)
            store.objects.apply_late_write()
            return await two.begin("c", "s", "k", "f")

        return asyncio.run(inner())

    def test_releases_the_key(self):
        self.assertIsInstance(self._begin_after_cancel().unwrap(), Claim)

    def test_releases_the_key_when_the_answer_is_lost(self):
        self.assertIsInstance(
            self._begin_after_cancel(CallOutcome.ANSWER_LOST).unwrap(), Claim
        )

    def test_rejects_a_write_that_arrives_late(self):
        self.assertIsInstance(
            self._begin_after_cancel(CallOutcome.LATE).unwrap(), Claim
        )


class CachedSlicesTest(TestCase):
    def _run(self, test):
        async def inner():
            store = _GatedStore()
            store.gate.set()
            one, two = (
                ClaimStore(store, host, SystemClock(), Random(1))
                for host in ("h1", "h2")
            )
            await test(store, one, two)

        asyncio.run(inner())

    def test_caches_few_entries_and_stores_all_in_the_platform(self):
        async def test(store, one, two):
            for number in range(30):
                begun = await one.begin("c", "s", str(number), "f")
                await one.finish(begun.unwrap(), ANSWER)
            self.assertLessEqual(len(one._queues), 5)
            for number in range(30):
                stored = await one.begin("c", "s", str(number), "f")
                self.assertEqual(ANSWER, stored.unwrap())

        with mock.patch.object(claim_store, "MAX_CACHED_ENTRIES", 10):
            self._run(test)

    def test_flush_writes_pending_operations(self):
        async def test(store, one, two):
            claim = (await one.begin("c", "s", "k", "f")).unwrap()
            store.gate.clear()
            finishing = asyncio.create_task(one.finish(claim, ANSWER))
            await asyncio.sleep(0.001)
            self.assertEqual(1, await one.flush(timedelta(milliseconds=1)))
            store.gate.set()
            self.assertEqual(0, await one.flush(timedelta(seconds=5)))
            await finishing
            self.assertEqual(ANSWER, (await two.begin("c", "s", "k", "f")).unwrap())

        self._run(test)

    def test_encodes_finished_keys_compactly(self):
        entries = {}
        claims.apply_operation(
            entries, claims.AcquireClaim("a" * 32, "n1", "f" * 16), 0
        )
        claims.apply_operation(entries, claims.FinishClaim("a" * 32, "n1", None), 0)
        body = claims.encode_slice(entries, 0)
        self.assertEqual('{"claims":{"' + "a" * 32 + '":"m' + "f" * 16 + '"}}', body)
        decoded = claims.decode_slice(1, body).entries
        claims.apply_operation(decoded, claims.FinishClaim("a" * 32, "n1", ANSWER), 0)
        self.assertEqual(body, claims.encode_slice(decoded, 0))
