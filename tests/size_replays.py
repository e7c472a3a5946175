"""Replay loads against the planner of sizes, with a platform that follows orders."""

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from galenapass.duties.duty_calls import DutyCalls
from galenapass.forwarding import workload
from galenapass.forwarding.fleet import Fleet, apply_target_entry, remove_target
from galenapass.forwarding.operations import CallOutcome, Duty, OperationsTerms
from galenapass.forwarding.routes import RouteTable, Scaling, Service
from galenapass.forwarding.size_planning import SizePlanner
from galenapass.forwarding.workload import ServiceDemand
from galenapass.tables.targets import Role, TargetState
from tests.forwarding_fakes import make_route, make_target

STEP = timedelta(milliseconds=250)
SECOND = timedelta(seconds=1)


@dataclass
class Deployment:
    """Deployment and its load; ``tokens`` are prompt tokens a second."""

    prices: dict
    targets: dict
    scaling: Scaling
    tokens: float
    tokens_per_ms: float = 64.0
    prompt_tokens: int = 3000
    sequence_ms: float = 500.0
    slots: int = 64

    @property
    def load(self):
        """Return the mean prefill load in engines."""
        return self.tokens / self.tokens_per_ms / 1000


def make_deployment_a(**changes):
    prices = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}
    counts = {("a", False): 18, ("b", False): 18, ("c", False): 17, ("d", False): 17}
    scaling = Scaling(1, 35, timedelta(seconds=4), 0.22, prices)
    return replace(Deployment(prices, counts, scaling, 366_000), **changes)


def make_small_deployment(**changes):
    prices = {"x": 1.0, "y": 1.1}
    counts = {("x", False): 12, ("y", False): 12}
    scaling = Scaling(2, 14, timedelta(seconds=6), None, prices)
    values = {"tokens_per_ms": 50.0, "prompt_tokens": 2000, "slots": 12}
    return replace(Deployment(prices, counts, scaling, 100_000), **(values | changes))


class FakeLease:
    """Lease that the test gives and takes."""

    def __init__(self, fence=1):
        self.fence = fence
        self.time_left = timedelta(seconds=5)
        self.before_release = []


