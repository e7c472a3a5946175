"""Test that a stream goes on only at targets of the software version that began it."""

import asyncio
import contextlib
import time
from datetime import timedelta

from testtools import TestCase

from experiments.soak.stream_clients import list_events, list_versions
from galenapass.forwarding import origin_sharing, service_versions
from stand_ins.platform_routes import CONFIGURATION, make_route
from stand_ins.runner import EVENTS, SIGNATURE, Runner
from tests.platform_fleet import run
from tests.test_platform_faults import raw_target, read_head

# Two decode targets of each version.
VERSIONS = {"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"}
THREE_VERSIONS = VERSIONS | {"d5": "v3", "d6": "v3"}
ONE_OF_EACH = {"d1": "v1", "d2": "v2"}
TWO_SERVICES = {"d1": "v1", "d2": "v1", "d8": "v1", "d9": "v1"}
TWO_HOSTS = ("zone-a", "zone-b")
STREAMS = 24
# Streams at a time; a target that breaks several off at once gets no more for a while.
CONCURRENT = 3
EVENT_SECONDS = 0.05
ALL_EVENTS = list(range(1, EVENTS + 1))
# What can't be served is refused at once; a busy machine needs some time for it.
REFUSAL_SECONDS = 1.0
UNKNOWN = "never-sent"


def split_route(**weights):
    """Return a configuration whose route leads to services by weight."""
    split = [{"service": name, "weight": each} for name, each in weights.items()]
    route = make_route("/notes/", "streaming", "", resumable=True)
    engine = {"kv_tokens": 500_000, "reconfig_s": 0.1}
    return CONFIGURATION | {
        "routes": [route | {"traffic_split": split}],
        "services": [{"name": name, "engine": engine} for name in ("lm", "lm2")],
    }


def make_other_service():
    """Return the targets of a second service of the route."""
    return [
        Runner("e3", "lm2", stage="prefill"),
        Runner("d8", "lm2", stage="decode"),
        Runner("d9", "lm2", stage="decode"),
    ]


async def repeat(send, count=STREAMS):
    """Return the results of ``count`` calls, a few at a time."""
    free = asyncio.Semaphore(CONCURRENT)

    async def send_one(number):
        async with free:
            return await send(number)

    return await asyncio.gather(*(send_one(number) for number in range(count)))


def list_joined(bodies):
    return [body for body in bodies if len(list_versions(body)) > 1]


def pause_events(fleet):
    for runner in (*fleet.decode_runners, *fleet.more_runners):
        runner.faults.event_seconds = EVENT_SECONDS


async def begin(fleet, path, host=0, **headers):
    """Begin a stream and leave it; return the attempt and what came of it."""
    attempt, status, body, _ = await fleet.send_stream(
        path, host, leave_after=2, **headers
    )
    return attempt, status, body


async def begin_at(fleet, version, name):
    """Return path, attempt and body of a stream that a version began."""
    paths = [f"/notes/{name}-{number}" for number in range(8)]
    begun = await asyncio.gather(*(begin(fleet, path) for path in paths))
    for path, (attempt, _, body) in zip(paths, begun, strict=True):
        if list_versions(body) == [f"lm-{version}"]:
            return path, attempt, body
    raise AssertionError(f"no stream began at {version}: {begun}")


async def take_up(fleet, path, begun, host=1, **headers):
    """Take a stream up; return attempt, status, what came of it and the seconds."""
    started = time.monotonic()
    events = list_events(begun)
    all_headers = {"Last_Event_Id": str(events[-1]) if events else "0"} | headers
    attempt, status, rest, _ = await fleet.send_stream(path, host, **all_headers)
    return attempt, status, rest, time.monotonic() - started


class VersionsCase(TestCase):
    def check_refused(self, fleet, taken_up):
        """Check that a take-up was refused at once and did not run."""
        attempt, status, rest, seconds = taken_up
        self.assertEqual((503, b""), (status, rest))
        self.assertLess(seconds, REFUSAL_SECONDS)
        ran = [name for runner in fleet.runners for name in runner.ran]
        self.assertNotIn(attempt, ran)

    def check_fits(self, begun, taken_up):
        """Check that a take-up was refused or went on at the version that began."""
        _, status, rest, _ = taken_up
        self.assertIn(status, (200, 503))
        self.assertEqual([], list_joined([begun + rest]))


