"""Test the helpers that start processes for tests."""

from testtools import TestCase

from experiments.processes import find_free_port


class TestPorts(TestCase):
    def test_no_port_is_returned_twice(self):
        # When two daemons of one fleet were given port 19194, neither became ready.
        ports = [find_free_port() for _ in range(400)]
        self.assertEqual(len(ports), len(set(ports)))
