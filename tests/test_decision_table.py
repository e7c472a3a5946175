"""Test the tables of waiting times by stage and of requests not served."""

import orjson
from testtools import TestCase

from experiments.decision_table import count_endings, read_passages, summarise_stages


def write(seconds, text, request="r1", **fields):
    entry = {"text": text, "request": request, "timestamp": seconds} | fields
    return f"   {seconds} front-1 {orjson.dumps(entry).decode()}\n"


def end(seconds, took_ms, reason="completed", detail="", **fields):
    outcome = {"took_ms": took_ms, "reason": reason, "detail": detail}
    return write(seconds, "entry: ended", **outcome, **fields)


class TestTables(TestCase):
    def test_a_stage_lasts_from_one_decision_to_the_next(self):
        lines = [
            write(10.2, "forwarding: reads", why="wait 4 ms, unread 90 of 300"),
            write(10.5, "forwarding: runs", source="10.0.0.1:1/h1"),
            end(11.0, 900),
            '   10.1 front-1 {"text":"state: target changed","timestamp":10.1}\n',
            '   10.1 front-1 {"text":"entry: ended","request":"r9","took\n',
        ]
        (passage,) = read_passages(lines)
        self.assertAlmostEqual(10.1, passage.arrived)
        stages = summarise_stages([passage])
        self.assertEqual([100, 300, 400], [round(v[1]) for v in stages.values()])

    def test_requests_not_served_are_counted_by_window_and_reason(self):
        detail = "{} ms of work for 2500 ms left"
        lines = [
            end(4.5, 200, "overloaded", detail.format(9000), request="a"),
            end(5.0, 300, "overloaded", detail.format(7000), request="b"),
            end(5.0, 300, request="c"),
        ]
        endings = count_endings(read_passages(lines))
        text = "N ms of work for N ms left"
        self.assertEqual({(4.0, "overloaded", text): 2}, dict(endings))
