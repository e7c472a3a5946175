"""Test the operators' tool against servers on the loopback interface."""

import hashlib
import json
import pathlib
import socket
import tempfile

from aiohttp import web
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.cli import COMMANDS, main
from galenapass.operators.app import make_operators_app
from galenapass.settings.reference import format_reference
from galenapass.tool.output import format_table
from galenapass.verdicts import Reason, Run, Verdict
from tests.operators import TOKEN, FakeDaemon, serve_apps

DOCS = pathlib.Path(__file__).parent.parent / "docs"
FLEET = (DOCS / "operators-file-example.ini").read_text(encoding="utf-8")
SECOND = FLEET.replace("share = 3", "share = 4")
THIRD = FLEET.replace("share = 3", "share = 5")
LOST = Verdict(Run.MAY_HAVE_RUN, Reason.PLATFORM_UNAVAILABLE, "the answer was lost")


class ToolTestCase(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, text, name="fleet.ini"):
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def serve(self, app):
        serving = serve_apps(app)
        [address] = serving.__enter__()
        self.addCleanup(serving.__exit__, None, None, None)
        return address

    def run_tool(self, *arguments, status=0, token=TOKEN, text=None):
        environment = {"GALENAPASS_TOKEN": token}
        result = CliRunner().invoke(main, arguments, input=text, env=environment)
        seen = (result.exit_code, result.stdout, result.stderr)
        self.assertIsInstance(result.exception, SystemExit | None, seen)
        self.assertEqual(status, result.exit_code, seen)
        self.assertNotIn("Traceback", result.stderr)
        return result


class LocalTest(ToolTestCase):
    def test_check_names_every_fault(self):
        sound = self.run_tool("check", self.write(FLEET))
        self.assertIn("2 services, 2 targets, 1 callers", sound.stdout)
        path = self.write(FLEET.replace("kind = plain", "kind = odd\nfoo = 1"))
        faulty = self.run_tool("check", path, status=2)
        self.assertEqual("", faulty.stdout)
        for part in (f"{path}:14: [service booking] kind = `odd`", "foo = `1`"):
            self.assertIn(part, faulty.stderr)
        listed = json.loads(self.run_tool("check", path, "--json", status=2).stdout)
        self.assertEqual(["foo", "kind"], [fault["key"] for fault in listed["faults"]])
        self.assertEqual([15, 14], [fault["line"] for fault in listed["faults"]])

    def test_check_reads_the_settings_of_a_daemon(self):
        example = str(DOCS / "daemon-example.ini")
        self.run_tool("check", "--settings", example)
        self.run_tool("check", example, status=2)
        missing = self.run_tool("check", str(self.folder / "none"), status=2)
        self.assertIn("readable file", missing.stderr)

    def test_hash_key_reads_a_pipe(self):
        expected = hashlib.sha256(b"password").hexdigest()
        self.assertIn(expected, FLEET)
        result = self.run_tool("hash-key", text="password\n")
        self.assertEqual(expected + "\n", result.stdout)
        for text in ("", "\n", "two words\n"):
            self.run_tool("hash-key", text=text, status=2)

    def test_the_reference_is_current(self):
        page = (DOCS / "SETTINGS.md").read_text(encoding="utf-8")
        self.assertEqual(format_reference(), page)
        self.assertEqual(page, self.run_tool("reference").stdout)

    def test_each_command_documents_itself_and_completes(self):
        self.assertIn("Exit status", self.run_tool("--help").stdout)
        for command in COMMANDS:
            self.run_tool(command.name, "--help")
        environment = {
            "_GALENAPASS_COMPLETE": "bash_complete",
            "COMP_WORDS": "galenapass st",
            "COMP_CWORD": "1",
        }
        result = CliRunner().invoke(main, prog_name="galenapass", env=environment)
        self.assertEqual("plain,status\n", result.stdout)

    def test_wrong_usage_ends_with_2(self):
        for arguments in (
            ("status",),
            ("status", "--daemon", "localhost:80"),
            ("status", "--daemon", "127.0.0.1:80", "--timeout", "soon"),
            ("show", "--daemon", "127.0.0.1:80", "--platform", "127.0.0.1:81"),
            ("ask", "--entry", "127.0.0.1:80", "hello"),
            ("nonsense",),
        ):
            self.run_tool(*arguments, status=2)

    @given(st.lists(st.tuples(st.text("ab", max_size=9), st.integers())))
    def test_columns_are_aligned(self, rows):
        heading, *lines = format_table(("NAME", "COUNT"), rows)
        for line, (name, count) in zip(lines, rows, strict=True):
            self.assertEqual([name or "-", str(count)], line.split())
            self.assertEqual(len(lines[0]), len(line))


