"""Check which hosts schedule, and what a host does when no scheduler answers."""

import asyncio
import time
from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import schedulers, slot_client
from galenapass.forwarding.datagrams import SlotPending, SlotRefusal, TargetsUnknown
from galenapass.forwarding.scheduler_selection import (
    CLIENT_TIMEOUT,
    FALLBACK_TIME,
    LISTING_TIMEOUT,
    STALE_TIMEOUT,
    SchedulerSelection,
    SchedulingReason,
    SelectionState,
    find_scheduling_reason,
)
from galenapass.forwarding.schedulers import Contact, Contacts, HostEntry
from galenapass.forwarding.slot_client import SlotClient
from galenapass.forwarding.slot_requests import Grant, Outcome, SlotRelease, Stage
from galenapass.verdicts import Reason, Run, Verdict
from tests.forwarding_fakes import MS, make_target
from tests.test_forwarding_scheduling import make_slot_request

SECOND = timedelta(seconds=1)


def make_hosts(count, domains=3):
    return {
        f"h{n}": HostEntry(f"d{n % domains}", ("10.0.0.1", n)) for n in range(count)
    }


class TestSchedulers(TestCase):
    @given(st.integers(1, 420), st.integers(1, 8))
    def test_a_few_hosts_of_each_domain_schedule_however_many_there_are(
        self, count, domains
    ):
        hosts = make_hosts(count, domains)
        designated = schedulers.list_schedulers(hosts)
        self.assertEqual({entry.domain for entry in hosts.values()}, set(designated))
        total = sum(map(len, designated.values()))
        least = schedulers.MIN_SCHEDULERS_PER_DOMAIN * domains
        self.assertLessEqual(total, max(schedulers.MAX_SCHEDULERS, least))
        if count <= schedulers.MAX_SCHEDULERS:
            self.assertEqual(count, total)

    def test_the_hosts_with_most_cores_of_a_domain_schedule(self):
        # Of 77 hosts, schedulers of half a core answered late. 71 other hosts began to
        # schedule, and all of them sent announcements to each other.
        hosts = {
            name: HostEntry(entry.domain, entry.address, 2.15 if n % 4 else 0.516)
            for n, (name, entry) in enumerate(make_hosts(77).items())
        }
        for names in schedulers.list_schedulers(hosts).values():
            self.assertEqual({2.15}, {hosts[name].power for name in names})

    def test_a_removed_host_changes_few_schedulers(self):
        hosts = make_hosts(195, 5)
        before = schedulers.list_schedulers(hosts)
        gone = before["d0"][0]
        del hosts[gone]
        after = schedulers.list_schedulers(hosts)
        self.assertEqual(before["d1"], after["d1"])
        self.assertEqual(before["d0"][1:], after["d0"][:1])

    def test_hosts_are_distributed_over_the_schedulers_of_their_domain(self):
        hosts = make_hosts(195, 5)
        first = [
            schedulers.list_candidates(hosts, name, entry.domain)[0]
            for name, entry in hosts.items()
            if entry.domain == "d0"
        ]
        counts = [first.count(name) for name in set(first)]
        self.assertGreater(min(counts), 5)

    def test_hosts_that_do_not_answer_are_passed_over(self):
        contacts = Contacts(["a", "b", "c"])
        contacts.known = {
            "a": Contact(unanswered=schedulers.MAX_UNANSWERED),
            "b": Contact(answered_at=SECOND, is_fresh=False),
            "c": Contact(answered_at=SECOND, is_fresh=True),
        }
        self.assertEqual(["c", "b"], schedulers.order_contacts(contacts))
        schedulers.record_answer(contacts.known["a"], 2 * SECOND)
        contacts.known["a"].is_fresh = True
        self.assertEqual(["a", "c", "b"], schedulers.order_contacts(contacts))


