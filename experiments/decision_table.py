"""Show from daemons' logs where requests waited and why some were not served.

Usage: python -m experiments.decision_table LOG, where LOG has the log lines of the
daemons; text before the JSON of a line is ignored. Times are those of the daemons'
clocks, durations are in milliseconds.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import numpy as np
import orjson

__all__ = ["RequestTimeline", "count_unserved", "read_timelines", "summarise_stages"]

WINDOW_SECONDS = 2.0
# Prompts with fewer tokens than this, cached ones included, are listed as short.
LONG_PROMPT_TOKENS = 2500
QUANTILES = (0.25, 0.5, 0.75, 0.9)
MILLISECONDS = 1000.0

_JSON = re.compile(r"\{.*\}")
_TOKENS = re.compile(r"unread (\d+) of (\d+)")
_NUMBER = re.compile(r"[\d.]+")


@dataclass(slots=True)
class RequestTimeline:
    """Times of one request's stages in seconds, None for a stage not reached."""

    arrived: float
    ended: float
    reason: str
    detail: str
    tokens: int | None = None
    prefill_at: float | None = None
    decode_at: float | None = None


def read_timelines(lines: Iterable[str]) -> list[RequestTimeline]:
    """Return the timelines of the requests that ended, sorted by arrival time."""
    entries: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for entry in _read_entries(lines):
        entries[entry["request"]].append(entry)
    timelines = [_build_timeline(steps) for steps in entries.values()]
    return sorted((t for t in timelines if t is not None), key=lambda t: t.arrived)


def summarise_stages(
    timelines: Iterable[RequestTimeline],
) -> dict[tuple[str, str], list[float]]:
    """Return quantiles of each stage's duration in milliseconds, by prompt length."""
    durations: dict[tuple[str, str], list[float]] = defaultdict(list)
    for timeline in timelines:
        if timeline.tokens is None or timeline.prefill_at is None:
            continue
        size = "long" if timeline.tokens >= LONG_PROMPT_TOKENS else "short"
        durations[size, "wait"].append(timeline.prefill_at - timeline.arrived)
        if timeline.decode_at is not None:
            durations[size, "read"].append(timeline.decode_at - timeline.prefill_at)
            durations[size, "until run"].append(timeline.decode_at - timeline.arrived)
    return {
        key: [float(q) * MILLISECONDS for q in np.quantile(values, QUANTILES)]
        for key, values in durations.items()
    }


def count_unserved(
    timelines: Iterable[RequestTimeline],
) -> Counter[tuple[float, str, str]]:
    """Return the number of requests not served, by time window, reason and detail."""
    return Counter(
        (
            timeline.arrived // WINDOW_SECONDS * WINDOW_SECONDS,
            timeline.reason,
            _NUMBER.sub("N", timeline.detail),
        )
        for timeline in timelines
        if timeline.reason != "completed"
    )


def _read_entries(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        match = _JSON.search(line)
        if match is None or '"request"' not in line:
            continue
        try:
            entry = orjson.loads(match[0])
        except orjson.JSONDecodeError:
            # The line was truncated when its process ended.
            continue
        yield entry


def _build_timeline(steps: list[dict[str, Any]]) -> RequestTimeline | None:
    steps.sort(key=lambda step: step["timestamp"])
    ended = next((s for s in reversed(steps) if s["text"] == "entry: ended"), None)
    if ended is None:
        return None
    end = ended["timestamp"]
    arrived = end - ended["took_ms"] / MILLISECONDS
    timeline = RequestTimeline(arrived, end, ended["reason"], ended["detail"])
    prefills = [s for s in steps if s["text"] == "forwarding: reads"]
    decodes = [s for s in steps if s["text"] == "forwarding: runs" and s.get("source")]
    if prefills:
        timeline.prefill_at = prefills[0]["timestamp"]
        tokens = _TOKENS.search(prefills[0]["why"])
        timeline.tokens = int(tokens[2]) if tokens else None
    if prefills and decodes:
        timeline.decode_at = decodes[0]["timestamp"]
    return timeline


@click.command()
@click.argument("log", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def main(log: Path) -> None:
    """Print stage durations and unserved requests of the log file LOG."""
    with log.open(errors="replace") as lines:
        timelines = read_timelines(lines)
    click.echo(f"{len(timelines)} requests; quantiles {QUANTILES}, milliseconds")
    for (size, stage), values in sorted(summarise_stages(timelines).items()):
        click.echo(f"{size:6} {stage:10} " + " ".join(f"{v:8.0f}" for v in values))
    first = timelines[0].arrived if timelines else 0.0
    for (window, reason, detail), count in sorted(count_unserved(timelines).items()):
        click.echo(f"{window - first:6.0f} s {count:6} {reason}: {detail}")


if __name__ == "__main__":
    main()
