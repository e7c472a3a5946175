"""Step daemons' decisions and engines' arithmetic together on a virtual clock."""

import hashlib
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from random import Random

from experiments.traces import Arrival
from galenapass.clocks import ManualClock
from galenapass.systems import (
    admission,
    caches,
    demand,
    estimates,
    retries,
    role_planning,
)
from galenapass.tables.configurations import Configuration, Service
from galenapass.tables.demand import PeerDemand
from galenapass.tables.hosts import Host
from galenapass.tables.requests import Request, RequestState, Urgency
from galenapass.tables.targets import LoadChange, Role, Target, TargetKind, TargetState
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict
from stand_ins.engine_model import EngineModel
from stand_ins.engine_orders import Action, Order
from stand_ins.engine_sizes import BLOCK_TOKENS, Sizes
from stand_ins.engine_work import Admission, Phase, Step, Work

__all__ = ["Outcome", "Policy", "Result", "run"]

DOMAINS = ("north", "centre", "south")
ENGINES = 9
DAEMONS = 6
WATCHERS = 2
TICK = 0.1  # seconds
HOP = 0.002  # seconds, one way
REPORT_PERIOD = 1.0  # seconds
REPORT_LAG = 0.5  # seconds
ANNOUNCEMENT_PERIOD = 0.5  # seconds
NEWS_DELAY = 0.05  # seconds
DRAIN_NEWS = 0.2  # seconds
BULK_MOVES_AFTER = 2.0  # seconds
PLAN_PERIOD = 1.0  # seconds
AFTERMATH = 300.0  # seconds beyond the trace, unless all has ended
RUNNING = (RequestState.DISPATCHED, RequestState.STREAMING)
COMPLETED = Verdict(Run.RAN, Reason.COMPLETED)
REFUSED = Verdict(Run.NOT_RUN, Reason.TARGET_REFUSED)
PREEMPTED = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED)


@dataclass(slots=True, frozen=True)
class Policy:
    """Hold how a run decides: first roles, whether they change, what it weighs."""

    name: str
    roles: tuple[Role, ...]
    places: bool = False
    weight: float = 1.0
    hysteresis: bool = True
    affinity: bool = True


@dataclass(slots=True)
class Outcome:
    """Hold what became of one arrival; times are seconds."""

    arrival: Arrival
    first: float | None = None
    done: float | None = None
    refused: bool = False

    @property
    def in_time(self) -> bool:
        """Tell whether the whole answer came within the caller's patience."""
        at = self.arrival.at
        return self.done is not None and self.done - at <= self.arrival.patience


@dataclass(slots=True)
class Result:
    """Hold a run's outcomes, its role changes and a digest of its decisions."""

    policy: str
    outcomes: list[Outcome]
    changes: list[tuple[float, str, str]] = field(default_factory=list)
    roles: list[tuple[float, int, int, int]] = field(default_factory=list)
    gaps: dict[int, int] = field(default_factory=dict)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    preemptions: int = 0
    digest: str = ""


