"""Run the command that sends a chat request to the callers' port."""

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
from galenapass.tool.clients import Answer, describe_error, judge_refusal
from galenapass.tool.options import json_option, read_value
from galenapass.tool.output import Exit, Failure, fail, show_json
from galenapass.verdicts import Run

__all__ = ["ask"]

PATH = "/v1/chat/completions"
MAX_EVENT = 2**20
"""Longest line of a stream in bytes."""

CONNECT_TIMEOUT = 5.0
"""Seconds to wait for a connection."""


@dataclass(slots=True, frozen=True)
class Question:
    """Hold a chat request and where it goes."""

    entry: Address
    key: str
    body: dict[str, Any]
    timeout: timedelta
    repeatable: bool

    @property
    def name(self) -> str:
        """Return how messages name the other side."""
        return f"the entry at {self.entry}"


@dataclass(slots=True)
class Reply:
    """Hold what came of the answer so far."""

    texts: list[str] = field(default_factory=list)
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
    callback=read_value(parse_address),
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
    callback=read_value(parse_duration),
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
    question = Question(entry, key, body, timeout, not no_repeat)
    reply = Reply()
    outcome = asyncio.run(_ask(question, reply, as_json))
    if reply.texts and not as_json:
        click.echo()
    if isinstance(outcome, Err):
        fail(outcome.err_value, as_json)
    if as_json:
        show_json(
            {
                "text": "".join(reply.texts),
                "finish_reason": reply.finish_reason,
                "usage": reply.usage,
            }
        )


async def _ask(question: Question, reply: Reply, quiet: bool) -> Result[None, Failure]:
    headers = {"Authorization": f"Bearer {question.key}"} if question.key else {}
    if not question.repeatable:
        headers["X-Repeatable"] = "no"
    limit = aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT,
        sock_read=question.timeout.total_seconds(),
    )
    try:
        async with (
            aiohttp.ClientSession(timeout=limit, read_bufsize=MAX_EVENT) as session,
            session.post(
                f"http://{question.entry}{PATH}", json=question.body, headers=headers
            ) as answer,
        ):
            return await _read_reply(question, answer, reply, quiet)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        return Err(describe_error(question.name, error))


async def _read_reply(
    question: Question, answer: aiohttp.ClientResponse, reply: Reply, quiet: bool
) -> Result[None, Failure]:
    if answer.status != 200:
        return Err(await _judge_answer(question, answer))
    async for name, data in _read_events(answer.content):
        if name == "error":
            refusal = Answer(answer.status, 0, data.encode())
            return Err(judge_refusal(question.name, refusal))
        text = _take_event(data, reply)
        if text and not quiet:
            click.echo(text, nl=False)
    if reply.ended:
        return Ok(None)
    sentence = f"{question.name} ended the answer before it was whole"
    return Err(Failure(Exit.FAILED, sentence, Run.MAY_HAVE_RUN))


async def _judge_answer(question: Question, answer: aiohttp.ClientResponse) -> Failure:
    retry_after = answer.headers.get("Retry-After", "")
    refusal = Answer(answer.status, 0, await answer.read(), retry_after)
    return judge_refusal(question.name, refusal)


async def _read_events(content: aiohttp.StreamReader) -> AsyncIterator[tuple[str, str]]:
    """Give the name and the data of each server-sent event."""
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


def _take_event(data: str, reply: Reply) -> str:
    if data == "[DONE]":
        reply.ended = True
        return ""
    chunk = orjson.loads(data)
    reply.usage = chunk.get("usage") or reply.usage
    choices = chunk.get("choices") or [{}]
    reply.finish_reason = choices[0].get("finish_reason") or reply.finish_reason
    text = (choices[0].get("delta") or {}).get("content") or ""
    reply.texts.append(text)
    return text
