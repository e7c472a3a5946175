"""Ask engines that refuse work which role they have by now."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Protocol

from result import Err, Result

from galenapass.clocks import Clock
from galenapass.forwarding import loads
from galenapass.forwarding.fleet import Fleet, apply_target
from galenapass.forwarding.target_messages import EngineState
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target, TargetState
from galenapass.verdicts import Verdict

__all__ = ["EngineStateTracker", "EngineStateClient", "judge_state"]

# A full engine refuses often, and each question is one more request that it answers.
CHECK_PERIOD = timedelta(seconds=1)
# An engine that changes its role is back after 3 to 4 s on the deployments' sheets.
CHANGE_PERIOD = timedelta(milliseconds=500)
MOST_CHECKS = 40
# What an engine says of itself is up to 0.1 s old on the deployments' sheets; a new
# entry in the store is newer than a state that comes so soon after it.
ENTRY_LEAD = timedelta(milliseconds=500)
# A report does not show an order before this time.
ORDER_LEAD = timedelta(milliseconds=600)
# A change of a role that no entry told of by then is asked about.
LONG_CHANGE = timedelta(seconds=6)
# Engines that do not answer are asked one by one: a client that is refused comes
# back about as soon.
RETEST_TIME = timedelta(milliseconds=300)

_log = make_log("state")


class EngineStateClient(Protocol):
    """Ask engines for their state."""

    async def fetch_state(self, target: Target) -> Result[EngineState, Verdict]:
        """Return what an engine says of itself."""


def judge_state(known: Target, state: EngineState) -> Target | None:
    """Return a target as its engine describes itself, or None if nothing differs.

    Load pattern: a domain that is cut off from the store while an engine in it
    changes its role, which no entry shows until the cut ends.
    """
    if state.incarnation != known.incarnation or known.state is TargetState.LEAVING:
        return None
    step = TargetState.CHANGING if state.changing else TargetState.SERVING
    is_known = state.changing and known.state is TargetState.CHANGING
    # An engine that still ends its work names its old role.
    role = known.role if is_known else state.role
    told = replace(known, role=role, state=step)
    return told if told != known else None


class EngineStateTracker:
    """Keep the table of targets true to its engines; ``on_change`` hears of changes."""

    __slots__ = ("_calls", "_clock", "_fleet", "_on_change", "_retested_at")

    def __init__(
        self,
        fleet: Fleet,
        calls: EngineStateClient,
        clock: Clock,
        on_change: Callable[[], None],
    ):
        self._fleet = fleet
        self._calls = calls
        self._clock = clock
        self._on_change = on_change
        self._retested_at: timedelta | None = None

    async def check(self, target: Target) -> None:
        """Ask an engine that refused a request, until it has settled on a role."""
        load = self._fleet.load_of(target)
        now = self._clock.monotonic()
        if load.asked_at is not None and now - load.asked_at < CHECK_PERIOD:
            return
        load.asked_at = now
        await self._follow(target)

    async def track_order(self, target: Target, role: Role, *, own: bool) -> None:
        """Take an engine for changing that accepted an order, until it serves again.

        Load pattern: an order under load, while every other daemon sends on to the
        engine. Whoever gave the order asks how it goes on; the others hear of it by
        the engine's entry, and ask only if that does not come.
        """
        known = self._fleet.targets.get(target.id)
        if known is None or known.role is role:
            return
        changing = replace(known, role=role, state=TargetState.CHANGING)
        apply_target(self._fleet, changing, self._clock.monotonic())
        self._on_change()
        await asyncio.sleep((ORDER_LEAD if own else LONG_CHANGE).total_seconds())
        if self._is_changing(target.id):
            await self._follow(target)

    async def _follow(self, target: Target) -> None:
        """Ask an engine now, and on as long as it changes its role."""
        for _ in range(MOST_CHECKS):
            await asyncio.sleep(self._lead_left(target.id).total_seconds())
            state = await self._ask(target)
            if isinstance(state, Err):
                why = str(state.err_value)
                _log("engine does not tell its role", target=target.id, why=why)
            else:
                self._take(target.id, state.ok_value)
            if not self._is_changing(target.id):
                return
            await asyncio.sleep(CHANGE_PERIOD.total_seconds())
        self._end_change(target.id)

    async def probe_unreachable(self, targets: list[Target]) -> None:
        """Ask one of the engines that did not answer whether it answers again.

        A request would find out as well, but at the cost of a client's time.
        """
        now = self._clock.monotonic()
        last = self._retested_at
        if not targets or (last is not None and now - last < RETEST_TIME):
            return
        self._retested_at = now
        target = min(targets, key=self._find_asked)
        state = await self._ask(target)
        now = self._clock.monotonic()
        does_answer = not isinstance(state, Err)
        loads.record_reachability(
            self._fleet.load_of(target).failures, does_answer, now
        )
        loads.record_reachability(
            self._fleet.domain_failures_of(target), does_answer, now
        )
        _log("engine is asked again", target=target.id, does_answer=does_answer)
        if isinstance(state, Err):
            return
        self._take(target.id, state.ok_value)
        self._on_change()
        if self._is_changing(target.id):
            await self._follow(target)

    async def _ask(self, target: Target) -> Result[EngineState, Verdict]:
        self._fleet.load_of(target).asked_at = self._clock.monotonic()
        return await self._calls.fetch_state(target)

    def _find_asked(self, target: Target) -> timedelta:
        """Return when an engine was last asked, or the beginning of time."""
        asked_at = self._fleet.load_of(target).asked_at
        return timedelta.min if asked_at is None else asked_at

    def _is_changing(self, name: str) -> bool:
        known = self._fleet.targets.get(name)
        return known is not None and known.state is TargetState.CHANGING

    def _lead_left(self, name: str) -> timedelta:
        """Return how long an engine's entry is still newer than what it says."""
        entered_at = self._fleet.entered_at.get(name)
        if entered_at is None:
            return timedelta(0)
        left = entered_at + ENTRY_LEAD - self._clock.monotonic()
        return max(left, timedelta(0))

    def _end_change(self, name: str) -> None:
        """Count on an engine again that did not tell of the end of its change."""
        known = self._fleet.targets.get(name)
        if known is None:
            return
        self._fleet.targets[name] = replace(known, state=TargetState.SERVING)
        _log("engine is taken to have changed its role", target=name)
        self._on_change()

    def _take(self, name: str, state: EngineState) -> None:
        now = self._clock.monotonic()
        if self._lead_left(name):
            return
        known = self._fleet.targets.get(name)
        told = judge_state(known, state) if known is not None else None
        if told is None:
            return
        effect = apply_target(self._fleet, told, now)
        _log("engine tells its role", target=name, effect=effect, orders=state.orders)
        self._on_change()
