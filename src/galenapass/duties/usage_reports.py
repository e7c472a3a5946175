"""Report the usage of each window at most once while this host holds the lease.

A report is written to the store before it is first sent, and then sent as written by
whoever holds the lease, until the platform accepts it. A window is written only with a
proof that it was not reported before, and left out otherwise. So no two counts are sent
for a window, whichever process, call, answer or object is lost.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, Protocol

import orjson
from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.duties.duty_calls import DutyCalls
from galenapass.duties.lease_keeper import LeaseObjects
from galenapass.forwarding import usage_counts
from galenapass.forwarding.operations import CallOutcome, OperationsTerms
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.forwarding.usage_evidence import (
    Proof,
    Restore,
    find_proof,
    includes_restore,
)
from galenapass.forwarding.usage_sharing import UsageSharing
from galenapass.json_values import (
    DECODE_ERRORS,
    decode_json,
    describe_error,
    read_counter,
    read_integer,
    read_name,
)
from galenapass.logs import make_log
from galenapass.platform.messages import Failure, FailureCause, ObjectListing

__all__ = ["USAGE_KIND", "Closing", "UsageObjects", "UsageReports", "decide_closing"]

USAGE_KIND = "usage"
STEP_PERIOD = timedelta(milliseconds=250)
# Hosts tell their counts every 0.5 s.
SETTLE_TIME = timedelta(milliseconds=700)
# Between two collections while hosts are missing.
COLLECT_PERIOD = timedelta(milliseconds=500)
# Share of the lateness after which a window is closed without the missing hosts. The
# rest is for the write and for calls to a platform that is slow or throttles.
FORCED_SHARE = 0.65
# Windows that ended earlier and were never written are not caught up: their counts are
# forgotten.
CATCH_UP_TIME = timedelta(seconds=110)
# Accepted windows that operators are shown.
HISTORY = 24
FIRST_RETRY_DELAY = timedelta(milliseconds=300)
MAX_RETRY_DELAY = timedelta(seconds=2)
# A report that the platform rejects is most likely rejected again.
MAX_REJECTED_DELAY = timedelta(seconds=30)

_log = make_log("usage")


class Closing(Enum):
    """What to do with a window that has not been written yet."""

    WAIT = "wait"
    CLOSE = "close"
    FORCE = "close without the missing hosts"


class UsageObjects(LeaseObjects, Protocol):
    """Object store that also lists and deletes."""

    async def list(self, kind: str) -> Result[ObjectListing, Failure]:
        """Return every object of a kind."""

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, Failure]:
        """Delete the version ``if_version`` of an object."""


@dataclass(slots=True)
class Report:
    """Report that is in the store; times are monotonic.

    It ``is_over`` once it is accepted or given up. As it was written, all windows up to
    ``accepted_through`` were over. Their objects may be gone, and one that appears
    again is a late write of another host. ``epoch`` is that of the store up to which
    its writer knew the earlier reports, None if the store named none.
    """

    counts: Mapping[str, int]
    accepted_through: int
    epoch: int | None = None
    version: int = 0
    is_over: bool = False
    attempts: int = 0
    retry_at: timedelta = timedelta(0)


def decide_closing(
    end: timedelta, lateness: timedelta, is_complete: bool, now: timedelta
) -> Closing:
    """Return whether to close a window that ended at a true time.

    Load pattern: a partitioned or frozen host, whose counts come late or never.
    """
    if is_complete and now >= end:
        return Closing.CLOSE
    return Closing.FORCE if now >= end + lateness * FORCED_SHARE else Closing.WAIT


class UsageReports:
    """Duty to report the usage of each window.

    ``epochs`` are those of the store. ``on_outcome`` is called with the outcome of each
    call, ``on_left_out`` with the number of windows that are not reported.
    """

    def __init__(
        self,
        terms: OperationsTerms,
        calls: DutyCalls,
        objects: UsageObjects,
        sharing: UsageSharing,
        clock: Clock,
        epochs: StoreEpochs,
        *,
        on_outcome: Callable[[str], None] = lambda outcome: None,
        on_left_out: Callable[[int], None] = lambda count: None,
    ):
        self._terms = terms
        self._calls = calls
        self._objects = objects
        self._sharing = sharing
        self._clock = clock
        self._epochs = epochs
        self._on_outcome = on_outcome
        self._on_left_out = on_left_out
        self._loaded_fence: int | None = None
        # Latest epoch in which a report that the store has was written.
        self._stored_epoch: int | None = None
        self._next = 0
        self._reports: dict[int, Report] = {}
        self._history: deque[tuple[int, Mapping[str, int]]] = deque(maxlen=HISTORY)
        self._collected_at: timedelta | None = None
        calls.add_before_release(self._end_term)

    def list_reports(self) -> list[dict[str, Any]]:
        """Return the windows that are known here, with their state, for operators."""
        table = self._sharing.table
        rows: dict[int, tuple[str, Mapping[str, int]]] = {
            window: ("open", usage_counts.sum_window(table, window))
            for window in table.counts
        }
        rows |= {w: ("written", report.counts) for w, report in self._reports.items()}
        rows |= {window: ("accepted", counts) for window, counts in self._history}
        return [
            {"window": window, "state": state, "counts": counts}
            for window, (state, counts) in sorted(rows.items())
        ]

    async def run(self) -> None:
        """Close windows and send their reports until cancelled."""
        closing = asyncio.ensure_future(self._repeat(self.step_windows))
        sending = asyncio.ensure_future(self._repeat(self.step_reports))
        try:
            await asyncio.gather(closing, sending)
        finally:
            closing.cancel()
            sending.cancel()

    async def _repeat(self, step: Callable[[], Any]) -> None:
        while True:
            await step()
            await asyncio.sleep(STEP_PERIOD.total_seconds())

    # Windows

    async def step_windows(self) -> None:
        """Write the reports of the windows that can be closed."""
        fence = self._calls.fence
        if fence is None or not self._sharing.time.is_settled:
            return
        if fence != self._loaded_fence:
            if not await self._load():
                return
            self._loaded_fence = fence
        self._record_term()
        while self._calls.fence == fence and await self._close_next():
            pass

    def _record_term(self) -> None:
        """Record until when no other host can report a window unknown to this one."""
        if self._calls.fence is not None and self._find_proof(self._next) is not None:
            until = self._clock.monotonic() + self._calls.time_left
            self._sharing.record_term(until)

    async def _end_term(self) -> None:
        self._sharing.end_term()

    def _find_proof(self, window: int) -> Proof | None:
        """Return the proof that a window, the next or a later one, was not reported."""
        end = usage_counts.find_end(window, self._sharing.window)
        return find_proof(end, self._sharing.find_evidence(), self._stored_epoch)

    async def _load(self) -> bool:
        """Read what earlier holders wrote; return whether it is known."""
        epoch = self._epochs.current
        listing = await self._objects.list(USAGE_KIND)
        if isinstance(listing, Err) or self._epochs.current != epoch:
            return False
        # Schedulers may know of later windows that a restored store has lost.
        await self._sharing.collect(self._next - 1)
        told = self._sharing.find_evidence()
        stored: dict[int, Report] = {}
        for item in listing.ok_value.items:
            decoded = _decode_report(item.name, item.body)
            if isinstance(decoded, Err):
                _log("report is unreadable", name=item.name, error=decoded.err_value)
                continue
            window, report = decoded.ok_value
            known = self._reports.get(window)
            report.version = item.version
            report.is_over = known is not None and known.is_over
            stored[window] = report
        newest = max(stored, default=-1)
        self._stored_epoch = _find_latest(r.epoch for r in stored.values())
        accepted = max((r.accepted_through for r in stored.values()), default=-1)
        for window, report in stored.items():
            report.is_over |= window <= accepted
        # What is missing below was accepted, and removed by another holder. What is
        # missing above was lost as the store was restored; only its last holder knows
        # that no other host has counted it since.
        is_last_holder = self._was_holder_at_restore()
        lost = {w: r for w, r in self._reports.items() if w > newest and is_last_holder}
        self._reports = stored | lost
        self._next = self._find_next(max([newest, *lost]))
        self._sharing.prepare_table(self._next - 1)
        proof = self._find_proof(self._next)
        _log(
            "reports are read",
            count=len(stored),
            next=self._next,
            newest=newest,
            told=told.written,
            silent=self._sharing.silent_schedulers,
            epoch=epoch,
            stored_epoch=self._stored_epoch,
            proof=None if proof is None else proof.value,
        )
        return True

    def _find_next(self, newest: int) -> int:
        """Return the first window to write after the newest one that was written."""
        length, now = self._sharing.window, self._sharing.time.now()
        evidence = self._sharing.find_evidence()
        written = max(newest, self._next - 1, evidence.written)
        oldest = usage_counts.find_window(now - CATCH_UP_TIME, length)
        if written < 0:
            return max(self._find_first(evidence.restore), oldest)
        if written + 1 < oldest:
            self._leave_out(written + 1, oldest - 1, "they ended too long ago")
        return max(written + 1, oldest)

    def _find_first(self, restore: Restore | None) -> int:
        """Return the first window to write where no report is known."""
        length = self._sharing.window
        if restore is not None:
            return usage_counts.find_window(restore.seen_at, length)
        now = usage_counts.find_window(self._sharing.time.now(), length)
        return min([now, *self._sharing.table.counts])

    def _was_holder_at_restore(self) -> bool:
        """Return whether the store was last restored within a term of this process."""
        own_until = self._sharing.find_own_evidence().complete_until
        restore = self._sharing.find_evidence().restore
        return restore is None or includes_restore(own_until, restore)

    def _leave_out(self, first: int, last: int, reason: str) -> None:
        _log("windows are not reported", first=first, last=last, reason=reason)
        self._on_left_out(last - first + 1)

    async def _close_next(self) -> bool:
        """Close the next window; return whether it was, so that another may be."""
        window = self._next
        end = usage_counts.find_end(window, self._sharing.window)
        now = self._sharing.time.now()
        if now < end + SETTLE_TIME:
            return False
        await self._collect()
        now = self._sharing.time.now()
        missing = self._sharing.list_missing(end)
        proof = self._find_proof(window)
        # A holder of the time of the restore may still answer.
        is_complete = not missing and proof is not None
        closing = decide_closing(end, self._terms.lateness, is_complete, now)
        if closing is Closing.WAIT:
            return False
        if proof is None:
            self._leave_out(window, window, "it may have been reported")
            self._next = window + 1
            self._sharing.prepare_table(window)
            return True
        written = await self._write(window, proof)
        if isinstance(written, Err):
            _log("report is not known", window=window, cause=written.err_value.value)
            return False
        # Before the report may be sent: a next holder must not count the window anew if
        # the store loses the report.
        await self._sharing.collect(window)
        self._next = window + 1
        usage_counts.forget_windows(self._sharing.table, window, now)
        report = written.ok_value
        if report is None:
            return True
        self._reports[window] = report
        _log(
            "window is closed",
            window=window,
            requests=sum(report.counts.values()),
            organisations=len(report.counts),
            missing=missing,
            proof=proof.name,
            late_ms=(now - end) // timedelta(milliseconds=1),
        )
        return True

    async def _collect(self) -> None:
        now = self._clock.monotonic()
        if self._collected_at is not None and now - self._collected_at < COLLECT_PERIOD:
            return
        self._collected_at = now
        await self._sharing.collect(self._next - 1)

    async def _write(
        self, window: int, proof: Proof
    ) -> Result[Report | None, FailureCause]:
        """Write a report unless one is there; return the one in the store.

        The ``proof`` shows that the window was not reported. The result is None if the
        report is unreadable: its window is not reported here. A write without an answer
        may take effect later; only the first one does.
        """
        waiting = [w for w, report in self._reports.items() if not report.is_over]
        counts = usage_counts.sum_window(self._sharing.table, window)
        epoch = self._epochs.current
        report = Report(counts, min(waiting, default=window) - 1, epoch)
        body = _encode_report(report)
        written = await self._objects.write(USAGE_KIND, str(window), body)
        if isinstance(written, Ok):
            report.version = written.ok_value
            self._stored_epoch = epoch
            return Ok(report)
        cause = written.err_value.cause
        if cause not in (FailureCause.CONFLICT, FailureCause.UNKNOWN):
            return Err(cause)
        read = await self._objects.read(USAGE_KIND, str(window))
        if isinstance(read, Err):
            return Err(read.err_value.cause)
        decoded = _decode_report(read.ok_value.name, read.ok_value.body)
        if isinstance(decoded, Err):
            _log("report is unreadable", window=window, error=decoded.err_value)
            return Ok(None)
        report = decoded.ok_value[1]
        report.version = read.ok_value.version
        self._stored_epoch = _find_latest([self._stored_epoch, report.epoch])
        return Ok(report)

    # Reports

    async def step_reports(self) -> None:
        """Send the report that is due first, and remove those that are over."""
        if self._calls.fence is None or self._calls.fence != self._loaded_fence:
            return
        now = self._clock.monotonic()
        due = [
            window
            for window, report in self._reports.items()
            if not report.is_over and report.retry_at <= now
        ]
        if due:
            await self._send(min(due, key=self._order))
        else:
            await self._remove_one()

    def _order(self, window: int) -> tuple[bool, int]:
        """Return the key by which reports are sent: those that are late come last.

        Load pattern: a new holder, which sends again what its predecessor may have.
        """
        end = usage_counts.find_end(window, self._sharing.window)
        return self._sharing.time.now() > end + self._terms.lateness, window

    async def _send(self, window: int) -> None:
        report = self._reports[window]
        outcome = await self._calls.report_usage(window, report.counts)
        if outcome is None:
            return
        self._on_outcome(outcome.value)
        report.attempts += 1
        is_accepted = outcome is CallOutcome.ACCEPTED
        is_rejected = outcome is CallOutcome.REJECTED
        if is_accepted:
            self._history.append((window, report.counts))
        end = usage_counts.find_end(window, self._sharing.window)
        is_old = self._sharing.time.now() > end + CATCH_UP_TIME
        report.is_over = is_accepted or (is_rejected and is_old)
        longest = MAX_REJECTED_DELAY if is_rejected else MAX_RETRY_DELAY
        delay = min(FIRST_RETRY_DELAY * 2 ** min(report.attempts, 8), longest)
        report.retry_at = self._clock.monotonic() + delay
        if report.is_over and not is_accepted:
            _log("report is given up", window=window, attempts=report.attempts)
        _log(
            "usage is reported" if is_accepted else "usage is not accepted",
            window=window,
            requests=sum(report.counts.values()),
            outcome=outcome.value,
            attempts=report.attempts,
        )

    async def _remove_one(self) -> None:
        """Remove a report that a later one tells to be accepted.

        The newest one shows the next holder where to go on.
        """
        if not self._reports:
            return
        window = min(self._reports)
        if window > self._reports[max(self._reports)].accepted_through:
            return
        report = self._reports[window]
        deleted = await self._objects.delete(USAGE_KIND, str(window), report.version)
        # The reports may have been read again meanwhile.
        if isinstance(deleted, Ok):
            self._reports.pop(window, None)
            return
        cause = deleted.err_value.cause
        _log("report is not removed", window=window, cause=cause.value)
        if cause is FailureCause.NOT_FOUND:
            self._reports.pop(window, None)
        elif cause is FailureCause.CONFLICT and deleted.err_value.current is not None:
            report.version = deleted.err_value.current


def _find_latest(epochs: Iterable[int | None]) -> int | None:
    return max((epoch for epoch in epochs if epoch is not None), default=None)


def _encode_report(report: Report) -> str:
    fields = {
        "counts": report.counts,
        "accepted": report.accepted_through,
        "epoch": report.epoch,
    }
    return orjson.dumps(fields).decode()


def _decode_report(name: str, body: str) -> Result[tuple[int, Report], str]:
    try:
        data = decode_json(body).unwrap_or_raise(ValueError)
        counts = {
            read_name(organisation): read_counter(count)
            for organisation, count in data["counts"].items()
        }
        # Earlier builds name no epoch.
        epoch = data.get("epoch")
        report = Report(
            counts,
            read_integer(data["accepted"]),
            None if epoch is None else read_integer(epoch),
        )
        return Ok((int(name), report))
    except DECODE_ERRORS as error:
        return Err(describe_error(error))
