"""Test the engine stand-in over HTTP on loopback."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import aiohttp
import orjson
from testtools import TestCase

from galenapass.callers.bodies import hash_blocks as daemon_hash_blocks
from galenapass.callers.bodies import read_completion
from galenapass.clocks import SystemClock
from galenapass.tables.targets import Role
from stand_ins.engine import build_app, make_engine, start_engine
from stand_ins.engine_sizes import Sizes, speed_up
from stand_ins.engine_text import (
    count_output_tokens,
    expected_text,
    hash_blocks,
    read_prompt,
)
from stand_ins.serving import Server

FAST = speed_up(Sizes(change=timedelta(seconds=0.2)), 20)
SLOW = replace(FAST, min_step_seconds=0.02)
PROMPT = "the third bottle on the shelf " * 40
BODY = {"model": "m", "prompt": PROMPT, "max_tokens": 20, "stream": True}
LONG = {**BODY, "max_tokens": 2000}
TIMEOUT_SECONDS = 20


@asynccontextmanager
async def serve(sizes=FAST, **options):
    """Serve one engine and yield a client for it."""
    engine = make_engine(SystemClock(), sizes, restart_seconds=0.1, **options)
    app = build_app(engine)
    server = Server(app, "127.0.0.1:0")
    address = await server.start()
    start_engine(app, server)
    try:
        async with aiohttp.ClientSession(f"http://{address}") as session:
            yield Client(session, address)
    finally:
        await server.stop()


class Client:
    def __init__(self, session, address):
        self.session = session
        self.address = address

    def post(self, body, request, path="/v1/completions", **headers):
        header_values = {name.replace("_", "-"): text for name, text in headers.items()}
        header_values["X-Request-Id"] = request
        return self.session.post(path, json=body, headers=header_values)

    async def read(self, body, request, **options):
        """Return the events of a complete stream as (id, text)."""
        async with self.post(body, request, **options) as response:
            response.raise_for_status()
            return parse_events(await response.read())

    async def get(self, path):
        async with self.session.get(path) as response:
            return await response.json()

    async def put_faults(self, **faults):
        async with self.session.post("/stand-in/faults", json=faults) as response:
            return response.status

    async def order(self, name, fence, value="prefill"):
        body = {"id": name, "fence": fence, "action": "role", "value": value}
        async with self.session.post("/orders", json=body) as response:
            return response.status, await response.json()

    async def account(self):
        return await self.get("/stand-in/account")

    async def wait_for(self, path, accept):
        """Poll a path until its response is accepted; ignore connection errors."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                try:
                    answer = await self.get(path)
                except aiohttp.ClientError:
                    answer = None
                if answer is not None and accept(answer):
                    return answer
                await asyncio.sleep(0.01)


def parse_events(data):
    events = []
    for part in data.decode().split("\n\n"):
        lines = dict(line.split(": ", 1) for line in part.splitlines())
        if lines and lines["data"] != "[DONE]":
            choice = orjson.loads(lines["data"])["choices"][0]
            text = choice.get("text", choice.get("delta", {}).get("content", ""))
            events.append((int(lines["id"]), text))
    return events


def join(events):
    return "".join(text for _, text in events)


async def read_first_token(response):
    """Read the first event of a stream."""
    return await response.content.readuntil(b"\n\n")


