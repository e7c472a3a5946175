"""Serve the callers' application with a round-robin dispatcher."""

import asyncio
import hashlib
import itertools
import secrets

import click
from aiohttp import web
from result import Err, Ok, Result

from experiments.fleet import CALLER_KEY
from experiments.path_process import serve_process
from galenapass.callers.app import make_callers_app
from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.clocks import SystemClock
from galenapass.dispatch import Claim, Route, StoredAnswer
from galenapass.settings.hours import find_urgency
from galenapass.tables.configurations import Caller, Configuration, Service
from galenapass.tables.requests import Request
from galenapass.tables.targets import TargetKind
from galenapass.targets.engines import EngineClient
from galenapass.targets.services import PlainServiceClient
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["make_entry"]

MODEL = "juniper-8b"
RATE = 1000.0  # requests a second


class RoundRobinDispatcher:
    """Dispatcher that gives each request the next target in turn."""

    def __init__(self, addresses: tuple[str, ...]):
        self._addresses = itertools.cycle(addresses)

    async def route(self, request: Request) -> Result[Route, Verdict]:
        """Return the route to the next target."""
        address = next(self._addresses)
        return Ok(Route(address, address))

    async def reroute(
        self, request: Request, failure: Verdict
    ) -> Result[Route, Verdict]:
        """Return the failure; there are no retries."""
        return Err(failure)

    def record_first_token(self, request: Request) -> None:
        """Do nothing."""

    def record_resumption(self, request: Request) -> None:
        """Do nothing."""

    def end(self, request: Request, verdict: Verdict) -> None:
        """Do nothing; the dispatcher keeps no state of requests."""


class FixedDaemonView:
    """View of a daemon with one caller and one service."""

    def __init__(self) -> None:
        service = Service("assistant", TargetKind.ENGINE, model=MODEL)
        hashed = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        caller = Caller("guides", hashed, frozenset({"assistant"}), rate=RATE)
        self._configuration = Configuration(
            version=1,
            services={"assistant": service},
            callers={"guides": caller},
        )

    def configuration(self) -> Configuration:
        """Return the fixed configuration."""
        return self._configuration

    def ready(self) -> bool:
        """Return true; the daemon is always ready."""
        return True

    def make_request_id(self) -> str:
        """Return a random identifier."""
        return secrets.token_hex(8)


class NoClaims:
    """Claims that are always refused; completions need none."""

    async def begin(
        self, caller: str, service: str, key: str, fingerprint: str
    ) -> Result[Claim | StoredAnswer, Verdict]:
        """Refuse the claim."""
        return Err(Verdict(Run.NOT_RUN, Reason.PLATFORM_UNAVAILABLE))

    async def finish(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Do nothing."""

    async def release(self, claim: Claim) -> None:
        """Do nothing."""


async def make_entry(addresses: tuple[str, ...]) -> web.Application:
    """Return the callers' application for engines at the addresses."""
    limits = Limits()
    return make_callers_app(
        RoundRobinDispatcher(addresses),
        NoClaims(),
        FixedDaemonView(),
        SystemClock(),
        limits,
        find_urgency=find_urgency,
        engines=EngineClient(),
        services=PlainServiceClient(),
        streams=OpenStreams(limits),
    )


async def _serve(addresses: tuple[str, ...]) -> None:
    await serve_process(await make_entry(addresses))


@click.command()
@click.argument("addresses", nargs=-1)
def main(addresses: tuple[str, ...]) -> None:
    """Dispatch requests to the engines at ADDRESSES until killed."""
    asyncio.run(_serve(addresses))


if __name__ == "__main__":
    main()