class TestOneAnswer(TestCase):
    def check_answers(self, **options):
        async def scenario(fleet):
            for runner in (*fleet.decode_runners, *fleet.more_runners):
                runner.faults.break_after = 2
                runner.faults.break_share = 0.3
            answers = await repeat(lambda n: fleet.send_stream(f"/notes/{n}"))
            bodies = [body for *_, body, _ in answers]
            self.assertEqual([], list_joined(bodies))
            for _, status, body, complete in answers:
                whole = list_events(body) == ALL_EVENTS
                self.assertEqual(status == 200 and complete, whole, body)
            return fleet

        fleets = []

        async def keep(fleet):
            fleets.append(await scenario(fleet))

        run(keep, **options)
        return fleets[0]

    def test_order_a_stream_is_joined_from_two_versions_in_one_answer(self):
        fleet = self.check_answers(more_decode=2, versions=VERSIONS)
        resumed = [
            request
            for runner in fleet.decode_runners
            for request in runner.received
            if "Last-Event-Id" in request.headers
        ]
        self.assertNotEqual([], resumed)

    def test_order_a_stream_is_joined_from_three_versions_in_one_answer(self):
        self.check_answers(more_decode=4, versions=THREE_VERSIONS)

    def test_order_a_stream_is_joined_while_one_target_of_each_version_serves(self):
        second_prefill = Runner("e2", "lm", stage="prefill")
        self.check_answers(
            more_runners=[second_prefill],
            versions=ONE_OF_EACH | {"e1": "v1", "e2": "v2"},
        )

    def test_order_a_stream_is_joined_with_an_entry_without_a_version(self):
        self.check_answers(versions={"d1": None, "d2": "v1"})

    def test_order_a_stream_goes_on_at_another_version_as_its_own_refuses(self):
        async def scenario(fleet):
            for runner in (fleet.decode, fleet.second_decode):
                runner.faults.break_after = 2
            for runner in fleet.more_decode:
                runner.faults.shed = True
            answers = await repeat(lambda n: fleet.send_stream(f"/notes/{n}"))
            bodies = [body for *_, body, _ in answers]
            self.assertEqual([], list_joined(bodies))
            begun = {name for body in bodies for name in list_versions(body)}
            self.assertEqual({"lm-v1", "lm-v2"}, begun)

        run(scenario, more_decode=2, versions=VERSIONS)

    def test_order_a_stream_goes_on_at_a_version_that_was_prepared_before_it(self):
        # The first target is silent while the next send is prepared, brings an event
        # and is silent again, or breaks off.
        delays = [0.05 * number for number in range(STREAMS)]

        begun = []

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError):
                attempt = await read_head(reader)
                if attempt is not None and delays:
                    await asyncio.sleep(delays.pop(0))
                    writer.write(
                        (
                            "HTTP/1.1 200 OK\r\n"
                            f"X-Galenapass-Attempt-Id: {attempt}\r\n"
                            f"{SIGNATURE}: signed\r\n\r\n"
                            "id: 1\ndata: t1 lm-v1\n\n"
                        ).encode()
                    )
                    await writer.drain()
                    begun.append(attempt)
                    if len(begun) % 2:
                        await reader.read()
            writer.close()

        async def scenario(fleet):
            async with raw_target(serve) as address:
                fleet.store.remove("servers", "d1")
                entry = fleet.decode.entry(address=address, born=7)
                fleet.store.put("servers", "raw", entry)
                known = fleet.daemon.fleet.targets
                await fleet.wait_for(lambda: "raw" in known and "d1" not in known)
                answers = await asyncio.gather(
                    *(fleet.send_stream(f"/notes/{n}") for n in range(STREAMS))
                )
                bodies = [body for *_, body, _ in answers]
                self.assertEqual([], list_joined(bodies))
                # A clean close of a body without a length ends it.
                lengths = {len(list_events(body)) for body in bodies}
                self.assertEqual(set(), lengths - {0, 1, EVENTS})

        run(scenario, versions=ONE_OF_EACH)


