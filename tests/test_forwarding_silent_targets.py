"""Check when hosts agree that a target crashed."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.forwarding import loads, silent_targets
from galenapass.forwarding.silent_targets import SilentTargets, make_report
from galenapass.tables.targets import Role
from tests.forwarding_fakes import MS, make_fleet, make_target

NOW = 60_000 * MS
TARGET = make_target("d1", Role.DECODE, domain="a", incarnation="7")


def report(domain, silent_for=2000, age=0, incarnation="7"):
    """Return the report of a host that has not reached the target for a time in ms."""
    silent = ((TARGET.id, incarnation, NOW - silent_for * MS),)
    return make_report(SilentTargets(domain, silent), NOW - age * MS)


def has_crashed(reports, hosts):
    return silent_targets.has_crashed(TARGET, reports, hosts, 1500 * MS, NOW)


class TestCrashes(TestCase):
    def test_most_hosts_and_one_of_the_domain_of_the_target_agree(self):
        self.assertTrue(has_crashed([report("a"), report("b"), report("c")], 5))

    def test_the_view_of_one_host_is_no_crash(self):
        self.assertFalse(has_crashed([report("a")], 1))

    def test_a_domain_that_is_cut_off_has_not_crashed(self):
        # The hosts of the other domains are all that is heard.
        reports = [report("b"), report("b"), report("c"), report("c")]
        self.assertFalse(has_crashed(reports, 4))

    def test_a_target_that_half_of_the_hosts_reach_has_not_crashed(self):
        self.assertFalse(has_crashed([report("a"), report("b")], 4))

    def test_a_sound_target_that_is_silent_for_a_second_has_not_crashed(self):
        reports = [report(domain, silent_for=1200) for domain in "abc"]
        self.assertFalse(has_crashed(reports, 3))

    def test_hosts_that_fail_later_than_the_first_confirm_it(self):
        reports = [report("a"), report("b", 100), report("c", 100)]
        self.assertTrue(has_crashed(reports, 3))

    def test_an_old_report_or_one_of_a_former_start_counts_for_nothing(self):
        reports = [report("a"), report("b", age=5000), report("c", incarnation="6")]
        self.assertFalse(has_crashed(reports, 3))

    @given(st.lists(st.sampled_from("bc"), max_size=8), st.integers(1, 8))
    def test_no_crash_without_a_host_of_the_domain_of_the_target(self, domains, hosts):
        self.assertFalse(has_crashed([report(d) for d in domains], hosts))


class TestOwnView(TestCase):
    def list_silent(self, fleet, now):
        return [name for name, _, _ in silent_targets.list_silent(fleet, now).targets]

    def test_a_target_is_silent_until_it_is_reached(self):
        fleet = make_fleet(TARGET)
        load = fleet.load_of(TARGET)
        loads.record_silence(load, NOW)
        loads.record_silence(load, NOW + 500 * MS)
        self.assertEqual(NOW, load.silent_since)
        self.assertEqual(["d1"], self.list_silent(fleet, NOW + 600 * MS))
        loads.record_reach(load, NOW + 700 * MS)
        self.assertEqual([], self.list_silent(fleet, NOW + 700 * MS))

    def test_a_host_that_tries_no_more_tells_nothing(self):
        fleet = make_fleet(TARGET)
        loads.record_silence(fleet.load_of(TARGET), NOW)
        late = NOW + silent_targets.MAX_ATTEMPT_AGE + timedelta(milliseconds=1)
        self.assertEqual([], self.list_silent(fleet, late))
