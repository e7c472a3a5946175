"""Find the organisation that a key belongs to.

Keys are known by their digests only, so that none is kept, logged or passed on, and a
lookup takes no time that depends on the key.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = [
    "Identities",
    "Organisation",
    "digest_authorization",
    "digest_key",
    "find_organisation",
]


@dataclass(slots=True, frozen=True)
class Organisation:
    """Organisation that calls; ``priority`` 0 is the most urgent, None if unset."""

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class Identities:
    """Organisations of one configuration by the digests of their keys."""

    organisations: Mapping[str, Organisation] = field(default_factory=dict)


def digest_key(key: str) -> str:
    """Return the digest by which a key is known: SHA-256, in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def digest_authorization(authorization: str, scheme: str) -> str:
    """Return the digest of the key that a header holds, empty if it holds none.

    ``authorization`` is the header's value, ``scheme`` the name before the key in lower
    case.
    """
    given, _, key = authorization.strip().partition(" ")
    key = key.strip()
    return digest_key(key) if key and given.lower() == scheme else ""


def find_organisation(identities: Identities, digest: str) -> Organisation | None:
    """Return the organisation that holds the key of a digest, None if unknown."""
    return identities.organisations.get(digest)
