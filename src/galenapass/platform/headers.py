"""Convert the platform's request and response headers to and from own types."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.requests import Part, Prompt, RequestMetadata
from galenapass.forwarding.target_messages import TargetNotice
from galenapass.systems.identities import digest_authorization

__all__ = [
    "ATTEMPT_ID",
    "Headers",
    "INSTANCE_ID",
    "KV_SOURCE",
    "LAST_EVENT_ID",
    "NOT_RUN_STATUSES",
    "PREFILL_STAGE",
    "RESUMES",
    "RETRY_AFTER",
    "SIGNATURE",
    "STAGE",
    "SendOptions",
    "decode_key",
    "decode_metadata",
    "decode_notice",
    "encode_headers",
    "filter_response_headers",
    "is_not_run",
    "parse_integer",
    "parse_seconds",
]

ATTEMPT_ID = "X-Galenapass-Attempt-Id"
SIGNATURE = "X-Galenapass-Response-Signature"
INSTANCE_ID = "X-Galenapass-Instance-Id"
RETRY_AFTER = "Retry-After"
LAST_EVENT_ID = "Last-Event-Id"
# Attempt that brought the first event of the stream that a client takes up.
RESUMES = "Resumes"
STAGE = "X-Galenapass-Stage"
PREFILL_STAGE = "prefill"
KV_SOURCE = "X-Galenapass-Kv-Source"

_DEADLINE = "X-Galenapass-Deadline-Ms"
_EXPECT_INSTANCE = "X-Galenapass-Expect-Instance"
_PRIORITY = "X-Galenapass-Request-Priority"
_AUTHORIZATION = "Authorization"
_KEY_SCHEME = "token"
_ORGANISATION = "X-Galenapass-Tenant"
_CACHE_SOURCE = "Kv-Fetch"
_NOT_EXECUTED = "X-Galenapass-Not-Executed"
_LEAVING = "Server-Leaving"
# Requests a second from all hosts together, a decimal number.
_RATE_LIMIT = "Server-Limit"
_UNAVAILABLE = 503
# One day: above any deployment's limit, and larger numbers overflow a timedelta.
_MAX_SECONDS = 86_400.0
# More digits than any proper number of the protocol has.
_MAX_DIGITS = 18
# Above the prompt and the output of any request.
_MAX_TOKENS = 1_000_000_000
# Prompt and output tokens, separated by a comma.
_TOKEN_COUNT = "X-Galenapass-Token-Count"
# ID:TOKENS entries in prompt order; the last part is not shared between requests.
_PROMPT_PARTS = "X-Galenapass-Prompt-Prefix"

# A runner at another instance's address responds 421, without a Not-Executed header.
NOT_RUN_STATUSES = frozenset({421})

_HOP_BY_HOP = frozenset(
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
# Lower-case prefixes of headers that only the system may set.
_SYSTEM_PREFIXES = (
    "kv-fetch",
    "x-galenapass-deadline-ms",
    "x-galenapass-expect-",
    "x-galenapass-kv-",
    "x-galenapass-pin-ms",
    "x-galenapass-request-priority",
    "x-galenapass-stage",
)
_LOWEST_PRIORITY = 9

Headers = Iterable[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class SendOptions:
    """Values that the system adds to the headers of a request to one target.

    ``source`` is the ADDRESS/HANDLE of the KV cache that a prefill created,
    ``cache_source`` the address of a runner that caches parts of the prompt.
    ``organisation`` replaces what the client's headers say of the caller, empty if it
    is unknown; None leaves them as they are.
    """

    instance: str
    time_left: timedelta
    priority: int | None = None
    prefill: bool = False
    source: str | None = None
    cache_source: str | None = None
    last_event: int | None = None
    organisation: str | None = None


def decode_metadata(headers: Mapping[str, str]) -> RequestMetadata:
    """Return the metadata in a client's headers; invalid values count as absent."""
    patience_ms = parse_integer(headers.get(_DEADLINE))
    return RequestMetadata(
        attempt=headers.get(ATTEMPT_ID, ""),
        patience=None if patience_ms is None else _make_patience(patience_ms),
        last_event=parse_integer(headers.get(LAST_EVENT_ID)),
        prompt=_decode_prompt(headers),
        resumes=headers.get(RESUMES, ""),
    )


def decode_key(headers: Mapping[str, str]) -> str:
    """Return the digest of the key in a client's headers, empty without one."""
    return digest_authorization(headers.get(_AUTHORIZATION, ""), _KEY_SCHEME)


