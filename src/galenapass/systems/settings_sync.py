"""Spread settings: a daemon only ever moves to a higher version.

Heartbeats and batches carry the version. A partner that is one change behind is sent
the changed lines; any other asks one partner at a time for the whole text.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from xxhash import xxh64_intdigest

from galenapass.tables.peer_messages import Settings

__all__ = [
    "Patch",
    "SettingsReplica",
    "apply_settings",
    "make_settings_reply",
    "apply_patch",
    "choose_source",
]

ASK_AGAIN_AFTER = timedelta(seconds=2)
KEPT_VERSIONS = 3

Check = Callable[[str], bool]


@dataclass(slots=True, frozen=True)
class Patch:
    """Hold the lines that one version puts between the kept ends of another."""

    version: int
    base: int
    head: int
    tail: int
    text: str
    checksum: int


@dataclass(slots=True)
class SettingsReplica:
    """Hold the versions that this daemon has and whom it asked for a newer one."""

    current: Settings = field(default_factory=lambda: Settings(0, ""))
    earlier: list[Settings] = field(default_factory=list)
    refused: int = 0
    asked: str | None = None
    asked_at: timedelta | None = None


def apply_settings(replica: SettingsReplica, settings: Settings, check: Check) -> bool:
    """Move to a higher version that passes the check; return whether it moved."""
    if settings.version <= replica.current.version:
        return False
    if not check(settings.text):
        replica.refused = settings.version
        return False
    replica.earlier = [replica.current, *replica.earlier][:KEPT_VERSIONS]
    replica.current = settings
    replica.asked = replica.asked_at = None
    return True


def choose_source(
    replica: SettingsReplica, versions: dict[str, int], now: timedelta
) -> str | None:
    """Choose the partner to ask for its text, or None while none is to be asked.

    ``versions`` are those of the partners by link.
    """
    if replica.asked in versions and replica.asked_at is not None:
        if now - replica.asked_at < ASK_AGAIN_AFTER:
            return None
    wanted = {
        link: version
        for link, version in versions.items()
        if version > replica.current.version and version != replica.refused
    }
    if not wanted:
        return None
    others = {link: v for link, v in wanted.items() if link != replica.asked} or wanted
    replica.asked = max(others, key=lambda link: (others[link], link))
    replica.asked_at = now
    return replica.asked


def make_settings_reply(
    replica: SettingsReplica, version: int, wanted: bool
) -> Settings | Patch | None:
    """Return what a partner at a version is sent: a patch, the text if it asked."""
    if version >= replica.current.version:
        return None
    for base in replica.earlier:
        if base.version == version and version > 0:
            return _make_patch(base, replica.current)
    return replica.current if wanted else None


def apply_patch(replica: SettingsReplica, patch: Patch) -> Settings | None:
    """Rebuild a version from a patch, or None when it does not fit."""
    known = [replica.current, *replica.earlier]
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
