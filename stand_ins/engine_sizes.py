"""Define the sizes and speeds of an engine."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from galenapass.tables.targets import Role
from stand_ins.engine_text import BLOCK_BYTES, BYTES_PER_TOKEN

__all__ = ["BLOCK_TOKENS", "Sizes", "choose_chunk", "speed_up"]

BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN

PIECES_TOTAL = 2000
PIECE_TOKENS = 16
MAX_RUNNING = 256
MAX_WAITING = 64
BASE_SECONDS = 0.015
SECONDS_PER_SEQUENCE = 0.0001
PREFILL_TOKENS_PER_SECOND = 10_000.0
TOKEN_TARGET_SECONDS = 0.031
LARGE_CHUNK_TOKENS = 2048
SMALL_CHUNK_TOKENS = 16
KV_BYTES_PER_TOKEN = 128 * 1024
TRANSFER_BYTES_PER_SECOND = 2.5e9
CHANGE_SECONDS = 3.0
EXPORT_LIFETIME_SECONDS = 30.0


@dataclass(slots=True, frozen=True)
class Sizes:
    """Sizes and speeds of an engine.

    Memory is in pieces of ``piece_tokens`` tokens. Fields named ``*_seconds`` are
    seconds, ``prefill_rate`` is tokens and ``transfer_rate`` bytes per second.
    ``min_step_seconds`` is the shortest duration of a step. ``change`` is the
    downtime for an order.
    """

    pieces_total: int = PIECES_TOTAL
    piece_tokens: int = PIECE_TOKENS
    max_running: int = MAX_RUNNING
    max_waiting: int = MAX_WAITING
    base_seconds: float = BASE_SECONDS
    sequence_seconds: float = SECONDS_PER_SEQUENCE
    prefill_rate: float = PREFILL_TOKENS_PER_SECOND
    target_seconds: float = TOKEN_TARGET_SECONDS
    min_step_seconds: float = 0.0
    large_chunk_tokens: int = LARGE_CHUNK_TOKENS
    small_chunk_tokens: int = SMALL_CHUNK_TOKENS
    token_bytes: int = KV_BYTES_PER_TOKEN
    transfer_rate: float = TRANSFER_BYTES_PER_SECOND
    change: timedelta = timedelta(seconds=CHANGE_SECONDS)
    export_lifetime: timedelta = timedelta(seconds=EXPORT_LIFETIME_SECONDS)

    @property
    def block_pieces(self) -> int:
        """Return the pieces of one prompt block."""
        return BLOCK_TOKENS // self.piece_tokens

    def count_pieces(self, tokens: int) -> int:
        """Return the pieces needed for some tokens."""
        return -(-tokens // self.piece_tokens)

    def compute_step_seconds(self, prefill_tokens: int, decoding: int) -> float:
        """Return the duration of one step in seconds.

        base + prefill tokens / prefill rate + seconds per sequence * sequences.
        """
        prefill = prefill_tokens / self.prefill_rate
        decode = self.sequence_seconds * decoding
        return max(self.min_step_seconds, self.base_seconds + prefill + decode)

    def compute_chunk_limit(self, decoding: int) -> int:
        """Return the prefill tokens that keep a step within the token target."""
        spare = self.target_seconds - self.base_seconds
        spare -= self.sequence_seconds * decoding
        return max(self.small_chunk_tokens, int(spare * self.prefill_rate))

    def compute_transfer_time(self, tokens: int) -> timedelta:
        """Return the time to transfer the KV cache of some tokens."""
        return timedelta(seconds=tokens * self.token_bytes / self.transfer_rate)


def speed_up(sizes: Sizes, factor: float) -> Sizes:
    """Return sizes of an engine whose steps take 1/factor of the time."""
    return replace(
        sizes,
        base_seconds=sizes.base_seconds / factor,
        sequence_seconds=sizes.sequence_seconds / factor,
        target_seconds=sizes.target_seconds / factor,
        min_step_seconds=sizes.min_step_seconds / factor,
        prefill_rate=sizes.prefill_rate * factor,
        transfer_rate=sizes.transfer_rate * factor,
    )


def choose_chunk(role: Role, sizes: Sizes, decoding: int) -> int:
    """Return the limit of prefill tokens in a step with some decoding sequences."""
    return _CHUNK_CHOICES[role](sizes, decoding)


def _choose_large_chunk(sizes: Sizes, decoding: int) -> int:
    return sizes.large_chunk_tokens


def _choose_mixed_chunk(sizes: Sizes, decoding: int) -> int:
    if not decoding:
        return sizes.large_chunk_tokens
    return _choose_small_chunk(sizes, decoding)


def _choose_small_chunk(sizes: Sizes, decoding: int) -> int:
    return min(sizes.large_chunk_tokens, sizes.compute_chunk_limit(decoding))


_CHUNK_CHOICES: dict[Role, Callable[[Sizes, int], int]] = {
    Role.PREFILL: _choose_large_chunk,
    Role.MIXED: _choose_mixed_chunk,
    Role.DECODE: _choose_small_chunk,
}
