"""Track which prompt blocks the engines' prefix caches contain.

This daemon's own requests add the blocks that they used, so that a daemon without
cache events still accounts for its own prompts; cache events correct the record. The
least recently used block is dropped first.
"""

from collections.abc import Iterable

from galenapass.tables.requests import Request
from galenapass.tables.targets import Target

__all__ = [
    "apply_cache_events",
    "cached_tokens",
    "record_used_blocks",
    "uncached_tokens",
]

BLOCK_TOKENS = 64
MAX_BLOCKS = 512  # recorded for each engine


def record_used_blocks(target: Target, blocks: Iterable[int]) -> None:
    """Record that an engine has just processed or reused some blocks."""
    cached = target.cached_blocks
    for block in blocks:
        cached.pop(block, None)
        cached[block] = None
    while len(cached) > MAX_BLOCKS:
        del cached[next(iter(cached))]


def apply_cache_events(
    target: Target, stored: Iterable[int], evicted: Iterable[int]
) -> None:
    """Apply the stored and evicted blocks that an engine reported."""
    record_used_blocks(target, stored)
    for block in evicted:
        target.cached_blocks.pop(block, None)


def cached_tokens(target: Target, request: Request) -> int:
    """Return the number of leading prompt tokens recorded as cached at an engine."""
    hits = 0
    for block in request.blocks:
        if block not in target.cached_blocks:
            break
        hits += 1
    if not hits:
        return 0
    # ``blocks`` covers only the beginning of a long prompt, hence the upper bound.
    return hits * min(BLOCK_TOKENS, request.prompt_tokens // len(request.blocks))


def uncached_tokens(target: Target, request: Request) -> int:
    """Return the number of prompt tokens that an engine still has to prefill."""
    return request.prompt_tokens - cached_tokens(target, request)
