"""Synchronise settings between daemons; a daemon only moves to a higher version.

Heartbeats and batches carry the version. A partner whose version is one of the
sender's recent ones is sent the changed lines. A partner further behind requests the
whole text, from one partner at a time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from xxhash import xxh64_intdigest

from galenapass.tables.peer_messages import Settings

__all__ = [
    "Patch",
    "SettingsReplica",
    "apply_patch",
    "apply_settings",
    "choose_source",
    "make_settings_reply",
]

REQUEST_TIMEOUT = timedelta(seconds=2)
MAX_PREVIOUS_VERSIONS = 3

Check = Callable[[str], bool]


@dataclass(slots=True, frozen=True)
class Patch:
    """Difference between two versions: the lines between a common head and tail.

    ``head`` and ``tail`` count the unchanged lines of version ``base``; ``checksum``
    is that of the resulting text.
    """

    version: int
    base: int
    head: int
    tail: int
    text: str
    checksum: int


@dataclass(slots=True)
class SettingsReplica:
    """Versions that this daemon has, and its pending request for a newer one.

    ``requested_from`` is the link over which the request was sent, ``requested_at``
    the monotonic time when it was sent. ``rejected_version`` is the last version that
    failed the check.
    """

    current: Settings = field(default_factory=lambda: Settings(0, ""))
    previous: list[Settings] = field(default_factory=list)
    rejected_version: int = 0
    requested_from: str | None = None
    requested_at: timedelta | None = None


def apply_settings(replica: SettingsReplica, settings: Settings, check: Check) -> bool:
    """Apply a higher version that passes the check; return whether it was applied."""
    if settings.version <= replica.current.version:
        return False
    if not check(settings.text):
        replica.rejected_version = settings.version
        return False
    replica.previous = [replica.current, *replica.previous][:MAX_PREVIOUS_VERSIONS]
    replica.current = settings
    replica.requested_from = replica.requested_at = None
    return True


def choose_source(
    replica: SettingsReplica, versions: dict[str, int], now: timedelta
) -> str | None:
    """Return the link of the partner to request the text from, or None.

    ``versions`` maps the partners' links to their versions.
    """
    if replica.requested_from in versions and replica.requested_at is not None:
        if now - replica.requested_at < REQUEST_TIMEOUT:
            return None
    newer = {
        link: version
        for link, version in versions.items()
        if version > replica.current.version and version != replica.rejected_version
    }
    if not newer:
        return None
    others = {
        link: v for link, v in newer.items() if link != replica.requested_from
    } or newer
    replica.requested_from = max(others, key=lambda link: (others[link], link))
    replica.requested_at = now
    return replica.requested_from


def make_settings_reply(
    replica: SettingsReplica, version: int, requested: bool
) -> Settings | Patch | None:
    """Return a patch for a partner at a version, or the whole text if requested."""
    if version >= replica.current.version:
        return None
    for base in replica.previous:
        if base.version == version and version > 0:
            return _make_patch(base, replica.current)
    return replica.current if requested else None


def apply_patch(replica: SettingsReplica, patch: Patch) -> Settings | None:
    """Return the version built from a patch, or None if the patch does not apply."""
    known = [replica.current, *replica.previous]
    base = next((s for s in known if s.version == patch.base), None)
    if base is None:
        return None
    lines = base.text.splitlines(keepends=True)
    tail = lines[len(lines) - patch.tail :] if patch.tail else []
    text = "".join([*lines[: patch.head], patch.text, *tail])
    if xxh64_intdigest(text.encode()) != patch.checksum:
        return None
    return Settings(patch.version, text)


def _make_patch(base: Settings, settings: Settings) -> Patch:
    old = base.text.splitlines(keepends=True)
    new = settings.text.splitlines(keepends=True)
    shorter = min(len(old), len(new))
    head = _count_equal(old, new, shorter)
    tail = _count_equal(old[::-1], new[::-1], shorter - head)
    text = "".join(new[head : len(new) - tail])
    checksum = xxh64_intdigest(settings.text.encode())
    return Patch(settings.version, base.version, head, tail, text, checksum)


def _count_equal(first: list[str], second: list[str], limit: int) -> int:
    for index in range(limit):
        if first[index] != second[index]:
            return index
    return limit
