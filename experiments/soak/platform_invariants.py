"""Check the answers of the platform path against what its runners recorded."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from experiments.soak.invariants import ROUTES
from experiments.soak.platform_answers import Answer
from stand_ins.runner import ATTEMPT, SIGNATURE

__all__ = ["Run", "Violation", "find_violations", "read_runs"]

# Statuses which promise that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})
SHOWN_BYTES = 60


@dataclass(slots=True, frozen=True)
class Run:
    """Run of an attempt, as its runner recorded it.

    ``pieces`` are the events after ``last_event``, or the one body of a plain answer;
    ``sent`` of them were sent. ``source`` is the address and handle of its KV cache.
    """

    name: str
    attempt: str
    method: str
    path: str
    source: str | None
    last_event: int
    pieces: list[bytes]
    sent: list[int] = field(default_factory=list)

    @property
    def runner(self) -> str:
        """Return the id of the runner."""
        return self.name.partition(".")[0]

    def get_event(self, number: int) -> bytes | None:
        """Return an event by its number, None if the run does not make it."""
        index = number - self.last_event - 1
        return self.pieces[index] if 0 <= index < len(self.pieces) else None


@dataclass(slots=True, frozen=True)
class Violation:
    """Violation of an invariant, with the runner that is concerned or empty."""

    attempt: str
    runner: str
    kind: str
    detail: str

    def __str__(self) -> str:
        return f"{self.attempt} at {self.runner or 'no runner'}: {self.kind}: " + (
            self.detail
        )


def read_runs(folder: Path) -> list[Run]:
    """Return the runs that the runners recorded in a folder."""
    runs: dict[str, Run] = {}
    for path in sorted(folder.glob("*.record")):
        for line in path.open("rb"):
            record = orjson.loads(line)
            if record["kind"] == "run":
                runs[record["run"]] = Run(
                    record["run"],
                    record["attempt"],
                    record["method"],
                    record["path"],
                    record["source"],
                    record["last_event"],
                    [piece.encode() for piece in record["pieces"]],
                )
            elif record["kind"] == "sent":
                runs[record["run"]].sent.append(record["piece"])
    return list(runs.values())


def find_violations(
    answers: Iterable[Answer], runs: Iterable[Run]
) -> Iterable[Violation]:
    """Yield each violated invariant of the answers and runs."""
    runs_by_attempt: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_attempt[run.attempt].append(run)
    answers_by_attempt = {answer.attempt: answer for answer in answers}
    for attempt, own_runs in runs_by_attempt.items():
        answer = answers_by_attempt.get(attempt)
        for run in own_runs:
            yield from _check_run(run, answer)
    for attempt, answer in answers_by_attempt.items():
        yield from _check_answer(answer, runs_by_attempt[attempt])


def _check_run(run: Run, answer: Answer | None) -> Iterable[Violation]:
    if answer is None:
        yield Violation(run.attempt, run.runner, "run of no request", run.path)
    elif (run.method, run.path) != (ROUTES[answer.route].method, answer.path):
        yield Violation(run.attempt, run.runner, "run of another path", run.path)
    if run.source is not None and not run.source.endswith(f"-{run.attempt}"):
        kind = "handle of another request"
        yield Violation(run.attempt, run.runner, kind, run.source)


def _check_answer(answer: Answer, runs: Sequence[Run]) -> Iterable[Violation]:
    route = ROUTES[answer.route]
    runners = ",".join(run.runner for run in runs)
    signature = answer.headers.get(SIGNATURE.lower())
    named_attempt = answer.headers.get(ATTEMPT.lower(), answer.attempt)

    def report(kind: str, detail: str = "") -> Violation:
        return Violation(answer.attempt, runners, kind, f"{answer.route} {detail}")

    if route.max_runs == 1 and len(runs) > 1:
        yield report("more than one run", f"{len(runs)} runs")
    if route.max_runs == 1 and answer.status in PROMISES and runs:
        yield report("refused though run", f"status {answer.status}")
    if answer.is_malformed:
        yield report("malformed answer", f"status {answer.status}")
    if not 200 <= answer.status < 300:
        if signature is not None:
            yield report("signed failure", f"status {answer.status}")
        return
    if named_attempt != answer.attempt:
        yield report("another attempt's id", named_attempt)
    check = _check_stream if route.streams else _check_body
    failure, signers = check(answer, runs)
    if failure is not None:
        yield report(*failure)
    if signature not in [f"signed-by-{run.name}" for run in signers]:
        yield report("signature of no such run", signature or "none")


def _check_body(
    answer: Answer, runs: Sequence[Run]
) -> tuple[tuple[str, str] | None, list[Run]]:
    """Return what is wrong with a plain body, if anything, and who may have signed."""
    signers = [run for run in runs if run.pieces[0].startswith(answer.body)]
    if not signers:
        return ("foreign bytes", _show_end(answer, runs)), list(runs)
    if answer.end is None or any(answer.body == run.pieces[0] for run in signers):
        return None, signers
    return _describe_cut(answer, f"{len(answer.body)} bytes"), signers


def _check_stream(
    answer: Answer, runs: Sequence[Run]
) -> tuple[tuple[str, str] | None, list[Run]]:
    """Return what is wrong with a stream, if anything, and who may have signed."""
    left, rest, number = list(runs), answer.body, 1
    writers: list[Run] = []
    while rest:
        # The run that wrote the event before may go on; those before it may not.
        usable = [run for run in writers[-1:] + left if run.get_event(number)]
        run = next(
            (r for r in usable if rest.startswith(r.get_event(number) or b"")), None
        )
        if run is None:
            break
        if run in left:
            left.remove(run)
            writers.append(run)
        rest = rest.removeprefix(run.get_event(number) or b"")
        number += 1
    signers = writers[:1] or list(runs)
    ahead = [run.get_event(number) or b"" for run in writers[-1:] + left]
    if rest and not any(event.startswith(rest) for event in ahead):
        return ("foreign bytes", f"after event {number - 1}: {rest[:SHOWN_BYTES]!r}"), (
            signers
        )
    is_last = bool(runs) and not rest and number > max(_find_last(run) for run in runs)
    if answer.end is None or is_last:
        return None, signers
    sent = sum(len(run.sent) for run in writers)
    return _describe_cut(answer, f"event {number - 1} ({sent} sent)"), signers


def _find_last(run: Run) -> int:
    return run.last_event + len(run.pieces)


def _describe_cut(answer: Answer, place: str) -> tuple[str, str]:
    assert answer.end is not None
    kind = f"cut answer ends as complete by {answer.end.value}"
    return kind, f"after {place} at {answer.daemon}, {answer.ended:.2f} s"


def _show_end(answer: Answer, runs: Sequence[Run]) -> str:
    """Return the bytes from the first that no run made."""
    shared = 0
    for run in runs:
        pairs = zip(run.pieces[0], answer.body, strict=False)
        equal = next((n for n, (a, b) in enumerate(pairs) if a != b), None)
        length = min(len(run.pieces[0]), len(answer.body))
        shared = max(shared, length if equal is None else equal)
    return f"after byte {shared}: {answer.body[shared : shared + SHOWN_BYTES]!r}"
