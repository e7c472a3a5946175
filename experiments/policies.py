"""Simulate a fleet of daemons and engines on a virtual clock."""

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
CACHE_OBSERVERS = 2
TICK = 0.1  # seconds
NETWORK_DELAY = 0.002  # seconds, one way
REPORT_PERIOD = 1.0  # seconds
REPORT_LAG = 0.5  # seconds
ANNOUNCEMENT_PERIOD = 0.5  # seconds
PEER_MESSAGE_DELAY = 0.05  # seconds
DRAIN_ANNOUNCEMENT_DELAY = 0.2  # seconds
BULK_MOVE_DELAY = 2.0  # seconds
PLAN_PERIOD = 1.0  # seconds
# Seconds after the last arrival at which a run stops if requests are still open.
COMPLETION_TIMEOUT = 300.0
RUNNING = (RequestState.DISPATCHED, RequestState.STREAMING)
COMPLETED = Verdict(Run.RAN, Reason.COMPLETED)
REFUSED = Verdict(Run.NOT_RUN, Reason.TARGET_REFUSED)
PREEMPTED = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED)


@dataclass(slots=True, frozen=True)
class Policy:
    """Initial engine roles of a run and the mechanisms that it uses.

    ``changes_roles`` lets the daemons change the roles, ``weight`` is the fleet's
    ``role_change_weight``, ``hysteresis`` enforces the least interval between two
    role changes of one target, and ``affinity`` routes requests by their prompt blocks.
    """

    name: str
    roles: tuple[Role, ...]
    changes_roles: bool = False
    weight: float = 1.0
    hysteresis: bool = True
    affinity: bool = True


@dataclass(slots=True)
class Outcome:
    """Result of one arrival; times are seconds from the start of the run."""

    arrival: Arrival
    first_token_at: float | None = None
    completed_at: float | None = None
    refused: bool = False

    @property
    def in_time(self) -> bool:
        """Return whether the whole response came within the caller's patience."""
        at = self.arrival.at
        return (
            self.completed_at is not None
            and self.completed_at - at <= self.arrival.patience
        )


@dataclass(slots=True)
class Result:
    """Outcomes of a run, its role changes and a digest of its decisions.

    ``changes`` holds seconds, target and new role; ``roles`` holds seconds and the
    numbers of prefill, mixed and decode engines. ``token_gaps`` counts the gaps
    between tokens by their milliseconds.
    """

    policy: str
    outcomes: list[Outcome]
    changes: list[tuple[float, str, str]] = field(default_factory=list)
    roles: list[tuple[float, int, int, int]] = field(default_factory=list)
    token_gaps: dict[int, int] = field(default_factory=dict)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    preemptions: int = 0
    digest: str = ""


