"""Hold what both ends of a link agree on: the bound of names, the unit of rates."""

__all__ = ["MAX_NAMES", "THOUSANDTHS", "check_names"]

MAX_NAMES = 20_000
THOUSANDTHS = 1000


def check_names(count: int) -> None:
    """Refuse to grow without bound; a new link starts with none."""
    if count > MAX_NAMES:
        raise ValueError(f"more than {MAX_NAMES} names on a link: {count}")
