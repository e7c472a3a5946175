"""Divide released slots between this scheduler and others that claim some."""

from collections import deque
from datetime import timedelta
from random import Random

from galenapass.clocks import Clock
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.share_tables import ServiceWork
from galenapass.forwarding.slot_requests import SlotRequest, Stage

__all__ = ["ReleasedSlots"]

# A scheduler whose claims arrive does not know yet of slots left to it since then.
UNSEEN_TIME = timedelta(milliseconds=200)


class ReleasedSlots:
    """Slots to leave free as they are released, and those that may be used again.

    Load pattern: 12 schedulers at few slots. A slot that one of them leaves to a claim
    would be taken by any of the others.
    """

    def __init__(self, fleet: Fleet, clock: Clock, random: Random):
        self._fleet = fleet
        self._clock = clock
        self._random = random
        # By service and claiming scheduler.
        self._to_leave: dict[str, dict[str, int]] = {}
        self._kept: dict[str, int] = {}
        # When slots were left, by service and claiming scheduler.
        self._left_at: dict[tuple[str, str], deque[timedelta]] = {}

    def has_kept(self, service: str) -> bool:
        """Return whether a slot was released that this scheduler may use again."""
        return self._kept.get(service, 0) > 0

    def record_grant(self, service: str) -> None:
        """Record that a slot is used."""
        if self.has_kept(service):
            self._kept[service] -= 1

    def forget(self, host: str) -> None:
        """Leave no more slots to a scheduler."""
        for service in list(self._to_leave):
            self.stop(host, service)

    def plan(self, host: str, told: ServiceWork) -> None:
        """Plan how many released slots are left to a scheduler that claims some.

        Each scheduler leaves the part of the claims that it holds of the slots in use,
        but none uses what the others left.
        """
        if not told.claims:
            self.stop(host, told.service)
            return
        own = others = 0
        for target in self._fleet.targets.values():
            if target.service == told.service:
                load = self._fleet.load_of(target)
                own += load.requests
                others += load.peer_requests
        part = own / max(own + others, 1)
        claimed = sum(claim.count for claim in told.claims)
        count = int(claimed * part + self._random.random())
        count -= self._count_unseen(told.service, host)
        self._to_leave.setdefault(told.service, {})[host] = max(count, 0)

    def stop(self, host: str, service: str) -> None:
        """Leave no more slots of a service to a scheduler."""
        to_leave = self._to_leave.get(service, {})
        to_leave.pop(host, None)
        self._left_at.pop((service, host), None)
        if not to_leave:
            self._to_leave.pop(service, None)
            self._kept.pop(service, None)

    def record_release(self, slot_request: SlotRequest) -> None:
        """Leave a released slot to a scheduler that claims one, or keep it."""
        service = slot_request.service
        to_leave = self._to_leave.get(service)
        if to_leave is None or slot_request.stage is Stage.PREFILL:
            return
        host = max(to_leave, key=lambda name: to_leave[name])
        if to_leave[host]:
            to_leave[host] -= 1
            left_at = self._left_at.setdefault((service, host), deque())
            left_at.append(self._clock.monotonic())
        else:
            self._kept[service] = self._kept.get(service, 0) + 1

    def _count_unseen(self, service: str, host: str) -> int:
        """Return how many slots were left to a scheduler that it may not have seen."""
        left_at = self._left_at.get((service, host), deque())
        now = self._clock.monotonic()
        while left_at and now - left_at[0] >= UNSEEN_TIME:
            left_at.popleft()
        if not left_at:
            self._left_at.pop((service, host), None)
        return len(left_at)
