"""Grant places at targets to the requests of one or many daemons, or refuse them.

A request waits here, not at a target: a more urgent one can still pass it, and it
can be refused as soon as it is known to come too late.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import admission, placement
from galenapass.forwarding.admission import Returns, SlotCounts
from galenapass.forwarding.capacity import Capacity
from galenapass.forwarding.fleet import Fleet, find_back_off, record_target_parts
from galenapass.forwarding.grants import RETURN_SLACK, GrantTable
from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.placement import Choice, View
from galenapass.forwarding.slot_requests import Grant, SlotRelease, SlotRequest, Stage
from galenapass.forwarding.workload import ServiceDemand
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Answer", "Hooks", "Scheduler"]

# Deadlines pass without an event, so the queue is looked at this often.
PERIOD = timedelta(milliseconds=50)
# A choice is worked out anew after this time, or just before it is granted; more asks
# than stand below wait for theirs in turn.
CHOICE_AGE = timedelta(milliseconds=50)
CHOICES = 20
# With more of them waiting, the queue is looked at no more often than this.
CROWDED_PAUSE = timedelta(milliseconds=5)

Answer = Callable[[Result[Grant, Verdict]], None]

_log = make_log("scheduler")


@dataclass(slots=True, frozen=True)
class Hooks:
    """Hold whom a scheduler asks and tells.

    ``check`` returns the verdict on the fingerprint of a request that crashes targets,
    ``on_prefill_start`` hears which parts a target begins to read, ``on_refused`` of an
    engine that refused, ``on_unreachable`` of engines none of which answers.
    """

    check: Callable[[str], Verdict | None] = lambda fingerprint: None
    on_prefill_start: Callable[[Target, tuple[PartDigest, ...]], None] = (
        lambda target, parts: None
    )
    on_refused: Callable[[Target], None] = lambda target: None
    on_unreachable: Callable[[list[Target]], None] = lambda targets: None


@dataclass(slots=True)
class _Waiter:
    slot_request: SlotRequest
    answer: Answer
    choice: Choice | None = None
    chosen_at: timedelta | None = None
    grants: int = -1


class Scheduler:
    """Hold the places that were granted and the asks that wait for one."""

    def __init__(self, fleet: Fleet, clock: Clock, random: Random, hooks: Hooks):
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._hooks = hooks
        self._waiting: dict[str, _Waiter] = {}
        self._grants = GrantTable(fleet, clock, hooks.on_refused)
        self._due = False
        self._timer: asyncio.TimerHandle | None = None
        self._returns: dict[tuple[str, Stage], Returns] = {}
        self._capacity = Capacity(fleet)

    @property
    def demand(self) -> dict[str, ServiceDemand]:
        """Return the demand that this scheduler has measured, by service."""
        return self._grants.demand

    def submit(self, slot_request: SlotRequest, answer: Answer) -> None:
        """Answer an ask, now or later; the same ask again gets the same answer."""
        granted = self._grants.find(slot_request.ticket)
        if granted is not None:
            answer(Ok(granted))
            return
        refusal = self._hooks.check(slot_request.fingerprint)
        if refusal is not None:
            answer(Err(refusal))
            return
        waiter = self._waiting.get(slot_request.ticket)
        if waiter is not None:
            waiter.answer = answer
            return
        self._waiting[slot_request.ticket] = _Waiter(slot_request, answer)
        self.wake()

    def is_waiting(self, ticket: str) -> bool:
        """Tell whether an ask waits for its answer."""
        return ticket in self._waiting

    def end(self, end: SlotRelease) -> None:
        """Take a place back, and learn from its use."""
        if self._waiting.pop(end.ticket, None) is None:
            self._grants.end(end)
        self.wake()

    def set_peer_count(self, count: int) -> None:
        """Take in how many other schedulers grant places at the same targets."""
        self._capacity.peers = count

    def wake(self) -> None:
        """Look at the queue once this turn of the loop is over, if any ask waits."""
        if not self._waiting or self._due:
            return
        self._due = True
        loop = asyncio.get_running_loop()
        if len(self._waiting) <= CHOICES:
            loop.call_soon(self._step)
        else:
            loop.call_later(CROWDED_PAUSE.total_seconds(), self._step)

    def _step(self) -> None:
        self._due = False
        now = self._clock.monotonic()
        self._capacity.renew()
        view = self._fleet.view(now)
        stages = {
            Stage.DECODE: self._grant_outputs,
            Stage.CALL: self._grant_calls,
            Stage.PREFILL: self._grant_reads,
        }
        for stage, grant in stages.items():
            slot_requests = [
                w.slot_request
                for w in self._waiting.values()
                if w.slot_request.stage is stage
            ]
            try:
                grant(slot_requests, view)
            except Exception as error:
                # What waits is told so; the other stages go on.
                _log("queue failed", stage=stage.value, error=repr(error))
                for slot_request in slot_requests:
                    if slot_request.ticket in self._waiting:
                        self._refuse(slot_request, _FAILED)
        self._set_timer(bool(self._waiting))

    # Prompts

    def _grant_reads(self, slot_requests: list[SlotRequest], view: View) -> None:
        def choose(slot_request: SlotRequest) -> Choice | None:
            return self._choose_cached(slot_request, view)

        find_outputs = self._capacity.find_outputs
        services = {slot_request.service for slot_request in slot_requests}
        free = {name: find_outputs(name, view) for name in services}
        left: dict[str, list[SlotRequest]] = {}
        for slot_request in admission.order_waiting(slot_requests, choose, view.now):
            refusal = self._judge_prompt(slot_request, choose(slot_request), view)
            if refusal is not None:
                self._refuse(slot_request, refusal)
            elif not self._try_read(slot_request, view, free[slot_request.service]):
                left.setdefault(slot_request.service, []).append(slot_request)
            else:
                free[slot_request.service] = find_outputs(slot_request.service, view)
        for name, waiting in left.items():
            for slot_request in admission.find_unservable(
                waiting, choose, view.now, free[name]
            ):
                self._refuse_late(
                    slot_request, choose(slot_request), free[name], view.now
                )

    def _judge_prompt(
        self, slot_request: SlotRequest, choice: Choice | None, view: View
    ) -> Verdict | None:
        """Return why a prompt is not to be read at all, if there is a reason."""
        service = self._fleet.routes.services.get(slot_request.service)
        if service is not None and 0 < service.cache_tokens < slot_request.all_tokens:
            return _TOO_LARGE
        if choice is None:
            return self._add_back_off(_NO_ENGINE, slot_request.service, view.now)
        serving = self._capacity.list_serving(slot_request.service)
        if placement.lacks_decode_engine(serving, view):
            decode = [t for t in serving if t.role is Role.DECODE]
            self._hooks.on_unreachable(decode or serving)
            return _NO_DECODE
        return None

    def _try_read(
        self, slot_request: SlotRequest, view: View, slots: SlotCounts | None
    ) -> bool:
        choice = self._waiting[slot_request.ticket].choice
        if choice is None or not self._capacity.has_capacity(
            slot_request, choice, slots
        ):
            return False
        choice = self._choose_fresh(slot_request, view)
        if choice is None or not self._capacity.has_capacity(
            slot_request, choice, slots
        ):
            return False
        if admission.is_unservable(slot_request, choice.finish_ms, view.now):
            return False
        self._grants.count_prompt(slot_request, view.now)
        # A second prompt with the same parts waits for the first read.
        self._record_target_parts(choice.target, slot_request.parts, view.now)
        self._grant(slot_request, choice)
        return True

    # Output

    def _grant_outputs(self, slot_requests: list[SlotRequest], view: View) -> None:
        served = self._keep_served(slot_requests, Role.DECODE, view)
        for slot_request in sorted(
            served,
            key=lambda slot_request: (slot_request.soft_deadline, slot_request.ticket),
        ):
            free = self._capacity.list_free(slot_request, Role.DECODE, view)
            prefill_engine = self._fleet.targets.get(slot_request.prefill_engine)
            choice = placement.choose_decode(free, prefill_engine, view)
            if choice is None:
                continue
            # It keeps what it fetches, so engines that prefill may fetch it from there.
            self._record_target_parts(choice.target, slot_request.parts, view.now)
            self._grant(slot_request, choice)

    # Calls of plain services

    def _grant_calls(self, slot_requests: list[SlotRequest], view: View) -> None:
        def choose(slot_request: SlotRequest) -> Choice | None:
            return placement.choose_plain(
                self._capacity.list_eligible(slot_request), view
            )

        left: dict[str, list[SlotRequest]] = {}
        served = self._keep_served(slot_requests, None, view)
        for slot_request in admission.order_waiting(served, choose, view.now):
            free = self._capacity.list_free(slot_request, None, view)
            choice = placement.choose_plain(free, view)
            if choice is None:
                left.setdefault(slot_request.service, []).append(slot_request)
            else:
                self._grant(slot_request, choice)
        for name, waiting in left.items():
            slots = self._capacity.find_calls(name)
            for slot_request in admission.find_unservable(
                waiting, choose, view.now, slots
            ):
                self._refuse_late(slot_request, choose(slot_request), slots, view.now)

    # Choices

    def _choose_cached(self, slot_request: SlotRequest, view: View) -> Choice | None:
        """Return a choice for the order of the queue, which may be a little old."""
        waiter = self._waiting.get(slot_request.ticket)
        if waiter is None:
            return None
        at = waiter.chosen_at
        age = CHOICE_AGE * max(len(self._waiting) / CHOICES, 1.0)
        if at is None or view.now - at >= age:
            return self._choose_fresh(slot_request, view)
        return waiter.choice

    def _choose_fresh(self, slot_request: SlotRequest, view: View) -> Choice | None:
        """Return a choice from the tables as they are."""
        waiter = self._waiting[slot_request.ticket]
        if waiter.grants != self._grants.count or waiter.chosen_at != view.now:
            waiter.choice = self._choose_prefill(slot_request, view)
            waiter.chosen_at, waiter.grants = view.now, self._grants.count
        return waiter.choice

    def _choose_prefill(self, slot_request: SlotRequest, view: View) -> Choice | None:
        assert slot_request.prompt is not None
        fit = self._capacity.list_eligible(slot_request)
        donors = self._capacity.list_serving(slot_request.service)
        return placement.choose_prefill(
            fit, slot_request.prompt, slot_request.shared_parts, view, donors
        )

    # Answers

    def _grant(self, slot_request: SlotRequest, choice: Choice) -> None:
        grant = Grant(
            slot_request.ticket,
            choice.target,
            choice.cost_ms,
            choice.wait_ms,
            choice.uncached_tokens,
            choice.fixed_ms,
            choice.why,
            choice.cache_source.address if choice.cache_source is not None else None,
        )
        self._grants.add(slot_request, grant)
        self._waiting.pop(slot_request.ticket).answer(Ok(grant))

    def _refuse(self, slot_request: SlotRequest, verdict: Verdict) -> None:
        waiter = self._waiting.pop(slot_request.ticket)
        waiter.answer(Err(verdict))

    def _refuse_late(
        self,
        slot_request: SlotRequest,
        choice: Choice | None,
        slots: SlotCounts | None,
        now: timedelta,
    ) -> None:
        """Refuse what cannot be answered in time, and say when it could be."""
        backlog = choice.finish_ms if choice is not None else 0.0
        returning = self._returns.setdefault(
            (slot_request.service, slot_request.stage), Returns()
        )
        before = returning.count(now)
        if slots is not None:
            backlog = max(backlog, slots.wait_ms(before))
        if choice is not None and slot_request.stage is Stage.PREFILL:
            readers = self._capacity.count_readers(slot_request.service)
            backlog += before * choice.cost_ms / readers
            self._grants.count_prompt(slot_request, now)
        after = admission.suggest_return(slot_request, backlog, now, self._random)
        returning.note(now + after)
        left = (slot_request.deadline - now) // timedelta(milliseconds=1)
        detail = f"{backlog:.0f} ms of work for {left} ms left"
        self._refuse(
            slot_request, Verdict(Run.NOT_RUN, Reason.OVERLOADED, detail, after)
        )

    def _keep_served(
        self, slot_requests: list[SlotRequest], role: Role | None, view: View
    ) -> list[SlotRequest]:
        """Return the asks that some target serves, and refuse the others."""
        served = []
        for slot_request in slot_requests:
            if self._capacity.list_eligible(slot_request, role):
                served.append(slot_request)
            else:
                self._refuse(
                    slot_request,
                    self._add_back_off(_NO_TARGET, slot_request.service, view.now),
                )
        return served

    def _add_back_off(self, verdict: Verdict, service: str, now: timedelta) -> Verdict:
        back_off = find_back_off(self._fleet, service, now)
        return replace(verdict, retry_after=back_off) if back_off else verdict

    # Ends

    def expire(self) -> None:
        """Take back the places of daemons that were lost while they used them."""
        now = self._clock.monotonic()
        self._grants.expire(now)
        late = [
            ticket
            for ticket, waiter in self._waiting.items()
            if now > waiter.slot_request.deadline + RETURN_SLACK
        ]
        for ticket in late:
            del self._waiting[ticket]
        self.wake()

    def _record_target_parts(
        self, target: Target, parts: tuple[PartDigest, ...], now: timedelta
    ) -> None:
        """Count on the parts that a target begins to read, and tell the peers."""
        record_target_parts(self._fleet, target, parts, now)
        self._hooks.on_prefill_start(target, parts)

    def _set_timer(self, waits: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if waits:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(PERIOD.total_seconds(), self.wake)


_RETURN = timedelta(milliseconds=500)
_NO_ENGINE = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "no engine serves", _RETURN)
_NO_TARGET = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "no target serves", _RETURN)
_NO_DECODE = Verdict(
    Run.NOT_RUN, Reason.NO_TARGET, "no engine that decodes answers", _RETURN
)
_FAILED = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "the scheduler failed", _RETURN)
_TOO_LARGE = Verdict(
    Run.NOT_RUN, Reason.TOO_LARGE, "the request is larger than an engine's memory"
)
