"""Test the report on how hosts came to each version of the configuration."""

import orjson
from testtools import TestCase

from experiments.configuration_steps import describe_versions, read_steps

SECONDS = {
    "announced": 1.0,
    "not read": 3.0,
    "received": 3.9,
    "in force": 4.0,
}


def make_line(time, host, step, **fields):
    message = {"text": f"state: configuration is {step}", **fields}
    return f"  {time:.4f} {host} {orjson.dumps(message).decode()}\n"


def make_host(host, delay):
    """Return the lines of a host that is ``delay`` seconds late."""
    at = {step: seconds + delay for step, seconds in SECONDS.items()}
    return [
        make_line(at["announced"], host, "announced", version=6, peer="h9"),
        make_line(
            at["not read"], host, "not read", source="read", took_ms=2000, detail="x"
        ),
        make_line(at["received"], host, "received", revision=31, source="stale read"),
        make_line(at["in force"], host, "in force", version=6, revision=31),
    ]


class TestConfigurationSteps(TestCase):
    def test_the_slowest_host_is_shown_with_its_steps(self):
        lines = [*make_host("h1", 0.0), *make_host("h2", 0.5), "cut {\n", "no log\n"]
        report = list(describe_versions(read_steps(lines), 1))
        self.assertEqual(
            [
                "version 6: 2 hosts, first 4.000 s, median 4.500 s, last 4.500 s",
                "  h2: announced 1.500 s by h9, received 4.400 s by stale read,"
                " in force 4.500 s",
                "    read failed at 3.500 s after 2000 ms: x",
            ],
            report,
        )
