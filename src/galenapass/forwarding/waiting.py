"""Keep requests waiting until an engine reads them, or refuse them at once."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import admission, placement
from galenapass.forwarding.fleet import Fleet, note_parts
from galenapass.forwarding.loads import Load, Read
from galenapass.forwarding.placement import Choice
from galenapass.forwarding.requests import Forwarded
from galenapass.tables.targets import Target
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["ReadingQueue", "Reservation"]

# Deadlines pass without an event, so the queue is looked at this often.
PERIOD = timedelta(milliseconds=50)


class Reservation:
    """Hold an engine's time for one prompt until ``end`` gives it back."""

    __slots__ = ("_load", "_on_end", "choice")

    def __init__(self, choice: Choice, load: Load, on_end: Callable[[], None]):
        self.choice = choice
        self._load: Load | None = load
        self._on_end = on_end
        load.prompts += 1
        load.work_ms += choice.cost_ms

    def end(self) -> None:
        """Give the time back; a second call does nothing."""
        load, self._load = self._load, None
        if load is None:
            return
        load.prompts -= 1
        load.work_ms = max(load.work_ms - self.choice.cost_ms, 0.0)
        if not load.prompts:
            load.work_ms = 0.0
        self._on_end()


@dataclass(slots=True)
class _Waiter:
    request: Forwarded
    started: asyncio.Future[Result[Reservation, Verdict]]


class ReadingQueue:
    """Hold the requests of this daemon whose prompts wait to be read.

    ``on_read`` is told which parts a target begins to read.
    """

    __slots__ = (
        "_clock",
        "_due",
        "_fleet",
        "_on_read",
        "_random",
        "_timer",
        "_waiters",
    )

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        random: Random,
        on_read: Callable[[Target, tuple[Read, ...]], None],
    ):
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._on_read = on_read
        self._waiters: dict[str, _Waiter] = {}
        self._due = False
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, request: Forwarded) -> Result[Reservation, Verdict]:
        """Wait for an engine's time, or return why it cannot be had in time."""
        started = asyncio.get_running_loop().create_future()
        waiter = _Waiter(request, started)
        self._waiters[request.id] = waiter
        self.wake()
        try:
            return await started
        except asyncio.CancelledError:
            if started.done() and not started.cancelled():
                outcome = started.result()
                if isinstance(outcome, Ok):
                    outcome.ok_value.end()
            raise
        finally:
            self._waiters.pop(request.id, None)

    def wake(self) -> None:
        """Look at the queue once this turn of the loop is over."""
        if not self._due:
            self._due = True
            asyncio.get_running_loop().call_soon(self._step)

    def note_parts(
        self, target: Target, parts: tuple[Read, ...], now: timedelta
    ) -> None:
        """Count on the parts that a target begins to read, and tell the peers."""
        note_parts(self._fleet, target, parts, now)
        self._on_read(target, parts)

    def _step(self) -> None:
        self._due = False
        now = self._clock.monotonic()
        waiting = [w.request for w in self._waiters.values() if not w.started.done()]
        # A choice holds until a prompt is started, which changes the tables.
        chosen: dict[str, Choice | None] = {}

        def choose(request: Forwarded) -> Choice | None:
            if request.id not in chosen:
                chosen[request.id] = self._choose(request, now)
            return chosen[request.id]

        left = []
        for request in admission.order_waiting(waiting, choose, now):
            if self._try_start(request, choose(request), now):
                chosen.clear()
            else:
                left.append(request)
        for request in admission.find_hopeless(left, choose, now):
            self._refuse(request, choose(request), now)
        self._set_timer(bool(left))

    def _try_start(
        self, request: Forwarded, choice: Choice | None, now: timedelta
    ) -> bool:
        if choice is None:
            self._settle(request, Err(_NO_ENGINE))
            return True
        load = self._fleet.load_of(choice.target)
        if admission.is_hopeless(request, choice.finish_ms, now):
            return False
        if not admission.has_room(load):
            return False
        # A second prompt with the same parts waits for the first read.
        self.note_parts(choice.target, request.parts, now)
        self._settle(request, Ok(Reservation(choice, load, self.wake)))
        return True

    def _choose(self, request: Forwarded, now: timedelta) -> Choice | None:
        assert request.prompt is not None
        targets = self._fleet.targets.values()
        fit = placement.list_fit(targets, request.service, None, request.tried)
        donors = [t for t in targets if t.service == request.service]
        return placement.choose_reader(
            fit, request.prompt, request.reads, self._fleet.view(now), donors
        )

    def _refuse(
        self, request: Forwarded, choice: Choice | None, now: timedelta
    ) -> None:
        backlog = choice.finish_ms if choice else 0.0
        after = admission.suggest_return(request, backlog, now, self._random)
        left = (request.deadline - now) // timedelta(milliseconds=1)
        detail = f"{backlog:.0f} ms of work for {left} ms left"
        verdict = Verdict(Run.NOT_RUN, Reason.OVERLOADED, detail, after)
        self._settle(request, Err(verdict))

    def _settle(
        self, request: Forwarded, outcome: Result[Reservation, Verdict]
    ) -> None:
        started = self._waiters[request.id].started
        if not started.done():
            started.set_result(outcome)

    def _set_timer(self, waits: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if waits:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(PERIOD.total_seconds(), self.wake)


_NO_ENGINE = Verdict(
    Run.NOT_RUN, Reason.NO_TARGET, "no engine serves", timedelta(milliseconds=500)
)
