"""Count and time what the daemon does, through OpenTelemetry."""

from collections.abc import Callable
from dataclasses import dataclass

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, UpDownCounter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

__all__ = [
    "CONTENT_TYPE_LATEST",
    "Metrics",
    "make_metrics",
    "make_total_counter",
    "render_metrics",
]

# Seconds; the first token's target of 1 s lies between two bounds.
LATENCY_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0)


@dataclass(slots=True, frozen=True)
class Metrics:
    """Hold the instruments; names and units stand in docs/OPERATIONS.md."""

    requests: Counter
    tokens: Counter
    first_token: Histogram
    in_flight: UpDownCounter
    dispatches: Counter
    orders: Counter
    platform_calls: Counter
    peer_bytes: Counter
    ticks: Histogram
    failures: Counter


def make_metrics() -> Metrics:
    """Create the instruments and their Prometheus outlet."""
    latency = ExplicitBucketHistogramAggregation(LATENCY_BOUNDS)
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()],
        views=[View(instrument_unit="s", aggregation=latency)],
    )
    meter = provider.get_meter("galenapass")
    return Metrics(
        requests=meter.create_counter("galenapass.requests", "{request}"),
        tokens=meter.create_counter("galenapass.tokens", "{token}"),
        first_token=meter.create_histogram("galenapass.first_token", "s"),
        in_flight=meter.create_up_down_counter("galenapass.in_flight", "{request}"),
        dispatches=meter.create_counter("galenapass.dispatches", "{dispatch}"),
        orders=meter.create_counter("galenapass.orders", "{order}"),
        platform_calls=meter.create_counter("galenapass.platform_calls", "{call}"),
        peer_bytes=meter.create_counter("galenapass.peer_bytes", "By"),
        ticks=meter.create_histogram("galenapass.tick", "s"),
        failures=meter.create_counter("galenapass.failures", "{failure}"),
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


def render_metrics() -> bytes:
    """Return every metric in the Prometheus text format."""
    return generate_latest()
