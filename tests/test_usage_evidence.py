"""Test that windows are left out, not counted anew, where reports may be lost."""

import asyncio
from datetime import timedelta
from random import Random

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenapass.duties.usage_reports import Report
from galenapass.forwarding.usage_evidence import (
    Evidence,
    Proof,
    Restore,
    find_proof,
    merge_evidence,
)
from galenapass.forwarding.usage_messages import decode_evidence, encode_evidence
from galenapass.platform.messages import StoredObject
from tests.usage_world import FIRST_WINDOW, MS, SECOND, World

HOSTS = {"h1": "a", "h2": "a", "h3": "b", "h4": "b", "h5": "c", "h6": "c"}
COPY_PERIOD = 500 * MS

times = st.integers(0, 20).map(lambda n: n * SECOND)
restores = st.none() | st.builds(Restore, st.integers(0, 3), times)
evidence = st.builds(Evidence, st.integers(-1, 9), times, restores)


@given(evidence, evidence, evidence)
def test_order_and_repetition_of_what_is_told_change_nothing(one, other, third):
    assert merge_evidence(one, one) == one
    assert merge_evidence(one, other) == merge_evidence(other, one)
    assert merge_evidence(merge_evidence(one, other), third) == merge_evidence(
        one, merge_evidence(other, third)
    )


@given(evidence)
def test_evidence_is_told_whole(told):
    assert decode_evidence(encode_evidence(told)) == told


def test_proofs():
    restored = Restore(2, 100 * SECOND)
    early, late = 100 * SECOND, 101 * SECOND
    cases = [
        (early, Evidence(5, 99 * SECOND, None), None, Proof.STORED),
        (early, Evidence(5, 99 * SECOND, restored), 2, Proof.STORED),
        (early, Evidence(5, 99 * SECOND, restored), 1, None),
        (early, Evidence(5, 99 * SECOND, restored), None, None),
        (late, Evidence(5, 99 * SECOND, restored), 1, Proof.LATER),
        (early, Evidence(5, 100 * SECOND, restored), 1, Proof.HELD),
    ]
    for end, known, stored_epoch, proof in cases:
        assert find_proof(end, known, stored_epoch) is proof


class Drill:
    """World of six hosts whose store can return to an older copy."""

    def __init__(self):
        self.world = World()
        for name, domain in HOSTS.items():
            self.world.start(name, domain, is_first=True)
        self.world.former = dict(HOSTS)
        self.copies = []

    async def run(self, duration):
        world, end = self.world, self.world.now + duration
        while world.now < end:
            await world.run(min(COPY_PERIOD, end - world.now))
            self.copies.append((world.now, dict(world.objects), world.version))
            for host in list(world.hosts.values()):
                if not host.is_frozen:
                    host.serve(f"org-{host.name}")

    async def run_until_report(self):
        count = len(self.world.platform.calls)
        while len(self.world.platform.calls) == count:
            await self.run(100 * MS)

    def restore(self, age):
        oldest = self.world.now - age
        _, objects, version = [copy for copy in self.copies if copy[0] <= oldest][-1]
        self.world.objects, self.world.version = dict(objects), version
        self.world.epoch += 1

    def restart(self, *names):
        for name in names:
            self.world.kill(self.world.hosts[name])
            self.world.start(name, HOSTS[name])

    def list_missing(self):
        """Check that no rule was broken; return the windows that were not reported."""
        assert self.world.platform.violations == []
        reported = {window - FIRST_WINDOW for window in self.world.platform.windows}
        return set(range(max(reported))) - reported


def play(scenario):
    async def main():
        drill = Drill()
        await drill.run(17 * SECOND)
        await drill.run_until_report()
        await scenario(drill)
        await drill.run(40 * SECOND)
        return drill.list_missing()

    return asyncio.run(main())


@pytest.mark.parametrize("away", [0.0, 0.6, 2.5])
def test_restore_alone_leaves_out_no_window(away):
    async def scenario(drill):
        drill.world.store_is_away = True
        await drill.run(timedelta(seconds=away))
        drill.world.store_is_away = False
        drill.restore(4 * SECOND)

    assert play(scenario) == set()


def test_planned_stop_of_the_holder_alone_leaves_out_no_window():
    async def scenario(drill):
        holder = drill.world.holder
        await holder.keeper.release()
        drill.restart(holder.name)

    assert play(scenario) == set()


