"""Run one soak test: inject faults while clients send requests, then check."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, Protocol

import aiohttp

from experiments.soak.arrivals import find_excess_retries
from experiments.soak.clients import Client
from experiments.soak.environment import GRACE_SECONDS, Daemon, Environment
from experiments.soak.faults import (
    Fault,
    plan_faults,
    plan_kills,
    plan_releases,
    plan_restores,
    plan_stops,
)
from experiments.soak.invariants import (
    CONTACT_SECONDS,
    ROUTES,
    SLACK_SECONDS,
    Outcome,
    PlannedStop,
    find_lost,
    find_violations,
)
from experiments.soak.kept_clients import BEHAVIOURS, DEADLINE_SECONDS, KeptClient
from experiments.soak.stream_clients import (
    Stream,
    StreamClient,
    StreamTry,
    find_joined,
    find_refused_take_ups,
    list_versions,
    strip_marks,
)
from stand_ins.platform_routes import CONFIGURATION, HOST
from stand_ins.runner import STREAM_BODY

__all__ = ["Report", "describe", "run_soak", "wait_ready"]

READY_SECONDS = 15.0
VERSIONS = ("v1", "v2")
# Time after the last fault until the configuration is in force, roles are stable and
# entries are restored.
RECOVERY_SECONDS = 8.0
# Outcomes this long before and after a fault are counted with it.
BEFORE_SECONDS, AFTER_SECONDS = 0.2, 1.0
POLL_SECONDS = 0.05


class _HasDaemons(Protocol):
    daemons: dict[str, Daemon]


@dataclass(slots=True)
class Report:
    """Injected faults, outcomes of clients and violations of one soak test.

    ``lag`` is the longest delay of the clients' event loop, in seconds, ``taken_up``
    the number of streams that clients took up.
    """

    faults: list[Fault]
    outcomes: list[Outcome]
    violations: list[str]
    lag: float
    taken_up: int = 0


async def run_soak(
    seed: int,
    seconds: float,
    fault_count: int,
    daemon_count: int,
    client_count: int,
    folder: Path,
    restore_count: int = 0,
    stop_count: int = 0,
    grace_seconds: float = GRACE_SECONDS,
    release_count: int = 0,
    kill_count: int = 0,
) -> Report:
    """Inject the faults of a seed for ``seconds`` and check the invariants.

    The store also returns to an older copy ``restore_count`` times. With planned stops,
    ``stop_count`` of them, half of the clients keep their connections. With releases,
    targets of two software versions serve and as many more clients take streams up.
    With kills, ``kill_count`` of them, all daemons are killed at once, while targets
    refuse a part of their requests.
    """
    environment = Environment(
        folder,
        daemon_count,
        grace_seconds,
        _make_configuration() if stop_count or release_count else CONFIGURATION,
        VERSIONS if release_count else (),
    )
    faults = plan_faults(
        seed, seconds, fault_count, list(environment.daemons), list(environment.runners)
    )
    faults += plan_restores(seed, seconds, restore_count)
    faults += plan_stops(
        seed,
        seconds,
        stop_count,
        grace_seconds,
        list(environment.daemons),
        list(environment.runners),
    )
    engines = [n for n, r in environment.runners.items() if r.stage == "decode"]
    faults += plan_releases(
        seed, seconds, release_count, list(environment.daemons), engines
    )
    faults += plan_kills(
        seed, seconds, kill_count, list(environment.daemons), list(environment.runners)
    )
    faults.sort(key=lambda fault: (fault.at, fault.component))
    addresses = {name: daemon.address for name, daemon in environment.daemons.items()}
    clients = [
        Client(f"c{n}", addresses, Random(f"{seed}-{n}"))
        for n in range(client_count // 2 if stop_count else client_count)
    ]
    kept_clients = [
        _make_kept_client(n, addresses, seed)
        for n in range(client_count - len(clients))
    ]
    stream_clients = [
        StreamClient(f"t{n}", addresses, Random(f"{seed}-t{n}"), environment.is_served)
        for n in range(client_count if release_count else 0)
    ]
    all_clients: list[Client | KeptClient] = [*clients, *kept_clients]
    lags: list[float] = []
    try:
        await environment.start()
        failures = await wait_ready(environment)
        started = time.monotonic()
        is_over = lambda: time.monotonic() > started + seconds  # noqa: E731
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_measure_lags(lags, is_over))
            for any_client in all_clients:
                tasks.create_task(any_client.run(started, is_over))
            for stream_client in stream_clients:
                tasks.create_task(stream_client.run(started, is_over))
            for fault in faults:
                tasks.create_task(_inject(environment, fault, started))
        failures += await _check_recovery(environment, clients[0])
        failures += await _stop_daemons(environment)
    finally:
        await environment.stop()
    outcomes = [
        outcome for any_client in all_clients for outcome in any_client.outcomes
    ]
    streams = [stream for client in stream_clients for stream in client.streams]
    failures += _check_streams(environment, streams, outcomes, faults, started)
    failures += find_excess_retries(
        environment.list_arrivals(),
        _list_requests(outcomes, streams, started),
        environment.retry_terms,
    )
    violations = find_violations(outcomes, environment.list_executed(), STREAM_BODY)
    violations = [
        violation
        for violation in violations
        if not _is_excused(violation, outcomes, faults)
    ]
    violations += find_lost(
        outcomes,
        environment.list_received(),
        _list_stops(environment, started),
        faults,
        {name: runner.service for name, runner in environment.runners.items()},
    )
    return Report(
        faults,
        outcomes,
        failures + violations,
        max(lags, default=0.0),
        sum(any(one.resumes for one in stream.tries) for stream in streams),
    )


def _list_requests(
    outcomes: list[Outcome], streams: list[Stream], started: float
) -> dict[str, list[float]]:
    """Return when clients sent requests to each service, in monotonic seconds."""
    requests: dict[str, list[float]] = {}
    for outcome in outcomes:
        service = ROUTES[outcome.route].service
        requests.setdefault(service, []).append(started + outcome.began)
    stream_service = ROUTES["notes"].service
    tries = [one.began for stream in streams for one in stream.tries]
    requests.setdefault(stream_service, []).extend(tries)
    return requests


def _check_streams(
    environment: Environment,
    streams: list[Stream],
    outcomes: list[Outcome],
    faults: list[Fault],
    started: float,
) -> list[str]:
    """Return the streams that were joined or that too seldom went on.

    What was checked is taken from the attempts that ran and from the outcomes, which
    are judged as those of targets of one version.
    """
    tries = {one.attempt for stream in streams for one in stream.tries}
    for executed in environment.list_executed().values():
        executed[:] = [attempt for attempt in executed if attempt not in tries]
    violations = [
        f"{outcome.attempt}: ORDER written by {list_versions(outcome.body)}"
        for outcome in outcomes
        if len(list_versions(outcome.body)) > 1 and ROUTES[outcome.route].streams
    ]
    for outcome in outcomes:
        outcome.body = strip_marks(outcome.body)

    def is_calm(one: StreamTry) -> bool:
        return not any(
            fault.component in ("store", one.daemon, f"link {one.daemon}")
            and fault.kind != "configuration"
            and fault.at <= one.ended - started
            and one.began - started <= fault.end + CONTACT_SECONDS
            for fault in faults
        )

    return [
        *violations,
        *find_joined(streams),
        *find_refused_take_ups(streams, is_calm),
    ]


def _make_configuration() -> dict[str, Any]:
    """Return a configuration whose routes allow for the longest deadline."""
    timeout_ms = int(DEADLINE_SECONDS[1] * 1000)
    routes = [route | {"timeout_ms": timeout_ms} for route in CONFIGURATION["routes"]]
    return CONFIGURATION | {"routes": routes}


def _make_kept_client(number: int, addresses: dict[str, str], seed: int) -> KeptClient:
    names, behaviours = list(addresses), list(BEHAVIOURS)
    daemon = names[number % len(names)]
    behaviour = behaviours[(number + number // len(names)) % len(behaviours)]
    name = f"k{number}-{behaviour}"
    return KeptClient(name, daemon, addresses[daemon], behaviour, f"{seed}-{name}")


def _list_stops(
    environment: Environment, started: float
) -> dict[str, list[PlannedStop]]:
    return {
        name: [
            PlannedStop(at - started, daemon.grace_seconds) for at in daemon.signals_at
        ]
        for name, daemon in environment.daemons.items()
    }


async def _measure_lags(lags: list[float], is_over: Callable[[], bool]) -> None:
    """Collect how late the event loop of the clients and stand-ins is, in seconds."""
    while not is_over():
        began = time.monotonic()
        await asyncio.sleep(POLL_SECONDS)
        lags.append(time.monotonic() - began - POLL_SECONDS)


async def _inject(environment: Environment, fault: Fault, started: float) -> None:
    await asyncio.sleep(max(started + fault.at - time.monotonic(), 0))
    await environment.apply(fault)


async def wait_ready(
    environment: _HasDaemons, seconds: float = READY_SECONDS
) -> list[str]:
    """Wait until every daemon is ready; return a failure for each that is not."""
    not_ready = set(environment.daemons)
    end = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:
        while not_ready and time.monotonic() < end:
            for name in sorted(not_ready):
                url = (
                    f"http://{environment.daemons[name].ip}:"
                    f"{environment.daemons[name].ready_port}/readyz"
                )
                if await _fetch_status(session, url) == 200:
                    not_ready.discard(name)
            await asyncio.sleep(POLL_SECONDS)
    return [f"{name} is not ready" for name in sorted(not_ready)]


async def _fetch_status(
    session: aiohttp.ClientSession, url: str, **headers: str
) -> int:
    all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        async with session.get(
            url, headers=all_headers, timeout=aiohttp.ClientTimeout(total=3)
        ) as response:
            return response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0


async def _check_recovery(environment: Environment, client: Client) -> list[str]:
    """Return the failures that remain after every fault has ended."""
    for name in environment.daemons:
        await environment.start_daemon(name)
    failures = await wait_ready(environment)
    await asyncio.sleep(RECOVERY_SECONDS)
    async with aiohttp.ClientSession() as session:
        for name, daemon in environment.daemons.items():
            for route in ROUTES:
                outcome = await client.send_attempt(session, route, name)
                client.outcomes.append(outcome)
                if outcome.status != 200:
                    failures.append(
                        f"{name} answers {route} with {outcome.status} after recovery"
                    )
            for version, expected in (
                (environment.version, 200),
                (environment.version - 1, 404),
            ):
                url = f"http://{daemon.address}/version-{version}/x"
                attempt = f"{name}-version-{version}"
                status = await _fetch_status(
                    session, url, Host=HOST, X_Galenapass_Attempt_Id=attempt
                )
                for executed in environment.list_executed().values():
                    if attempt in executed:
                        executed.remove(attempt)
                if status != expected:
                    failures.append(f"{name} answers version {version} with {status}")
    return failures


async def _stop_daemons(environment: Environment) -> list[str]:
    await asyncio.gather(*(d.terminate() for d in environment.daemons.values()))
    return [
        error for daemon in environment.daemons.values() for error in daemon.exit_errors
    ]


def _is_excused(violation: str, outcomes: list[Outcome], faults: list[Fault]) -> bool:
    """Return whether a deadline was missed because the daemon was not running."""
    if "held for" not in violation:
        return False
    attempt = violation.split()[3].rstrip(":")
    outcome = next(o for o in outcomes if o.attempt == attempt)
    return any(
        fault.component == outcome.daemon
        and fault.kind in ("pause", "kill", "terminate")
        and fault.at <= outcome.deadline + SLACK_SECONDS
        and fault.end + SLACK_SECONDS >= outcome.began
        for fault in faults
    )


def describe(report: Report) -> str:
    """Return the faults with the outcomes around each, and the violations."""
    lines = [f"{_count(report.outcomes)} in all, clients up to {report.lag:.2f} s late"]
    for fault in report.faults:
        overlapping = [
            outcome
            for outcome in report.outcomes
            if outcome.began <= fault.end + AFTER_SECONDS
            and outcome.ended >= fault.at - BEFORE_SECONDS
        ]
        lines.append(
            f"{fault.at:6.2f} s for {fault.duration:4.2f} s {fault.kind}"
            f" at {fault.component}: {_count(overlapping)}"
        )
    lines += [f"BROKEN {violation}" for violation in report.violations]
    lines.append(f"{report.taken_up} streams taken up")
    return "\n".join([*lines, f"{len(report.violations)} promises broken"])


def _count(outcomes: list[Outcome]) -> str:
    counts = Counter(
        str(o.status) if o.complete else f"{o.status or 'no answer'} broken"
        for o in outcomes
    )
    return ", ".join(f"{count} x {what}" for what, count in sorted(counts.items()))
