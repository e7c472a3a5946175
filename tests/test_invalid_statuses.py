"""Test that no bytes that are not an HTTP answer, and no cut answer, reach a client."""

import asyncio
import contextlib
import socket
import struct
from datetime import timedelta

import aiohttp
from result import Err
from testtools import TestCase

from galenapass.dispatch import Route
from galenapass.tables.requests import Request
from galenapass.targets.engines import EngineClient
from galenapass.targets.services import Call, PlainServiceClient
from galenapass.verdicts import Run
from stand_ins.platform_routes import CONFIGURATION
from stand_ins.runner import SIGNATURE, Runner
from tests.platform_fleet import run

# Heads without a status of HTTP, or whose status line holds no number.
INVALID_STATUS_LINES = (
    b"HTTP/1.1 000 Unknown",
    b"HTTP/1.1 000",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999 High",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1  OK",
    b"HTTP/1.1",
)
BODY = b"not an answer"
UPLOAD = b"u" * 3_000_000


async def serve_raw(respond):
    """Return a server whose connections ``respond`` answers, and its address."""

    async def handle(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            await respond(head, reader, writer)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def make_responder(status_line):
    async def respond(head, reader, writer):
        headers = _echo_id(head) + b"Content-Length: %d\r\n\r\n" % len(BODY)
        writer.write(status_line + b"\r\n" + headers + BODY)
        await writer.drain()

    return respond


def make_resetting_responder(delay):
    """Answer an upload at once, without a length, and reset it after ``delay``."""

    async def respond(head, reader, writer):
        kind = b"Content-Type: text/plain\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + _echo_id(head) + kind + b"\r\npart")
        await writer.drain()
        await asyncio.sleep(delay)
        connected = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    return respond


async def send_endless_interim(head, reader, writer):
    while True:
        writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        await writer.drain()


def _echo_id(head):
    names = (b"x-galenapass-attempt-id", b"x-request-id")
    lines = [line for line in head.split(b"\r\n") if line.lower().startswith(names)]
    signature = SIGNATURE.encode() + b": s\r\n"
    return b"".join(line + b"\r\n" for line in lines) + signature


class RawRunner(Runner):
    """Target whose port answers by a function of its own."""

    def __init__(self, name, respond):
        super().__init__(name, "raw")
        self._respond = respond
        self._server = None
        self.is_reached = False

    async def start(self):
        self._server, self.address = await serve_raw(self._answer)

    async def _answer(self, *exchange):
        self.is_reached = True
        await self._respond(*exchange)

    async def stop(self):
        self._server.close()


class TestProductInterface(TestCase):
    """The clients that the product's own interface uses."""

    def send_call(self, respond, body=b""):
        async def scenario():
            server, address = await serve_raw(respond)
            client = PlainServiceClient()
            try:
                call = Call("r1", "POST", "/x", "text/plain", body)
                async with asyncio.timeout(5):
                    return await client.send(address, call, 3.0)
            finally:
                await client.close()
                server.close()

        return asyncio.run(scenario())

    def open_stream(self, respond, body=b"{}"):
        async def scenario():
            server, address = await serve_raw(respond)
            engines = EngineClient()
            request = Request(
                id="r1",
                caller="tester",
                service="chat",
                arrived=timedelta(0),
                deadline=timedelta(seconds=3),
            )
            try:
                async with asyncio.timeout(5):
                    opened = await engines.open_stream(
                        Route("e1", address), "/v1/completions", body, request, 0
                    )
                    if isinstance(opened, Err):
                        return opened.err_value
                    async with opened.ok_value as response:
                        return await response.read()
            except aiohttp.ClientError as error:
                return error
            finally:
                await engines.close()
                server.close()

        return asyncio.run(scenario())

    def test_a_status_that_is_none_fails_a_call(self):
        for line in INVALID_STATUS_LINES:
            result = self.send_call(make_responder(line))
            self.assertIsInstance(result, Err, line)
            self.assertIs(Run.MAY_HAVE_RUN, result.err_value.run)

    def test_a_status_that_is_none_fails_a_stream(self):
        for line in INVALID_STATUS_LINES:
            verdict = self.open_stream(make_responder(line))
            self.assertIs(Run.MAY_HAVE_RUN, getattr(verdict, "run", None), line)

    def test_interim_answers_without_end_fail_a_call(self):
        result = self.send_call(send_endless_interim)
        self.assertIs(Run.MAY_HAVE_RUN, result.err_value.run)

    def test_an_upload_that_is_reset_fails_its_call(self):
        for delay in (0.0, 0.05, 0.3):
            result = self.send_call(make_resetting_responder(delay), UPLOAD)
            self.assertIsInstance(result, Err, delay)

    def test_an_upload_that_is_reset_is_no_whole_stream(self):
        for delay in (0.0, 0.05, 0.3):
            result = self.open_stream(make_resetting_responder(delay), UPLOAD)
            self.assertNotIsInstance(result, bytes, delay)


def make_configuration(kind):
    """Return the usual configuration with a route /raw/ to the service ``raw``."""
    route = CONFIGURATION["routes"][0] | {
        "name": "raw",
        "path_prefix": "/raw/",
        "kind": kind,
        "service": "raw",
        "attempts": 1,
        "timeout_ms": 2500,
    }
    return CONFIGURATION | {
        "routes": [*CONFIGURATION["routes"], route],
        "services": [*CONFIGURATION["services"], {"name": "raw"}],
    }


class TestPlatformPath(TestCase):
    """Requests through a daemon, directly and through another host."""

    def send(self, respond, kind, body=b"{}", is_cut_off=False):
        """Return the status and the body, None unless the answer is whole.

        A host that is cut off from the targets reaches them through another one.
        """
        answers = []

        async def scenario(fleet):
            if is_cut_off:
                await fleet.wait_for(
                    lambda: all(len(d.paths.hosts) == 2 for d in fleet.daemons)
                )
                fleet.links[0].refuses = True
            try:
                status, received, _ = await fleet.send("/raw/1", "POST", body)
            except aiohttp.ClientError:
                status, received = None, None
            answers.append((status, received))
            self.assertTrue(raw.is_reached)

        raw = RawRunner("raw-1", respond)
        options = {"domains": ("zone-a", "zone-b"), "linked": True}
        run(
            scenario,
            configuration=make_configuration(kind),
            more_runners=[raw],
            **(options if is_cut_off else {}),
        )
        return answers[0]

    def test_a_status_that_is_none_is_no_answer(self):
        for kind in ("idempotent", "non_idempotent", "streaming"):
            for line in INVALID_STATUS_LINES:
                status, body = self.send(make_responder(line), kind)
                self.assertIn(status, (502, 504), (kind, line))
                self.assertNotIn(BODY, body)

    def test_interim_answers_without_end_are_no_answer(self):
        status, _ = self.send(send_endless_interim, "non_idempotent")
        self.assertIn(status, (502, 504))

    def test_nothing_changes_through_another_host(self):
        status, body = self.send(
            make_responder(INVALID_STATUS_LINES[0]), "non_idempotent", is_cut_off=True
        )
        self.assertEqual(502, status)
        self.assertNotIn(BODY, body)
        status, _ = self.send(
            make_resetting_responder(0.05), "streaming", UPLOAD, is_cut_off=True
        )
        self.assertNotEqual(200, status)

    def test_an_upload_that_is_reset_is_no_whole_answer(self):
        for kind in ("idempotent", "non_idempotent", "streaming"):
            for delay in (0.0, 0.05, 0.3):
                answer = self.send(make_resetting_responder(delay), kind, UPLOAD)
                self.assertNotEqual(200, answer[0], (kind, delay))
