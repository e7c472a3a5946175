"""Replay request loads for the forwarding decisions on a virtual clock.

Each test replays a load with and without a decision and compares the answers within
their latency objective, or the tokens prefilled.
"""

from dataclasses import dataclass
from random import Random

from testtools import TestCase

from galenapass.forwarding import admission, loads, placement
from tests.forwarding_fakes import (
    MS,
    make_fleet,
    make_prompt,
    make_request,
    make_target,
)

PREFILL_RATE = 60.0  # tokens per millisecond
ENGINES = 7


@dataclass
class ReplayResult:
    """Requests on time, late and refused in a replay, and tokens prefilled."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    tokens: int = 0


class Replay:
    """Replay of requests at engines that prefill one prompt after the other."""

    def __init__(self, order=None, fetches=True):
        targets = [make_target(f"e{n}", domain="abc"[n % 3]) for n in range(ENGINES)]
        self.fleet = make_fleet(*targets)
        self.order = order or admission.order_waiting
        self.fetches = fetches
        self.waiting, self.busy, self.free_at = [], [], {t.id: 0.0 for t in targets}
        self.result = ReplayResult()

    def play(self, arrivals):
        """Replay (millisecond, request) pairs and return the result."""
        arrivals = sorted(arrivals, key=lambda pair: pair[0])
        for now in range(0, 60_000, 5):
            while arrivals and arrivals[0][0] <= now:
                self.waiting.append(arrivals.pop(0)[1])
            self._finish(now)
            self._start(now)
            if not arrivals and not self.waiting and not self.busy:
                return self.result
        return self.result

    def _finish(self, now):
        for entry in [entry for entry in self.busy if entry[0] <= now]:
            self.busy.remove(entry)
            end, request, load, cost = entry
            load.prompts -= 1
            load.work_ms = max(load.work_ms - cost, 0.0)
            is_on_time = (
                end * MS + admission.FIRST_OUTPUT_MS * MS <= request.soft_deadline
            )
            self.result.on_time += is_on_time
            self.result.late += not is_on_time

    def _choose(self, request, now):
        eligible = list(self.fleet.targets.values())
        view = self.fleet.view(now * MS)
        cache_sources = eligible if self.fetches else []
        return placement.choose_prefill(
            eligible, request.prompt, request.shared_parts, view, cache_sources
        )

    def _start(self, now):
        if not self.waiting:
            return
        # A choice is valid until a prompt is started, which changes the tables.
        chosen = {}

        def choose(request):
            if request.id not in chosen:
                chosen[request.id] = self._choose(request, now)
            return chosen[request.id]

        left = []
        for request in self.order(self.waiting, choose, now * MS):
            choice = choose(request)
            load = self.fleet.load_of(choice.target)
            unservable = admission.is_unservable(request, choice.finish_ms, now * MS)
            if unservable or not admission.has_capacity(load):
                left.append(request)
                continue
            chosen.clear()
            load.prompts += 1
            load.work_ms += choice.cost_ms
            self.result.tokens += choice.uncached_tokens
            loads.record_parts(load, request.parts, 500_000, now * MS)
            start = max(self.free_at[choice.target.id], now)
            end = start + choice.uncached_tokens / PREFILL_RATE + choice.fixed_ms
            self.free_at[choice.target.id] = end
            self.busy.append((end, request, load, choice.cost_ms))
        for request in admission.find_unservable(left, choose, now * MS):
            left.remove(request)
            self.result.refused += 1
        self.waiting = left


def make_prefix_load(seed, rate=40.0, seconds=5, prefixes=40):
    """Return arrivals of long prompts that share a few long prefixes."""
    random, now, arrivals = Random(seed), 0.0, []
    while now < seconds * 1000:
        now += random.expovariate(rate / 1000)
        name = f"p{random.randrange(prefixes)}"
        prompt = make_prompt(13_000, random.choice((1000, 4000, 9000)), name)
        arrivals.append((now, make_request(f"r{now}", prompt, int(now))))
    return arrivals


def make_mixed_burst(seed, seconds=3):
    """Return a burst beyond the capacity: long prompts and many short ones."""
    random, now, arrivals = Random(seed), 0.0, []
    while now < seconds * 1000:
        now += random.expovariate(0.2)
        own = 12_000 if random.random() < 0.35 else 800
        prompt = make_prompt(0, own, f"n{now}")
        arrivals.append((now, make_request(f"r{now}", prompt, int(now))))
    return arrivals


def play_engine(seed, rank, seconds=20):
    """Replay prompts of heavy-tailed length at one engine; return how many are late."""
    random, now, arrivals = Random(seed), 0.0, []
    while now < seconds * 1000:
        now += random.expovariate(1 / 65)
        own = min(int(random.lognormvariate(7.6, 1.0)), 50_000)
        prompt = make_prompt(0, own, f"n{now}")
        arrivals.append(make_request(f"r{now}", prompt, int(now)))
    waiting, free_at, late = [], 0.0, 0
    while arrivals or waiting:
        while arrivals and arrivals[0].arrived / MS <= free_at:
            request = arrivals.pop(0)
            cost = request.prompt.tokens / PREFILL_RATE
            waiting.append((rank(request, cost, request.arrived), request, cost))
        if not waiting:
            free_at = arrivals[0].arrived / MS
            continue
        first = min(waiting, key=lambda entry: (entry[0], entry[1].arrived))
        waiting.remove(first)
        free_at += first[2]
        late += free_at + admission.FIRST_OUTPUT_MS > first[1].soft_deadline / MS
    return late


def order_by_arrival(waiting, choose, now):
    return sorted(waiting, key=lambda request: request.arrived)


class TestLoads(TestCase):
    def test_prefixes_stay_at_the_engine_that_caches_them_under_load(self):
        # With spills that only covered the cost of their own prompt, 1.7 to 5 million
        # tokens were prefilled again on the users' days.
        for seed in range(2):
            cached = Replay().play(make_prefix_load(seed))
            weight = placement.SPILL_WEIGHT
            placement.SPILL_WEIGHT = 0.0
            try:
                spilled = Replay().play(make_prefix_load(seed))
            finally:
                placement.SPILL_WEIGHT = weight
            self.assertLess(cached.tokens, spilled.tokens)
            self.assertGreaterEqual(cached.on_time, spilled.on_time)

    def test_a_burst_beyond_the_capacity_is_served_shortest_and_on_time_first(self):
        for seed in range(2):
            ordered = Replay().play(make_mixed_burst(seed))
            by_arrival = Replay(order_by_arrival).play(make_mixed_burst(seed))
            self.assertGreater(ordered.on_time, 1.1 * by_arrival.on_time)

    def test_parts_cached_by_other_engines_are_fetched_under_load(self):
        # Spilled prompts prefilled 2.4 million shared tokens again on a users' day.
        for seed in range(2):
            load = {"rate": 90.0, "prefixes": 12}
            fetched = Replay().play(make_prefix_load(seed, **load))
            prefilled = Replay(fetches=False).play(make_prefix_load(seed, **load))
            self.assertLess(fetched.tokens, prefilled.tokens)
            self.assertGreater(fetched.on_time, prefilled.on_time)

    def test_short_prompts_overtake_long_ones_at_a_busy_engine(self):
        # Half of the long prompts were late on the users' days, queued behind longer
        # ones.
        for seed in range(3):
            by_rank = play_engine(seed, admission.rank_prefill)
            by_arrival = play_engine(seed, lambda request, cost, now: 0)
            self.assertLess(by_rank, 0.8 * by_arrival)

    def test_a_light_load_refuses_nothing(self):
        result = Replay().play(make_prefix_load(1, rate=10.0))
        self.assertEqual(0, result.refused)
        self.assertLess(result.late, 0.02 * result.on_time)


class TestReachability(TestCase):
    def test_a_crashed_target_does_not_mark_its_domain_down(self):
        # Each attempt to reach crashed engines marked their domain down, and with it
        # the engine that had taken over their role.
        domain, load = loads.FailureRate(), loads.Load()
        loads.record_miss(load, domain, 1000 * MS)
        self.assertGreater(domain.share, placement.DOWN_FAILURE_SHARE)
        for at in (1100, 1200):
            loads.record_reachability(domain, True, at * MS)
        loads.record_miss(load, domain, 1300 * MS)
        self.assertLess(domain.share, placement.DOWN_FAILURE_SHARE)
        self.assertEqual(1000 * MS, load.silent_since)

    def test_a_domain_that_is_cut_off_is_down(self):
        domain = loads.FailureRate()
        for at in (1000, 1100):
            loads.record_reachability(domain, True, at * MS)
        for number in range(2):
            loads.record_miss(loads.Load(), domain, (1200 + number) * MS)
        self.assertGreater(domain.share, placement.DOWN_FAILURE_SHARE)
