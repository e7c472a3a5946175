"""Decode the operator's configuration object into routes and services."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from galenapass.forwarding.routes import (
    ClientLimits,
    Repeat,
    Route,
    RouteTable,
    Service,
)

__all__ = ["CONFIGURATION_KIND", "CONFIGURATION_NAME", "decode_configuration"]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

_MILLISECOND = timedelta(milliseconds=1)
# Other kinds must not be repeated, except that a resumable stream may be resumed.
_REPEATS_BY_KIND = {"idempotent": Repeat.ANY}
_STREAMING = "streaming"
_DEFAULT_LATENCY_OBJECTIVE_MS = 1000


def decode_configuration(spec: Any) -> Result[RouteTable, str]:
    """Return the configuration, or a description of the first error in the object."""
    try:
        routes = [_decode_route(row) for row in spec["routes"]]
        services = [_decode_service(row) for row in spec["services"]]
        return Ok(
            RouteTable(
                version=int(spec["version"]),
                routes=_group_by_host(routes),
                services={service.name: service for service in services},
                limits=_decode_limits(spec.get("limits") or {}),
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Err(f"{type(error).__name__}: {error}")


def _group_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {host: tuple(rows) for host, rows in hosts.items()}


def _decode_route(row: Mapping[str, Any]) -> Route:
    streams = row["kind"] == _STREAMING
    repeat = _REPEATS_BY_KIND.get(row["kind"], Repeat.ONCE)
    if streams and row.get("resumable"):
        repeat = Repeat.RESUME
    latency_objective = row.get("target_latency_ms") or _DEFAULT_LATENCY_OBJECTIVE_MS
    return Route(
        name=row["name"],
        host=row["hostname"].lower(),
        prefix=row["path_prefix"],
        split=_decode_split(row),
        repeat=repeat,
        streams=streams,
        timeout=row["timeout_ms"] * _MILLISECOND,
        latency_objective=latency_objective * _MILLISECOND,
        rank=int(row.get("priority") or 0),
        attempts=max(int(row.get("attempts") or 1), 1),
    )


def _decode_split(row: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    if row.get("service"):
        return ((row["service"], 1.0),)
    return tuple(
        (part["service"], float(part["weight"])) for part in row["traffic_split"]
    )


def _decode_service(row: Mapping[str, Any]) -> Service:
    engine = row.get("engine")
    if not engine:
        return Service(row["name"], is_model=False)
    return Service(
        row["name"],
        is_model=True,
        reconfiguration=timedelta(seconds=float(engine.get("reconfig_s") or 0)),
        cache_tokens=int(engine.get("kv_tokens") or 0),
    )


def _decode_limits(row: Mapping[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    idle = row.get("idle_timeout_ms")
    return ClientLimits(
        header_bytes=int(row.get("max_header_bytes") or defaults.header_bytes),
        body_bytes=int(row.get("max_body_bytes") or defaults.body_bytes),
        idle=defaults.idle if idle is None else idle * _MILLISECOND,
    )
