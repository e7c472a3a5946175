"""Translate the platform's request and answer headers to the product's types."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.requests import Part, Prompt, RequestMetadata
from galenapass.forwarding.target_messages import TargetNotice

__all__ = [
    "ATTEMPT",
    "HANDLE_SOURCE",
    "INSTANCE",
    "LAST_EVENT",
    "NOT_RUN_STATUSES",
    "PREFILL_STAGE",
    "RETRY_AFTER",
    "SIGNATURE",
    "STAGE",
    "SendOptions",
    "decode_metadata",
    "decode_notice",
    "encode_send",
    "is_not_run",
    "keep_answer_headers",
    "read_seconds",
]

ATTEMPT = "X-Galenapass-Attempt-Id"
SIGNATURE = "X-Galenapass-Response-Signature"
INSTANCE = "X-Galenapass-Instance-Id"
RETRY_AFTER = "Retry-After"
LAST_EVENT = "Last-Event-Id"
STAGE = "X-Galenapass-Stage"
PREFILL_STAGE = "prefill"
HANDLE_SOURCE = "X-Galenapass-Kv-Source"

_DEADLINE = "X-Galenapass-Deadline-Ms"
_EXPECT_INSTANCE = "X-Galenapass-Expect-Instance"
_PRIORITY = "X-Galenapass-Request-Priority"
_DONOR = "Kv-Fetch"
_NOT_EXECUTED = "X-Galenapass-Not-Executed"
_LEAVING = "Server-Leaving"
_UNAVAILABLE = 503
# A day; no deployment's bound comes near, and larger numbers overflow.
_LONGEST_SECONDS = 86_400.0
# Prompt and output tokens, separated by a comma.
_TOKEN_COUNT = "X-Galenapass-Token-Count"
# ID:TOKENS entries in the order of the prompt; the last one is not shared.
_PROMPT_PARTS = "X-Galenapass-Prompt-Prefix"

# A runner that has another instance's address answers 421 without more proof.
NOT_RUN_STATUSES = frozenset({421})

_CONNECTION_ONLY = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that only the system may set, by their beginnings in lower case.
_SET_BY_SYSTEM = (
    "kv-fetch",
    "x-galenapass-deadline-ms",
    "x-galenapass-expect-",
    "x-galenapass-kv-",
    "x-galenapass-pin-ms",
    "x-galenapass-request-priority",
    "x-galenapass-stage",
)
_LEAST_URGENT = 9

Headers = Iterable[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class SendOptions:
    """Hold what the system adds to a request for one target.

    ``source`` is ADDRESS/HANDLE of the memory that a prefill left, ``cache_source`` the
    address of a runner that keeps parts of the prompt.
    """

    instance: str
    left: timedelta
    priority: int | None = None
    prefill: bool = False
    source: str | None = None
    cache_source: str | None = None
    last_event: int | None = None


def decode_metadata(headers: Mapping[str, str]) -> RequestMetadata:
    """Return what a client's headers say; unreadable ones count as absent."""
    patience = _read_integer(headers.get(_DEADLINE))
    return RequestMetadata(
        attempt=headers.get(ATTEMPT, ""),
        patience=None if patience is None else timedelta(milliseconds=patience),
        last_event=_read_integer(headers.get(LAST_EVENT)),
        prompt=_decode_prompt(headers),
    )


def encode_send(headers: Headers, host: str, options: SendOptions) -> Headers:
    """Return the headers of a send: the client's and those of the system."""
    kept = _keep_client_headers(headers, options)
    left = max(options.left // timedelta(milliseconds=1), 1)
    kept += [
        ("Host", host),
        (_DEADLINE, str(left)),
        (_EXPECT_INSTANCE, options.instance),
    ]
    optional = (
        (_PRIORITY, _clamp_priority(options.priority)),
        (STAGE, PREFILL_STAGE if options.prefill else None),
        (HANDLE_SOURCE, options.source),
        (_DONOR, options.cache_source),
        (LAST_EVENT, options.last_event),
    )
    kept += [(name, str(value)) for name, value in optional if value is not None]
    return kept


def keep_answer_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers of a target's answer that go on to the client."""
    dropped = _CONNECTION_ONLY | {"date", "server"}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Tell whether an answer proves that the target did not run the request."""
    return status in NOT_RUN_STATUSES or _NOT_EXECUTED in headers


def decode_notice(status: int, headers: Mapping[str, str]) -> TargetNotice:
    """Return what an answer says of its target's wishes."""
    leaving = headers.get(_LEAVING, "").strip() == "1"
    back_off = (
        read_seconds(headers.get(RETRY_AFTER)) if status == _UNAVAILABLE else None
    )
    return TargetNotice(leaving, back_off)


def read_seconds(text: str | None) -> timedelta | None:
    """Return a number of seconds, or None for what is none."""
    try:
        seconds = float(text or "")
    except ValueError:
        return None
    return timedelta(seconds=seconds) if 0 <= seconds <= _LONGEST_SECONDS else None


def _clamp_priority(rank: int | None) -> int | None:
    return None if rank is None else max(0, min(rank, _LEAST_URGENT))


def _keep_client_headers(
    headers: Headers, options: SendOptions
) -> list[tuple[str, str]]:
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _CONNECTION_ONLY | named
    if options.last_event is not None:
        dropped = dropped | {LAST_EVENT.lower()}
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in dropped and not name.lower().startswith(_SET_BY_SYSTEM)
    ]


def _decode_prompt(headers: Mapping[str, str]) -> Prompt | None:
    counts = headers.get(_TOKEN_COUNT, "").split(",")
    tokens = _read_integer(counts[0])
    if tokens is None:
        return None
    output = _read_integer(counts[1]) if len(counts) > 1 else None
    parts = _decode_parts(headers.get(_PROMPT_PARTS, ""))
    return Prompt(tokens, output or 0, parts)


def _decode_parts(text: str) -> tuple[Part, ...]:
    parts = []
    for entry in filter(None, text.split(",")):
        name, _, count = entry.strip().partition(":")
        tokens = _read_integer(count)
        if not name or tokens is None:
            return ()
        parts.append(Part(name, tokens))
    return tuple(parts)


def _read_integer(text: str | None) -> int | None:
    digits = (text or "").strip()
    return int(digits) if digits.isascii() and digits.isdigit() else None
