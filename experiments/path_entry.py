"""Run the callers' side with a dispatcher that only takes targets in turn."""

import asyncio
import itertools
import secrets
from datetime import timedelta

import click
from result import Err, Ok, Result

from experiments.path_process import serve_process
from galenapass.callers.app import make_callers_app
from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.clocks import SystemClock
from galenapass.dispatch import Claim, Claims, Route, StoredAnswer
from galenapass.settings.hours import urgency_of
from galenapass.tables.configurations import Caller, Configuration, Service
from galenapass.tables.requests import Request, Urgency
from galenapass.tables.targets import Kind
from galenapass.targets.engines import Engines
from galenapass.targets.services import PlainServices
from galenapass.verdicts import Reason, Run, Verdict

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
