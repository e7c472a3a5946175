"""Divide released slots between this scheduler and others that claim some."""

from random import Random

from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.share_tables import ServiceWork
from galenapass.forwarding.slot_requests import SlotRequest, Stage

__all__ = ["ReleasedSlots"]


class ReleasedSlots:
    """Slots to leave free as they are released, and those that may be used again.

    Load pattern: 12 schedulers at few slots. A slot that one of them leaves to a claim
    would be taken by any of the others.
    """

    def __init__(self, fleet: Fleet, random: Random):
        self._fleet = fleet
        self._random = random
        # By service and claiming scheduler.
        self._to_leave: dict[str, dict[str, int]] = {}
        self._kept: dict[str, int] = {}

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
        self._to_leave.setdefault(told.service, {})[host] = count

    def stop(self, host: str, service: str) -> None:
        """Leave no more slots of a service to a scheduler."""
        to_leave = self._to_leave.get(service, {})
        to_leave.pop(host, None)
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
        else:
            self._kept[service] = self._kept.get(service, 0) + 1
