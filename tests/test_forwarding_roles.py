"""Check which role changes are planned, and when they are due."""

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
