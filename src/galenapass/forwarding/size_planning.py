"""Order the sizes of services while this daemon holds the lease of the duties."""

import asyncio
import functools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from galenapass.clocks import Clock
from galenapass.forwarding import demand_history, size_orders, sizes
from galenapass.forwarding.demand_history import DemandHistory
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.loads import PrefillRate
from galenapass.forwarding.operations import CallOutcome, OperationsTerms
from galenapass.forwarding.routes import RouteTable, Scaling, Service
from galenapass.forwarding.size_counts import (
    ObservedTargets,
    SubjectCounts,
    count_shared_tokens,
    count_targets,
    observe_targets,
)
from galenapass.forwarding.size_orders import OrderLimits, SizeOrder
from galenapass.forwarding.sizes import SizeInputs, SizePlan, Subject
from galenapass.forwarding.splits import EngineSize
from galenapass.forwarding.workload import MeasuredDemand
from galenapass.logs import make_log
from galenapass.tables.targets import TargetState

__all__ = ["DutyLease", "SizeCalls", "SizePlanner", "find_objective"]

STEP_PERIOD = timedelta(milliseconds=250)
# The last holder's targets may not be registered yet; beyond their start time.
TAKEOVER_LAG = timedelta(seconds=1)
MIN_CALLS_PER_SECOND = 0.01
# The cached parts of all engines are counted this often.
SHARED_PERIOD = timedelta(seconds=5)
# Targets are released while others are missing only after this time.
MAX_SHORTAGE = timedelta(seconds=60)
# Objective of a service that no route leads to.
DEFAULT_OBJECTIVE = timedelta(seconds=1)

_log = make_log("sizes")


