"""Encode and decode what a host publishes of crashes in the store.

Reports and blocks hold ages, and the text the wall time at which it was written, so
that hosts that start later know the times.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

import orjson

from galenapass.forwarding.crash_evidence import CrashReport, PartBlock
from galenapass.forwarding.crash_sharing import (
    PartBlocks,
    decode_blocks,
    decode_report,
    encode_blocks,
    encode_report,
)
from galenapass.json_values import (
    DECODE_ERRORS,
    decode_json,
    describe_error,
    read_number,
)
from galenapass.logs import make_log
from galenapass.systems.crashes import SuspectUpdate
from galenapass.tables.crashes import Crash

__all__ = ["PublishedCrashes", "decode_published", "encode_published"]

_log = make_log("suspects")


@dataclass(slots=True, frozen=True)
class PublishedCrashes:
    """Suspected requests, reports on crashes and blocked parts of one host."""

    suspects: Sequence[SuspectUpdate] = ()
    reports: Sequence[CrashReport] = ()
    blocks: Sequence[PartBlock] = ()


def encode_published(
    published: PublishedCrashes, wall: datetime, now: timedelta
) -> str:
    """Return what a host knows of crashes as JSON."""
    suspects = [
        {
            "fingerprint": update.fingerprint,
            "crashes": [[c.target, c.incarnation] for c in sorted(update.crashes)],
            "cleared": [[c.target, c.incarnation] for c in sorted(update.cleared)],
        }
        for update in published.suspects
    ]
    data = {
        "suspects": suspects,
        "written_at": wall.timestamp(),
        "reports": [encode_report(report, now) for report in published.reports],
        "blocks": encode_blocks(PartBlocks(tuple(published.blocks)), now),
    }
    return orjson.dumps(data).decode()


def decode_published(text: str, wall: datetime, now: timedelta) -> PublishedCrashes:
    """Return what another host published, nothing if it is malformed.

    Texts of earlier builds hold only suspects.
    """
    try:
        data = decode_json(text).unwrap_or_raise(ValueError)
        suspects = [_decode_suspect(row) for row in data["suspects"]]
        written_at = datetime.fromtimestamp(
            read_number(data.get("written_at", 0.0)), UTC
        )
        then = now - max(wall - written_at, timedelta(0))
        reports = [decode_report(row, then) for row in data.get("reports", [])]
        blocks = decode_blocks(data.get("blocks", []), then).blocks
    except (*DECODE_ERRORS, OSError) as error:
        _log("published crashes are unreadable", error=describe_error(error))
        return PublishedCrashes()
    return PublishedCrashes(suspects, reports, blocks)


def _decode_suspect(row: dict[str, Any]) -> SuspectUpdate:
    return SuspectUpdate(
        str(row["fingerprint"]),
        _decode_crashes(row["crashes"]),
        _decode_crashes(row["cleared"]),
        timedelta(0),
    )


def _decode_crashes(rows: list[list[str]]) -> frozenset[Crash]:
    return frozenset(Crash(str(target), str(born)) for target, born in rows)
