"""Encode and decode what daemons tell each other in datagrams.

A datagram holds its sender's name and messages, each a JSON array that begins with
its kind. Times go as milliseconds from the sending.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import orjson
from result import Err, Ok, Result

from galenapass.forwarding.announcements import Announcement, TargetWork
from galenapass.forwarding.asks import Ask, End, Grant, Outcome, Stage
from galenapass.forwarding.loads import Read
from galenapass.forwarding.requests import Prompt
from galenapass.forwarding.workload import RunModel, Work
from galenapass.tables.targets import Role, Target, TargetKind
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "Left",
    "Message",
    "Ping",
    "Pong",
    "Refusal",
    "Waits",
    "decode_datagram",
    "encode_datagram",
    "encode_message",
]

MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True, frozen=True)
class Ping:
    """Ask whether a host schedules, and tell which configuration is known."""

    version: int


@dataclass(slots=True, frozen=True)
class Pong:
    """Answer a ping; ``is_fresh`` tells that the sender hears from the store."""

    version: int
    is_fresh: bool


@dataclass(slots=True, frozen=True)
class Waits:
    """Tell that an ask waits for its place."""

    ticket: str


@dataclass(slots=True, frozen=True)
class Refusal:
    """Tell that an ask gets no place, and why."""

    ticket: str
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class Left:
    """Tell that a target said that it leaves."""

    target: str
    incarnation: str


Message = Ask | Grant | Refusal | Waits | End | Ping | Pong | Left | Announcement


def encode_message(message: Message, now: timedelta) -> list[Any]:
    """Return the array of one message."""
    kind, encode, _ = _KINDS[type(message)]
    return [kind, *encode(message, now)]


def encode_datagram(host: str, messages: list[list[Any]]) -> bytes:
    """Return a datagram of messages that are arrays already."""
    return orjson.dumps([host, messages])


def decode_datagram(
    data: bytes, now: timedelta
) -> Result[tuple[str, list[Message]], str]:
    """Return the sender and its messages, or why the bytes hold none."""
    try:
        host, rows = orjson.loads(data)
        messages = [_DECODERS[kind](host, rest, now) for kind, *rest in rows]
        return Ok((str(host), messages))
    except (ValueError, TypeError, KeyError, IndexError, OverflowError) as error:
        return Err(f"{type(error).__name__}: {error}")


def _encode_ask(ask: Ask, now: timedelta) -> list[Any]:
    prompt = None
    if ask.prompt is not None:
        prompt = [ask.prompt.tokens, ask.prompt.output_tokens]
    return [
        ask.ticket,
        ask.request,
        ask.service,
        ask.stage.value,
        (ask.due - now) // MILLISECOND,
        (ask.deadline - now) // MILLISECOND,
        ask.rank,
        prompt,
        [[read.digest, read.tokens] for read in ask.parts],
        sorted(ask.tried),
        sorted(ask.barred),
        ask.origin,
        ask.fingerprint,
    ]


def _decode_ask(host: str, row: list[Any], now: timedelta) -> Ask:
    ticket, request, service, stage, due, deadline, rank, prompt, parts = row[:9]
    tried, barred, origin, fingerprint = row[9:]
    if prompt is None and Stage(stage) is not Stage.CALL:
        raise ValueError("an ask for an engine without a prompt")
    return Ask(
        str(ticket),
        str(request),
        str(service),
        Stage(stage),
        now + int(due) * MILLISECOND,
        now + int(deadline) * MILLISECOND,
        int(rank),
        None if prompt is None else Prompt(int(prompt[0]), int(prompt[1]), ()),
        tuple(Read(int(digest), int(tokens)) for digest, tokens in parts),
        frozenset(map(str, tried)),
        frozenset(map(str, barred)),
        str(origin),
        str(fingerprint),
    )


def _encode_grant(grant: Grant, now: timedelta) -> list[Any]:
    target = grant.target
    named = [
        target.id,
        target.address,
        target.domain,
        target.kind.value,
        target.service,
        target.role.value,
        target.incarnation,
        target.places,
    ]
    return [
        grant.ticket,
        named,
        round(grant.cost_ms, 1),
        round(grant.wait_ms, 1),
        grant.unread,
        round(grant.fixed_ms, 1),
        grant.why,
        grant.donor,
    ]


def _decode_grant(host: str, row: list[Any], now: timedelta) -> Grant:
    ticket, named, cost, wait, unread, fixed, why, donor = row
    name, address, domain, kind, service, role, incarnation, places = named
    target = Target(
        str(name),
        str(address),
        str(domain),
        TargetKind(kind),
        str(service),
        Role(role),
        incarnation=str(incarnation),
        places=int(places),
    )
    return Grant(
        str(ticket),
        target,
        float(cost),
        float(wait),
        int(unread),
        float(fixed),
        str(why),
        None if donor is None else str(donor),
    )


def _encode_refusal(refusal: Refusal, now: timedelta) -> list[Any]:
    verdict = refusal.verdict
    after = verdict.retry_after
    return [
        refusal.ticket,
        verdict.run.value,
        verdict.reason.value,
        verdict.detail,
        None if after is None else after // MILLISECOND,
    ]


def _decode_refusal(host: str, row: list[Any], now: timedelta) -> Refusal:
    ticket, run, reason, detail, after = row
    wait = None if after is None else int(after) * MILLISECOND
    return Refusal(str(ticket), Verdict(Run(run), Reason(reason), str(detail), wait))


def _encode_end(end: End, now: timedelta) -> list[Any]:
    took, first = round(end.took_ms, 1), round(end.first_ms, 1)
    return [end.ticket, end.outcome.value, took, first, end.only_read, end.events]


def _decode_end(host: str, row: list[Any], now: timedelta) -> End:
    ticket, outcome, took, first, only_read, events = row
    return End(
        str(ticket),
        Outcome(outcome),
        float(took),
        float(first),
        bool(only_read),
        int(events),
    )


def _encode_news(news: Announcement, now: timedelta) -> list[Any]:
    work = [[w.target, w.requests, w.tokens, w.prompts, w.work_ms] for w in news.work]
    reads = [[target, read.digest, read.tokens] for target, read in news.reads]
    demand = [_encode_work(item) for item in news.demand]
    orders = [[target, role.value] for target, role in news.orders]
    rest = [news.left, orders, news.aims]
    return [news.number, news.version, work, reads, demand, *rest]


def _encode_work(work: Work) -> list[Any]:
    rates = (work.reading, work.runs, work.tokens)
    return [work.service, *(round(value, 3) for value in (*rates, *work.model))]


def _decode_news(host: str, row: list[Any], now: timedelta) -> Announcement:
    number, version, work, reads, demand, left, orders, aims = row
    return Announcement(
        str(host),
        int(number),
        int(version),
        tuple(
            TargetWork(str(t), int(n), int(tokens), int(prompts), float(ms))
            for t, n, tokens, prompts, ms in work
        ),
        tuple((str(t), Read(int(d), int(n))) for t, d, n in reads),
        tuple(_decode_work(item) for item in demand),
        tuple((str(t), str(start)) for t, start in left),
        tuple((str(t), Role(role)) for t, role in orders),
        tuple((str(name), float(share)) for name, share in aims),
    )


def _decode_work(row: list[Any]) -> Work:
    service, *numbers = row
    reading, runs, tokens, *sums = map(float, numbers)
    return Work(str(service), reading, runs, tokens, RunModel(*sums))


Encode = Callable[[Any, timedelta], list[Any]]
Decode = Callable[[str, list[Any], timedelta], Message]

# The kind of each message, how it is written and how it is read.
_KINDS: dict[type, tuple[str, Encode, Decode]] = {
    Ask: ("ask", _encode_ask, _decode_ask),
    Grant: ("grant", _encode_grant, _decode_grant),
    Refusal: ("refusal", _encode_refusal, _decode_refusal),
    Waits: (
        "waits",
        lambda waits, now: [waits.ticket],
        lambda host, row, now: Waits(str(row[0])),
    ),
    End: ("end", _encode_end, _decode_end),
    Ping: (
        "ping",
        lambda ping, now: [ping.version],
        lambda host, row, now: Ping(int(row[0])),
    ),
    Pong: (
        "pong",
        lambda pong, now: [pong.version, pong.is_fresh],
        lambda host, row, now: Pong(int(row[0]), bool(row[1])),
    ),
    Left: (
        "left",
        lambda left, now: [left.target, left.incarnation],
        lambda host, row, now: Left(str(row[0]), str(row[1])),
    ),
    Announcement: ("news", _encode_news, _decode_news),
}
_DECODERS = {kind: decode for kind, _, decode in _KINDS.values()}
