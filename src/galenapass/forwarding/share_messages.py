"""Encode and decode what schedulers tell each other of organisations' work."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from galenapass.forwarding.share_tables import Claim, ServiceWork
from galenapass.json_values import read_integer, read_number

__all__ = ["OrganisationWork", "decode_work", "encode_work"]


@dataclass(slots=True, frozen=True)
class OrganisationWork:
    """Work of organisations that one scheduler granted, by service.

    ``sequence`` grows, also over its restarts.
    """

    sequence: int
    services: tuple[ServiceWork, ...]


def encode_work(message: OrganisationWork, now: timedelta) -> list[Any]:
    """Return the work of organisations as an array."""
    rows = [
        [
            told.service,
            [list(entry) for entry in told.work],
            told.rest_ms,
            told.rest_count,
            told.level_ms,
            [[claim.rank, claim.count] for claim in told.claims],
            told.is_short,
        ]
        for told in message.services
    ]
    return [message.sequence, rows]


def decode_work(row: list[Any], now: timedelta) -> OrganisationWork:
    """Return the work of an array; raise an error if it is malformed.

    Fields that later builds append are ignored.
    """
    return OrganisationWork(
        read_integer(row[0]), tuple(_decode_service(service) for service in row[1])
    )


def _decode_service(row: list[Any]) -> ServiceWork:
    service, work, rest_ms, rest_count, level_ms, claims, is_short = row[:7]
    return ServiceWork(
        str(service),
        tuple((str(name), max(read_number(ms), 0.0)) for name, ms in work),
        max(read_number(rest_ms), 0.0),
        max(read_integer(rest_count), 0),
        max(read_number(level_ms), 0.0),
        tuple(Claim(read_integer(r), max(read_integer(n), 0)) for r, n in claims),
        bool(is_short),
    )
