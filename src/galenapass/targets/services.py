"""Send calls to plain services, each on a connection of its own."""

from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from galenapass.dispatch import StoredAnswer
from galenapass.targets.connections import (
    classify_error,
    classify_response,
    open_once_session,
)
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Call", "PlainServiceClient"]

ANSWER_BYTES = 1_000_000
DEFAULT_CONTENT_TYPE = "application/octet-stream"


@dataclass(slots=True, frozen=True)
class Call:
    """Hold one call as it goes to the target; the target holds path and query."""

    id: str
    method: str
    target: str
    content_type: str
    body: bytes
    key: str | None = None


class PlainServiceClient:
    """Hold the client session for plain services."""

    __slots__ = ("_session",)

    def __init__(self) -> None:
        self._session = open_once_session()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(
        self, address: str, call: Call, seconds: float
    ) -> Result[StoredAnswer, Verdict]:
        """Send a call once and return its whole answer, or whether it may have run."""
        try:
            async with self._session.request(
                call.method,
                URL(f"http://{address}{call.target}", encoded=True),
                data=call.body or None,
                headers=_write_headers(call),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as answer:
                refusal = classify_response(answer.status, answer.headers)
                if refusal.run is Run.NOT_RUN:
                    return Err(refusal)
                return await _read_answer(answer)
        except (aiohttp.ClientError, OSError) as error:
            return Err(classify_error(error))


def _write_headers(call: Call) -> CIMultiDict[str]:
    headers = CIMultiDict({"X-Request-Id": call.id})
    if call.body:
        headers["Content-Type"] = call.content_type
    if call.key is not None:
        headers["Idempotency-Key"] = call.key
    return headers


async def _read_answer(
    answer: aiohttp.ClientResponse,
) -> Result[StoredAnswer, Verdict]:
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > ANSWER_BYTES:
            detail = f"the answer is longer than {ANSWER_BYTES} bytes"
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
    content_type = answer.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    return Ok(StoredAnswer(answer.status, content_type, bytes(body)))
