"""Get places at targets for this daemon's requests, from whoever schedules."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding.asks import Ask, End, Grant, Outcome
from galenapass.forwarding.datagrams import Message, Refusal, Waits
from galenapass.forwarding.places import Place
from galenapass.forwarding.scheduling import Scheduler
from galenapass.logs import make_log
from galenapass.verdicts import Verdict

__all__ = ["Duties", "Placing"]

# A scheduler of the same domain answers within a few milliseconds; hosts whose
# processor is a quota stand still for a part of each tenth of a second.
FIRST_ANSWER = timedelta(milliseconds=80)
# An ask that waits is asked again this often, in case its answer was lost.
REMINDER = timedelta(milliseconds=150)
# Reminders without an answer after which a scheduler is given up.
MOST_REMINDERS = 2
# Schedulers that are asked before this daemon schedules for itself.
MOST_ASKED = 2

_log = make_log("placing")


class Duties(Protocol):
    """Tell who schedules for this daemon."""

    @property
    def is_on(self) -> bool:
        """Tell whether this daemon schedules itself."""

    def list_schedulers(self) -> list[str]:
        """Return the hosts to ask, best first."""

    def note_silent(self, host: str) -> None:
        """Take in that a host did not answer an ask."""

    def take_over(self) -> Coroutine[Any, Any, None]:
        """Schedule for this daemon itself, as nobody else answers."""


@dataclass(slots=True)
class _Asked:
    """Hold an ask that was sent to another host until its answer is here."""

    answer: asyncio.Future[Result[Grant, Verdict]]
    heard: asyncio.Event = field(default_factory=asyncio.Event)


class Placing:
    """Hold the asks of this daemon that are not answered yet.

    ``send`` sends a message to a host by its name.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        duties: Duties,
        send: Callable[[str, Message], None],
        clock: Clock,
    ):
        self._scheduler = scheduler
        self._duties = duties
        self._send = send
        self._clock = clock
        self._asked: dict[tuple[str, str], _Asked] = {}

    async def place(self, ask: Ask) -> Result[Place, Verdict]:
        """Return a place for a request, or why it gets none."""
        if not self._duties.is_on:
            for host in self._duties.list_schedulers()[:MOST_ASKED]:
                answer = await self._ask_host(host, ask)
                if answer is not None:
                    return answer
                self._duties.note_silent(host)
                _log("scheduler does not answer", host=host, request=ask.request)
            await self._duties.take_over()
        return await self._ask_here(ask)

    def hear(self, host: str, message: Grant | Refusal | Waits) -> None:
        """Take in what a scheduler says to an ask of this daemon."""
        asked = self._asked.get((host, message.ticket))
        if asked is None:
            if isinstance(message, Grant):
                # Its ask was given up; the place is not needed.
                self._send(host, End(message.ticket, Outcome.CANCELLED))
            return
        asked.heard.set()
        if isinstance(message, Waits) or asked.answer.done():
            return
        if isinstance(message, Refusal):
            asked.answer.set_result(Err(message.verdict))
        else:
            asked.answer.set_result(Ok(message))

    async def _ask_here(self, ask: Ask) -> Result[Place, Verdict]:
        answer: asyncio.Future[Result[Grant, Verdict]]
        answer = asyncio.get_running_loop().create_future()

        def take(result: Result[Grant, Verdict]) -> None:
            if not answer.done():
                answer.set_result(result)

        self._scheduler.ask(ask, take)
        try:
            result = await answer
        except asyncio.CancelledError:
            self._scheduler.end(End(ask.ticket, Outcome.CANCELLED))
            raise
        return result.map(lambda grant: Place(grant, self._clock, self._scheduler.end))

    async def _ask_host(self, host: str, ask: Ask) -> Result[Place, Verdict] | None:
        """Return the answer of another host, or None if it does not answer."""
        asked = _Asked(asyncio.get_running_loop().create_future())
        self._asked[host, ask.ticket] = asked
        try:
            result = await self._await_answer(host, ask, asked)
        except asyncio.CancelledError:
            self._send(host, End(ask.ticket, Outcome.CANCELLED))
            raise
        finally:
            del self._asked[host, ask.ticket]
        if result is None:
            self._send(host, End(ask.ticket, Outcome.CANCELLED))
            return None

        def give_back(end: End) -> None:
            self._send(host, end)

        return result.map(lambda grant: Place(grant, self._clock, give_back))

    async def _await_answer(
        self, host: str, ask: Ask, asked: _Asked
    ) -> Result[Grant, Verdict] | None:
        wait, silent = FIRST_ANSWER, 0
        while silent < MOST_REMINDERS:
            asked.heard.clear()
            self._send(host, ask)
            done, _ = await asyncio.wait((asked.answer,), timeout=wait.total_seconds())
            if done:
                return asked.answer.result()
            silent = 0 if asked.heard.is_set() else silent + 1
            wait = REMINDER if asked.heard.is_set() else FIRST_ANSWER
        return None
