"""Record counters and durations of the daemon for Prometheus."""

import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import prometheus_client
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

__all__ = [
    "CONTENT_TYPE_LATEST",
    "Counter",
    "Gauge",
    "Histogram",
    "Metrics",
    "make_metrics",
    "make_total_counter",
    "render_metrics",
]

# Bucket bounds in seconds; one of them is 1 s, the latency goal for the first token.
LATENCY_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0)
# Labels of the numbers of targets that a service wants and has.
TARGET_LABELS = ("service", "domain", "kind")

Labels = Mapping[str, str]

MetricT = TypeVar(
    "MetricT",
    prometheus_client.Counter,
    prometheus_client.Gauge,
    prometheus_client.Histogram,
)

_NO_LABELS: Labels = {}


class Counter:
    """Counter for each set of labels; an omitted label has an empty value."""

    __slots__ = ("_label_names", "_metric")

    def __init__(self, registry: CollectorRegistry, name: str, *label_names: str):
        self._label_names = label_names
        self._metric = prometheus_client.Counter(
            name, name, label_names, registry=registry
        )

    def add(self, amount: float, labels: Labels = _NO_LABELS) -> None:
        """Add an amount of 0 or more."""
        _with_labels(self._metric, self._label_names, labels).inc(amount)


class Gauge:
    """Value that rises and falls, for each set of labels."""

    __slots__ = ("_label_names", "_metric")

    def __init__(self, registry: CollectorRegistry, name: str, *label_names: str):
        self._label_names = label_names
        self._metric = prometheus_client.Gauge(
            name, name, label_names, registry=registry
        )

    def add(self, amount: float) -> None:
        """Add an amount, which may be negative."""
        self._metric.inc(amount)

    def set(self, value: float, labels: Labels) -> None:
        """Set the value of a set of labels."""
        _with_labels(self._metric, self._label_names, labels).set(value)

    def remove(self, labels: Labels) -> None:
        """Remove a set of labels, if it is there."""
        values = [labels.get(name, "") for name in self._label_names]
        with contextlib.suppress(KeyError):
            self._metric.remove(*values)


class Histogram:
    """Histogram of durations in seconds for each set of labels."""

    __slots__ = ("_label_names", "_metric")

    def __init__(self, registry: CollectorRegistry, name: str, *label_names: str):
        self._label_names = label_names
        self._metric = prometheus_client.Histogram(
            name, name, label_names, buckets=LATENCY_BOUNDS, registry=registry
        )

    def record(self, seconds: float, labels: Labels = _NO_LABELS) -> None:
        """Record one duration in seconds."""
        _with_labels(self._metric, self._label_names, labels).observe(seconds)


@dataclass(slots=True, frozen=True)
class Metrics:
    """Instruments of one daemon; docs/OPERATIONS.md lists names and units."""

    registry: CollectorRegistry
    requests: Counter
    tokens: Counter
    first_token: Histogram
    in_flight: Gauge
    dispatches: Counter
    orders: Counter
    platform_calls: Counter
    peer_bytes: Counter
    ticks: Histogram
    failures: Counter
    limited_sends: Counter
    store_restores: Counter
    crashed_requests: Counter
    resumed_streams: Counter
    retries: Counter
    unrequested_responses: Counter
    refused_keys: Counter
    usage_requests: Counter
    usage_reports: Counter
    usage_windows_left_out: Counter
    wanted_targets: Gauge
    present_targets: Gauge
    organisation_work: Counter
    organisation_refusals: Counter

    def record_sizes(
        self, service: str, subject: tuple[str, bool], wanted: int | None, there: int
    ) -> None:
        """Record the targets of a service in a domain, of one kind.

        Without a number ``wanted`` they are left to the host that plans sizes.
        """
        domain, reclaimable = subject
        kind = "reclaimable" if reclaimable else "fixed"
        labels = {"service": service, "domain": domain, "kind": kind}
        if wanted is None:
            self.wanted_targets.remove(labels)
            self.present_targets.remove(labels)
            return
        self.wanted_targets.set(wanted, labels)
        self.present_targets.set(there, labels)


def make_metrics() -> Metrics:
    """Create the instruments in a new registry."""
    registry = CollectorRegistry()
    return Metrics(
        registry=registry,
        requests=Counter(registry, "galenapass_requests", "verdict", "reason"),
        tokens=Counter(registry, "galenapass_tokens"),
        first_token=Histogram(registry, "galenapass_first_token_seconds", "urgency"),
        in_flight=Gauge(registry, "galenapass_in_flight"),
        dispatches=Counter(registry, "galenapass_dispatches", "target"),
        orders=Counter(registry, "galenapass_orders", "action"),
        platform_calls=Counter(registry, "galenapass_platform_calls", "call"),
        peer_bytes=Counter(registry, "galenapass_peer_bytes", "direction"),
        ticks=Histogram(registry, "galenapass_tick_seconds"),
        failures=Counter(registry, "galenapass_failures", "duty"),
        limited_sends=Counter(registry, "galenapass_limited_sends", "target", "stage"),
        store_restores=Counter(registry, "galenapass_store_restores"),
        crashed_requests=Counter(registry, "galenapass_crashed_requests", "target"),
        resumed_streams=Counter(registry, "galenapass_resumed_streams", "origin"),
        retries=Counter(registry, "galenapass_retries", "service", "decision"),
        unrequested_responses=Counter(registry, "galenapass_unrequested_responses"),
        refused_keys=Counter(registry, "galenapass_refused_keys", "reason"),
        usage_requests=Counter(registry, "galenapass_usage_requests", "organisation"),
        usage_reports=Counter(registry, "galenapass_usage_reports", "outcome"),
        usage_windows_left_out=Counter(registry, "galenapass_usage_windows_left_out"),
        wanted_targets=Gauge(registry, "galenapass_wanted_targets", *TARGET_LABELS),
        present_targets=Gauge(registry, "galenapass_present_targets", *TARGET_LABELS),
        organisation_work=Counter(
            registry, "galenapass_organisation_work_ms", "organisation", "service"
        ),
        organisation_refusals=Counter(
            registry,
            "galenapass_organisation_refusals",
            "organisation",
            "service",
            "cause",
        ),
    )


def make_total_counter(
    counter: Counter, read_total: Callable[[], int], **labels: str
) -> Callable[[], None]:
    """Return a function that adds a running total's growth since its last call."""
    last_total = 0

    def count() -> None:
        nonlocal last_total
        total = read_total()
        counter.add(total - last_total, labels)
        last_total = total

    return count


def render_metrics(metrics: Metrics) -> bytes:
    """Return every metric in the Prometheus text format."""
    return generate_latest(metrics.registry)


def _with_labels(
    metric: MetricT, label_names: tuple[str, ...], labels: Labels
) -> MetricT:
    if not label_names:
        return metric
    return metric.labels(*(labels.get(name, "") for name in label_names))
