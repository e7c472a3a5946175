"""Test that whole requests are answered or refused beside changes of configuration."""

import asyncio
import contextlib
import time
from datetime import timedelta

import aiohttp
from eliot.testing import MemoryLogger, swap_logger
from testtools import TestCase

from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from stand_ins.platform_routes import CONFIGURATION, make_headers, make_route
from stand_ins.runner import STREAM_BODY
from tests.platform_fleet import run, run_fleet

TIMEOUT_MS = 6000
ROUTES = [route | {"timeout_ms": TIMEOUT_MS} for route in CONFIGURATION["routes"]]
PATIENT = CONFIGURATION | {"routes": ROUTES}
# A little longer than a silent target is waited for where another one is ready.
SILENCE_SECONDS = 1.2
MANY_ROUTES = 10_000
# Longer than an attempt to connect may take.
PAUSE_SECONDS = 0.4
ANSWERS = frozenset({200, 404, 413, 502, 503, 504})


def change(fleet, **changes):
    """Write the next version; ``changes`` replace fields of the configuration."""
    version = fleet.store.objects["config"]["main"]["spec"]["version"] + 3
    fleet.store.put("config", "main", PATIENT | changes | {"version": version})
    return version


async def apply_change(fleet, **changes):
    """Write the next version, wait until all daemons follow it, and return it."""
    version = change(fleet, **changes)
    tables = [daemon.fleet for daemon in fleet.daemons]
    await fleet.wait_for(lambda: all(t.routes.version == version for t in tables))
    return version


def make_routes(**changes):
    """Return the routes with fields replaced, by their names."""
    return [
        route | changes.get(route["name"], changes.get("every", {})) for route in ROUTES
    ]


def make_many_routes():
    """Return the routes among many others."""
    more = [
        make_route(f"/more{n}/", "idempotent", "desk", hostname=f"h{n % 40}.example")
        for n in range(MANY_ROUTES)
    ]
    return ROUTES + more


async def ask(fleet, path="/notes/1", body=b"", host=0):
    """Return the status and body of an answer; raise an error if it is not whole."""
    status, answer, _ = await fleet.send(
        path, "POST", body, host=host, X_Galenapass_Deadline_Ms=str(TIMEOUT_MS)
    )
    return status, answer


def list_decode(fleet):
    return [fleet.decode, fleet.second_decode]


def set_pauses(fleet, seconds):
    for runner in list_decode(fleet):
        runner.faults.event_seconds = seconds


def set_budget(fleet, retries):
    """Let the daemon send ``retries`` more times in all."""
    terms = RetryBudgetTerms(0.0, retries, timedelta(seconds=60))
    fleet.daemon.retry_accounts.terms = terms


async def wait_for_runs(fleet, count=1):
    await fleet.wait_for(lambda: sum(len(r.ran) for r in list_decode(fleet)) >= count)


async def wait_for_arrivals(fleet, count=1):
    """Wait until a daemon has found the routes of requests in progress."""
    await fleet.wait_for(lambda: fleet.daemon.request_handler.open >= count)


WITHOUT_ENGINES = {
    "routes": make_routes(notes={"service": "desk"}, once={"service": "desk"}),
    "services": [{"name": "desk"}],
}
MOVED = {
    "routes": make_routes(
        notes={"service": "desk"}, once={"service": "desk"}, seats={"service": "lm"}
    )
}
LARGE_CHANGE = "many routes"
CHANGES = {
    "moved routes": MOVED,
    "removed routes": {"routes": ROUTES[3:]},
    "a removed service": WITHOUT_ENGINES,
    "a service that is no model any more": {
        "services": [{"name": "lm"}, {"name": "desk"}]
    },
    "shorter times": {"routes": make_routes(every={"timeout_ms": 300})},
    "fewer attempts": {"routes": make_routes(every={"attempts": 1})},
    "shorter idle times": {"limits": {"idle_timeout_ms": 100}},
    "smaller bodies": {"limits": {"max_body_bytes": 100}},
    LARGE_CHANGE: {"routes": make_many_routes()},
}


