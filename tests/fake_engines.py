"""Fake engine that accepts role orders and optionally checks their fences."""

from result import Ok

from galenapass.targets.engines import EngineState, OrderAnswer, OrderOutcome


class FakeEngine:
    """Engine that keeps only its last order, and its highest fence across restarts."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.last_order = None
        self.is_changing = False
        self.role = "mixed"
        self.incarnation = 1
        self.conflicts = []

    def offer(self, order, on_effect):
        """Accept or refuse an order; call ``on_effect`` if it starts a role change."""
        if self.last_order is not None and order.id == self.last_order.id:
            self.fence = max(self.fence, order.fence)
            return OrderAnswer(OrderOutcome.ACCEPTED)
        if self.checks_fencing and order.fence < self.fence:
            return OrderAnswer(OrderOutcome.STALE_FENCE, self.fence)
        if self.checks_fencing and self.is_changing:
            return OrderAnswer(OrderOutcome.BUSY)
        if self.is_changing:
            self.conflicts.append((self.last_order, order))
        self.fence = max(self.fence, order.fence)
        self.last_order = order
        self.is_changing = True
        on_effect(order)
        return OrderAnswer(OrderOutcome.ACCEPTED)

    def finish(self):
        if self.is_changing:
            self.is_changing = False
            self.role = self.last_order.value

    def crash(self):
        self.is_changing = False
        self.last_order = None
        self.incarnation += 1

    def state(self, running):
        phase = "changing" if self.is_changing else "serving"
        last_order = self.last_order
        return Ok(
            EngineState(
                str(self.incarnation),
                self.role,
                "m",
                (),
                phase,
                last_order.id if last_order else None,
                last_order.fence if last_order else None,
                running,
            )
        )
