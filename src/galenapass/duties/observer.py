"""Observe targets: read their load and whether they still take work."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from functools import partial

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.systems import estimates, targets
from galenapass.systems.role_planning import record_role
from galenapass.tables.targets import LoadReport, Role, Target, TargetKind, TargetState
from galenapass.tables.world import World
from galenapass.targets.engines import EngineState
from galenapass.verdicts import Verdict

__all__ = ["Observer"]

PERIOD = timedelta(milliseconds=500)
# Readings of the load for each reading of the role, which seldom changes unasked.
STATE_TURNS = 10
SERVING = "serving"

_log = make_log("observer")

FetchLoad = Callable[[str], Awaitable[Result[LoadReport, Verdict]]]
FetchState = Callable[[str], Awaitable[Result[EngineState, Verdict]]]
FetchReady = Callable[[str], Awaitable[Result[bool, Verdict]]]


class Observer:
    """Read the observed targets once a period and take their news in."""

    __slots__ = (
        "_clock",
        "_fetch_load",
        "_fetch_ready",
        "_fetch_state",
        "_open",
        "_select",
        "_publish",
        "_turns",
        "_world",
    )

    def __init__(
        self,
        world: World,
        clock: Clock,
        fetch_load: FetchLoad,
        fetch_state: FetchState,
        fetch_ready: FetchReady,
        select: Callable[[], Iterable[Target]],
        publish: Callable[[Target], None],
    ):
        self._world = world
        self._clock = clock
        self._fetch_load = fetch_load
        self._fetch_state = fetch_state
        self._fetch_ready = fetch_ready
        self._select = select
        self._publish = publish
        self._open: dict[str, asyncio.Task[None]] = {}
        self._turns = 0

    async def observe(self) -> bool:
        """Begin to read every observed target, but for those still being read.

        A target that answers late or never holds back no reading of another.
        """
        self._turns += 1
        for target in list(self._select()):
            if target.id not in self._open:
                task = asyncio.create_task(self._observe_one(target))
                self._open[target.id] = task
                task.add_done_callback(partial(self._note_end, target.id))
        return True

    async def stop(self) -> None:
        """Give up what is being read."""
        for task in self._open.values():
            task.cancel()
        await asyncio.gather(*self._open.values(), return_exceptions=True)

    def _note_end(self, name: str, task: asyncio.Task[None]) -> None:
        del self._open[name]

    async def _observe_one(self, target: Target) -> None:
        ready = await self._fetch_ready(target.address)
        if isinstance(ready, Ok):
            self._note_readiness(target, ready.ok_value)
        if target.kind is TargetKind.ENGINE:
            await self._read_load(target)
            if self._turns % STATE_TURNS == 1:
                await self._read_role(target)

    def _note_readiness(self, target: Target, ready: bool) -> None:
        if targets.record_readiness(self._world, target, ready):
            _log(f"target is {target.state.value} now", target=target.id)
            self._publish(target)

    async def _read_role(self, target: Target) -> None:
        """Believe the engine itself about its role, once no order is under way."""
        found = await self._fetch_state(target.address)
        if isinstance(found, Err) or found.ok_value.phase != SERVING:
            return
        if target.state is TargetState.SERVING:
            now = self._clock.monotonic()
            record_role(self._world, target.id, Role(found.ok_value.role), now)

    async def _read_load(self, target: Target) -> None:
        report = await self._fetch_load(target.address)
        if isinstance(report, Err):
            return
        if not estimates.is_newer(target, report.ok_value):
            return
        estimates.apply_load_report(target, report.ok_value, self._clock.monotonic())
        self._publish(target)
