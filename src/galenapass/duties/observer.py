"""Poll the load, role and readiness of targets."""

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
# The load is read every round; the role seldom changes without an order.
ROUNDS_PER_ROLE_READ = 10
SERVING = "serving"

_log = make_log("observer")

FetchLoad = Callable[[str], Awaitable[Result[LoadReport, Verdict]]]
FetchState = Callable[[str], Awaitable[Result[EngineState, Verdict]]]
FetchReady = Callable[[str], Awaitable[Result[bool, Verdict]]]


class Observer:
    """Poller of the observed targets that applies and publishes their changes."""

    __slots__ = (
        "_clock",
        "_fetch_load",
        "_fetch_ready",
        "_fetch_state",
        "_publish",
        "_reads",
        "_rounds",
        "_select",
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
        self._reads: dict[str, asyncio.Task[None]] = {}
        self._rounds = 0

    async def observe(self) -> bool:
        """Start reading every observed target that is not still being read.

        A target that answers late or never does not delay the others.
        """
        self._rounds += 1
        for target in list(self._select()):
            if target.id not in self._reads:
                task = asyncio.create_task(self._observe_one(target))
                self._reads[target.id] = task
                task.add_done_callback(partial(self._remove_read, target.id))
        return True

    async def stop(self) -> None:
        """Cancel the reads in progress."""
        for task in self._reads.values():
            task.cancel()
        await asyncio.gather(*self._reads.values(), return_exceptions=True)

    def _remove_read(self, name: str, task: asyncio.Task[None]) -> None:
        del self._reads[name]

    async def _observe_one(self, target: Target) -> None:
        ready = await self._fetch_ready(target.address)
        if isinstance(ready, Ok):
            self._apply_readiness(target, ready.ok_value)
        if target.kind is TargetKind.ENGINE:
            await self._read_load(target)
            if self._rounds % ROUNDS_PER_ROLE_READ == 1:
                await self._read_role(target)

    def _apply_readiness(self, target: Target, ready: bool) -> None:
        if targets.record_readiness(self._world, target, ready):
            _log(f"target is {target.state.value} now", target=target.id)
            self._publish(target)

    async def _read_role(self, target: Target) -> None:
        """Record the role that the engine reports, unless it is being changed."""
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
