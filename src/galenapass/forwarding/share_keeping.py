"""Keep the shares of organisations for one scheduler, and tell other schedulers.

The work of a slot is estimated as it is granted and corrected as it is released.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from galenapass.clocks import Clock
from galenapass.forwarding import shares
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.loads import PrefillRate, estimate_work
from galenapass.forwarding.placement import DEFAULT_HOLDING_MS
from galenapass.forwarding.released_slots import ReleasedSlots
from galenapass.forwarding.share_messages import OrganisationWork
from galenapass.forwarding.share_reports import ShareHooks, ShareReports
from galenapass.forwarding.share_tables import WINDOW, ShareTable
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.tables.targets import Role

__all__ = ["ShareKeeper"]

# Bytes of organisations in one message; with the rest it fits into one packet. Eleven
# other schedulers, told six times a second, take 0.3 of 5 Mbit/s.
MAX_MESSAGE_BYTES = 600
# Waiting requests of an organisation above its share that are kept in any case, so that
# slots which others leave free are used.
MIN_KEPT = 2
# Work that keeps an engine busy beside claims, a third of what does otherwise, so that
# schedulers which claim room fill the rest. With 150 ms a replay served 0.96 of the
# calls within the share, with 100 ms 0.98, both with as much work in total.
MAX_QUEUED_BESIDE_CLAIMS_MS = 100.0
# Requests are compared with the backlog as they arrive; those that wait are compared
# again this often.
CHECK_PERIOD = timedelta(milliseconds=25)
# Weight of a call in the mean time of the calls of a service.
CALL_WEIGHT = 0.05
MILLISECOND = timedelta(milliseconds=1)

FindCost = Callable[[SlotRequest], float]


@dataclass(slots=True, frozen=True)
class _Estimate:
    """Estimated milliseconds of work of a slot, of which ``prefill_ms`` are prefill.

    ``slots`` is the number of slots among which a millisecond of the target's time
    is divided.
    """

    slot_request: SlotRequest
    work_ms: float
    prefill_ms: float
    slots: int


@dataclass(slots=True)
class _Waiting:
    """Waiting slot request with its expected milliseconds of work.

    ``place`` orders the requests of an organisation.
    """

    slot_request: SlotRequest
    cost_ms: float
    place: tuple[int, timedelta] = field(init=False)

    def __post_init__(self) -> None:
        self.place = self.slot_request.rank, self.slot_request.soft_deadline


class ShareKeeper:
    """Shares of organisations at one scheduler."""

    def __init__(
        self, fleet: Fleet, clock: Clock, random: Random, hooks: ShareHooks
    ) -> None:
        self.table = ShareTable()
        self._fleet = fleet
        self._clock = clock
        self._reports = ShareReports(clock, hooks)
        self._slots = ReleasedSlots(fleet, clock, random)
        # Waiting requests by service and organisation, with their expected work.
        self._waiting: dict[tuple[str, str], dict[str, _Waiting]] = {}
        self._estimates: dict[str, _Estimate] = {}
        # Mean milliseconds of a plain call by service.
        self._call_ms: dict[str, float] = {}
        self._sequences: dict[str, int] = {}
        # When the waiting requests of a service were last compared with its shares.
        self._checked_at: dict[str, timedelta] = {}

    # Waiting requests

    def record_arrival(self, slot_request: SlotRequest) -> None:
        """Record that a slot request waits."""
        name, service = slot_request.organisation, slot_request.service
        if not name and service not in self.table.services:
            return
        waiting = self._waiting.setdefault((service, name), {})
        if not waiting:
            shares.record_arrival(self.table, service, name, self._clock.monotonic())
        cost = self.estimate_request(slot_request)
        waiting[slot_request.ticket] = _Waiting(slot_request, cost)

    def record_departure(self, slot_request: SlotRequest) -> None:
        """Record that a slot request no longer waits."""
        key = (slot_request.service, slot_request.organisation)
        waiting = self._waiting.get(key)
        if waiting is not None:
            waiting.pop(slot_request.ticket, None)
            if not waiting:
                del self._waiting[key]

    def find_late_backlog(self, slot_request: SlotRequest) -> float | None:
        """Return the backlog in ms that makes a new request of its organisation late.

        None if it may wait. Load pattern: an organisation that sends many times its
        share and each refused request again at once. It is refused without a pass over
        the queue.
        """
        if not self.table.services or slot_request.stage is Stage.DECODE:
            return None
        now = self._clock.monotonic()
        service, name = slot_request.service, slot_request.organisation
        if not self.applies(service, now) or slot_request.version is not None:
            return None
        waiting = self._waiting.get((service, name), {})
        if len(waiting) < MIN_KEPT or not self._is_above(slot_request):
            return None
        place = (slot_request.rank, slot_request.soft_deadline)
        queued_ms = sum(
            each.cost_ms for each in waiting.values() if each.place <= place
        )
        queued_ms += self.estimate_request(slot_request)
        backlog_ms = self.find_backlog(slot_request, queued_ms, now)
        if backlog_ms is None or now + backlog_ms * MILLISECOND < slot_request.deadline:
            return None
        return backlog_ms

    def applies(self, service: str, now: timedelta) -> bool:
        """Return whether several organisations share the capacity of a service now."""
        known = self.table.services.get(service)
        if known is None or len(known.organisations) < 2:
            return False
        return shares.is_short(self.table, service, now)

    def order(
        self, ordered: list[SlotRequest], find_cost: FindCost, now: timedelta
    ) -> list[SlotRequest]:
        """Order requests by shares where capacity is short; keep all others in place.

        Load pattern: an organisation that sends many times its share. By deadline
        alone, its requests would take nearly all slots.
        """
        if not self.table.services:
            return ordered
        groups: dict[str, list[int]] = {}
        for index, slot_request in enumerate(ordered):
            groups.setdefault(slot_request.service, []).append(index)
        result = list(ordered)
        for service, places in groups.items():
            if not self.applies(service, now):
                continue
            group = [ordered[index] for index in places]
            if len({slot_request.organisation for slot_request in group}) < 2:
                continue
            by_share = shares.order_by_share(self.table, service, group, find_cost, now)
            for index, slot_request in zip(places, by_share, strict=True):
                result[index] = slot_request
        return result

    def order_left(
        self,
        service: str,
        left: list[SlotRequest],
        find_cost: FindCost,
        now: timedelta,
    ) -> list[SlotRequest]:
        """Record that requests are left waiting, and order them by shares.

        ``left`` is in the order of ``order``, which holds if capacity was short before.
        """
        was_short = shares.is_short(self.table, service, now)
        shares.record_shortage(self.table, service, now)
        return left if was_short else self.order(left, find_cost, now)

    def list_beyond_share(
        self,
        service: str,
        ordered: Iterable[SlotRequest],
        find_cost: FindCost,
        now: timedelta,
    ) -> list[SlotRequest]:
        """Return the requests that their organisation's own backlog makes too late.

        ``ordered`` is the result of ``order_left``. Load pattern: an organisation above
        its share, whose requests would wait until others that go first make them late.
        """
        checked_at = self._checked_at.get(service, -CHECK_PERIOD)
        if now - checked_at < CHECK_PERIOD or not self.applies(service, now):
            return []
        self._checked_at[service] = now
        queued: dict[str, tuple[int, float]] = {}
        rates: dict[str, tuple[float, float] | None] = {}
        beyond = []
        for slot_request in ordered:
            name = slot_request.organisation
            if name not in rates:
                rates[name] = self._find_limit(slot_request, now)
            limit = rates[name]
            if limit is None or slot_request.version is not None:
                continue
            excess_ms, rate = limit
            count, queued_ms = queued.get(name, (0, excess_ms))
            queued_ms += find_cost(slot_request)
            finish = now + queued_ms / rate * MILLISECOND
            if count >= MIN_KEPT and finish >= slot_request.deadline:
                beyond.append(slot_request)
            else:
                queued[name] = count + 1, queued_ms
        return beyond

    def _find_limit(
        self, slot_request: SlotRequest, now: timedelta
    ) -> tuple[float, float] | None:
        """Return the excess and the rate of an organisation at its share, if known."""
        if not self._is_above(slot_request):
            return None
        service, name = slot_request.service, slot_request.organisation
        rate = shares.find_share_rate(self.table, service, name, now)
        if rate is None:
            return None
        return shares.find_excess(self.table, service, name, now), rate

    def find_backlog(
        self, slot_request: SlotRequest, queued_ms: float, now: timedelta
    ) -> float | None:
        """Return the milliseconds in which a share allows queued work, if known."""
        service, name = slot_request.service, slot_request.organisation
        rate = shares.find_share_rate(self.table, service, name, now)
        if rate is None:
            return None
        return (shares.find_excess(self.table, service, name, now) + queued_ms) / rate

    def list_below_share(self, ordered: list[SlotRequest]) -> list[SlotRequest]:
        """Return the requests that go before all that are at or above their share."""
        above: dict[str, bool] = {}
        for each in ordered:
            if each.organisation not in above:
                above[each.organisation] = self._is_above(each)
        return [each for each in ordered if not above[each.organisation]]

    def must_leave_free(
        self,
        slot_request: SlotRequest,
        free: int | None,
        now: timedelta,
        queued_ms: float = 0.0,
    ) -> bool:
        """Return whether room is left to organisations below their share elsewhere.

        ``free`` is the number of free slots, None if unknown, ``queued_ms`` the work
        that waits at the chosen target.
        """
        if slot_request.service not in self.table.services:
            return False
        claimed = sum(shares.count_claims(self.table, slot_request, now).values())
        if not claimed:
            return False
        if queued_ms >= MAX_QUEUED_BESIDE_CLAIMS_MS:
            return True
        has_kept = self._slots.has_kept(slot_request.service)
        return free is not None and free <= claimed and not has_kept

    def _is_above(self, slot_request: SlotRequest) -> bool:
        """Return whether an organisation has received its share."""
        service, name = slot_request.service, slot_request.organisation
        return shares.has_share(self.table, service, name)

    # Work

    def record_grant(self, slot_request: SlotRequest, grant: Grant) -> None:
        """Record the estimated work of a granted slot."""
        service, name = slot_request.service, slot_request.organisation
        if service not in self.table.services:
            return
        now = self._clock.monotonic()
        if slot_request.stage is not Stage.DECODE:
            self._slots.record_grant(service)
            if slot_request.version is None:
                shares.record_level(self.table, service, name, now)
        estimate = self._estimate(slot_request, grant)
        self._estimates[slot_request.ticket] = estimate
        shares.record_work(self.table, service, name, estimate.work_ms, now)

    def record_release(self, release: SlotRelease) -> None:
        """Correct the work of a released slot by the time that it was in use."""
        if release.is_prefill_only:
            return
        estimate = self._estimates.pop(release.ticket, None)
        if estimate is None:
            return
        self._slots.record_release(estimate.slot_request)
        work_ms = _measure_work(estimate, release)
        if estimate.slot_request.stage is Stage.CALL and work_ms:
            self._record_call(estimate.slot_request.service, work_ms)
        slot_request = estimate.slot_request
        service, name = slot_request.service, slot_request.organisation
        now = self._clock.monotonic()
        correction = work_ms - estimate.work_ms
        shares.record_work(self.table, service, name, correction, now)
        self._reports.count_work(name, service, work_ms)

    def estimate_request(self, slot_request: SlotRequest) -> float:
        """Return the expected milliseconds of work of a waiting request."""
        if slot_request.prompt is None:
            return self._call_ms.get(slot_request.service, DEFAULT_HOLDING_MS)
        own = slot_request.parts[-1:]
        tokens = own[0].tokens if own else slot_request.prompt.tokens
        rate = self._fleet.rates.get(slot_request.service) or PrefillRate()
        return estimate_work(rate, slot_request.prompt, tokens)

    def expire(self, now: timedelta) -> None:
        """Forget the estimates of slots that lost daemons did not release."""
        lost = [
            ticket
            for ticket, estimate in self._estimates.items()
            if now > estimate.slot_request.deadline + WINDOW
        ]
        for ticket in lost:
            del self._estimates[ticket]

    def _estimate(self, slot_request: SlotRequest, grant: Grant) -> _Estimate:
        target = grant.target
        held_ms = self._fleet.load_of(target).holding_ms or DEFAULT_HOLDING_MS
        if slot_request.stage is Stage.CALL:
            return _Estimate(slot_request, self.estimate_request(slot_request), 0.0, 1)
        slots = max(target.slots, 1)
        if slot_request.stage is Stage.DECODE:
            return _Estimate(slot_request, held_ms / slots, 0.0, slots)
        decode_ms = 0.0 if target.role is Role.PREFILL else held_ms / slots
        work_ms = grant.cost_ms + decode_ms
        return _Estimate(slot_request, work_ms, grant.cost_ms, slots)

    def _record_call(self, service: str, took_ms: float) -> None:
        before = self._call_ms.get(service, took_ms)
        self._call_ms[service] = before + CALL_WEIGHT * (took_ms - before)

    # Refusals

    def record_refusal(
        self, slot_request: SlotRequest, backlog_ms: float, after: timedelta
    ) -> str:
        """Count and log the refusal of a waiting request; return why it was refused."""
        now = self._clock.monotonic()
        service, name = slot_request.service, slot_request.organisation
        excess = shares.find_excess(self.table, service, name, now)
        is_above = self._is_above(slot_request)
        share = shares.find_share(self.table, service, now)
        self._reports.report_refusal(
            slot_request,
            is_above=is_above,
            share_ms=round(share),
            excess_ms=round(excess),
            backlog_ms=round(backlog_ms),
            retry_after_ms=after // MILLISECOND,
        )
        if not is_above:
            return "capacity is short for all organisations"
        return (
            f"the organisation has used its share of {share:.0f} ms in 5 s; "
            f"{backlog_ms:.0f} ms until its own backlog is served"
        )

    # Other schedulers

    def make_message(
        self, sequence: int, waiting: list[SlotRequest]
    ) -> OrganisationWork | None:
        """Return what to tell other schedulers, None where no capacity is short."""
        now = self._clock.monotonic()
        names = [
            name
            for name, known in self.table.services.items()
            # One whose organisations were all removed is told no more.
            if any(known.organisations) and shares.is_short(self.table, name, now)
        ]
        if not names:
            return None
        told = [
            shares.list_work(
                self.table,
                name,
                [
                    slot_request
                    for slot_request in waiting
                    if slot_request.service == name
                    and slot_request.stage is not Stage.DECODE
                ],
                MAX_MESSAGE_BYTES // len(names),
                now,
            )
            for name in names
        ]
        return OrganisationWork(sequence, tuple(each for each in told if each))

    def apply_message(self, host: str, message: OrganisationWork) -> bool:
        """Apply what another scheduler told; return False if it is not newer."""
        if message.sequence <= self._sequences.get(host, -1):
            return False
        self._sequences[host] = message.sequence
        now = self._clock.monotonic()
        for told in message.services:
            shares.apply_peer_work(self.table, host, told, now)
            self._slots.plan(host, told)
        return True

    def forget_peer(self, host: str) -> None:
        """Forget the work of a scheduler that is silent."""
        shares.forget_peer(self.table, host)
        self._slots.forget(host)


def _measure_work(estimate: _Estimate, release: SlotRelease) -> float:
    """Return the work of a slot in milliseconds, none if its target did not start."""
    if release.outcome in (Outcome.REFUSED, Outcome.UNREACHABLE):
        return 0.0
    if estimate.work_ms == estimate.prefill_ms:
        # The time in use includes a wait in the engine's queue.
        if release.outcome is Outcome.DONE:
            return estimate.work_ms
        return min(estimate.work_ms, release.took_ms)
    prefill_ms = min(estimate.prefill_ms, release.took_ms)
    after_ms = release.took_ms - (release.first_ms if estimate.prefill_ms else 0.0)
    return prefill_ms + max(after_ms, 0.0) / estimate.slots
