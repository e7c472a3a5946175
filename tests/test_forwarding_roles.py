"""Check which role changes are planned, and when they are due."""

from collections import Counter
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.forwarding import roles
from galenapass.tables.targets import Role, TargetState
from tests.forwarding_fakes import make_target


class TestRoles(TestCase):
    @given(st.integers(1, 60), st.floats(0, 1))
    def test_both_roles_have_an_engine(self, engines, share):
        goal = roles.count_prefill_engines(engines, share)
        if engines > 1:
            self.assertTrue(1 <= goal <= engines - 1)

    @given(st.integers(2, 20), st.integers(0, 20), st.none() | st.floats(0, 1))
    def test_changes_end_at_the_target_split(self, engines, prefill, share):
        targets = [
            make_target(
                f"e{n}", Role.PREFILL if n < prefill else Role.DECODE, f"d{n % 3}"
            )
            for n in range(engines)
        ]
        for _ in range(2 * engines + 4):
            change = roles.plan_change(targets, "lm", share, {})
            if change is None:
                break
            change.target.role = change.role
        self.assertIsNone(roles.plan_change(targets, "lm", share, {}))

    def test_a_target_with_a_pending_order_gets_no_second_one(self):
        targets = [make_target(f"e{n}", Role.DECODE) for n in range(3)]
        ordered = {}
        while (change := roles.plan_change(targets, "lm", 0.78, ordered)) is not None:
            self.assertNotIn(change.target.id, ordered)
            ordered[change.target.id] = change.role
        self.assertEqual(2, len(ordered))

    def test_the_last_serving_engine_of_a_role_is_not_changed(self):
        targets = [make_target(f"p{n}") for n in range(5)]
        targets.append(make_target("d1", Role.DECODE))
        changing = [
            make_target(f"c{n}", Role.DECODE, state=TargetState.CHANGING)
            for n in range(3)
        ]
        change = roles.plan_change([*targets, *changing], "lm", 0.9, {})
        self.assertIsNone(change)

    def test_the_split_stays_without_any_demand(self):
        targets = [make_target(f"p{n}") for n in range(3)]
        targets += [make_target(f"d{n}", Role.DECODE) for n in range(6)]
        self.assertIsNone(roles.plan_change(targets, "lm", None, {}))

    def test_a_large_deviation_is_due_while_engines_are_replaced(self):
        # Engines that were replaced one after the other came back in their initial
        # role: for 9 s, 17 of 30 engines did prefill instead of 23.
        count = roles.EngineCount()
        for second, engines in enumerate((30, 31, 30, 31)):
            roles.update_engine_count(count, engines, second * timedelta(seconds=1))
        change = roles.RoleChange(make_target("e1"), Role.PREFILL, "", deviation=6)
        self.assertTrue(roles.is_due(change, count))
        few = roles.RoleChange(make_target("e1"), Role.PREFILL, "", deviation=2)
        self.assertFalse(roles.is_due(few, count))

    def test_no_change_is_due_while_a_domain_is_cut_off(self):
        count = roles.EngineCount()
        for second, engines in enumerate((30, 30, 20, 20)):
            roles.update_engine_count(count, engines, second * timedelta(seconds=1))
        change = roles.RoleChange(make_target("e1"), Role.DECODE, "", deviation=4)
        self.assertFalse(roles.is_due(change, count))


VERSIONS = ("", "v1", "v2", "v3")


def make_engines(role, version, count, domains="a", **changes):
    """Return engines of one version, spread over the domains in turn."""
    return [
        make_target(
            f"{version}-{role.value}-{n}",
            role,
            domains[n % len(domains)],
            version=version,
            **changes,
        )
        for n in range(count)
    ]


def apply_changes(targets, share):
    """Carry out the planned changes one after the other, and return them."""
    changes = []
    for _ in range(3 * len(targets) + 6):
        change = roles.plan_change(targets, "lm", share, {})
        if change is None:
            return changes
        change.target.role = change.role
        changes.append(change)
    raise AssertionError(f"changes do not end: {changes}")


def count_decoding(targets):
    """Return the number of serving engines that decode of each version."""
    return Counter(
        t.version
        for t in targets
        if t.role is Role.DECODE and t.state is TargetState.SERVING
    )