class TestSchedulerSelection(TestCase):
    def find_reason(self, host="h9", **changes):
        state = SelectionState(**({"hosts": make_hosts(40)} | changes))
        return find_scheduling_reason(
            state, host, state.hosts[host].domain, 100 * SECOND
        )

    def test_scheduling_has_a_reason(self):
        designated = schedulers.list_schedulers(make_hosts(40))["d0"]
        other = next(f"h{n}" for n in range(0, 40, 3) if f"h{n}" not in designated)
        self.assertIs(SchedulingReason.DESIGNATED, self.find_reason(designated[0]))
        self.assertIsNone(self.find_reason(other))
        self.assertIs(
            SchedulingReason.HAS_CLIENTS,
            self.find_reason(other, client_seen_at=99 * SECOND),
        )
        self.assertIsNone(self.find_reason(other, client_seen_at=90 * SECOND))
        self.assertIs(
            SchedulingReason.FALLBACK,
            self.find_reason(other, fallback_until=101 * SECOND),
        )
        self.assertIsNone(self.find_reason(other, fallback_until=99 * SECOND))

    def test_the_only_known_host_of_a_domain_schedules(self):
        state = SelectionState()
        self.assertIsNone(find_scheduling_reason(state, "h1", "d1", SECOND))
        state.hosts = {"h1": HostEntry("d1", ("10.0.0.1", 1))}
        self.assertIs(
            SchedulingReason.ONLY_HOST,
            find_scheduling_reason(state, "h1", "d1", SECOND),
        )

    def make_selection(self, has_store_updates=True):
        clock, calls = ManualClock(), []
        hosts = make_hosts(40)
        designated = schedulers.list_schedulers(hosts)["d0"]
        host = next(f"h{n}" for n in range(0, 40, 3) if f"h{n}" not in designated)
        scheduler_selection = SchedulerSelection(
            host,
            "d0",
            clock,
            Random(1),
            lambda: calls.append("start"),
            lambda: calls.append("stop"),
            lambda: has_store_updates,
        )
        scheduler_selection.update_hosts(hosts)
        return scheduler_selection, clock, calls

    def test_a_host_schedules_while_it_has_clients(self):
        scheduler_selection, clock, calls = self.make_selection()
        self.assertFalse(scheduler_selection.is_scheduler)
        scheduler_selection.record_client("h1", ("10.0.0.1", 1))
        self.assertTrue(scheduler_selection.is_scheduler)
        self.assertEqual([("10.0.0.1", 1)], scheduler_selection.list_clients())
        clock.advance(CLIENT_TIMEOUT)
        scheduler_selection.step()
        self.assertEqual(
            (False, ["start", "stop"]), (scheduler_selection.is_scheduler, calls)
        )

    def test_silent_schedulers_are_passed_over_and_still_pinged(self):
        scheduler_selection, clock, _ = self.make_selection()
        first = scheduler_selection.list_due_pings()
        self.assertEqual(2, len(first))
        for _ in range(schedulers.MAX_UNANSWERED):
            clock.advance(SECOND)
            scheduler_selection.list_due_pings()
        self.assertNotIn(first[0], scheduler_selection.list_schedulers())
        due = scheduler_selection.list_due_pings()
        self.assertTrue(set(first) <= set(due))
        self.assertTrue(set(scheduler_selection.list_schedulers()[:2]) <= set(due))
        scheduler_selection.record_contact(first[0], ("10.0.0.1", 1))
        scheduler_selection.record_pong(first[0], is_fresh=True)
        self.assertEqual(first[0], scheduler_selection.list_schedulers()[0])

    def test_a_host_reads_the_store_itself_only_if_the_store_answers_it(self):
        # Otherwise an outage of the store would make hundreds of hosts watch it.
        for answers in (False, True):
            scheduler_selection, clock, _ = self.make_selection()
            for host in scheduler_selection.list_schedulers()[:2]:
                scheduler_selection.record_pong(host, is_fresh=False)
            probe_calls = []

            async def probe(probe_calls=probe_calls, answers=answers):
                probe_calls.append(1)
                return answers

            async def run_scenario(
                scheduler_selection=scheduler_selection, clock=clock, probe=probe
            ):
                running = asyncio.create_task(scheduler_selection.run(probe))
                await asyncio.sleep(0.3)
                clock.advance(STALE_TIMEOUT)
                await asyncio.sleep(0.3)
                running.cancel()

            asyncio.run(run_scenario())
            self.assertEqual(
                ([1], answers), (probe_calls, scheduler_selection.is_scheduler)
            )
            clock.advance(FALLBACK_TIME)
            scheduler_selection.step()
            self.assertFalse(scheduler_selection.is_scheduler)

    def test_targets_that_are_listed_after_a_pause_are_awaited(self):
        # The host scheduled without targets, and refused what it had.
        selection, _, _ = self.make_selection()

        async def list_targets():
            await asyncio.sleep(0.02)
            time.sleep(2 * LISTING_TIMEOUT.total_seconds())
            # The answer that came in the pause takes a few passes of the loop to read.
            for _ in range(10):
                await asyncio.sleep(0)
            selection.targets_listed.set()

        async def main():
            listing = asyncio.create_task(list_targets())
            await selection.take_over()
            is_listed = selection.targets_listed.is_set()
            await listing
            return is_listed

        self.assertTrue(asyncio.run(main()))

    def test_a_host_that_stops_is_not_fresh(self):
        scheduler_selection, _, _ = self.make_selection()
        scheduler_selection.record_client("h1", ("10.0.0.1", 1))
        self.assertTrue(scheduler_selection.is_fresh)
        scheduler_selection.step_down()
        self.assertFalse(scheduler_selection.is_fresh)


