"""Build fleets, targets, routes and requests for the forwarding tests."""

from datetime import timedelta

from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.loads import digest_parts
from galenapass.forwarding.requests import ForwardedRequest, Part, Prompt
from galenapass.forwarding.routes import Repeat, Route, RouteTable, Service
from galenapass.forwarding.suspects import CrashHooks, CrashSuspects
from galenapass.forwarding.target_messages import ClientRequest
from galenapass.tables.targets import Role, Target, TargetKind
from galenapass.tables.world import World

MS = timedelta(milliseconds=1)


def make_route(repeat=Repeat.RESUME, **changes):
    values = {
        "name": "notes",
        "host": "a.example",
        "prefix": "/notes/",
        "split": (("lm", 1.0),),
        "repeat": repeat,
        "streams": True,
        "timeout": timedelta(seconds=5),
        "latency_objective": timedelta(milliseconds=600),
        "rank": 1,
        "attempts": 2,
    }
    return Route(**(values | changes))


def make_prompt(shared=0, own=1000, name="p"):
    parts = [Part(f"{name}-own", own)]
    if shared:
        parts.insert(0, Part(name, shared))
    return Prompt(shared + own, 10, tuple(parts))


def make_request(
    name="r1", prompt=None, arrived=0, patience=5000, route=None, service="lm"
):
    prompt = make_prompt() if prompt is None else prompt
    return ForwardedRequest(
        id=name,
        route=route or make_route(),
        service=service,
        arrived=arrived * MS,
        deadline=(arrived + patience) * MS,
        prompt=prompt,
        parts=digest_parts(prompt),
        fingerprint=name,
        is_generation=True,
    )


def make_target(
    name, role=Role.PREFILL, domain="a", service="lm", address=None, **changes
):
    kind = TargetKind.SERVICE if role is Role.MIXED else TargetKind.ENGINE
    address = address or f"10.0.0.1:{len(name)}"
    return Target(name, address, domain, kind, service, role, **changes)


def open_run(client, address, attempt, *, once=False):
    """Return the context of a request that a client of runners sends to an address."""
    return client.run(
        make_target("e1", address=address),
        ClientRequest(attempt, "POST", "/notes/1", "a.example", (), b""),
        timedelta(seconds=5),
        priority=None,
        source=None,
        last_event=None,
        once=once,
    )


def make_suspects(host, clock, **outlets):
    async def publish(text):
        pass

    return CrashSuspects(host, World(host, "a"), clock, CrashHooks(publish, **outlets))


class FakeOrigins:
    """Origins of streams of which none is known, and nothing is told."""

    needs_records = False

    def record(self, stream, origin, abandoned_at):
        pass

    def set_need(self, needs_records):
        pass


def make_fleet(*targets, domain="a"):
    fleet = Fleet("host-1", domain)
    fleet.targets = {target.id: target for target in targets}
    fleet.viewed_at = timedelta(0)
    services = {
        "lm": Service("lm", True, cache_tokens=500_000),
        "desk": Service("desk", False),
    }
    fleet.routes = RouteTable(1, {"a.example": (make_route(),)}, services)
    return fleet
