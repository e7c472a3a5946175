"""Gather what the callers' handlers work with."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from zoneinfo import ZoneInfo

from aiohttp import web
from result import Result

from galenapass.callers.keys import Directory
from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.clocks import Clock
from galenapass.dispatch import Claims, Dispatcher
from galenapass.tables.configurations import Caller
from galenapass.tables.requests import Urgency
from galenapass.targets.engines import Engines
from galenapass.targets.services import PlainServices
from galenapass.verdicts import Verdict

__all__ = ["FindCaller", "Parts", "UrgencyOf"]


UrgencyOf = Callable[[Caller, datetime, ZoneInfo], tuple[Urgency, timedelta]]
FindCaller = Callable[[web.Request], Result[Caller, Verdict]]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(slots=True, frozen=True)
class Parts:
    """Hold the objects and functions that one daemon's handlers share."""

    dispatcher: Dispatcher
    claims: Claims
    directory: Directory
    clock: Clock
    limits: Limits
    engines: Engines
    services: PlainServices
    streams: OpenStreams
    urgency_of: UrgencyOf
    find_caller: FindCaller
