"""Run the call of each idempotency key at most once, by claims in versioned slices.

A claim takes effect once its slice is written on condition that the stored version is
still the one that was read. The version alone is the fence: no clock and no ownership
is relied on, so any daemon may write any slice. Keys are never deleted. When a slice
nears the largest object that the platform stores, its answers are dropped first, then
new keys are refused.
"""

import base64
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import orjson

from galenapass.dispatch import StoredAnswer
from galenapass.json_values import (
    DECODE_ERRORS,
    describe_error,
    read_integer,
    read_text,
)
from galenapass.tables.claims import ClaimEntry, ClaimSlice, ClaimState
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "SLICE_COUNT",
    "AcquireClaim",
    "ClaimAcquired",
    "ClaimOperation",
    "ClaimOutcome",
    "FinishClaim",
    "ReleaseClaim",
    "apply_operation",
    "decode_slice",
    "encode_slice",
    "hash_key",
    "name_slice",
]

SLICE_COUNT = 1024
KEY_BYTES = 16
MAX_ANSWER_BYTES = 64 * 1024
ANSWER_LIFETIME = timedelta(days=1)
MAX_SLICE_BYTES = 900_000
"""Size limit of a slice; the platform stores objects of at most a megabyte."""

RETRY_AFTER = timedelta(seconds=1)


@dataclass(slots=True, frozen=True)
class AcquireClaim:
    """Operation that claims a key for one call.

    ``unsent`` are nonces of this daemon whose calls were certainly never sent; their
    claims may be replaced.
    """

    key: str
    nonce: str
    fingerprint: str
    unsent: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class FinishClaim:
    """Operation that stores the outcome of a call; with no answer, it may have run."""

    key: str
    nonce: str
    answer: StoredAnswer | None


@dataclass(slots=True, frozen=True)
class ReleaseClaim:
    """Operation that removes a claim whose call was certainly never sent."""

    key: str
    nonce: str


@dataclass(slots=True, frozen=True)
class ClaimAcquired:
    """Outcome: the key is claimed for the operation once the slice is written."""


ClaimOperation = AcquireClaim | FinishClaim | ReleaseClaim
ClaimOutcome = ClaimAcquired | StoredAnswer | Verdict | None


def hash_key(caller: str, service: str, key: str) -> str:
    """Return the hashed key, which is the same on every daemon."""
    joined = "\0".join((caller, service, key)).encode()
    return hashlib.sha256(joined).hexdigest()[: 2 * KEY_BYTES]


def name_slice(key: str) -> str:
    """Return the name of the stored object whose slice contains a hashed key."""
    return f"{int(key[:8], 16) % SLICE_COUNT:04d}"


def apply_operation(
    entries: dict[str, ClaimEntry], operation: ClaimOperation, now: int
) -> ClaimOutcome:
    """Apply an operation to the entries; the outcome is valid once they are stored."""
    return _HANDLERS[type(operation)](entries, operation, now)


def _acquire(
    entries: dict[str, ClaimEntry], operation: AcquireClaim, now: int
) -> ClaimOutcome:
    entry = entries.get(operation.key)
    own = entry is not None and entry.nonce in {operation.nonce, *operation.unsent}
    if entry is None or (own and entry.state is ClaimState.CLAIMED):
        entries[operation.key] = ClaimEntry(
            operation.nonce, operation.fingerprint, ClaimState.CLAIMED, now
        )
        return ClaimAcquired()
    if entry.fingerprint != operation.fingerprint:
        detail = "the key was used before for another call"
        return Verdict(Run.NOT_RUN, Reason.KEY_REUSED, detail)
    return _REPEAT_OUTCOMES[entry.state](entry)


def _repeat_claimed(entry: ClaimEntry) -> ClaimOutcome:
    detail = "an earlier call with this key is under way or was interrupted"
    return Verdict(Run.MAY_HAVE_RUN, Reason.KEY_IN_USE, detail, RETRY_AFTER)


def _repeat_ran(entry: ClaimEntry) -> ClaimOutcome:
    if entry.answer is not None:
        return entry.answer
    detail = "an earlier call with this key ran; its answer is no longer kept"
    return Verdict(Run.RAN, Reason.KEY_IN_USE, detail)


