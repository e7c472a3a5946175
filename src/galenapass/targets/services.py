"""Send calls to plain services, each on its own connection."""

from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from galenapass.dispatch import StoredAnswer
from galenapass.forwarding.large_answers import (
    EVICTED,
    AnswerEvictedError,
    HeldAnswer,
    LargeAnswers,
)
from galenapass.targets.answer_ends import is_delimited, is_whole_json
from galenapass.targets.connections import (
    classify_error,
    classify_response,
    find_length,
    open_single_use_session,
)
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Call", "PlainServiceClient"]

MAX_RESPONSE_BYTES = 1_000_000
DEFAULT_CONTENT_TYPE = "application/octet-stream"
_BODILESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True, frozen=True)
class Call:
    """One call to a plain service; ``target`` is the URL's path and query."""

    id: str
    method: str
    target: str
    content_type: str
    body: bytes
    key: str | None = None


class PlainServiceClient:
    """Client for plain services."""

    __slots__ = ("_large_answers", "_session")

    def __init__(self) -> None:
        self._large_answers = LargeAnswers()
        self._session = open_single_use_session()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(
        self, address: str, call: Call, timeout_seconds: float
    ) -> Result[StoredAnswer, Verdict]:
        """Send a call once and return its whole response, or the verdict on failure."""
        try:
            async with self._session.request(
                call.method,
                URL(f"http://{address}{call.target}", encoded=True),
                data=call.body or None,
                headers=_make_headers(call),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_seconds),
            ) as response:
                refusal = classify_response(response.status, response.headers)
                if refusal.run is Run.NOT_RUN:
                    return Err(refusal)
                async with self._large_answers.hold(address) as held:
                    return await _read_response(response, held)
        except AnswerEvictedError:
            return Err(EVICTED)
        except (aiohttp.ClientError, OSError) as error:
            return Err(classify_error(error))


def _make_headers(call: Call) -> CIMultiDict[str]:
    headers = CIMultiDict({"X-Request-Id": call.id})
    if call.body:
        headers["Content-Type"] = call.content_type
    if call.key is not None:
        headers["Idempotency-Key"] = call.key
    return headers


async def _read_response(
    response: aiohttp.ClientResponse, held: HeldAnswer
) -> Result[StoredAnswer, Verdict]:
    if (find_length(response) or 0) > MAX_RESPONSE_BYTES:
        return Err(_TOO_LONG)
    body = bytearray()
    async for chunk in response.content.iter_any():
        size = len(body) + len(chunk)
        if size > MAX_RESPONSE_BYTES:
            return Err(_TOO_LONG)
        await held.extend(size)
        body += chunk
    content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    is_whole = (
        is_delimited(response) or _has_no_body(response) or is_whole_json(bytes(body))
    )
    return Ok(StoredAnswer(response.status, content_type, bytes(body), is_whole))


def _has_no_body(response: aiohttp.ClientResponse) -> bool:
    return response.method == "HEAD" or response.status in _BODILESS_STATUSES


_TOO_LONG = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.TARGET_FAILED,
    f"the answer is longer than {MAX_RESPONSE_BYTES} bytes",
)
