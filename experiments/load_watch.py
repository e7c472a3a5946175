"""Watch what engines and daemons of a run do: roles, processor time, caches."""

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

__all__ = ["Watch", "find_early", "read_cached", "read_processor", "watch_roles"]

POLL_SECONDS = 0.5
REST_SECONDS = 60.0  # between two changes of one target
CACHED = re.compile(rb"(\d+) of (\d+) tokens cached")
Roles = list[tuple[float, Counter[str]]]


@dataclass(slots=True)
class Watch:
    """Hold what was seen of the engines while a trace was played."""

    roles: Roles = field(default_factory=list)
    changes: dict[str, list[float]] = field(default_factory=dict)
    last: dict[str, str] = field(default_factory=dict)


async def watch_roles(fleet: Fleet, begin: float, watch: Watch) -> None:
    """Read every engine's role until cancelled."""
    while True:
        at = time.time() - begin
        states = {name: await _read_role(fleet, name) for name in fleet.targets}
        watch.roles.append((at, Counter(states.values())))
        for name, role in states.items():
            if role == "away":
                continue
            if watch.last.setdefault(name, role) != role:
                watch.changes.setdefault(name, []).append(at)
            watch.last[name] = role
        await asyncio.sleep(POLL_SECONDS)


async def _read_role(fleet: Fleet, name: str) -> str:
    url = f"http://{fleet.processes[name].address}/state"
    try:
        async with fleet.session.get(url) as answer:
            state = orjson.loads(await answer.read())
    except (aiohttp.ClientError, ValueError):
        return "away"
    return str(state["role"]) if state["phase"] == "serving" else "away"


def find_early(watch: Watch) -> list[str]:
    """Return the targets that changed role twice within the rest."""
    return [
        name
        for name, times in watch.changes.items()
        if any(b - a < REST_SECONDS for a, b in zip(times, times[1:], strict=False))
    ]


def read_processor(fleet: Fleet) -> dict[str, float]:
    """Return the processor seconds that each daemon has used."""
    ticks = os.sysconf("SC_CLK_TCK")
    used = {}
    for name in fleet.daemons:
        try:
            text = Path(f"/proc/{fleet.processes[name].pid}/stat").read_text()
        except OSError:
            continue
        fields = text.rpartition(")")[2].split()
        used[name] = (int(fields[11]) + int(fields[12])) / ticks
    return used


def read_cached(fleet: Fleet) -> float:
    """Return the share of prompt tokens that daemons believed to be cached."""
    found = [
        match
        for name in fleet.daemons
        for match in CACHED.findall((fleet.folder / f"{name}.log").read_bytes())
    ]
    return sum(int(c) for c, _ in found) / max(1, sum(int(p) for _, p in found))
