"""Test that exactly the rendezvous winners among the live daemons hold a duty."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.systems.duties import (
    HOLDERS_PER_DUTY,
    Duty,
    find_holders,
    find_observed,
    is_holder,
    list_duties,
)
from galenapass.tables.hosts import Host, HostState

hosts = st.dictionaries(
    st.integers(0, 60),
    st.tuples(st.sampled_from(["north", "south"]), st.sampled_from(HostState)),
    max_size=20,
).map(
    lambda rows: [
        Host(f"entry-{number}", f"127.0.0.1:{number}", domain, 1, state)
        for number, (domain, state) in rows.items()
    ]
)
duty = st.sampled_from(Duty)
subject = st.sampled_from(["", "runner-1", "runner-2"])


class DutiesTest(TestCase):
    @given(hosts, duty, subject, st.randoms())
    def test_every_daemon_with_the_same_view_finds_the_same_holders(
        self, rows, duty, subject, random
    ):
        found = find_holders(rows, "north", duty, subject)
        random.shuffle(rows)
        self.assertEqual(found, find_holders(rows, "north", duty, subject))
        live = [h for h in rows if h.state is HostState.ALIVE and h.domain == "north"]
        self.assertEqual(min(HOLDERS_PER_DUTY[duty], len(live)), len(set(found)))
        self.assertLessEqual(set(found), {host.id for host in live})
        holders = {h.id for h in rows if is_holder(rows, h, duty, subject)}
        self.assertEqual(set(found), {i for i in holders if i in ids(live)})

    @given(hosts, duty, subject)
    def test_a_failure_moves_only_the_failed_hosts_duties(self, rows, duty, subject):
        before = find_holders(rows, "north", duty, subject)
        for failed in rows:
            rest = [host for host in rows if host is not failed]
            after = find_holders(rest, "north", duty, subject)
            kept = [name for name in before if name != failed.id]
            self.assertEqual(kept, after[: len(kept)])
            if failed.id not in before:
                self.assertEqual(before, after)

    def test_observers_are_distributed_and_each_target_has_one(self):
        rows = [Host(f"entry-{n}", "", "north") for n in range(10)]
        targets = [f"runner-{n}" for n in range(250)]
        shares = [
            [d for d in list_duties(rows, host, targets) if d.startswith("observer")]
            for host in rows
        ]
        for host, share in zip(rows, shares, strict=True):
            observed = find_observed(rows, host, targets)
            self.assertEqual(share, [f"observer {name}" for name in observed])
        self.assertEqual(250, len({name for share in shares for name in share}))
        self.assertEqual(250, sum(map(len, shares)))
        self.assertLess(max(map(len, shares)), 50)


def ids(rows):
    return {host.id for host in rows}