class StreamTest(TestCase):
    def test_streams_the_expected_text_of_both_completion_kinds(self):
        chat = {"messages": [{"role": "user", "content": PROMPT}], "max_tokens": 7}

        async def run():
            async with serve() as client:
                events = await client.read(BODY, "a")
                self.assertEqual(expected_text(BODY), join(events))
                self.assertEqual(list(range(1, 22)), [number for number, _ in events])
                path = "/v1/chat/completions"
                events = await client.read(chat, "b", path=path)
                self.assertEqual(expected_text(chat), join(events))
                account = await client.account()
                self.assertEqual({"a": 1, "b": 1}, account["runs"])
                self.assertEqual(["a", "b"], account["completed"])

        asyncio.run(run())

    def test_resumes_on_another_engine(self):
        async def run():
            async with serve() as client:
                events = await client.read(BODY, "a", Last_Event_ID="12")
                self.assertEqual(13, events[0][0])
                self.assertEqual(expected_text(BODY)[12 * 7 :], join(events))
                self.assertEqual({"a": 1}, (await client.account())["resumes"])

        asyncio.run(run())

    def test_dropped_stream_resumes_without_a_second_run(self):
        async def run():
            async with serve(SLOW) as client:
                await client.put_faults(drop_stream_after=3)
                with self.assertRaises(aiohttp.ClientPayloadError):
                    await client.read(BODY, "a")
                events = await client.read(BODY, "a", Last_Event_ID="3")
                self.assertEqual(expected_text(BODY)[3 * 7 :], join(events))
                account = await client.account()
                self.assertEqual({"a": 1}, account["runs"])
                self.assertEqual({"a": 1}, account["replays"])

        asyncio.run(run())

    def test_duplicates_events_under_the_fault(self):
        async def run():
            async with serve() as client:
                await client.put_faults(duplicate_events=True)
                events = await client.read(BODY, "a")
                self.assertEqual(41, len(events))
                self.assertEqual(expected_text(BODY), join(dict(events).items()))

        asyncio.run(run())

    def test_cancel_reports_whether_the_request_ran(self):
        async def run():
            async with serve(replace(SLOW, max_running=1)) as client:
                async with client.post(LONG, "a") as response:
                    await read_first_token(response)
                    waiting = asyncio.create_task(self._read_status(client, "b"))
                    await client.wait_for("/load", lambda load: load["waiting"] == 1)
                    self.assertEqual("not-run", await self._cancel(client, "b"))
                    self.assertEqual((503, "not-run"), await waiting)
                    self.assertIsNone(await self._cancel(client, "a"))
                async with client.session.delete("/v1/requests/a") as response:
                    self.assertEqual(404, response.status)
                account = await client.account()
                self.assertEqual({"a": 1}, account["runs"])
                self.assertEqual(["a"], account["cancelled"])

        asyncio.run(run())

    async def _read_status(self, client, name):
        async with client.post(LONG, name) as response:
            return response.status, response.headers.get("X-Run")

    async def _cancel(self, client, name):
        async with client.session.delete(f"/v1/requests/{name}") as response:
            self.assertEqual(200, response.status)
            return response.headers.get("X-Run")

    def test_refusals_promise_that_nothing_ran(self):
        too_large = {**BODY, "max_tokens": 10**6}
        cases = ((too_large, 503), ({**BODY, "prompt": 3}, 400))

        async def run():
            async with serve(model="m") as client:
                for body, status in (*cases, ({**BODY, "model": "x"}, 404)):
                    async with client.post(body, "a") as response:
                        self.assertEqual(status, response.status)
                        self.assertEqual("not-run", response.headers["X-Run"])
                await client.put_faults(refuse=True)
                self.assertEqual((503, "not-run"), await self._read_status(client, "a"))
                self.assertEqual({}, (await client.account())["runs"])

        asyncio.run(run())


class PromptTest(TestCase):
    def test_daemon_and_engine_hash_the_same_blocks(self):
        parts = [{"type": "text", "text": PROMPT}]
        messages = [
            {"role": "system", "content": PROMPT},
            {"role": "user", "content": parts},
        ]
        for path, body in (
            ("/v1/completions", BODY),
            ("/v1/chat/completions", {"model": "m", "messages": messages}),
        ):
            read = read_completion(path, orjson.dumps(body)).unwrap()
            self.assertEqual(read.prompt, read_prompt(body))
            self.assertEqual(read.output_tokens, count_output_tokens(body))
            self.assertEqual(daemon_hash_blocks(read.prompt), hash_blocks(read.prompt))


