"""Keep what is believed to be in the engines' prefix caches.

Own results add the blocks that were just used, so that a daemon that sees no cache
events knows what it sent; events correct it. The least recently used goes first.
"""

from collections.abc import Iterable

from galenapass.tables.requests import Request
from galenapass.tables.targets import Target

__all__ = ["cached_tokens", "fresh_tokens", "apply_cache_events", "note_used"]

BLOCK_TOKENS = 64
MOST_BLOCKS = 512


def note_used(target: Target, blocks: Iterable[int]) -> None:
    """Take note that an engine has just processed or reused some blocks."""
    cached = target.cached_blocks
    for block in blocks:
        cached.pop(block, None)
        cached[block] = None
    while len(cached) > MOST_BLOCKS:
        del cached[next(iter(cached))]


def apply_cache_events(
    target: Target, stored: Iterable[int], evicted: Iterable[int]
) -> None:
    """Take in what an engine says of its cache."""
    note_used(target, stored)
    for block in evicted:
        target.cached_blocks.pop(block, None)


def cached_tokens(target: Target, request: Request) -> int:
    """Return the leading tokens of a prompt that an engine is believed to hold."""
    hits = 0
    for block in request.blocks:
        if block not in target.cached_blocks:
            break
        hits += 1
    if not hits:
        return 0
    # A long prompt may be cut off after its leading blocks.
    return hits * min(BLOCK_TOKENS, request.prompt_tokens // len(request.blocks))


def fresh_tokens(target: Target, request: Request) -> int:
    """Return the tokens of a prompt that an engine still has to process."""
    return request.prompt_tokens - cached_tokens(target, request)
