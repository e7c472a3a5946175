"""Encode and decode the datagrams between daemons.

A datagram holds its sender's name and messages, each a JSON array that begins with
its kind. Times are sent as milliseconds relative to the time of sending.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import orjson
from result import Err, Ok, Result

from galenapass.forwarding import usage_messages
from galenapass.forwarding.announcements import Announcement, TargetWork
from galenapass.forwarding.crash_evidence import CrashReport
from galenapass.forwarding.crash_sharing import (
    PartBlocks,
    SoundParts,
    decode_blocks,
    decode_report,
    decode_sound_parts,
    encode_blocks,
    encode_report,
    encode_sound_parts,
)
from galenapass.forwarding.limit_sharing import LimitNotice
from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.origin_messages import (
    OriginQuery,
    OriginReply,
    StreamNotice,
    decode_notice,
    decode_query,
    decode_reply,
    encode_notice,
    encode_query,
    encode_reply,
)
from galenapass.forwarding.permits import Permit, PermitRequest
from galenapass.forwarding.rate_limits import RateLimit
from galenapass.forwarding.requests import Prompt
from galenapass.forwarding.share_messages import (
    OrganisationWork,
    decode_work,
    encode_work,
)
from galenapass.forwarding.silent_targets import SilentTargets
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.forwarding.usage_messages import UsageNotice, UsageReply
from galenapass.forwarding.workload import DecodeStatistics, MeasuredDemand
from galenapass.json_values import (
    DECODE_ERRORS,
    decode_json,
    describe_error,
    read_integer,
    read_number,
)
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target, TargetKind
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "PeerMessage",
    "Ping",
    "Pong",
    "SlotPending",
    "SlotRefusal",
    "TargetBackOff",
    "TargetLeaving",
    "TargetRemoved",
    "TargetsUnknown",
    "decode_datagram",
    "decode_target",
    "encode_datagram",
    "encode_message",
    "encode_target",
]

MILLISECOND = timedelta(milliseconds=1)

_log = make_log("peers")


@dataclass(slots=True, frozen=True)
class Ping:
    """Request for the state of a scheduler; carries the known configuration version.

    ``limits`` is None if the sender's build does not know rate limits, ``epoch`` is
    the store's epoch, None if unknown. ``knows_versions`` is whether the sender's build
    knows software versions, ``is_probe`` whether the sender only asks and does not use
    the receiver as its scheduler.
    """

    version: int
    limits: tuple[LimitNotice, ...] | None = ()
    epoch: int | None = None
    knows_versions: bool = True
    is_probe: bool = False


@dataclass(slots=True, frozen=True)
class Pong:
    """Answer to a ping; ``is_fresh`` if the sender receives updates from the store.

    ``limits`` is None if the sender's build does not know rate limits, ``epoch`` is
    the store's epoch, None if unknown. ``knows_versions`` is whether the sender's build
    knows software versions, ``needs_records`` whether it is to be told where streams
    begin. ``knows_targets`` is None if the sender's build does not tell it;
    ``view_age`` is the age of what it knows of them.
    """

    version: int
    is_fresh: bool
    limits: tuple[LimitNotice, ...] | None = ()
    epoch: int | None = None
    knows_versions: bool = True
    needs_records: bool = False
    knows_targets: bool | None = None
    view_age: timedelta = timedelta(0)


@dataclass(slots=True, frozen=True)
class TargetsUnknown:
    """Notice that the sender knows no targets for a slot request of the receiver.

    Earlier builds ignore it and ask another host, as after silence.
    """

    ticket: str


@dataclass(slots=True, frozen=True)
class SlotPending:
    """Notice that a slot request is queued."""

    ticket: str


@dataclass(slots=True, frozen=True)
class SlotRefusal:
    """Refusal of a slot request and its reason."""

    ticket: str
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class TargetLeaving:
    """Notice that a target reported that it leaves."""

    target: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class TargetRemoved:
    """Notice that the store removed a target's entry, last changed at a revision."""

    target: str
    incarnation: str
    revision: int