class CacheTest(TestCase):
    def test_prefill_on_one_engine_and_decode_on_another(self):
        async def run():
            async with serve(role=Role.PREFILL) as first, serve() as second:
                async with first.post(BODY, "a", X_Phase="prefill") as response:
                    answer = await response.json()
                self.assertEqual(-(-len(PROMPT) // 4), answer["tokens"])
                source = f"http://{first.address}/kv/{answer['handle']}"
                for name, imports in (("a", (1, 0)), ("b", (1, 1))):
                    events = await second.read(BODY, name, X_KV_Source=source)
                    self.assertEqual(expected_text(BODY), join(events))
                    account = await second.account()
                    counts = account["imports"], account["imports_failed"]
                    self.assertEqual(imports, counts)
                account = await first.account()
                self.assertEqual(({}, {"a": 1}), (account["runs"], account["prefills"]))

        asyncio.run(run())

    def test_publishes_cached_blocks(self):
        async def run():
            async with serve() as client, client.session.get("/events/cache") as feed:
                await client.read(BODY, "a")
                line = await asyncio.wait_for(feed.content.readline(), TIMEOUT_SECONDS)
                batch = orjson.loads(line.removeprefix(b"data: "))
                self.assertEqual(list(hash_blocks(PROMPT.encode())), batch["stored"])

        asyncio.run(run())

    def test_load_lags(self):
        async def run():
            async with serve(SLOW, report_lag_seconds=0.3) as client:
                async with client.post(LONG, "a") as response:
                    await read_first_token(response)
                    self.assertEqual(0, (await client.get("/load"))["running"])
                    self.assertEqual(1, (await client.get("/state"))["running"])
                    await client.wait_for("/load", lambda load: load["running"] == 1)

        asyncio.run(run())


class OrderTest(TestCase):
    def test_role_change_drops_requests_and_then_serves_in_the_new_role(self):
        async def run():
            async with serve(SLOW) as client:
                async with client.post(LONG, "a") as response:
                    await read_first_token(response)
                    self.assertEqual(202, (await client.order("o", 3))[0])
                    self.assertEqual(409, (await client.order("p", 3))[0])
                    with self.assertRaises(aiohttp.ClientPayloadError):
                        await response.read()
                async with client.post(BODY, "b") as response:
                    self.assertEqual(503, response.status)
                    self.assertEqual("not-run", response.headers["X-Run"])
                state = await client.wait_for(
                    "/state", lambda state: state["phase"] == "serving"
                )
                self.assertEqual("prefill", state["role"])
                self.assertEqual({"id": "o", "fence": 3}, state["order"])
                status, body = await client.order("q", 2)
                self.assertEqual((409, "stale fence", 3), (status, *body.values()))
                account = await client.account()
                self.assertEqual(["a"], account["cut_off"])
                self.assertEqual([], account["conflicts"])
                outcomes = [order["outcome"] for order in account["orders"]]
                self.assertEqual(["accepted", "busy", "stale fence"], outcomes)

        asyncio.run(run())

    def test_conflict_is_recorded_where_fences_are_ignored(self):
        async def run():
            async with serve(checks_fencing=False) as client:
                statuses = [
                    (await client.order(name, fence))[0]
                    for name, fence in (("o", 3), ("o", 3), ("p", 1))
                ]
                self.assertEqual([202, 202, 202], statuses)
                account = await client.account()
                conflict = {"under_way": "o", "accepted": "p"}
                self.assertEqual([conflict], account["conflicts"])

        asyncio.run(run())

    def test_crash_in_a_change_loses_the_order(self):
        async def run():
            async with serve() as client:
                before = await client.get("/state")
                await client.put_faults(crash_in_change=True)
                await client.order("o", 3)
                after = await client.wait_for(
                    "/state",
                    lambda state: state["incarnation"] != before["incarnation"],
                )
                self.assertEqual(
                    ("mixed", "serving", None),
                    (after["role"], after["phase"], after["order"]),
                )

        asyncio.run(run())


class CrashTest(TestCase):
    def test_crash_drops_all_requests_and_keeps_the_account(self):
        async def run():
            async with serve(SLOW) as client:
                before = await client.get("/state")
                async with client.post(LONG, "a") as response:
                    await read_first_token(response)
                    await client.put_faults(crash=True)
                    with self.assertRaises(aiohttp.ClientPayloadError):
                        await response.read()
                with self.assertRaises(aiohttp.ClientError):
                    await client.get("/state")
                after = await client.wait_for("/state", lambda state: True)
                self.assertNotEqual(before["incarnation"], after["incarnation"])
                account = await client.account()
                self.assertEqual(({"a": 1}, 1), (account["runs"], account["crashes"]))
                self.assertEqual(["a"], account["lost"])
                self.assertEqual(
                    expected_text(BODY), join(await client.read(BODY, "a"))
                )

        asyncio.run(run())

    def test_marked_prompt_crashes_the_engine_that_runs_it(self):
        marked = {**BODY, "prompt": "please poison this"}

        async def run():
            async with serve() as client:
                await client.put_faults(crash_on="poison")
                with self.assertRaises(aiohttp.ClientError):
                    await client.read(marked, "a")
                account = await client.wait_for("/stand-in/account", lambda _: True)
                self.assertEqual(({"a": 1}, 1), (account["runs"], account["crashes"]))
                self.assertEqual(
                    expected_text(BODY), join(await client.read(BODY, "b"))
                )

        asyncio.run(run())