class ConfigurationTest(ToolTestCase):
    def setUp(self):
        super().setUp()
        self.daemon = FakeDaemon()
        self.port = ("--daemon", self.serve(make_operators_app(self.daemon, TOKEN)))

    def apply(self, text, *options, status=0):
        return self.run_tool(
            "apply", self.write(text), *self.port, *options, status=status
        )

    def test_apply_uses_the_version_in_force(self):
        first = self.apply(FLEET)
        self.assertEqual("no file is in force yet\n", first.stderr)
        self.assertIn("accepted as version 3", first.stdout)
        second = self.apply(SECOND)
        self.assertIn("accepted as version 6", second.stdout)
        for part in ("based on version 3", "-share = 3", "+share = 4"):
            self.assertIn(part, second.stderr)
        self.assertEqual({"version": 9}, json.loads(self.apply(THIRD, "--json").stdout))
        self.assertEqual([FLEET, SECOND, THIRD], list(self.daemon.files.values()))

    def test_a_conflict_names_both_versions_and_the_difference(self):
        self.daemon.files = {3: FLEET, 6: SECOND}
        late = self.apply(THIRD, "--base", "3", status=3)
        for part in ("version 3,", "version 6 is", "-share = 3", "+share = 4"):
            self.assertIn(part, late.stderr)
        listed = json.loads(self.apply(THIRD, "--base", "3", "--json", status=3).stdout)
        self.assertEqual([3, 6], listed["versions"])
        self.apply(THIRD, "--base", "0", status=3)
        self.assertEqual({3: FLEET, 6: SECOND}, self.daemon.files)

    def test_a_lost_answer_is_resolved_by_reading_back(self):
        self.daemon.lost = LOST
        self.assertIn("accepted as version 3", self.apply(FLEET).stdout)

    def test_an_unresolved_answer_is_reported(self):
        self.daemon.files = {3: FLEET}
        self.daemon.failure = LOST
        self.assertIn("may still come into force", self.apply(SECOND, status=1).stderr)
        self.daemon.failure = Verdict(
            Run.NOT_RUN, Reason.PLATFORM_UNAVAILABLE, "is away"
        )
        refused = self.apply(SECOND, status=1).stderr
        self.assertIn("is away (not run)", refused)
        self.assertNotIn("may still", refused)

    def test_a_file_with_faults_is_not_sent(self):
        self.apply(FLEET + "[odd]\n", status=2)
        self.assertEqual({}, self.daemon.files)

    def test_show_prints_the_same_bytes(self):
        self.run_tool("show", *self.port, status=1)
        self.daemon.files = {3: FLEET, 6: SECOND}
        shown = self.run_tool("show", *self.port)
        self.assertEqual((SECOND, "version 6\n"), (shown.stdout, shown.stderr))
        old = self.run_tool("show", "--version", "3", "--json", *self.port)
        self.assertEqual({"version": 3, "text": FLEET}, json.loads(old.stdout))
        gone = self.run_tool("show", "--version", "4", *self.port, status=1)
        self.assertIn("no version 4", gone.stderr)

    def test_apply_and_show_accept_the_platform(self):
        self.port = ("--platform", self.serve(make_platform_app()))
        self.assertIn("accepted as version 1", self.apply(FLEET).stdout)
        self.assertIn("accepted as version 2", self.apply(SECOND).stdout)
        self.assertIn("version 2 is", self.apply(THIRD, "--base", "1", status=3).stderr)
        self.assertEqual(SECOND, self.run_tool("show", *self.port).stdout)
        self.run_tool("show", "--version", "1", *self.port, status=1)


