"""Observe roles, processor time and caches of a fleet during a run."""

import asyncio
import os
import re
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import orjson

from experiments.fleet import Fleet

__all__ = [
    "RoleHistory",
    "find_early_changes",
    "read_cached_share",
    "read_processor_seconds",
    "watch_roles",
]

POLL_SECONDS = 0.5
MIN_CHANGE_INTERVAL_SECONDS = 60.0  # between two role changes of one target
CACHED_TOKENS = re.compile(rb"(\d+) of (\d+) tokens cached")
RoleCounts = list[tuple[float, Counter[str]]]


@dataclass(slots=True)
class RoleHistory:
    """Roles of the engines while a trace was replayed; times in seconds."""

    role_counts: RoleCounts = field(default_factory=list)
    change_times: dict[str, list[float]] = field(default_factory=dict)
    last_roles: dict[str, str] = field(default_factory=dict)


async def watch_roles(fleet: Fleet, begin: float, history: RoleHistory) -> None:
    """Poll every engine's role until cancelled."""
    while True:
        at = time.time() - begin
        states = {name: await _read_role(fleet, name) for name in fleet.targets}
        history.role_counts.append((at, Counter(states.values())))
        for name, role in states.items():
            if role == "away":
                continue
            if history.last_roles.setdefault(name, role) != role:
                history.change_times.setdefault(name, []).append(at)
            history.last_roles[name] = role
        await asyncio.sleep(POLL_SECONDS)


async def _read_role(fleet: Fleet, name: str) -> str:
    url = f"http://{fleet.processes[name].address}/state"
    try:
        async with fleet.session.get(url) as response:
            state = orjson.loads(await response.read())
    except (aiohttp.ClientError, ValueError):
        return "away"
    return str(state["role"]) if state["phase"] == "serving" else "away"


def find_early_changes(history: RoleHistory) -> list[str]:
    """Return the targets that changed role twice within the minimum interval."""
    return [
        name
        for name, times in history.change_times.items()
        if any(
            b - a < MIN_CHANGE_INTERVAL_SECONDS
            for a, b in zip(times, times[1:], strict=False)
        )
    ]


def read_processor_seconds(fleet: Fleet) -> dict[str, float]:
    """Return the processor seconds used by each daemon."""
    ticks = os.sysconf("SC_CLK_TCK")
    processor_seconds = {}
    for name in fleet.daemons:
        try:
            text = Path(f"/proc/{fleet.processes[name].pid}/stat").read_text()
        except OSError:
            continue
        fields = text.rpartition(")")[2].split()
        processor_seconds[name] = (int(fields[11]) + int(fields[12])) / ticks
    return processor_seconds


def read_cached_share(fleet: Fleet) -> float:
    """Return the share of prompt tokens that daemons logged as cached."""
    matches = [
        match
        for name in fleet.daemons
        for match in CACHED_TOKENS.findall((fleet.folder / f"{name}.log").read_bytes())
    ]
    return sum(int(c) for c, _ in matches) / max(1, sum(int(p) for _, p in matches))
