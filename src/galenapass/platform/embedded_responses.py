"""Find second responses to earlier requests inside the bodies of responses."""

import re

from galenapass.platform.headers import ATTEMPT_ID
from galenapass.targets.connection_records import ConnectionRecord

__all__ = ["EmbeddedResponses"]

# Status line, and the name of the first header or the end of the head.
_HEAD_START = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n(?:[A-Za-z0-9-]+:|\r\n)")
# The first bytes of a status line, or more of it, at the end of a body.
_CUT_START = re.compile(
    rb"HTTP(?:/(?:1(?:\.(?:[01][^\r\n]*\r?\n?[A-Za-z0-9-]*)?)?)?)?\Z"
)
_HEAD_END = b"\r\n\r\n"
_ATTEMPT = re.compile(rb"(?i:\r\n%b):[ \t]*([^\r\n]*?)[ \t]*\r\n" % ATTEMPT_ID.encode())
# The longest start of a head that a match needs; most status lines have 15 bytes.
_MAX_START_BYTES = 256
_MAX_HEAD_BYTES = 8192


class EmbeddedResponses:
    """Finder of responses to earlier requests of a connection, in parts of a body.

    A body may quote responses to other requests.
    """

    __slots__ = ("_connection", "_rest")

    def __init__(self, connection: ConnectionRecord):
        self._connection = connection
        self._rest = b""

    def is_in(self, chunk: bytes) -> bool:
        """Return whether such a response is in the bytes so far."""
        data = self._rest + chunk
        for start in _HEAD_START.finditer(data) if b"HTTP/1." in data else ():
            end = data.find(_HEAD_END, start.start())
            if end < 0 and len(data) - start.start() < _MAX_HEAD_BYTES:
                # The rest of the head is still to come.
                self._rest = data[start.start() :]
                return False
            # One that is too long is no head.
            if end >= 0 and self._is_own(data[start.start() : end + len(_HEAD_END)]):
                return True
        self._rest = data[-_MAX_START_BYTES:]
        return False

    def may_be_cut(self) -> bool:
        """Return whether the body has ended like one within the head of a response."""
        start = _HEAD_START.search(self._rest)
        if start is not None:
            return _HEAD_END not in self._rest[start.start() :]
        return _CUT_START.search(self._rest) is not None

    def _is_own(self, head: bytes) -> bool:
        """Return whether a head is one to a request of the connection."""
        named = _ATTEMPT.search(head)
        if named is None:
            return self._connection.has_unnamed
        return named[1].decode("latin-1") in self._connection.attempts
