"""Check each forwarding decision; they are pure functions over tables."""

from dataclasses import replace
from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.forwarding import (
    admission,
    fleet,
    loads,
    placement,
    retries,
)
from galenapass.forwarding.events import EventStream
from galenapass.forwarding.loads import Load
from galenapass.forwarding.requests import Part, Prompt
from galenapass.forwarding.routes import Repeat, RouteTable, find_route
from galenapass.tables.targets import Role, TargetState
from galenapass.verdicts import Reason, Run, Verdict
from tests.forwarding_fakes import (
    MS,
    make_fleet,
    make_prompt,
    make_request,
    make_route,
    make_target,
)

NOW = 10_000 * MS


class TestRoutes(TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        short, long = make_route(prefix="/a/"), make_route(prefix="/a/b/")
        table = RouteTable(1, {"a.example": (short, long)})
        self.assertIs(long, find_route(table, "a.example", "/a/b/c"))
        self.assertIs(short, find_route(table, "a.example", "/a/c"))
        self.assertIsNone(find_route(table, "b.example", "/a/c"))
        self.assertIsNone(find_route(table, "a.example", "/b"))

    def test_an_older_configuration_is_not_accepted(self):
        tables = make_fleet()
        self.assertTrue(fleet.accept_routes(tables, RouteTable(5)))
        self.assertFalse(fleet.accept_routes(tables, RouteTable(4)))
        self.assertFalse(fleet.accept_routes(tables, RouteTable(5)))
        self.assertEqual(5, tables.routes.version)


class TestPlacement(TestCase):
    def choose(self, tables, prompt):
        eligible = placement.list_eligible(tables.targets.values(), "lm", None, set())
        return placement.choose_prefill(
            eligible, prompt, loads.digest_parts(prompt)[:-1], tables.view(NOW)
        )

    def test_a_prompt_goes_to_the_engine_that_caches_its_prefix(self):
        tables = make_fleet(make_target("e1"), make_target("e2"))
        prompt = make_prompt(shared=10_000)
        loads.record_parts(
            tables.load_of(tables.targets["e2"]),
            loads.digest_parts(prompt)[:-1],
            500_000,
            NOW,
        )
        choice = self.choose(tables, prompt)
        self.assertEqual("e2", choice.target.id)
        self.assertEqual(1000, choice.uncached_tokens)

    def test_a_prefix_is_fetched_once_it_is_prefilled(self):
        tables = make_fleet(make_target("e1"), make_target("e2"))
        home, other = (tables.targets[name] for name in ("e1", "e2"))
        prompt = make_prompt(shared=10_000)
        parts = loads.digest_parts(prompt)
        eligible = list(tables.targets.values())
        tables.load_of(home).work_ms = 2000.0
        fleet.record_target_parts(tables, home, parts, NOW)
        for later, cache_source, uncached in (
            (timedelta(0), None, 11_000),
            (loads.PREFILL_TIME, home, 1000),
        ):
            choice = placement.choose_prefill(
                eligible, prompt, parts[:-1], tables.view(NOW + later), eligible
            )
            self.assertEqual(
                (other, cache_source, uncached),
                (choice.target, choice.cache_source, choice.uncached_tokens),
            )

    def test_a_failing_engine_is_no_cache_source(self):
        tables = make_fleet(make_target("e1"), make_target("e2"))
        home, other = (tables.targets[name] for name in ("e1", "e2"))
        prompt = make_prompt(shared=10_000)
        fleet.record_target_parts(tables, home, loads.digest_parts(prompt), NOW)
        later = NOW + loads.PREFILL_TIME
        loads.record_reachability(tables.load_of(home).failures, False, later)
        choice = placement.choose_prefill(
            [other],
            prompt,
            loads.digest_parts(prompt)[:-1],
            tables.view(later),
            [home, other],
        )
        self.assertIsNone(choice.cache_source)

    def test_every_daemon_prefills_a_new_prefix_at_the_same_engine(self):
        prompt = make_prompt(shared=10_000)
        chosen = {
            self.choose(
                make_fleet(*(make_target(n) for n in names), domain="a"), prompt
            ).target.id
            for names in (("e1", "e2", "e3"), ("e3", "e1", "e2"))
        }
        self.assertEqual(1, len(chosen))

    def test_a_domain_is_avoided_after_one_failed_connection(self):
        tables = make_fleet(make_target("far", domain="b"), make_target("near"))
        cut = tables.domain_failures.setdefault("b", loads.FailureRate())
        loads.record_reachability(cut, False, NOW)
        choice = self.choose(tables, make_prompt())
        self.assertEqual("near", choice.target.id)

    def test_decode_engines_prefill_only_when_no_other_engine_can(self):
        tables = make_fleet(make_target("e1"), make_target("d1", Role.DECODE))
        tables.load_of(tables.targets["e1"]).work_ms = 3000.0
        self.assertEqual("e1", self.choose(tables, make_prompt(own=100)).target.id)
        failing = tables.load_of(tables.targets["e1"]).failures
        loads.record_reachability(failing, False, NOW)
        self.assertEqual("d1", self.choose(tables, make_prompt(own=100)).target.id)

    def test_prompts_are_not_prefilled_while_every_decode_engine_is_down(self):
        # A domain that was cut off prefilled each prompt in vain, and its clients were
        # refused only after a connection timeout (khomsabai-post inc-838c).
        tables = make_fleet(
            make_target("e1"), make_target("d1", Role.DECODE, domain="b")
        )
        serving = list(tables.targets.values())
        self.assertFalse(placement.lacks_decode_engine(serving, tables.view(NOW)))
        cut = tables.domain_failures.setdefault("b", loads.FailureRate())
        for _ in range(4):
            loads.record_reachability(cut, False, NOW)
        self.assertTrue(placement.lacks_decode_engine(serving, tables.view(NOW)))
        later = NOW + 300 * MS
        self.assertTrue(placement.lacks_decode_engine(serving, tables.view(later)))
        loads.record_reachability(cut, True, later)
        self.assertFalse(placement.lacks_decode_engine(serving, tables.view(later)))

    def test_one_engine_that_fails_is_not_taken_for_its_domain(self):
        tables = make_fleet(
            *(make_target(f"d{n}", Role.DECODE, domain="b") for n in range(3)),
            make_target("e1"),
        )
        serving = list(tables.targets.values())
        cut = tables.domain_failures.setdefault("b", loads.FailureRate())
        for name, is_lost in (("d0", False), ("d0", False), ("d1", True)):
            failing = tables.load_of(tables.targets[name]).failures
            loads.record_reachability(failing, False, NOW)
            loads.record_reachability(cut, False, NOW)
            view = tables.view(NOW)
            self.assertEqual(is_lost, placement.lacks_decode_engine(serving, view))

    def fail_engine(self, tables, name, count=1):
        """Record attempts that reached nobody, as a scheduler does."""
        target = tables.targets[name]
        for _ in range(count):
            loads.record_reachability(tables.load_of(target).failures, False, NOW)
            loads.record_reachability(tables.domain_failures_of(target), False, NOW)

    def test_a_cut_domain_is_seen_once_a_second_engine_fails(self):
        # Many attempts at one engine were on their way as its domain was cut off.
        for count in (1, 5, 20):
            tables = make_fleet(
                *(make_target(f"d{n}", Role.DECODE, domain="b") for n in range(3)),
                make_target("e1"),
            )
            serving = list(tables.targets.values())
            for name, attempts, is_lost in (("d0", count, False), ("d1", 1, True)):
                self.fail_engine(tables, name, attempts)
                view = tables.view(NOW)
                self.assertEqual(is_lost, placement.lacks_decode_engine(serving, view))

    def test_one_target_elsewhere_in_a_domain_is_not_taken_for_it(self):
        # The engines that decode were refused, as the only target that failed is none
        # of them: one of another version, or of another service.
        for changes in ({"version": "v1.1"}, {"role": Role.MIXED, "service": "desk"}):
            values = {"role": Role.DECODE, "domain": "b", "version": "v1"}
            tables = make_fleet(
                make_target("e1", version="v1"),
                make_target("d0", **values),
                make_target("d1", **(values | changes)),
            )
            self.fail_engine(tables, "d1", 3)
            serving = placement.list_eligible(
                tables.targets.values(), "lm", None, set(), version="v1"
            )
            self.assertEqual(["e1", "d0"], [target.id for target in serving])
            targets = tables.targets.values()
            view = tables.view(NOW)
            self.assertFalse(placement.lacks_decode_engine(serving, view, targets))

    def test_an_engine_that_left_is_not_taken_for_its_domain(self):
        # It came back with its failures forgotten, which no target explained then.
        def restart(tables, crashed):
            again = replace(crashed, incarnation="2")
            fleet.apply_target_entry(tables, again, NOW)

        def leave(tables, crashed):
            fleet.remove_target(tables, crashed.id, NOW)

        def change_role(tables, crashed):
            fleet.apply_target_entry(tables, replace(crashed, role=Role.PREFILL), NOW)

        for change in (restart, leave, change_role):
            tables = make_fleet(
                make_target("e1", domain="b"),
                make_target("d0", Role.DECODE, domain="b"),
                make_target("d1", Role.DECODE, domain="b"),
            )
            self.fail_engine(tables, "d0", 3)
            change(tables, tables.targets["d0"])
            serving = list(tables.targets.values())
            view = tables.view(NOW)
            self.assertFalse(
                placement.lacks_decode_engine(serving, view, serving), change
            )

    def test_a_cut_domain_stays_cut_as_one_of_its_engines_leaves(self):
        tables = make_fleet(
            make_target("e1"),
            *(make_target(f"d{n}", Role.DECODE, domain="b") for n in range(3)),
        )
        self.fail_engine(tables, "d0", 3)
        self.fail_engine(tables, "d1")
        fleet.remove_target(tables, "d0", NOW)
        serving = list(tables.targets.values())
        view = tables.view(NOW)
        self.assertTrue(placement.lacks_decode_engine(serving, view, serving))

    def test_a_service_without_a_decode_engine_is_detected(self):
        tables = make_fleet(make_target("e1"))
        view = tables.view(NOW)
        self.assertTrue(placement.lacks_decode_engine([tables.targets["e1"]], view))
        mixed = make_target("m1", Role.MIXED)
        self.assertFalse(placement.lacks_decode_engine([mixed], view))
        self.assertFalse(placement.lacks_decode_engine([], view))

    def test_decoding_stays_in_the_domain_of_the_kv_cache(self):
        tables = make_fleet(
            make_target("d1", Role.DECODE, "a"), make_target("d2", Role.DECODE, "b")
        )
        source = make_target("e1", domain="b")
        eligible = list(tables.targets.values())
        choice = placement.choose_decode(eligible, source, tables.view(NOW))
        self.assertEqual("d2", choice.target.id)

    def test_leaving_targets_get_nothing(self):
        leaving = make_target("e1", state=TargetState.LEAVING)
        self.assertEqual([], placement.list_eligible([leaving], "lm", None, set()))

    def test_tried_targets_come_last_but_are_better_than_none(self):
        first, second = make_target("e1"), make_target("e2")
        eligible = placement.list_eligible([first, second], "lm", None, {"e1"})
        self.assertEqual([second], eligible)
        self.assertEqual([first], placement.list_eligible([first], "lm", None, {"e1"}))


class TestLoads(TestCase):
    @given(st.lists(st.tuples(st.integers(0, 20), st.integers(1, 900)), max_size=60))
    def test_cached_parts_fit_the_capacity(self, parts):
        load = Load()
        sizes = {}
        for digest, tokens in parts:
            tokens = sizes.setdefault(digest, tokens)
            loads.record_parts(load, (loads.PartDigest(digest, tokens),), 1000, NOW)
            self.assertLessEqual(load.cached_tokens, 1000)
            self.assertEqual(sum(load.cached.values()), load.cached_tokens)

    def test_parts_of_single_requests_evict_shared_ones(self):
        # When they were left out, the local view was wrong for a fifth of the cached
        # tokens on one day.
        tables = make_fleet(make_target("e1"))
        target = tables.targets["e1"]
        for n in range(10):
            prompt = make_prompt(shared=10_000, own=60_000, name=f"p{n}")
            fleet.record_target_parts(tables, target, loads.digest_parts(prompt), NOW)
        load = tables.load_of(target)
        cached = [
            n
            for n in range(10)
            if loads.digest_part(Part(f"p{n}", 1)).digest in load.cached
        ]
        self.assertEqual([3, 4, 5, 6, 7, 8, 9], cached)
        self.assertEqual(set(load.cached), set(load.prefill_started_at))

    def test_attention_time_grows_faster_than_the_tokens(self):
        short, long = (loads.estimate_attention(n, n) for n in (5000, 50_000))
        self.assertAlmostEqual(100, long / short)
        self.assertEqual(0.0, loads.estimate_attention(50_000, 0))

    @given(st.lists(st.floats(1, 20_000), min_size=1, max_size=200))
    def test_a_rate_recovers_from_slow_samples(self, samples):
        load = Load()
        for took in samples:
            loads.record_prefill(load, 4000, took, 0.0, NOW)
        self.assertGreaterEqual(load.rate, loads.MIN_PREFILL_RATE)
        for _ in range(20):
            loads.record_prefill(load, 4000, 4000 / 55, 0.0, NOW)
        self.assertGreater(load.rate, 40.0)

    def test_the_rate_of_busy_engines_is_estimated_over_all_of_them(self):
        # With 0.3 samples per second from each of 18 engines that were never idle, each
        # was assumed to prefill 55 tokens/ms for 18 s instead of 112; the estimated
        # prefill load was 18 of 23 engines (cwpc-shared-grown trouble-1).
        random, service = Random(1), loads.PrefillRate()
        for _ in range(60):
            queued_ms = random.choice((0.0, 0.0, 30.0, 90.0))
            loads.record_service_rate(service, 5000, 5000 / 112 + queued_ms)
        self.assertGreater(service.rate, 90.0)
        self.assertGreater(service.busy_rate, 90.0)
        tables = make_fleet(make_target("e1"), make_target("e2"))
        tables.rates["lm"] = service
        slow = tables.load_of(tables.targets["e2"])
        slow.rate, slow.samples = 20.0, loads.MIN_ENGINE_SAMPLES
        view = tables.view(NOW)
        rates = [view.prefill_rate_of(tables.targets[name]) for name in ("e1", "e2")]
        self.assertEqual(service.busy_rate, rates[0])
        # An engine's own samples only determine its rate relative to the others.
        self.assertAlmostEqual(20.0 / service.rate, rates[1] / rates[0])

    def test_the_fixed_time_of_a_prefill_does_not_affect_the_rate(self):
        # Every prefill took 31 ms more; the estimated rate was 45 tokens/ms instead of
        # 112, and 18 of 23 engines were assigned to prefill (cwpc-shared-grown
        # trouble-1).
        random, known = Random(2), loads.PrefillRate()
        for _ in range(150):
            tokens = random.choice((300, 300, 400, 2000, 5000))
            took = 31.0 + tokens / 112 + random.choice((0.0, 5.0, 40.0))
            loads.record_service_rate(known, tokens, took)
        self.assertAlmostEqual(31.0, known.base_ms, delta=8.0)
        self.assertAlmostEqual(112.0, known.busy_rate, delta=35.0)
        self.assertLess(known.rate, 0.8 * known.busy_rate)

    def test_prompts_cached_unexpectedly_do_not_distort_the_rate(self):
        # Samples that were many times too fast reduced an estimated prefill load of 1.1
        # engines to 0.6, and two of five engines prefilled where three were needed
        # (cwpc-shared quiet-1).
        random, known = Random(3), loads.PrefillRate()
        for _ in range(300):
            queued_ms = random.choice((0.0, 0.0, 30.0, 90.0))
            took = 32.0 if random.random() < 0.1 else 31.0 + 4000 / 112 + queued_ms
            loads.record_service_rate(known, 300, 31.0 + 300 / 112 + queued_ms)
            loads.record_service_rate(known, 4000, took)
        self.assertAlmostEqual(112.0, known.busy_rate, delta=35.0)

    def test_uncached_shared_parts_do_not_count_as_lasting_work(self):
        # The prefill load was 18 engines at 1.8 s and 5 engines later, because all
        # shared parts were prefilled for the first time (cwpc-shared quiet-1).
        known = loads.PrefillRate(busy_rate=112.0)
        prompt = Prompt(17_020, 300, (Part("book", 13_300), Part("own", 3_720)))
        work_ms = loads.estimate_work(known, prompt, 3_720)
        self.assertLess(work_ms, 0.4 * 17_020 / 112)
        self.assertGreater(work_ms, 3_720 / 112)

    def test_failures_decay(self):
        failure_rate = loads.FailureRate()
        loads.record_reachability(failure_rate, False, NOW)
        first = loads.estimate_failures(failure_rate, NOW)
        later = loads.estimate_failures(failure_rate, NOW + loads.FAILURE_HALF_LIFE)
        self.assertAlmostEqual(first / 2, later)


class TestRetryCosts(TestCase):
    def test_a_try_counts_each_send(self):
        request = make_request()
        self.assertEqual(1, request.next_retry_cost)
        request.prefills, request.sends = 1, 1
        self.assertEqual(2, request.next_retry_cost)


class TestRetries(TestCase):
    @given(
        st.sampled_from(Repeat),
        st.sampled_from(Run),
        st.sampled_from(Reason),
        st.integers(0, 4),
    )
    def test_only_repeatable_requests_are_resent_after_a_possible_run(
        self, repeat, run, reason, runs
    ):
        request = make_request(route=make_route(repeat=repeat))
        request.runs = request.sends = runs
        obstacle = retries.find_obstacle(request, Verdict(run, reason), 0 * MS)
        if run is not Run.NOT_RUN and repeat is Repeat.ONCE:
            self.assertIsNotNone(obstacle)
        if run is not Run.NOT_RUN and runs >= request.route.attempts:
            self.assertIsNotNone(obstacle)

    @given(st.integers(0, 3))
    def test_not_run_is_reported_only_without_a_run(self, runs):
        request = make_request()
        request.runs = runs
        failure = Verdict(Run.NOT_RUN, Reason.TARGET_REFUSED)
        final = retries.make_final_verdict(request, failure, "why")
        self.assertEqual(runs == 0, final.run is Run.NOT_RUN)
        self.assertIsNotNone(final.retry_after)


class TestAdmission(TestCase):
    def test_a_refused_client_retries_within_a_third_of_its_time(self):
        request = make_request(patience=3000)
        for seed in range(50):
            after = admission.suggest_retry(request, 9000.0, 0 * MS, Random(seed))
            self.assertLessEqual(after, 1000 * MS)

    def test_requests_that_cannot_meet_their_deadline_are_found(self):
        engine = make_target("e1")
        choose = lambda request: placement.Choice(engine, 400.0, 0.0, 0, "")  # noqa: E731
        ordered = [make_request(str(n), patience=1000) for n in range(4)]
        unservable = admission.find_unservable(ordered, choose, 0 * MS)
        self.assertEqual(["2", "3"], [request.id for request in unservable])


class TestEvents(TestCase):
    STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 5\ndata: c\n\n"

    @given(st.lists(st.integers(1, len(STREAM)), max_size=10))
    def test_chunk_boundaries_make_no_difference(self, cuts):
        events, taken, start = EventStream(None), b"", 0
        for end in [*sorted(cuts), len(self.STREAM)]:
            taken += events.feed(self.STREAM[start:end])
            start = max(start, end)
        self.assertEqual(self.STREAM, taken)
        self.assertTrue(events.is_complete)

    def test_a_resumed_stream_repeats_nothing(self):
        events = EventStream(2)
        self.assertEqual(b"id: 5\ndata: c\n\n", events.feed(self.STREAM))

    def test_a_stream_that_ends_within_an_event_is_incomplete(self):
        events = EventStream(None)
        events.feed(self.STREAM[:-1])
        self.assertFalse(events.is_complete)


class TestFleet(TestCase):
    def test_an_entry_that_expired_in_an_outage_may_return(self):
        tables = make_fleet(make_target("e1"), make_target("e2"))
        fleet.start_return_grace(tables, NOW)
        fleet.apply_listing(tables, [make_target("e1")], NOW)
        self.assertIn("e2", tables.targets)
        later = NOW + fleet.RETURN_GRACE
        self.assertEqual(["e2"], fleet.drop_overdue(tables, later))
        self.assertEqual({"e1"}, set(tables.targets))

    def test_a_leaving_target_is_dropped_at_once(self):
        tables = make_fleet(make_target("e1", state=TargetState.LEAVING))
        fleet.start_return_grace(tables, NOW)
        self.assertEqual("gone", fleet.remove_target(tables, "e1", NOW))
        self.assertEqual({}, tables.targets)

    def test_a_restarted_target_has_an_empty_cache(self):
        tables = make_fleet(make_target("e1", incarnation="1"))
        load = tables.load_of(tables.targets["e1"])
        loads.record_parts(load, (loads.PartDigest(1, 10),), 100, NOW)
        effect = fleet.apply_target(tables, make_target("e1", incarnation="2"), NOW)
        self.assertEqual("restarted", effect)
        self.assertEqual({}, tables.load_of(tables.targets["e1"]).cached)
