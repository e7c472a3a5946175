"""Check that answers are whole, and close connections whose answers prove nothing."""

from collections.abc import Callable

import aiohttp

from galenapass.json_values import decode_json

__all__ = ["is_delimited", "is_whole_json", "make_abort"]


def is_delimited(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer tells where its body ends.

    The client library raises an error where such a body is cut off. Any other body ends
    with its connection, also if its sender was killed on the way.
    """
    if "Content-Length" in response.headers:
        return True
    codings = response.headers.get("Transfer-Encoding", "").lower().split(",")
    return codings[-1].strip() == "chunked"


def is_whole_json(text: bytes) -> bool:
    """Return whether a text is a JSON object or array, which no part of one is."""
    return isinstance(decode_json(text).ok(), dict | list)


def make_abort(response: aiohttp.ClientResponse) -> Callable[[], None]:
    """Return a function that closes a connection, also after its answer was read.

    Another request may have been sent on it since, which then fails: it is not known
    which of the two an answer that came out of turn belongs to.
    """
    # The library has no public access to it; its version is pinned.
    protocol = response._protocol
    return lambda: None if protocol is None else protocol.abort()
