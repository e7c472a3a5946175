"""Read the processor time and memory usage of a process."""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Usage", "read_usage"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Indices of the fields of /proc/PID/stat after the command, which may have spaces.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
RESIDENT_PAGES_FIELD = 21


@dataclass(slots=True, frozen=True)
class Usage:
    """Resource usage of a process; ``resident`` is the resident memory in bytes."""

    processor_seconds: float
    resident: int


def read_usage(pid: int) -> Usage:
    """Return the processor time and resident memory of a process."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return Usage(
        ticks / TICKS_PER_SECOND, int(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
    )
