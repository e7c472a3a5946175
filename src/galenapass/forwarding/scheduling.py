"""Grant slots at targets to the requests of one or many daemons, or refuse them.

Requests wait here, not at a target: a more urgent request can still overtake them,
and they can be refused as soon as they cannot meet their deadline.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import admission, placement
from galenapass.forwarding.admission import RetryTimes, SlotCounts
from galenapass.forwarding.capacity import Capacity
from galenapass.forwarding.fleet import (
    Fleet,
    find_back_off,
    find_change_end,
    record_target_parts,
)
from galenapass.forwarding.grants import RELEASE_SLACK, GrantTable
from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.permits import Permits
from galenapass.forwarding.placement import Choice, View
from galenapass.forwarding.share_keeping import ShareKeeper
from galenapass.forwarding.share_reports import ShareHooks
from galenapass.forwarding.slot_requests import Grant, SlotRelease, SlotRequest, Stage
from galenapass.forwarding.workload import ServiceDemand
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["TARGETS_UNKNOWN", "Answer", "Hooks", "Scheduler"]

# Deadlines pass without an event, so the queue is processed at least this often.
QUEUE_PERIOD = timedelta(milliseconds=50)
# Maximum age of a choice used for ordering; it is always renewed before a grant. The
# age grows in proportion to a queue longer than ``MAX_SHORT_QUEUE``.
MAX_CHOICE_AGE = timedelta(milliseconds=50)
MAX_SHORT_QUEUE = 20
# Clients that wait for a role change return within this time after it.
CHANGE_SPREAD = timedelta(milliseconds=400)
# Minimum time between two passes over a queue longer than ``MAX_SHORT_QUEUE``.
LONG_QUEUE_PERIOD = timedelta(milliseconds=5)

Answer = Callable[[Result[Grant, Verdict]], None]
Choose = Callable[[SlotRequest], Choice | None]
FindCost = Callable[[SlotRequest], float]

_log = make_log("scheduler")


@dataclass(slots=True, frozen=True)
class Hooks:
    """Callbacks of a scheduler.

    ``check`` returns the refusal of a slot request whose request crashes targets, None
    for any other; ``on_answer`` is called with a slot request whose answer has ended
    whole, and when that began.
    ``on_prefill_start`` is called with the parts that a target starts to prefill,
    ``on_refused`` with an engine that refused a request, ``on_unreachable`` with
    engines none of which answers. ``shares`` are called with what organisations used.
    """

    check: Callable[[SlotRequest], Verdict | None] = lambda slot_request: None
    on_answer: Callable[[SlotRequest, timedelta], None] = (
        lambda slot_request, began_at: None
    )
    on_prefill_start: Callable[[Target, tuple[PartDigest, ...]], None] = (
        lambda target, parts: None
    )
    on_refused: Callable[[Target], None] = lambda target: None
    on_unreachable: Callable[[list[Target]], None] = lambda targets: None
    shares: ShareHooks = field(default_factory=ShareHooks)


@dataclass(slots=True)
class _Waiter:
    """Waiting slot request.

    ``choice`` was made at ``chosen_at``, after ``grant_count`` grants.
    """

    slot_request: SlotRequest
    answer: Answer
    choice: Choice | None = None
    chosen_at: timedelta | None = None
    grant_count: int = -1


class Scheduler:
    """Granted slots and waiting slot requests of one scheduler."""

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        random: Random,
        hooks: Hooks,
        permits: Permits,
    ):
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._hooks = hooks
        self._waiting: dict[str, _Waiter] = {}
        self._grants = GrantTable(fleet, clock, hooks.on_refused, hooks.on_answer)
        self._is_pass_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._retry_times: dict[tuple[str, Stage, str], RetryTimes] = {}
        self._permits = permits
        self._capacity = Capacity(fleet, permits)
        self.shares = ShareKeeper(fleet, clock, random, hooks.shares)

    @property
    def demand(self) -> dict[str, ServiceDemand]:
        """Return the demand measured by this scheduler, by service."""
        return self._grants.demand

    def submit(self, slot_request: SlotRequest, answer: Answer) -> None:
        """Answer a slot request, now or later; a repeated one gets the same answer."""
        granted = self._grants.find(slot_request.ticket)
        if granted is not None:
            answer(Ok(granted))
            return
        refusal = self._hooks.check(slot_request)
        if refusal is not None:
            answer(Err(refusal))
            return
        waiter = self._waiting.get(slot_request.ticket)
        if waiter is not None:
            waiter.answer = answer
            return
        backlog_ms = self.shares.find_late_backlog(slot_request)
        if backlog_ms is not None:
            answer(Err(self._refuse_beyond_share(slot_request, backlog_ms)))
            return
        self._waiting[slot_request.ticket] = _Waiter(slot_request, answer)
        self.shares.record_arrival(slot_request)
        self.wake()

    def check_waiting(self) -> None:
        """Refuse the waiting requests that are now known to crash targets."""
        for waiter in list(self._waiting.values()):
            refusal = self._hooks.check(waiter.slot_request)
            if refusal is not None:
                self._refuse(waiter.slot_request, refusal)

    def is_waiting(self, ticket: str) -> bool:
        """Return whether a slot request waits for its answer."""
        return ticket in self._waiting

    def end(self, release: SlotRelease) -> None:
        """Release a slot, or withdraw a slot request that still waits."""
        if self._remove_waiter(release.ticket) is None:
            self.shares.record_release(release)
            self._grants.release(release)
        self.wake()

    def list_waiting(self) -> list[SlotRequest]:
        """Return the slot requests that wait."""
        return [waiter.slot_request for waiter in self._waiting.values()]

    def set_peer_count(self, count: int) -> None:
        """Set the number of other schedulers that grant slots at the same targets."""
        self._capacity.peers = count

    def wake(self) -> None:
        """Schedule a pass over the queue if any slot request waits."""
        if not self._waiting or self._is_pass_scheduled:
            return
        self._is_pass_scheduled = True
        loop = asyncio.get_running_loop()
        if len(self._waiting) <= MAX_SHORT_QUEUE:
            loop.call_soon(self._process_queue)
        else:
            loop.call_later(LONG_QUEUE_PERIOD.total_seconds(), self._process_queue)

    def _process_queue(self) -> None:
        self._is_pass_scheduled = False
        now = self._clock.monotonic()
        self._capacity.clear()
        self._request_permits()
        view = self._fleet.view(now)
        stages = {
            Stage.DECODE: self._grant_decodes,
            Stage.CALL: self._grant_calls,
            Stage.PREFILL: self._grant_prefills,
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
                # Refuse the waiting requests of this stage; the other stages go on.
                _log("queue processing failed", stage=stage.value, error=repr(error))
                for slot_request in slot_requests:
                    if slot_request.ticket in self._waiting:
                        self._refuse(slot_request, _FAILED)
        self._set_timer(bool(self._waiting))

    def _request_permits(self) -> None:
        """Request permits for the targets that limit their rate and could serve."""
        if not self._fleet.rate_limits:
            return
        services = Counter(w.slot_request.service for w in self._waiting.values())
        for service, count in services.items():
            self._permits.request(self._capacity.list_serving(service), count)

    # Prefill

    def _grant_prefills(self, slot_requests: list[SlotRequest], view: View) -> None:
        def choose(slot_request: SlotRequest) -> Choice | None:
            return self._choose_recent(slot_request, view)

        def find_cost(slot_request: SlotRequest) -> float:
            choice = choose(slot_request)
            return choice.cost_ms if choice is not None else 0.0

        # Prefilled prompts that wait for a decode slot come first.
        prefilled = Counter(
            waiter.slot_request.service
            for waiter in self._waiting.values()
            if waiter.slot_request.stage is Stage.DECODE
        )

        def count_decode_slots(service: str) -> SlotCounts | None:
            slots = self._capacity.count_decode_slots(service, view)
            if slots is None:
                return None
            return replace(slots, free=slots.free - prefilled[service])

        services = {slot_request.service for slot_request in slot_requests}
        free = {name: count_decode_slots(name) for name in services}
        left: dict[str, list[SlotRequest]] = {}
        for slot_request in self._order(slot_requests, choose, find_cost, view):
            refusal = self._check_prompt(slot_request, choose(slot_request), view)
            if refusal is not None and self._awaits_change(slot_request, view):
                left.setdefault(slot_request.service, []).append(slot_request)
            elif refusal is not None:
                self._refuse(slot_request, refusal)
            elif not self._try_prefill(slot_request, view, free[slot_request.service]):
                left.setdefault(slot_request.service, []).append(slot_request)
            else:
                free[slot_request.service] = count_decode_slots(slot_request.service)
        for name, waiting in left.items():
            self._refuse_unservable(name, waiting, choose, find_cost, free[name], view)

    def _order(
        self,
        slot_requests: list[SlotRequest],
        choose: Choose,
        find_cost: FindCost,
        view: View,
    ) -> list[SlotRequest]:
        ordered = admission.order_waiting(slot_requests, choose, view.now)
        return self.shares.order(ordered, find_cost, view.now)

    def _refuse_unservable(
        self,
        service: str,
        left: list[SlotRequest],
        choose: Choose,
        find_cost: FindCost,
        slots: SlotCounts | None,
        view: View,
    ) -> None:
        """Refuse the requests left waiting that cannot meet their deadline.

        Where organisations share the capacity, those above their share come first.
        """
        ordered = self.shares.order_left(service, left, find_cost, view.now)
        beyond = self.shares.list_beyond_share(service, ordered, find_cost, view.now)
        for slot_request in beyond:
            self._refuse_late(slot_request, choose(slot_request), slots, view.now)
        if beyond:
            ordered = [each for each in ordered if each.ticket in self._waiting]
        late = admission.find_unservable(ordered, choose, view.now, slots)
        if late and self.shares.applies(service, view.now):
            late = self._find_late(late, ordered, choose, slots, view)
        for slot_request in late:
            self._refuse_late(slot_request, choose(slot_request), slots, view.now)

    def _find_late(
        self,
        late: list[SlotRequest],
        ordered: list[SlotRequest],
        choose: Choose,
        slots: SlotCounts | None,
        view: View,
    ) -> list[SlotRequest]:
        """Return the late requests, where others leave slots to some organisations.

        Requests at other schedulers do not come before those of organisations below
        their share.
        """
        below = self.shares.list_below_share(late)
        if not below:
            return late
        tickets = {slot_request.ticket for slot_request in below}
        above = [each for each in late if each.ticket not in tickets]
        own = replace(slots, schedulers=1) if slots is not None else None
        below = self.shares.list_below_share(ordered)
        return above + admission.find_unservable(below, choose, view.now, own)

    def _check_prompt(
        self, slot_request: SlotRequest, choice: Choice | None, view: View
    ) -> Verdict | None:
        """Return the verdict that refuses a prompt, None if it may be prefilled."""
        if self._is_too_large(slot_request):
            return _TOO_LARGE
        if choice is None:
            return self._refuse_unserved(_NO_ENGINE, slot_request, view.now)
        serving = self._capacity.list_serving(
            slot_request.service, version=slot_request.version
        )
        only_prefills = all(target.role is Role.PREFILL for target in serving)
        if slot_request.version is not None and only_prefills:
            return self._find_retry(_NO_VERSION, slot_request, view.now)
        targets = self._fleet.targets.values()
        if placement.lacks_decode_engine(serving, view, targets):
            decode = [t for t in serving if t.role is Role.DECODE]
            self._hooks.on_unreachable(decode or serving)
            return self._find_retry(_NO_DECODE, slot_request, view.now)
        return None

    def _awaits_change(self, slot_request: SlotRequest, view: View) -> bool:
        """Return whether a resumed stream waits for an engine that changes its role.

        Load pattern: the loss of all decode engines of a version. A client that resumes
        a stream has little time left, so it cannot return as late as the engine does.
        """
        if slot_request.version is None or self._is_too_large(slot_request):
            return False
        end = find_change_end(
            self._fleet, slot_request.service, slot_request.version, view.now
        )
        return end is not None and end < slot_request.deadline

    def _is_too_large(self, slot_request: SlotRequest) -> bool:
        service = self._fleet.routes.services.get(slot_request.service)
        cache_tokens = service.cache_tokens if service is not None else 0
        return 0 < cache_tokens < slot_request.all_tokens

    def _try_prefill(
        self, slot_request: SlotRequest, view: View, slots: SlotCounts | None
    ) -> bool:
        choice = self._waiting[slot_request.ticket].choice
        if choice is None or not self._capacity.has_capacity(
            slot_request, choice, slots, view
        ):
            return False
        choice = self._choose_current(slot_request, view)
        if choice is None or not self._capacity.has_capacity(
            slot_request, choice, slots, view
        ):
            return False
        if admission.is_unservable(slot_request, choice.finish_ms, view.now):
            return False
        load = view.load_of(choice.target)
        queued_ms = load.work_ms + load.peer_work_ms
        free = slots.free if slots is not None else None
        if self.shares.must_leave_free(slot_request, free, view.now, queued_ms):
            return False
        self._grants.record_prompt(slot_request, view.now)
        # Another prompt with the same parts then waits for this prefill.
        self._record_target_parts(choice.target, slot_request.parts, view.now)
        self._grant(slot_request, choice)
        return True

    # Decode

    def _grant_decodes(self, slot_requests: list[SlotRequest], view: View) -> None:
        served = self._filter_served(slot_requests, Role.DECODE, view)
        for slot_request in sorted(
            served,
            key=lambda slot_request: (slot_request.soft_deadline, slot_request.ticket),
        ):
            free = self._capacity.list_free(slot_request, Role.DECODE, view)
            prefill_engine = self._fleet.targets.get(slot_request.prefill_engine)
            choice = placement.choose_decode(free, prefill_engine, view)
            if choice is None:
                continue
            # It caches the fetched parts, so prefill engines may fetch them from it.
            self._record_target_parts(choice.target, slot_request.parts, view.now)
            self._grant(slot_request, choice)

    # Calls to plain services

    def _grant_calls(self, slot_requests: list[SlotRequest], view: View) -> None:
        # Choices only change with a grant; a long queue would make each one many times.
        chosen: dict[tuple[object, ...], Choice | None] = {}
        open_targets: dict[tuple[object, ...], list[Target]] = {}

        def make_key(slot_request: SlotRequest) -> tuple[object, ...]:
            fields = slot_request.tried, slot_request.excluded, slot_request.version
            return self._grants.count, slot_request.service, *fields

        def choose(slot_request: SlotRequest) -> Choice | None:
            key = make_key(slot_request)
            if key not in chosen:
                eligible = self._capacity.list_eligible(slot_request)
                chosen[key] = placement.choose_plain(eligible, view)
            return chosen[key]

        left: dict[str, list[SlotRequest]] = {}
        served = self._filter_served(slot_requests, None, view)
        find_cost = self.shares.estimate_request
        for slot_request in self._order(served, choose, find_cost, view):
            key = make_key(slot_request)
            if key not in open_targets:
                open_targets[key] = self._capacity.list_free(slot_request, None, view)
            free = open_targets[key]
            choice = placement.choose_plain(free, view)
            if choice is None or self._leaves_call_slot(slot_request, free, view):
                left.setdefault(slot_request.service, []).append(slot_request)
            else:
                self._grant(slot_request, choice)
        for name, waiting in left.items():
            slots = self._capacity.count_call_slots(name)
            self._refuse_unservable(name, waiting, choose, find_cost, slots, view)

    def _leaves_call_slot(
        self, slot_request: SlotRequest, free: list[Target], view: View
    ) -> bool:
        """Return whether other schedulers claim the free slots at plain targets."""
        if slot_request.service not in self.shares.table.services:
            return False
        count = sum(map(self._capacity.count_free_calls, free))
        return self.shares.must_leave_free(slot_request, count, view.now)

    # Choices

    def _choose_recent(self, slot_request: SlotRequest, view: View) -> Choice | None:
        """Return a recent choice, for the order of the queue."""
        waiter = self._waiting.get(slot_request.ticket)
        if waiter is None:
            return None
        at = waiter.chosen_at
        age = MAX_CHOICE_AGE * max(len(self._waiting) / MAX_SHORT_QUEUE, 1.0)
        if at is None or view.now - at >= age:
            return self._choose_current(slot_request, view)
        return waiter.choice

    def _choose_current(self, slot_request: SlotRequest, view: View) -> Choice | None:
        """Return a choice from the current tables."""
        waiter = self._waiting[slot_request.ticket]
        if waiter.grant_count != self._grants.count or waiter.chosen_at != view.now:
            waiter.choice = self._choose_prefill(slot_request, view)
            waiter.chosen_at, waiter.grant_count = view.now, self._grants.count
        return waiter.choice

    def _choose_prefill(self, slot_request: SlotRequest, view: View) -> Choice | None:
        assert slot_request.prompt is not None
        eligible = self._capacity.list_permitted(slot_request)
        cache_sources = self._capacity.list_serving(slot_request.service)
        return placement.choose_prefill(
            eligible,
            slot_request.prompt,
            slot_request.shared_parts,
            view,
            cache_sources,
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
        self._permits.spend(choice.target)
        self._grants.add(slot_request, grant)
        self.shares.record_grant(slot_request, grant)
        waiter = self._remove_waiter(slot_request.ticket)
        assert waiter is not None
        waiter.answer(Ok(grant))

    def _refuse(self, slot_request: SlotRequest, verdict: Verdict) -> None:
        waiter = self._remove_waiter(slot_request.ticket)
        assert waiter is not None
        waiter.answer(Err(verdict))

    def _remove_waiter(self, ticket: str) -> _Waiter | None:
        waiter = self._waiting.pop(ticket, None)
        if waiter is not None:
            self.shares.record_departure(waiter.slot_request)
        return waiter

    def _refuse_late(
        self,
        slot_request: SlotRequest,
        choice: Choice | None,
        slots: SlotCounts | None,
        now: timedelta,
    ) -> None:
        """Refuse a request that cannot meet its deadline, with a time to retry.

        Where organisations share the capacity, that follows from the organisation's own
        backlog.
        """
        backlog = choice.finish_ms if choice is not None else 0.0
        shared = self.shares.applies(slot_request.service, now)
        retry_times = self._find_retry_times(slot_request, is_shared=shared)
        before = retry_times.count_pending(now)
        own_ms = self._find_own_backlog(slot_request, before, now) if shared else None
        if own_ms is not None:
            backlog = max(backlog, own_ms)
        elif slots is not None:
            backlog = max(backlog, slots.wait_ms(before))
        if choice is not None and slot_request.stage is Stage.PREFILL:
            engines = self._capacity.count_prefill_engines(slot_request.service)
            backlog += before * choice.cost_ms / engines if own_ms is None else 0.0
            self._grants.record_prompt(slot_request, now)
        if slot_request.stage is Stage.CALL:
            self._grants.record_call(slot_request, now)
        verdict = self._make_late_verdict(
            slot_request, backlog, retry_times, now, is_shared=shared
        )
        self._refuse(slot_request, verdict)

    def _refuse_beyond_share(
        self, slot_request: SlotRequest, backlog_ms: float
    ) -> Verdict:
        """Return the verdict on a new request that its own organisation makes late."""
        now = self._clock.monotonic()
        retry_times = self._find_retry_times(slot_request, is_shared=True)
        before = retry_times.count_pending(now)
        if slot_request.stage is Stage.PREFILL:
            self._grants.record_prompt(slot_request, now)
        if slot_request.stage is Stage.CALL:
            self._grants.record_call(slot_request, now)
        backlog_ms = max(
            backlog_ms, self._find_own_backlog(slot_request, before, now) or 0.0
        )
        return self._make_late_verdict(
            slot_request, backlog_ms, retry_times, now, is_shared=True
        )

    def _make_late_verdict(
        self,
        slot_request: SlotRequest,
        backlog: float,
        retry_times: RetryTimes,
        now: timedelta,
        *,
        is_shared: bool,
    ) -> Verdict:
        after = admission.suggest_retry(slot_request, backlog, now, self._random)
        retry_times.add(now + after)
        left = (slot_request.deadline - now) // timedelta(milliseconds=1)
        detail = f"{backlog:.0f} ms of work for {left} ms left"
        if is_shared:
            why = self.shares.record_refusal(slot_request, backlog, after)
            detail = f"{detail}; {why}"
        return Verdict(Run.NOT_RUN, Reason.OVERLOADED, detail, after)

    def _find_retry_times(
        self, slot_request: SlotRequest, *, is_shared: bool
    ) -> RetryTimes:
        organisation = slot_request.organisation if is_shared else ""
        key = (slot_request.service, slot_request.stage, organisation)
        return self._retry_times.setdefault(key, RetryTimes())

    def _find_own_backlog(
        self, slot_request: SlotRequest, before: int, now: timedelta
    ) -> float | None:
        """Return when a share allows ``before`` requests like this one, if known."""
        cost = self.shares.estimate_request(slot_request)
        return self.shares.find_backlog(slot_request, (before + 1) * cost, now)

    def _filter_served(
        self, slot_requests: list[SlotRequest], role: Role | None, view: View
    ) -> list[SlotRequest]:
        """Return the slot requests with an eligible target, and refuse the others."""
        served = []
        for slot_request in slot_requests:
            if self._capacity.list_eligible(slot_request, role):
                served.append(slot_request)
            else:
                self._refuse(
                    slot_request,
                    self._refuse_unserved(_NO_TARGET, slot_request, view.now),
                )
        return served

    def _refuse_unserved(
        self, verdict: Verdict, slot_request: SlotRequest, now: timedelta
    ) -> Verdict:
        """Return a verdict that no target serves, or that none is known."""
        if not self._fleet.knows_service(slot_request.service):
            return TARGETS_UNKNOWN
        return self._find_retry(verdict, slot_request, now)

    def _find_retry(
        self, verdict: Verdict, slot_request: SlotRequest, now: timedelta
    ) -> Verdict:
        """Return a verdict with the time after which a target serves, if known.

        Load pattern: the loss of all engines that decode. Clients that return before
        another engine has changed its role use up their attempts.
        """
        service, version = slot_request.service, slot_request.version
        back_off = find_back_off(self._fleet, service, now)
        if back_off:
            return replace(verdict, retry_after=back_off)
        change_end = find_change_end(self._fleet, service, version, now)
        if change_end is None:
            return verdict
        at = change_end + self._random.random() * CHANGE_SPREAD
        if at + CHANGE_SPREAD >= slot_request.deadline:
            return verdict
        return replace(verdict, retry_after=at - now)

    # Expiry

    def expire(self) -> None:
        """Release the slots of lost daemons and drop their waiting slot requests."""
        now = self._clock.monotonic()
        self._grants.expire(now)
        late = [
            ticket
            for ticket, waiter in self._waiting.items()
            if now > waiter.slot_request.deadline + RELEASE_SLACK
        ]
        for ticket in late:
            self._remove_waiter(ticket)
        self.shares.expire(now)
        self._retry_times = {
            key: times
            for key, times in self._retry_times.items()
            if times.count_pending(now)
        }
        self.wake()

    def _record_target_parts(
        self, target: Target, parts: tuple[PartDigest, ...], now: timedelta
    ) -> None:
        """Record the parts that a target starts to prefill, and announce them."""
        record_target_parts(self._fleet, target, parts, now)
        self._hooks.on_prefill_start(target, parts)

    def _set_timer(self, waits: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if waits:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(QUEUE_PERIOD.total_seconds(), self.wake)


_RETRY_AFTER = timedelta(milliseconds=500)
TARGETS_UNKNOWN = Verdict(
    Run.NOT_RUN,
    Reason.TARGETS_UNKNOWN,
    "this host does not know the targets",
    timedelta(milliseconds=200),
)
_NO_VERSION = Verdict(
    Run.NOT_RUN,
    Reason.NO_TARGET,
    "no target of the version that began the stream generates",
    _RETRY_AFTER,
)
_NO_ENGINE = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "no engine serves", _RETRY_AFTER)
_NO_TARGET = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "no target serves", _RETRY_AFTER)
_NO_DECODE = Verdict(
    Run.NOT_RUN, Reason.NO_TARGET, "no engine that decodes answers", _RETRY_AFTER
)
_FAILED = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "the scheduler failed", _RETRY_AFTER)
_TOO_LARGE = Verdict(
    Run.NOT_RUN, Reason.TOO_LARGE, "the request is larger than an engine's memory"
)
