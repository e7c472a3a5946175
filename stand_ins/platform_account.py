"""Record the platform's calls and writes, and define its faults."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Account", "Call", "Faults", "Write", "describe_account"]


@dataclass(slots=True)
class Faults:
    """Active faults; ``delay`` and ``host_list_lag`` are in seconds."""

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    cut_domains: list[str] = field(default_factory=list)
    host_list_lag: float | None = None


@dataclass(slots=True, frozen=True)
class Call:
    """Key for counting calls; one watch is one call."""

    method: str
    kind: str
    host: str


@dataclass(slots=True, frozen=True)
class Write:
    """Write that took effect; ``at`` is in seconds since the start."""

    version: int
    kind: str
    name: str
    host: str
    deleted: bool
    at: float


@dataclass(slots=True)
class Account:
    """Counts of all calls, failed ones included, and all writes that took effect."""

    calls: Counter[Call] = field(default_factory=Counter)
    writes: list[Write] = field(default_factory=list)
    lost_answers: int = 0
    dropped_calls: int = 0


def describe_account(account: Account) -> dict[str, Any]:
    """Return the account as reported over HTTP."""
    by_kind: dict[str, Counter[str]] = {}
    for call, count in account.calls.items():
        by_kind.setdefault(call.kind, Counter())[call.host] += count
    return {
        "calls": by_kind,
        "calls_by_method": [
            {
                "method": call.method,
                "kind": call.kind,
                "host": call.host,
                "count": count,
            }
            for call, count in account.calls.items()
        ],
        "writes": account.writes,
        "lost_answers": account.lost_answers,
        "dropped_calls": account.dropped_calls,
    }