class DutyLease(Protocol):
    """Lease of the duties, as this daemon holds it."""

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or None unless the lease is valid now."""


class SizeCalls(Protocol):
    """Calls of the holder of the duties."""

    async def order_size(
        self, service: str, domain: str, count: int, reclaimable: bool
    ) -> CallOutcome | None:
        """Order targets of one kind; return None if no call may be made now."""


@dataclass(slots=True)
class _ServiceState:
    """Demand, plan, targets and orders of one service.

    Until this daemon has adopted a plan of its own, the plan follows what is there.
    """

    history: DemandHistory = field(default_factory=DemandHistory)
    plan: SizePlan | None = None
    orders: dict[Subject, SizeOrder] = field(default_factory=dict)
    observed: ObservedTargets = field(default_factory=ObservedTargets)
    shared_tokens: int = 0
    shared_at: timedelta | None = None
    short_since: timedelta | None = None
    is_planned: bool = False
    has_adopted: bool = False


class SizePlanner:
    """Planner of the sizes of services, and its orders.

    Every scheduler follows the demand, so that a new holder knows its peak. ``measure``
    returns the demand for a service over all schedulers; ``on_counts`` is called with a
    service, a subject and the numbers of targets wanted, None without the lease, and
    there.
    """

    def __init__(
        self,
        fleet: Fleet,
        lease: DutyLease,
        calls: SizeCalls,
        clock: Clock,
        measure: Callable[[str], MeasuredDemand],
        terms: OperationsTerms,
        on_counts: Callable[[str, Subject, int | None, int], None] = (
            lambda service, subject, wanted, there: None
        ),
    ):
        self._fleet = fleet
        self._lease = lease
        self._calls = calls
        self._clock = clock
        self._measure = measure
        self._on_counts = on_counts
        self._services: dict[str, _ServiceState] = {}
        self._held_since: timedelta | None = None
        self._fence: int | None = None
        rate = max(terms.calls_per_second, MIN_CALLS_PER_SECOND)
        self._limits = OrderLimits(timedelta(seconds=1 / rate))
        self._objectives: tuple[int, dict[str, timedelta]] = (0, {})

    async def run(self) -> None:
        """Follow the demand and order sizes until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_PERIOD.total_seconds())

    def is_resizing(self, service: str) -> bool:
        """Return whether an accepted order of this daemon may still change a size."""
        state, known = self._services.get(service), self._fleet.routes.services
        scaling = known[service].scaling if service in known else None
        if state is None or scaling is None:
            return False
        now = self._clock.monotonic()
        wait = max(scaling.start_time + size_orders.ENTRY_LAG, size_orders.RELEASE_TIME)
        return any(
            order.accepted is not None and now - order.accepted_at < wait
            for order in state.orders.values()
        )

    async def step(self) -> None:
        """Record the demand, and as the holder plan sizes and send the due orders."""
        now = self._clock.monotonic()
        scaled = self._list_scaled()
        if not scaled:
            self._services.clear()
            return
        self._follow_lease(now)
        for service, scaling in scaled:
            state = self._services.setdefault(service.name, _ServiceState())
            is_new = demand_history.record_demand(
                state.history, functools.partial(self._measure, service.name), now
            )
            if is_new or self._held_since is not None:
                observe_targets(state.observed, self._fleet, service.name, now)
            if self._held_since is not None and (is_new or not state.is_planned):
                self._plan(service, scaling, state, now)
        while await self._send_next(scaled):
            pass

    def _list_scaled(self) -> list[tuple[Service, Scaling]]:
        services = self._fleet.routes.services.values()
        return [(s, s.scaling) for s in services if s.scaling is not None]

    def _follow_lease(self, now: timedelta) -> None:
        """Forget plans and orders of an earlier holder, be it this daemon itself."""
        fence = self._lease.fence
        if fence is not None and fence == self._fence:
            self._held_since = self._held_since or now
            return
        if fence is None and self._held_since is not None:
            _log("sizes are left to another host", fence=self._fence)
            self._forget_plans()
        if fence is not None:
            self._forget_plans()
            self._held_since, self._fence = now, fence

    def _forget_plans(self) -> None:
        self._held_since = None
        for name, state in self._services.items():
            for subject in state.orders:
                self._on_counts(name, subject, None, 0)
            state.plan, state.orders, state.short_since = None, {}, None
            state.is_planned = state.has_adopted = False

    # Plans

    def _plan(
        self, service: Service, scaling: Scaling, state: _ServiceState, now: timedelta
    ) -> None:
        """Update the plan of a service.

        Load pattern: a new holder, which waits for the targets that the last one
        ordered, unless others have left since.
        """
        assert self._held_since is not None
        counts = count_targets(state.observed, self._fleet, state.orders)
        takeover_time = scaling.start_time + TAKEOVER_LAG
        last_left = max((c.left_at for c in counts.values() if c.left_at), default=None)
        has_left = last_left is not None and now - last_left < takeover_time
        if now - self._held_since < takeover_time and not has_left:
            return
        known_time = demand_history.find_known_time(state.history, now)
        if known_time < sizes.MIN_KNOWN_TIME:
            return
        state.is_planned = True
        if state.plan is None:
            state.plan = SizePlan({}, self._held_since)
        if not state.has_adopted:
            state.plan.counts = {s: c.expected for s, c in counts.items() if c.expected}
        inputs = self._gather_inputs(service, scaling, state, counts, now)
        before = dict(state.plan.counts)
        why = sizes.update_plan(state.plan, inputs, known_time, now)
        if why is not None:
            state.has_adopted = True
            for subject in {*before, *state.plan.counts}:
                state.orders.setdefault(subject, SizeOrder())
            self._log_plan(service.name, state.plan, inputs, why)
        for subject in {*state.plan.counts, *counts}:
            there = counts.get(subject, SubjectCounts()).present
            wanted = state.plan.counts.get(subject, 0)
            self._on_counts(service.name, subject, wanted, there)

    def _gather_inputs(
        self,
        service: Service,
        scaling: Scaling,
        state: _ServiceState,
        counts: dict[Subject, SubjectCounts],
        now: timedelta,
    ) -> SizeInputs:
        targets = [t for t in self._fleet.targets.values() if t.service == service.name]
        if state.shared_at is None or now - state.shared_at >= SHARED_PERIOD:
            state.shared_tokens = count_shared_tokens(self._fleet, targets)
            state.shared_at = now
        rate = self._fleet.rates.get(service.name, PrefillRate()).busy_rate
        unavailable = size_orders.find_unavailable(state.orders.items(), now)
        domains = {*scaling.prices, *(domain for domain, _ in counts)}
        return SizeInputs(
            is_model=service.is_model,
            scaling=scaling,
            peak=demand_history.find_peak(state.history),
            domains=tuple(sorted(domains)),
            size=EngineSize(
                min((t.slots for t in targets), default=0), service.cache_tokens
            ),
            bursts=demand_history.find_bursts(state.history),
            shared_tokens=state.shared_tokens,
            shared_ms=state.shared_tokens / rate,
            window=demand_history.WINDOW,
            objective=self._find_objective(service.name),
            unavailable={
                s: counts.get(s, SubjectCounts()).expected for s in unavailable
            },
        )

    def _find_objective(self, service: str) -> timedelta:
        version, known = self._objectives
        if version != self._fleet.routes.version:
            known = {}
            self._objectives = (self._fleet.routes.version, known)
        if service not in known:
            known[service] = find_objective(self._fleet.routes, service)
        return known[service]

    def _log_plan(
        self, service: str, plan: SizePlan, inputs: SizeInputs, why: str
    ) -> None:
        alone_ms, growth_ms = inputs.peak.decode.fit()
        _log(
            "sizes are planned",
            service=service,
            why=why,
            counts=_describe_counts(plan.counts),
            unavailable=_describe_counts(dict(inputs.unavailable)),
            prefill_load=round(inputs.peak.prefill_load, 2),
            decode_rate=round(inputs.peak.decode_rate, 1),
            alone_ms=round(alone_ms),
            growth_ms=round(growth_ms, 2),
            bursts=[round(each, 2) for each in inputs.bursts],
            shared_tokens=inputs.shared_tokens,
            slots=inputs.size.slots,
            objective_ms=inputs.objective // sizes.MILLISECOND,
            fence=self._fence,
        )

    # Orders

    async def _send_next(self, scaled: list[tuple[Service, Scaling]]) -> bool:
        """Send the most urgent due order; return whether another one may follow."""
        now = self._clock.monotonic()
        if self._held_since is None or not size_orders.may_call(self._limits, now):
            return False
        due = [
            (count <= counts.present, order.failures, service.name, subject, count)
            for service, scaling in scaled
            for subject, count, order, counts in self._list_due(service, scaling, now)
        ]
        if not due:
            return False
        # More targets first; after a failure those of other subjects.
        _, _, name, subject, count = min(due)
        # Checked right before the call: this daemon may have been suspended.
        fence = self._lease.fence
        if fence is None or fence != self._fence:
            return False
        domain, reclaimable = subject
        outcome = await self._calls.order_size(name, domain, count, reclaimable)
        if outcome is None:
            return False
        size_orders.record_call(self._limits, now)
        now = self._clock.monotonic()
        size_orders.record_answer(self._limits, outcome, now)
        state = self._services.get(name)
        if state is None or subject not in state.orders:
            return False
        order = state.orders[subject]
        size_orders.record_outcome(order, count, outcome, now)
        _log(
            "size is ordered",
            service=name,
            domain=domain,
            reclaimable=reclaimable,
            count=count,
            fence=fence,
            outcome=outcome.value,
            next_ms=max(order.next_at - now, timedelta(0)) // sizes.MILLISECOND,
        )
        if outcome is not CallOutcome.ACCEPTED:
            service = self._fleet.routes.services.get(name)
            if service is not None and service.scaling is not None:
                self._plan(service, service.scaling, state, now)
        return True

    def _list_due(
        self, service: Service, scaling: Scaling, now: timedelta
    ) -> list[tuple[Subject, int, SizeOrder, SubjectCounts]]:
        """Return the due orders of a service.

        Targets are released once those that replace them are there, and not while so
        many engines change their role that those left may be too few.
        """
        state = self._services.get(service.name)
        # Until this daemon adopts a plan, the counts only follow the entries.
        if state is None or state.plan is None or not state.has_adopted:
            return []
        counts = count_targets(state.observed, self._fleet, state.orders)
        goals = state.plan.counts
        for subject in {*goals, *counts}:
            state.orders.setdefault(subject, SizeOrder())
        blocked = self._list_blocked(scaling, state, counts)
        is_short = any(
            counts.get(subject, SubjectCounts()).present < goal
            for subject, goal in goals.items()
            if subject not in blocked
        )
        changing = sum(
            t.state is TargetState.CHANGING and t.service == service.name
            for t in self._fleet.targets.values()
        )
        if state.plan.need is not None and changing:
            left = sum(goals.values()) - changing
            is_short = is_short or left < state.plan.need[1].reduced
        state.short_since = (state.short_since or now) if is_short else None
        may_release = not is_short or now - (state.short_since or now) > MAX_SHORTAGE
        due = []
        for subject, order in state.orders.items():
            goal, there = goals.get(subject, 0), counts.get(subject, SubjectCounts())
            other = (subject[0], not subject[1])
            if other in blocked:
                # Only as many are released as make room for the others.
                goal = max(goal, scaling.max_targets - goals[other])
            elif subject in blocked or (goal < there.present and not may_release):
                continue
            if size_orders.is_due(order, goal, there, scaling.start_time, now):
                due.append((subject, goal, order, there))
        return due

    def _list_blocked(
        self,
        scaling: Scaling,
        state: _ServiceState,
        counts: dict[Subject, SubjectCounts],
    ) -> set[Subject]:
        """Return the subjects that have to wait until others of their domain left.

        Both kinds together are bounded in each domain.
        """
        assert state.plan is not None
        blocked = set()
        for (domain, reclaimable), goal in state.plan.counts.items():
            there = counts.get((domain, reclaimable), SubjectCounts()).expected
            other = (domain, not reclaimable)
            order = state.orders.get(other, SizeOrder())
            others = max(
                counts.get(other, SubjectCounts()).expected, order.accepted or 0
            )
            if goal > there and goal + others > scaling.max_targets:
                blocked.add((domain, reclaimable))
        return blocked


def find_objective(table: RouteTable, service: str) -> timedelta:
    """Return the shortest latency objective of the most urgent routes to a service."""
    routes = [
        (route.rank, route.latency_objective)
        for rows in table.routes.values()
        for route in rows
        if any(name == service and weight for name, weight in route.split)
    ]
    return min(routes, default=(0, DEFAULT_OBJECTIVE))[1]


def _describe_counts(counts: dict[Subject, int]) -> dict[str, int]:
    return {
        f"{domain} {'reclaimable' if reclaimable else 'fixed'}": number
        for (domain, reclaimable), number in sorted(counts.items())
    }
