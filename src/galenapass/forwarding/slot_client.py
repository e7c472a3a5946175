"""Get places at targets for this daemon's requests, from whoever schedules."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding.datagrams import PeerMessage, SlotPending, SlotRefusal
from galenapass.forwarding.scheduling import Scheduler
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.logs import make_log
from galenapass.verdicts import Verdict

__all__ = ["Duties", "Slot", "SlotClient"]

# A scheduler of the same domain answers within a few milliseconds; hosts whose
# processor is a quota stand still for a part of each tenth of a second.
FIRST_REPLY_TIMEOUT = timedelta(milliseconds=80)
# An ask that waits is asked again this often, in case its answer was lost.
REMINDER = timedelta(milliseconds=150)
# Asked schedulers none of which was heard for so long are given up.
SCHEDULER_TIMEOUT = timedelta(milliseconds=400)
# Schedulers that are asked before this daemon schedules for itself.
MOST_ASKED = 2

MILLISECOND = timedelta(milliseconds=1)

_log = make_log("placing")


class Slot:
    """Hold a place until ``end`` gives it back through ``give_back``.

    ``stage`` is what the place was asked for.
    """

    __slots__ = (
        "_clock",
        "_first_at",
        "_give_back",
        "_is_ended",
        "_stage",
        "_started",
        "grant",
    )

    def __init__(
        self,
        grant: Grant,
        stage: Stage,
        clock: Clock,
        give_back: Callable[[SlotRelease], None],
    ):
        self.grant = grant
        self._stage = stage
        self._clock = clock
        self._give_back = give_back
        self._started = clock.monotonic()
        self._first_at: timedelta | None = None
        self._is_ended = False

    def record_output(self) -> None:
        """Take note of output; the first one ends the reading of a prompt."""
        if self._first_at is not None or self._is_ended:
            return
        self._first_at = self._clock.monotonic()
        if self._stage is Stage.PREFILL:
            self._give_back(
                SlotRelease(self.grant.ticket, Outcome.DONE, is_prefill_only=True)
            )

    def end(self, outcome: Outcome, events: int = 0) -> None:
        """Give the place back after so many events; a second call does nothing."""
        if self._is_ended:
            return
        self._is_ended = True
        now = self._clock.monotonic()
        took = (now - self._started) / MILLISECOND
        first = ((self._first_at or now) - self._started) / MILLISECOND
        self._give_back(
            SlotRelease(self.grant.ticket, outcome, took, first, False, events)
        )


class Duties(Protocol):
    """Tell who schedules for this daemon."""

    @property
    def is_scheduler(self) -> bool:
        """Tell whether this daemon schedules itself."""

    def list_schedulers(self) -> list[str]:
        """Return the hosts to ask, best first."""

    def record_unanswered(self, host: str) -> None:
        """Take in that a host did not answer an ask."""

    def take_over(self) -> Coroutine[Any, Any, None]:
        """Schedule for this daemon itself, as nobody else answers."""


@dataclass(slots=True)
class _Asked:
    """Hold an ask until its answer is here: who was asked, and heard at all."""

    answer: asyncio.Future[tuple[str, Result[Grant, Verdict]]]
    hosts: list[str] = field(default_factory=list)
    heard: set[str] = field(default_factory=set)


class SlotClient:
    """Hold the asks of this daemon that are not answered yet.

    ``send`` sends a message to a host by its name.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        duties: Duties,
        send: Callable[[str, PeerMessage], None],
        clock: Clock,
    ):
        self._scheduler = scheduler
        self._duties = duties
        self._send = send
        self._clock = clock
        self._asked: dict[str, _Asked] = {}

    async def acquire(self, slot_request: SlotRequest) -> Result[Slot, Verdict]:
        """Return a place for a request, or why it gets none."""
        if self._duties.is_scheduler:
            return await self._ask_here(slot_request)
        answer = await self._ask_others(slot_request)
        if answer is not None:
            return answer
        if not self._duties.list_schedulers():
            await self._duties.take_over()
        return await self._ask_here(slot_request)

    def apply_reply(
        self, host: str, message: Grant | SlotRefusal | SlotPending
    ) -> None:
        """Take in what a scheduler says to an ask of this daemon."""
        asked = self._asked.get(message.ticket)
        if asked is None or asked.answer.done():
            if isinstance(message, Grant):
                # Another one was faster, or its ask was given up.
                self._send(host, SlotRelease(message.ticket, Outcome.CANCELLED))
            return
        asked.heard.add(host)
        if isinstance(message, SlotRefusal):
            asked.answer.set_result((host, Err(message.verdict)))
        elif isinstance(message, Grant):
            asked.answer.set_result((host, Ok(message)))

    async def _ask_here(self, slot_request: SlotRequest) -> Result[Slot, Verdict]:
        answer: asyncio.Future[Result[Grant, Verdict]]
        answer = asyncio.get_running_loop().create_future()

        def take(result: Result[Grant, Verdict]) -> None:
            if not answer.done():
                answer.set_result(result)

        self._scheduler.submit(slot_request, take)
        try:
            result = await answer
        except asyncio.CancelledError:
            self._scheduler.end(SlotRelease(slot_request.ticket, Outcome.CANCELLED))
            raise
        return result.map(
            lambda grant: Slot(
                grant, slot_request.stage, self._clock, self._scheduler.end
            )
        )

    async def _ask_others(
        self, slot_request: SlotRequest
    ) -> Result[Slot, Verdict] | None:
        """Return the answer of another host, or None if none of them answers."""
        asked = _Asked(asyncio.get_running_loop().create_future())
        self._asked[slot_request.ticket] = asked
        answering: str | None = None
        try:
            answer = await self._await_answer(slot_request, asked)
            if answer is None:
                return None
            answering, result = answer
        finally:
            del self._asked[slot_request.ticket]
            for host in asked.hosts:
                if host != answering:
                    self._send(
                        host, SlotRelease(slot_request.ticket, Outcome.CANCELLED)
                    )

        def give_back(end: SlotRelease) -> None:
            self._send(answering, end)

        return result.map(
            lambda grant: Slot(grant, slot_request.stage, self._clock, give_back)
        )

    async def _await_answer(
        self, slot_request: SlotRequest, asked: _Asked
    ) -> tuple[str, Result[Grant, Verdict]] | None:
        """Ask one scheduler, then another one too if the first is silent.

        Load pattern: schedulers that are late under load or just lost. Waiting for the
        first alone would make a request late, and asking both always doubles the load.
        """
        silent = timedelta(0)
        while silent < SCHEDULER_TIMEOUT:
            for host in self._duties.list_schedulers()[:MOST_ASKED]:
                if host not in asked.hosts:
                    asked.hosts.append(host)
                    break
            if not asked.hosts:
                return None
            asked.heard.clear()
            for host in asked.hosts:
                self._send(host, slot_request)
            wait = REMINDER if len(asked.hosts) > 1 else FIRST_REPLY_TIMEOUT
            answer = await self._wait(asked, wait)
            if answer is not None:
                return answer
            # One that tells to wait is waited for; the others need not.
            while asked.heard:
                self._drop_silent(slot_request, asked)
                asked.heard.clear()
                for host in asked.hosts:
                    self._send(host, slot_request)
                answer = await self._wait(asked, REMINDER)
                if answer is not None:
                    return answer
            for host in asked.hosts:
                self._duties.record_unanswered(host)
                _log(
                    "scheduler does not answer", host=host, request=slot_request.request
                )
            silent += wait
        return None

    async def _wait(
        self, asked: _Asked, wait: timedelta
    ) -> tuple[str, Result[Grant, Verdict]] | None:
        done, _ = await asyncio.wait((asked.answer,), timeout=wait.total_seconds())
        return asked.answer.result() if done else None

    def _drop_silent(self, slot_request: SlotRequest, asked: _Asked) -> None:
        """Take an ask back from the hosts that were not heard."""
        for host in [host for host in asked.hosts if host not in asked.heard]:
            asked.hosts.remove(host)
            self._send(host, SlotRelease(slot_request.ticket, Outcome.CANCELLED))
