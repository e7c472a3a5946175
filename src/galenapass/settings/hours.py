"""Parse spans of hours and find a caller's urgency at a given time."""

import re
from datetime import datetime, time, timedelta
from zoneinfo import ZoneInfo

from result import Err, Ok, Result

from galenapass.tables.configurations import Caller, Hours
from galenapass.tables.requests import Urgency

__all__ = ["is_within", "parse_hours", "find_urgency"]

DAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
WEEK = frozenset(range(len(DAYS)))
MIDNIGHT = time(0, 0)

_HOURS = re.compile(r"(?:([A-Z][a-z]{2})(?:-([A-Z][a-z]{2}))? +)?([0-9:]+)-([0-9:]+)")
_TIME = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")


def parse_hours(text: str) -> Result[Hours, str]:
    """Parse hours such as ``Mon-Sat 08:00-18:00``; a span may cross midnight."""
    expected = "hours such as `Mon-Sat 08:00-18:00` or `22:00-06:00`"
    match = _HOURS.fullmatch(text)
    if not match:
        return Err(expected)
    days = _parse_days(match[1], match[2])
    start = _parse_time(match[3])
    end = MIDNIGHT if match[4] == "24:00" else _parse_time(match[4])
    if days is None or start is None or end is None or match[3] == match[4]:
        return Err(expected)
    return Ok(Hours(start=start, end=end, days=days))


def is_within(hours: Hours, local: datetime) -> bool:
    """Return whether a local time is in the hours; days apply to the start time."""
    today = local.weekday() in hours.days
    yesterday = (local.weekday() - 1) % len(DAYS) in hours.days
    time_of_day = local.time()
    if hours.start < hours.end:
        return today and hours.start <= time_of_day < hours.end
    return (today and time_of_day >= hours.start) or (
        yesterday and time_of_day < hours.end
    )


def find_urgency(
    caller: Caller, now: datetime, zone: ZoneInfo
) -> tuple[Urgency, timedelta]:
    """Return the urgency and the patience of a caller at a timezone-aware time."""
    if now.tzinfo is None:
        raise ValueError(f"expected a timezone-aware time, got {now}")
    local = now.astimezone(zone)
    urgent = any(is_within(hours, local) for hours in caller.urgent_hours)
    urgency = Urgency.URGENT if urgent else caller.urgency
    if urgency is Urgency.URGENT:
        return urgency, caller.urgent_patience
    return urgency, caller.patience


def _parse_time(text: str) -> time | None:
    match = _TIME.fullmatch(text)
    return time(int(match[1]), int(match[2])) if match else None


def _parse_days(first: str | None, last: str | None) -> frozenset[int] | None:
    if first is None:
        return WEEK
    last = last or first
    if first not in DAYS or last not in DAYS:
        return None
    start = DAYS.index(first)
    length = (DAYS.index(last) - start) % len(DAYS) + 1
    return frozenset((start + step) % len(DAYS) for step in range(length))
