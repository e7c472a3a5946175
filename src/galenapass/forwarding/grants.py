"""Hold the places at targets that are in use, and learn from how their use ended."""

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

__all__ = ["RETURN_SLACK", "GrantTable", "Granted"]

# A daemon that was lost gives nothing back; its places are free this long after the
# deadline of what they were for.
RETURN_SLACK = timedelta(seconds=1)

_log = make_log("scheduler")


@dataclass(slots=True)
class Granted:
    """Hold a place in use since ``at``.

    ``ahead_ms`` and ``beside`` are what it found at its target.
    """

    slot_request: SlotRequest
    grant: Grant
    load: Load
    is_reading: bool
    is_running: bool
    ahead_ms: float
    beside: int
    at: timedelta


class GrantTable:
    """Hold each place in use by its ticket, and the demand measured on the way.

    ``count`` grows with each grant; ``on_refused`` hears of engines that refused.
    """

    def __init__(
        self, fleet: Fleet, clock: Clock, on_refused: Callable[[Target], None]
    ):
        self.count = 0
        self.demand: dict[str, ServiceDemand] = {}
        self._fleet = fleet
        self._clock = clock
        self._on_refused = on_refused
        self._granted: dict[str, Granted] = {}

    def find(self, ticket: str) -> Grant | None:
        """Return the grant of a place in use."""
        granted = self._granted.get(ticket)
        return granted.grant if granted is not None else None

    def add(self, slot_request: SlotRequest, grant: Grant) -> None:
        """Take a place: an engine's time for reading, a place to run, or both."""
        load = self._fleet.load_of(grant.target)
        includes_prefill = slot_request.stage is Stage.PREFILL
        runs = not includes_prefill or grant.target.role is not Role.PREFILL
        ahead = load.work_ms + load.peer_work_ms
        now = self._clock.monotonic()
        granted = Granted(
            slot_request,
            grant,
            load,
            includes_prefill,
            runs,
            ahead,
            load.sequences,
            now,
        )
        self._granted[slot_request.ticket] = granted
        self.count += 1
        if includes_prefill:
            load.prompts += 1
            load.work_ms += grant.cost_ms
        if runs:
            load.requests += 1
            load.tokens += slot_request.tokens
        if slot_request.stage is Stage.DECODE:
            workload.note_start(self._demand_of(slot_request.service), now)

    def end(self, end: SlotRelease) -> None:
        """Give a place back and learn from its use; one not in use is left."""
        granted = self._granted.get(end.ticket)
        if granted is None:
            return
        if end.is_prefill_only:
            self._end_reading(granted)
            return
        del self._granted[end.ticket]
        self._release(granted)
        self._learn(granted, end)

    def expire(self, now: timedelta) -> None:
        """Give back the places of daemons that were lost while they used them."""
        lost = [
            ticket
            for ticket, granted in self._granted.items()
            if now > granted.slot_request.deadline + RETURN_SLACK
        ]
        for ticket in lost:
            granted = self._granted.pop(ticket)
            self._release(granted)
            _log(
                "place was not given back",
                request=granted.slot_request.request,
                target=granted.grant.target.id,
            )

    def count_prompt(self, slot_request: SlotRequest, now: timedelta) -> None:
        """Count a prompt that came, whether it is read or refused."""
        assert slot_request.prompt is not None
        known = self._fleet.rates.setdefault(slot_request.service, PrefillRate())
        own = (
            slot_request.parts[-1].tokens
            if slot_request.parts
            else slot_request.prompt.tokens
        )
        cost_ms = loads.estimate_work(known, slot_request.prompt, own)
        measured = self._demand_of(slot_request.service)
        workload.note_prompt(measured, cost_ms, slot_request.tokens, now)

    def _end_reading(self, granted: Granted) -> None:
        if not granted.is_reading:
            return
        granted.is_reading = False
        load = granted.load
        load.prompts = max(load.prompts - 1, 0)
        load.work_ms = max(load.work_ms - granted.grant.cost_ms, 0.0)
        if not load.prompts:
            load.work_ms = 0.0

    def _release(self, granted: Granted) -> None:
        self._end_reading(granted)
        if granted.is_running:
            granted.is_running = False
            load = granted.load
            load.requests = max(load.requests - 1, 0)
            load.tokens = max(load.tokens - granted.slot_request.tokens, 0)
            if granted.slot_request.stage is Stage.DECODE:
                workload.note_end(
                    self._demand_of(granted.slot_request.service), granted.at
                )

    def _learn(self, granted: Granted, end: SlotRelease) -> None:
        if end.outcome is Outcome.CANCELLED:
            return
        now = self._clock.monotonic()
        target, load = granted.grant.target, granted.load
        cut = self._fleet.domain_failures_of(target)
        if end.outcome is Outcome.UNREACHABLE:
            loads.record_reachability(load.failures, False, now)
            loads.record_reachability(cut, False, now)
            return
        loads.note_outcome(load.refusals, end.outcome is Outcome.REFUSED, now)
        if end.outcome is Outcome.REFUSED:
            self._note_refusal(granted, now)
            return
        loads.note_outcome(load.failures, end.outcome is Outcome.FAILED, now)
        loads.record_reachability(cut, True, now)
        if end.outcome is Outcome.DONE:
            self._note_use(granted, end, now)

    def _note_refusal(self, granted: Granted, now: timedelta) -> None:
        if granted.grant.target.kind is TargetKind.ENGINE:
            self._on_refused(granted.grant.target)
        prefill_engine = self._fleet.targets.get(granted.slot_request.prefill_engine)
        if prefill_engine is not None:
            # Either end may have lost the memory; another pair does better.
            loads.note_outcome(self._fleet.load_of(prefill_engine).refusals, True, now)

    def _note_use(self, granted: Granted, end: SlotRelease, now: timedelta) -> None:
        slot_request, grant, load = granted.slot_request, granted.grant, granted.load
        if slot_request.stage is Stage.PREFILL and grant.target.role is Role.PREFILL:
            took = end.took_ms - grant.fixed_ms
            loads.note_prefilled(
                load, grant.uncached_tokens, took, granted.ahead_ms, now
            )
            known = self._fleet.rates.setdefault(slot_request.service, PrefillRate())
            loads.note_service_rate(known, grant.uncached_tokens, took)
            return
        loads.note_run(load, end.first_ms, end.took_ms)
        if slot_request.stage is Stage.DECODE:
            after_ms = end.took_ms - end.first_ms
            workload.record_output(
                self._demand_of(slot_request.service),
                granted.beside,
                end.first_ms,
                after_ms,
                end.events,
            )

    def _demand_of(self, service: str) -> ServiceDemand:
        return self.demand.setdefault(service, ServiceDemand())