class TestLostBesideAConfiguration(TestCase):
    def check(self, scenario):
        """Run a scenario for each change of the configuration, with a fleet each.

        A few fleets share an event loop; the one with many routes stops its loop while
        its configurations are written and read, so it has one of its own.
        """

        async def main(names):
            async with contextlib.AsyncExitStack() as stack:
                fleets = [
                    await stack.enter_async_context(run_fleet(configuration=PATIENT))
                    for _ in names
                ]
                rows = zip(fleets, names, strict=True)
                await asyncio.gather(
                    *(scenario(fleet, name, CHANGES[name]) for fleet, name in rows)
                )

        names = [name for name in CHANGES if name != LARGE_CHANGE]
        for group in (names[:4], names[4:], [LARGE_CHANGE]):
            asyncio.run(main(group))

    def test_lost_beside_a_configuration_while_streams_run(self):
        async def scenario(fleet, name, changes):
            set_pauses(fleet, 0.2)
            paths = ["/notes/1", "/once/1"] * 3
            pending = [asyncio.create_task(ask(fleet, path)) for path in paths]
            await wait_for_runs(fleet, len(paths))
            await apply_change(fleet, **changes)
            answers = await asyncio.gather(*pending)
            self.assertEqual([(200, STREAM_BODY)] * len(paths), answers, name)

        self.check(scenario)

    def test_lost_beside_a_configuration_while_a_target_is_silent(self):
        async def scenario(fleet, name, changes):
            set_pauses(fleet, SILENCE_SECONDS)
            set_budget(fleet, 2)
            paths = ["/notes/1", "/once/1"] * 3
            pending = [asyncio.create_task(ask(fleet, path)) for path in paths]
            await wait_for_runs(fleet, len(paths))
            await apply_change(fleet, **changes)
            answers = await asyncio.gather(*pending)
            self.assertEqual([(200, STREAM_BODY)] * len(paths), answers, name)

        self.check(scenario)

    def test_lost_beside_a_configuration_as_a_stream_breaks_off(self):
        async def scenario(fleet, name, changes):
            for runner in list_decode(fleet):
                runner.faults.event_seconds = 0.15
                runner.faults.break_after = 2
            set_budget(fleet, 2)
            pending = asyncio.create_task(ask(fleet))
            await wait_for_runs(fleet)
            await apply_change(fleet, **changes)
            status, body = await pending
            self.assertEqual((200, STREAM_BODY), (status, body), name)

        self.check(scenario)

    def test_lost_beside_a_configuration_while_a_prompt_is_prefilled(self):
        async def scenario(fleet, name, changes):
            fleet.prefill.faults.delay_seconds = 0.4
            pending = [
                asyncio.create_task(ask(fleet, path))
                for path in ("/notes/1", "/once/1")
            ]
            await fleet.wait_for(lambda: len(fleet.prefill.received) == 2)
            await apply_change(fleet, **changes)
            answers = await asyncio.gather(*pending)
            self.assertEqual([(200, STREAM_BODY)] * 2, answers, name)

        self.check(scenario)

    def test_lost_beside_a_configuration_while_requests_are_queued(self):
        async def scenario(fleet, name, changes):
            for runner in fleet.runners:
                fleet.register(runner, slots=1)
            await asyncio.sleep(0.1)
            set_pauses(fleet, 0.1)
            fleet.plain.faults.delay_seconds = 0.4
            fleet.second_plain.faults.delay_seconds = 0.4
            paths = ["/notes/1", "/once/1", "/seats/1", "/hold/1"] * 4
            pending = [asyncio.create_task(ask(fleet, path)) for path in paths]
            await wait_for_arrivals(fleet, len(paths))
            await apply_change(fleet, **changes)
            answers = await asyncio.gather(*pending)
            self.assertLessEqual({s for s, _ in answers}, {200, 503}, name)
            self.assertEqual(
                {STREAM_BODY},
                {
                    a
                    for p, (s, a) in zip(paths, answers, strict=True)
                    if s == 200 and p[1] in "no"
                },
                name,
            )

        self.check(scenario)

    def test_lost_beside_a_configuration_between_head_and_body(self):
        async def scenario(fleet, name, changes):
            reader, writer = await asyncio.open_connection(*fleet.settings.front)
            for number, path in enumerate(("/hold/1", "/notes/1", "/seats/1")):
                await asyncio.sleep(0.05)
                lines = "".join(
                    f"{key}: {value}\r\n"
                    for key, value in make_headers(f"b{number}", TIMEOUT_MS).items()
                )
                head = f"POST {path} HTTP/1.1\r\n{lines}Content-Length: 2000\r\n\r\n"
                writer.write(head.encode() + b"x" * 500)
                await asyncio.sleep(0.05)
                if not number:
                    await wait_for_arrivals(fleet)
                    await apply_change(fleet, **changes)
                writer.write(b"x" * 1500)
                answer = await reader.readuntil(b"\r\n\r\n")
                status = int(answer.split()[1])
                self.assertIn(status, ANSWERS if number else {200}, name)
                lower = answer.lower()
                if b"chunked" in lower:
                    await reader.readuntil(b"0\r\n\r\n")
                else:
                    length = lower.split(b"content-length: ")[1].split(b"\r\n")[0]
                    await reader.readexactly(int(length))
                if b"connection: close" in lower:
                    break
            writer.close()

        self.check(scenario)

    def test_lost_beside_a_configuration_on_a_kept_connection(self):
        async def scenario(fleet, name, changes):
            connector = aiohttp.TCPConnector(limit=1)
            url = f"http://127.0.0.1:{fleet.settings.front[1]}"
            async with aiohttp.ClientSession(connector=connector) as session:

                async def send(path, number):
                    headers = make_headers(f"k{number}", TIMEOUT_MS)
                    async with session.post(url + path, headers=headers) as response:
                        await response.read()
                        return response.status

                for runner in (fleet.plain, fleet.second_plain):
                    runner.faults.delay_seconds = 0.2
                self.assertEqual(200, await send("/seats/1", 0))
                pending = asyncio.create_task(send("/hold/1", 1))
                await wait_for_arrivals(fleet)
                await apply_change(fleet, **changes)
                self.assertEqual(200, await pending, name)
                await asyncio.sleep(0.3)
                for number in range(2, 6):
                    status = await send("/seats/1", number)
                    self.assertIn(status, ANSWERS, name)

        self.check(scenario)

    def test_lost_beside_a_configuration_while_a_call_is_silent(self):
        async def scenario(fleet, name, changes):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.delay_seconds = SILENCE_SECONDS
            paths = ["/seats/1", "/hold/1"] * 2
            pending = [asyncio.create_task(ask(fleet, path)) for path in paths]
            await fleet.wait_for(
                lambda: len(fleet.plain.received + fleet.second_plain.received) == 4
            )
            await apply_change(fleet, **changes)
            answers = await asyncio.gather(*pending)
            self.assertEqual([200] * 4, [status for status, _ in answers], name)

        self.check(scenario)


