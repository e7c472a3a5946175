"""Record what an engine ran and the faults injected into it."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from stand_ins.engine_orders import Order, Orders

__all__ = ["Account", "Faults", "describe_account"]


@dataclass(slots=True)
class Faults:
    """Active faults of an engine; docs/INTERFACES.md describes each."""

    crash: bool = False
    crash_on: str = ""
    crash_in_change: bool = False
    slow: float = 1.0
    duplicate_events: bool = False
    drop_stream_after: int = 0
    refuse: bool = False
    leaving: bool = False


@dataclass(slots=True)
class Account:
    """Counts and request ids of what an engine did; survives simulated crashes.

    ``runs`` counts started whole requests, ``prefills`` started prefill-only requests.
    ``resumes`` counts the runs that continue after tokens of another engine,
    ``replays`` the reconnections to a stream that caused no new run.
    """

    runs: Counter[str] = field(default_factory=Counter)
    prefills: Counter[str] = field(default_factory=Counter)
    resumes: Counter[str] = field(default_factory=Counter)
    replays: Counter[str] = field(default_factory=Counter)
    completed: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    cut_off: list[str] = field(default_factory=list)
    cut_off_prefills: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    imports: int = 0
    imports_failed: int = 0
    crashes: int = 0
    refused: int = 0


def describe_account(account: Account, orders: Orders) -> dict[str, Any]:
    """Return the account as reported over HTTP."""
    return {
        "runs": dict(account.runs),
        "prefills": dict(account.prefills),
        "resumes": dict(account.resumes),
        "replays": dict(account.replays),
        "completed": account.completed,
        "cancelled": account.cancelled,
        "cut_off": account.cut_off,
        "cut_off_prefills": account.cut_off_prefills,
        "lost": account.lost,
        "imports": account.imports,
        "imports_failed": account.imports_failed,
        "crashes": account.crashes,
        "refused": account.refused,
        "orders": _describe_orders(orders),
        "conflicts": [
            {"under_way": conflict.under_way.id, "accepted": conflict.accepted.id}
            for conflict in orders.conflicts
        ],
    }


def _describe_orders(orders: Orders) -> Iterable[dict[str, Any]]:
    return [
        {**_describe_order(record.order), "outcome": record.outcome.value}
        for record in orders.records
    ]


def _describe_order(order: Order) -> dict[str, Any]:
    return {
        "id": order.id,
        "fence": order.fence,
        "action": order.action.value,
        "value": order.value,
    }
