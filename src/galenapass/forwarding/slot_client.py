"""Acquire slots at targets for this daemon's requests from a scheduler."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding.datagrams import (
    PeerMessage,
    SlotPending,
    SlotRefusal,
    TargetsUnknown,
)
from galenapass.forwarding.output_pace import OutputPace
from galenapass.forwarding.scheduling import Scheduler
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.logs import make_log
from galenapass.timeouts import limit_silence
from galenapass.verdicts import Verdict

__all__ = ["SchedulerDirectory", "Slot", "SlotClient", "SlotHooks"]

# A scheduler of the same domain replies within a few milliseconds; hosts with a CPU
# quota are paused for a part of each 100 ms.
FIRST_REPLY_TIMEOUT = timedelta(milliseconds=80)
# A pending slot request is sent again this often, in case its reply was lost.
RESEND_INTERVAL = timedelta(milliseconds=150)
# After this long without any reply the schedulers are abandoned.
SCHEDULER_TIMEOUT = timedelta(milliseconds=400)
# Schedulers tried before this daemon schedules its own requests.
MAX_SCHEDULERS = 2
# Hosts that may answer that they know no targets before this daemon uses its own.
MAX_WITHOUT_TARGETS = 3

MILLISECOND = timedelta(milliseconds=1)

_log = make_log("slots")


class Slot:
    """Slot at a target, held until ``end`` releases it through ``release``.

    ``stage`` is what the slot was requested for, ``pace`` that of the output.
    """

    __slots__ = (
        "_clock",
        "_is_ended",
        "_release",
        "_stage",
        "_started",
        "grant",
        "pace",
    )

    def __init__(
        self,
        grant: Grant,
        stage: Stage,
        clock: Clock,
        release: Callable[[SlotRelease], None],
    ):
        self.grant = grant
        self._stage = stage
        self._clock = clock
        self._release = release
        self._started = clock.monotonic()
        self._is_ended = False
        self.pace = OutputPace()

    @property
    def started_at(self) -> timedelta:
        """Return when the slot was acquired."""
        return self._started

    @property
    def first_output_at(self) -> timedelta | None:
        """Return when the first output was recorded, None if there is none."""
        return self.pace.first_at

    def record_output(self, events: int = 1) -> None:
        """Record output; the first output of a prefill slot ends its prefill."""
        if self._is_ended:
            return
        is_first = self.pace.first_at is None
        self.pace.record(self._clock.monotonic(), events)
        if is_first and self._stage is Stage.PREFILL:
            self._release(
                SlotRelease(self.grant.ticket, Outcome.DONE, is_prefill_only=True)
            )

    def end(self, outcome: Outcome, events: int = 0) -> None:
        """Release the slot after ``events`` events; further calls do nothing."""
        if self._is_ended:
            return
        self._is_ended = True
        now = self._clock.monotonic()
        took_ms = (now - self._started) / MILLISECOND
        first_ms = ((self.first_output_at or now) - self._started) / MILLISECOND
        self._release(
            SlotRelease(self.grant.ticket, outcome, took_ms, first_ms, False, events)
        )


class SchedulerDirectory(Protocol):
    """Schedulers that serve this daemon."""

    @property
    def is_scheduler(self) -> bool:
        """Return whether this daemon is a scheduler."""

    @property
    def granting_changed(self) -> asyncio.Event:
        """Return the event that is set when another host may be asked for slots."""

    def list_schedulers(self) -> list[str]:
        """Return the scheduler hosts that may answer, best first."""

    def list_granting(self) -> list[str]:
        """Return the scheduler hosts to ask for slots, best first."""

    def record_unanswered(self, host: str) -> None:
        """Record that a host did not reply to a slot request."""

    def take_over(self) -> Coroutine[Any, Any, None]:
        """Make this daemon a scheduler, as no other host replies."""


@dataclass(slots=True)
class _PendingRequest:
    """Slot request without a reply yet.

    ``hosts`` are the hosts it was sent to, ``responsive`` those that sent any message
    since it was last sent, ``without_targets`` those that know no targets for it.
    ``reply`` is None once all hosts that were asked know no target.
    """

    reply: asyncio.Future[tuple[str, Result[Grant, Verdict]] | None]
    hosts: list[str] = field(default_factory=list)
    responsive: set[str] = field(default_factory=set)
    without_targets: set[str] = field(default_factory=set)


async def _learn_nothing(service: str) -> None:
    return


@dataclass(slots=True, frozen=True)
class SlotHooks:
    """Callbacks of a slot client.

    ``knows_service`` returns whether this daemon knows the targets of a service,
    ``learn`` finds them out as far as is quickly possible. ``ping`` pings a host that
    may become a scheduler of this daemon.
    """

    knows_service: Callable[[str], bool] = lambda service: True
    learn: Callable[[str], Coroutine[Any, Any, None]] = _learn_nothing
    ping: Callable[[str], None] = lambda host: None


class SlotClient:
    """Client of the schedulers for this daemon's slot requests.

    ``send`` sends a message to a host by its name.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        directory: SchedulerDirectory,
        send: Callable[[str, PeerMessage], None],
        clock: Clock,
        hooks: SlotHooks | None = None,
    ):
        self._scheduler = scheduler
        self._directory = directory
        self._send = send
        self._hooks = hooks or SlotHooks()
        self._clock = clock
        self._pending: dict[str, _PendingRequest] = {}
        # Host and target of each slot in use that another host granted, by ticket.
        self._in_use: dict[str, tuple[str, str]] = {}

    @property
    def is_local(self) -> bool:
        """Return whether this daemon grants its slots, at targets that it follows."""
        return self._directory.is_scheduler

    async def acquire(self, slot_request: SlotRequest) -> Result[Slot, Verdict]:
        """Return a slot for a request, or the verdict that refuses it."""
        knows_service = self._hooks.knows_service
        if self._directory.is_scheduler and knows_service(slot_request.service):
            return await self._acquire_locally(slot_request)
        reply = await self._acquire_remotely(slot_request)
        if reply is not None:
            return reply
        if not self._directory.list_granting():
            await self._directory.take_over()
        if not knows_service(slot_request.service):
            await self._hooks.learn(slot_request.service)
        return await self._acquire_locally(slot_request)

    def apply_reply(
        self, host: str, message: Grant | SlotRefusal | SlotPending | TargetsUnknown
    ) -> None:
        """Apply a scheduler's reply to a slot request of this daemon."""
        pending = self._pending.get(message.ticket)
        if pending is None or pending.reply.done():
            if not isinstance(message, Grant):
                return
            # A scheduler answers a repeated slot request with the same grant again.
            if self._in_use.get(message.ticket) != (host, message.target.id):
                # Another scheduler was faster, or the slot request was abandoned.
                self._send(host, SlotRelease(message.ticket, Outcome.CANCELLED))
            return
        if isinstance(message, TargetsUnknown):
            self._drop_without_targets(host, pending)
            return
        pending.responsive.add(host)
        if isinstance(message, SlotRefusal):
            pending.reply.set_result((host, Err(message.verdict)))
        elif isinstance(message, Grant):
            self._in_use[message.ticket] = host, message.target.id
            pending.reply.set_result((host, Ok(message)))

    def _drop_without_targets(self, host: str, pending: _PendingRequest) -> None:
        """Ask another host at once if no other one was asked."""
        pending.without_targets.add(host)
        if host in pending.hosts:
            pending.hosts.remove(host)
        if not pending.hosts:
            pending.reply.set_result(None)

    async def _find_scheduler(self) -> list[str]:
        """Ping the next candidates, and return those that then know targets.

        Load pattern: the loss of all schedulers of a domain. All of its hosts choose
        the same two as the next ones, which schedule for all of them.
        """
        candidates = self._directory.list_schedulers()[:MAX_SCHEDULERS]
        if not candidates:
            return []
        self._directory.granting_changed.clear()
        for host in candidates:
            self._hooks.ping(host)
        with contextlib.suppress(TimeoutError):
            async with limit_silence(FIRST_REPLY_TIMEOUT):
                await self._directory.granting_changed.wait()
        return self._directory.list_granting()

    async def _acquire_locally(
        self, slot_request: SlotRequest
    ) -> Result[Slot, Verdict]:
        reply: asyncio.Future[Result[Grant, Verdict]]
        reply = asyncio.get_running_loop().create_future()

        def set_reply(result: Result[Grant, Verdict]) -> None:
            if not reply.done():
                reply.set_result(result)

        self._scheduler.submit(slot_request, set_reply)
        try:
            result = await reply
        except asyncio.CancelledError:
            self._scheduler.end(SlotRelease(slot_request.ticket, Outcome.CANCELLED))
            raise
        return result.map(
            lambda grant: Slot(
                grant, slot_request.stage, self._clock, self._scheduler.end
            )
        )

    async def _acquire_remotely(
        self, slot_request: SlotRequest
    ) -> Result[Slot, Verdict] | None:
        """Return the reply of another host, or None if no host replies."""
        pending = _PendingRequest(asyncio.get_running_loop().create_future())
        self._pending[slot_request.ticket] = pending
        replying_host: str | None = None
        try:
            reply = await self._await_reply(slot_request, pending)
            if reply is None:
                return None
            replying_host, result = reply
        finally:
            del self._pending[slot_request.ticket]
            if replying_host is None:
                self._in_use.pop(slot_request.ticket, None)
            for host in pending.hosts:
                if host != replying_host:
                    self._send(
                        host, SlotRelease(slot_request.ticket, Outcome.CANCELLED)
                    )

        def release(message: SlotRelease) -> None:
            if not message.is_prefill_only:
                self._in_use.pop(message.ticket, None)
            self._send(replying_host, message)

        return result.map(
            lambda grant: Slot(grant, slot_request.stage, self._clock, release)
        )

    async def _await_reply(
        self, slot_request: SlotRequest, pending: _PendingRequest
    ) -> tuple[str, Result[Grant, Verdict]] | None:
        """Try one scheduler, then a second one as well if the first does not reply.

        Load pattern: schedulers that are slow under load or just lost. Waiting for the
        first alone would delay a request; always using both would double the load.
        """
        waited = timedelta(0)
        while waited < SCHEDULER_TIMEOUT:
            granting = self._directory.list_granting()
            if not granting:
                granting = await self._find_scheduler()
            willing = [name for name in granting if name not in pending.without_targets]
            for host in willing[:MAX_SCHEDULERS]:
                if host not in pending.hosts:
                    pending.hosts.append(host)
                    break
            if not pending.hosts or len(pending.without_targets) > MAX_WITHOUT_TARGETS:
                return None
            pending.responsive.clear()
            for host in pending.hosts:
                self._send(host, slot_request)
            wait = RESEND_INTERVAL if len(pending.hosts) > 1 else FIRST_REPLY_TIMEOUT
            reply = await self._wait_for_reply(pending, wait)
            if reply is not None:
                return reply
            # While any host reports the request as pending, withdraw it from the rest.
            while pending.responsive:
                self._withdraw_from_silent(slot_request, pending)
                pending.responsive.clear()
                for host in pending.hosts:
                    self._send(host, slot_request)
                reply = await self._wait_for_reply(pending, RESEND_INTERVAL)
                if reply is not None:
                    return reply
            if pending.reply.done():
                # None of the hosts that were asked knows targets for the request.
                pending.reply = asyncio.get_running_loop().create_future()
                continue
            for host in pending.hosts:
                self._directory.record_unanswered(host)
                _log(
                    "scheduler does not reply", host=host, request=slot_request.request
                )
            waited += wait
        return None

    async def _wait_for_reply(
        self, pending: _PendingRequest, wait: timedelta
    ) -> tuple[str, Result[Grant, Verdict]] | None:
        try:
            async with limit_silence(wait):
                await asyncio.wait((pending.reply,))
        except TimeoutError:
            return None
        return pending.reply.result()

    def _withdraw_from_silent(
        self, slot_request: SlotRequest, pending: _PendingRequest
    ) -> None:
        """Withdraw a slot request from the hosts that sent nothing."""
        for host in [host for host in pending.hosts if host not in pending.responsive]:
            pending.hosts.remove(host)
            self._send(host, SlotRelease(slot_request.ticket, Outcome.CANCELLED))
