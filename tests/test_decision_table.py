"""Test the tables of stage durations and of requests not served."""

import orjson
from testtools import TestCase

from experiments.decision_table import count_unserved, read_timelines, summarise_stages


def make_log_line(seconds, text, request="r1", **fields):
    entry = {"text": text, "request": request, "timestamp": seconds} | fields
    return f"   {seconds} front-1 {orjson.dumps(entry).decode()}\n"


def make_end_line(seconds, took_ms, reason="completed", detail="", **fields):
    outcome = {"took_ms": took_ms, "reason": reason, "detail": detail}
    return make_log_line(seconds, "entry: ended", **outcome, **fields)


class TestTables(TestCase):
    def test_a_stage_lasts_from_one_decision_to_the_next(self):
        lines = [
            make_log_line(10.2, "forwarding: reads", why="wait 4 ms, unread 90 of 300"),
            make_log_line(10.5, "forwarding: runs", source="10.0.0.1:1/h1"),
            make_end_line(11.0, 900),
            '   10.1 front-1 {"text":"state: target changed","timestamp":10.1}\n',
            '   10.1 front-1 {"text":"entry: ended","request":"r9","took\n',
        ]
        (timeline,) = read_timelines(lines)
        self.assertAlmostEqual(10.1, timeline.arrived)
        stages = summarise_stages([timeline])
        self.assertEqual([100, 300, 400], [round(v[1]) for v in stages.values()])

    def test_requests_not_served_are_counted_by_window_and_reason(self):
        detail = "{} ms of work for 2500 ms left"
        lines = [
            make_end_line(4.5, 200, "overloaded", detail.format(9000), request="a"),
            make_end_line(5.0, 300, "overloaded", detail.format(7000), request="b"),
            make_end_line(5.0, 300, request="c"),
        ]
        unserved = count_unserved(read_timelines(lines))
        text = "N ms of work for N ms left"
        self.assertEqual({(4.0, "overloaded", text): 2}, dict(unserved))
