"""Prove that a response is whole whose end is only that of its connection.

A process that is killed closes all its connections at once, and nothing listens at its
address any more. A target that still has another connection to this host, or accepts a
new one, has ended the response itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.json_values import describe_error
from galenapass.logs import make_log
from galenapass.targets.connection_records import ConnectionRecord
from galenapass.targets.tcp_states import is_established

__all__ = ["EndProof", "Witness"]

# From the first to the last connection that a process closes as it is killed, and less
# than another one takes to start in its place.
SETTLE_TIME = timedelta(milliseconds=50)

_log = make_log("connections")


@dataclass(slots=True, frozen=True)
class Witness:
    """Connection on which nothing is sent; its end tells that of its target."""

    record: ConnectionRecord
    transport: asyncio.Transport


OpenWitness = Callable[[], Awaitable[Witness]]


class Acceptance(Enum):
    """What a target does with a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EndProof:
    """Proof that a target outlives a response, begun with the head of the response.

    ``response`` is the connection of the response. ``open_witness`` opens another one
    to the same process, on the same path; it raises OSError.
    """

    __slots__ = ("_open_witness", "_opening", "_response", "_watching", "_witnesses")

    def __init__(self, response: ConnectionRecord, open_witness: OpenWitness):
        self._response = response
        self._open_witness = open_witness
        self._witnesses: list[Witness] = []
        # A connection that was open before the end can't be to a process that was
        # started in place of one that has ended.
        self._opening = asyncio.ensure_future(self._add_witness())
        self._watching = asyncio.ensure_future(self._replace_witnesses())

    async def is_given(self) -> bool:
        """Return whether the target has outlived the response, which has ended."""
        await asyncio.sleep(SETTLE_TIME.total_seconds())
        await self._opening
        self._watching.cancel()
        witnesses = [witness.record for witness in self._witnesses]
        if self._response.is_overdue or any(map(_has_ended, witnesses)):
            is_given = False
        else:
            has_open = any(witness.is_open for witness in witnesses)
            # The end of a witness may be on its way for longer, if a packet was lost.
            is_given = _ACCEPTANCE[await self._add_witness(), has_open]
        if not is_given:
            _log("target ended with its response", address=self._response.address)
        return is_given

    def close(self) -> None:
        """Close the connections that were opened for the proof."""
        self._opening.cancel()
        self._watching.cancel()
        self._close_witnesses()

    def _close_witnesses(self) -> None:
        for witness in self._witnesses:
            witness.transport.abort()
        self._witnesses.clear()

    async def _replace_witnesses(self) -> None:
        """Open another connection in place of one that the target closes as idle.

        The response goes on after it; where it has ended as well, also unread, the
        target may have.
        """
        await self._opening
        while True:
            await asyncio.sleep(SETTLE_TIME.total_seconds())
            if not any(_has_ended(witness.record) for witness in self._witnesses):
                continue
            await asyncio.sleep(SETTLE_TIME.total_seconds())
            if not is_established(self._response.transport):
                return
            self._close_witnesses()
            await self._add_witness()

    async def _add_witness(self) -> Acceptance:
        """Open another connection to the target."""
        try:
            self._witnesses.append(await self._open_witness())
        except (ConnectionResetError, TimeoutError):
            # It has too many; its host refuses connections once it has ended.
            return Acceptance.ACCEPTED
        except ConnectionRefusedError:
            return Acceptance.REFUSED
        except OSError as error:
            _log(
                "target is not reached",
                address=self._response.address,
                error=describe_error(error),
            )
            return Acceptance.UNKNOWN
        return Acceptance.ACCEPTED


def _has_ended(witness: ConnectionRecord) -> bool:
    """Return whether a target has ended a connection.

    One that was reset was not accepted, as the target has too many.
    """
    return not (witness.is_open or witness.ended_here or witness.was_reset)


# Whether a response is whole, by the answer to a new connection after it and by whether
# an older one is still open.
_ACCEPTANCE = {
    (Acceptance.ACCEPTED, True): True,
    (Acceptance.ACCEPTED, False): True,
    (Acceptance.UNKNOWN, True): True,
    (Acceptance.UNKNOWN, False): False,
    (Acceptance.REFUSED, True): False,
    (Acceptance.REFUSED, False): False,
}
