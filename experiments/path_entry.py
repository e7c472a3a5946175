"""Run the callers' side with a dispatcher that only takes targets in turn."""

import itertools

from result import Err, Ok, Result

from galenapass.dispatch import Route
from galenapass.tables.requests import Request
from galenapass.verdicts import Verdict

__all__ = ["KEY", "MODEL"]

KEY = "measure"
# sha256 of the key.
KEY_HASH = "e1d6b1b8a7a3c0a8f6a3a0c5a4d0e7d0"
MODEL = "juniper-8b"


class TurnDispatcher:
    """Give each request the next target."""

    def __init__(self, addresses: tuple[str, ...]):
        self._turns = itertools.cycle(addresses)

    async def route(self, request: Request) -> Result[Route, Verdict]:
        """Return the next target."""
        address = next(self._turns)
        return Ok(Route(address, address))

    async def reroute(
        self, request: Request, failure: Verdict
    ) -> Result[Route, Verdict]:
        """Return the failure; nothing is tried twice here."""
        return Err(failure)

    def note_first_token(self, request: Request) -> None:
        """Take no note."""

    def end(self, request: Request, verdict: Verdict) -> None:
        """Forget nothing, as nothing is held."""
