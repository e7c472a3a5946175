"""Tell other hosts what ran when targets crashed, and which parts are blocked.

Ages are sent in place of times.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

from galenapass.forwarding.crash_evidence import CrashReport, PartBlock, Sighting
from galenapass.json_values import read_integer
from galenapass.tables.crashes import Crash

__all__ = [
    "CrashMessage",
    "PartBlocks",
    "SoundParts",
    "decode_blocks",
    "decode_report",
    "decode_sound_parts",
    "encode_blocks",
    "encode_report",
    "encode_sound_parts",
    "split_blocks",
    "split_report",
    "split_sound_parts",
    "summarize",
]

MILLISECOND = timedelta(milliseconds=1)
# Sightings or blocks that fit into one datagram of usual size.
MAX_ITEMS = 32


@dataclass(slots=True, frozen=True)
class SoundParts:
    """Parts of whole answers, the oldest of which began at a time."""

    parts: tuple[int, ...]
    began_at: timedelta


@dataclass(slots=True, frozen=True)
class PartBlocks:
    """Blocked parts."""

    blocks: tuple[PartBlock, ...]


CrashMessage = CrashReport | SoundParts | PartBlocks


def split_report(report: CrashReport) -> list[CrashReport]:
    """Return reports that together tell the same and each fit into a datagram."""
    chunks = _split(report.sightings) or [()]
    return [
        CrashReport(
            report.crash,
            report.service,
            report.host,
            report.at,
            report.requests,
            chunk,
            report.fingerprints[:MAX_ITEMS] if number == 0 else (),
        )
        for number, chunk in enumerate(chunks)
    ]


def split_blocks(blocks: Iterable[PartBlock]) -> list[PartBlocks]:
    """Return messages with all of the blocks that each fit into a datagram."""
    return [PartBlocks(chunk) for chunk in _split(tuple(blocks))]


def split_sound_parts(sound: SoundParts) -> list[SoundParts]:
    """Return messages with all of the parts that each fit into a datagram."""
    return [SoundParts(chunk, sound.began_at) for chunk in _split(sound.parts)]


def summarize(message: CrashMessage) -> CrashMessage | None:
    """Return what hosts that do not schedule need of a message, None if nothing.

    They name the crashes that they see after those that they know.
    """
    if isinstance(message, CrashReport):
        return replace(message, requests=0, sightings=(), fingerprints=())
    return message if isinstance(message, PartBlocks) else None


def encode_report(report: CrashReport, now: timedelta) -> list[Any]:
    """Return a report as an array."""
    sightings = [
        [s.part, s.requests, (now - s.sent_at) // MILLISECOND] for s in report.sightings
    ]
    return [
        report.crash.target,
        report.crash.incarnation,
        report.service,
        report.host,
        (now - report.at) // MILLISECOND,
        report.requests,
        sightings,
        list(report.fingerprints),
    ]


def decode_report(row: list[Any], now: timedelta) -> CrashReport:
    """Return the report of an array; raise an error if it is malformed."""
    target, incarnation, service, host, age, requests, sightings, fingerprints = row
    return CrashReport(
        Crash(str(target), str(incarnation)),
        str(service),
        str(host),
        now - read_integer(age) * MILLISECOND,
        read_integer(requests),
        tuple(
            Sighting(
                read_integer(part),
                read_integer(count),
                now - read_integer(sent_age) * MILLISECOND,
            )
            for part, count, sent_age in sightings
        ),
        tuple(map(str, fingerprints)),
    )


def encode_sound_parts(sound: SoundParts, now: timedelta) -> list[Any]:
    """Return sound parts as an array."""
    return [list(sound.parts), (now - sound.began_at) // MILLISECOND]


def decode_sound_parts(row: list[Any], now: timedelta) -> SoundParts:
    """Return the sound parts of an array; raise an error if it is malformed."""
    parts, age = row
    return SoundParts(
        tuple(map(read_integer, parts)), now - read_integer(age) * MILLISECOND
    )


def encode_blocks(blocks: PartBlocks, now: timedelta) -> list[Any]:
    """Return blocks as an array."""
    return [
        [
            block.part,
            (now - block.crashed_at) // MILLISECOND,
            (block.until - now) // MILLISECOND,
            block.strikes,
        ]
        for block in blocks.blocks
    ]


def decode_blocks(row: list[Any], now: timedelta) -> PartBlocks:
    """Return the blocks of an array; raise an error if it is malformed."""
    return PartBlocks(
        tuple(
            PartBlock(
                read_integer(part),
                now - read_integer(age) * MILLISECOND,
                now + read_integer(left) * MILLISECOND,
                read_integer(strikes),
            )
            for part, age, left, strikes in row
        )
    )


def _split(items: tuple[Any, ...]) -> list[tuple[Any, ...]]:
    return [items[n : n + MAX_ITEMS] for n in range(0, len(items), MAX_ITEMS)]