def _make_patience(milliseconds: int) -> timedelta:
    return timedelta(seconds=min(milliseconds / 1000, _MAX_SECONDS))


def encode_headers(headers: Headers, host: str, options: SendOptions) -> Headers:
    """Return the headers of a request to a target: the client's and the system's."""
    pairs = _filter_client_headers(headers, options)
    time_left_ms = max(options.time_left // timedelta(milliseconds=1), 1)
    pairs += [
        ("Host", host),
        (_DEADLINE, str(time_left_ms)),
        (_EXPECT_INSTANCE, options.instance),
    ]
    optional = (
        (_PRIORITY, _clamp_priority(options.priority)),
        (STAGE, PREFILL_STAGE if options.prefill else None),
        (KV_SOURCE, options.source),
        (_CACHE_SOURCE, options.cache_source),
        (LAST_EVENT_ID, options.last_event),
        (_ORGANISATION, options.organisation or None),
    )
    pairs += [(name, str(value)) for name, value in optional if value is not None]
    return pairs


def filter_response_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers of a target's response that are passed to the client."""
    dropped = _HOP_BY_HOP | {"date", "server"}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a response proves that the target did not run the request."""
    return status in NOT_RUN_STATUSES or _NOT_EXECUTED in headers


def decode_notice(
    status: int, headers: Mapping[str, str], sent_at: timedelta, attempt: str | None
) -> TargetNotice:
    """Return what the response to a request sent at ``sent_at`` says of its target.

    ``attempt`` is the id of the client's attempt, None for a call of the system's own.
    """
    leaving = headers.get(_LEAVING, "").strip() == "1"
    back_off = (
        parse_seconds(headers.get(RETRY_AFTER)) if status == _UNAVAILABLE else None
    )
    if status in NOT_RUN_STATUSES:
        # Another target may have the address, and names its own limit.
        return TargetNotice(sent_at, leaving, back_off)
    rate_limit = _parse_rate(headers.get(_RATE_LIMIT))
    # Not every response to a prefill carries the attempt's id.
    answers_attempt = (
        attempt is not None and headers.get(ATTEMPT_ID, attempt) == attempt
    )
    lifts_limit = rate_limit is None and answers_attempt and 200 <= status < 300
    return TargetNotice(sent_at, leaving, back_off, rate_limit, lifts_limit)


def parse_seconds(text: str | None) -> timedelta | None:
    """Return a duration given in seconds, or None if it is invalid."""
    try:
        seconds = float(text or "")
    except ValueError:
        return None
    return timedelta(seconds=seconds) if 0 <= seconds <= _MAX_SECONDS else None


def _parse_rate(text: str | None) -> float | None:
    """Return a finite rate of 0 or more, or None if it is invalid."""
    try:
        rate = float(text or "")
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def _clamp_priority(rank: int | None) -> int | None:
    return None if rank is None else max(0, min(rank, _LOWEST_PRIORITY))


def _filter_client_headers(
    headers: Headers, options: SendOptions
) -> list[tuple[str, str]]:
    pairs = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | connection_options
    if options.last_event is not None:
        dropped = dropped | {LAST_EVENT_ID.lower()}
    if options.organisation is not None:
        dropped = dropped | {_AUTHORIZATION.lower(), _ORGANISATION.lower()}
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in dropped and not name.lower().startswith(_SYSTEM_PREFIXES)
    ]


def _decode_prompt(headers: Mapping[str, str]) -> Prompt | None:
    counts = headers.get(_TOKEN_COUNT, "").split(",")
    tokens = _parse_tokens(counts[0])
    if tokens is None:
        return None
    output = _parse_tokens(counts[1]) if len(counts) > 1 else None
    parts = _decode_parts(headers.get(_PROMPT_PARTS, ""))
    return Prompt(tokens, output or 0, parts)


def _decode_parts(text: str) -> tuple[Part, ...]:
    parts = []
    for entry in filter(None, text.split(",")):
        name, _, count = entry.strip().partition(":")
        tokens = _parse_tokens(count)
        if not name or tokens is None:
            return ()
        parts.append(Part(name, tokens))
    return tuple(parts)


def _parse_tokens(text: str) -> int | None:
    tokens = parse_integer(text)
    return tokens if tokens is not None and tokens <= _MAX_TOKENS else None


def parse_integer(text: str | None) -> int | None:
    """Return a number of decimal digits, or None if it is absent or invalid."""
    digits = (text or "").strip()
    is_number = digits.isascii() and digits.isdigit() and len(digits) <= _MAX_DIGITS
    return int(digits) if is_number else None