class Replay:
    """Platform that carries out orders, and the demand that one planner measures.

    ``load`` maps a time to the factors of prefill and decode. ``unavailable`` holds the
    domains without reclaimable targets, ``is_silent`` loses all calls.
    """

    def __init__(self, deployment, load=lambda seconds: (1.0, 1.0), seed=1):
        self.deployment = deployment
        self.load = load
        self.random = Random(seed)
        self.now = timedelta(seconds=1000)
        self.began = self.now
        self.fleet = Fleet("host-1", next(iter(deployment.prices)))
        service = Service("lm", True, cache_tokens=500_000, scaling=deployment.scaling)
        routes = {"a.example": (make_route(),)}
        self.fleet.routes = RouteTable(1, routes, {"lm": service})
        self.demand = ServiceDemand()
        self.calls = []
        self.orders = []
        self.unavailable = set()
        self.outcome = None
        self.lost_answers = False
        self.desired = Counter(deployment.targets)
        self.starting = []
        self.gone_at = {}
        self.hidden = {}
        self.numbers = 0
        self.price = 0.0
        self.priced_from = 0.0
        self.shortages = []
        self.lowest = math.inf
        for subject, count in deployment.targets.items():
            for _ in range(count):
                self.join(subject)
        self.lease = FakeLease()
        self.planner = self.make_planner(self.lease)
        self.planners = [self.planner]

    def make_planner(self, lease, host="host-1"):
        fleet = self.fleet if host == "host-1" else replace(self.fleet, host=host)
        return SizePlanner(
            fleet,
            lease,
            DutyCalls(host, lease, self, self, 2.0, timedelta(0)),
            self,
            lambda service: workload.measure_demand("lm", self.demand, self.now),
            OperationsTerms("", frozenset((Duty.SIZES,)), calls_per_second=2.0),
        )

    def monotonic(self):
        return self.now

    @property
    def seconds(self):
        return (self.now - self.began) / SECOND

    # Targets

    def join(self, subject):
        self.numbers += 1
        domain, reclaimable = subject
        role = Role.PREFILL if self.numbers % 3 else Role.DECODE
        target = make_target(
            f"e{self.numbers}", role, domain, incarnation=str(self.numbers)
        )
        target.slots, target.is_reclaimable = self.deployment.slots, reclaimable
        apply_target_entry(self.fleet, target, self.now)

    def list_targets(self, subject):
        """Return the targets of a subject that do not leave."""
        return [
            t
            for t in self.fleet.targets.values()
            if (t.domain, t.is_reclaimable) == subject
            and t.state is TargetState.SERVING
        ]

    def leave(self, target, time_left):
        target = replace(target, state=TargetState.LEAVING, time_left=time_left)
        apply_target_entry(self.fleet, target, self.now)
        self.gone_at[target.id] = self.now + time_left

    def reclaim(self, domain):
        """Reclaim all reclaimable targets of a domain; none is available for now."""
        self.unavailable.add((domain, True))
        self.desired[domain, True] = 0
        for target in self.list_targets((domain, True)):
            self.leave(target, timedelta(seconds=2.3))

    def hide_domain(self, domain):
        """Let the entries of a domain lapse, as if it was cut off."""
        hidden = [t for t in self.fleet.targets.values() if t.domain == domain]
        for target in hidden:
            remove_target(self.fleet, target.id, self.now)
        self.hidden[domain] = hidden

    def show_domain(self, domain):
        for target in self.hidden.pop(domain):
            apply_target_entry(self.fleet, target, self.now)

    # Calls of the planner

    async def order_size(
        self, service, domain, count, reclaimable, holder, fence, time_limit
    ):
        self.calls.append((self.seconds, domain, reclaimable, count, holder, fence))
        subject = (domain, reclaimable)
        if subject in self.unavailable and count > len(self.list_targets(subject)):
            return CallOutcome.UNAVAILABLE
        if self.outcome is not None:
            return self.outcome
        self.orders.append(self.calls[-1])
        change = count - self.desired[subject]
        self.desired[subject] = count
        start = self.now + self.deployment.scaling.start_time
        self.starting += [(start, subject)] * max(change, 0)
        for target in self.list_targets(subject)[: max(-change, 0)]:
            self.leave(target, timedelta(seconds=1))
        return CallOutcome.UNKNOWN if self.lost_answers else CallOutcome.ACCEPTED

    # Time

    def run(self, seconds):
        async def run_steps():
            for _ in range(timedelta(seconds=seconds) // STEP):
                self.advance()
                for planner in self.planners:
                    await planner.step()

        asyncio.run(run_steps())

    def advance(self):
        self.now += STEP
        prefill, decode = self.load(self.seconds)
        self.arrive(prefill, decode)
        for item in [item for item in self.starting if item[0] <= self.now]:
            self.starting.remove(item)
            self.join(item[1])
        for name in [n for n, at in self.gone_at.items() if at <= self.now]:
            del self.gone_at[name]
            remove_target(self.fleet, name, self.now)
        self.account(prefill, decode)

    def arrive(self, prefill, decode):
        deployment = self.deployment
        rate = deployment.tokens / deployment.prompt_tokens * decode
        expected = rate * (STEP / SECOND)
        count = int(expected) + (self.random.random() < expected % 1)
        for _ in range(count):
            tokens = deployment.prompt_tokens * self.random.uniform(0.2, 1.8)
            cost_ms = tokens / deployment.tokens_per_ms * prefill / max(decode, 0.01)
            workload.record_prompt(self.demand, cost_ms, int(tokens), self.now)
            running = self.random.randint(4, 12)
            each = deployment.sequence_ms / 22 * (1 + 0.01 * running)
            workload.record_output(self.demand, running, each, 19 * each, 20)

    def account(self, prefill, decode):
        prices, share = self.deployment.prices, self.deployment.scaling
        for (domain, reclaimable), count in self.desired.items():
            factor = share.reclaimable_price if reclaimable else 1.0
            self.price += prices[domain] * factor * count * (STEP / SECOND)
        present = sum(t.state is TargetState.SERVING for t in self.list_all())
        need = self.count_needed(prefill, decode)
        if present < need:
            self.shortages.append((self.seconds, present, need))
        self.lowest = min(self.lowest, present / need)

    def list_all(self):
        return [t for t in self.fleet.targets.values()]

    def count_needed(self, prefill, decode):
        """Return the engines without which the load of this moment has to wait."""
        rate = self.deployment.tokens / self.deployment.prompt_tokens * decode
        sequences = rate * self.deployment.sequence_ms / 1000
        # A decode engine with many sequences slows each of them down.
        decoding = max(math.ceil(sequences / min(self.deployment.slots, 50)), 1)
        return math.ceil(self.deployment.load * prefill) + decoding

    @property
    def price_share(self):
        """Return the price since its restart, as a share of the initial targets'."""
        first = sum(
            self.deployment.prices[domain] * count
            for (domain, _), count in self.deployment.targets.items()
        )
        return self.price / (first * (self.seconds - self.priced_from))

    def restart_price(self):
        """Leave out of the price what was before, as the first window passes."""
        self.price, self.priced_from = 0.0, self.seconds
