"""Test watches of one kind of objects through outages of the store."""

import asyncio
from datetime import timedelta
from random import Random

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.store_watches import StoreWatch
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectChange,
    ObjectListing,
    StoredObject,
)

UNAVAILABLE = Err(Failure(FailureCause.UNAVAILABLE))


class FakeStore:
    """Store that gives prepared answers, each with the seconds it takes."""

    def __init__(self, clock, *answers):
        self.clock = clock
        self.answers = list(answers)
        self.calls = []

    async def list(self, kind):
        return self._answer("list")

    async def watch(self, kind, after, wait):
        return self._answer(f"watch {after}")

    def _answer(self, call):
        self.calls.append(call)
        seconds, answer = self.answers.pop(0)
        self.clock.advance(timedelta(seconds=seconds))
        return answer


class TestStoreWatch(TestCase):
    def run_steps(self, *answers):
        clock, seen = ManualClock(), []
        store = FakeStore(clock, *answers)
        store_watch = StoreWatch(
            store,
            "targets",
            timedelta(seconds=8),
            lambda listing: seen.append(("listing", listing.version)),
            lambda change: seen.append((change.name, change.deleted)),
            clock,
            Random(1),
        )

        async def play():
            for _ in answers:
                await store_watch.step()

        asyncio.run(play())
        return store, seen

    def test_changes_follow_the_listing(self):
        change = ObjectChange("e1", 6, "{}", True)
        store, seen = self.run_steps(
            (0, Ok(ObjectListing(5, (StoredObject("e1", 4, "{}"),)))),
            (3, Ok((6, (change,)))),
        )
        self.assertEqual(["list", "watch 5"], store.calls)
        self.assertEqual([("listing", 5), ("e1", True)], seen)

    def test_objects_are_listed_again_after_compaction(self):
        gone = Err(Failure(FailureCause.COMPACTED))
        store, seen = self.run_steps(
            (0, Ok(ObjectListing(5, ()))), (0, gone), (0, Ok(ObjectListing(9, ())))
        )
        self.assertEqual(["list", "watch 5", "list"], store.calls)
        self.assertEqual([("listing", 5), ("listing", 9)], seen)

    def test_a_watch_that_hangs_through_an_outage_is_restarted(self):
        # Watches that the store had lost hung for 9 s after its return, and targets
        # that left in that time were still used (release-after-an-outage on
        # cwpc-shared).
        clock, seen, hung = ManualClock(), [], []

        class HangingStore(FakeStore):
            async def watch(self, kind, after, wait):
                if not hung:
                    hung.append(after)
                    await asyncio.sleep(3600)
                return self._answer(f"watch {after}")

        change = ObjectChange("e1", 6, "{}", True)
        store = HangingStore(
            clock, (0, Ok(ObjectListing(5, ()))), (0, Ok((6, (change,))))
        )
        store_watch = StoreWatch(
            store,
            "targets",
            timedelta(seconds=8),
            lambda listing: None,
            lambda change: seen.append(change.name),
            clock,
            Random(1),
        )

        async def play():
            await store_watch.step()
            store_watch.restart()
            first = asyncio.create_task(store_watch.step())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            store_watch.restart()
            self.assertIsNone(await asyncio.wait_for(first, 5.0))
            await store_watch.step()

        asyncio.run(play())
        self.assertEqual([5], hung)
        self.assertEqual(["e1"], seen)

    def test_a_watch_that_began_after_the_return_is_not_cancelled(self):
        clock, hung = ManualClock(), []

        class HangingStore(FakeStore):
            async def watch(self, kind, after, wait):
                hung.append(after)
                await asyncio.sleep(60)

        store_watch = StoreWatch(
            HangingStore(clock, (1, Ok(ObjectListing(5, ())))),
            "targets",
            timedelta(seconds=8),
            lambda listing: None,
            lambda change: None,
            clock,
            Random(1),
        )

        async def play():
            await store_watch.step()
            watch = asyncio.create_task(store_watch.step())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            store_watch.restart(clock.monotonic())
            ended, _ = await asyncio.wait((watch,), timeout=0.05)
            self.assertEqual(set(), ended)
            store_watch.restart(clock.monotonic() + timedelta(milliseconds=1))
            self.assertIsNone(await asyncio.wait_for(watch, 5.0))

        asyncio.run(play())
        self.assertEqual([5], hung)

    def test_a_stopped_watch_cancels_its_call(self):
        ended = []

        class HangingStore(FakeStore):
            async def watch(self, kind, after, wait):
                try:
                    await asyncio.sleep(3600)
                finally:
                    ended.append(kind)

        async def play():
            store = HangingStore(ManualClock(), (0, Ok(ObjectListing(5, ()))))
            ignore = lambda seen: None  # noqa: E731
            wait = timedelta(seconds=8)
            store_watch = StoreWatch(
                store, "targets", wait, ignore, ignore, store.clock, Random(1)
            )
            watching = asyncio.create_task(store_watch.run())
            await asyncio.sleep(0.05)
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            await asyncio.sleep(0)

        asyncio.run(play())
        self.assertEqual(["targets"], ended)

    def test_changes_within_the_batching_delay_cost_one_call(self):
        """Targets of a large fleet change several times a second."""
        clock, batchings = ManualClock(), []

        async def play():
            store = FakeStore(
                clock,
                (0, Ok(ObjectListing(1, ()))),
                (0, Ok((2, (ObjectChange("a", 2, "{}", False),)))),
            )
            store_watch = StoreWatch(
                store,
                "targets",
                timedelta(seconds=8),
                lambda listing: None,
                lambda change: None,
                clock,
                Random(1),
                batching_delay=lambda: batchings.append(1) or timedelta(seconds=30),
            )
            watching = asyncio.create_task(store_watch.run())
            await asyncio.sleep(0.05)
            watching.cancel()
            return store.calls

        self.assertEqual(["list"], asyncio.run(play()))
        self.assertEqual([1], batchings)
