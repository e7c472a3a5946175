"""Store claims in the platform and batch the pending operations of a slice."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum
from random import Random

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.dispatch import Claim, StoredAnswer
from galenapass.duties.claim_slices import PendingOperation, SliceQueue, SliceStore
from galenapass.logs import make_log
from galenapass.platform.messages import FailureCause
from galenapass.systems.claims import (
    AcquireClaim,
    ClaimAcquired,
    ClaimOperation,
    ClaimOutcome,
    FinishClaim,
    ReleaseClaim,
    apply_operation,
    decode_slice,
    encode_slice,
    hash_key,
    name_slice,
)
from galenapass.tables.claims import ClaimEntry, ClaimSlice
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["KIND", "ClaimStore"]

KIND = "claims"
NONCE_BITS = 96
MAX_TRIES = 8
BEGIN_TIMEOUT = timedelta(seconds=3)
BASE_PAUSE = timedelta(milliseconds=5)
MAX_PAUSE = timedelta(seconds=5)
RETRY_AFTER = timedelta(seconds=5)
MAX_WAITING = 10_000
MAX_CACHED_ENTRIES = 20_000
FINGERPRINT_LENGTH = 16

UNAVAILABLE = Verdict(
    Run.NOT_RUN,
    Reason.PLATFORM_UNAVAILABLE,
    "the claim cannot be written at the moment",
    RETRY_AFTER,
)

_log = make_log("claims")

Sleep = Callable[[float], Awaitable[None]]


class CommitFailure(Enum):
    """Failed commit of a slice, by how its pending begins are handled."""

    RETRY_BEGINS = "retry"
    REFUSE_BEGINS = "refuse"


_FAILURES_BY_CAUSE = {FailureCause.UNAVAILABLE: CommitFailure.REFUSE_BEGINS}


class ClaimStore:
    """Claims that let each idempotency key run at most once in the whole fleet.

    A begin fails when the platform is unavailable. A finish or release is retried
    until it is written or the process ends.
    """

    __slots__ = ("_clock", "_host", "_queues", "_random", "_sleep", "_store", "_unsent")

    def __init__(
        self,
        store: SliceStore,
        host: str,
        clock: Clock,
        random: Random,
        sleep: Sleep = asyncio.sleep,
    ):
        self._store = store
        self._host = host
        self._clock = clock
        self._random = random
        self._sleep = sleep
        self._queues: dict[str, SliceQueue] = {}
        self._unsent: dict[str, str] = {}

    async def begin(
        self, caller: str, service: str, key: str, fingerprint: str
    ) -> Result[Claim | StoredAnswer, Verdict]:
        """Return a claim to run the call, its stored answer, or why neither."""
        hashed_key = hash_key(caller, service, key)
        nonce = f"{self._host}-{self._random.getrandbits(NONCE_BITS):x}"
        unsent = frozenset(filter(None, [self._unsent.get(hashed_key)]))
        if self.count_waiting() >= MAX_WAITING:
            return Err(UNAVAILABLE)
        operation = AcquireClaim(
            hashed_key, nonce, fingerprint[:FINGERPRINT_LENGTH], unsent
        )
        pending = self._submit(operation)
        try:
            timeout = BEGIN_TIMEOUT.total_seconds()
            outcome = await asyncio.wait_for(asyncio.shield(pending.done), timeout)
        except TimeoutError:
            self._withdraw(pending)
            outcome = UNAVAILABLE
        except asyncio.CancelledError:
            # The caller has disconnected, so its call is never sent.
            self._withdraw(pending)
            raise
        if isinstance(outcome, ClaimAcquired):
            self._unsent.pop(hashed_key, None)
            return Ok(Claim(hashed_key, nonce))
        if isinstance(outcome, StoredAnswer):
            return Ok(outcome)
        return Err(outcome if isinstance(outcome, Verdict) else UNAVAILABLE)

    async def finish(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Store the answer of a call; None records that it may have run."""
        await self._submit(FinishClaim(claim.key, claim.nonce, answer)).done

    async def release(self, claim: Claim) -> None:
        """Release a claim whose call certainly did not run."""
        await self._submit(ReleaseClaim(claim.key, claim.nonce)).done

    def count_waiting(self) -> int:
        """Return the number of operations that are not yet written."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    async def flush(self, within: timedelta) -> int:
        """Wait for pending writes; return how many operations are left unwritten.

        The wait is limited to ``within``.
        """
        workers = [q.worker for q in self._queues.values() if q.worker is not None]
        if workers:
            await asyncio.wait(workers, timeout=within.total_seconds())
        if remaining := self.count_waiting():
            _log("claim operations left unwritten", count=remaining)
        return remaining

    def _submit(self, operation: ClaimOperation) -> PendingOperation:
        done = asyncio.get_running_loop().create_future()
        pending = PendingOperation(operation, done)
        queue = self._get_queue(name_slice(operation.key))
        queue.waiting.append(pending)
        if queue.worker is None:
            queue.worker = asyncio.create_task(self._process_queue(queue))
        return pending

    def _get_queue(self, name: str) -> SliceQueue:
        queue = self._queues.pop(name, None) or SliceQueue(name)
        self._queues[name] = queue
        return queue

    def _evict_idle_queues(self) -> None:
        """Evict the least recently used idle slices beyond the limit of entries."""
        entry_count = 0
        for queue in reversed(list(self._queues.values())):
            entry_count += len(queue.cached.entries) + 1 if queue.cached else 1
            if entry_count > MAX_CACHED_ENTRIES and queue.worker is None:
                del self._queues[queue.name]

    def _withdraw(self, pending: PendingOperation) -> None:
        """Withdraw a begin; its call is then never sent.

        If its write may still take effect, a release rewrites the slice, so that
        the delayed write fails on a changed version.
        """
        pending.withdrawn = True
        if not pending.done.done():
            pending.done.set_result(UNAVAILABLE)
        if not pending.attempted:
            return
        operation = pending.operation
        self._unsent[operation.key] = operation.nonce
        self._submit(ReleaseClaim(operation.key, operation.nonce))

    # Operations on one slice

    async def _process_queue(self, queue: SliceQueue) -> None:
        tries = 0
        while queue.waiting:
            failure = await self._commit(queue)
            tries = tries + 1 if failure else 0
            if failure is CommitFailure.REFUSE_BEGINS or tries >= MAX_TRIES:
                self._refuse_begins(queue)
            if failure and queue.waiting:
                await self._pause(tries)
        queue.worker = None
        self._evict_idle_queues()

    async def _commit(self, queue: SliceQueue) -> CommitFailure | None:
        """Write the pending operations in one update; return None on success."""
        fresh = queue.cached is None
        cached = queue.cached or await self._read(queue)
        if cached is None:
            return CommitFailure.REFUSE_BEGINS
        queue.waiting = [p for p in queue.waiting if not p.withdrawn]
        batch = list(queue.waiting)
        now = int(self._clock.now().timestamp())
        entries = dict(cached.entries)
        outcomes = [
            apply_operation(entries, pending.operation, now) for pending in batch
        ]
        if not fresh and not _all_need_write(outcomes):
            # A repeat or refusal must be based on a read made after the request.
            queue.cached = None
            return await self._commit(queue)
        if entries != cached.entries or _has_release(batch):
            failure = await self._write(queue, batch, cached, entries, now)
            if failure is not None:
                return failure
        self._complete(queue, batch, outcomes)
        return None

    async def _read(self, queue: SliceQueue) -> ClaimSlice | None:
        found = await self._store.read(KIND, queue.name)
        if isinstance(found, Err):
            absent = found.err_value.cause is FailureCause.NOT_FOUND
            queue.cached = ClaimSlice() if absent else None
            return queue.cached
        try:
            queue.cached = decode_slice(found.ok_value.version, found.ok_value.body)
        except ValueError as error:
            _log("failed to decode slice", slice=queue.name, why=str(error))
        return queue.cached

    async def _write(
        self,
        queue: SliceQueue,
        batch: list[PendingOperation],
        cached: ClaimSlice,
        entries: dict[str, ClaimEntry],
        now: int,
    ) -> CommitFailure | None:
        body = encode_slice(entries, now)
        if body is None:
            _log("slice is full", slice=queue.name, entries=len(entries))
            return CommitFailure.REFUSE_BEGINS
        for pending in batch:
            pending.attempted = True
        written = await self._store.write(KIND, queue.name, body, cached.version)
        if isinstance(written, Ok):
            queue.cached = ClaimSlice(written.ok_value, entries)
            return None
        # The conflict may be with this daemon's own earlier write; the next read
        # shows its nonces.
        queue.cached = None
        return _FAILURES_BY_CAUSE.get(
            written.err_value.cause, CommitFailure.RETRY_BEGINS
        )

    def _complete(
        self,
        queue: SliceQueue,
        batch: list[PendingOperation],
        outcomes: list[ClaimOutcome],
    ) -> None:
        completed = set(batch)
        queue.waiting = [p for p in queue.waiting if p not in completed]
        for pending, outcome in zip(batch, outcomes, strict=True):
            self._remove_unsent(pending.operation)
            if not pending.done.done():
                pending.done.set_result(outcome)

    def _remove_unsent(self, operation: ClaimOperation) -> None:
        if isinstance(operation, ReleaseClaim):
            if self._unsent.get(operation.key) == operation.nonce:
                del self._unsent[operation.key]

    def _refuse_begins(self, queue: SliceQueue) -> None:
        """Refuse the pending begins and leave the other operations to be retried."""
        begins = [p for p in queue.waiting if isinstance(p.operation, AcquireClaim)]
        queue.waiting = [p for p in queue.waiting if p not in begins]
        if begins:
            _log("refused pending claims", slice=queue.name, count=len(begins))
        for pending in begins:
            self._withdraw(pending)

    async def _pause(self, tries: int) -> None:
        bound = min(BASE_PAUSE * 2 ** min(tries, 12), MAX_PAUSE)
        await self._sleep(bound.total_seconds() * self._random.uniform(0.5, 1.0))


def _all_need_write(outcomes: list[ClaimOutcome]) -> bool:
    return all(
        outcome is None or isinstance(outcome, ClaimAcquired) for outcome in outcomes
    )


def _has_release(batch: list[PendingOperation]) -> bool:
    return any(isinstance(pending.operation, ReleaseClaim) for pending in batch)
