"""Define the operators' application: status, targets and configuration."""

import asyncio
import re
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web
from result import Err, Ok, Result

from galenapass.callers.problems import PROBLEM_TYPE, make_problem_response
from galenapass.client_runner import make_last_answer
from galenapass.logs import make_log
from galenapass.operators.interfaces import Conflict, OperatorsView
from galenapass.operators.tokens import Handler, make_token_check
from galenapass.settings.fleet import parse_configuration
from galenapass.settings.schema import Fault
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["MAX_FILE_BYTES", "make_operators_app"]

MAX_FILE_BYTES = 1_000_000
"""Largest operators' file in bytes, the platform's limit for one object."""

SOURCE_NAME = "file"
NO_VERSION = 0

_ETAG = re.compile(r'"?([0-9]{1,18})"?')

log = make_log("operators")


def make_operators_app(
    view: OperatorsView, token: str, is_stopping: Callable[[], bool] = lambda: False
) -> web.Application:
    """Return the application for operators, who authenticate with a token."""
    app = web.Application(
        client_max_size=MAX_FILE_BYTES,
        middlewares=[
            make_last_answer(is_stopping),
            make_token_check(token),
            _handle_errors,
        ],
    )
    app.add_routes(
        [
            web.get("/status", _make_status_handler(view)),
            web.get("/targets", _make_targets_handler(view)),
            web.get("/configuration", _make_read_handler(view)),
            web.put("/configuration", _make_apply_handler(view)),
        ]
    )
    return app


def _make_status_handler(view: OperatorsView) -> Handler:
    async def show_status(request: web.Request) -> web.StreamResponse:
        return _make_json_response(view.read_status())

    return show_status


def _make_targets_handler(view: OperatorsView) -> Handler:
    async def show_targets(request: web.Request) -> web.StreamResponse:
        return _make_json_response({"targets": view.read_targets()})

    return show_targets


def _make_read_handler(view: OperatorsView) -> Handler:
    async def show_configuration(request: web.Request) -> web.StreamResponse:
        version = request.query.get("version")
        if version is not None and not version.isdecimal():
            return _make_error_response(400, f"not a version: {version!r}")
        configuration = view.read_configuration(
            None if version is None else int(version)
        )
        if configuration is None or configuration.version == NO_VERSION:
            return _make_error_response(404, "no such operators' file is held here")
        return web.Response(
            text=configuration.text,
            headers={"ETag": _format_etag(configuration.version)},
        )

    return show_configuration


def _make_apply_handler(view: OperatorsView) -> Handler:
    async def apply(request: web.Request) -> web.StreamResponse:
        base = _read_base_version(request)
        if isinstance(base, Err):
            return _make_error_response(428, base.err_value)
        body = await request.read()
        try:
            text = body.decode("utf-8")
        except UnicodeDecodeError as error:
            return _make_error_response(400, f"the file is not UTF-8: {error}")
        # Parsing a large file is slow; a thread keeps the event loop free for streams.
        parsed = await asyncio.to_thread(parse_configuration, text, 0, SOURCE_NAME)
        if isinstance(parsed, Err):
            log(
                "rejected a configuration file with faults",
                faults=len(parsed.err_value),
            )
            return _make_faults_response(parsed.err_value)
        return _make_apply_response(
            await view.apply(text, base.ok_value), base.ok_value
        )

    return apply


def _read_base_version(request: web.Request) -> Result[int, str]:
    if request.headers.get("If-None-Match", "").strip() == "*":
        return Ok(NO_VERSION)
    match = _ETAG.fullmatch(request.headers.get("If-Match", "").strip())
    if not match:
        return Err('needs `If-Match: "VERSION"` or `If-None-Match: *`')
    return Ok(int(match[1]))


def _make_apply_response(
    outcome: Result[int, Verdict | Conflict], base: int
) -> web.StreamResponse:
    if isinstance(outcome, Ok):
        log("applied a configuration file", version=outcome.ok_value, base=base)
        return _make_json_response({"version": outcome.ok_value}, outcome.ok_value)
    failure = outcome.err_value
    if isinstance(failure, Conflict):
        log(
            "rejected a configuration file with an outdated base version",
            base=failure.base,
            current=failure.current,
        )
        return _make_conflict_response(failure)
    log(
        "could not apply a configuration file",
        base=base,
        reason=failure.reason.value,
    )
    return make_problem_response(failure)


def _make_conflict_response(conflict: Conflict) -> web.StreamResponse:
    detail = (
        f"the file is based on version {conflict.base}, "
        f"but version {conflict.current} is in force"
    )
    response = _make_error_response(
        409, detail, base_version=conflict.base, current_version=conflict.current
    )
    response.headers["ETag"] = _format_etag(conflict.current)
    return response


def _make_faults_response(faults: list[Fault]) -> web.StreamResponse:
    return _make_error_response(
        400, f"the file has {len(faults)} faults", faults=faults
    )


def _make_error_response(status: int, detail: str, **fields: Any) -> web.Response:
    problem = {
        "type": "urn:galenapass:problem:operators",
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": detail,
        "verdict": Run.NOT_RUN.value,
        **fields,
    }
    return web.Response(
        status=status,
        body=orjson.dumps(problem, default=_encode_value),
        content_type=PROBLEM_TYPE,
    )


def _make_json_response(value: Any, version: int = NO_VERSION) -> web.Response:
    headers = {"ETag": _format_etag(version)} if version else {}
    return web.Response(
        body=orjson.dumps(value, default=_encode_value),
        content_type="application/json",
        headers=headers,
    )


def _encode_value(value: Any) -> float:
    if isinstance(value, timedelta):
        return value.total_seconds()
    raise TypeError(f"not serializable as JSON: {value!r}")


def _format_etag(version: int) -> str:
    return f'"{version}"'


@web.middleware
async def _handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as error:
        return _make_error_response(error.status, error.reason)
    except Exception as error:
        log(
            "a request handler raised an exception",
            path=request.path,
            error=repr(error),
        )
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, "internal error")
        return make_problem_response(verdict, 500)