def test_reports_of_an_earlier_build_cost_no_window_beside_hosts_that_live_on():
    """They name no epoch, so that only later windows are known not to be reported."""

    async def scenario(drill):
        for key, stored in drill.world.objects.items():
            if key[0] == "usage":
                body = orjson.loads(stored.body)
                del body["epoch"]
                former = StoredObject(key[1], stored.version, orjson.dumps(body))
                drill.world.objects[key] = former
        drill.restart(drill.world.holder.name)

    assert play(scenario) == set()


@pytest.mark.parametrize("survivors", [(), ("h2",), ("h2", "h3", "h4", "h5", "h6")])
def test_restore_and_end_of_the_holder_count_no_window_anew(survivors):
    """The store and the processes that knew of a report were both lost."""

    async def scenario(drill):
        drill.restore(4 * SECOND)
        lost = set(HOSTS) - set(survivors) | {drill.world.holder.name}
        drill.restart(*lost)

    assert len(play(scenario)) <= 2


def test_holder_that_is_cut_off_from_the_others_counts_no_window_anew():
    """Nobody but the holder and the store knew of the last report."""

    async def scenario(drill):
        holder = drill.world.holder
        drill.world.loss = lambda sender, receiver: holder.name in (sender, receiver)
        await drill.run_until_report()
        drill.restore(8 * SECOND)
        drill.world.kill(holder)

    assert len(play(scenario)) <= 3


def test_holder_that_is_cut_off_over_the_restore_is_waited_for_in_vain():
    """Its word comes later than the windows are due."""

    async def scenario(drill):
        drill.restore(4 * SECOND)
        drill.world.cut_off = {drill.world.holder.name}
        await drill.run(25 * SECOND)
        drill.world.cut_off = set()

    assert len(play(scenario)) <= 2


def test_released_lease_ends_what_its_holder_proves():
    """The next holder may report at once, within the term of the former one."""

    async def scenario(drill):
        former, released_at = drill.world.holder, drill.world.now
        await former.keeper.release()
        drill.world.kill(former)
        await drill.run(1 * SECOND)
        since = drill.world.now - released_at
        told = former.sharing.find_own_evidence().complete_until
        assert told == former.sharing.time.now() - since

    play(scenario)


async def disrupt_at_random(drill, random):
    """Disrupt the store, the platform, the hosts and their links in a random order."""
    world = drill.world

    async def act(action):
        names = random.sample(sorted(world.hosts), random.randint(1, len(HOSTS)))
        hosts = [world.hosts[name] for name in names]
        if action == "restart":
            drill.restart(*names)
        elif action == "restore":
            world.store_is_away = random.random() < 0.5
            await drill.run(random.uniform(0.1, 3) * SECOND)
            world.store_is_away = False
            drill.restore(random.uniform(0.5, 12) * SECOND)
        elif action == "cut":
            world.cut_off = set(names)
        elif action == "join":
            world.cut_off = set()
        elif action == "release" and world.holder is not None:
            await world.holder.keeper.release()
        elif action == "suspend":
            for host in hosts[:2]:
                host.is_frozen = True
        elif action == "resume":
            for host in world.hosts.values():
                host.is_frozen = False
        elif action == "platform":
            world.platform_is_away = not world.platform_is_away

    actions = ["restart", "restart", "restore", "cut", "join", "suspend", "resume"]
    for action in random.choices([*actions, "platform", "release"], k=8):
        await act(action)
        await drill.run(random.uniform(0.05, 6) * SECOND)
    for action in ("join", "resume"):
        await act(action)
    world.platform_is_away = False


@pytest.mark.parametrize("seed", range(12))
def test_no_order_of_disruptions_leads_to_two_counts(seed):
    play(lambda drill: disrupt_at_random(drill, Random(seed)))


def test_report_that_only_an_earlier_holder_remembers_is_not_sent_again():
    """Holders of two epochs since may have counted its window anew."""

    async def main():
        drill = Drill()
        await drill.run(8 * SECOND)
        holder, window = drill.world.holder, FIRST_WINDOW + 100
        holder.reports._reports[window] = Report({"org": 1}, FIRST_WINDOW)
        drill.world.cut_off = {holder.name}
        drill.world.epoch += 1
        await drill.run(10 * SECOND)
        for name in set(HOSTS) - {holder.name}:
            drill.world.kill(drill.world.hosts[name])
        drill.world.cut_off = set()
        await drill.run(15 * SECOND)
        assert drill.world.holder is holder
        assert window not in holder.reports._reports

    asyncio.run(main())
