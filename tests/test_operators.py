"""Test the operators' application over HTTP."""

import asyncio
import pathlib
from datetime import timedelta

from aiohttp.test_utils import TestClient, TestServer
from eliot.testing import capture_logging
from testtools import TestCase

from galenapass.operators.app import MAX_FILE_BYTES, make_operators_app
from galenapass.verdicts import Reason, Run, Verdict
from tests.operators import TOKEN, FakeDaemon

DOCS = pathlib.Path(__file__).parent.parent / "docs"
FLEET = (DOCS / "operators-file-example.ini").read_text(encoding="utf-8")
OPERATOR_HEADERS = {"Authorization": f"Bearer {TOKEN}"}


def call(daemon, *calls):
    """Return the status, headers and body of each call in order."""

    async def run():
        server = TestServer(make_operators_app(daemon, TOKEN))
        async with TestClient(server) as client:
            return [await send_request(client, *parts) for parts in calls]

    async def send_request(client, method, path, headers=OPERATOR_HEADERS, body=None):
        async with client.request(method, path, headers=headers, data=body) as response:
            is_json = response.content_type.endswith("json")
            content = await (
                response.json(content_type=None) if is_json else response.text()
            )
            return response.status, response.headers, content

    return asyncio.run(run())


def put(text, **headers):
    hyphenated = {name.replace("_", "-"): value for name, value in headers.items()}
    return "PUT", "/configuration", OPERATOR_HEADERS | hyphenated, text


class OperatorsAppTest(TestCase):
    @capture_logging(None)
    def test_requests_without_the_token_are_rejected(self, logger):
        wrong_headers = [
            {},
            {"Authorization": "Bearer "},
            {"Authorization": "Bearer guessed-secret"},
            {"Authorization": f"Bearer {TOKEN}x"},
            {"Authorization": f"Basic {TOKEN}"},
            {"Authorization": f"Bearer {TOKEN[:-1]}\u00e9"},
        ]
        paths = ["/status", "/targets", "/configuration", "/nowhere"]
        calls = [("GET", path, headers) for path in paths for headers in wrong_headers]
        calls += [
            ("PUT", "/configuration", headers, FLEET) for headers in wrong_headers
        ]
        daemon = FakeDaemon()
        self.assertEqual({401}, {status for status, _, _ in call(daemon, *calls)})
        self.assertEqual({}, daemon.files)
        lines = [m for m in logger.messages if "wrong token" in m.get("text", "")]
        self.assertEqual(len(calls), len(lines))
        self.assertNotIn("guessed-secret", str(logger.messages))
        self.assertNotIn(TOKEN, str(logger.messages))

    def test_an_empty_token_is_refused(self):
        self.assertRaises(ValueError, make_operators_app, FakeDaemon(), "")

    def test_status_and_targets_have_the_documented_fields(self):
        responses = call(FakeDaemon(), ("GET", "/status"), ("GET", "/targets"))
        [(_, _, status), (_, _, targets)] = responses
        keys = "host domain incarnation ready settings_version platform duties hosts"
        self.assertEqual(keys.split(), list(status))
        self.assertEqual("reachable", status["platform"])
        keys = "id domain state settings_version"
        self.assertEqual(keys.split(), list(status["hosts"][0]))
        first, *_, last = targets["targets"]
        keys = "id service domain kind role state running waiting "
        keys += "pieces_used pieces_total report_age"
        self.assertEqual(keys.split(), list(first))
        self.assertEqual((0.25, None), (first["report_age"], last["report_age"]))

    def test_a_file_is_applied_only_on_its_base_version(self):
        daemon = FakeDaemon()
        second = FLEET.replace("share = 3", "share = 4")
        [none, first, repeated, stale, newer, current, old, missing] = call(
            daemon,
            ("GET", "/configuration"),
            put(FLEET, If_None_Match="*"),
            put(FLEET, If_None_Match="*"),
            put(second, If_Match='"1"'),
            put(second, If_Match='"3"'),
            ("GET", "/configuration"),
            ("GET", "/configuration?version=3"),
            ("GET", "/configuration?version=4"),
        )
        statuses = [
            response[0] for response in (none, first, repeated, stale, newer, missing)
        ]
        self.assertEqual([404, 200, 409, 409, 200, 404], statuses)
        self.assertEqual(
            (1, 3), (stale[2]["base_version"], stale[2]["current_version"])
        )
        self.assertEqual('"3"', stale[1]["ETag"])
        self.assertEqual(('"6"', second), (current[1]["ETag"], current[2]))
        self.assertEqual(('"3"', FLEET), (old[1]["ETag"], old[2]))

    def test_an_invalid_request_changes_nothing(self):
        daemon = FakeDaemon()
        responses = call(
            daemon,
            put(FLEET.replace("share = 3", "share = x\nfoo = 1"), If_None_Match="*"),
            put(FLEET),
            put(FLEET, If_Match="*"),
            put(b"[fleet]\n# \xff\n", If_None_Match="*"),
            put("#" * (MAX_FILE_BYTES + 1), If_None_Match="*"),
            ("GET", "/configuration?version=x"),
            ("DELETE", "/configuration"),
            ("GET", "/nowhere"),
        )
        statuses = [status for status, _, _ in responses]
        self.assertEqual([400, 428, 428, 400, 413, 400, 405, 404], statuses)
        faults = responses[0][2]["faults"]
        self.assertEqual({"share", "foo"}, {fault["key"] for fault in faults})
        self.assertEqual({"not run"}, {body["verdict"] for _, _, body in responses})
        self.assertEqual({}, daemon.files)

    def test_a_verdict_is_returned_as_a_problem(self):
        daemon = FakeDaemon()
        daemon.failure = Verdict(
            Run.MAY_HAVE_RUN, Reason.PLATFORM_UNAVAILABLE, "lost", timedelta(seconds=2)
        )
        [(status, headers, body)] = call(daemon, put(FLEET, If_None_Match="*"))
        self.assertEqual((503, "2"), (status, headers["Retry-After"]))
        self.assertEqual("may have run", body["verdict"])
