"""Tell which targets fit an ask, and how many of their places are free."""

from galenapass.forwarding import admission, placement
from galenapass.forwarding.admission import SlotCounts
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.placement import Choice, View
from galenapass.forwarding.slot_requests import SlotRequest, Stage
from galenapass.tables.targets import Role, Target

__all__ = ["Capacity"]

# Part of its places that may wait at a plain service: its calls are shorter than the
# time in which schedulers hear of each other.
CALLS_AHEAD = 0.5


class Capacity:
    """Hold which targets fit, for one look at the queue.

    ``peers`` is how many other schedulers grant places at the same targets.
    """

    def __init__(self, fleet: Fleet):
        self.peers = 0
        self._fleet = fleet
        self._fits: dict[tuple[object, ...], list[Target]] = {}

    def renew(self) -> None:
        """Forget the lists of the last look."""
        self._fits.clear()

    def list_eligible(
        self, slot_request: SlotRequest, role: Role | None = None
    ) -> list[Target]:
        """Return the targets that may take an ask, in a role if one is named."""
        return self._list(
            slot_request.service, role, slot_request.tried, slot_request.excluded
        )

    def list_serving(self, service: str, role: Role | None = None) -> list[Target]:
        """Return the targets that serve, whatever an ask has tried."""
        return self._list(service, role, frozenset(), frozenset())

    def list_free(
        self, slot_request: SlotRequest, role: Role | None, view: View
    ) -> list[Target]:
        """Return the targets in reach that have a place for an ask."""
        up = placement.list_up(self.list_eligible(slot_request, role), view)
        return [target for target in up if self._has_slot(slot_request, target)]

    def has_capacity(
        self, slot_request: SlotRequest, choice: Choice, slots: SlotCounts | None
    ) -> bool:
        """Tell whether a prompt may be read now: ``slots`` are those for output."""
        if not admission.has_capacity(self._fleet.load_of(choice.target)):
            return False
        if choice.target.role is Role.PREFILL:
            return slots is None or slots.free > 0
        return self._has_slot(slot_request, choice.target)

    def find_outputs(self, service: str, view: View) -> SlotCounts | None:
        """Return the places for output, None if that is not known."""
        serving = self.list_serving(service)
        counted = placement.count_outputs(serving, view)
        if counted is None:
            return None
        free, total = counted
        decode = [t for t in serving if t.role is Role.DECODE]
        return SlotCounts(free, total, self._find_held(decode), self.peers + 1)

    def find_calls(self, service: str) -> SlotCounts:
        """Return the places of a plain service that has none free."""
        serving = self.list_serving(service)
        total = sum(target.slots for target in serving)
        return SlotCounts(0, total, self._find_held(serving), self.peers + 1)

    def count_readers(self, service: str) -> int:
        """Return how many engines read for this scheduler, counting its part."""
        readers = len(self.list_serving(service, Role.PREFILL))
        return max(readers // (self.peers + 1), 1)

    def _list(
        self,
        service: str,
        role: Role | None,
        tried: frozenset[str],
        excluded: frozenset[str],
    ) -> list[Target]:
        key = (service, role, tried, excluded)
        if key not in self._fits:
            targets = self._fleet.targets.values()
            self._fits[key] = placement.list_eligible(
                targets, service, role, tried, excluded
            )
        return self._fits[key]

    def _has_slot(self, slot_request: SlotRequest, target: Target) -> bool:
        load = self._fleet.load_of(target)
        if slot_request.stage is Stage.CALL:
            spare = int(target.slots * CALLS_AHEAD)
            return placement.has_slot(target, load, spare=spare)
        service = self._fleet.routes.services.get(slot_request.service)
        memory = service.cache_tokens if service is not None else 0
        return placement.has_slot(target, load, slot_request.tokens, memory)

    def _find_held(self, targets: list[Target]) -> float:
        """Return the mean milliseconds for which a place is held, 0 if unknown."""
        held = [self._fleet.load_of(target).held_ms for target in targets]
        known = [each for each in held if each]
        return sum(known) / len(known) if known else 0.0