class _Fleet:
    """Hold the daemons, the engines and the events between them."""

    def __init__(self, policy: Policy, trace: list[Arrival], seed: int):
        self.policy = policy
        self.trace = trace
        self.random = Random(f"fleet {seed}")
        self.clock = ManualClock()
        self.end = trace[-1].at + AFTERMATH
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.digest = hashlib.sha256()
        self.result = Result(policy.name, [Outcome(arrival) for arrival in trace])
        self.engines = {
            f"e{n}": EngineModel(self.clock, Sizes(), role)
            for n, role in enumerate(policy.roles)
        }
        self.stepping: set[str] = set()
        self.worlds = [self._make_world(n) for n in range(DAEMONS)]
        self.randoms = [Random(f"daemon {n} {seed}") for n in range(DAEMONS)]
        self.requests: dict[str, tuple[int, Request]] = {}
        self.last_token: dict[str, float] = {}
        self.draining: dict[str, tuple[float, str]] = {}
        self.told: dict[tuple[int, str], tuple[int, int, int]] = {}
        self.orders = 0

    def _make_world(self, number: int) -> World:
        services = {"notes": Service("notes", TargetKind.ENGINE)}
        configuration = Configuration(
            version=1, services=services, role_change_weight=self.policy.weight
        )
        world = World(f"d{number}", DOMAINS[number % 3], configuration)
        world.hosts = {
            f"d{n}": Host(f"d{n}", "", DOMAINS[n % 3]) for n in range(DAEMONS)
        }
        for n, role in enumerate(self.policy.roles):
            name = f"e{n}"
            domain = DOMAINS[n % 3]
            world.targets[name] = Target(
                name, name, domain, TargetKind.ENGINE, "notes", role, incarnation="1"
            )
        return world

    # Time

    @property
    def now(self) -> timedelta:
        return self.clock.monotonic()

    @property
    def seconds(self) -> float:
        return self.now.total_seconds()

    def after(self, delay: float, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.seconds + delay, self.count, act))

    def every(self, period: float, first: float, act: Callable[[], None]) -> None:
        def again() -> None:
            act()
            self.after(period, again)

        self.after(first, again)

    def run(self) -> Result:
        for number, arrival in enumerate(self.trace):
            self.after(arrival.at, partial(self.arrive, number))
        for n in range(DAEMONS):
            self.every(TICK, TICK * n / DAEMONS, partial(self.tick, n))
            self.every(ANNOUNCEMENT_PERIOD, n / 13, partial(self.tell, n))
        for n, name in enumerate(self.engines):
            self.every(REPORT_PERIOD, n / 10, partial(self.report, name))
        self.every(PLAN_PERIOD, PLAN_PERIOD, self.plan)
        last = self.trace[-1].at
        while self.events and self.events[0][0] <= self.end:
            if self.seconds > last and not self.requests:
                break
            at, _, act = heapq.heappop(self.events)
            self.clock.advance(max(timedelta(0), timedelta(seconds=at) - self.now))
            act()
        self.result.digest = self.digest.hexdigest()
        return self.result

    # Requests

    def arrive(self, number: int) -> None:
        arrival = self.trace[number]
        daemon = self.random.randrange(DAEMONS)
        request = Request(
            f"r{number}",
            arrival.kind,
            "notes",
            self.now,
            self.now + timedelta(seconds=arrival.patience),
            arrival.urgency,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            blocks=arrival.blocks[:64] if self.policy.affinity else (),
        )
        world = self.worlds[daemon]
        answer = admission.admit(world, request, self.now)
        if isinstance(answer, admission.Refused):
            self.refuse(request)
            return
        retries.record_new_request(world)
        world.requests[request.id] = request
        self.requests[request.id] = (daemon, request)
        self.tick(daemon)

    def tick(self, daemon: int) -> None:
        world = self.worlds[daemon]
        effects = admission.next_dispatches(world, self.now, self.randoms[daemon])
        for effect in effects:
            self.digest.update(f"{self.now} {daemon} {effect}".encode())
            request = world.requests[effect.request]
            if isinstance(effect, admission.Dispatch):
                self.after(HOP, partial(self.send, request))
            elif isinstance(effect, admission.Refuse):
                self.forget(request)
                self.refuse(request)
            else:
                self.result.preemptions += 1
                self.move(request)

    def refuse(self, request: Request) -> None:
        self.result.outcomes[int(request.id[1:])].refused = True

    def forget(self, request: Request) -> None:
        daemon, _ = self.requests.pop(request.id)
        del self.worlds[daemon].requests[request.id]
        self.last_token.pop(request.id, None)

    def send(self, request: Request) -> None:
        if request.state is not RequestState.DISPATCHED:
            return
        if request.prefill_target is None:
            self.add(request, request.target or "", Phase.WHOLE, 0)
        else:
            self.add(request, request.prefill_target, Phase.PREFILL, 0)

    def add(self, request: Request, engine: str, phase: Phase, imported: int) -> None:
        arrival = self.trace[int(request.id[1:])]
        work = Work(
            request.id,
            arrival.blocks,
            arrival.prompt_tokens,
            arrival.output_tokens,
            int(request.urgency),
            phase,
            request.delivered if phase is Phase.WHOLE else 0,
            imported,
        )
        model = self.engines[engine]
        if model.add(work) is Admission.ACCEPTED:
            if not imported:
                hits = model.memory.count_cached(work.blocks)
                self.result.prompt_tokens += work.prompt_tokens
                self.result.cached_tokens += BLOCK_TOKENS * hits
            self.kick(engine)
            return
        self.fail(request, REFUSED)

    def fail(self, request: Request, verdict: Verdict) -> None:
        daemon, _ = self.requests[request.id]
        world = self.worlds[daemon]
        estimates.learn_from_attempt(world, request, verdict, self.now)
        admission.release_reservations(world, request, self.now)
        decided = retries.decide_retry(world, request, verdict, self.now)
        if isinstance(decided, Verdict):
            self.forget(request)
            self.refuse(request)
        else:
            self.tick(daemon)

    def move(self, request: Request) -> None:
        """Cancel a stream and let it wait to resume elsewhere."""
        for name in {request.target, request.prefill_target} - {None}:
            self.engines[name or ""].cancel(request.id)
        daemon, _ = self.requests[request.id]
        admission.release_reservations(self.worlds[daemon], request, self.now)
        request.state = RequestState.WAITING
        request.target = request.prefill_target = None

    # Engines

    def kick(self, name: str) -> None:
        if name in self.stepping:
            return
        engine = self.engines[name]
        step = engine.step()
        if step is not None and step.duration > timedelta(0):
            self.stepping.add(name)
            self.after(step.duration.total_seconds(), lambda: self.end_step(name, step))
            return
        coming = engine.next_time()
        if coming is not None and engine.running:
            delay = max(0.0005, (coming - self.now).total_seconds())
            self.after(delay, lambda: self.kick(name))

    def end_step(self, name: str, step: Step) -> None:
        self.stepping.discard(name)
        for request_id, kept in step.prefilled.items():
            self.hand_over(name, request_id, kept.handle)
        for request_id, number in step.tokens.items():
            self.give_token(request_id, number)
        for request_id in step.finished:
            if request_id not in step.prefilled:
                self.complete(request_id)
        for watcher in range(WATCHERS):
            world = self.worlds[(int(name[1:]) + 3 * watcher) % DAEMONS]
            target = world.targets[name]
            caches.apply_cache_events(target, step.stored, step.evicted)
        self.kick(name)

    def hand_over(self, name: str, request_id: str, handle: str) -> None:
        kept = self.engines[name].fetch(handle)
        if kept is None or request_id not in self.requests:
            return
        daemon, request = self.requests[request_id]
        admission.release_prefill(self.worlds[daemon], request, self.now)
        if request.target and request.state is RequestState.DISPATCHED:
            self.add(request, request.target, Phase.WHOLE, request.prompt_tokens)

    def give_token(self, request_id: str, number: int) -> None:
        if request_id not in self.requests:
            return
        daemon, request = self.requests[request_id]
        if request.state not in RUNNING or number <= request.delivered:
            return
        request.delivered = number
        outcome = self.result.outcomes[int(request_id[1:])]
        if outcome.first is None:
            outcome.first = self.seconds
        else:
            gap = round(1000 * (self.seconds - self.last_token[request_id]))
            self.result.gaps[gap] = self.result.gaps.get(gap, 0) + 1
        self.last_token[request_id] = self.seconds
        if request.state is RequestState.DISPATCHED:
            admission.record_first_token(self.worlds[daemon], request, self.now)

    def complete(self, request_id: str) -> None:
        if request_id not in self.requests:
            return
        daemon, request = self.requests[request_id]
        if request.state not in RUNNING:
            return
        world = self.worlds[daemon]
        self.result.outcomes[int(request_id[1:])].done = self.seconds
        estimates.learn_from_attempt(world, request, COMPLETED, self.now)
        admission.release_reservations(world, request, self.now)
        self.forget(request)
        self.tick(daemon)

    # News

    def report(self, name: str) -> None:
        report = self.engines[name].report()

        def arrive() -> None:
            for world in self.worlds:
                estimates.apply_load_report(world.targets[name], report, self.now)

        self.after(REPORT_LAG, arrive)

    def tell(self, daemon: int) -> None:
        world = self.worlds[daemon]
        demand.sample(world, self.now)
        told = demand.list_own_demand(world, self.now)
        self.after(NEWS_DELAY, partial(self.hear, daemon, told))
        for name, target in world.targets.items():
            level = (target.own_requests, target.own_prefill, target.own_pieces)
            before = self.told.get((daemon, name), (0, 0, 0))
            if level != before:
                self.told[daemon, name] = level
                parts = [new - old for new, old in zip(level, before, strict=True)]
                self.after(NEWS_DELAY, partial(self.hear_change, daemon, name, parts))

    def hear(self, teller: int, told: dict[str, PeerDemand]) -> None:
        for number, world in enumerate(self.worlds):
            if number != teller:
                demand.apply_peer_demand(world, f"d{teller}", told, self.now)

    def hear_change(self, teller: int, name: str, parts: list[int]) -> None:
        for number, world in enumerate(self.worlds):
            if number != teller:
                change = LoadChange(self.now, *parts)
                estimates.record_peer_change(world.targets[name], change)

    # Roles

    def plan(self) -> None:
        roles = [engine.role for engine in self.engines.values()]
        counts = [roles.count(role) for role in (Role.PREFILL, Role.MIXED, Role.DECODE)]
        self.result.roles.append((self.seconds, counts[0], counts[1], counts[2]))
        for name in list(self.draining):
            self.go_on_draining(name)
        if not self.policy.places:
            return
        for world in self.worlds[: len(DOMAINS)]:
            for change in role_planning.propose_changes(world, self.now):
                self.digest.update(f"{self.now} {change}".encode())
                self.set_state(change.target, TargetState.DRAINING)
                self.draining[change.target] = (self.seconds, change.value)

    def set_state(self, name: str, state: TargetState) -> None:
        for world in self.worlds:
            world.targets[name].state = state

    def go_on_draining(self, name: str) -> None:
        since, value = self.draining[name]
        here = [
            r
            for _, r in self.requests.values()
            if r.state in RUNNING and name in (r.target, r.prefill_target)
        ]
        if not here and self.seconds - since >= DRAIN_NEWS:
            self.change(name, value)
        elif self.seconds - since >= BULK_MOVES_AFTER:
            for request in here:
                if request.urgency is Urgency.BULK:
                    self.move(request)

    def change(self, name: str, value: str) -> None:
        del self.draining[name]
        self.orders += 1
        self.set_state(name, TargetState.CHANGING)
        order = Order(f"o{self.orders}", 1, Action.ROLE, value)
        self.engines[name].order(order)
        self.result.changes.append((self.seconds, name, value))
        away = self.engines[name].sizes.change.total_seconds()
        self.after(away + HOP, lambda: self.serve_again(name, Role(value)))

    def serve_again(self, name: str, role: Role) -> None:
        if self.engines[name].changing:
            raise RuntimeError(f"{name} is still changing at {self.now}")
        for world in self.worlds:
            role_planning.record_role(world, name, role, self.now)
            if not self.policy.hysteresis:
                world.demand.changed.pop(name, None)
        self.set_state(name, TargetState.SERVING)


def run(policy: Policy, trace: list[Arrival], seed: int) -> Result:
    """Run a trace under a policy; equal arguments give equal decisions."""
    return _Fleet(policy, trace, seed).run()
