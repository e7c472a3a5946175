"""Take up streams that broke off, and check which software versions wrote them."""

import asyncio
import re
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import aiohttp

from stand_ins.platform_routes import make_headers

__all__ = [
    "MIN_TAKE_UPS",
    "Stream",
    "StreamClient",
    "StreamTry",
    "find_joined",
    "find_refused_take_ups",
    "list_events",
    "list_versions",
    "strip_marks",
]

STREAM_EVENTS = 12
EVENT_SECONDS = 0.2
DEADLINE_SECONDS = 7.0
# Tries that are answered.
MAX_TRIES = 10
RETRY_SECONDS = 0.3
THINK_TIME_SECONDS = (0.0, 0.2)
# Streams taken up from which the share that goes on is judged, and the least such share
# of the share of new streams that begin.
MIN_TAKE_UPS = 12
MIN_SHARE = 0.5
_EVENT = re.compile(rb"id: (\d+)\ndata: t(\d+) ?(\S*)\n\n")


def list_events(body: bytes) -> list[int]:
    """Return the numbers of the whole events of a stream."""
    return [int(number) for number, _, _ in _EVENT.findall(body)]


def list_versions(body: bytes) -> list[str]:
    """Return the services and versions that wrote the events of a stream, in order."""
    return list(dict.fromkeys(mark.decode() for _, _, mark in _EVENT.findall(body)))


@dataclass(slots=True)
class StreamTry:
    """One try of a stream, with what came back; times are monotonic seconds.

    ``status`` is 0 without an answer. ``resumes`` is empty for the first try, and
    ``is_served`` tells of a later one that two targets of its version served.
    """

    attempt: str
    daemon: str
    began: float
    resumes: str = ""
    is_served: bool = False
    ended: float = 0.0
    status: int = 0
    body: bytes = b""
    complete: bool = False


@dataclass(slots=True)
class Stream:
    """Stream of one client over its tries, in order."""

    path: str
    tries: list[StreamTry] = field(default_factory=list)

    @property
    def events(self) -> list[int]:
        """Return the numbers of the events over all tries."""
        return [number for one in self.tries for number in list_events(one.body)]

    @property
    def versions(self) -> list[str]:
        """Return the services and versions that wrote the events, in order."""
        marks = [mark for one in self.tries for mark in list_versions(one.body)]
        return list(dict.fromkeys(marks))

    @property
    def first(self) -> str:
        """Return the attempt that brought the first event, empty without one."""
        return next((t.attempt for t in self.tries if list_events(t.body)), "")


class StreamClient:
    """Client that takes up streams that broke off, at any daemon.

    ``is_served`` tells whether two sound targets of a version serve at the moment.
    """

    def __init__(
        self,
        name: str,
        daemons: dict[str, str],
        random: Random,
        is_served: Callable[[str], bool],
    ):
        self.streams: list[Stream] = []
        self._name = name
        self._daemons = daemons
        self._random = random
        self._is_served = is_served

    async def run(self, started: float, is_over: Callable[[], bool]) -> None:
        """Read one stream after another until ``is_over`` returns true."""
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            # Streams of any age break off together.
            await asyncio.sleep(self._random.uniform(0, STREAM_EVENTS * EVENT_SECONDS))
            while not is_over():
                await self._read_stream(session)
                await asyncio.sleep(self._random.uniform(*THINK_TIME_SECONDS))

    async def _read_stream(self, session: aiohttp.ClientSession) -> None:
        number = len(self.streams)
        query = f"?events={STREAM_EVENTS}&seconds={EVENT_SECONDS}"
        stream = Stream(f"/notes/{self._name}-{number}{query}")
        self.streams.append(stream)
        prompt = f"{self._random.getrandbits(40):x}:1000,bb:200"
        deadline = time.monotonic() + DEADLINE_SECONDS
        while (
            sum(one.status != 0 for one in stream.tries) < MAX_TRIES
            and time.monotonic() < deadline
        ):
            await self._send_try(session, stream, prompt, deadline)
            if stream.tries[-1].complete and stream.tries[-1].status == 200:
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _send_try(
        self,
        session: aiohttp.ClientSession,
        stream: Stream,
        prompt: str,
        deadline: float,
    ) -> None:
        daemon = self._random.choice(sorted(self._daemons))
        began = time.monotonic()
        attempt = f"{self._name}-{self._random.getrandbits(48):x}"
        headers = make_headers(attempt, int((deadline - began) * 1000))
        headers["X-Galenapass-Prompt-Prefix"] = prompt
        one = StreamTry(attempt, daemon, began, stream.first)
        if one.resumes:
            headers["Resumes"] = one.resumes
            headers["Last-Event-Id"] = str(stream.events[-1])
            one.is_served = self._is_served(stream.versions[0])
        stream.tries.append(one)
        url = f"http://{self._daemons[daemon]}{stream.path}"
        try:
            async with (
                asyncio.timeout_at(
                    asyncio.get_running_loop().time() + deadline - began
                ),
                session.post(url, headers=headers) as response,
            ):
                one.status = response.status
                async for piece in response.content.iter_any():
                    one.body += piece
                one.complete = True
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        one.ended = time.monotonic()


def strip_marks(body: bytes) -> bytes:
    """Return the events of a stream without the versions that wrote them."""
    return _EVENT.sub(rb"id: \1\ndata: t\2\n\n", body)


def find_joined(streams: Iterable[Stream]) -> list[str]:
    """Return a description of each stream whose events do not fit together."""
    violations = []
    for stream in streams:
        events, tries = stream.events, stream.tries
        whole = tries[-1].complete and tries[-1].status == 200
        expected = list(range(1, (STREAM_EVENTS if whole else len(events)) + 1))
        if len(stream.versions) > 1:
            violations.append(f"{stream.path}: ORDER written by {stream.versions}")
        elif events != expected:
            violations.append(f"{stream.path}: ORDER events {events}, whole: {whole}")
    return violations


def find_refused_take_ups(
    streams: Iterable[Stream], counts: Callable[[StreamTry], bool] = lambda one: True
) -> list[str]:
    """Return a description if too few streams go on compared with new ones that begin.

    Tries without an answer and those for which ``counts`` returns false are left out.
    """
    answered = [
        [one for one in stream.tries if one.status and counts(one)]
        for stream in streams
    ]
    new = [[t for t in tries if not t.resumes] for tries in answered]
    again = [[t for t in tries if t.resumes and t.is_served] for tries in answered]
    begun = [_brings_events(tries) for tries in new if tries]
    taken_up = [_brings_events(tries) for tries in again if tries]
    if len(taken_up) < MIN_TAKE_UPS or not begun:
        return []
    share, begun_share = sum(taken_up) / len(taken_up), sum(begun) / len(begun)
    if share >= MIN_SHARE * begun_share:
        return []
    return [
        f"LOST {sum(taken_up)} of {len(taken_up)} streams went on, {sum(begun)} of"
        f" {len(begun)} new ones began"
    ]


def _brings_events(tries: Iterable[StreamTry]) -> bool:
    return any(list_events(one.body) for one in tries)
