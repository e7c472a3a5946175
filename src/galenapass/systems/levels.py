"""Quantise amounts to one byte: exact when small, then eight steps per octave."""

from bisect import bisect_left
from functools import lru_cache

__all__ = ["LEVELS", "find_level"]

STEPS_PER_OCTAVE = 8
EXACT_LEVELS = 16
LEVEL_CACHE_SIZE = 4096
LEVELS = [
    n
    if n < EXACT_LEVELS
    else round(EXACT_LEVELS * 2 ** ((n - EXACT_LEVELS) / STEPS_PER_OCTAVE))
    for n in range(256)
]


@lru_cache(maxsize=LEVEL_CACHE_SIZE)
def find_level(amount: int) -> int:
    """Return the index of the smallest level at or above an amount, or the last."""
    return min(bisect_left(LEVELS, amount), len(LEVELS) - 1)
