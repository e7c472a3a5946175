"""Tell whole answers from those that may have been cut off."""

import aiohttp

from galenapass.json_values import decode_json

__all__ = ["is_delimited", "is_whole_json"]


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