class _Simulation:
    """Simulated daemons and engines and the queue of events between them."""

    def __init__(self, policy: Policy, trace: list[Arrival], seed: int):
        self.policy = policy
        self.trace = trace
        self.random = Random(f"fleet {seed}")
        self.clock = ManualClock()
        self.end = trace[-1].at + COMPLETION_TIMEOUT
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
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
        self.published_loads: dict[tuple[int, str], tuple[int, int, int]] = {}
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

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.seconds + delay, self.event_count, callback))

    def schedule_periodically(
        self, period: float, first: float, callback: Callable[[], None]
    ) -> None:
        def repeat() -> None:
            callback()
            self.schedule(period, repeat)

        self.schedule(first, repeat)

    def run(self) -> Result:
        for number, arrival in enumerate(self.trace):
            self.schedule(arrival.at, partial(self.arrive, number))
        for n in range(DAEMONS):
            self.schedule_periodically(TICK, TICK * n / DAEMONS, partial(self.tick, n))
            self.schedule_periodically(
                ANNOUNCEMENT_PERIOD, n / 13, partial(self.publish, n)
            )
        for n, name in enumerate(self.engines):
            self.schedule_periodically(
                REPORT_PERIOD, n / 10, partial(self.report, name)
            )
        self.schedule_periodically(PLAN_PERIOD, PLAN_PERIOD, self.plan_roles)
        last = self.trace[-1].at
        while self.events and self.events[0][0] <= self.end:
            if self.seconds > last and not self.requests:
                break
            at, _, callback = heapq.heappop(self.events)
            self.clock.advance(max(timedelta(0), timedelta(seconds=at) - self.now))
            callback()
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
        admitted = admission.admit(world, request, self.now)
        if isinstance(admitted, admission.Refused):
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
                self.schedule(NETWORK_DELAY, partial(self.send, request))
            elif isinstance(effect, admission.Refuse):
                self.remove_request(request)
                self.refuse(request)
            else:
                self.result.preemptions += 1
                self.requeue(request)

    def refuse(self, request: Request) -> None:
        self.result.outcomes[int(request.id[1:])].refused = True

    def remove_request(self, request: Request) -> None:
        daemon, _ = self.requests.pop(request.id)
        del self.worlds[daemon].requests[request.id]
        self.last_token.pop(request.id, None)

    def send(self, request: Request) -> None:
        if request.state is not RequestState.DISPATCHED:
            return
        if request.prefill_target is None:
            self.add_work(request, request.target or "", Phase.WHOLE, 0)
        else:
            self.add_work(request, request.prefill_target, Phase.PREFILL, 0)

    def add_work(
        self, request: Request, engine: str, phase: Phase, imported: int
    ) -> None:
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
            self.start_step(engine)
            return
        self.fail(request, REFUSED)

    def fail(self, request: Request, verdict: Verdict) -> None:
        daemon, _ = self.requests[request.id]
        world = self.worlds[daemon]
        estimates.learn_from_attempt(world, request, verdict, self.now)
        admission.release_reservations(world, request, self.now)
        decision = retries.decide_retry(world, request, verdict, self.now)
        if isinstance(decision, Verdict):
            self.remove_request(request)
            self.refuse(request)
        else:
            self.tick(daemon)

    def requeue(self, request: Request) -> None:
        """Cancel a stream and queue its request to resume on another engine."""
        for name in {request.target, request.prefill_target} - {None}:
            self.engines[name or ""].cancel(request.id)
        daemon, _ = self.requests[request.id]
        admission.release_reservations(self.worlds[daemon], request, self.now)
        request.state = RequestState.WAITING
        request.target = request.prefill_target = None

    # Engines

    def start_step(self, name: str) -> None:
        if name in self.stepping:
            return
        engine = self.engines[name]
        step = engine.step()
        if step is not None and step.duration > timedelta(0):
            self.stepping.add(name)
            self.schedule(
                step.duration.total_seconds(), lambda: self.end_step(name, step)
            )
            return
        next_at = engine.next_time()
        if next_at is not None and engine.running:
            delay = max(0.0005, (next_at - self.now).total_seconds())
            self.schedule(delay, lambda: self.start_step(name))

    def end_step(self, name: str, step: Step) -> None:
        self.stepping.discard(name)
        for request_id, export in step.prefilled.items():
            self.transfer_cache(name, request_id, export.handle)
        for request_id, number in step.tokens.items():
            self.record_token(request_id, number)
        for request_id in step.finished:
            if request_id not in step.prefilled:
                self.complete(request_id)
        for observer in range(CACHE_OBSERVERS):
            world = self.worlds[(int(name[1:]) + 3 * observer) % DAEMONS]
            target = world.targets[name]
            caches.apply_cache_events(target, step.stored, step.evicted)
        self.start_step(name)

    def transfer_cache(self, name: str, request_id: str, handle: str) -> None:
        export = self.engines[name].fetch(handle)
        if export is None or request_id not in self.requests:
            return
        daemon, request = self.requests[request_id]
        admission.release_prefill(self.worlds[daemon], request, self.now)
        if request.target and request.state is RequestState.DISPATCHED:
            self.add_work(request, request.target, Phase.WHOLE, request.prompt_tokens)

    def record_token(self, request_id: str, number: int) -> None:
        if request_id not in self.requests:
            return
        daemon, request = self.requests[request_id]
        if request.state not in RUNNING or number <= request.delivered:
            return
        request.delivered = number
        outcome = self.result.outcomes[int(request_id[1:])]
        if outcome.first_token_at is None:
            outcome.first_token_at = self.seconds
        else:
            gap = round(1000 * (self.seconds - self.last_token[request_id]))
            self.result.token_gaps[gap] = self.result.token_gaps.get(gap, 0) + 1
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
        self.result.outcomes[int(request_id[1:])].completed_at = self.seconds
        estimates.learn_from_attempt(world, request, COMPLETED, self.now)
        admission.release_reservations(world, request, self.now)
        self.remove_request(request)
        self.tick(daemon)

    # Reports and peer messages

    def report(self, name: str) -> None:
        report = self.engines[name].report()

        def apply_report() -> None:
            for world in self.worlds:
                estimates.apply_load_report(world.targets[name], report, self.now)

        self.schedule(REPORT_LAG, apply_report)

    def publish(self, daemon: int) -> None:
        world = self.worlds[daemon]
        demand.sample(world, self.now)
        demands = demand.list_own_demand(world, self.now)
        self.schedule(PEER_MESSAGE_DELAY, partial(self.receive_demand, daemon, demands))
        for name, target in world.targets.items():
            level = (target.own_requests, target.own_prefill, target.own_pieces)
            before = self.published_loads.get((daemon, name), (0, 0, 0))
            if level != before:
                self.published_loads[daemon, name] = level
                increments = [new - old for new, old in zip(level, before, strict=True)]
                self.schedule(
                    PEER_MESSAGE_DELAY,
                    partial(self.receive_load_change, daemon, name, increments),
                )

    def receive_demand(self, sender: int, demands: dict[str, PeerDemand]) -> None:
        for number, world in enumerate(self.worlds):
            if number != sender:
                demand.apply_peer_demand(world, f"d{sender}", demands, self.now)

    def receive_load_change(
        self, sender: int, name: str, increments: list[int]
    ) -> None:
        for number, world in enumerate(self.worlds):
            if number != sender:
                change = LoadChange(self.now, *increments)
                estimates.record_peer_change(world.targets[name], change)

    # Roles

    def plan_roles(self) -> None:
        roles = [engine.role for engine in self.engines.values()]
        counts = [roles.count(role) for role in (Role.PREFILL, Role.MIXED, Role.DECODE)]
        self.result.roles.append((self.seconds, counts[0], counts[1], counts[2]))
        for name in list(self.draining):
            self.continue_drain(name)
        if not self.policy.changes_roles:
            return
        for world in self.worlds[: len(DOMAINS)]:
            for change in role_planning.propose_changes(world, self.now):
                self.digest.update(f"{self.now} {change}".encode())
                self.set_state(change.target, TargetState.DRAINING)
                self.draining[change.target] = (self.seconds, change.value)

    def set_state(self, name: str, state: TargetState) -> None:
        for world in self.worlds:
            world.targets[name].state = state

    def continue_drain(self, name: str) -> None:
        since, value = self.draining[name]
        active = [
            r
            for _, r in self.requests.values()
            if r.state in RUNNING and name in (r.target, r.prefill_target)
        ]
        if not active and self.seconds - since >= DRAIN_ANNOUNCEMENT_DELAY:
            self.change_role(name, value)
        elif self.seconds - since >= BULK_MOVE_DELAY:
            for request in active:
                if request.urgency is Urgency.BULK:
                    self.requeue(request)

    def change_role(self, name: str, value: str) -> None:
        del self.draining[name]
        self.orders += 1
        self.set_state(name, TargetState.CHANGING)
        order = Order(f"o{self.orders}", 1, Action.ROLE, value)
        self.engines[name].order(order)
        self.result.changes.append((self.seconds, name, value))
        duration = self.engines[name].sizes.change.total_seconds()
        self.schedule(
            duration + NETWORK_DELAY, lambda: self.resume_serving(name, Role(value))
        )

    def resume_serving(self, name: str, role: Role) -> None:
        if self.engines[name].changing:
            raise RuntimeError(
                f"engine {name} is still changing its role at {self.now}"
            )
        for world in self.worlds:
            role_planning.record_role(world, name, role, self.now)
            if not self.policy.hysteresis:
                world.demand.role_changed_at.pop(name, None)
        self.set_state(name, TargetState.SERVING)


def run(policy: Policy, trace: list[Arrival], seed: int) -> Result:
    """Simulate a trace under a policy; equal arguments give equal decisions."""
    return _Simulation(policy, trace, seed).run()
