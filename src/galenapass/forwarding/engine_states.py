"""Query engines that refuse work or change for their current role and state."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Protocol

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import loads
from galenapass.forwarding.fleet import Fleet, record_change, update_target
from galenapass.forwarding.target_messages import EngineState
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target, TargetState
from galenapass.verdicts import Verdict

__all__ = ["EngineStateClient", "EngineStateTracker", "merge_engine_state"]

# A full engine refuses often, and each query is one more request that it answers.
CHECK_PERIOD = timedelta(seconds=1)
# An engine that changes its role is back after 3 to 4 s on the deployments.
CHANGE_POLL_PERIOD = timedelta(milliseconds=500)
MAX_STATE_QUERIES = 40
# The state that an engine reports is up to 0.1 s old on the deployments, so a state
# that arrives this soon after a new entry in the store may be older than the entry.
ENTRY_LEAD = timedelta(milliseconds=500)
# An engine's reported state may not show an order before this time.
ORDER_REPORT_DELAY = timedelta(milliseconds=600)
# An engine whose entry does not show the end of a change by then is queried.
ENTRY_TIMEOUT = timedelta(seconds=6)
# Engines that do not answer are probed one at a time; refused clients retry about as
# often.
PROBE_INTERVAL = timedelta(milliseconds=300)

_log = make_log("state")


class EngineStateClient(Protocol):
    """Client that queries the state of engines."""

    async def fetch_state(self, target: Target) -> Result[EngineState, Verdict]:
        """Return the state that an engine reports."""


def merge_engine_state(known: Target, state: EngineState) -> Target | None:
    """Return a target updated to its engine's state, or None if nothing differs.

    Load pattern: a domain that is cut off from the store while an engine in it
    changes its role, which no entry shows until the cut ends.
    """
    if state.incarnation != known.incarnation or known.state is TargetState.LEAVING:
        return None
    new_state = TargetState.CHANGING if state.changing else TargetState.SERVING
    is_still_changing = state.changing and known.state is TargetState.CHANGING
    # An engine that still finishes its work reports its old role.
    role = known.role if is_still_changing else state.role
    updated = replace(known, role=role, state=new_state)
    return updated if updated != known else None


class EngineStateTracker:
    """Tracker of engine states that keeps the target table current.

    ``on_change`` is called after each change of the table.
    """

    __slots__ = ("_client", "_clock", "_fleet", "_on_change", "_probed_at")

    def __init__(
        self,
        fleet: Fleet,
        client: EngineStateClient,
        clock: Clock,
        on_change: Callable[[], None],
    ):
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self._on_change = on_change
        self._probed_at: timedelta | None = None

    async def check(self, target: Target) -> None:
        """Query an engine that refused a request, until its role is settled."""
        load = self._fleet.load_of(target)
        now = self._clock.monotonic()
        if load.queried_at is not None and now - load.queried_at < CHECK_PERIOD:
            return
        load.queried_at = now
        await self._poll_change(target)

    async def track_order(self, target: Target, role: Role, *, own: bool) -> None:
        """Mark an engine that accepted an order as changing until it serves again.

        Load pattern: an order under load, while every other daemon still sends to the
        engine. The daemon that sent the order (``own``) queries the engine; the other
        ones wait for its entry in the store, and query it only if that does not come.
        """
        known = self._fleet.targets.get(target.id)
        if known is None or known.role is role or known.state is TargetState.LEAVING:
            return
        changing = replace(known, role=role, state=TargetState.CHANGING)
        now = self._clock.monotonic()
        update_target(self._fleet, changing, now)
        record_change(self._fleet, changing, now)
        self._on_change()
        await asyncio.sleep(
            (ORDER_REPORT_DELAY if own else ENTRY_TIMEOUT).total_seconds()
        )
        if self._is_changing(target.id):
            await self._poll_change(target)

    async def _poll_change(self, target: Target) -> None:
        """Query an engine now, and repeatedly while it changes its role."""
        for _ in range(MAX_STATE_QUERIES):
            await asyncio.sleep(self._find_entry_lead(target.id).total_seconds())
            state = await self._fetch_state(target)
            if isinstance(state, Err):
                why = str(state.err_value)
                _log("engine state query failed", target=target.id, why=why)
            else:
                self._apply_state(target.id, state.ok_value)
            if not self._is_changing(target.id):
                return
            await asyncio.sleep(CHANGE_POLL_PERIOD.total_seconds())
        self._assume_changed(target.id)

    async def probe_unreachable(self, targets: list[Target]) -> None:
        """Query one of the engines that did not answer, to detect that it is back.

        A client's request would detect this as well, but would be delayed by it.
        """
        now = self._clock.monotonic()
        last = self._probed_at
        if not targets or (last is not None and now - last < PROBE_INTERVAL):
            return
        self._probed_at = now
        target = min(targets, key=self._find_queried_at)
        state = await self._fetch_state(target)
        now = self._clock.monotonic()
        is_reachable = not isinstance(state, Err)
        load = self._fleet.load_of(target)
        domain_failures = self._fleet.domain_failures_of(target)
        if is_reachable:
            loads.record_reachability(load.failures, True, now)
            loads.record_reachability(domain_failures, True, now)
        else:
            loads.record_miss(load, domain_failures, now)
        _log("engine is probed", target=target.id, is_reachable=is_reachable)
        if isinstance(state, Err):
            return
        self._apply_state(target.id, state.ok_value)
        self._on_change()
        if self._is_changing(target.id):
            await self._poll_change(target)

    async def confirm_silence(
        self, targets: list[Target], silence: timedelta = timedelta(0)
    ) -> None:
        """Query engines whose answers are silent, or that another host cannot reach.

        A failure tells nothing about their domain, as it may be a crash.
        """
        for target in targets:
            state = await self._fetch_state(target, silence)
            if isinstance(state, Ok):
                self._apply_state(target.id, state.ok_value)

    async def _fetch_state(
        self, target: Target, silence: timedelta = timedelta(0)
    ) -> Result[EngineState, Verdict]:
        """Query an engine whose answers have been silent for a time."""
        queried_at = self._clock.monotonic()
        self._fleet.load_of(target).queried_at = queried_at
        state = await self._client.fetch_state(target)
        now, load = self._clock.monotonic(), self._fleet.load_of(target)
        if isinstance(state, Ok):
            loads.record_reach(load, now)
        else:
            loads.record_silence(load, now, now - queried_at + silence)
        return state

    def _find_queried_at(self, target: Target) -> timedelta:
        """Return when an engine was last queried, the minimum time if never."""
        queried_at = self._fleet.load_of(target).queried_at
        return timedelta.min if queried_at is None else queried_at

    def _is_changing(self, name: str) -> bool:
        known = self._fleet.targets.get(name)
        return known is not None and known.state is TargetState.CHANGING

    def _find_entry_lead(self, name: str) -> timedelta:
        """Return for how long an engine's entry still overrides its reported state."""
        entry_changed_at = self._fleet.entry_changed_at.get(name)
        if entry_changed_at is None:
            return timedelta(0)
        left = entry_changed_at + ENTRY_LEAD - self._clock.monotonic()
        return max(left, timedelta(0))

    def _assume_changed(self, name: str) -> None:
        """Mark an engine as serving that never reported the end of its change."""
        known = self._fleet.targets.get(name)
        if known is None or known.state is not TargetState.CHANGING:
            return
        self._fleet.targets[name] = replace(known, state=TargetState.SERVING)
        _log("engine role change is assumed complete", target=name)
        self._on_change()

    def _apply_state(self, name: str, state: EngineState) -> None:
        now = self._clock.monotonic()
        if self._find_entry_lead(name):
            return
        known = self._fleet.targets.get(name)
        updated = merge_engine_state(known, state) if known is not None else None
        if updated is None:
            return
        effect = update_target(self._fleet, updated, now)
        _log("engine state is applied", target=name, effect=effect, orders=state.orders)
        self._on_change()
