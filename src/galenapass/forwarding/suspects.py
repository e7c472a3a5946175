"""Detect requests that crash targets and share them through the store."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import orjson

from galenapass.clocks import Clock
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.logs import make_log
from galenapass.systems import crashes
from galenapass.systems.crashes import SuspectUpdate
from galenapass.tables.crashes import Crash
from galenapass.tables.targets import Target
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["CrashSuspects", "decode_suspects", "encode_suspects"]

# A healthy target accepts a connection within a few milliseconds.
PROBE_TIMEOUT_SECONDS = 0.3
# Far below the size limit of an object in the store; the latest matter most.
MAX_PUBLISHED_SUSPECTS = 200
# Crashes within this time are published together.
PUBLISH_DELAY = timedelta(milliseconds=150)

_log = make_log("suspects")


class CrashSuspects:
    """Requests that were running when targets crashed.

    ``publish`` writes the suspects of this daemon to the store for other daemons;
    ``on_crash`` is called for each request that was running at a crashed target.
    """

    def __init__(
        self,
        world: World,
        clock: Clock,
        publish: Callable[[str], Awaitable[None]],
        on_crash: Callable[[Target], None] = lambda target: None,
    ):
        self._world = world
        self._clock = clock
        self._publish = publish
        self._on_crash = on_crash
        self._publishing: asyncio.Task[None] | None = None

    def check(self, fingerprint: str) -> Verdict | None:
        """Return the refusal of a request that crashes targets, None for any other."""
        suspect = self._world.crashes.suspects.get(fingerprint)
        if suspect is None:
            return None
        targets = sorted({crash.target for crash in suspect.open_crashes})
        if len(targets) < crashes.CRASHES_TO_REFUSE:
            return None
        detail = f"equal requests were running when {', '.join(targets)} crashed"
        return Verdict(
            Run.NOT_RUN, Reason.CRASHES_TARGETS, detail, timedelta(seconds=10)
        )

    def record_completion(self, request: ForwardedRequest) -> None:
        """Clear a request that completed of the crashes known so far."""
        suspect = self._world.crashes.suspects.get(request.fingerprint)
        if suspect is not None:
            suspect.cleared |= suspect.crashes

    async def publish_again(self) -> None:
        """Publish the suspects again, which a restored store may lack."""
        if self._world.crashes.suspects:
            await self._publish_updates()

    async def check_for_crash(self, request: ForwardedRequest, target: Target) -> None:
        """Record a crash if a target that failed a request accepts no connections."""
        if not request.fingerprint or await _accepts_connections(target):
            return
        now = self._clock.monotonic()
        crash = Crash(target.id, target.incarnation)
        if not crashes.record_crash(self._world, request.fingerprint, crash, now):
            return
        suspect = self._world.crashes.suspects[request.fingerprint]
        _log(
            "target crashed",
            request=request.id,
            target=target.id,
            incarnation=target.incarnation,
            parts=[f"{part.digest:016x}" for part in request.shared_parts],
            known_crashes=len(suspect.open_crashes),
            suspects=len(self._world.crashes.suspects),
        )
        self._on_crash(target)
        if self._publishing is None or self._publishing.done():
            self._publishing = asyncio.create_task(self._publish_updates())

    def apply_published(self, text: str) -> None:
        """Apply the suspects that another daemon published."""
        updates = decode_suspects(text)
        crashes.apply_suspect_updates(self._world, updates, self._clock.monotonic())

    async def _publish_updates(self) -> None:
        await asyncio.sleep(PUBLISH_DELAY.total_seconds())
        now = self._clock.monotonic()
        updates = crashes.list_suspect_updates(self._world, now)[
            :MAX_PUBLISHED_SUSPECTS
        ]
        await self._publish(encode_suspects(updates))


async def _accepts_connections(target: Target) -> bool:
    ip, _, port = target.address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(ip, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def encode_suspects(updates: list[SuspectUpdate]) -> str:
    """Return suspects as JSON."""
    rows = [
        {
            "fingerprint": update.fingerprint,
            "crashes": [[c.target, c.incarnation] for c in sorted(update.crashes)],
            "cleared": [[c.target, c.incarnation] for c in sorted(update.cleared)],
        }
        for update in updates
    ]
    return orjson.dumps({"suspects": rows}).decode()


def decode_suspects(text: str) -> list[SuspectUpdate]:
    """Return the suspects of a JSON text, none if it is malformed."""
    try:
        rows = orjson.loads(text)["suspects"]
        return [_decode_row(row) for row in rows]
    except (ValueError, KeyError, TypeError) as error:
        _log("published suspects are unreadable", error=repr(error))
        return []


def _decode_row(row: dict[str, list[list[str]]]) -> SuspectUpdate:
    decode_crashes = lambda key: frozenset(Crash(str(t), str(i)) for t, i in row[key])  # noqa: E731
    return SuspectUpdate(
        str(row["fingerprint"]),
        decode_crashes("crashes"),
        decode_crashes("cleared"),
        timedelta(0),
    )
