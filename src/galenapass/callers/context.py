"""Define the objects that the callers' handlers share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from zoneinfo import ZoneInfo

from aiohttp import web
from result import Result

from galenapass.callers.keys import DaemonView
from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.clocks import Clock
from galenapass.dispatch import Claims, Dispatcher
from galenapass.tables.configurations import Caller
from galenapass.tables.requests import Urgency
from galenapass.targets.engines import EngineClient
from galenapass.targets.services import PlainServiceClient
from galenapass.verdicts import Verdict

__all__ = ["FindCaller", "FindUrgency", "HandlerContext"]


FindUrgency = Callable[[Caller, datetime, ZoneInfo], tuple[Urgency, timedelta]]
FindCaller = Callable[[web.Request], Result[Caller, Verdict]]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(slots=True, frozen=True)
class HandlerContext:
    """Objects and functions that the handlers of one daemon share."""

    dispatcher: Dispatcher
    claims: Claims
    daemon_view: DaemonView
    clock: Clock
    limits: Limits
    engines: EngineClient
    services: PlainServiceClient
    streams: OpenStreams
    find_urgency: FindUrgency
    find_caller: FindCaller
