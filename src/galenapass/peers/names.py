"""Bound how many names a link gives an index to."""

__all__ = ["MAX_NAMES", "check_names"]

MAX_NAMES = 20_000


def check_names(count: int) -> None:
    """Refuse to grow without bound; a new link starts with none."""
    if count > MAX_NAMES:
        raise ValueError(f"more than {MAX_NAMES} names on a link: {count}")
