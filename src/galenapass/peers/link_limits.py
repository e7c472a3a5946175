"""Define the limits and units that both ends of a link share."""

__all__ = ["MAX_NAMES", "THOUSANDTHS", "check_name_count"]

MAX_NAMES = 20_000
THOUSANDTHS = 1000  # rates and demands are sent in thousandths


def check_name_count(count: int) -> None:
    """Raise ValueError above MAX_NAMES; a new link starts with an empty index."""
    if count > MAX_NAMES:
        raise ValueError(f"more than {MAX_NAMES} names on a link: {count}")