@dataclass(slots=True, frozen=True)
class TargetBackOff:
    """Notice that a target wants nothing from the receiver for a time.

    The receiver had connected to it for the sender.
    """

    target: str
    duration: timedelta


PeerMessage = (
    SlotRequest
    | Grant
    | SlotRefusal
    | SlotPending
    | TargetsUnknown
    | SlotRelease
    | Ping
    | Pong
    | TargetLeaving
    | TargetRemoved
    | TargetBackOff
    | Announcement
    | PermitRequest
    | Permit
    | CrashReport
    | SoundParts
    | PartBlocks
    | StreamNotice
    | OriginQuery
    | OriginReply
    | SilentTargets
    | UsageNotice
    | UsageReply
    | OrganisationWork
)


def encode_message(message: PeerMessage, now: timedelta) -> list[Any]:
    """Return a message as an array."""
    kind, encode, _ = _CODECS[type(message)]
    return [kind, *encode(message, now)]


def encode_datagram(host: str, messages: list[list[Any]]) -> bytes:
    """Return a datagram of encoded messages."""
    return orjson.dumps([host, messages])


def decode_datagram(
    data: bytes, now: timedelta
) -> Result[tuple[str, list[PeerMessage]], str]:
    """Return the sender and its messages, or why the bytes cannot be decoded.

    Messages that cannot be decoded are logged and left out.
    """
    try:
        host, rows = decode_json(data).unwrap_or_raise(ValueError)
        decoded = [_decode_message(str(host), row, now) for row in rows]
        return Ok((str(host), [m for m in decoded if m is not None]))
    except DECODE_ERRORS as error:
        return Err(describe_error(error))


def _decode_message(host: str, row: Any, now: timedelta) -> PeerMessage | None:
    """Return a message; None for an unreadable one or a kind of a later build."""
    try:
        kind, *rest = row
        return _DECODERS[kind](host, rest, now) if kind in _DECODERS else None
    except DECODE_ERRORS as error:
        _log("message is unreadable", sender=host, error=describe_error(error))
        return None


def _encode_slot_request(slot_request: SlotRequest, now: timedelta) -> list[Any]:
    prompt = None
    if slot_request.prompt is not None:
        prompt = [slot_request.prompt.tokens, slot_request.prompt.output_tokens]
    return [
        slot_request.ticket,
        slot_request.request,
        slot_request.service,
        slot_request.stage.value,
        (slot_request.soft_deadline - now) // MILLISECOND,
        (slot_request.deadline - now) // MILLISECOND,
        slot_request.rank,
        prompt,
        [[part.digest, part.tokens] for part in slot_request.parts],
        sorted(slot_request.tried),
        sorted(slot_request.excluded),
        slot_request.prefill_engine,
        slot_request.fingerprint,
        *_encode_late_fields(slot_request),
    ]


def _encode_late_fields(slot_request: SlotRequest) -> list[Any]:
    """Return the fields after the fingerprint, which earlier builds do not read."""
    if not slot_request.knows_versions:
        return []
    organisation = slot_request.organisation
    return [slot_request.version, *([organisation] if organisation else [])]


def _decode_slot_request(host: str, row: list[Any], now: timedelta) -> SlotRequest:
    ticket, request, service, stage, soft_deadline, deadline, rank, prompt, parts = row[
        :9
    ]
    tried, excluded, prefill_engine, fingerprint, *more = row[9:]
    if prompt is None and Stage(stage) is not Stage.CALL:
        raise ValueError("slot request for an engine has no prompt")
    return SlotRequest(
        str(ticket),
        str(request),
        str(service),
        Stage(stage),
        now + read_integer(soft_deadline) * MILLISECOND,
        now + read_integer(deadline) * MILLISECOND,
        read_integer(rank),
        None
        if prompt is None
        else Prompt(read_integer(prompt[0]), read_integer(prompt[1]), ()),
        tuple(
            PartDigest(read_integer(digest), read_integer(tokens))
            for digest, tokens in parts
        ),
        frozenset(map(str, tried)),
        frozenset(map(str, excluded)),
        str(prefill_engine),
        str(fingerprint),
        str(more[0]) if more and more[0] is not None else None,
        bool(more),
        str(more[1]) if len(more) > 1 else "",
    )


