"""Detect what crashes targets, and share it with other hosts and through the store."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding import crash_evidence
from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.crash_evidence import (
    CrashEvidence,
    CrashReport,
    PartBlock,
    Sighting,
)
from galenapass.forwarding.crash_sharing import (
    CrashMessage,
    PartBlocks,
    SoundParts,
    split_blocks,
    split_report,
    split_sound_parts,
)
from galenapass.forwarding.published_crashes import (
    PublishedCrashes,
    decode_published,
    encode_published,
)
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.slot_requests import SlotRequest
from galenapass.logs import make_log
from galenapass.systems import crashes
from galenapass.tables.crashes import Crash
from galenapass.tables.targets import Target
from galenapass.tables.world import World
from galenapass.timeouts import limit_silence
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["CrashHooks", "CrashSuspects"]

# A healthy target accepts a connection within a few milliseconds.
PROBE_TIMEOUT = timedelta(milliseconds=300)
# Probes of a silent target. A sound one may be silent for a second or so; the last
# probe that begins in this time may be lost.
MAX_PROBES = 6
# Far below the size limit of an object in the store; the latest matter most.
MAX_PUBLISHED_SUSPECTS = 200
MAX_PUBLISHED_REPORTS = 20
# Crashes within this time are published together.
PUBLISH_DELAY = timedelta(milliseconds=150)
# A target crashes as an answer begins; a request that has been answered for longer did
# not crash it.
BEGIN_TIME = timedelta(seconds=1)
# The requests that a crash ended fail within this time of each other.
REPORT_DELAY_SECONDS = 0.02
# Reports are sent again after these pauses, as a datagram may be lost.
REPEAT_PAUSES_SECONDS = (0.15, 0.4)
REFUSAL_RETRY_AFTER = timedelta(seconds=10)
# Targets whose last answers are remembered.
MAX_ANSWERED = 4096

_log = make_log("suspects")


@dataclass(slots=True, frozen=True)
class CrashHooks:
    """Outlets of the crash suspects of one host.

    ``publish`` writes to the store, ``share`` sends a message to the schedulers,
    ``on_block`` is called when prompt parts are newly blocked, ``on_crash`` for each
    request that was running at a crashed target. ``find_incarnation`` returns what a
    target says of itself, None if it does not.
    """

    publish: Callable[[str], Awaitable[None]]
    share: Callable[[CrashMessage], None] = lambda message: None
    on_block: Callable[[], None] = lambda: None
    on_crash: Callable[[Target], None] = lambda target: None
    find_incarnation: Callable[[Target], Awaitable[str | None]] | None = None


@dataclass(slots=True)
class _OwnReport:
    """Requests of this host that were running at a crashed target."""

    target: Target
    at: timedelta
    requests: int = 0
    counts: Counter[int] = field(default_factory=Counter)
    sent_at: dict[int, timedelta] = field(default_factory=dict)
    fingerprints: list[str] = field(default_factory=list)
    is_sending: bool = False


class CrashSuspects:
    """Requests and prompt parts that were present when targets crashed."""

    def __init__(self, host: str, world: World, clock: Clock, hooks: CrashHooks):
        self._host = host
        self._world = world
        self._clock = clock
        self._hooks = hooks
        self._evidence = CrashEvidence()
        self._own: dict[Crash, _OwnReport] = {}
        # When the last answered request was sent, by target.
        self._answered: dict[str, timedelta] = {}
        self._probes: dict[Crash, asyncio.Task[bool]] = {}
        self._background = BackgroundTasks("suspects")
        self._publishing: asyncio.Task[None] | None = None

    # Checks

    def check(self, fingerprint: str, parts: tuple[int, ...]) -> Verdict | None:
        """Return the refusal of a request that crashes targets, None for any other."""
        now = self._clock.monotonic()
        block = crash_evidence.find_blocked(self._evidence, parts, now)
        if block is not None:
            return _refuse(f"prompts with part {block.part:016x} crash targets")
        suspect = self._world.crashes.suspects.get(fingerprint)
        if suspect is None:
            return None
        targets = sorted(
            {
                crash.target
                for crash in suspect.open_crashes
                if not crash_evidence.is_explained(self._evidence, crash)
            }
        )
        if len(targets) < crashes.CRASHES_TO_REFUSE:
            return None
        names = ", ".join(targets)
        return _refuse(f"equal requests were running when {names} crashed")

    def check_request(self, request: ForwardedRequest) -> Verdict | None:
        """Return the refusal of a request, None if it may be sent."""
        return self.check(request.fingerprint, _list_shared(request))

    def check_slot_request(self, slot_request: SlotRequest) -> Verdict | None:
        """Return the refusal of a slot request, None if it may be granted.

        Load pattern: requests that are sent to one target after another because each
        of them crashes. A suspected one is not sent again.
        """
        parts = _list_shared(slot_request)
        refusal = self.check(slot_request.fingerprint, parts)
        if refusal is not None or not slot_request.tried:
            return refusal
        if crash_evidence.is_suspected(self._evidence, parts):
            return _refuse("it may have crashed a target")
        return None

    def list_blocks(self) -> list[PartBlocks]:
        """Return the blocks in force as messages."""
        now = self._clock.monotonic()
        return split_blocks(crash_evidence.list_blocks(self._evidence, now))

    # Observations

    def record_completion(self, request: ForwardedRequest) -> None:
        """Clear a request that completed of the crashes known so far."""
        suspect = self._world.crashes.suspects.get(request.fingerprint)
        if suspect is not None:
            suspect.cleared |= suspect.crashes

    def record_answer(self, slot_request: SlotRequest, began_at: timedelta) -> None:
        """Record that a whole answer, which began at a time, has ended."""
        parts = _list_shared(slot_request)
        if not parts:
            return
        now = self._clock.monotonic()
        cleared = crash_evidence.record_answer(
            self._evidence, slot_request.service, parts, began_at, now
        )
        if cleared:
            self._share(SoundParts(tuple(cleared), began_at))

    def record_response(self, target: Target, sent_at: timedelta) -> None:
        """Record that a target began to answer a request that was sent at a time."""
        latest = max(sent_at, self._answered.pop(target.id, sent_at))
        self._answered[target.id] = latest
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]

    async def check_for_crash(
        self,
        request: ForwardedRequest,
        target: Target,
        sent_at: timedelta,
        began_at: timedelta | None,
    ) -> None:
        """Record a crash if a target that failed a request accepts no connections.

        One that is silent has crashed if it stays so, or restarted meanwhile.
        ``began_at`` is when the answer began, None if it has not.
        """
        failed_at = self._clock.monotonic()
        crash = self._name_crash(target, sent_at)
        known = self._own.get(crash)
        if known is None or failed_at - known.at > BEGIN_TIME:
            if await self._is_running(crash, target):
                return
        now = self._clock.monotonic()
        if request.fingerprint and crashes.record_crash(
            self._world, request.fingerprint, crash, now
        ):
            self._publish_soon()
        own = self._own.setdefault(crash, _OwnReport(target, failed_at))
        while len(self._own) > MAX_PUBLISHED_REPORTS:
            del self._own[next(iter(self._own))]
        may_be_cause = began_at is None or failed_at - began_at <= BEGIN_TIME
        if may_be_cause:
            _add_request(own, request, sent_at)
        _log(
            "target crashed",
            request=request.id,
            target=target.id,
            incarnation=crash.incarnation,
            parts=[f"{part:016x}" for part in _list_shared(request)],
            may_be_cause=may_be_cause,
            known_crashes=self._count_known(request),
        )
        self._hooks.on_crash(target)
        if not own.is_sending:
            own.is_sending = True
            self._background.spawn(self._report(crash, own))

    def apply(self, message: CrashMessage) -> bool:
        """Apply what another host tells; return whether it was new."""
        if isinstance(message, CrashReport):
            return self._apply_report(message)
        if isinstance(message, SoundParts):
            return self._apply_sound_parts(message)
        return self._apply_blocks(message.blocks)

    # Store

    async def publish_again(self) -> None:
        """Publish the suspects again, which a restored store may lack."""
        if self._world.crashes.suspects or self._own or self._evidence.blocks:
            await self._publish_updates()

    def apply_published(self, text: str) -> None:
        """Apply what another daemon published."""
        now = self._clock.monotonic()
        published = decode_published(text, self._clock.now(), now)
        crashes.apply_suspect_updates(self._world, list(published.suspects), now)
        for report in published.reports:
            self._apply_report(report)
        self._apply_blocks(published.blocks)

    async def _publish_updates(self) -> None:
        await asyncio.sleep(PUBLISH_DELAY.total_seconds())
        now = self._clock.monotonic()
        suspects = crashes.list_suspect_updates(self._world, now)
        published = PublishedCrashes(
            suspects[:MAX_PUBLISHED_SUSPECTS],
            [self._make_report(crash, own) for crash, own in self._own.items()],
            tuple(crash_evidence.list_blocks(self._evidence, now)),
        )
        await self._hooks.publish(encode_published(published, self._clock.now(), now))

    def _publish_soon(self) -> None:
        if self._publishing is None or self._publishing.done():
            self._publishing = asyncio.create_task(self._publish_updates())

    # Reports

    async def _report(self, crash: Crash, own: _OwnReport) -> None:
        """Report a crash when its requests have failed, and again as a precaution."""
        await asyncio.sleep(REPORT_DELAY_SECONDS)
        for pause in (*REPEAT_PAUSES_SECONDS, 0.0):
            report = self._make_report(crash, own)
            for part_of_report in split_report(report):
                self._hooks.share(part_of_report)
            if self._apply_report(report):
                self._publish_soon()
            await asyncio.sleep(pause)
        own.is_sending = False

    def _name_crash(self, target: Target, sent_at: timedelta) -> Crash:
        answered_at = self._answered.get(target.id, timedelta.min)
        return crash_evidence.name_crash(
            self._evidence, target.id, target.incarnation, min(sent_at, answered_at)
        )

    def _make_report(self, crash: Crash, own: _OwnReport) -> CrashReport:
        return CrashReport(
            crash,
            own.target.service,
            self._host,
            own.at,
            own.requests,
            tuple(
                Sighting(part, count, own.sent_at[part])
                for part, count in own.counts.items()
            ),
            tuple(own.fingerprints),
        )

    def _apply_report(self, report: CrashReport) -> bool:
        now = self._clock.monotonic()
        for fingerprint in report.fingerprints:
            crashes.record_crash(self._world, fingerprint, report.crash, now)
        is_first = report.crash not in self._evidence.crashes
        if not crash_evidence.record_report(self._evidence, report, now):
            return False
        crash_evidence.forget_old_crashes(self._evidence, now)
        if is_first:
            self._background.spawn(self._settle(report.crash))
        else:
            self._block_parts(report.crash)
        return True

    async def _settle(self, crash: Crash) -> None:
        """Tell which parts in a crash are sound, hear it from others, then decide."""
        half_seconds = crash_evidence.SETTLE_TIME.total_seconds() / 2
        await asyncio.sleep(half_seconds)
        for parts, began_at in crash_evidence.list_sound_parts(self._evidence, crash):
            for message in split_sound_parts(SoundParts(parts, began_at)):
                self._share(message)
        await asyncio.sleep(half_seconds)
        self._block_parts(crash)

    def _block_parts(self, crash: Crash) -> None:
        now = self._clock.monotonic()
        self._block(crash_evidence.block_parts(self._evidence, crash, now))

    def _apply_sound_parts(self, sound: SoundParts) -> bool:
        return bool(
            crash_evidence.record_sound_parts(
                self._evidence, sound.parts, sound.began_at
            )
        )

    def _apply_blocks(self, blocks: Sequence[PartBlock]) -> bool:
        new = [
            block
            for block in blocks
            if crash_evidence.apply_block(self._evidence, block)
        ]
        for block in new:
            _log("part block is heard", part=f"{block.part:016x}")
        if new:
            self._hooks.on_block()
        return bool(new)

    def _block(self, blocks: list[PartBlock]) -> None:
        if not blocks:
            return
        for block in blocks:
            _log(
                "part is blocked",
                part=f"{block.part:016x}",
                crashes=len(self._evidence.crashes_by_part.get(block.part, ())),
                strikes=block.strikes,
            )
        self._hooks.on_block()
        for message in split_blocks(blocks):
            self._share(message)
        self._publish_soon()

    def _share(self, message: CrashMessage) -> None:
        self._hooks.share(message)
        self._background.spawn(self._share_again(message))

    async def _share_again(self, message: CrashMessage) -> None:
        for pause in REPEAT_PAUSES_SECONDS:
            await asyncio.sleep(pause)
            self._hooks.share(message)

    def _count_known(self, request: ForwardedRequest) -> int:
        suspect = self._world.crashes.suspects.get(request.fingerprint)
        return len(suspect.open_crashes) if suspect is not None else 0

    async def _is_running(self, crash: Crash, target: Target) -> bool:
        """Probe a target; requests that fail at the same time share one probe."""
        probe = self._probes.get(crash)
        if probe is None:
            probe = asyncio.create_task(self._probe(target))
            self._probes[crash] = probe
            probe.add_done_callback(lambda task: self._probes.pop(crash, None))
        return await asyncio.shield(probe)

    async def _probe(self, target: Target) -> bool:
        """Return whether a target runs that may be silent for a while."""
        find = self._hooks.find_incarnation
        for number in range(MAX_PROBES):
            accepts = await _accepts_connections(target)
            if accepts is None:
                continue
            if not accepts or not number or find is None:
                return accepts
            # It may have restarted while it was silent.
            return await find(target) in (None, target.incarnation)
        return False


async def _accepts_connections(target: Target) -> bool | None:
    """Return whether a target accepts a connection, None if it is silent."""
    ip, _, port = target.address.rpartition(":")
    try:
        async with limit_silence(PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(ip, int(port))
    except TimeoutError:
        return None
    except OSError:
        return False
    writer.close()
    return True


def _add_request(
    own: _OwnReport, request: ForwardedRequest, sent_at: timedelta
) -> None:
    own.requests += 1
    own.fingerprints.append(request.fingerprint)
    parts = _list_shared(request)
    own.counts.update(parts)
    for part in parts:
        own.sent_at[part] = max(sent_at, own.sent_at.get(part, sent_at))


def _list_shared(request: ForwardedRequest | SlotRequest) -> tuple[int, ...]:
    """Return the digests of the parts that other requests may share, each once."""
    return tuple(dict.fromkeys(part.digest for part in request.shared_parts))


def _refuse(detail: str) -> Verdict:
    return Verdict(Run.NOT_RUN, Reason.CRASHES_TARGETS, detail, REFUSAL_RETRY_AFTER)
