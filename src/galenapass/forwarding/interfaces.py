"""State what the relay asks of the targets' and the clients' side."""

from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import Protocol

from result import Result

from galenapass.forwarding.answers import Answer, Message
from galenapass.forwarding.engine_states import StateCalls
from galenapass.tables.targets import Target
from galenapass.verdicts import Verdict

__all__ = ["Calls", "Sink"]


class Calls(StateCalls, Protocol):
    """Send to targets in their own protocol."""

    async def prefill(
        self,
        target: Target,
        message: Message,
        left: timedelta,
        priority: int,
        donor: str | None,
    ) -> Result[str, Verdict]:
        """Have a prompt read and return where its memory is.

        What the engine at the address ``donor`` keeps of it is fetched from there.
        """

    def run(
        self,
        target: Target,
        message: Message,
        left: timedelta,
        *,
        priority: int | None,
        source: str | None,
        last_event: int | None,
        once: bool,
    ) -> AbstractAsyncContextManager[Result[Answer, Verdict]]:
        """Send a request and give its answer."""

    async def drop_memory(self, source: str) -> None:
        """Free the memory of a prompt that is not used."""


class Sink(Protocol):
    """Take the answer for a client."""

    began: bool

    async def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of a stream."""

    async def write(self, events: bytes) -> None:
        """Send whole events."""

    async def finish(self) -> None:
        """End the stream as complete."""

    def abort(self) -> None:
        """End the stream so that it cannot look complete."""
