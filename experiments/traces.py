"""Generate the request traces of the two users from a seed."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from galenapass.tables.requests import Urgency

__all__ = ["TRACES", "Arrival", "make_khom_sabai", "make_tena"]

BLOCK_TOKENS = 64


@dataclass(slots=True, frozen=True)
class Arrival:
    """Arrival of one request; times in seconds, sizes in tokens.

    The first ``shared`` of the ``blocks`` also occur in other requests.
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
class _RequestClass:
    """Class of requests; mean sizes in tokens, bounds of patience in seconds."""

    kind: str
    urgency: Urgency
    patience: tuple[float, float]
    prefixes: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int


def make_tena(seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return requests of guides, agents and clerks.

    The clerks alternate between long prompts and long outputs.
    """
    guide = _RequestClass("guide", Urgency.URGENT, (6.0, 10.0), 24, 1536, 200, 110)
    agent = _RequestClass("agent", Urgency.NORMAL, (20.0, 40.0), 6, 512, 300, 90)
    summary = _RequestClass("clerk", Urgency.BULK, (90.0, 240.0), 3, 256, 4800, 60)
    report = _RequestClass("clerk", Urgency.BULK, (90.0, 240.0), 3, 256, 700, 500)
    random = Random(f"tena {seed}")
    rates: list[tuple[_RequestClass, Callable[[float], float]]] = [
        (guide, lambda at: 22.0 * (1.0 + 0.4 * math.sin(at / 40.0))),
        (agent, lambda at: 8.0),
        (summary, lambda at: 10.0 * _oscillate(at, 240.0)),
        (report, lambda at: 10.0 * (1.0 - _oscillate(at, 240.0))),
    ]
    return _generate_trace(random, rates, load, seconds)


def make_khom_sabai(seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return counter questions, and long histories that alternate with long drafts."""
    counter = _RequestClass("counter", Urgency.URGENT, (6.0, 10.0), 40, 768, 150, 80)
    history = _RequestClass(
        "history", Urgency.NORMAL, (30.0, 60.0), 120, 1024, 4500, 80
    )
    draft = _RequestClass("draft", Urgency.BULK, (120.0, 300.0), 120, 512, 400, 700)
    random = Random(f"khom sabai {seed}")
    rates: list[tuple[_RequestClass, Callable[[float], float]]] = [
        (counter, lambda at: 10.0),
        (history, lambda at: 11.0 * _oscillate(at, 300.0)),
        (draft, lambda at: 7.0 * (1.0 - _oscillate(at, 300.0))),
    ]
    return _generate_trace(random, rates, load, seconds)


TRACES = {"tena": make_tena, "khom sabai": make_khom_sabai}


def _oscillate(at: float, period: float) -> float:
    """Return a share that changes between 0.15 and 0.85 in a sixth of a period."""
    wave = math.sin(2.0 * math.pi * at / period)
    return 0.5 + 0.35 * max(-1.0, min(1.0, 2.0 * wave))


def _generate_trace(
    random: Random,
    rates: list[tuple[_RequestClass, Callable[[float], float]]],
    load: float,
    seconds: float,
) -> list[Arrival]:
    arrivals = [
        arrival
        for request_class, rate in rates
        for arrival in _generate_arrivals(random, request_class, rate, load, seconds)
    ]
    return sorted(arrivals, key=lambda a: (a.at, a.kind))


def _generate_arrivals(
    random: Random,
    request_class: _RequestClass,
    rate: Callable[[float], float],
    load: float,
    seconds: float,
) -> list[Arrival]:
    """Return arrivals of a Poisson process with a varying rate, by thinning."""
    peak_rate = max(rate(float(at)) for at in range(int(seconds) + 1)) * load * 1.2
    arrivals = []
    at = random.expovariate(peak_rate)
    while at < seconds:
        if random.random() < rate(at) * load / peak_rate:
            arrivals.append(_draw_arrival(random, request_class, at))
        at += random.expovariate(peak_rate)
    return arrivals


def _draw_arrival(random: Random, request_class: _RequestClass, at: float) -> Arrival:
    shared = request_class.shared_tokens // BLOCK_TOKENS
    own_tokens = _vary(random, request_class.own_tokens)
    prompt = shared * BLOCK_TOKENS + own_tokens
    prefix = f"{request_class.kind} {random.randrange(request_class.prefixes)}"
    shared_blocks = tuple(hash_block(prefix, n) for n in range(shared))
    own_block_count = own_tokens // BLOCK_TOKENS
    own_id = random.getrandbits(40)
    own_blocks = tuple(hash_block(f"own {own_id}", n) for n in range(own_block_count))
    return Arrival(
        at,
        request_class.kind,
        request_class.urgency,
        random.uniform(*request_class.patience),
        prompt,
        _vary(random, request_class.output_tokens),
        shared_blocks + own_blocks,
        shared,
    )


def hash_block(name: str, number: int) -> int:
    """Return a block's hash, which is the same in every run."""
    return Random(f"{name} {number}").getrandbits(62)


def _vary(random: Random, mean: int) -> int:
    return max(8, int(mean * random.uniform(0.6, 1.4)))
