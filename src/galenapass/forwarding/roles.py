"""Decide how many engines of a service prefill and which one changes its role."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.tables.targets import Role, Target, TargetState

__all__ = [
    "EngineCount",
    "Pressure",
    "RoleChange",
    "list_engines",
    "note_backlog",
    "note_engines",
    "plan_change",
    "want_prefill",
]

# Before any work was seen, the split that suits prompts longer than answers.
DEFAULT_PREFILL_SHARE = 0.78
# Mean work at the engines that prefill: below the first a prompt of mean length is
# still answered in time, beyond the second the queue takes half of the tightest
# objective (600 ms).
LOW_BACKLOG_MS = 120.0
HIGH_BACKLOG_MS = 300.0
# Prompts come and go within 0.3 s; what they amount to shows over seconds.
BACKLOG_HALF_LIFE = timedelta(seconds=1.5)
# A change takes an engine away for 3 s, and the mix swings within minutes.
CALM_TIME = timedelta(seconds=5)
CROWDED_TIME = timedelta(seconds=1.5)
FEWEST_PREFILL = 1
# A domain that is cut off or engines that restart are back within 3 to 5 s; a change
# of roles in their place would have to be taken back.
SETTLE_TIME = timedelta(seconds=5)
LONGEST_SETTLE_TIME = timedelta(seconds=15)


@dataclass(slots=True)
class Pressure:
    """Hold whether prompts wait, and since when the backlog says otherwise.

    ``is_high`` holds until the backlog was low for a while, and the other way
    round, as each change takes an engine away for seconds.
    """

    is_high: bool = True
    backlog_ms: float = HIGH_BACKLOG_MS
    at: timedelta = timedelta(0)
    opposed_since: timedelta | None = None


@dataclass(slots=True)
class EngineCount:
    """Hold how many engines a service has and since when.

    ``unsettled_since`` is when the number left its last settled value.
    """

    engines: int = 0
    since: timedelta = timedelta(0)
    unsettled_since: timedelta | None = None

    @property
    def is_settled(self) -> bool:
        """Tell whether to plan with this number."""
        return self.unsettled_since is None


@dataclass(slots=True, frozen=True)
class RoleChange:
    """Hold one change of a role and the reason for it.

    It is urgent while no engine has that role.
    """

    target: Target
    role: Role
    why: str
    is_urgent: bool = False


def note_backlog(pressure: Pressure, backlog_ms: float, now: timedelta) -> bool:
    """Follow the mean backlog of the engines that prefill; return a change.

    Load pattern: bursts of seconds around a level that moves within minutes.
    """
    kept = 0.5 ** (max(now - pressure.at, timedelta(0)) / BACKLOG_HALF_LIFE)
    pressure.backlog_ms += (1 - kept) * (backlog_ms - pressure.backlog_ms)
    pressure.at = now
    limit = LOW_BACKLOG_MS if pressure.is_high else HIGH_BACKLOG_MS
    opposed = (pressure.backlog_ms < limit) is pressure.is_high
    if not opposed:
        pressure.opposed_since = None
        return False
    if pressure.opposed_since is None:
        pressure.opposed_since = now
    wait = CALM_TIME if pressure.is_high else CROWDED_TIME
    if now - pressure.opposed_since < wait:
        return False
    pressure.is_high = not pressure.is_high
    pressure.opposed_since = None
    return True


def note_engines(count: EngineCount, engines: int, now: timedelta) -> None:
    """Follow the number of engines.

    Load pattern: a domain that is cut off for seconds under steady load.
    """
    if engines != count.engines:
        if count.engines and count.unsettled_since is None:
            count.unsettled_since = now
        count.engines, count.since = engines, now
    start = count.unsettled_since
    if start is None:
        return
    if now - count.since >= SETTLE_TIME or now - start >= LONGEST_SETTLE_TIME:
        count.unsettled_since = None


def want_prefill(engines: int, domains: int, share: float, is_high: bool) -> int:
    """Return how many of the engines are to prefill.

    While no prompts wait each domain keeps an engine that decodes, so that one
    that is cut off goes on.
    """
    fewest_decode = 1 if is_high else min(domains, engines // 2)
    wanted = round(engines * share)
    return max(min(FEWEST_PREFILL, engines - 1), min(wanted, engines - fewest_decode))


def list_engines(targets: Iterable[Target], service: str) -> list[Target]:
    """Return the engines of a service that have a role and go on serving."""
    return [
        t
        for t in targets
        if t.service == service
        and t.role in (Role.PREFILL, Role.DECODE)
        and t.state in (TargetState.SERVING, TargetState.CHANGING)
    ]


def plan_change(
    targets: Iterable[Target],
    service: str,
    share: float,
    is_high: bool,
    ordered: dict[str, Role],
) -> RoleChange | None:
    """Return the next change that brings a service nearer to the wanted split.

    ``ordered`` maps the targets whose last order is not settled to the role that
    they count in; they get no other order.
    """
    engines = list_engines(targets, service)
    role_of = lambda target: ordered.get(target.id, target.role)  # noqa: E731
    prefill = [t for t in engines if role_of(t) is Role.PREFILL]
    decode = [t for t in engines if role_of(t) is Role.DECODE]
    domains = len({target.domain for target in engines})
    wanted = want_prefill(len(engines), domains, share, is_high)
    why = f"{len(prefill)} of {len(engines)} prefill, {wanted} wanted"
    if len(prefill) < wanted:
        return _pick(decode, Role.PREFILL, ordered, why, is_urgent=not prefill)
    if len(prefill) > wanted:
        return _pick_scarce(prefill, decode, ordered, why)
    return _spread(prefill, decode, ordered)


def _pick(
    source: list[Target],
    role: Role,
    ordered: dict[str, Role],
    why: str,
    is_urgent: bool,
) -> RoleChange | None:
    """Take the target from the domain that has most engines in the old role."""
    free = _list_free(source, ordered)
    count = _count_domains(source)
    if not free:
        return None
    target = max(free, key=lambda t: count[t.domain])
    return RoleChange(target, role, why, is_urgent)


def _pick_scarce(
    prefill: list[Target], decode: list[Target], ordered: dict[str, Role], why: str
) -> RoleChange | None:
    """Take a target to decode from the domain that has fewest that do."""
    free = _list_free(prefill, ordered)
    count = _count_domains(decode)
    if not free:
        return None
    target = min(free, key=lambda t: count[t.domain])
    return RoleChange(target, Role.DECODE, why, is_urgent=not decode)


def _spread(
    prefill: list[Target], decode: list[Target], ordered: dict[str, Role]
) -> RoleChange | None:
    """Give a domain without decoding an engine that decodes, if one can be spared.

    The change back in the domain that has most follows from the numbers.
    """
    count = _count_domains(decode)
    bare = [t for t in prefill if not count[t.domain]]
    if not bare or max(count.values(), default=0) < 2:
        return None
    why = f"nothing decodes in {bare[0].domain}"
    return _pick_scarce(bare, decode, ordered, why)


def _list_free(targets: list[Target], ordered: dict[str, Role]) -> list[Target]:
    return sorted((t for t in targets if t.id not in ordered), key=lambda t: t.id)


def _count_domains(targets: list[Target]) -> Counter[str]:
    return Counter(target.domain for target in targets)
