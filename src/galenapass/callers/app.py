"""Define the callers' application: completions, models, services, health checks."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

from aiohttp import web

from galenapass.callers.bodies import StoppingError
from galenapass.callers.calls import make_call_handler
from galenapass.callers.completions import (
    make_completion_handler,
    make_models_handler,
)
from galenapass.callers.context import FindUrgency, Handler, HandlerContext
from galenapass.callers.keys import DaemonView, make_caller_finder
from galenapass.callers.limits import Limits
from galenapass.callers.problems import make_problem_response
from galenapass.callers.streams import OpenStreams
from galenapass.client_runner import ClientRunner, make_last_answer
from galenapass.clocks import Clock
from galenapass.dispatch import STOPPING, Claims, Dispatcher
from galenapass.logs import make_log
from galenapass.targets.engines import EngineClient
from galenapass.targets.services import PlainServiceClient
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["make_callers_app", "make_runner"]

log = make_log("callers")

# OpenStreams.wait_idle waits for open streams before the runner is cleaned up; this
# bounds the wait for the remaining connections.
DEFAULT_SHUTDOWN_TIMEOUT = timedelta(seconds=1)

REASONS_BY_STATUS = {
    408: Reason.DEADLINE_PASSED,
    413: Reason.TOO_LARGE,
}


def make_callers_app(
    dispatcher: Dispatcher,
    claims: Claims,
    daemon_view: DaemonView,
    clock: Clock,
    limits: Limits,
    *,
    find_urgency: FindUrgency,
    engines: EngineClient,
    services: PlainServiceClient,
    streams: OpenStreams,
    show_metrics: Handler | None = None,
) -> web.Application:
    """Return the application for callers, to be run with ``make_runner``."""
    context = HandlerContext(
        dispatcher=dispatcher,
        claims=claims,
        daemon_view=daemon_view,
        clock=clock,
        limits=limits,
        engines=engines,
        services=services,
        streams=streams,
        find_urgency=find_urgency,
        find_caller=make_caller_finder(daemon_view),
    )
    app = web.Application(
        client_max_size=limits.body_bytes,
        middlewares=[make_last_answer(lambda: streams.stopping), _handle_errors],
    )
    app.cleanup_ctx.append(_make_sweep_context(streams))
    complete = make_completion_handler(context)
    call_service = make_call_handler(context)
    app.add_routes(
        [
            web.post("/v1/chat/completions", complete),
            web.post("/v1/completions", complete),
            web.get("/v1/models", make_models_handler(context)),
            web.route("*", "/v1/services/{name}", call_service),
            web.route("*", "/v1/services/{name}/{path:.*}", call_service),
            web.get("/healthz", _report_alive),
            web.get("/readyz", _make_ready_handler(daemon_view)),
        ]
    )
    if show_metrics is not None:
        app.router.add_get("/metrics", show_metrics)
    return app


def make_runner(
    app: web.Application, shutdown_timeout: timedelta = DEFAULT_SHUTDOWN_TIMEOUT
) -> ClientRunner:
    """Return a runner that cancels a handler as soon as its caller disconnects."""
    return ClientRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=shutdown_timeout.total_seconds(),
    )


def _make_ready_handler(daemon_view: DaemonView) -> Handler:
    async def report_readiness(request: web.Request) -> web.StreamResponse:
        ready = daemon_view.ready() and daemon_view.configuration().version > 0
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
        )

    return report_readiness


async def _report_alive(request: web.Request) -> web.StreamResponse:
    return web.Response(text="alive\n")


def _make_sweep_context(streams: OpenStreams):  # type: ignore[no-untyped-def]
    async def run_sweeps(app: web.Application) -> AsyncIterator[None]:
        sweep_task = asyncio.create_task(streams.run_sweeps())
        yield
        sweep_task.cancel()

    return run_sweeps


@web.middleware
async def _handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as error:
        reason = REASONS_BY_STATUS.get(error.status, Reason.MALFORMED)
        detail = error.text or error.reason
        return make_problem_response(Verdict(Run.NOT_RUN, reason, detail), error.status)
    except web.RequestPayloadError as error:
        return make_problem_response(Verdict(Run.NOT_RUN, Reason.MALFORMED, str(error)))
    except StoppingError:
        return make_problem_response(STOPPING)
    except ConnectionResetError:
        raise
    except Exception as error:
        log(
            "a request handler raised an exception",
            path=request.path,
            error=repr(error),
        )
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, "internal error")
        return make_problem_response(verdict, 500)
