"""Exchange configurations between daemons."""

import zlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from galenapass.forwarding.configuration_updates import ConfigurationUpdates
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.peer_calls import PeerConnection, open_call
from galenapass.forwarding.schedulers import Address
from galenapass.json_values import (
    DECODE_ERRORS,
    describe_error,
    read_integer,
    read_name,
)
from galenapass.platform.messages import StoredObject
from galenapass.timeouts import limit_silence

__all__ = ["CONFIGURATION_CALL", "ConfigurationSharing"]

CONFIGURATION_CALL = "configuration"
# Without any byte of the answer.
ANSWER_TIMEOUT = timedelta(milliseconds=500)
CHUNK_BYTES = 65_536
# Routes compress to a fifth or less; the fastest level suffices for that.
COMPRESSION_LEVEL = 1
# The store's largest object, twice as long where its characters are escaped.
MAX_BODY_BYTES = 2 * 2**20


class ConfigurationSharing:
    """Exchange of the configuration in force with other daemons.

    ``find_address`` returns the address of a host, None if it is unknown.
    """

    def __init__(
        self,
        fleet: Fleet,
        updates: ConfigurationUpdates,
        find_address: Callable[[str], Address | None],
    ):
        self._fleet = fleet
        self._updates = updates
        self._find_address = find_address
        self._compressed: tuple[StoredObject, bytes] | None = None

    async def answer(self, fields: dict[str, Any], connection: PeerConnection) -> None:
        """Send the configuration in force to a daemon that has an older one."""
        after, version = read_integer(fields["after"]), self._fleet.routes.version
        stored = self._updates.in_force
        if stored is None or version <= after:
            await connection.send({"version": version})
            return
        payload = self._compress(stored)
        head = {
            "version": version,
            "name": stored.name,
            "revision": stored.version,
            "length": len(payload),
        }
        await connection.send(head, payload)

    async def fetch(self, host: str) -> Result[StoredObject | None, str]:
        """Return the configuration of another daemon, None if it has no newer one."""
        address = self._find_address(host)
        if address is None:
            return Err("its address is unknown")
        fields = {"after": self._fleet.routes.version}
        opened = await open_call(address, self._fleet.host, CONFIGURATION_CALL, fields)
        if isinstance(opened, Err):
            return opened
        connection = opened.ok_value
        try:
            return Ok(await _read_answer(connection))
        except (OSError, TimeoutError, EOFError, zlib.error, *DECODE_ERRORS) as error:
            return Err(describe_error(error))
        finally:
            connection.abort()

    def _compress(self, stored: StoredObject) -> bytes:
        if self._compressed is None or self._compressed[0] is not stored:
            payload = zlib.compress(stored.body.encode(), COMPRESSION_LEVEL)
            self._compressed = stored, payload
        return self._compressed[1]


async def _read_answer(connection: PeerConnection) -> StoredObject | None:
    head = await connection.receive(ANSWER_TIMEOUT)
    if "length" not in head:
        return None
    left = read_integer(head["length"])
    inflater = zlib.decompressobj()
    body = bytearray()
    while left > 0:
        async with limit_silence(ANSWER_TIMEOUT):
            chunk = await connection.reader.read(min(left, CHUNK_BYTES))
        if not chunk:
            raise EOFError("the answer was cut off")
        left -= len(chunk)
        body += inflater.decompress(chunk, MAX_BODY_BYTES - len(body) + 1)
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f"the configuration is over {MAX_BODY_BYTES} bytes")
    if not inflater.eof:
        raise EOFError("the configuration was cut off")
    name, revision = read_name(head["name"]), read_integer(head["revision"])
    return StoredObject(name, revision, body.decode())