class TestPauses(TestCase):
    def check(self, path, list_targets):
        """Send requests, whose host pauses once as it connects to a target."""

        async def scenario(fleet):
            ports = {int(t.address.partition(":")[2]) for t in list_targets(fleet)}
            loop = asyncio.get_running_loop()
            connect = loop.sock_connect
            pauses = [PAUSE_SECONDS]

            async def pause_and_connect(sock, address):
                if address[1] in ports and pauses:
                    loop.call_soon(time.sleep, pauses.pop())
                return await connect(sock, address)

            loop.sock_connect = pause_and_connect
            answers = await asyncio.gather(*(ask(fleet, path) for _ in range(6)))
            self.assertEqual([200] * 6, [status for status, _ in answers])
            self.assertEqual([], pauses)

        run(scenario, configuration=PATIENT)

    def test_lost_as_a_host_pauses_while_it_connects_to_an_engine(self):
        self.check("/notes/1", lambda fleet: [fleet.prefill])

    def test_lost_as_a_host_pauses_while_it_connects_to_a_service(self):
        self.check("/hold/1", lambda fleet: [fleet.plain, fleet.second_plain])


class TestLog(TestCase):
    def read_end(self, action, text):
        """Return the log line of a stream that an action ends beside a change."""
        logger = MemoryLogger()
        previous = swap_logger(logger)
        versions = []

        async def scenario(fleet):
            set_pauses(fleet, 0.2)
            set_budget(fleet, 0)
            versions.append(fleet.daemon.fleet.routes.version)
            pending = asyncio.create_task(ask(fleet))
            await fleet.wait_for(lambda: fleet.decode.ran + fleet.second_decode.ran)
            await asyncio.sleep(0.3)
            versions.append(await apply_change(fleet))
            action(fleet, pending)
            with self.assertRaises((aiohttp.ClientError, asyncio.CancelledError)):
                await pending
            await asyncio.sleep(0.1)

        try:
            run(scenario, configuration=PATIENT)
        finally:
            swap_logger(previous)
        lines = [m for m in logger.messages if m.get("text") == text]
        self.assertEqual(1, len(lines))
        self.assertEqual(versions, [lines[0]["arrived_version"], lines[0]["version"]])
        return lines[0]

    def test_a_cut_answer_is_not_logged_like_a_refusal(self):
        def crash(fleet, pending):
            for runner in list_decode(fleet):
                runner.crash()

        self.assertTrue(self.read_end(crash, "entry: ended")["cut"])

    def test_a_client_that_leaves_is_not_missing_in_the_log(self):
        def leave(fleet, pending):
            pending.cancel()

        self.assertTrue(self.read_end(leave, "entry: client disconnected")["began"])
