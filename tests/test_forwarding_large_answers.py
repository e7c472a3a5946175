"""Test who holds the slots of large answers."""

import asyncio
from datetime import timedelta

from testtools import TestCase

from galenapass.forwarding import large_answers
from galenapass.forwarding.large_answers import (
    MAX_ANSWER_BYTES,
    SMALL_ANSWER_BYTES,
    AnswerEvictedError,
    LargeAnswers,
    count_slots,
)

LARGE = SMALL_ANSWER_BYTES + 1
MEGABYTE = 10**6


class Holder:
    """Task that holds an answer of a target until it is told to end."""

    def __init__(self, answers, target, size=LARGE):
        self.has_slot = False
        self.is_evicted = False
        self._ended = asyncio.Event()
        self.task = asyncio.create_task(self._hold(answers, target, size))

    async def _hold(self, answers, target, size):
        try:
            async with answers.hold(target) as held:
                await held.extend(size)
                self.has_slot = True
                await self._ended.wait()
        except AnswerEvictedError:
            self.is_evicted = True

    async def end(self):
        self._ended.set()
        await self.task


async def settle(seconds=0.0):
    await asyncio.sleep(seconds)
    for _ in range(10):
        await asyncio.sleep(0)


class TestLargeAnswers(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(large_answers, "EVICTION_DELAY", timedelta(milliseconds=20))

    def run_with(self, slots, scenario):
        answers = LargeAnswers(slots)
        asyncio.run(scenario(answers, lambda *args: Holder(answers, *args)))
        self.assertEqual(0, answers.held)

    def test_small_answers_need_no_slot(self):
        async def scenario(answers, hold):
            holders = [hold("t", SMALL_ANSWER_BYTES) for _ in range(100)]
            await settle()
            self.assertTrue(all(h.has_slot for h in holders))
            self.assertEqual(0, answers.held)
            for holder in holders:
                await holder.end()

        self.run_with(1, scenario)

    def test_large_answers_of_one_target_wait_for_each_other(self):
        async def scenario(answers, hold):
            holders = [hold("t") for _ in range(4)]
            await settle(0.1)
            self.assertEqual([True] * 2 + [False] * 2, [h.has_slot for h in holders])
            for number, holder in enumerate(holders):
                await holder.end()
                await settle()
                self.assertTrue(all(h.has_slot for h in holders[: number + 3]))
            self.assertFalse(any(h.is_evicted for h in holders))

        self.run_with(2, scenario)

    def test_a_target_without_a_slot_takes_one_from_a_target_that_has_several(self):
        async def scenario(answers, hold):
            floods = [hold("flood", LARGE + n) for n in range(3)]
            await settle()
            sound = hold("sound")
            await settle(0.1)
            self.assertTrue(sound.has_slot)
            # The largest one is given up.
            self.assertEqual([False, False, True], [h.is_evicted for h in floods])
            for holder in [sound, *floods]:
                await holder.end()

        self.run_with(3, scenario)

    def test_whole_answers_are_not_given_up_while_their_clients_take_them(self):
        async def scenario(answers, hold):
            async with answers.hold("a") as first, answers.hold("a") as second:
                for held in (first, second):
                    await held.extend(LARGE)
                    held.is_whole = True
                waiting = hold("b")
                await settle(0.1)
                self.assertFalse(waiting.has_slot)
            await settle()
            self.assertTrue(waiting.has_slot)
            await waiting.end()

        self.run_with(2, scenario)

    def test_sound_answers_that_end_soon_are_not_given_up(self):
        async def scenario(answers, hold):
            first = [hold("a") for _ in range(3)]
            await settle()
            waiting = hold("b")
            await settle()
            await first[0].end()
            await settle(0.1)
            self.assertTrue(waiting.has_slot)
            self.assertFalse(any(h.is_evicted for h in first))
            for holder in [waiting, *first]:
                await holder.end()

        self.run_with(3, scenario)

    def test_the_target_with_the_fewest_slots_is_next(self):
        async def scenario(answers, hold):
            first = [hold("a"), hold("a")]
            await settle()
            more, other = hold("a"), hold("b")
            await settle()
            await first[0].end()
            await settle()
            self.assertEqual((False, True), (more.has_slot, other.has_slot))
            for holder in [*first, other, more]:
                await holder.end()

        self.run_with(2, scenario)

    def test_targets_with_equal_shares_leave_each_other_their_answers(self):
        async def scenario(answers, hold):
            held = [hold("a"), hold("b")]
            await settle()
            waiting = hold("c")
            await settle(0.1)
            self.assertFalse(waiting.has_slot or any(h.is_evicted for h in held))
            for holder in [*held, waiting]:
                await holder.end()

        self.run_with(2, scenario)

    def test_an_answer_that_is_cancelled_while_it_waits_leaves_no_trace(self):
        async def scenario(answers, hold):
            held, waiting = hold("a"), hold("b")
            await settle()
            waiting.task.cancel()
            await settle()
            await held.end()
            last = hold("c")
            await settle()
            self.assertTrue(last.has_slot)
            await last.end()

        self.run_with(1, scenario)


class TestCountSlots(TestCase):
    def test_large_answers_take_a_part_of_the_memory(self):
        for limit in (160, 300, 552):
            memory = limit * MEGABYTE
            self.assertLess(count_slots(memory) * MAX_ANSWER_BYTES, memory / 2)

    def test_the_smallest_host_holds_one(self):
        self.assertEqual(1, count_slots(MEGABYTE))
