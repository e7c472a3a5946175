"""Expect how long an answer takes, from the answers of similar size before it."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.output_pace import OutputPace
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.slot_requests import Stage

__all__ = ["AnswerTimes", "ExpectedTime"]

# Last answers kept for each service and stage. Sizes are upper bounds, and few answers
# come near them.
MAX_SAMPLES = 256
# Answers whose sizes differ by no more than this factor are compared.
SIMILAR_FACTOR = 1.5
# Answers used if none is similar in size.
NEAREST_SAMPLES = 8
# The longest of n answers is expected to be exceeded by this over n.
UNSEEN_SAMPLES = 8.0


@dataclass(slots=True, frozen=True)
class ExpectedTime:
    """Time that half of the answers take at most, and one that hardly any exceeds.

    ``limit`` is the time of the largest answer that the request allows, whatever the
    answers before it were; None if only its deadline bounds it.
    """

    median: timedelta
    longest: timedelta
    limit: timedelta | None = None

    def __add__(self, other: "ExpectedTime") -> "ExpectedTime":
        limit = None
        if self.limit is not None and other.limit is not None:
            limit = self.limit + other.limit
        return ExpectedTime(
            self.median + other.median, self.longest + other.longest, limit
        )


@dataclass(slots=True, frozen=True)
class _Sample:
    """One answer; ``pace`` is the time of one of its ``events``, None if unknown."""

    size: int
    took: timedelta
    events: int = 0
    pace: timedelta | None = None


class AnswerTimes:
    """Durations of each stage of requests, by service and size.

    The size is the number of prompt or output tokens of the stage, 1 for plain calls.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: dict[tuple[str, Stage], deque[_Sample]] = {}

    def record(
        self,
        request: ForwardedRequest,
        stage: Stage,
        took: timedelta,
        pace: OutputPace | None = None,
    ) -> None:
        """Record how long a stage of a request took, and the pace of its output."""
        key = (request.service, stage)
        samples = self._samples.setdefault(key, deque(maxlen=MAX_SAMPLES))
        events, event_time = (0, None) if pace is None else (pace.events, pace.find())
        size = _measure_size(request, stage)
        samples.append(_Sample(size, took, events, event_time))

    def expect(self, request: ForwardedRequest, stage: Stage) -> ExpectedTime | None:
        """Return how long a request takes from a stage to its end, None if unknown.

        The time that it waits for a slot is not included.
        """
        expected = self._expect_stage(request, stage)
        if expected is None or stage is not Stage.PREFILL:
            return expected
        output = self._expect_stage(request, Stage.DECODE)
        return None if output is None else expected + output

    def _expect_stage(
        self, request: ForwardedRequest, stage: Stage
    ) -> ExpectedTime | None:
        samples = self._samples.get((request.service, stage))
        if not samples:
            return None
        size = _measure_size(request, stage)
        similar = _choose_similar(samples, size)
        durations = sorted(
            sample.took * max(size / sample.size, 1.0) for sample in similar
        )
        count = len(durations)
        unseen = 1 + UNSEEN_SAMPLES / count
        longest = durations[-1] * unseen
        limits = {
            # A prompt is read whole, so the answers before show what is possible.
            Stage.PREFILL: lambda: longest,
            Stage.DECODE: lambda: _find_limit(samples, similar, size, unseen),
            Stage.CALL: lambda: None,
        }
        return ExpectedTime(durations[count // 2], longest, limits[stage]())


def _find_limit(
    samples: Iterable[_Sample], similar: Sequence[_Sample], size: int, unseen: float
) -> timedelta | None:
    """Return how long an output of ``size`` tokens takes at the slowest pace seen.

    An event holds one token or more. None if no pace is known.
    """
    paces = [sample.pace for sample in samples if sample.pace is not None]
    if not paces:
        return None
    slowest = max(paces)
    return unseen * max(
        sample.took + slowest * max(size - sample.events, 0) for sample in similar
    )


def _choose_similar(samples: Iterable[_Sample], size: int) -> list[_Sample]:
    """Return the samples of similar size, or the nearest ones if there are none."""
    distances = sorted(
        ((abs(math.log(sample.size / size)), sample) for sample in samples),
        key=lambda pair: pair[0],
    )
    similar = [s for distance, s in distances if distance <= math.log(SIMILAR_FACTOR)]
    return similar or [sample for _, sample in distances[:NEAREST_SAMPLES]]


def _measure_size(request: ForwardedRequest, stage: Stage) -> int:
    if stage is Stage.CALL or request.prompt is None:
        return 1
    prompt = request.prompt
    return max(prompt.tokens if stage is Stage.PREFILL else prompt.output_tokens, 1)