def encode_target(target: Target) -> list[Any]:
    """Return what a host needs to know of a target to send to it."""
    return [
        target.id,
        target.address,
        target.domain,
        target.kind.value,
        target.service,
        target.role.value,
        target.incarnation,
        target.slots,
        # Earlier builds read no more than the slots.
        *([target.version] if target.version else []),
    ]


def decode_target(row: list[Any]) -> Target:
    """Return the target that ``encode_target`` encoded."""
    name, address, domain, kind, service, role, incarnation, slots, *more = row
    return Target(
        str(name),
        str(address),
        str(domain),
        TargetKind(kind),
        str(service),
        Role(role),
        incarnation=str(incarnation),
        slots=read_integer(slots),
        version=str(more[0]) if more else "",
    )


def _encode_grant(grant: Grant, now: timedelta) -> list[Any]:
    return [
        grant.ticket,
        encode_target(grant.target),
        round(grant.cost_ms, 1),
        round(grant.wait_ms, 1),
        grant.uncached_tokens,
        round(grant.fixed_ms, 1),
        grant.why,
        grant.cache_source,
    ]


def _decode_grant(host: str, row: list[Any], now: timedelta) -> Grant:
    ticket, target_row, cost, wait, uncached_tokens, fixed, why, cache_source = row
    return Grant(
        str(ticket),
        decode_target(target_row),
        read_number(cost),
        read_number(wait),
        read_integer(uncached_tokens),
        read_number(fixed),
        str(why),
        None if cache_source is None else str(cache_source),
    )


def _encode_refusal(refusal: SlotRefusal, now: timedelta) -> list[Any]:
    verdict = refusal.verdict
    after = verdict.retry_after
    return [
        refusal.ticket,
        verdict.run.value,
        verdict.reason.value,
        verdict.detail,
        None if after is None else after // MILLISECOND,
    ]


def _decode_refusal(host: str, row: list[Any], now: timedelta) -> SlotRefusal:
    ticket, run, reason, detail, after = row
    wait = None if after is None else read_integer(after) * MILLISECOND
    return SlotRefusal(
        str(ticket), Verdict(Run(run), Reason(reason), str(detail), wait)
    )


def _encode_release(release: SlotRelease, now: timedelta) -> list[Any]:
    took, first = round(release.took_ms, 1), round(release.first_ms, 1)
    return [
        release.ticket,
        release.outcome.value,
        took,
        first,
        release.is_prefill_only,
        release.events,
    ]


def _decode_release(host: str, row: list[Any], now: timedelta) -> SlotRelease:
    ticket, outcome, took, first, is_prefill_only, events = row
    return SlotRelease(
        str(ticket),
        Outcome(outcome),
        read_number(took),
        read_number(first),
        bool(is_prefill_only),
        read_integer(events),
    )


def _encode_announcement(announcement: Announcement, now: timedelta) -> list[Any]:
    work = [
        [w.target, w.requests, w.tokens, w.prompts, w.work_ms]
        for w in announcement.work
    ]
    cached_parts = [
        [target, part.digest, part.tokens] for target, part in announcement.cached_parts
    ]
    demand = [_encode_demand(item) for item in announcement.demand]
    orders = [[target, role.value] for target, role in announcement.orders]
    rest = [announcement.leaving, orders, announcement.split_goals]
    return [
        announcement.sequence,
        announcement.version,
        work,
        cached_parts,
        demand,
        *rest,
    ]


def _encode_demand(demand: MeasuredDemand) -> list[Any]:
    rates = (demand.prefill_load, demand.decode_rate, demand.token_rate)
    return [demand.service, *(round(value, 3) for value in (*rates, *demand.decode))]


