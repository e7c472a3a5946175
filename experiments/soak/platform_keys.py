"""Give the clients of the platform soak keys, and check where these end up."""

from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import Any

import orjson

from experiments.soak.platform_answers import Answer
from experiments.soak.platform_invariants import Violation

__all__ = ["ORGANISATIONS", "draw_key", "find_key_violations"]

ORGANISATIONS = {"org-a": ["ka-1111", "ka-2222"], "org-b": ["kb-1111", "kb-2222"]}
# No version of the configuration holds it.
FOREIGN_KEY = "kx-9999"
FOREIGN_SHARE = 0.1

_NAMES = {key: name for name, keys in ORGANISATIONS.items() for key in keys}


def draw_key(random: Random) -> str:
    """Return the key of one request."""
    return FOREIGN_KEY if random.random() < FOREIGN_SHARE else random.choice([*_NAMES])


def find_key_violations(answers: Iterable[Answer], folder: Path) -> Iterable[Violation]:
    """Yield what shows a key, or a caller that is taken for another one.

    The folder holds the logs of all processes and the records of the runners.
    """
    keys = {}
    for answer in answers:
        keys[answer.attempt] = answer.key
        if answer.key in _NAMES and answer.status == 401:
            yield Violation(answer.attempt, "", "known key is refused", answer.daemon)
        if answer.key not in _NAMES and answer.status not in (0, 401, 503):
            detail = f"status {answer.status} at {answer.daemon}"
            yield Violation(answer.attempt, "", "unknown key is served", detail)
    for path in folder.glob("*.record"):
        for line in path.open("rb"):
            yield from _check_record(orjson.loads(line), keys, path.stem)
    for path in folder.glob("*.log"):
        text = path.read_bytes()
        if any(key.encode() in text for key in (FOREIGN_KEY, *_NAMES)):
            yield Violation("", "", "key in a log", path.stem)


def _check_record(
    record: dict[str, Any], keys: dict[str, str], runner: str
) -> Iterable[Violation]:
    if "attempt" not in record:
        return
    attempt = record["attempt"]
    if record["authorization"]:
        yield Violation(attempt, runner, "key at a target", record["kind"])
    expected = _NAMES.get(keys.get(attempt, ""))
    if record["organisation"] != [expected]:
        detail = f"{record['organisation']}, not {expected}"
        yield Violation(attempt, runner, "another organisation", detail)
