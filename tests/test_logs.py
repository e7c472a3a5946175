"""Test that logging is rate-limited and never blocks on its reader."""

import json
import os

from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.logs import MAX_BURST_LINES, BoundedLog
from tests.test_routing import seconds


class TestBoundedLog(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.clock = ManualClock()
        self.log = BoundedLog(self.writer, self.clock)

    def read(self):
        try:
            lines = os.read(self.reader, 2**20).splitlines()
        except BlockingIOError:
            return []
        return [json.loads(line) for line in lines]

    def test_each_line_is_one_object(self):
        self.log.write({"text": "a\nb", "count": 1})
        self.log.write({"text": "c", "error": ValueError("d")})
        self.assertEqual(["a\nb", "c"], [line["text"] for line in self.read()])

    def test_lines_over_the_rate_limit_are_dropped_and_counted(self):
        excess = 50
        for number in range(int(MAX_BURST_LINES) + excess):
            self.log.write({"n": number})
            if number % 100 == 99:
                self.read()
        self.clock.advance(seconds(1))
        self.read()
        self.log.write({"n": -1})
        self.assertEqual([{"n": -1, "left_out": excess}], self.read())

    def test_blocked_reader_does_not_block_writes(self):
        for number in range(1000):
            self.log.write({"n": number, "padding": "x" * 500})
        first = self.read()[0]
        self.assertEqual(0, first["n"])

    def test_partly_written_line_is_completed_first(self):
        text = "y" * 200_000
        self.log.write({"text": text})
        received = b""
        for _ in range(20):
            received += os.read(self.reader, 2**20)
            self.log.write({"text": "next"})
        first = json.loads(received.split(b"\n")[0])
        self.assertEqual(text, first["text"])