class FleetTest(ToolTestCase):
    def setUp(self):
        super().setUp()
        self.daemon = FakeDaemon()
        self.daemon.files = {3: FLEET}
        self.port = ("--daemon", self.serve(make_operators_app(self.daemon, TOKEN)))

    def test_state_and_targets_are_shown(self):
        lines = self.run_tool("status", *self.port).stdout.splitlines()
        self.assertIn(["ready", "yes"], [line.split() for line in lines])
        self.assertEqual(["entry-1", "addis-1", "alive", "3"], lines[-1].split())
        lines = self.run_tool("targets", *self.port).stdout.splitlines()
        self.assertEqual(
            "runner-1 assistant addis-1 engine prefill serving 3 1 40 2000 0.25",
            " ".join(lines[1].split()),
        )
        lines = self.run_tool("roles", *self.port).stdout.splitlines()
        self.assertEqual(["assistant", "addis-1", "0", "1", "1", "1"], lines[1].split())

    def test_each_command_prints_json(self):
        keys = {"status": "hosts", "targets": "targets", "roles": "roles"}
        for command, key in keys.items():
            result = self.run_tool(command, "--json", *self.port)
            self.assertIn(key, json.loads(result.stdout))

    def test_a_wrong_token_is_refused_and_not_printed(self):
        for command in ("status", "targets", "roles", "show"):
            result = self.run_tool(command, *self.port, status=1, token="guessed")
            self.assertIn("wrong or missing token (not run)", result.stderr)
            self.assertNotIn("guessed", result.stderr)

    def test_an_unreachable_daemon_ends_with_4(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
            for command in ("status", "show"):
                result = self.run_tool(command, "--daemon", address, status=4)
                self.assertIn("cannot reach", result.stderr)
            self.run_tool("ask", "--entry", address, "--model", "m", "hi", status=4)

    def test_any_answer_leaves_no_traceback(self):
        body = b""

        async def answer(request):
            return web.Response(body=body, headers={"ETag": '"1"'})

        app = web.Application()
        app.router.add_get("/{path:.*}", answer)
        address = self.serve(app)
        documents = st.recursive(
            st.none() | st.integers() | st.text(max_size=3),
            lambda inner: (
                st.lists(inner, max_size=2)
                | st.dictionaries(
                    st.sampled_from(["targets", "hosts", "duties", "kind", "host"]),
                    inner,
                )
            ),
        )

        @given(documents, st.sampled_from(["status", "targets", "roles"]))
        def check(document, command):
            nonlocal body
            body = json.dumps(document).encode()
            arguments = (command, "--daemon", address)
            result = CliRunner().invoke(main, arguments)
            self.assertIsInstance(result.exception, SystemExit | None)
            self.assertIn(result.exit_code, (0, 1))

        check()


class AskTest(ToolTestCase):
    def ask(self, answer, *options, status=0):
        app = web.Application()
        app.router.add_post("/v1/chat/completions", answer)
        entry = ("--entry", self.serve(app), "--key", "k", "--model", "juniper-8b")
        return self.run_tool("ask", *entry, *options, "name", "a gin", status=status)

    def test_an_answer_is_printed_as_it_streams(self):
        seen = []

        async def answer(request):
            seen.append((dict(request.headers), await request.json()))
            return await stream(request, "a ", "gin", ending=True)

        self.assertEqual("a gin\n", self.ask(answer, "--no-repeat").stdout)
        headers, body = seen[0]
        self.assertEqual(
            ("Bearer k", "no"), (headers["Authorization"], headers["X-Repeatable"])
        )
        self.assertEqual("name a gin", body["messages"][0]["content"])
        document = json.loads(self.ask(answer, "--json", "--max-tokens", "5").stdout)
        self.assertEqual(
            ("a gin", "stop"), (document["text"], document["finish_reason"])
        )
        self.assertEqual(5, seen[1][1]["max_tokens"])

    def test_a_refusal_gives_the_verdict(self):
        async def answer(request):
            problem = {"detail": "too much work", "verdict": "not run"}
            return web.json_response(problem, status=429, headers={"Retry-After": "3"})

        refused = self.ask(answer, status=1).stderr
        self.assertIn("too much work (not run); come back in 3 s", refused)

    def test_a_stream_that_fails_differs_from_one_that_ends(self):
        async def fail(request):
            problem = {"detail": "target failed", "verdict": "may have run"}
            return await stream(request, "a ", problem=problem)

        async def stop(request):
            return await stream(request, "a ")

        async def send_nonsense(request):
            return web.Response(text="data: nonsense\n\n")

        failed = self.ask(fail, status=1)
        self.assertEqual("a \n", failed.stdout)
        self.assertIn("target failed (may have run)", failed.stderr)
        self.assertIn("before it was whole", self.ask(stop, status=1).stderr)
        self.ask(send_nonsense, status=4)


async def stream(request, *texts, ending=False, problem=None):
    response = web.StreamResponse()
    await response.prepare(request)
    for text in texts:
        chunk = json.dumps({"choices": [{"delta": {"content": text}}]})
        await response.write(f"id: 1\ndata: {chunk}\n\n".encode())
    if ending:
        chunk = json.dumps({"choices": [{"delta": {}, "finish_reason": "stop"}]})
        await response.write(f"data: {chunk}\n\ndata: [DONE]\n\n".encode())
    if problem:
        await response.write(f"event: error\ndata: {json.dumps(problem)}\n\n".encode())
    return response


def make_platform_app():
    stored = []

    async def read(request):
        if not stored:
            raise web.HTTPNotFound
        return web.Response(text=stored[-1], headers=tag())

    async def write(request):
        wanted = request.headers.get("If-Match", '"0"')
        if wanted != tag()["ETag"]:
            raise web.HTTPPreconditionFailed(headers=tag())
        stored.append(await request.text())
        return web.Response(headers=tag())

    def tag():
        return {"ETag": f'"{len(stored)}"'}

    app = web.Application()
    app.router.add_get("/objects/configurations/current", read)
    app.router.add_put("/objects/configurations/current", write)
    return app
