"""Track the granted slots at targets and record the outcome of their use."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding import loads, workload
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.loads import Load, PrefillRate
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.forwarding.workload import ServiceDemand
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target, TargetKind

__all__ = ["RELEASE_SLACK", "GrantTable", "Granted"]

# A lost daemon releases nothing; its slots are freed this long after the deadline of
# their requests.
RELEASE_SLACK = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)

_log = make_log("scheduler")


@dataclass(slots=True)
class Granted:
    """Slot in use since ``granted_at``.

    ``queued_ms`` and ``concurrency`` are the queued work and the running requests at
    the target when the slot was granted.
    """

    slot_request: SlotRequest
    grant: Grant
    load: Load
    is_prefilling: bool
    is_running: bool
    queued_ms: float
    concurrency: int
    granted_at: timedelta


class GrantTable:
    """Slots in use by ticket, and the demand measured from them.

    ``count`` increases with each grant; ``on_refused`` is called with each engine that
    refused a request, ``on_answer`` with each slot request whose answer has ended whole
    and when that began.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        on_refused: Callable[[Target], None],
        on_answer: Callable[[SlotRequest, timedelta], None],
    ):
        self.count = 0
        self.demand: dict[str, ServiceDemand] = {}
        self._fleet = fleet
        self._clock = clock
        self._on_refused = on_refused
        self._on_answer = on_answer
        self._granted: dict[str, Granted] = {}

    def find(self, ticket: str) -> Grant | None:
        """Return the grant of a ticket, None if it has no slot in use."""
        granted = self._granted.get(ticket)
        return granted.grant if granted is not None else None

    def add(self, slot_request: SlotRequest, grant: Grant) -> None:
        """Record a grant: prefill time at an engine, a slot to run, or both."""
        load = self._fleet.load_of(grant.target)
        includes_prefill = slot_request.stage is Stage.PREFILL
        is_running = not includes_prefill or grant.target.role is not Role.PREFILL
        queued_ms = load.work_ms + load.peer_work_ms
        now = self._clock.monotonic()
        granted = Granted(
            slot_request,
            grant,
            load,
            includes_prefill,
            is_running,
            queued_ms,
            load.sequences,
            now,
        )
        self._granted[slot_request.ticket] = granted
        self.count += 1
        if includes_prefill:
            load.prompts += 1
            load.work_ms += grant.cost_ms
        if is_running:
            load.requests += 1
            load.tokens += slot_request.tokens
        if slot_request.stage is Stage.DECODE:
            workload.record_sequence_start(self._demand_of(slot_request.service), now)
        if slot_request.stage is Stage.CALL:
            self.record_call(slot_request, now)

    def release(self, release: SlotRelease) -> None:
        """Release a slot and record the outcome; ignore a slot that is not in use."""
        granted = self._granted.get(release.ticket)
        if granted is None:
            return
        if release.is_prefill_only:
            self._end_prefill(granted)
            return
        del self._granted[release.ticket]
        self._release(granted)
        self._record_outcome(granted, release)

    def expire(self, now: timedelta) -> None:
        """Release the slots of daemons that were lost while using them."""
        lost = [
            ticket
            for ticket, granted in self._granted.items()
            if now > granted.slot_request.deadline + RELEASE_SLACK
        ]
        for ticket in lost:
            granted = self._granted.pop(ticket)
            self._release(granted)
            _log(
                "slot expired without release",
                request=granted.slot_request.request,
                target=granted.grant.target.id,
            )

    def record_prompt(self, slot_request: SlotRequest, now: timedelta) -> None:
        """Record a prompt in the demand, whether it is prefilled or refused."""
        assert slot_request.prompt is not None
        prefill_rate = self._fleet.rates.setdefault(slot_request.service, PrefillRate())
        own_tokens = (
            slot_request.parts[-1].tokens
            if slot_request.parts
            else slot_request.prompt.tokens
        )
        cost_ms = loads.estimate_work(prefill_rate, slot_request.prompt, own_tokens)
        demand = self._demand_of(slot_request.service)
        workload.record_prompt(demand, cost_ms, slot_request.tokens, now)

    def record_call(self, slot_request: SlotRequest, now: timedelta) -> None:
        """Record a call in the demand, whether it is granted or refused.

        Only the size of a service depends on it.
        """
        if self._scales(slot_request.service):
            demand = self._demand_of(slot_request.service)
            workload.record_prompt(demand, 0.0, 0, now)

    def _scales(self, service: str) -> bool:
        known = self._fleet.routes.services.get(service)
        return known is not None and known.scaling is not None

    def _end_prefill(self, granted: Granted) -> None:
        if not granted.is_prefilling:
            return
        granted.is_prefilling = False
        load = granted.load
        load.prompts = max(load.prompts - 1, 0)
        load.work_ms = max(load.work_ms - granted.grant.cost_ms, 0.0)
        if not load.prompts:
            load.work_ms = 0.0

    def _release(self, granted: Granted) -> None:
        self._end_prefill(granted)
        if granted.is_running:
            granted.is_running = False
            load = granted.load
            load.requests = max(load.requests - 1, 0)
            load.tokens = max(load.tokens - granted.slot_request.tokens, 0)
            if granted.slot_request.stage is Stage.DECODE:
                workload.record_sequence_end(
                    self._demand_of(granted.slot_request.service), granted.granted_at
                )

    def _record_outcome(self, granted: Granted, release: SlotRelease) -> None:
        if release.outcome is Outcome.CANCELLED:
            return
        now = self._clock.monotonic()
        target, load = granted.grant.target, granted.load
        domain_failures = self._fleet.domain_failures_of(target)
        if release.outcome is Outcome.UNREACHABLE:
            if self._fleet.is_known(target):
                loads.record_miss(load, domain_failures, now)
            else:
                # One that has left or restarted shows nothing of its domain.
                loads.record_reachability(load.failures, False, now)
            return
        if release.outcome is not Outcome.FAILED:
            loads.record_reach(load, now)
        loads.record_outcome(load.refusals, release.outcome is Outcome.REFUSED, now)
        if release.outcome is Outcome.REFUSED:
            self._record_refusal(granted, now)
            return
        loads.record_outcome(load.failures, release.outcome is Outcome.FAILED, now)
        loads.record_reachability(domain_failures, True, now)
        if release.outcome is Outcome.DONE:
            self._record_use(granted, release, now)

    def _record_refusal(self, granted: Granted, now: timedelta) -> None:
        if granted.grant.target.kind is TargetKind.ENGINE:
            self._on_refused(granted.grant.target)
        prefill_engine = self._fleet.targets.get(granted.slot_request.prefill_engine)
        if prefill_engine is not None:
            # Either engine may have lost the KV cache, so both record the refusal.
            loads.record_outcome(
                self._fleet.load_of(prefill_engine).refusals, True, now
            )

    def _record_use(
        self, granted: Granted, release: SlotRelease, now: timedelta
    ) -> None:
        slot_request, grant, load = granted.slot_request, granted.grant, granted.load
        if slot_request.stage is Stage.PREFILL and grant.target.role is Role.PREFILL:
            took = release.took_ms - grant.fixed_ms
            loads.record_prefill(
                load, grant.uncached_tokens, took, granted.queued_ms, now
            )
            prefill_rate = self._fleet.rates.setdefault(
                slot_request.service, PrefillRate()
            )
            loads.record_service_rate(prefill_rate, grant.uncached_tokens, took)
            return
        loads.record_durations(load, release.first_ms, release.took_ms)
        # Without events it is only known that the answer began after the grant.
        first_ms = release.first_ms if release.events else 0.0
        self._on_answer(slot_request, granted.granted_at + first_ms * MILLISECOND)
        if slot_request.stage is Stage.DECODE:
            after_ms = release.took_ms - release.first_ms
            workload.record_output(
                self._demand_of(slot_request.service),
                granted.concurrency,
                release.first_ms,
                after_ms,
                release.events,
            )

        elif slot_request.stage is Stage.CALL and self._scales(slot_request.service):
            # A call holds its slot for all of its time, however many run beside it.
            demand = self._demand_of(slot_request.service)
            workload.record_output(demand, 0, release.took_ms, 0.0, 1)

    def _demand_of(self, service: str) -> ServiceDemand:
        return self.demand.setdefault(service, ServiceDemand())
