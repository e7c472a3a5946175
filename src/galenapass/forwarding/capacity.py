"""Find the eligible targets of a slot request and count their free slots."""

import math

from galenapass.forwarding import admission, placement
from galenapass.forwarding.admission import SlotCounts
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.permits import Permits
from galenapass.forwarding.placement import Choice, View
from galenapass.forwarding.rate_limits import list_limited
from galenapass.forwarding.slot_requests import SlotRequest, Stage
from galenapass.tables.targets import Role, Target

__all__ = ["Capacity"]

# Calls that may wait at a plain service, as a share of its slots: its calls are
# shorter than the interval between announcements of schedulers.
QUEUED_CALLS_SHARE = 0.5


class Capacity:
    """Eligible targets and their slots, cached during one pass over the queue.

    ``peers`` is the number of other schedulers that grant slots at the same targets.
    """

    def __init__(self, fleet: Fleet, permits: Permits):
        self.peers = 0
        self._fleet = fleet
        self._permits = permits
        self._eligible: dict[tuple[object, ...], list[Target]] = {}

    def clear(self) -> None:
        """Clear the cached lists of targets."""
        self._eligible.clear()

    def list_eligible(
        self, slot_request: SlotRequest, role: Role | None = None
    ) -> list[Target]:
        """Return the eligible targets of a slot request, in a role if given."""
        return self._list(
            slot_request.service,
            role,
            slot_request.tried,
            slot_request.excluded,
            slot_request.version,
        )

    def list_permitted(self, slot_request: SlotRequest) -> list[Target]:
        """Return the eligible targets whose rate limit allows a request now.

        Return all eligible targets if none does: the first permit may be for any.
        """
        eligible = self.list_eligible(slot_request)
        if not self._fleet.rate_limits:
            return eligible
        return [t for t in eligible if self._permits.is_available(t)] or eligible

    def list_serving(
        self, service: str, role: Role | None = None, version: str | None = None
    ) -> list[Target]:
        """Return all serving targets of a service, in a role if given.

        ``version`` is as for ``placement.list_eligible``.
        """
        return self._list(service, role, frozenset(), frozenset(), version)

    def list_free(
        self, slot_request: SlotRequest, role: Role | None, view: View
    ) -> list[Target]:
        """Return the reachable eligible targets with a free slot."""
        up = placement.list_up(self.list_eligible(slot_request, role), view)
        return [target for target in up if self._has_slot(slot_request, target)]

    def has_capacity(
        self,
        slot_request: SlotRequest,
        choice: Choice,
        slots: SlotCounts | None,
        view: View,
    ) -> bool:
        """Return whether a prompt may be prefilled now, given the decode ``slots``."""
        if not admission.has_capacity(self._fleet.load_of(choice.target)):
            return False
        if not self._permits.is_available(choice.target):
            return False
        if choice.target.role is Role.PREFILL:
            if slots is not None and slots.free <= 0:
                return False
            return self._has_decode_slot(slot_request, view)
        return self._has_slot(slot_request, choice.target)

    def _has_decode_slot(self, slot_request: SlotRequest, view: View) -> bool:
        """Return whether the only version that may generate has a free slot."""
        if slot_request.version is None:
            return True
        return bool(self.list_free(slot_request, Role.DECODE, view))

    def count_decode_slots(self, service: str, view: View) -> SlotCounts | None:
        """Return the decode slots of a service, None if unknown."""
        serving = self.list_serving(service)
        counted = placement.count_decode_slots(serving, view)
        decode = [t for t in serving if t.role is Role.DECODE]
        start_rate = min(self._find_start_rate(serving), self._find_start_rate(decode))
        if counted is None and math.isinf(start_rate):
            return None
        free, total = counted if counted is not None else (1, 0)
        return SlotCounts(
            free, total, self._mean_holding_ms(decode), self.peers + 1, start_rate
        )

    def count_call_slots(self, service: str) -> SlotCounts:
        """Return the slots of a plain service that has none free."""
        serving = self.list_serving(service)
        total = sum(target.slots for target in serving)
        return SlotCounts(
            0,
            total,
            self._mean_holding_ms(serving),
            self.peers + 1,
            self._find_start_rate(serving),
        )

    def count_free_calls(self, target: Target) -> int:
        """Return how many more calls a plain target takes, those that wait included."""
        queue_slots = int(target.slots * QUEUED_CALLS_SHARE)
        return target.slots + queue_slots - self._fleet.load_of(target).sequences

    def count_prefill_engines(self, service: str) -> int:
        """Return this scheduler's share of the prefill engines, at least 1."""
        engines = len(self.list_serving(service, Role.PREFILL))
        return max(engines // (self.peers + 1), 1)

    def _list(
        self,
        service: str,
        role: Role | None,
        tried: frozenset[str],
        excluded: frozenset[str],
        version: str | None,
    ) -> list[Target]:
        key = (service, role, tried, excluded, version)
        if key not in self._eligible:
            targets = self._fleet.targets.values()
            self._eligible[key] = placement.list_eligible(
                targets, service, role, tried, excluded, version
            )
        return self._eligible[key]

    def _has_slot(self, slot_request: SlotRequest, target: Target) -> bool:
        if not self._permits.is_available(target):
            return False
        load = self._fleet.load_of(target)
        if slot_request.stage is Stage.CALL:
            queue_slots = int(target.slots * QUEUED_CALLS_SHARE)
            return placement.has_slot(target, load, queue_slots=queue_slots)
        service = self._fleet.routes.services.get(slot_request.service)
        cache_tokens = service.cache_tokens if service is not None else 0
        return placement.has_slot(target, load, slot_request.tokens, cache_tokens)

    def _find_start_rate(self, targets: list[Target]) -> float:
        """Return the requests a second that targets take, infinite if one is unlimited.

        Return infinity also without any target.
        """
        limited = list_limited(self._fleet.rate_limits, targets)
        if not limited or len(limited) < len(targets):
            return math.inf
        return sum(rate for _, rate in limited)

    def _mean_holding_ms(self, targets: list[Target]) -> float:
        """Return the mean milliseconds for which a slot is held, 0 if unknown."""
        holding = [self._fleet.load_of(target).holding_ms for target in targets]
        known = [each for each in holding if each]
        return sum(known) / len(known) if known else 0.0
