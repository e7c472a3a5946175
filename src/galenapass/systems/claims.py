"""Let each idempotency key run at most once, by entries in versioned slices.

A claim holds once the slice that shows it is written on condition of the version
that was read. No clock and no owner is trusted: the version is the fence, so any
daemon may write any slice. Keys are never forgotten. When a slice nears the size
that the platform stores, its answers go first, then new keys are refused.
"""

import base64
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import orjson

from galenapass.dispatch import StoredAnswer
from galenapass.tables.claims import ClaimEntry, ClaimSlice, ClaimState
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "SLICES",
    "AcquireClaim",
    "ClaimAcquired",
    "FinishClaim",
    "ClaimOperation",
    "ClaimOutcome",
    "ReleaseClaim",
    "apply_operation",
    "decode_slice",
    "encode_slice",
    "hash_key",
    "name_slice",
]

SLICES = 1024
KEY_BYTES = 16
KEPT_ANSWER_BYTES = 64 * 1024
ANSWER_LIFETIME = timedelta(days=1)
LARGEST_SLICE = 900_000
"""Bytes of one object; the platform stores at most a megabyte."""

RETRY_AFTER = timedelta(seconds=1)


@dataclass(slots=True, frozen=True)
class AcquireClaim:
    """Ask for the right to run the call under a key.

    ``unsent`` are nonces of this daemon whose calls were surely never sent.
    """

    key: str
    nonce: str
    fingerprint: str
    unsent: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class FinishClaim:
    """Keep the outcome of a call; without an answer it may have run."""

    key: str
    nonce: str
    answer: StoredAnswer | None


@dataclass(slots=True, frozen=True)
class ReleaseClaim:
    """Give back a claim whose call was surely never sent."""

    key: str
    nonce: str


@dataclass(slots=True, frozen=True)
class ClaimAcquired:
    """Tell that the key is claimed by the nonce that asked, once written."""


ClaimOperation = AcquireClaim | FinishClaim | ReleaseClaim
ClaimOutcome = ClaimAcquired | StoredAnswer | Verdict | None


def hash_key(caller: str, service: str, key: str) -> str:
    """Return the name of a key within its slice, equal on every daemon."""
    joined = "\0".join((caller, service, key)).encode()
    return hashlib.sha256(joined).hexdigest()[: 2 * KEY_BYTES]


def name_slice(key: str) -> str:
    """Return the name of the object that holds a hashed key."""
    return f"{int(key[:8], 16) % SLICES:04d}"


def apply_operation(
    entries: dict[str, ClaimEntry], operation: ClaimOperation, now: int
) -> ClaimOutcome:
    """Apply an operation to the entries; what it returns holds once written."""
    return _APPLY[type(operation)](entries, operation, now)


def _begin(
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
    return _REPEATS[entry.state](entry)


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


_REPEATS: dict[ClaimState, Callable[[ClaimEntry], ClaimOutcome]] = {
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
    if answer is not None and len(answer.body) > KEPT_ANSWER_BYTES:
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


_APPLY: dict[type, Callable[[dict[str, ClaimEntry], Any, int], ClaimOutcome]] = {
    AcquireClaim: _begin,
    FinishClaim: _finish,
    ReleaseClaim: _release,
}


# The object


# The first letter of a finished entry without an answer.
_FINAL = {ClaimState.RAN: "r", ClaimState.MAY_HAVE_RUN: "m"}
_STATES = {letter: state for state, letter in _FINAL.items()}


def encode_slice(entries: dict[str, ClaimEntry], now: int) -> str | None:
    """Return the object's body, or None when it has no room for these entries."""
    oldest = now - int(ANSWER_LIFETIME.total_seconds())
    kept = {key: _drop_answer(entry, oldest) for key, entry in entries.items()}
    body = _dump(kept)
    if len(body) <= LARGEST_SLICE:
        return body.decode()
    body = _dump({key: replace(entry, answer=None) for key, entry in kept.items()})
    return body.decode() if len(body) <= LARGEST_SLICE else None


def decode_slice(version: int, body: str) -> ClaimSlice:
    """Read an object's body; raise ValueError when it is malformed."""
    try:
        rows = orjson.loads(body)["claims"]
        entries = {key: _read_entry(row) for key, row in rows.items()}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed slice of claims: {error!r}") from error
    return ClaimSlice(version, entries)


def _drop_answer(entry: ClaimEntry, oldest: int) -> ClaimEntry:
    return entry if entry.at >= oldest else replace(entry, answer=None)


def _dump(entries: dict[str, ClaimEntry]) -> bytes:
    return orjson.dumps(
        {"claims": {key: _write_entry(entry) for key, entry in entries.items()}}
    )


def _write_entry(entry: ClaimEntry) -> list[Any] | str:
    if entry.state in _FINAL and entry.answer is None:
        # What stays for ever is kept short: the nonce has done its part.
        return _FINAL[entry.state] + entry.fingerprint
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
        answer = StoredAnswer(status, content_type, base64.b64decode(body))
    return ClaimEntry(nonce, fingerprint, ClaimState(state), at, answer)
