"""Decode the operator's configuration object into routes and services."""

import itertools
from collections.abc import Generator, Mapping
from datetime import timedelta
from typing import Any

import orjson
from result import Err, Ok, Result

from galenapass.forwarding.routes import (
    ClientLimits,
    Repeat,
    Route,
    RouteTable,
    Scaling,
    Service,
)
from galenapass.json_values import (
    DECODE_ERRORS,
    describe_error,
    describe_value,
    is_name,
    read_integer,
    read_number,
)
from galenapass.systems.identities import Identities, Organisation, digest_key

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "decode_configuration",
    "decode_in_steps",
    "replace_keys",
]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

_KEYS = "api_keys"
_KEY_DIGESTS = "key_digests"

# Routes that are decoded at a time, which takes a few milliseconds.
ROUTES_PER_STEP = 500

_MILLISECOND = timedelta(milliseconds=1)
# Other kinds must not be repeated, except that a resumable stream may be resumed.
_REPEATS_BY_KIND = {"idempotent": Repeat.ANY}
_STREAMING = "streaming"
_DEFAULT_LATENCY_OBJECTIVE_MS = 1000
# One day: above any deployment's times, and larger numbers overflow a timedelta.
_MAX_DURATION = timedelta(days=1)


def decode_configuration(spec: Any) -> Result[RouteTable, str]:
    """Return the configuration, or a description of the first error in the object."""
    steps = decode_in_steps(spec)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            decoded: Result[RouteTable, str] = end.value
            return decoded


def decode_in_steps(spec: Any) -> Generator[None, None, Result[RouteTable, str]]:
    """Decode a configuration as ``decode_configuration`` does, in short steps."""
    try:
        routes: list[Route] = []
        rows = iter(spec["routes"])
        while step := list(itertools.islice(rows, ROUTES_PER_STEP)):
            routes += map(_decode_route, step)
            yield
        services = [_decode_service(row) for row in spec["services"]]
        return Ok(
            RouteTable(
                version=read_integer(spec["version"]),
                routes=_group_by_host(routes),
                services={service.name: service for service in services},
                limits=_decode_limits(spec.get("limits") or {}),
                identities=_decode_identities(spec.get("tenants")),
            )
        )
    except DECODE_ERRORS as error:
        return Err(describe_error(error))


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
        name=_read_name(row["name"]),
        host=_read_name(row["hostname"]).lower(),
        prefix=_read_prefix(row["path_prefix"]),
        split=_decode_split(row),
        repeat=repeat,
        streams=streams,
        timeout=_read_duration(row["timeout_ms"], _MILLISECOND),
        latency_objective=_read_duration(latency_objective, _MILLISECOND),
        rank=read_integer(row.get("priority") or 0),
        attempts=max(read_integer(row.get("attempts") or 1), 1),
        is_public=row.get("public") is True,
    )


def _decode_split(row: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    if row.get("service"):
        return ((_read_name(row["service"]), 1.0),)
    split = tuple(
        (_read_name(part["service"]), _read_weight(part["weight"]))
        for part in row["traffic_split"]
    )
    if not split:
        raise ValueError("a route has no service")
    return split


def _decode_service(row: Mapping[str, Any]) -> Service:
    engine = row.get("engine")
    if not engine:
        return Service(
            _read_name(row["name"]),
            is_model=False,
            scaling=_decode_scaling(row.get("scale")),
        )
    reconfiguration = engine.get("reconfig_s") or 0
    return Service(
        _read_name(row["name"]),
        is_model=True,
        reconfiguration=_read_duration(reconfiguration, timedelta(seconds=1)),
        cache_tokens=_read_count(engine.get("kv_tokens") or 0),
        scaling=_decode_scaling(row.get("scale")),
    )


def _decode_scaling(row: Mapping[str, Any] | None) -> Scaling | None:
    if not row:
        return None
    spot_price = row.get("spot_price")
    prices = row.get("zone_prices") or {}
    return Scaling(
        min_targets=_read_count(row.get("min") or 0),
        max_targets=_read_count(row["max"]),
        start_time=_read_duration(row.get("boot_s") or 0, timedelta(seconds=1)),
        reclaimable_price=None if spot_price is None else _read_weight(spot_price),
        prices={_read_name(zone): _read_weight(p) for zone, p in prices.items()},
    )


def _decode_identities(rows: Any) -> Identities | None:
    """Return the organisations by the digests of their keys, None if there are none.

    Other hosts pass a configuration on with ``key_digests`` in place of the keys.
    """
    if rows is None:
        return None
    organisations: dict[str, Organisation] = {}
    for row in rows:
        priority = row.get("priority")
        organisation = Organisation(
            _read_name(row["name"]),
            None if priority is None else read_integer(priority),
        )
        row = _digest_keys(row)
        organisations |= dict.fromkeys(row.get(_KEY_DIGESTS) or (), organisation)
    return Identities(organisations)


def replace_keys(body: str) -> str:
    """Return the text of a configuration with digests in place of keys."""
    # A name may be written with escapes.
    if f'"{_KEYS}"' not in body and "\\u" not in body:
        return body
    try:
        spec = orjson.loads(body)
        if spec.get("tenants") is None:
            return body
        spec["tenants"] = [_digest_keys(row) for row in spec["tenants"]]
        return orjson.dumps(spec).decode()
    except DECODE_ERRORS:
        # It cannot be decoded either.
        return ""


def _digest_keys(row: Mapping[str, Any]) -> dict[str, Any]:
    """Return an organisation with the digests of its keys in their place."""
    digests = [*map(digest_key, _read_list(row.get(_KEYS)))]
    digests += _read_list(row.get(_KEY_DIGESTS))
    kept = {name: value for name, value in row.items() if name != _KEYS}
    return kept | {_KEY_DIGESTS: digests}


def _read_list(value: Any) -> list[Any]:
    if value is not None and not isinstance(value, list):
        raise TypeError("the keys are no list")
    return value or []


def _decode_limits(row: Mapping[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    idle = row.get("idle_timeout_ms")
    return ClientLimits(
        header_bytes=_read_count(row.get("max_header_bytes") or defaults.header_bytes),
        body_bytes=_read_count(row.get("max_body_bytes") or defaults.body_bytes),
        idle=defaults.idle if idle is None else _read_duration(idle, _MILLISECOND),
    )


def _read_name(value: Any) -> str:
    if not is_name(value):
        raise ValueError(f"{describe_value(value)} is no name")
    return str(value)


def _read_prefix(value: Any) -> str:
    if not isinstance(value, str) or not value.startswith("/"):
        raise ValueError(f"{describe_value(value)} is no path")
    return value


def _read_duration(value: Any, unit: timedelta) -> timedelta:
    """Return a number of units as a duration; raise ValueError if out of range."""
    number = read_number(value)
    if not 0 <= number <= _MAX_DURATION / unit:
        raise ValueError(f"{describe_value(value)} is no duration of up to a day")
    return number * unit


def _read_weight(value: Any) -> float:
    weight = read_number(value)
    if weight < 0:
        raise ValueError(f"weight {weight} is negative")
    return weight


def _read_count(value: Any) -> int:
    count = read_integer(value)
    if count < 0:
        raise ValueError(f"count {count} is negative")
    return count
