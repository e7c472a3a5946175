"""Test a daemon on the platform against stand-ins of its published protocol."""

import asyncio
import json
from datetime import timedelta

import xxhash
from eliot.testing import MemoryLogger, swap_logger
from testtools import TestCase

from experiments.soak.arrivals import list_retries
from galenapass.forwarding import loads
from galenapass.forwarding.requests import Part, Prompt
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from stand_ins.platform_routes import CONFIGURATION, make_route
from stand_ins.runner import STREAM_BODY
from tests.platform_fleet import run

WINDOW = timedelta(seconds=10)


def count_retries(fleet):
    """Return the arrivals beyond the first of each request at all engines."""
    engines = (fleet.prefill, *fleet.decode_runners)
    return len(list_retries(one for engine in engines for one in engine.arrivals))


def run_logged(scenario, **options):
    logger = MemoryLogger()
    previous = swap_logger(logger)
    try:
        run(scenario, **options)
    finally:
        swap_logger(previous)
    return [m for m in logger.messages if "text" in m]


class TestCalls(TestCase):
    def test_a_call_reaches_a_target_unchanged(self):
        async def scenario(fleet):
            path = "/seats/a%2Fb?x=1&y=%20"
            status, body, headers = await fleet.send(path, "POST", b"seat")
            self.assertEqual(200, status)
            self.assertTrue(body.endswith(f"POST {path}".encode()))
            self.assertIn("X-Galenapass-Response-Signature", headers)

        run(scenario)

    def test_a_call_that_may_run_again_moves_to_another_target(self):
        async def scenario(fleet):
            fleet.plain.faults.status = 500
            for _ in range(6):
                status, body, _ = await fleet.send("/seats/1")
                self.assertEqual((200, True), (status, body.startswith(b"s2")))

        run(scenario)

    def test_a_call_that_may_run_once_is_sent_once(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.crash = True
            status, _, _ = await fleet.send("/hold/1", "POST")
            self.assertEqual(502, status)
            self.assertEqual(1, len(fleet.plain.ran + fleet.second_plain.ran))

        run(scenario)

    def test_a_refused_call_gets_a_retry_after(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.shed = True
            status, _, headers = await fleet.send("/hold/1", "POST")
            self.assertEqual(503, status)
            self.assertGreater(float(headers["Retry-After"]), 0)
            self.assertEqual([], fleet.plain.ran + fleet.second_plain.ran)

        run(scenario)

    def test_an_answer_to_another_request_is_not_passed_on(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.wrong_id = True
            status, body, _ = await fleet.send("/hold/1", "POST")
            self.assertEqual((502, b""), (status, body))

        run(scenario)

    def test_an_answer_without_proof_is_not_passed_on(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.unsigned = True
            status, _, _ = await fleet.send("/seats/1")
            self.assertEqual(502, status)

        run(scenario)

    def test_a_call_to_a_slow_target_ends_at_its_deadline(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.delay_seconds = 3.0
            status, _, _ = await fleet.send(
                "/hold/1", "POST", X_Galenapass_Deadline_Ms="300"
            )
            self.assertEqual(504, status)

        run(scenario)

    def test_a_path_without_a_route_is_not_found(self):
        async def scenario(fleet):
            status, _, _ = await fleet.send("/unknown/1")
            self.assertEqual(404, status)

        run(scenario)


class TestStreams(TestCase):
    def test_a_prefilled_kv_cache_is_handed_to_a_decode_engine(self):
        async def scenario(fleet):
            status, body, _ = await fleet.send("/notes/1", "POST")
            self.assertEqual((200, STREAM_BODY), (status, body))
            (sent,) = fleet.decode.received + fleet.second_decode.received
            source = sent.headers["X-Galenapass-Kv-Source"]
            self.assertTrue(source.startswith(fleet.prefill.address))

        run(scenario)

    def test_a_broken_stream_goes_on_at_another_target(self):
        async def scenario(fleet):
            fleet.decode.faults.break_after = 2
            for _ in range(3):
                status, body, _ = await fleet.send("/notes/1", "POST")
                self.assertEqual((200, STREAM_BODY), (status, body))

        run(scenario)

    def test_a_stream_that_may_not_resume_never_looks_complete(self):
        async def scenario(fleet):
            for runner in (fleet.decode, fleet.second_decode):
                runner.faults.break_after = 2
            try:
                _, body, _ = await fleet.send("/once/1", "POST")
            except Exception as error:
                self.assertIn("Payload", type(error).__name__)
            else:
                self.fail(f"the stream looks complete: {body}")
            self.assertEqual(1, len(fleet.decode.ran + fleet.second_decode.ran))

        run(scenario)

    def test_a_lost_kv_cache_is_prefilled_again(self):
        async def scenario(fleet):
            fleet.decode.faults.lose_handles = True
            for _ in range(3):
                status, body, _ = await fleet.send("/once/1", "POST")
                self.assertEqual((200, STREAM_BODY), (status, body))

        run(scenario)

    def test_each_send_of_a_retry_counts_against_the_budget(self):
        # A retry after an accepted prefill sends two requests. Counted as one, they
        # exceeded the retry budget: 189 retries where 171 were allowed
        # (khomsabai-post trouble-1 --seed 88570483166).
        async def scenario(fleet):
            accounts = fleet.daemon.retry_accounts
            for runner in (fleet.decode, fleet.second_decode):
                runner.faults.shed = True
            for fixed in range(5):
                accounts.terms = RetryBudgetTerms(0.0, fixed, WINDOW)
                accounts._budgets.clear()
                before = count_retries(fleet)
                status, _, _ = await fleet.send("/once/1", "POST")
                self.assertEqual(503, status)
                self.assertLessEqual(count_retries(fleet) - before, fixed)
            self.assertGreater(count_retries(fleet), 2)

        run(scenario)

    def test_a_starting_daemon_fetches_the_cached_parts_of_engines(self):
        # After a power loss every prefix was prefilled again, often at another engine.
        async def scenario(fleet):
            load = fleet.daemon.fleet.load_of(fleet.daemon.fleet.targets["e1"])
            await fleet.wait_for(lambda: load.cached)
            self.assertEqual(1000, load.cached_tokens)
            prompt = Prompt(1200, 4, (Part("aa", 1000), Part("bb", 200)))
            parts = loads.digest_parts(prompt)[:-1]
            self.assertEqual(200, loads.count_uncached(load, prompt, parts))

        run(scenario, cached_prompts={"aa": 1000})

    def test_a_late_prefill_is_not_sent_twice(self):
        # A prefill later than its estimate was cancelled and sent again, which delayed
        # every engine further (khomsabai-post quiet-1).
        async def scenario(fleet):
            fleet.prefill.faults.delay_seconds = 1.0
            status, _, _ = await fleet.send("/notes/1", "POST")
            self.assertEqual(200, status)
            self.assertEqual(1, len(fleet.prefill.received))

        run(scenario)

    def test_a_disconnected_client_ends_the_work(self):
        async def scenario(fleet):
            fleet.prefill.faults.delay_seconds = 1.5
            pending = asyncio.create_task(fleet.send("/notes/1", "POST"))
            await fleet.wait_for(lambda: fleet.prefill.received)
            pending.cancel()
            await fleet.wait_for(lambda: not fleet.daemon.request_handler.open, 1.0)
            self.assertEqual([], fleet.decode.ran + fleet.second_decode.ran)

        run(scenario)

    def test_a_request_that_crashes_two_targets_is_refused_everywhere(self):
        async def scenario(fleet):
            for runner in (fleet.decode, fleet.second_decode):
                runner.faults.close_port = True
            await fleet.send("/notes/1", "POST", b"poison")
            ran = len(fleet.decode.ran + fleet.second_decode.ran)
            self.assertEqual(2, ran)
            await fleet.wait_for(
                lambda: "front-1" in fleet.store.objects.get("crashes", {})
            )
            status, _, _ = await fleet.send("/notes/1", "POST", b"poison")
            self.assertEqual(503, status)
            self.assertEqual(ran, len(fleet.decode.ran + fleet.second_decode.ran))

        run(scenario)

    def test_a_request_that_crashed_targets_of_a_peer_is_refused(self):
        async def scenario(fleet):
            await fleet.send("/notes/1", "POST", b"well")
            path = b"POST /notes/1\n"
            fingerprint = xxhash.xxh3_128_hexdigest(path + b"well")
            rows = [
                {
                    "fingerprint": fingerprint,
                    "crashes": [["d1", "1"], ["d2", "1"]],
                    "cleared": [],
                }
            ]
            fleet.store.put("crashes", "front-2", {"suspects": rows})
            await asyncio.sleep(0.2)
            status, _, _ = await fleet.send("/notes/1", "POST", b"well")
            self.assertEqual(503, status)

        run(scenario)

    def test_a_broken_answer_alone_is_no_crash(self):
        async def scenario(fleet):
            for runner in (fleet.decode, fleet.second_decode):
                runner.faults.crash = True
            await fleet.send("/notes/1", "POST", b"poison")
            self.assertNotIn("crashes", fleet.store.objects)

        run(scenario)


class TestConfiguration(TestCase):
    def test_a_new_configuration_is_in_force_at_once(self):
        async def scenario(fleet):
            routes = [
                *CONFIGURATION["routes"],
                make_route("/new/", "idempotent", "desk"),
            ]
            spec = CONFIGURATION | {"version": 4, "routes": routes}
            fleet.store.put("config", "main", spec)
            await fleet.wait_for(lambda: fleet.daemon.fleet.routes.version == 4, 1.0)
            status, _, _ = await fleet.send("/new/1")
            self.assertEqual(200, status)

        run(scenario)

    def test_a_broken_configuration_is_logged_and_the_last_one_kept(self):
        async def scenario(fleet):
            broken = CONFIGURATION | {"version": 9, "routes": [{"name": "x"}]}
            fleet.store.put("config", "main", broken)
            await asyncio.sleep(0.2)
            status, _, _ = await fleet.send("/seats/1")
            self.assertEqual(200, status)

        logged = run_logged(scenario)
        lines = [m for m in logged if "configuration is unreadable" in m["text"]]
        self.assertEqual(3, lines[0]["kept"])
        self.assertIn("KeyError", lines[0]["error"])

    def test_an_unreadable_entry_is_logged_and_names_no_target(self):
        async def scenario(fleet):
            fleet.store.put("servers", "i-bad", {"service": 5})
            await asyncio.sleep(0.2)
            self.assertNotIn("i-bad", fleet.daemon.fleet.targets)

        logged = run_logged(scenario)
        lines = [m for m in logged if "entry names no target" in m["text"]]
        self.assertEqual(
            ("i-bad", "service is 5"), (lines[0]["entry"], lines[0]["error"])
        )

    def test_a_store_that_answers_garbage_is_logged_and_serving_goes_on(self):
        async def scenario(fleet):
            fleet.store.faults.garbage = True
            # A watch that knows the newest revision would outlast the compaction.
            fleet.store.put("unwatched", "newest", {})
            fleet.store.compact()
            await asyncio.sleep(0.8)
            status, _, _ = await fleet.send("/seats/1")
            self.assertEqual(200, status)

        logged = run_logged(scenario)
        lines = [m for m in logged if "store is lost" in m["text"]]
        self.assertIn("JSONDecodeError", lines[0]["detail"])

    def test_a_compacted_history_is_listed_again(self):
        async def scenario(fleet):
            fleet.store.compact()
            fleet.store.put("config", "main", CONFIGURATION | {"version": 8})
            await fleet.wait_for(lambda: fleet.daemon.fleet.routes.version == 8)

        run(scenario)

    def test_without_a_configuration_requests_get_503(self):
        async def scenario(fleet):
            status, _, headers = await fleet.send("/seats/1")
            self.assertEqual(503, status)
            self.assertIn("Retry-After", headers)
            self.assertEqual(503, await fleet.fetch_readiness())

        run(scenario, configuration=None, settle=False)


class TestStop(TestCase):
    def test_a_stop_finishes_open_requests(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.delay_seconds = 0.4
            pending = asyncio.create_task(fleet.send("/hold/1", "POST"))
            await fleet.wait_for(
                lambda: fleet.plain.received or fleet.second_plain.received
            )
            stopping = asyncio.create_task(fleet.daemon.stop())
            await asyncio.sleep(0.05)
            self.assertEqual(503, await fleet.fetch_readiness())
            status, _, headers = await pending
            self.assertEqual((200, "close"), (status, headers["Connection"]))
            await stopping

        run(scenario)


class TestLogs(TestCase):
    def test_the_log_lines_of_a_request_lead_to_the_cause(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.crash = True
            await fleet.send("/hold/1", "POST")

        lines = [m for m in run_logged(scenario) if m.get("request") == "a1"]
        texts = [line["text"] for line in lines]
        self.assertEqual(
            ["forwarding: runs", "forwarding: target failed", "entry: ended"], texts
        )
        self.assertEqual("may have run", lines[-1]["run"])
        self.assertTrue(all(json.dumps(line, default=str) for line in lines))