def _repeat_uncertain(entry: ClaimEntry) -> ClaimOutcome:
    detail = "an earlier call with this key may have run; it is not run again"
    return Verdict(Run.MAY_HAVE_RUN, Reason.KEY_IN_USE, detail)


_REPEAT_OUTCOMES: dict[ClaimState, Callable[[ClaimEntry], ClaimOutcome]] = {
    ClaimState.CLAIMED: _repeat_claimed,
    ClaimState.RAN: _repeat_ran,
    ClaimState.MAY_HAVE_RUN: _repeat_uncertain,
}


def _finish(
    entries: dict[str, ClaimEntry], operation: FinishClaim, now: int
) -> ClaimOutcome:
    entry = entries.get(operation.key)
    if entry is None or entry.nonce != operation.nonce:
        return None
    answer = operation.answer
    state = ClaimState.MAY_HAVE_RUN if answer is None else ClaimState.RAN
    if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
        answer = None
    entries[operation.key] = replace(entry, state=state, at=now, answer=answer)
    return None


def _release(
    entries: dict[str, ClaimEntry], operation: ReleaseClaim, now: int
) -> ClaimOutcome:
    entry = entries.get(operation.key)
    if entry is not None and entry.nonce == operation.nonce:
        del entries[operation.key]
    return None


_HANDLERS: dict[type, Callable[[dict[str, ClaimEntry], Any, int], ClaimOutcome]] = {
    AcquireClaim: _acquire,
    FinishClaim: _finish,
    ReleaseClaim: _release,
}


# Encoding of the stored object


# First letter of the compact form of a finished entry without an answer.
_FINAL_LETTERS = {ClaimState.RAN: "r", ClaimState.MAY_HAVE_RUN: "m"}
_STATES = {letter: state for state, letter in _FINAL_LETTERS.items()}


def encode_slice(entries: dict[str, ClaimEntry], now: int) -> str | None:
    """Return the object's body, or None when the entries exceed the largest size."""
    min_answer_time = now - int(ANSWER_LIFETIME.total_seconds())
    retained = {
        key: _drop_expired_answer(entry, min_answer_time)
        for key, entry in entries.items()
    }
    body = _dump(retained)
    if len(body) <= MAX_SLICE_BYTES:
        return body.decode()
    body = _dump({key: replace(entry, answer=None) for key, entry in retained.items()})
    return body.decode() if len(body) <= MAX_SLICE_BYTES else None


def decode_slice(version: int, body: str) -> ClaimSlice:
    """Return the slice in an object's body; raise ValueError if it is malformed."""
    try:
        rows = orjson.loads(body)["claims"]
        entries = {key: _read_entry(row) for key, row in rows.items()}
    except DECODE_ERRORS as error:
        reason = describe_error(error)
        raise ValueError(f"malformed slice of claims: {reason}") from error
    return ClaimSlice(version, entries)


def _drop_expired_answer(entry: ClaimEntry, min_answer_time: int) -> ClaimEntry:
    return entry if entry.at >= min_answer_time else replace(entry, answer=None)


def _dump(entries: dict[str, ClaimEntry]) -> bytes:
    return orjson.dumps(
        {"claims": {key: _write_entry(entry) for key, entry in entries.items()}}
    )


def _write_entry(entry: ClaimEntry) -> list[Any] | str:
    if entry.state in _FINAL_LETTERS and entry.answer is None:
        # Keys are never deleted, so the form is compact; the nonce is no longer needed.
        return _FINAL_LETTERS[entry.state] + entry.fingerprint
    row: list[Any] = [entry.nonce, entry.fingerprint, entry.state.value, entry.at]
    if entry.answer is not None:
        body = base64.b64encode(entry.answer.body).decode()
        row += [entry.answer.status, entry.answer.content_type, body]
    return row


def _read_entry(row: list[Any] | str) -> ClaimEntry:
    if isinstance(row, str):
        return ClaimEntry("", row[1:], _STATES[row[:1]], 0)
    nonce, fingerprint, state, at, *rest = row
    answer = None
    if rest:
        status, content_type, body = rest
        answer = StoredAnswer(
            read_integer(status), read_text(content_type), base64.b64decode(body)
        )
    return ClaimEntry(
        read_text(nonce),
        read_text(fingerprint),
        ClaimState(state),
        read_integer(at),
        answer,
    )
