"""Prove that a response is whole whose end is only that of its connection.

A process that is killed closes all its connections at once, and nothing listens at its
address any more. A target that still has another connection to this host, or accepts a
new one, has ended the response itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.logs import make_log
from galenapass.targets.connection_records import ConnectionRecord, ConnectionRecords

__all__ = ["EndProof", "Witness"]

# From the first to the last connection that a process closes as it is killed.
SETTLE_TIME = timedelta(milliseconds=50)

_log = make_log("connections")


@dataclass(slots=True, frozen=True)
class Witness:
    """Connection on which nothing is sent; its end tells that of its target."""

    record: ConnectionRecord
    transport: asyncio.Transport


OpenWitness = Callable[[], Awaitable[Witness]]


class EndProof:
    """Proof that a target outlives a response, begun with the head of the response.

    ``response`` is the connection of the response. ``open_witness`` opens another one
    to the same process, on the same path; it raises OSError.
    """

    __slots__ = ("_open_witness", "_opening", "_records", "_response", "_witnesses")

    def __init__(
        self,
        records: ConnectionRecords,
        response: ConnectionRecord,
        open_witness: OpenWitness,
    ):
        self._records = records
        self._response = response
        self._open_witness = open_witness
        self._witnesses: list[Witness] = []
        # A connection that was open before the end can't be to a process that was
        # started in place of one that has ended.
        self._opening = asyncio.ensure_future(self._add_witness())

    async def is_given(self) -> bool:
        """Return whether the target has outlived the response, which has ended."""
        await asyncio.sleep(SETTLE_TIME.total_seconds())
        await self._opening
        witnesses = [witness.record for witness in self._witnesses]
        if any(witness.is_open for witness in witnesses):
            return True
        # The target accepted no more connections, or closed one that was idle.
        is_given = not any(self._has_ended_with(witness) for witness in witnesses) and (
            bool(self._records.list_others(self._response)) or await self._add_witness()
        )
        if not is_given:
            _log("target ended with its response", address=self._response.address)
        return is_given

    def close(self) -> None:
        """Close the connections that were opened for the proof."""
        self._opening.cancel()
        for witness in self._witnesses:
            witness.transport.abort()

    def _has_ended_with(self, witness: ConnectionRecord) -> bool:
        """Return whether the target ended a connection together with the response.

        One that it has reset was not accepted, one that ended before the last bytes of
        the response was idle for too long.
        """
        if witness.ended_at is None or witness.ended_here or witness.was_reset:
            return False
        settled_at = witness.ended_at + SETTLE_TIME.total_seconds()
        return settled_at >= self._response.received_at

    async def _add_witness(self) -> bool:
        """Return whether the target accepts another connection."""
        try:
            self._witnesses.append(await self._open_witness())
        except ConnectionResetError:
            # It has accepted the connection, and has too many.
            return True
        except OSError as error:
            _log(
                "target accepts no connection",
                address=self._response.address,
                error=str(error),
            )
            return False
        return True