def _decode_announcement(host: str, row: list[Any], now: timedelta) -> Announcement:
    sequence, version, work, cached_parts, demand, leaving, orders, split_goals = row
    return Announcement(
        str(host),
        read_integer(sequence),
        read_integer(version),
        tuple(
            TargetWork(
                str(t),
                read_integer(n),
                read_integer(tokens),
                read_integer(prompts),
                read_number(ms),
            )
            for t, n, tokens, prompts, ms in work
        ),
        tuple(
            (str(t), PartDigest(read_integer(d), read_integer(n)))
            for t, d, n in cached_parts
        ),
        tuple(_decode_demand(item) for item in demand),
        tuple((str(t), str(incarnation)) for t, incarnation in leaving),
        tuple((str(t), Role(role)) for t, role in orders),
        tuple((str(name), read_number(share)) for name, share in split_goals),
    )


def _decode_demand(row: list[Any]) -> MeasuredDemand:
    service, *numbers = row
    prefill_load, decode_rate, token_rate, *sums = map(read_number, numbers)
    return MeasuredDemand(
        str(service), prefill_load, decode_rate, token_rate, DecodeStatistics(*sums)
    )


def _encode_limits(
    limits: tuple[LimitNotice, ...] | None, now: timedelta
) -> list[Any] | None:
    if limits is None:
        return None
    return [
        [*notice.incarnation, limit.rate, (now - limit.named_at) // MILLISECOND]
        for notice in limits
        for limit in (notice.limit,)
    ]


def _decode_limits(row: list[Any], now: timedelta) -> tuple[LimitNotice, ...] | None:
    """Decode the limits that end a message; messages of earlier builds lack them."""
    if not row or row[0] is None:
        return None
    return tuple(
        LimitNotice(
            (str(target), str(incarnation)),
            RateLimit(
                None if rate is None else max(read_number(rate), 0.0),
                now - max(read_integer(age), 0) * MILLISECOND,
            ),
        )
        for target, incarnation, rate, age in row[0]
    )


def _decode_epoch(row: list[Any]) -> int | None:
    """Decode the epoch that ends a message; messages of earlier builds lack it."""
    return read_integer(row[0]) if row and row[0] is not None else None


def _decode_flag(row: list[Any]) -> bool:
    """Decode a flag that ends a message; messages of earlier builds lack it."""
    return bool(row) and row[0] is True


def _encode_view(pong: Pong) -> list[Any]:
    if pong.knows_targets is None:
        return []
    return [pong.knows_targets, pong.view_age // MILLISECOND]


def _decode_view(row: list[Any]) -> tuple[bool | None, timedelta]:
    """Decode the view that ends a pong; those of earlier builds lack it."""
    if len(row) < 2:
        return None, timedelta(0)
    return row[0] is True, max(read_integer(row[1]), 0) * MILLISECOND


def _encode_silent(silent: SilentTargets, now: timedelta) -> list[Any]:
    rows = [
        [target, incarnation, (now - since) // MILLISECOND]
        for target, incarnation, since in silent.targets
    ]
    return [silent.domain, rows]


def _decode_silent(host: str, row: list[Any], now: timedelta) -> SilentTargets:
    domain, rows = row
    return SilentTargets(
        str(domain),
        tuple(
            (str(target), str(incarnation), now - read_integer(age) * MILLISECOND)
            for target, incarnation, age in rows
        ),
    )


def _decode_permit_request(host: str, row: list[Any], now: timedelta) -> PermitRequest:
    target, incarnation, count = row
    return PermitRequest((str(target), str(incarnation)), read_integer(count))


Encode = Callable[[Any, timedelta], list[Any]]
Decode = Callable[[str, list[Any], timedelta], PeerMessage]

# The kind of each message, its encoder and its decoder.
_CODECS: dict[type, tuple[str, Encode, Decode]] = {
    SlotRequest: ("ask", _encode_slot_request, _decode_slot_request),
    Grant: ("grant", _encode_grant, _decode_grant),
    SlotRefusal: ("refusal", _encode_refusal, _decode_refusal),
    SlotPending: (
        "waits",
        lambda pending, now: [pending.ticket],
        lambda host, row, now: SlotPending(str(row[0])),
    ),
    TargetsUnknown: (
        "unknown",
        lambda unknown, now: [unknown.ticket],
        lambda host, row, now: TargetsUnknown(str(row[0])),
    ),
    SlotRelease: ("end", _encode_release, _decode_release),
    SilentTargets: ("silent", _encode_silent, _decode_silent),
    OrganisationWork: (
        "work",
        encode_work,
        lambda host, row, now: decode_work(row, now),
    ),
    Ping: (
        "ping",
        lambda ping, now: [
            ping.version,
            _encode_limits(ping.limits, now),
            ping.epoch,
            ping.knows_versions,
            *([True] if ping.is_probe else []),
        ],
        lambda host, row, now: Ping(
            read_integer(row[0]),
            _decode_limits(row[1:], now),
            _decode_epoch(row[2:]),
            _decode_flag(row[3:]),
            _decode_flag(row[4:]),
        ),
    ),
    Pong: (
        "pong",
        lambda pong, now: [
            pong.version,
            pong.is_fresh,
            _encode_limits(pong.limits, now),
            pong.epoch,
            pong.knows_versions,
            pong.needs_records,
            *_encode_view(pong),
        ],
        lambda host, row, now: Pong(
            read_integer(row[0]),
            bool(row[1]),
            _decode_limits(row[2:], now),
            _decode_epoch(row[3:]),
            _decode_flag(row[4:]),
            _decode_flag(row[5:]),
            *_decode_view(row[6:]),
        ),
    ),
    TargetLeaving: (
        "left",
        lambda leaving, now: [leaving.target, leaving.incarnation],
        lambda host, row, now: TargetLeaving(str(row[0]), str(row[1])),
    ),
    TargetRemoved: (
        "removed",
        lambda gone, now: [gone.target, gone.incarnation, gone.revision],
        lambda host, row, now: TargetRemoved(
            str(row[0]), str(row[1]), read_integer(row[2])
        ),
    ),
    TargetBackOff: (
        "rest",
        lambda back_off, now: [back_off.target, back_off.duration // MILLISECOND],
        lambda host, row, now: TargetBackOff(
            str(row[0]), read_integer(row[1]) * MILLISECOND
        ),
    ),
    Announcement: ("news", _encode_announcement, _decode_announcement),
    PermitRequest: (
        "want",
        lambda request, now: [*request.incarnation, request.count],
        _decode_permit_request,
    ),
    Permit: (
        "permit",
        lambda permit, now: [*permit.incarnation],
        lambda host, row, now: Permit((str(row[0]), str(row[1]))),
    ),
    CrashReport: (
        "crash",
        encode_report,
        lambda host, row, now: decode_report(row, now),
    ),
    SoundParts: (
        "sound",
        encode_sound_parts,
        lambda host, row, now: decode_sound_parts(row, now),
    ),
    PartBlocks: (
        "blocks",
        encode_blocks,
        lambda host, row, now: decode_blocks(row, now),
    ),
    StreamNotice: (
        "streams",
        encode_notice,
        lambda host, row, now: decode_notice(row, now),
    ),
    OriginQuery: (
        "origin?",
        encode_query,
        lambda host, row, now: decode_query(row, now),
    ),
    OriginReply: (
        "origin",
        encode_reply,
        lambda host, row, now: decode_reply(row, now),
    ),
    UsageNotice: (
        "usage",
        usage_messages.encode_notice,
        lambda host, row, now: usage_messages.decode_notice(row, now),
    ),
    UsageReply: (
        "usage-known",
        usage_messages.encode_reply,
        lambda host, row, now: usage_messages.decode_reply(row, now),
    ),
}
_DECODERS = {kind: decode for kind, _, decode in _CODECS.values()}
