"""Implement the command that sends a chat request to the callers' port."""

import asyncio
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import aiohttp
import click
import orjson
from result import Err, Ok, Result

from galenapass.settings.addresses import Address, parse_address
from galenapass.settings.values import parse_duration
from galenapass.tool.clients import Response, describe_error, describe_refusal
from galenapass.tool.options import json_option, parse_with
from galenapass.tool.output import Exit, Failure, fail, show_json
from galenapass.verdicts import Run

__all__ = ["ask"]

PATH = "/v1/chat/completions"
READ_BUFFER_BYTES = 2**20
"""Read buffer in bytes; it limits the length of a line of an event stream."""

CONNECT_TIMEOUT_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class ChatRequest:
    """Chat request and the entry host that it is sent to."""

    entry: Address
    key: str
    body: dict[str, Any]
    timeout: timedelta
    repeatable: bool

    @property
    def name(self) -> str:
        """Return the name of the server in messages."""
        return f"the entry at {self.entry}"


@dataclass(slots=True)
class ChatReply:
    """Parts of a chat response received so far."""

    text_parts: list[str] = field(default_factory=list)
    finish_reason: str = ""
    usage: dict[str, Any] | None = None
    ended: bool = False


@click.command()
@click.argument("prompt", nargs=-1, required=True)
@click.option(
    "--entry",
    envvar="GALENAPASS_ENTRY",
    required=True,
    metavar="IP:PORT",
    callback=parse_with(parse_address),
    help="The callers' port of an entry host.",
)
@click.option(
    "--key",
    envvar="GALENAPASS_KEY",
    default="",
    help="The caller's key; better in the environment as GALENAPASS_KEY.",
)
@click.option("--model", required=True, help="A service's model or the service.")
@click.option("--max-tokens", type=click.IntRange(min=1), help="Longest answer.")
@click.option("--no-repeat", is_flag=True, help="Forbid a second run of the request.")
@click.option(
    "--timeout",
    default="2 min",
    show_default=True,
    callback=parse_with(parse_duration),
    help="Longest wait for the next part of the answer.",
)
@json_option
def ask(
    prompt: tuple[str, ...],
    entry: Address,
    key: str,
    model: str,
    max_tokens: int | None,
    no_repeat: bool,
    timeout: timedelta,
    as_json: bool,
) -> None:
    """Send PROMPT as a chat request and print the answer as it comes.

    A single `-` reads the prompt from standard input.
    """
    content = sys.stdin.read() if prompt == ("-",) else " ".join(prompt)
    body = {
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "stream": True,
    }
    if max_tokens:
        body["max_tokens"] = max_tokens
    request = ChatRequest(entry, key, body, timeout, not no_repeat)
    reply = ChatReply()
    outcome = asyncio.run(_send_request(request, reply, as_json))
    if reply.text_parts and not as_json:
        click.echo()
    if isinstance(outcome, Err):
        fail(outcome.err_value, as_json)
    if as_json:
        show_json(
            {
                "text": "".join(reply.text_parts),
                "finish_reason": reply.finish_reason,
                "usage": reply.usage,
            }
        )


async def _send_request(
    request: ChatRequest, reply: ChatReply, quiet: bool
) -> Result[None, Failure]:
    headers = {"Authorization": f"Bearer {request.key}"} if request.key else {}
    if not request.repeatable:
        headers["X-Repeatable"] = "no"
    timeout = aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT_SECONDS,
        sock_read=request.timeout.total_seconds(),
    )
    try:
        async with (
            aiohttp.ClientSession(
                timeout=timeout, read_bufsize=READ_BUFFER_BYTES
            ) as session,
            session.post(
                f"http://{request.entry}{PATH}", json=request.body, headers=headers
            ) as response,
        ):
            return await _read_reply(request, response, reply, quiet)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        return Err(describe_error(request.name, error))


async def _read_reply(
    request: ChatRequest,
    response: aiohttp.ClientResponse,
    reply: ChatReply,
    quiet: bool,
) -> Result[None, Failure]:
    if response.status != 200:
        return Err(await _read_refusal(request, response))
    async for name, data in _read_events(response.content):
        if name == "error":
            refusal = Response(response.status, 0, data.encode())
            return Err(describe_refusal(request.name, refusal))
        text = _apply_event(data, reply)
        if text and not quiet:
            click.echo(text, nl=False)
    if reply.ended:
        return Ok(None)
    message = f"{request.name} ended the answer before it was whole"
    return Err(Failure(Exit.FAILED, message, Run.MAY_HAVE_RUN))


async def _read_refusal(
    request: ChatRequest, response: aiohttp.ClientResponse
) -> Failure:
    retry_after = response.headers.get("Retry-After", "")
    refusal = Response(response.status, 0, await response.read(), retry_after)
    return describe_refusal(request.name, refusal)


async def _read_events(content: aiohttp.StreamReader) -> AsyncIterator[tuple[str, str]]:
    """Yield the name and the data of each server-sent event."""
    name, data = "", []
    async for line in content:
        key, _, value = line.decode("utf-8", "replace").rstrip("\r\n").partition(":")
        if key == "event":
            name = value.strip()
        elif key == "data":
            data.append(value.removeprefix(" "))
        elif not key and data:
            yield name, "\n".join(data)
            name, data = "", []


def _apply_event(data: str, reply: ChatReply) -> str:
    if data == "[DONE]":
        reply.ended = True
        return ""
    chunk = orjson.loads(data)
    reply.usage = chunk.get("usage") or reply.usage
    choices = chunk.get("choices") or [{}]
    reply.finish_reason = choices[0].get("finish_reason") or reply.finish_reason
    text = (choices[0].get("delta") or {}).get("content") or ""
    reply.text_parts.append(text)
    return text
