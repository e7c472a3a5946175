"""Serve operators: state, targets and the operators' file in force."""

import asyncio
import re
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web
from result import Err, Ok, Result

from galenapass.callers.problems import PROBLEM_TYPE, write_problem
from galenapass.logs import make_log
from galenapass.operators.interfaces import Conflict, OperatorsView
from galenapass.operators.tokens import Handler, make_token_check
from galenapass.settings.fleet import parse_configuration
from galenapass.settings.schema import Fault
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["MAX_FILE", "make_operators_app"]

MAX_FILE = 1_000_000
"""Largest operators' file in bytes; the platform stores no more in one object."""

SOURCE = "file"
NO_VERSION = 0

_ETAG = re.compile(r'"?([0-9]{1,18})"?')

log = make_log("operators")


def make_operators_app(view: OperatorsView, token: str) -> web.Application:
    """Return the application that operators reach with their token."""
    app = web.Application(
        client_max_size=MAX_FILE, middlewares=[make_token_check(token), _answer_faults]
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
        return _write_json(view.read_status())

    return show_status


def _make_targets_handler(view: OperatorsView) -> Handler:
    async def show_targets(request: web.Request) -> web.StreamResponse:
        return _write_json({"targets": view.read_targets()})

    return show_targets


def _make_read_handler(view: OperatorsView) -> Handler:
    async def show_configuration(request: web.Request) -> web.StreamResponse:
        version = request.query.get("version")
        if version is not None and not version.isdecimal():
            return _refuse(400, f"not a version: {version!r}")
        found = view.read_configuration(None if version is None else int(version))
        if found is None or found.version == NO_VERSION:
            return _refuse(404, "no such operators' file is held here")
        return web.Response(
            text=found.text, headers={"ETag": _write_etag(found.version)}
        )

    return show_configuration


def _make_apply_handler(view: OperatorsView) -> Handler:
    async def apply(request: web.Request) -> web.StreamResponse:
        base = _read_base(request)
        if isinstance(base, Err):
            return _refuse(428, base.err_value)
        body = await request.read()
        try:
            text = body.decode("utf-8")
        except UnicodeDecodeError as error:
            return _refuse(400, f"the file is not UTF-8: {error}")
        # A large file takes long to check; streams go on meanwhile.
        checked = await asyncio.to_thread(parse_configuration, text, 0, SOURCE)
        if isinstance(checked, Err):
            log("refused a file with faults", faults=len(checked.err_value))
            return _write_faults(checked.err_value)
        return _write_outcome(await view.apply(text, base.ok_value), base.ok_value)

    return apply


def _read_base(request: web.Request) -> Result[int, str]:
    if request.headers.get("If-None-Match", "").strip() == "*":
        return Ok(NO_VERSION)
    match = _ETAG.fullmatch(request.headers.get("If-Match", "").strip())
    if not match:
        return Err('needs `If-Match: "VERSION"` or `If-None-Match: *`')
    return Ok(int(match[1]))


def _write_outcome(
    outcome: Result[int, Verdict | Conflict], base: int
) -> web.StreamResponse:
    if isinstance(outcome, Ok):
        log("put a file in force", version=outcome.ok_value, base=base)
        return _write_json({"version": outcome.ok_value}, outcome.ok_value)
    failure = outcome.err_value
    if isinstance(failure, Conflict):
        log("refused a file for a conflict", base=failure.base, current=failure.current)
        return _write_conflict(failure)
    log("could not apply a file", base=base, reason=failure.reason.value)
    return write_problem(failure)


def _write_conflict(conflict: Conflict) -> web.StreamResponse:
    detail = (
        f"the file is based on version {conflict.base}, "
        f"but version {conflict.current} is in force"
    )
    answer = _refuse(
        409, detail, base_version=conflict.base, current_version=conflict.current
    )
    answer.headers["ETag"] = _write_etag(conflict.current)
    return answer


def _write_faults(faults: list[Fault]) -> web.StreamResponse:
    return _refuse(400, f"the file has {len(faults)} faults", faults=faults)


def _refuse(status: int, detail: str, **fields: Any) -> web.Response:
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
        body=orjson.dumps(problem, default=_write_value),
        content_type=PROBLEM_TYPE,
    )


def _write_json(value: Any, version: int = NO_VERSION) -> web.Response:
    headers = {"ETag": _write_etag(version)} if version else {}
    return web.Response(
        body=orjson.dumps(value, default=_write_value),
        content_type="application/json",
        headers=headers,
    )


def _write_value(value: Any) -> float:
    if isinstance(value, timedelta):
        return value.total_seconds()
    raise TypeError(f"no JSON form: {value!r}")


def _write_etag(version: int) -> str:
    return f'"{version}"'


@web.middleware
async def _answer_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as fault:
        return _refuse(fault.status, fault.reason)
    except Exception as error:
        log("a handler failed", path=request.path, error=repr(error))
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, "internal error")
        return write_problem(verdict, 500)