class FakeSchedulers:
    """Fake schedulers of a host; ``reactions`` maps a host to its answer function."""

    def __init__(self, is_scheduler=False):
        self.is_scheduler = is_scheduler
        self.sent = []
        self.hosts = ["s1", "s2", "s3"]
        self.unanswered_hosts = []
        self.reactions = {}
        self.local_messages = []
        self.slot_client = SlotClient(self, self, self.send, ManualClock())

    def list_schedulers(self):
        return self.hosts

    def list_granting(self):
        return self.hosts

    def record_unanswered(self, host):
        self.unanswered_hosts.append(host)

    async def take_over(self):
        self.is_scheduler = True

    def send(self, host, message):
        self.sent.append((host, message))
        react = self.reactions.get(host)
        if react is not None and not isinstance(message, SlotRelease):
            react(host, message)

    def submit(self, slot_request, answer):
        self.local_messages.append(slot_request.ticket)
        answer(Ok(make_grant(slot_request.ticket)))

    def end(self, release):
        self.local_messages.append(release)

    def releases(self):
        return [(host, m) for host, m in self.sent if isinstance(m, SlotRelease)]


def make_grant(ticket, target="t1"):
    return Grant(ticket, make_target(target), 1.0, 0.0, 0, 0.0, "why")


class TestSlotClient(TestCase):
    def acquire(self, fake, name="a1", stage=Stage.CALL):
        return asyncio.run(fake.slot_client.acquire(make_slot_request(name, stage)))

    def grant(self, fake):
        return lambda host, slot_request: fake.slot_client.apply_reply(
            host, make_grant(slot_request.ticket)
        )

    def test_another_scheduler_is_tried_when_the_first_is_silent(self):
        fake = FakeSchedulers()
        fake.reactions["s2"] = self.grant(fake)
        slot = self.acquire(fake).unwrap()
        self.assertEqual("t1", slot.grant.target.id)
        self.assertEqual(["s1"], fake.unanswered_hosts)
        self.assertEqual(
            [("s1", SlotRelease("a1", Outcome.CANCELLED))], fake.releases()
        )
        slot.end(Outcome.DONE)
        slot.end(Outcome.DONE)
        self.assertEqual("s2", fake.releases()[-1][0])
        self.assertEqual(2, len(fake.releases()))

    def test_a_daemon_schedules_locally_when_no_scheduler_answers(self):
        fake = FakeSchedulers()
        self.assertIsInstance(self.acquire(fake), Ok)
        self.assertEqual({"s1", "s2"}, set(fake.unanswered_hosts))
        self.assertEqual(["a1"], fake.local_messages)
        # It does not become a scheduler while other schedulers are listed.
        self.assertFalse(fake.is_scheduler)
        fake.hosts = []
        self.acquire(fake, "a2")
        self.assertTrue(fake.is_scheduler)

    def test_a_request_is_repeated_after_a_lost_answer(self):
        fake, tickets = FakeSchedulers(), []
        fake.hosts = ["s1"]

        def react(host, slot_request):
            tickets.append(slot_request.ticket)
            if len(tickets) == 2:
                fake.slot_client.apply_reply(host, make_grant(slot_request.ticket))

        fake.reactions["s1"] = react
        self.assertIsInstance(self.acquire(fake), Ok)
        self.assertEqual(["a1", "a1"], tickets)

    def test_a_second_answer_does_not_release_the_slot_in_use(self):
        # A scheduler that was slow answers the request and its repetition.
        fake = FakeSchedulers()
        fake.hosts = ["s1"]
        grant = self.grant(fake)
        fake.reactions["s1"] = lambda *message: (grant(*message), grant(*message))
        slot = self.acquire(fake).unwrap()
        grant("s1", make_slot_request("a1"))
        self.assertEqual([], fake.releases())
        slot.end(Outcome.DONE)
        self.assertEqual([Outcome.DONE], [m.outcome for _, m in fake.releases()])
        # The scheduler granted a slot anew for a repetition that came late.
        grant("s1", make_slot_request("a1"))
        self.assertIs(Outcome.CANCELLED, fake.releases()[-1][1].outcome)

    def test_a_second_answer_at_another_target_is_released(self):
        # The scheduler has started again since, and knows nothing of the first one.
        fake = FakeSchedulers()
        fake.hosts = ["s1"]
        fake.reactions["s1"] = self.grant(fake)
        self.acquire(fake).unwrap()
        fake.slot_client.apply_reply("s1", make_grant("a1", "t2"))
        self.assertEqual(
            [("s1", SlotRelease("a1", Outcome.CANCELLED))], fake.releases()
        )

    def test_the_slower_of_two_grants_is_released(self):
        fake = FakeSchedulers()

        def react(host, slot_request):
            # Both answer once the second one has the request as well.
            if host == "s2":
                fake.slot_client.apply_reply("s1", make_grant(slot_request.ticket))
                fake.slot_client.apply_reply("s2", make_grant(slot_request.ticket))

        fake.reactions["s2"] = react
        slot = self.acquire(fake).unwrap()
        self.assertEqual({"s2"}, {host for host, _ in fake.releases()})
        slot.end(Outcome.DONE)
        self.assertEqual("s1", fake.releases()[-1][0])

    def test_a_scheduler_that_answers_pending_is_waited_for(self):
        fake, tickets = FakeSchedulers(), []

        def react(host, slot_request):
            tickets.append(slot_request.ticket)
            answer = (
                SlotPending(slot_request.ticket)
                if len(tickets) < 5
                else make_grant(slot_request.ticket)
            )
            fake.slot_client.apply_reply(host, answer)

        fake.reactions["s1"] = react
        self.assertIsInstance(self.acquire(fake), Ok)
        self.assertEqual(
            (["s1"], []),
            (sorted(set(self.list_requested(fake))), fake.unanswered_hosts),
        )

    def list_requested(self, fake):
        return [
            host for host, message in fake.sent if not isinstance(message, SlotRelease)
        ]

    def test_another_scheduler_is_asked_at_once_if_one_knows_no_targets(self):
        # 20 of 28 hosts of a partitioned domain refused what others could serve.
        fake = FakeSchedulers()
        fake.reactions["s1"] = lambda host, slot_request: fake.slot_client.apply_reply(
            host, TargetsUnknown(slot_request.ticket)
        )
        fake.reactions["s2"] = self.grant(fake)
        self.assertIsInstance(self.acquire(fake), Ok)
        self.assertEqual(["s1", "s2"], self.list_requested(fake))
        self.assertEqual(([], []), (fake.unanswered_hosts, fake.releases()))

    def test_hosts_that_know_no_targets_are_not_asked_without_end(self):
        fake = FakeSchedulers()
        fake.hosts = [f"s{n}" for n in range(20)]
        for name in fake.hosts:
            fake.reactions[name] = lambda host, slot_request: (
                fake.slot_client.apply_reply(host, TargetsUnknown(slot_request.ticket))
            )
        self.assertIsInstance(self.acquire(fake), Ok)
        self.assertEqual(["a1"], fake.local_messages)
        self.assertLessEqual(len(self.list_requested(fake)), 5)

    def test_a_refusal_is_final(self):
        fake = FakeSchedulers()
        verdict = Verdict(Run.NOT_RUN, Reason.OVERLOADED, "", 300 * MS)
        fake.reactions["s1"] = lambda host, slot_request: fake.slot_client.apply_reply(
            host, SlotRefusal(slot_request.ticket, verdict)
        )
        self.assertEqual(Err(verdict), self.acquire(fake))
        self.assertEqual([], fake.releases())

    def test_a_cancelled_request_is_removed_from_the_queue(self):
        fake = FakeSchedulers()
        fake.reactions["s1"] = lambda host, slot_request: fake.slot_client.apply_reply(
            host, SlotPending(slot_request.ticket)
        )

        async def run_scenario():
            waiting = asyncio.create_task(
                fake.slot_client.acquire(make_slot_request("a1"))
            )
            await asyncio.sleep(0.02)
            waiting.cancel()
            await asyncio.wait((waiting,))

        asyncio.run(run_scenario())
        self.assertEqual(
            [("s1", SlotRelease("a1", Outcome.CANCELLED))], fake.releases()
        )

    def test_a_late_grant_is_released(self):
        fake = FakeSchedulers()
        fake.slot_client.apply_reply("s1", make_grant("old"))
        self.assertEqual(
            [("s1", SlotRelease("old", Outcome.CANCELLED))], fake.releases()
        )

    def test_the_first_output_releases_only_the_prefill(self):
        fake = FakeSchedulers(is_scheduler=True)
        slot = self.acquire(fake, stage=Stage.PREFILL).unwrap()
        slot.record_output()
        slot.record_output()
        slot.end(Outcome.DONE, events=3)
        first, last = fake.local_messages[1:]
        self.assertEqual(
            (True, False, 3), (first.is_prefill_only, last.is_prefill_only, last.events)
        )

    def test_the_first_output_releases_nothing_without_a_prefill(self):
        for stage in (Stage.CALL, Stage.DECODE):
            fake = FakeSchedulers(is_scheduler=True)
            slot = self.acquire(fake, stage=stage).unwrap()
            slot.record_output()
            slot.end(Outcome.DONE, events=3)
            self.assertEqual(
                [False], [m.is_prefill_only for m in fake.local_messages[1:]]
            )

    def test_an_unresponsive_scheduler_delays_a_request_by_less_than_its_objective(
        self,
    ):
        self.assertLess(slot_client.FIRST_REPLY_TIMEOUT, 100 * MS)
        self.assertLessEqual(slot_client.SCHEDULER_TIMEOUT, 400 * MS)
