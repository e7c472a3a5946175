"""Find the prompt parts that crash targets, from what ran when targets crashed.

A crash ends every request that ran, so one crash accuses all of their parts alike. A
part is blocked once its presence in several crashes cannot be chance: parts that are
often in whole answers are in most crashes too, and those of a whole answer that began
after a crash did not cause it. What ran is known once all hosts have reported, so a
crash counts from then on.

Pure functions; times are monotonic.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from galenapass.tables.crashes import Crash

__all__ = [
    "CrashEvidence",
    "CrashReport",
    "PartBlock",
    "Sighting",
    "apply_block",
    "block_parts",
    "find_blocked",
    "is_explained",
    "forget_old_crashes",
    "is_suspected",
    "list_blocks",
    "list_sound_parts",
    "name_crash",
    "record_answer",
    "record_sound_parts",
    "record_report",
]

# Crashes after each other that a part is present in before it is blocked.
MIN_CRASHES = 3
# Logarithm of the odds against chance from which a part is blocked; hundreds of parts
# are present in a few crashes.
MIN_SCORE = math.log(1000)
# The odds rise with the share of answers that a wrong block would refuse, above this.
RARE_SHARE = 0.01
# From here a request that has lost a target to a crash is not sent to another one.
SUSPECT_CRASHES = 2
SUSPECT_SCORE = MIN_SCORE / 2
# Parts whose scores differ by less are not told apart.
TIE_SCORE = 1.0
# A block ends after this time, which doubles each time that the part crashes a target
# again afterwards.
BLOCK_TIME = timedelta(minutes=10)
MAX_STRIKES = 6
# Crashes further apart have causes of their own.
EVIDENCE_TIME = timedelta(minutes=10)
# Hosts report a crash within this time of each other, with a report lost in between.
SETTLE_TIME = timedelta(milliseconds=250)
# A time that another host tells moves by less than this on its way.
TRANSIT_TIME = timedelta(minutes=1)
MAX_CRASHES = 256
MAX_SOUND_PARTS = 8192
MAX_BLOCKS = 256
# Answers from which the share of a part is estimated, by service.
MAX_ANSWERS = 400
ANSWER_TIME = timedelta(minutes=2)


@dataclass(slots=True, frozen=True)
class Sighting:
    """Prompt part that ``requests`` at a crashed target had, the last sent last."""

    part: int
    requests: int
    sent_at: timedelta


@dataclass(slots=True, frozen=True)
class CrashReport:
    """Requests of one host that may have crashed a target as their answers began.

    ``fingerprints`` identifies the whole requests.
    """

    crash: Crash
    service: str
    host: str
    at: timedelta
    requests: int
    sightings: tuple[Sighting, ...]
    fingerprints: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class PartBlock:
    """Prompt part that is kept from targets until a time.

    ``crashed_at`` is the last crash that it caused, ``strikes`` the number of earlier
    blocks.
    """

    part: int
    crashed_at: timedelta
    until: timedelta
    strikes: int = 0


@dataclass(slots=True)
class _CrashRecord:
    """Reports of all hosts on one crash, which this host knows since ``known_at``."""

    service: str
    at: timedelta
    known_at: timedelta
    requests: dict[str, int] = field(default_factory=dict)
    reported_at: dict[str, timedelta] = field(default_factory=dict)
    sightings: dict[int, dict[str, Sighting]] = field(default_factory=dict)

    @property
    def running(self) -> int:
        return sum(self.requests.values())

    def find_last_sent(self, part: int) -> timedelta:
        return max(s.sent_at for s in self.sightings[part].values())

    def find_crash_time(self, part: int) -> timedelta:
        """Return when the crash was noticed by the first host that sent a part.

        A host that missed a crash reports the next one under its name.
        """
        return min(self.reported_at[host] for host in self.sightings[part])


@dataclass(slots=True)
class _Answers:
    """Parts of the last whole answers of a service, and when these began."""

    recent: deque[tuple[timedelta, tuple[int, ...]]] = field(default_factory=deque)
    counts: Counter[int] = field(default_factory=Counter)

    def estimate_share(self, part: int, at_least: int = 0) -> float:
        """Return the share of answers with a part, above 0 and below 1.

        ``at_least`` answers with it are known, of this host or others.
        """
        count = max(self.counts[part], at_least)
        return (count + 0.5) / (max(len(self.recent), count) + 1)

    def count_since(self, time: timedelta) -> int:
        count = 0
        for began_at, _ in reversed(self.recent):
            if began_at <= time:
                break
            count += 1
        return count


@dataclass(slots=True)
class CrashEvidence:
    """Crashes and the parts present in them, whole answers, and blocked parts.

    ``sound_at`` maps parts to when the last whole answer with them began.
    """

    crashes: dict[Crash, _CrashRecord] = field(default_factory=dict)
    crashes_by_part: dict[int, dict[Crash, None]] = field(default_factory=dict)
    sound_at: dict[int, timedelta] = field(default_factory=dict)
    answers: dict[str, _Answers] = field(default_factory=dict)
    blocks: dict[int, PartBlock] = field(default_factory=dict)


def name_crash(
    evidence: CrashEvidence, target: str, incarnation: str, returned_at: timedelta
) -> Crash:
    """Return the name of a crash, the number of which follows from what is known.

    A target that restarts under its id has its former incarnation until the store
    tells the new one. A crash is a later one than a known crash only if the target
    answered after that became known; the request that was lost and one that was
    answered were sent at ``returned_at`` or later. No clocks of two hosts are
    compared, so there are never more names than crashes.
    """
    number, crash = 1, Crash(target, incarnation)
    while (record := evidence.crashes.get(crash)) and record.known_at < returned_at:
        number += 1
        crash = Crash(target, f"{incarnation}#{number}")
    return crash


def record_report(evidence: CrashEvidence, report: CrashReport, now: timedelta) -> bool:
    """Merge a report; return whether it tells anything new."""
    record = evidence.crashes.get(report.crash)
    is_new = record is None
    if record is None:
        record = _CrashRecord(report.service, report.at, known_at=now)
        evidence.crashes[report.crash] = record
    record.at = min(record.at, report.at)
    reported_at = record.reported_at.get(report.host, report.at)
    record.reported_at[report.host] = min(reported_at, report.at)
    if report.requests > record.requests.get(report.host, -1):
        record.requests[report.host] = report.requests
        is_new = True
    for sighting in report.sightings:
        hosts = record.sightings.setdefault(sighting.part, {})
        known = hosts.get(report.host)
        if known is None or known.requests < sighting.requests:
            hosts[report.host] = sighting
            evidence.crashes_by_part.setdefault(sighting.part, {})[report.crash] = None
            is_new = True
    while len(evidence.crashes) > MAX_CRASHES:
        _forget_crash(evidence, next(iter(evidence.crashes)))
    return is_new


def record_answer(
    evidence: CrashEvidence,
    service: str,
    parts: tuple[int, ...],
    began_at: timedelta,
    now: timedelta,
) -> list[int]:
    """Record a whole answer; return the parts that it newly clears of a crash."""
    answers = evidence.answers.setdefault(service, _Answers())
    answers.recent.append((began_at, parts))
    answers.counts.update(parts)
    while len(answers.recent) > MAX_ANSWERS or (
        answers.recent and now - answers.recent[0][0] > ANSWER_TIME
    ):
        _, forgotten = answers.recent.popleft()
        answers.counts.subtract(forgotten)
        for part in forgotten:
            if not answers.counts[part]:
                del answers.counts[part]
    return record_sound_parts(evidence, parts, began_at)


def record_sound_parts(
    evidence: CrashEvidence, parts: Iterable[int], began_at: timedelta
) -> list[int]:
    """Record parts of a whole answer; return those that it newly clears of a crash.

    A block ends with a whole answer that began after the last crash.
    """
    cleared = []
    for part in parts:
        before = evidence.sound_at.pop(part, None)
        evidence.sound_at[part] = max(began_at, before or began_at)
        if _has_crash_between(evidence, part, before, began_at):
            cleared.append(part)
        block = evidence.blocks.get(part)
        if block is not None and began_at > block.crashed_at:
            del evidence.blocks[part]
    while len(evidence.sound_at) > MAX_SOUND_PARTS:
        del evidence.sound_at[next(iter(evidence.sound_at))]
    return cleared


def list_sound_parts(
    evidence: CrashEvidence, crash: Crash
) -> list[tuple[tuple[int, ...], timedelta]]:
    """Return the parts in a crash that whole answers had, and a time since when.

    Those of answers that began after the crash are apart from those before it, which
    have a time that stays before the crash when it is told late.
    """
    record = evidence.crashes.get(crash)
    if record is None:
        return []
    since: dict[int, timedelta] = {}
    before: dict[int, timedelta] = {}
    for part in record.sightings:
        sound_at = evidence.sound_at.get(part)
        if sound_at is None or record.at - sound_at > ANSWER_TIME:
            continue
        (since if sound_at > record.at else before)[part] = sound_at
    sound = []
    if since:
        sound.append((tuple(since), min(since.values())))
    if before:
        told_at = min(*before.values(), record.at - TRANSIT_TIME)
        sound.append((tuple(before), told_at))
    return sound


def block_parts(
    evidence: CrashEvidence, crash: Crash, now: timedelta
) -> list[PartBlock]:
    """Block the parts in a crash that are now known to crash targets; return them.

    Blocks nothing before ``SETTLE_TIME`` has passed since the crash became known.
    """
    settled_by = now - SETTLE_TIME
    record = evidence.crashes.get(crash)
    if record is None or record.known_at > settled_by:
        return []
    blocked = [
        _block(evidence, part, record.at, now)
        for part in record.sightings
        if _has_returned(evidence, part, record)
    ]
    scores = {
        part: _score(evidence, part, settled_by)
        for part in record.sightings
        if part not in evidence.blocks
    }
    best = max((score for _, score in scores.values()), default=0.0)
    blocked += [
        _block(evidence, part, record.at, now)
        for part, (crashes, score) in scores.items()
        if crashes >= MIN_CRASHES
        and score >= max(_find_min_score(evidence, part, record), best - TIE_SCORE)
    ]
    return blocked


def apply_block(evidence: CrashEvidence, block: PartBlock) -> bool:
    """Apply a block that another host tells; return whether it is new."""
    known = evidence.blocks.get(block.part)
    sound_at = evidence.sound_at.get(block.part)
    if sound_at is not None and sound_at > block.crashed_at:
        return False
    if known is not None and known.strikes >= block.strikes:
        return False
    evidence.blocks[block.part] = block
    _limit_blocks(evidence)
    return True


def find_blocked(
    evidence: CrashEvidence, parts: Iterable[int], now: timedelta
) -> PartBlock | None:
    """Return the block of the first of the parts that is blocked, if any."""
    for part in parts if evidence.blocks else ():
        block = evidence.blocks.get(part)
        if block is not None and now < block.until:
            return block
    return None


def is_explained(evidence: CrashEvidence, crash: Crash) -> bool:
    """Return whether a request with a blocked part was running at a crash."""
    record = evidence.crashes.get(crash)
    return record is not None and _has_blocked_part(evidence, record)


def is_suspected(evidence: CrashEvidence, parts: Iterable[int]) -> bool:
    """Return whether one of the parts is likely to crash targets."""
    if not evidence.crashes:
        return False
    return any(
        crashes >= SUSPECT_CRASHES and score >= SUSPECT_SCORE
        for crashes, score in (_score(evidence, part) for part in parts)
    )


def list_blocks(evidence: CrashEvidence, now: timedelta) -> list[PartBlock]:
    """Return the blocks in force."""
    return [block for block in evidence.blocks.values() if now < block.until]


def forget_old_crashes(evidence: CrashEvidence, now: timedelta) -> None:
    """Drop the crashes that say nothing of later ones."""
    old = [
        crash
        for crash, record in evidence.crashes.items()
        if now - record.at > EVIDENCE_TIME
    ]
    for crash in old:
        _forget_crash(evidence, crash)


def _score(
    evidence: CrashEvidence, part: int, known_by: timedelta = timedelta.max
) -> tuple[int, float]:
    """Return in how many crashes a part is, and the odds against chance as a logarithm.

    Counted are crashes known by a time, since the part was sound, that no blocked part
    explains, each with a request sent after the one before: crashes at the same moment
    are one event.
    """
    names = evidence.crashes_by_part.get(part, {})
    if len(names) < SUSPECT_CRASHES:
        return 0, 0.0
    sound_at = evidence.sound_at.get(part)
    records = sorted(
        (evidence.crashes[name] for name in names),
        key=lambda r: r.find_crash_time(part),
    )
    counted: list[_CrashRecord] = []
    for record in records:
        if record.known_at > known_by:
            continue
        if sound_at is not None and record.find_crash_time(part) < sound_at:
            continue
        if _has_blocked_part(evidence, record):
            continue
        if counted and record.find_last_sent(part) <= counted[-1].find_crash_time(part):
            continue
        counted.append(record)
    if not counted:
        return 0, 0.0
    answers = evidence.answers.get(counted[0].service, _Answers())
    absent = math.log(1 - _estimate_share(evidence, part, counted[0]))
    # The part is in none of the answers that began since the first crash.
    score = -absent * answers.count_since(counted[0].find_crash_time(part))
    for record in counted:
        score -= math.log(1 - math.exp(absent * max(record.running, 1)))
    return len(counted), score


def _find_min_score(evidence: CrashEvidence, part: int, record: _CrashRecord) -> float:
    share = _estimate_share(evidence, part, record)
    return MIN_SCORE + math.log1p(share / RARE_SHARE)


def _estimate_share(evidence: CrashEvidence, part: int, record: _CrashRecord) -> float:
    """Return the share of answers with a part before a crash, above 0 and below 1.

    This host may have few answers and none with a part that others' answers had.
    """
    answers = evidence.answers.get(record.service, _Answers())
    sound_at = evidence.sound_at.get(part)
    is_sound = sound_at is not None and record.at - sound_at <= ANSWER_TIME
    return answers.estimate_share(part, at_least=int(is_sound))


def _has_blocked_part(evidence: CrashEvidence, record: _CrashRecord) -> bool:
    return not evidence.blocks.keys().isdisjoint(record.sightings)


def _has_returned(evidence: CrashEvidence, part: int, record: _CrashRecord) -> bool:
    """Return whether a part crashed a target after its block ended."""
    block = evidence.blocks.get(part)
    return block is not None and record.at > block.until


def _block(
    evidence: CrashEvidence, part: int, crashed_at: timedelta, now: timedelta
) -> PartBlock:
    known = evidence.blocks.pop(part, None)
    strikes = min(known.strikes + 1, MAX_STRIKES) if known is not None else 0
    block = PartBlock(part, crashed_at, now + BLOCK_TIME * 2**strikes, strikes)
    evidence.blocks[part] = block
    _limit_blocks(evidence)
    return block


def _limit_blocks(evidence: CrashEvidence) -> None:
    while len(evidence.blocks) > MAX_BLOCKS:
        del evidence.blocks[next(iter(evidence.blocks))]


def _has_crash_between(
    evidence: CrashEvidence,
    part: int,
    since: timedelta | None,
    until: timedelta,
) -> bool:
    times = (evidence.crashes[c].at for c in evidence.crashes_by_part.get(part, ()))
    return any((since is None or since <= at) and at < until for at in times)


def _forget_crash(evidence: CrashEvidence, crash: Crash) -> None:
    record = evidence.crashes.pop(crash)
    for part in record.sightings:
        names = evidence.crashes_by_part[part]
        names.pop(crash, None)
        if not names:
            del evidence.crashes_by_part[part]
