"""Authenticate callers by their keys and check which services they may use."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from aiohttp import web
from result import Err, Ok, Result

from galenapass.systems.identities import digest_authorization
from galenapass.tables.configurations import Caller, Configuration, Service
from galenapass.tables.targets import TargetKind
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["DaemonView", "find_service", "list_models", "make_caller_finder"]

SCHEME = "bearer"
# Another host accepts the request at once; this one may be ready again by then.
RETRY_AFTER = timedelta(seconds=1)


class DaemonView(Protocol):
    """Access to the configuration and readiness of this daemon."""

    def configuration(self) -> Configuration:
        """Return the configuration in force."""

    def ready(self) -> bool:
        """Return whether new requests are accepted."""

    def make_request_id(self) -> str:
        """Return a request identifier that is unique in the fleet."""


def make_caller_finder(
    daemon_view: DaemonView,
) -> Callable[[web.Request], Result[Caller, Verdict]]:
    """Return a function that finds the caller of a request by its key."""
    callers_by_hash: dict[str, Caller] = {}
    indexed_configuration: Configuration | None = None

    def find(request: web.Request) -> Result[Caller, Verdict]:
        nonlocal callers_by_hash, indexed_configuration
        configuration = daemon_view.configuration()
        refusal = _check_ready(daemon_view, configuration)
        if refusal is not None:
            return Err(refusal)
        if configuration is not indexed_configuration:
            callers = configuration.callers.values()
            callers_by_hash = {caller.key_hash: caller for caller in callers}
            indexed_configuration = configuration
        authorization = request.headers.get("Authorization", "")
        caller = callers_by_hash.get(digest_authorization(authorization, SCHEME))
        if caller is None:
            detail = "the key is missing or unknown"
            return Err(Verdict(Run.NOT_RUN, Reason.UNAUTHENTICATED, detail))
        return Ok(caller)

    return find


def find_service(
    configuration: Configuration, caller: Caller, kind: TargetKind, name: str
) -> Result[Service, Verdict]:
    """Return the service that a caller addresses by a model or service name."""
    candidates = [s for s in configuration.services.values() if s.kind is kind]
    matching = [s for s in candidates if name == s.name or (name and name == s.model)]
    if not matching:
        detail = f"no {kind.value} is called {name[:80]!r}"
        return Err(Verdict(Run.NOT_RUN, Reason.UNKNOWN_MODEL, detail))
    allowed = [s for s in matching if s.name in caller.services]
    if not allowed:
        detail = f"{caller.name} may not use {name[:80]!r}"
        return Err(Verdict(Run.NOT_RUN, Reason.FORBIDDEN, detail))
    return Ok(allowed[0])


def list_models(configuration: Configuration, caller: Caller) -> list[str]:
    """Return the models that a caller may use."""
    services = configuration.services.values()
    allowed = [
        s for s in services if s.kind is TargetKind.ENGINE and s.name in caller.services
    ]
    return sorted({service.model or service.name for service in allowed})


def _check_ready(
    daemon_view: DaemonView, configuration: Configuration
) -> Verdict | None:
    if configuration.version == 0:
        detail = "no configuration yet"
        return Verdict(Run.NOT_RUN, Reason.NOT_CONFIGURED, detail, RETRY_AFTER)
    if not daemon_view.ready():
        detail = "this host takes no new work"
        return Verdict(Run.NOT_RUN, Reason.STOPPING, detail, RETRY_AFTER)
    return None
