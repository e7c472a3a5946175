"""Read what a process has used of the processor and of memory."""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Usage", "read_usage"]

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat after the command, which may hold spaces.
USER_TICKS = 11
SYSTEM_TICKS = 12
RESIDENT_PAGES = 21


@dataclass(slots=True, frozen=True)
class Usage:
    """Hold one reading; ``resident`` is in bytes."""

    processor_seconds: float
    resident: int


def read_usage(pid: int) -> Usage:
    """Return what a process has used so far."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    return Usage(ticks / TICKS, int(fields[RESIDENT_PAGES]) * PAGE_BYTES)