class TestTakeUps(VersionsCase):
    def check_take_ups(self, share=0.5, **options):
        async def scenario(fleet):
            pause_events(fleet)

            async def send(number):
                path = f"/notes/{number}"
                attempt, status, begun = await begin(fleet, path)
                taken_up = await take_up(fleet, path, begun, Resumes=attempt)
                return status, begun, taken_up

            streams = await repeat(send)
            for status, begun, taken_up in streams:
                self.assertEqual(200, status)
                self.check_fits(begun, taken_up)
            went_on = [
                list_events(begun + rest) == ALL_EVENTS
                for _, begun, (_, _, rest, _) in streams
            ]
            self.assertGreaterEqual(sum(went_on), share * STREAMS)

        run(scenario, domains=TWO_HOSTS, **options)

    def test_order_a_client_takes_a_stream_up_at_another_version(self):
        self.check_take_ups(more_decode=2, versions=VERSIONS)

    def test_order_a_client_takes_a_stream_up_at_one_of_three_versions(self):
        self.check_take_ups(more_decode=4, versions=THREE_VERSIONS)

    def test_order_a_client_takes_a_stream_up_without_a_version_in_the_entry(self):
        versions = VERSIONS | {"d1": None, "d3": None}
        self.check_take_ups(share=0.0, more_decode=2, versions=versions)

    def test_order_a_client_takes_a_stream_up_at_another_service(self):
        self.check_take_ups(
            configuration=split_route(lm=1, lm2=1),
            more_runners=make_other_service(),
            versions=TWO_SERVICES,
        )

    def check_changed_split(self, check, **weights):
        """Check a take-up after a configuration that splits the route anew."""

        async def scenario(fleet):
            begun = [
                (path, *await begin(fleet, path))
                for path in (f"/notes/{number}" for number in range(6))
            ]
            changed = split_route(**weights) | {"version": 9}
            fleet.store.put("config", "main", changed)
            tables = [daemon.fleet for daemon in fleet.daemons]
            await fleet.wait_for(lambda: all(t.routes.version == 9 for t in tables))
            for path, attempt, _, body in begun:
                self.assertEqual(["lm-v1"], list_versions(body))
                taken_up = await take_up(fleet, path, body, Resumes=attempt)
                self.check_fits(body, taken_up)
                check(fleet, taken_up)

        self.play(
            scenario,
            more_decode=0,
            configuration=split_route(lm=1),
            more_runners=make_other_service(),
            versions=TWO_SERVICES,
        )

    def test_order_a_route_leads_to_another_service_between_two_tries(self):
        self.check_changed_split(self.check_refused, lm2=1)

    def test_order_a_route_leads_mostly_to_another_service_between_two_tries(self):
        def check_whole(fleet, taken_up):
            self.assertEqual(ALL_EVENTS[2:], list_events(taken_up[2]))

        self.check_changed_split(check_whole, lm=1, lm2=1000)

    def test_a_stream_that_cannot_go_on_is_refused_with_a_time_to_retry(self):
        async def scenario(fleet):
            for host in (0, 1):
                status, _, headers = await fleet.send(
                    "/notes/1", "POST", host=host, Resumes=UNKNOWN, Last_Event_Id="2"
                )
                self.assertEqual(503, status)
                self.assertIn("Retry-After", headers)

        self.play(scenario)

    def play(self, scenario, **options):
        """Run a scenario with two hosts and two targets of two versions."""

        async def play(fleet):
            pause_events(fleet)
            await scenario(fleet)

        usual = {"domains": TWO_HOSTS, "more_decode": 2, "versions": VERSIONS}
        run(play, **(usual | options))

    def test_order_a_second_take_up_that_names_the_first_attempt_goes_astray(self):
        async def scenario(fleet):
            async def send(number):
                path = f"/notes/{number}"
                attempt, _, begun = await begin(fleet, path)
                _, _, more, _ = await fleet.send_stream(
                    path,
                    host=1,
                    leave_after=1,
                    Last_Event_Id=str(list_events(begun)[-1]),
                    Resumes=attempt,
                )
                taken_up = await take_up(fleet, path, begun + more, 0, Resumes=attempt)
                self.check_fits(begun + more, taken_up)
                return list_events(begun + more + taken_up[2]) == ALL_EVENTS

            went_on = await repeat(send, 12)
            self.assertGreaterEqual(sum(went_on), 6)

        self.play(scenario)

    def test_order_a_take_up_that_names_a_later_attempt_goes_astray(self):
        async def scenario(fleet):
            for number in range(8):
                path = f"/notes/{number}"
                attempt, _, begun = await begin(fleet, path)
                later, _, more, _ = await fleet.send_stream(
                    path,
                    host=1,
                    leave_after=1,
                    Last_Event_Id=str(list_events(begun)[-1]),
                    Resumes=attempt,
                )
                taken_up = await take_up(fleet, path, begun + more, 0, Resumes=later)
                self.check_fits(begun + more, taken_up)

        self.play(scenario)

    def test_order_a_stream_that_names_no_attempt_is_guessed(self):
        async def scenario(fleet):
            for version in ("v1", "v2"):
                path, _, begun = await begin_at(fleet, version, version)
                for host in (0, 1):
                    taken_up = await take_up(fleet, path, begun, host)
                    self.check_refused(fleet, taken_up)

        self.play(scenario)

    def test_order_a_stream_that_never_began_is_guessed(self):
        async def scenario(fleet):
            for runner in fleet.decode_runners:
                runner.faults.shed = True
            failed, status, _ = await begin(fleet, "/notes/1")
            self.assertEqual(503, status)
            for runner in fleet.decode_runners:
                runner.faults.shed = False
            for resumes in (UNKNOWN, failed, ""):
                for host in (0, 1):
                    taken_up = await take_up(
                        fleet,
                        "/notes/1",
                        b"",
                        host,
                        Resumes=resumes,
                        Last_Event_Id="2",
                    )
                    self.check_refused(fleet, taken_up)

        self.play(scenario)

    def test_order_a_take_up_goes_on_at_a_version_that_nobody_named(self):
        async def scenario(fleet):
            path, attempt, begun = await begin_at(fleet, "v1", "one")
            _, another, _ = await begin_at(fleet, "v2", "two")
            _, status, rest, _ = await take_up(fleet, path, begun, Resumes=another)
            self.assertIn(status, (200, 503))
            self.assertNotIn("lm-v1", list_versions(rest))
            taken_up = await take_up(fleet, path, begun, Resumes=attempt)
            self.check_fits(begun, taken_up)

        self.play(scenario)

    def test_order_an_attempt_that_two_streams_used_is_guessed(self):
        async def scenario(fleet):
            paths = [f"/notes/{number}" for number in range(8)]
            begun = await asyncio.gather(
                *(
                    begin(fleet, path, host % 2, X_Galenapass_Attempt_Id="same")
                    for host, path in enumerate(paths)
                )
            )
            bodies = [body for _, _, body in begun]
            self.assertEqual(
                ["lm-v1", "lm-v2"], sorted(list_versions(b"".join(bodies)))
            )
            for path, body in zip(paths, bodies, strict=True):
                for host in (0, 1):
                    taken_up = await take_up(fleet, path, body, host, Resumes="same")
                    self.check_fits(body, taken_up)

        self.play(scenario)

    def test_order_an_odd_last_event_id_leads_to_another_version(self):
        async def scenario(fleet):
            path, attempt, begun = await begin_at(fleet, "v1", "odd")
            for last in ("99", "-1", "0", "", "x", "9" * 400):
                _, _, rest, _ = await take_up(
                    fleet, path, begun, Resumes=attempt, Last_Event_Id=last
                )
                self.assertNotIn("lm-v2", list_versions(rest), last)
            taken_up = await take_up(fleet, path, begun, Resumes=attempt)
            self.check_fits(begun, taken_up)

        self.play(scenario)

    def test_a_long_attempt_to_resume_ends_nothing_else(self):
        async def scenario(fleet):
            path, attempt, begun = await begin_at(fleet, "v1", "long")
            for host in (0, 1):
                _, status, rest, seconds = await take_up(
                    fleet, path, begun, host, Resumes="a" * 10_240
                )
                self.assertIn(status, (400, 431, 503))
                self.assertEqual([], list_events(rest))
                self.assertLess(seconds, REFUSAL_SECONDS)
            taken_up = await take_up(fleet, path, begun, Resumes=attempt)
            self.check_fits(begun, taken_up)

        self.play(scenario)

    def test_order_a_stream_goes_on_while_its_version_is_away(self):
        async def scenario(fleet):
            path, attempt, begun = await begin_at(fleet, "v1", "back")
            for runner in (fleet.decode, fleet.more_decode[0]):
                fleet.store.remove("servers", runner.id)
            tables = [daemon.fleet.targets for daemon in fleet.daemons]
            await fleet.wait_for(
                lambda: not any({"d1", "d3"} & table.keys() for table in tables)
            )
            for host in (0, 1):
                taken_up = await take_up(fleet, path, begun, host, Resumes=attempt)
                self.check_refused(fleet, taken_up)
            # A release back to the older version.
            for runner in (fleet.decode, fleet.more_decode[0]):
                runner.born += 1
                runner.id = f"{runner.id}-{runner.born}"
                fleet.register(runner)
            await fleet.wait_for(
                lambda: all({"d1-2", "d3-2"} <= table.keys() for table in tables)
            )
            taken_up = await take_up(fleet, path, begun, Resumes=attempt)
            self.check_fits(begun, taken_up)
            path, attempt, begun = await begin_at(fleet, "v1", "again")
            taken_up = await take_up(fleet, path, begun, Resumes=attempt)
            self.check_fits(begun, taken_up)

        self.play(scenario)

    def test_order_a_stream_goes_on_at_its_target_that_is_back_at_another_version(self):
        async def scenario(fleet):
            path, attempt, begun = await begin_at(fleet, "v1", "id")
            answer = asyncio.create_task(fleet.send_stream("/notes/open?events=20"))
            await fleet.wait_for(lambda: len(fleet.daemon.fleet.targets) > 0)
            await asyncio.sleep(3 * EVENT_SECONDS)
            runner = fleet.decode
            replace_entry = runner.on_restart

            def release(former):
                runner.version = "v2"
                replace_entry(former)

            runner.on_restart = release
            runner.faults.keeps_id = True
            runner.faults.restart_seconds = 0.3
            runner.crash()
            await fleet.wait_for(lambda: runner.version == "v2")
            _, _, body, _ = await answer
            self.assertEqual([], list_joined([body]))
            tables = [daemon.fleet.targets for daemon in fleet.daemons]
            await fleet.wait_for(
                lambda: all(
                    "d1" in table and table["d1"].incarnation == str(runner.born)
                    for table in tables
                )
            )
            for host in (0, 1):
                taken_up = await take_up(fleet, path, begun, host, Resumes=attempt)
                self.check_fits(begun, taken_up)
                self.assertEqual(503, taken_up[1])

        self.play(scenario, more_decode=0, versions=ONE_OF_EACH)


