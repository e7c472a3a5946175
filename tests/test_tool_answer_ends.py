"""Test that the tool takes no part of an answer for the whole."""

import asyncio
from datetime import timedelta

from result import Err, Ok
from testtools import TestCase

from galenapass.settings.addresses import parse_address
from galenapass.tool.configurations import StoredFile, read_stored, write_stored
from galenapass.tool.options import Connection
from galenapass.verdicts import Run

TEXT = b"[limits]\nmax_wait = 10 s\n"
HEAD = b'HTTP/1.1 200 OK\r\nETag: "3"\r\n'


class TestConfigurations(TestCase):
    def call(self, answer, call):
        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        async def scenario():
            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            address = parse_address(f"127.0.0.1:{port}").unwrap()
            async with server:
                return await call(
                    Connection(address, "", timedelta(seconds=5), is_platform=False)
                )

        return asyncio.run(scenario())

    def test_a_file_that_may_be_cut_off_is_not_shown(self):
        result = self.call(HEAD + b"\r\n" + TEXT[:-6], read_stored)
        self.assertIsInstance(result, Err)
        self.assertIn("before it was whole", result.err_value.message)

    def test_a_file_with_a_length_is_whole(self):
        length = b"Content-Length: %d\r\n\r\n" % len(TEXT)
        result = self.call(HEAD + length + TEXT, read_stored)
        self.assertEqual(Ok(StoredFile(3, TEXT.decode())), result)

    def test_a_file_that_ends_before_its_length_is_not_shown(self):
        length = b"Content-Length: %d\r\n\r\n" % len(TEXT)
        result = self.call(HEAD + length + TEXT[:-6], read_stored)
        self.assertIsInstance(result, Err)
        self.assertIs(Run.MAY_HAVE_RUN, result.err_value.run)

    def test_a_write_is_answered_by_its_head(self):
        result = self.call(
            HEAD + b"\r\n", lambda connection: write_stored(connection, "", 2)
        )
        self.assertEqual(Ok(3), result)
