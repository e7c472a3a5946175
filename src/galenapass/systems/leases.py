"""Acquire, renew and release a failure domain's planner lease.

The holder counts its term from before it sent the renewal; a challenger waits a full
term after it saw the version change. Each uses its own monotonic clock, and the
holder's margin covers the drift between the two clocks.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import orjson
from result import Ok, Result

from galenapass.json_values import (
    DECODE_ERRORS,
    read_identifier,
    read_integer,
    read_text,
)
from galenapass.platform.messages import Failure, FailureCause, StoredObject
from galenapass.systems.conditional_writes import (
    WriteOutcome,
    evaluate_read,
    evaluate_write,
)
from galenapass.tables.conditional_writes import ConditionalWrite
from galenapass.tables.leases import (
    FENCES_PER_EPOCH,
    Lease,
    LeasePhase,
    LeaseValue,
)

__all__ = [
    "LeaseEffect",
    "LeaseEvent",
    "LeaseRead",
    "LeaseTick",
    "LeaseWritten",
    "ReadLease",
    "StopLease",
    "WriteLease",
    "apply_epoch",
    "find_time_left",
    "is_claimable",
    "is_own_lease",
    "is_valid",
    "next_fence",
    "start_validity",
    "step_lease",
]

# Fractions of the lease's term.
RENEW_SHARE = 1 / 3
READ_SHARE = 1 / 4
RETRY_SHARE = 1 / 12
MARGIN_SHARE = 1 / 10


@dataclass(slots=True, frozen=True)
class LeaseTick:
    """Event: time has passed."""


@dataclass(slots=True, frozen=True)
class StopLease:
    """Event: this daemon stops and has no order in flight."""


@dataclass(slots=True, frozen=True)
class LeaseRead:
    """Event: the answer to a read."""

    answer: Result[StoredObject, Failure]


@dataclass(slots=True, frozen=True)
class LeaseWritten:
    """Event: the answer to a write."""

    answer: Result[int, Failure]


@dataclass(slots=True, frozen=True)
class ReadLease:
    """Effect: read the lease object."""


@dataclass(slots=True, frozen=True)
class WriteLease:
    """Effect: update the lease object conditionally."""

    body: str
    if_version: int | None


LeaseEvent = LeaseTick | StopLease | LeaseRead | LeaseWritten
LeaseEffect = ReadLease | WriteLease


def is_valid(lease: Lease, now: timedelta) -> bool:
    """Return whether this daemon holds the lease, with a margin before it expires."""
    margin = lease.term * MARGIN_SHARE
    return lease.valid_until is not None and now + margin < lease.valid_until


def find_time_left(lease: Lease, now: timedelta) -> timedelta:
    """Return how long ``is_valid`` holds without a renewal."""
    if not is_valid(lease, now) or lease.valid_until is None:
        return timedelta(0)
    return lease.valid_until - lease.term * MARGIN_SHARE - now


def is_claimable(lease: Lease, now: timedelta) -> bool:
    """Return whether no daemon can still hold the lease as valid."""
    is_uncertain = lease.unknown_until is not None and now < lease.unknown_until
    if is_uncertain and not _is_of_current_epoch(lease):
        return False
    if lease.value is None or lease.changed_at is None:
        return lease.version is None
    if lease.value.holder is None:
        return True
    return now >= lease.changed_at + max(lease.value.term, lease.term)


def start_validity(attempt: ConditionalWrite, now: timedelta) -> timedelta:
    """Return the time from which the holder counts its term."""
    return attempt.sent_at


def next_fence(lease: Lease) -> int:
    """Return the fencing number of the next holder.

    A restored store may not know the last holders, so those of each epoch of the store
    have numbers of their own.
    """
    last = 0 if lease.value is None else lease.value.fence
    return max(last, lease.epoch * FENCES_PER_EPOCH) + 1


def is_own_lease(lease: Lease) -> bool:
    """Return whether the object names this process as its holder."""
    value = lease.value
    if value is None or not _is_of_current_epoch(lease):
        # Others may have held the lease since, and the store has lost that.
        return False
    return (value.holder, value.incarnation) == (lease.host, lease.incarnation)


def apply_epoch(lease: Lease, epoch: int, now: timedelta) -> None:
    """Apply an epoch of the store; a later one than the known ends this lease.

    Whoever held it before counts its term from before the restore. A daemon that has
    just started does not know whether the store was restored before.
    """
    if epoch <= lease.epoch:
        return
    is_first, lease.epoch = lease.epoch == 0, epoch
    if is_first and lease.fresh_until is not None and now < lease.fresh_until:
        return
    lease.valid_until = lease.version = lease.read_at = None
    lease.changed_at = now
    term = lease.term if lease.value is None else max(lease.term, lease.value.term)
    lease.unknown_until = now + term


def step_lease(lease: Lease, event: LeaseEvent, now: timedelta) -> LeaseEffect | None:
    """Apply one event and return the call to make, or None."""
    if isinstance(event, StopLease):
        lease.stopping = True
    step = _STEPS.get((lease.phase, type(event)))
    return step(lease, event, now) if step else None


def _is_of_current_epoch(lease: Lease) -> bool:
    """Return whether the object was written since the store was last restored."""
    if lease.version is None or lease.value is None:
        return False
    return lease.value.fence > lease.epoch * FENCES_PER_EPOCH


def _step_idle(lease: Lease, event: LeaseEvent, now: timedelta) -> LeaseEffect | None:
    if lease.retry_at is not None and now < lease.retry_at:
        return None
    if is_own_lease(lease):
        return _renew_or_release(lease, now)
    if lease.stopping or not _is_read_due(lease, now):
        return None
    return _read(lease, LeasePhase.READING, now)


def _renew_or_release(lease: Lease, now: timedelta) -> LeaseEffect | None:
    assert lease.value is not None
    if lease.stopping:
        # A challenger may act as soon as the release is written.
        lease.valid_until = None
        return _write(lease, None, lease.value.fence, now)
    if not _is_renewal_due(lease, now):
        return None
    return _write(lease, lease.host, lease.value.fence, now)


def _is_renewal_due(lease: Lease, now: timedelta) -> bool:
    if lease.valid_until is None:
        return True
    return now >= lease.valid_until - lease.term * (1 - RENEW_SHARE)


def _is_read_due(lease: Lease, now: timedelta) -> bool:
    return lease.read_at is None or now >= lease.read_at + lease.term * READ_SHARE


def _read(lease: Lease, phase: LeasePhase, now: timedelta) -> LeaseEffect:
    lease.phase = phase
    lease.read_at = now
    return ReadLease()


def _write(lease: Lease, holder: str | None, fence: int, now: timedelta) -> LeaseEffect:
    lease.writes += 1
    nonce = f"{lease.host}/{lease.incarnation}/{lease.writes}"
    value = LeaseValue(holder, lease.incarnation, fence, lease.term, nonce)
    lease.attempt = ConditionalWrite(_encode(value), nonce, lease.version, now)
    return _send(lease)


def _send(lease: Lease) -> LeaseEffect:
    assert lease.attempt is not None
    lease.phase = LeasePhase.WRITING
    return WriteLease(lease.attempt.body, lease.attempt.if_version)


def _apply_read(lease: Lease, event: LeaseEvent, now: timedelta) -> LeaseEffect | None:
    assert isinstance(event, LeaseRead)
    lease.phase = LeasePhase.IDLE
    _record_object(lease, event.answer, now)
    if lease.stopping or is_own_lease(lease) or not _was_answered(event.answer):
        return None
    if not is_claimable(lease, now):
        return None
    return _write(lease, lease.host, next_fence(lease), now)


def _apply_write_answer(
    lease: Lease, event: LeaseEvent, now: timedelta
) -> LeaseEffect | None:
    assert isinstance(event, LeaseWritten) and lease.attempt is not None
    outcome = evaluate_write(lease.attempt, event.answer)
    if outcome.settled:
        _finish_attempt(lease, outcome, now)
        return None
    return _read(lease, LeasePhase.RESOLVING, now)


def _resolve_write(
    lease: Lease, event: LeaseEvent, now: timedelta
) -> LeaseEffect | None:
    assert isinstance(event, LeaseRead) and lease.attempt is not None
    outcome = evaluate_read(lease.attempt, event.answer, _read_nonce(event.answer))
    if outcome.settled:
        if outcome.failed:
            _record_object(lease, event.answer, now)
        _finish_attempt(lease, outcome, now)
        return None
    if outcome.resend and _is_outdated(lease, lease.attempt):
        _record_object(lease, event.answer, now)
        _finish_attempt(lease, WriteOutcome(failed=True), now)
        return None
    if outcome.resend:
        return _send(lease)
    lease.phase = LeasePhase.UNSURE
    lease.retry_at = now + lease.term * RETRY_SHARE
    return None


def _retry_read(lease: Lease, event: LeaseEvent, now: timedelta) -> LeaseEffect | None:
    if lease.retry_at is not None and now < lease.retry_at:
        return None
    return _read(lease, LeasePhase.RESOLVING, now)


def _is_outdated(lease: Lease, attempt: ConditionalWrite) -> bool:
    """Return whether a write was prepared before the store was restored."""
    value = _decode(attempt.body)
    return value is not None and value.fence <= lease.epoch * FENCES_PER_EPOCH


def _finish_attempt(lease: Lease, outcome: WriteOutcome, now: timedelta) -> None:
    attempt = lease.attempt
    assert attempt is not None
    lease.attempt = None
    lease.phase = LeasePhase.IDLE
    lease.retry_at = None
    if outcome.version is None:
        lease.retry_at = now + lease.term * RETRY_SHARE
        return
    lease.version = outcome.version
    lease.value = _decode(attempt.body)
    lease.changed_at = now
    is_holder = is_own_lease(lease) and not lease.stopping
    end = start_validity(attempt, now) + lease.term
    lease.valid_until = end if is_holder else None


def _record_object(
    lease: Lease, answer: Result[StoredObject, Failure], now: timedelta
) -> None:
    if _is_absent(answer):
        # The next fencing number continues from the last one seen.
        lease.version = None
        lease.valid_until = None
        return
    if not isinstance(answer, Ok) or answer.ok_value.version == lease.version:
        return
    lease.version = answer.ok_value.version
    lease.value = _decode(answer.ok_value.body)
    lease.changed_at = now
    # This version was not written by this daemon's last renewal.
    lease.valid_until = None


def _was_answered(answer: Result[StoredObject, Failure]) -> bool:
    return answer.is_ok() or _is_absent(answer)


def _is_absent(answer: Result[StoredObject, Failure]) -> bool:
    return answer.is_err() and answer.unwrap_err().cause is FailureCause.NOT_FOUND


def _read_nonce(answer: Result[StoredObject, Failure]) -> str | None:
    if not isinstance(answer, Ok):
        return None
    value = _decode(answer.ok_value.body)
    return value.nonce if value else None


def _encode(value: LeaseValue) -> str:
    return orjson.dumps(
        {
            "holder": value.holder,
            "incarnation": value.incarnation,
            "fence": value.fence,
            "term_ms": value.term // timedelta(milliseconds=1),
            "nonce": value.nonce,
        }
    ).decode()


def _decode(body: str) -> LeaseValue | None:
    try:
        data = orjson.loads(body)
        holder = data["holder"]
        return LeaseValue(
            None if holder is None else read_identifier(holder),
            read_integer(data["incarnation"]),
            read_integer(data["fence"]),
            timedelta(milliseconds=read_integer(data["term_ms"])),
            read_text(data["nonce"]),
        )
    except DECODE_ERRORS:
        # Nobody can tell when such a lease ends, so it is never claimable.
        return None


_Step = Callable[[Lease, LeaseEvent, timedelta], LeaseEffect | None]

_STEPS: dict[tuple[LeasePhase, type], _Step] = {
    (LeasePhase.IDLE, LeaseTick): _step_idle,
    (LeasePhase.IDLE, StopLease): _step_idle,
    (LeasePhase.READING, LeaseRead): _apply_read,
    (LeasePhase.WRITING, LeaseWritten): _apply_write_answer,
    (LeasePhase.RESOLVING, LeaseRead): _resolve_write,
    (LeasePhase.UNSURE, LeaseTick): _retry_read,
}
