"""Test how a daemon applies drains and what it acknowledges."""

from datetime import timedelta

from testtools import TestCase

from galenapass.systems import drains
from galenapass.systems.orders_codec import decode_orders, encode_orders
from galenapass.tables.orders import (
    Intent,
    IntentPhase,
    LatestOrders,
    OrderSender,
    OrdersObject,
)
from galenapass.tables.peer_messages import DrainAck, Orders
from galenapass.tables.requests import Request, RequestState
from galenapass.tables.targets import Role, Target, TargetKind, TargetState
from galenapass.tables.world import World

NOW = timedelta(seconds=5)


class DrainsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world = World("h1", "north")
        self.target = Target("e1", "a:1", "north", TargetKind.ENGINE, "s")
        self.world.targets["e1"] = self.target
        self.view = LatestOrders()

    def _apply(self, version, *intents):
        text = encode_orders(OrdersObject(1, 7, intents))
        orders = Orders("north", version, text)
        return drains.apply_orders(self.world, self.view, orders, NOW)

    def _intent(self, phase, epoch=7):
        return Intent("i", "e1", "role", "prefill", 1, phase, epoch)

    def test_follows_the_phases_of_an_intent(self):
        self._apply(1, self._intent(IntentPhase.DRAINING))
        self.assertIs(TargetState.DRAINING, self.target.state)
        self._apply(2, self._intent(IntentPhase.ORDERED))
        self.assertIs(TargetState.CHANGING, self.target.state)
        self._apply(3, self._intent(IntentPhase.CLOSED))
        self.assertIs(TargetState.SERVING, self.target.state)
        self.assertIs(Role.PREFILL, self.target.role)
        self.assertEqual(NOW, self.world.demand.role_changed_at["e1"])

    def test_serves_again_in_its_old_role_when_a_drain_is_cancelled(self):
        self._apply(1, self._intent(IntentPhase.DRAINING))
        self._apply(2)
        self.assertIs(TargetState.SERVING, self.target.state)
        self.assertIs(Role.MIXED, self.target.role)

    def test_never_goes_back_to_an_older_object(self):
        self._apply(2, self._intent(IntentPhase.DRAINING))
        self.assertFalse(self._apply(1))
        self.assertIs(TargetState.DRAINING, self.target.state)

    def test_reapplies_a_drain(self):
        self._apply(1, self._intent(IntentPhase.DRAINING))
        self.target.state = TargetState.SERVING
        drains.reapply_orders(self.world, self.view, NOW)
        self.assertIs(TargetState.DRAINING, self.target.state)

    def test_leaves_a_leaving_target_leaving_but_acknowledges(self):
        self.target.state = TargetState.LEAVING
        self._apply(1, self._intent(IntentPhase.DRAINING))
        self.assertIs(TargetState.LEAVING, self.target.state)
        self.assertEqual(
            [DrainAck("h1", 3, "e1", 7, 0)],
            drains.list_acks(self.world, self.view, 3),
        )

    def test_counts_requests_it_decodes_or_still_prefills_there(self):
        self._apply(1, self._intent(IntentPhase.DRAINING))
        rows = {
            "decodes": Request("a", "c", "s", NOW, NOW, target="e1"),
            "prefills": Request("b", "c", "s", NOW, NOW, prefill_target="e1"),
            "handed over": Request(
                "d", "c", "s", NOW, NOW, prefill_target="e1", first_token=NOW
            ),
        }
        for row in rows.values():
            row.state = RequestState.STREAMING
        self.world.requests = rows
        self.assertEqual(2, drains.list_acks(self.world, self.view, 1)[0].in_flight)

    def test_is_drained_by_every_listed_daemon_of_its_incarnation(self):
        intent = self._intent(IntentPhase.DRAINING)
        acks = [DrainAck("h1", 2, "e1", 7, 0), DrainAck("h2", 1, "e1", 7, 0)]
        listed = {"h1": 2, "h2": 1}
        self.assertTrue(drains.is_drained(intent, listed, acks))
        self.assertFalse(drains.is_drained(intent, {**listed, "h3": 1}, acks))
        self.assertFalse(drains.is_drained(intent, {"h1": 2, "h2": 2}, acks))
        self.assertFalse(drains.is_drained(intent, {}, acks))
        busy = [acks[0], DrainAck("h2", 1, "e1", 7, 1)]
        self.assertFalse(drains.is_drained(intent, listed, busy))
        old = [acks[0], DrainAck("h2", 1, "e1", 6, 0)]
        self.assertFalse(drains.is_drained(intent, listed, old))


class OrdersCodecTest(TestCase):
    def test_decodes_what_was_encoded(self):
        intent = Intent("i", "e1", "role", "decode", 3, IntentPhase.ORDERED, 4)
        orders = OrdersObject(3, 4, (intent,), (OrderSender("e1", "h1", 2),))
        self.assertEqual(orders, decode_orders(encode_orders(orders)))

    def test_rejects_other_text(self):
        for text in ("", "{}", '{"fence":1}', "[]"):
            self.assertRaises(ValueError, decode_orders, text)
