"""Count and time what the daemon does, for Prometheus to fetch."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import prometheus_client
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

__all__ = [
    "CONTENT_TYPE_LATEST",
    "Counter",
    "Histogram",
    "Level",
    "Metrics",
    "make_metrics",
    "make_total_counter",
    "render_metrics",
]

# Seconds; the first token's target of 1 s lies between two bounds.
LATENCY_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0)

Labels = Mapping[str, str]

M = TypeVar("M", prometheus_client.Counter, prometheus_client.Histogram)

_NONE: Labels = {}


class Counter:
    """Count up, apart for each set of labels; a label that is left out is empty."""

    __slots__ = ("_metric", "_names")

    def __init__(self, registry: CollectorRegistry, name: str, *names: str):
        self._names = names
        self._metric = prometheus_client.Counter(name, name, names, registry=registry)

    def add(self, amount: float, labels: Labels = _NONE) -> None:
        """Add an amount of 0 or more."""
        _pick(self._metric, self._names, labels).inc(amount)


class Level:
    """Count up and down."""

    __slots__ = ("_metric",)

    def __init__(self, registry: CollectorRegistry, name: str):
        self._metric = prometheus_client.Gauge(name, name, registry=registry)

    def add(self, amount: float) -> None:
        """Add an amount, which may be negative."""
        self._metric.inc(amount)


class Histogram:
    """Spread durations in seconds over buckets, apart for each set of labels."""

    __slots__ = ("_metric", "_names")

    def __init__(self, registry: CollectorRegistry, name: str, *names: str):
        self._names = names
        self._metric = prometheus_client.Histogram(
            name, name, names, buckets=LATENCY_BOUNDS, registry=registry
        )

    def record(self, seconds: float, labels: Labels = _NONE) -> None:
        """Take in one duration."""
        _pick(self._metric, self._names, labels).observe(seconds)


@dataclass(slots=True, frozen=True)
class Metrics:
    """Hold the instruments; names and units stand in docs/OPERATIONS.md."""

    registry: CollectorRegistry
    requests: Counter
    tokens: Counter
    first_token: Histogram
    in_flight: Level
    dispatches: Counter
    orders: Counter
    platform_calls: Counter
    peer_bytes: Counter
    ticks: Histogram
    failures: Counter


def make_metrics() -> Metrics:
    """Create the instruments, with a registry of their own."""
    registry = CollectorRegistry()
    return Metrics(
        registry=registry,
        requests=Counter(registry, "galenapass_requests", "verdict", "reason"),
        tokens=Counter(registry, "galenapass_tokens"),
        first_token=Histogram(registry, "galenapass_first_token_seconds", "urgency"),
        in_flight=Level(registry, "galenapass_in_flight"),
        dispatches=Counter(registry, "galenapass_dispatches", "target"),
        orders=Counter(registry, "galenapass_orders", "action"),
        platform_calls=Counter(registry, "galenapass_platform_calls", "call"),
        peer_bytes=Counter(registry, "galenapass_peer_bytes", "direction"),
        ticks=Histogram(registry, "galenapass_tick_seconds"),
        failures=Counter(registry, "galenapass_failures", "duty"),
    )


def make_total_counter(
    counter: Counter, read: Callable[[], int], **labels: str
) -> Callable[[], None]:
    """Return a call that adds what a running total has grown by since the last one."""
    counted = 0

    def count() -> None:
        nonlocal counted
        total = read()
        counter.add(total - counted, labels)
        counted = total

    return count


def render_metrics(metrics: Metrics) -> bytes:
    """Return every metric in the Prometheus text format."""
    return generate_latest(metrics.registry)


def _pick(metric: M, names: tuple[str, ...], labels: Labels) -> M:
    if not names:
        return metric
    return metric.labels(*(labels.get(name, "") for name in names))
