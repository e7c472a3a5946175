"""Keep claims in the platform: group what waits for a slice into one write."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum
from random import Random

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.dispatch import Claim, StoredAnswer
from galenapass.duties.claim_slices import Pending, Queue, SliceStore
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
MOST_TRIES = 8
BEGIN_TIMEOUT = timedelta(seconds=3)
FIRST_PAUSE = timedelta(milliseconds=5)
LONGEST_PAUSE = timedelta(seconds=5)
RETRY_AFTER = timedelta(seconds=5)
MOST_WAITING = 10_000
MOST_KEPT_ENTRIES = 20_000
FINGERPRINT_LENGTH = 16

UNAVAILABLE = Verdict(
    Run.NOT_RUN,
    Reason.PLATFORM_UNAVAILABLE,
    "the claim cannot be written at the moment",
    RETRY_AFTER,
)

_log = make_log("claims")

Sleep = Callable[[float], Awaitable[None]]


class Failing(Enum):
    """Tell whether a failed update is worth another try before begins are refused."""

    FOR_NOW = "for now"
    NOW = "at once"


_FAILINGS = {FailureCause.UNAVAILABLE: Failing.NOW}


class ClaimStore:
    """Let each idempotency key run at most once in the whole fleet.

    Begins give up when the platform is away; finishes and releases are repeated
    until they are written, as long as the process lives.
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
        self._queues: dict[str, Queue] = {}
        self._unsent: dict[str, str] = {}

    async def begin(
        self, caller: str, service: str, key: str, fingerprint: str
    ) -> Result[Claim | StoredAnswer, Verdict]:
        """Return the right to run, the earlier answer, or why neither."""
        hashed = hash_key(caller, service, key)
        nonce = f"{self._host}-{self._random.getrandbits(NONCE_BITS):x}"
        unsent = frozenset(filter(None, [self._unsent.get(hashed)]))
        if self.count_waiting() >= MOST_WAITING:
            return Err(UNAVAILABLE)
        begin = AcquireClaim(hashed, nonce, fingerprint[:FINGERPRINT_LENGTH], unsent)
        pending = self._submit(begin)
        try:
            timeout = BEGIN_TIMEOUT.total_seconds()
            outcome = await asyncio.wait_for(asyncio.shield(pending.done), timeout)
        except TimeoutError:
            self._withdraw(pending)
            outcome = UNAVAILABLE
        except asyncio.CancelledError:
            # The caller has left, so its call is never sent.
            self._withdraw(pending)
            raise
        if isinstance(outcome, ClaimAcquired):
            self._unsent.pop(hashed, None)
            return Ok(Claim(hashed, nonce))
        if isinstance(outcome, StoredAnswer):
            return Ok(outcome)
        return Err(outcome if isinstance(outcome, Verdict) else UNAVAILABLE)

    async def finish(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Keep the answer; None leaves the claim at "may have run"."""
        await self._submit(FinishClaim(claim.key, claim.nonce, answer)).done

    async def release(self, claim: Claim) -> None:
        """Give a claim back whose call surely did not run."""
        await self._submit(ReleaseClaim(claim.key, claim.nonce)).done

    def count_waiting(self) -> int:
        """Return how many operations are not yet written."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    async def flush(self, within: timedelta) -> int:
        """Wait until all is written, for a bounded time; return what is left."""
        workers = [q.worker for q in self._queues.values() if q.worker is not None]
        if workers:
            await asyncio.wait(workers, timeout=within.total_seconds())
        if left := self.count_waiting():
            _log("claims are left unwritten", count=left)
        return left

    def _submit(self, operation: ClaimOperation) -> Pending:
        done = asyncio.get_running_loop().create_future()
        pending = Pending(operation, done)
        queue = self._open_queue(name_slice(operation.key))
        queue.waiting.append(pending)
        if queue.worker is None:
            queue.worker = asyncio.create_task(self._work(queue))
        return pending

    def _open_queue(self, name: str) -> Queue:
        queue = self._queues.pop(name, None) or Queue(name)
        self._queues[name] = queue
        return queue

    def _forget_idle(self) -> None:
        """Drop the idle slices used longest ago that hold too many entries."""
        kept = 0
        for queue in reversed(list(self._queues.values())):
            kept += len(queue.known.entries) + 1 if queue.known else 1
            if kept > MOST_KEPT_ENTRIES and queue.worker is None:
                del self._queues[queue.name]

    def _withdraw(self, pending: Pending) -> None:
        """Give a begin up; its call is never sent.

        If its write may still take effect, a release writes the slice anew, so that
        a write still on its way meets another version.
        """
        pending.withdrawn = True
        if not pending.done.done():
            pending.done.set_result(UNAVAILABLE)
        if not pending.attempted:
            return
        begin = pending.operation
        self._unsent[begin.key] = begin.nonce
        self._submit(ReleaseClaim(begin.key, begin.nonce))

    # One slice

    async def _work(self, queue: Queue) -> None:
        tries = 0
        while queue.waiting:
            failure = await self._commit(queue)
            tries = tries + 1 if failure else 0
            if failure is Failing.NOW or tries >= MOST_TRIES:
                self._refuse_begins(queue)
            if failure and queue.waiting:
                await self._pause(tries)
        queue.worker = None
        self._forget_idle()

    async def _commit(self, queue: Queue) -> Failing | None:
        """Write what waits in one update; return how it failed, if it did."""
        fresh = queue.known is None
        known = queue.known or await self._read(queue)
        if known is None:
            return Failing.NOW
        queue.waiting = [p for p in queue.waiting if not p.withdrawn]
        batch = list(queue.waiting)
        now = int(self._clock.now().timestamp())
        entries = dict(known.entries)
        outcomes = [
            apply_operation(entries, pending.operation, now) for pending in batch
        ]
        if not fresh and not _only_writes(outcomes):
            # What is only repeated or refused must rest on a read made since.
            queue.known = None
            return await self._commit(queue)
        if entries != known.entries or _has_release(batch):
            failure = await self._write(queue, batch, known, entries, now)
            if failure is not None:
                return failure
        self._settle(queue, batch, outcomes)
        return None

    async def _read(self, queue: Queue) -> ClaimSlice | None:
        found = await self._store.read(KIND, queue.name)
        if isinstance(found, Err):
            absent = found.err_value.cause is FailureCause.NOT_FOUND
            queue.known = ClaimSlice() if absent else None
            return queue.known
        try:
            queue.known = decode_slice(found.ok_value.version, found.ok_value.body)
        except ValueError as error:
            _log("slice cannot be read", slice=queue.name, why=str(error))
        return queue.known

    async def _write(
        self,
        queue: Queue,
        batch: list[Pending],
        known: ClaimSlice,
        entries: dict[str, ClaimEntry],
        now: int,
    ) -> Failing | None:
        body = encode_slice(entries, now)
        if body is None:
            _log("slice is full", slice=queue.name, entries=len(entries))
            return Failing.NOW
        for pending in batch:
            pending.attempted = True
        written = await self._store.write(KIND, queue.name, body, known.version)
        if isinstance(written, Ok):
            queue.known = ClaimSlice(written.ok_value, entries)
            return None
        # A conflict may be our own earlier write; the next read shows its nonces.
        queue.known = None
        return _FAILINGS.get(written.err_value.cause, Failing.FOR_NOW)

    def _settle(
        self, queue: Queue, batch: list[Pending], outcomes: list[ClaimOutcome]
    ) -> None:
        settled = set(batch)
        queue.waiting = [p for p in queue.waiting if p not in settled]
        for pending, outcome in zip(batch, outcomes, strict=True):
            self._forget_unsent(pending.operation)
            if not pending.done.done():
                pending.done.set_result(outcome)

    def _forget_unsent(self, operation: ClaimOperation) -> None:
        if isinstance(operation, ReleaseClaim):
            if self._unsent.get(operation.key) == operation.nonce:
                del self._unsent[operation.key]

    def _refuse_begins(self, queue: Queue) -> None:
        """Answer the begins at once; the rest is repeated."""
        begins = [p for p in queue.waiting if isinstance(p.operation, AcquireClaim)]
        queue.waiting = [p for p in queue.waiting if p not in begins]
        if begins:
            _log("claims are refused", slice=queue.name, count=len(begins))
        for pending in begins:
            self._withdraw(pending)

    async def _pause(self, tries: int) -> None:
        bound = min(FIRST_PAUSE * 2 ** min(tries, 12), LONGEST_PAUSE)
        await self._sleep(bound.total_seconds() * self._random.uniform(0.5, 1.0))


def _only_writes(outcomes: list[ClaimOutcome]) -> bool:
    return all(
        outcome is None or isinstance(outcome, ClaimAcquired) for outcome in outcomes
    )


def _has_release(batch: list[Pending]) -> bool:
    return any(isinstance(pending.operation, ReleaseClaim) for pending in batch)