class TestBriefVersions(VersionsCase):
    def test_order_a_version_that_comes_and_goes_at_once_is_not_counted(self):
        self.patch(service_versions, "STREAM_LIFETIME", timedelta(seconds=2))

        async def scenario(fleet):
            origins = fleet.daemon.origins
            await fleet.wait_for(lambda: not origins.needs_records)
            entry = fleet.decode.entry(version="v2", born=7)
            fleet.store.put("servers", "d9", entry)
            fleet.store.remove("servers", "d9")
            await fleet.wait_for(lambda: origins.needs_records)
            taken_up = await take_up(
                fleet, "/notes/1", b"", 0, Resumes=UNKNOWN, Last_Event_Id="2"
            )
            self.check_refused(fleet, taken_up)

        run(scenario, versions={"d1": "v1", "d2": "v1"})


class TestLostHosts(VersionsCase):
    def test_what_a_lost_host_wrote_of_an_older_version_is_removed(self):
        for module, name in (
            (origin_sharing, "REMOVAL_DELAY"),
            (origin_sharing, "REMOVAL_PERIOD"),
            (service_versions, "STREAM_LIFETIME"),
        ):
            self.patch(module, name, timedelta(seconds=1))

        async def scenario(fleet):
            row = [["lm", "v0"], None]
            published = {"written_at": time.time(), "versions": [row], "streams": []}
            fleet.store.put("streams", "gone", published)
            # A host that starts to schedule reads it.
            origins = fleet.daemon.origins
            removing = asyncio.create_task(origins.run_publishing())
            await fleet.wait_for(lambda: origins.needs_records)
            await fleet.wait_for(lambda: "gone" not in fleet.store.objects["streams"])
            removing.cancel()
            names = set(fleet.store.objects["streams"])
            self.assertEqual({fleet.settings.host}, names)
            await fleet.wait_for(lambda: not origins.needs_records)

        run(scenario, versions={"d1": "v1", "d2": "v1"})
