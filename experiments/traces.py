"""Make the two users' request traces from a seed."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from galenapass.tables.requests import Urgency

__all__ = ["TRACES", "Arrival", "make_khom_sabai", "make_tena"]

BLOCK_TOKENS = 64


@dataclass(slots=True, frozen=True)
class Arrival:
    """Hold one request as it arrives; times are seconds, sizes are tokens.

    The first ``shared`` blocks are also those of other requests.
    """

    at: float
    kind: str
    urgency: Urgency
    patience: float
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    shared: int


@dataclass(slots=True, frozen=True)
class _Form:
    """Hold the mean sizes of one kind of request in tokens."""

    kind: str
    urgency: Urgency
    patience: tuple[float, float]
    prefixes: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int


def make_tena(seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return guides, agents and clerks, whose reports turn from long to terse."""
    guide = _Form("guide", Urgency.URGENT, (6.0, 10.0), 24, 1536, 200, 110)
    agent = _Form("agent", Urgency.NORMAL, (20.0, 40.0), 6, 512, 300, 90)
    reader = _Form("clerk", Urgency.BULK, (90.0, 240.0), 3, 256, 4800, 60)
    writer = _Form("clerk", Urgency.BULK, (90.0, 240.0), 3, 256, 700, 500)
    random = Random(f"tena {seed}")
    rates: list[tuple[_Form, Callable[[float], float]]] = [
        (guide, lambda at: 22.0 * (1.0 + 0.4 * math.sin(at / 40.0))),
        (agent, lambda at: 8.0),
        (reader, lambda at: 10.0 * _swing(at, 240.0)),
        (writer, lambda at: 10.0 * (1.0 - _swing(at, 240.0))),
    ]
    return _make(random, rates, load, seconds)


def make_khom_sabai(seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return counter questions, long histories and long drafts in turn."""
    counter = _Form("counter", Urgency.URGENT, (6.0, 10.0), 40, 768, 150, 80)
    history = _Form("history", Urgency.NORMAL, (30.0, 60.0), 120, 1024, 4500, 80)
    draft = _Form("draft", Urgency.BULK, (120.0, 300.0), 120, 512, 400, 700)
    random = Random(f"khom sabai {seed}")
    rates: list[tuple[_Form, Callable[[float], float]]] = [
        (counter, lambda at: 10.0),
        (history, lambda at: 11.0 * _swing(at, 300.0)),
        (draft, lambda at: 7.0 * (1.0 - _swing(at, 300.0))),
    ]
    return _make(random, rates, load, seconds)


TRACES = {"tena": make_tena, "khom sabai": make_khom_sabai}


def _swing(at: float, period: float) -> float:
    """Return a share that moves between 0.15 and 0.85 within a sixth of a period."""
    wave = math.sin(2.0 * math.pi * at / period)
    return 0.5 + 0.35 * max(-1.0, min(1.0, 2.0 * wave))


def _make(
    random: Random,
    rates: list[tuple[_Form, Callable[[float], float]]],
    load: float,
    seconds: float,
) -> list[Arrival]:
    arrivals = [
        arrival
        for form, rate in rates
        for arrival in _arrive(random, form, rate, load, seconds)
    ]
    return sorted(arrivals, key=lambda a: (a.at, a.kind))


def _arrive(
    random: Random,
    form: _Form,
    rate: Callable[[float], float],
    load: float,
    seconds: float,
) -> list[Arrival]:
    """Return arrivals of a Poisson process whose rate changes, by thinning."""
    most = max(rate(float(at)) for at in range(int(seconds) + 1)) * load * 1.2
    found = []
    at = random.expovariate(most)
    while at < seconds:
        if random.random() < rate(at) * load / most:
            found.append(_draw(random, form, at))
        at += random.expovariate(most)
    return found


def _draw(random: Random, form: _Form, at: float) -> Arrival:
    shared = form.shared_tokens // BLOCK_TOKENS
    own_tokens = _vary(random, form.own_tokens)
    prompt = shared * BLOCK_TOKENS + own_tokens
    prefix = f"{form.kind} {random.randrange(form.prefixes)}"
    common = tuple(hash_block(prefix, n) for n in range(shared))
    rest = own_tokens // BLOCK_TOKENS
    mark = random.getrandbits(40)
    own = tuple(hash_block(f"own {mark}", n) for n in range(rest))
    return Arrival(
        at,
        form.kind,
        form.urgency,
        random.uniform(*form.patience),
        prompt,
        _vary(random, form.output_tokens),
        common + own,
        shared,
    )


def hash_block(name: str, number: int) -> int:
    """Return a block's hash, the same in each run."""
    return Random(f"{name} {number}").getrandbits(62)


def _vary(random: Random, mean: int) -> int:
    return max(8, int(mean * random.uniform(0.6, 1.4)))
