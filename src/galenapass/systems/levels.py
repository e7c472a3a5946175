"""Quantise amounts to one byte: exact when small, eight steps an octave above."""

from bisect import bisect_left
from functools import lru_cache

__all__ = ["LEVELS", "find_level"]

STEPS_AN_OCTAVE = 8
EXACT_LEVELS = 16
CACHED_AMOUNTS = 4096
LEVELS = [
    n
    if n < EXACT_LEVELS
    else round(EXACT_LEVELS * 2 ** ((n - EXACT_LEVELS) / STEPS_AN_OCTAVE))
    for n in range(256)
]


@lru_cache(maxsize=CACHED_AMOUNTS)
def find_level(amount: int) -> int:
    """Return the smallest level that is not below an amount."""
    return min(bisect_left(LEVELS, amount), len(LEVELS) - 1)
