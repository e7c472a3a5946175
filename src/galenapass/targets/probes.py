"""Probe targets for readiness and crashes."""

from datetime import timedelta

import aiohttp
from result import Err, Ok, Result

from galenapass.tables.targets import Target
from galenapass.targets.connections import classify_error, open_single_use_session
from galenapass.targets.engines import EngineClient
from galenapass.timeouts import limit_silence
from galenapass.verdicts import Verdict

__all__ = ["ProbeClient"]

PROBE_TIMEOUT = timedelta(seconds=1)


class ProbeClient:
    """Client for readiness and crash probes."""

    __slots__ = ("_engines", "_session")

    def __init__(self, engines: EngineClient):
        self._engines = engines
        self._session = open_single_use_session()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def fetch_ready(self, address: str) -> Result[bool, Verdict]:
        """Return whether a target reports that it accepts new requests."""
        url = f"http://{address}/readyz"
        try:
            async with (
                limit_silence(PROBE_TIMEOUT),
                self._session.get(url) as response,
            ):
                return Ok(response.status != 503)
        except (aiohttp.ClientError, OSError) as error:
            return Err(classify_error(error))

    async def has_crashed(self, target: Target) -> bool:
        """Return whether an engine is unreachable or has another incarnation."""
        state = await self._engines.fetch_state(target.address)
        if isinstance(state, Err):
            return True
        recorded = target.incarnation
        return bool(recorded) and state.ok_value.incarnation != recorded
