"""Keep the platform's own record of its calls and writes, and its faults."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Account", "Call", "Faults", "Write", "describe_account"]


@dataclass(slots=True)
class Faults:
    """Hold the faults in force; ``delay`` and ``host_list_lag`` are seconds."""

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    cut_domains: list[str] = field(default_factory=list)
    host_list_lag: float | None = None


@dataclass(slots=True, frozen=True)
class Call:
    """Name a sort of call; a waiting watch is one call."""

    method: str
    kind: str
    host: str


@dataclass(slots=True, frozen=True)
class Write:
    """Hold one write that took effect; ``at`` is seconds since the start."""

    version: int
    kind: str
    name: str
    host: str
    deleted: bool
    at: float


@dataclass(slots=True)
class Account:
    """Hold every call, whatever its outcome, and every write that took effect."""

    calls: Counter[Call] = field(default_factory=Counter)
    writes: list[Write] = field(default_factory=list)
    lost_answers: int = 0
    dropped_calls: int = 0


def describe_account(account: Account) -> dict[str, Any]:
    """Return the account as it is given out."""
    by_kind: dict[str, Counter[str]] = {}
    for call, count in account.calls.items():
        by_kind.setdefault(call.kind, Counter())[call.host] += count
    return {
        "calls": by_kind,
        "calls_by_method": [
            {"method": one.method, "kind": one.kind, "host": one.host, "count": count}
            for one, count in account.calls.items()
        ],
        "writes": account.writes,
        "lost_answers": account.lost_answers,
        "dropped_calls": account.dropped_calls,
    }
