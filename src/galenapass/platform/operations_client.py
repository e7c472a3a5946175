"""Call the platform's operations, which only the holder of the duties may."""

import asyncio
import socket
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import aiohttp
import orjson

from galenapass.clocks import Clock
from galenapass.forwarding.operations import CallOutcome
from galenapass.http_connections import RESET_ON_CLOSE
from galenapass.json_values import describe_error
from galenapass.logs import make_log
from galenapass.platform.object_client import CountCall
from galenapass.targets.connections import make_probed_socket, open_keepalive_session

__all__ = ["HttpOperationsClient"]

# Holds the largest body, 1,000 organisations, so that no byte waits in this process.
SEND_BUFFER_BYTES = 2**18
_MILLISECOND = timedelta(milliseconds=1)
_OUTCOMES_BY_STATUS = {
    200: CallOutcome.ACCEPTED,
    409: CallOutcome.UNAVAILABLE,
    429: CallOutcome.THROTTLED,
}

_log = make_log("duties")


class HttpOperationsClient:
    """Client of the platform's operations, with one connection for each call.

    A call that is given up is reset, and nothing of it is sent once ``time_limit`` has
    passed on ``clock``, also if this process was stopped meanwhile. There are no
    retries. ``count`` is called with the kind of each call.
    """

    def __init__(self, address: str, clock: Clock, count: CountCall):
        self._base = f"http://{address}"
        self._clock = clock
        self._count = count

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        holder: str,
        fence: int,
        time_limit: timedelta,
    ) -> CallOutcome:
        """Report the requests of each organisation that began in a window."""
        body = {"window": window, "counts": dict(counts)}
        return await self._post("usage", body, holder, fence, time_limit)

    async def order_size(
        self,
        service: str,
        domain: str,
        count: int,
        reclaimable: bool,
        holder: str,
        fence: int,
        time_limit: timedelta,
    ) -> CallOutcome:
        """Order a number of targets of one kind for a service in a domain."""
        body = {"service": service, "zone": domain, "desired": count}
        kind = {"spot": True} if reclaimable else {}
        return await self._post("scale", body | kind, holder, fence, time_limit)

    async def _post(
        self,
        call: str,
        body: dict[str, Any],
        holder: str,
        fence: int,
        time_limit: timedelta,
    ) -> CallOutcome:
        end = self._clock.monotonic() + time_limit
        headers = {
            "Content-Type": "application/json",
            "X-Galenapass-Duty-Holder": holder,
            "X-Galenapass-Fencing-Token": str(fence),
        }

        sockets: list[socket.socket] = []

        def make_socket(info: Any) -> socket.socket:
            sockets.append(_make_socket(info))
            return sockets[-1]

        def limit_time() -> None:
            time_left = end - self._clock.monotonic()
            if time_left <= timedelta(0):
                raise TimeoutError("the time limit passed before anything was sent")
            for made in sockets:
                if made.fileno() >= 0:
                    _limit_transmission(made, time_left)

        self._count(call)
        try:
            async with (
                asyncio.timeout(time_limit.total_seconds()),
                open_keepalive_session(
                    once=True, connect=time_limit, make_socket=make_socket
                ) as session,
                session.post(
                    f"{self._base}/{call}",
                    data=orjson.dumps(body),
                    headers=headers,
                    trace_request_ctx=limit_time,
                    # A redirect would repeat the call elsewhere.
                    allow_redirects=False,
                ) as response,
            ):
                return _find_outcome(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            _log("operation has no answer", call=call, error=describe_error(error))
            return CallOutcome.UNKNOWN


def _find_outcome(status: int) -> CallOutcome:
    if 400 <= status < 500:
        return _OUTCOMES_BY_STATUS.get(status, CallOutcome.REJECTED)
    return _OUTCOMES_BY_STATUS.get(status, CallOutcome.UNKNOWN)


def _make_socket(info: Any) -> socket.socket:
    """Return a socket whose close is a reset."""
    made = make_probed_socket(info)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return made


def _limit_transmission(connected: socket.socket, time_left: timedelta) -> None:
    """Let the kernel give up bytes that are not received within the time left.

    It does so also while this process is stopped, and counts from their transmission.
    """
    limit_ms = max(time_left // _MILLISECOND, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
