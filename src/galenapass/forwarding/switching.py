"""Prepare the next send of a request while its present target is silent."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from result import Err, Result

from galenapass.forwarding.sending import Send
from galenapass.logs import make_log
from galenapass.verdicts import Verdict

__all__ = ["Standby", "SwitchSteps"]

_log = make_log("forwarding")


@dataclass(slots=True, frozen=True)
class SwitchSteps:
    """What the preparation of a next send consists of.

    ``reserve`` reserves its cost in the retry budget and returns a function that
    releases what was not sent, or None if the request may not be sent again now.
    ``prepare`` acquires its slots, has its prompt prefilled and sends it; if it is
    cancelled it releases them. ``discard`` releases a send that is not used.
    """

    reserve: Callable[[], Callable[[], None] | None]
    prepare: Callable[[], Coroutine[Any, Any, Result[Send, Verdict]]]
    discard: Callable[[Send], None]


class Standby:
    """Next send of one request, at most one at a time."""

    __slots__ = ("_name", "_ready", "_release_unsent", "_steps", "_task")

    def __init__(self, name: str, steps: SwitchSteps):
        self._name = name
        self._steps = steps
        self._task: asyncio.Task[None] | None = None
        self._ready: Send | None = None
        self._release_unsent: Callable[[], None] | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether a send is ready."""
        return self._ready is not None

    async def prepare(self) -> bool:
        """Prepare the next send; return whether it is ready."""
        self._release_unsent = self._steps.reserve()
        if self._release_unsent is None:
            return False
        self._task = asyncio.create_task(self._prepare())
        await asyncio.wait((self._task,))
        return self.is_ready

    async def settle(self) -> bool:
        """Await a preparation that has begun; return whether a send is ready."""
        if self._task is not None:
            await asyncio.wait((self._task,))
        return self.is_ready

    def take(self) -> Send | None:
        """Return the send that is ready, if any; the caller then owns it."""
        send, self._ready = self._ready, None
        if send is not None:
            self._release_unsent = None
        return send

    def cancel(self) -> None:
        """End the preparation, or release the send that is ready."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        send, self._ready = self._ready, None
        if send is not None:
            self._steps.discard(send)
        self._release_budget()

    async def _prepare(self) -> None:
        try:
            prepared = await self._steps.prepare()
        except Exception as error:
            # The present answer is still awaited, so this ends no request.
            _log("next send failed", request=self._name, error=repr(error))
            self._release_budget()
            return
        if isinstance(prepared, Err):
            failure = prepared.err_value
            _log(
                "next send is not ready, the silent target is awaited",
                request=self._name,
                reason=failure.reason.value,
                detail=failure.detail,
            )
            self._release_budget()
            return
        self._ready = prepared.ok_value

    def _release_budget(self) -> None:
        release_unsent, self._release_unsent = self._release_unsent, None
        if release_unsent is not None:
            release_unsent()