@st.composite
def draw_engines(draw):
    """Draw engines of one to four versions in three domains."""
    rows = draw(
        st.lists(
            st.tuples(
                st.sampled_from((Role.PREFILL, Role.DECODE)),
                st.sampled_from(VERSIONS),
                st.sampled_from("abc"),
                st.sampled_from(
                    (TargetState.SERVING, TargetState.SERVING, TargetState.CHANGING)
                ),
            ),
            min_size=2,
            max_size=20,
        )
    )
    return [
        make_target(f"e{n:02}", role, domain, version=version, state=state)
        for n, (role, version, domain, state) in enumerate(rows)
    ]


class TestVersions(TestCase):
    @given(
        draw_engines(),
        st.none() | st.floats(0, 1),
        st.sets(st.integers(0, 19)),
        st.data(),
    )
    def test_a_version_does_not_lose_its_last_engine_that_decodes(
        self, targets, share, pending, data
    ):
        orders = {
            t.id: data.draw(st.sampled_from((Role.PREFILL, Role.DECODE)))
            for n, t in enumerate(targets)
            if n in pending
        }
        change = roles.plan_change(targets, "lm", share, orders)
        if change is None or change.role is Role.DECODE:
            return
        role_of = {t.id: orders.get(t.id, t.role) for t in targets}
        if Role.PREFILL not in role_of.values():
            return
        settled = [t for t in targets if t.id not in orders]
        version = change.target.version
        self.assertTrue(count_decoding(settled)[version] >= 2, version)

    @given(draw_engines(), st.none() | st.floats(0, 1))
    def test_changes_end_beside_several_versions(self, targets, share):
        for target in targets:
            target.state = TargetState.SERVING
        apply_changes(targets, share)

    def test_the_only_new_engine_that_decodes_goes_on_decoding(self):
        for old_prefill, old_decode, new_prefill in ((4, 4, 1), (2, 2, 3), (4, 3, 0)):
            targets = make_engines(Role.DECODE, "v2", 1)
            targets += make_engines(Role.PREFILL, "v2", new_prefill)
            targets += make_engines(Role.PREFILL, "v1", old_prefill)
            targets += make_engines(Role.DECODE, "v1", old_decode)
            apply_changes(targets, 0.9)
            self.assertEqual({"v1": 1, "v2": 1}, count_decoding(targets))

    def test_the_last_old_engine_that_decodes_goes_on_beside_a_changing_one(self):
        # The changing engine is back seconds after streams have to go on.
        targets = make_engines(Role.PREFILL, "v1", 2)
        targets += make_engines(Role.DECODE, "v1", 1, domains="b")
        targets += make_engines(
            Role.DECODE, "v1", 3, domains="b", state=TargetState.CHANGING
        )
        targets += make_engines(Role.DECODE, "v2", 2)
        change = roles.plan_change(targets, "lm", 0.9, {})
        self.assertEqual("v2", change.target.version)

    def test_three_versions_keep_an_engine_each_that_decodes(self):
        targets = []
        for version in ("v1", "v2", "v3"):
            targets += make_engines(Role.PREFILL, version, 1, "abc")
            targets += make_engines(Role.DECODE, version, 3, "abc")
        apply_changes(targets, 0.9)
        self.assertEqual({"v1": 1, "v2": 1, "v3": 1}, count_decoding(targets))

    def test_a_release_back_keeps_streams_of_both_versions(self):
        # Engines of the old version return one after the other and start to prefill.
        targets = make_engines(Role.DECODE, "v2", 1)
        targets += make_engines(Role.PREFILL, "v2", 5)
        targets += make_engines(Role.DECODE, "v1", 2, "bc")
        for number in range(3):
            targets += [make_target(f"back-{number}", domain="c", version="v1")]
            apply_changes(targets, 0.7)
            decoding = count_decoding(targets)
            self.assertTrue(decoding["v1"] and decoding["v2"], decoding)

    def test_a_version_that_only_prefills_gets_an_engine_that_decodes(self):
        for old, new in ((8, 2), (4, 4)):
            targets = make_engines(Role.PREFILL, "v1", old // 2, "abc")
            targets += make_engines(Role.DECODE, "v1", old // 2, "abc")
            targets += make_engines(Role.PREFILL, "v2", new, "abc")
            changes = apply_changes(targets, old / 2 / (old + new) + new / (old + new))
            decoding = count_decoding(targets)
            self.assertEqual((old // 2 - 1, 1), (decoding["v1"], decoding["v2"]))
            self.assertEqual(2, len(changes))
            self.assertIn("no engine of version 'v2' decodes", changes[0].why)

    def test_an_engine_that_is_to_decode_is_of_a_version_without_one(self):
        targets = make_engines(Role.PREFILL, "v1", 6, "abc")
        targets += make_engines(Role.DECODE, "v1", 2, "ab")
        targets += make_engines(Role.PREFILL, "v2", 2, "ab")
        change = roles.plan_change(targets, "lm", 0.7, {})
        self.assertEqual(("v2", Role.DECODE), (change.target.version, change.role))
        self.assertIn("no engine of version 'v2' decodes", change.why)

    def test_a_single_engine_of_a_version_is_not_ordered_to_decode(self):
        targets = make_engines(Role.PREFILL, "v1", 3)
        targets += make_engines(Role.DECODE, "v1", 3)
        targets += make_engines(Role.PREFILL, "v2", 1)
        self.assertIsNone(roles.plan_change(targets, "lm", 4 / 7, {}))

    def test_one_engine_of_each_version_and_role_stays(self):
        targets = make_engines(Role.PREFILL, "v1", 1)
        targets += make_engines(Role.DECODE, "v2", 1)
        for share in (None, 0.0, 0.5, 1.0):
            self.assertIsNone(roles.plan_change(targets, "lm", share, {}))

    def test_no_version_is_given_an_engine_while_a_change_is_pending(self):
        targets = make_engines(Role.PREFILL, "v1", 4)
        targets += make_engines(Role.DECODE, "v1", 3)
        targets += make_engines(Role.PREFILL, "v2", 2)
        pending = {"v1-prefill-0": Role.PREFILL}
        self.assertIsNone(roles.plan_change(targets, "lm", 6 / 9, pending))
        targets[0].state = TargetState.CHANGING
        self.assertIsNone(roles.plan_change(targets, "lm", 6 / 9, {}))
        targets[0].state = TargetState.SERVING
        change = roles.plan_change(targets, "lm", 6 / 9, {})
        self.assertEqual("v2", change.target.version)

    def test_a_version_takes_no_engine_from_the_last_of_another_version(self):
        # Two engines decode, one of each version; the split has no third one.
        targets = make_engines(Role.DECODE, "v1", 1)
        targets += make_engines(Role.DECODE, "v2", 1)
        for version in ("v1", "v2", "v3"):
            targets += make_engines(Role.PREFILL, version, 2)
        self.assertIsNone(roles.plan_change(targets, "lm", 6 / 8, {}))

    def test_a_domain_takes_no_engine_from_the_last_of_a_version(self):
        # Without the check an engine of domain c went to decode and none could go back.
        targets = make_engines(Role.DECODE, "v1", 1, "a")
        targets += make_engines(Role.DECODE, "v2", 1, "a")
        targets += make_engines(Role.PREFILL, "v1", 3, "a")
        targets += make_engines(Role.PREFILL, "v3", 1, "c")
        self.assertIsNone(roles.plan_change(targets, "lm", 4 / 6, {}))

    def test_a_service_without_prefill_gets_it_from_the_last_of_a_version(self):
        targets = make_engines(Role.DECODE, "v1", 1, "a")
        targets += make_engines(Role.DECODE, "v2", 1, "b")
        change = roles.plan_change(targets, "lm", 0.5, {})
        self.assertEqual(Role.PREFILL, change.role)
        self.assertTrue(change.is_urgent)
        targets += [make_target("v2-second", Role.DECODE, "c", version="v2")]
        change = roles.plan_change(targets, "lm", 0.5, {})
        self.assertEqual("v2", change.target.version)

    def test_unknown_versions_change_nothing(self):
        named = make_engines(Role.PREFILL, "v1", 4, "abc")
        named += make_engines(Role.DECODE, "v1", 5, "abc")
        unknown = make_engines(Role.PREFILL, "", 4, "abc")
        unknown += make_engines(Role.DECODE, "", 5, "abc")
        for share in (None, 0.1, 0.5, 0.9):
            seen = [
                [(c.target.domain, c.role) for c in apply_changes(list(t), share)]
                for t in (named, unknown)
            ]
            self.assertEqual(*seen)
