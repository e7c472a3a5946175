"""Find requests that crash targets and share the findings through the store."""

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

# A sound target accepts a connection within a few milliseconds.
PROBE_SECONDS = 0.3
# An object of the store takes far more; the latest are what matters.
MOST_TOLD = 200
# Crashes that come together are told together.
TELL_DELAY = timedelta(milliseconds=150)

_log = make_log("suspects")


class CrashSuspects:
    """Hold which requests were running when targets crashed.

    ``publish`` writes this daemon's findings where the others read them.
    """

    def __init__(
        self, world: World, clock: Clock, publish: Callable[[str], Awaitable[None]]
    ):
        self._world = world
        self._clock = clock
        self._publish = publish
        self._telling: asyncio.Task[None] | None = None

    def check(self, fingerprint: str) -> Verdict | None:
        """Return the verdict on a request that crashes targets, else None."""
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
        """Clear a request that completed."""
        suspect = self._world.crashes.suspects.get(request.fingerprint)
        if suspect is not None:
            suspect.cleared |= suspect.crashes

    async def look_for_crash(self, request: ForwardedRequest, target: Target) -> None:
        """Find out whether a target that broke off a request has crashed."""
        if not request.fingerprint or await _accepts(target):
            return
        now = self._clock.monotonic()
        crash = Crash(target.id, target.incarnation)
        if not crashes.record_crash(self._world, request.fingerprint, crash, now):
            return
        _log("target crashed", request=request.id, target=target.id)
        if self._telling is None or self._telling.done():
            self._telling = asyncio.create_task(self._tell())

    def apply_findings(self, text: str) -> None:
        """Take in what another daemon found."""
        news = decode_suspects(text)
        crashes.apply_suspect_updates(self._world, news, self._clock.monotonic())

    async def _tell(self) -> None:
        await asyncio.sleep(TELL_DELAY.total_seconds())
        now = self._clock.monotonic()
        news = crashes.list_suspect_updates(self._world, now)[:MOST_TOLD]
        await self._publish(encode_suspects(news))


async def _accepts(target: Target) -> bool:
    ip, _, port = target.address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(ip, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def encode_suspects(news: list[SuspectUpdate]) -> str:
    """Return suspects as JSON."""
    rows = [
        {
            "fingerprint": item.fingerprint,
            "crashes": [[c.target, c.incarnation] for c in sorted(item.crashes)],
            "cleared": [[c.target, c.incarnation] for c in sorted(item.cleared)],
        }
        for item in news
    ]
    return orjson.dumps({"suspects": rows}).decode()


def decode_suspects(text: str) -> list[SuspectUpdate]:
    """Return suspects; rows that cannot be read name none."""
    try:
        rows = orjson.loads(text)["suspects"]
        return [_decode_row(row) for row in rows]
    except (ValueError, KeyError, TypeError) as error:
        _log("news of suspects is unreadable", error=repr(error))
        return []


def _decode_row(row: dict[str, list[list[str]]]) -> SuspectUpdate:
    read = lambda key: frozenset(Crash(str(t), str(i)) for t, i in row[key])  # noqa: E731
    return SuspectUpdate(
        str(row["fingerprint"]), read("crashes"), read("cleared"), timedelta(0)
    )
