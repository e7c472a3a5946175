"""Model a target that takes orders, checks their numbers or not, and records."""

from result import Ok

from galenapass.targets.engines import EngineState, OrderAnswer, OrderOutcome


class FakeEngine:
    """Remember the last order only, and the highest number through restarts."""

    def __init__(self, checks_fencing):
        self.checks = checks_fencing
        self.fence = 0
        self.last = None
        self.under_way = False
        self.role = "mixed"
        self.incarnation = 1
        self.conflicts = []

    def offer(self, order, on_effect):
        """Judge an order; ``on_effect`` is told of each that has an effect."""
        if self.last is not None and order.id == self.last.id:
            self.fence = max(self.fence, order.fence)
            return OrderAnswer(OrderOutcome.ACCEPTED)
        if self.checks and order.fence < self.fence:
            return OrderAnswer(OrderOutcome.STALE_FENCE, self.fence)
        if self.checks and self.under_way:
            return OrderAnswer(OrderOutcome.BUSY)
        if self.under_way:
            self.conflicts.append((self.last, order))
        self.fence = max(self.fence, order.fence)
        self.last = order
        self.under_way = True
        on_effect(order)
        return OrderAnswer(OrderOutcome.ACCEPTED)

    def finish(self):
        if self.under_way:
            self.under_way = False
            self.role = self.last.value

    def crash(self):
        self.under_way = False
        self.last = None
        self.incarnation += 1

    def state(self, running):
        phase = "changing" if self.under_way else "serving"
        last = self.last
        return Ok(
            EngineState(
                str(self.incarnation),
                self.role,
                "m",
                (),
                phase,
                last.id if last else None,
                last.fence if last else None,
                running,
            )
        )
