"""Test how long a connection may be silent before the kernel ends it."""

import socket
from datetime import timedelta

from testtools import TestCase

from galenapass.targets.connections import (
    MAX_UNANSWERED_PROBES,
    make_probed_socket,
    make_target_socket,
)

SECOND = timedelta(seconds=1)
INFO = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ("127.0.0.1", 1))
# Longest silence of a sound target, and the longest after which a lost one is left.
MAX_SOUND_SILENCE = 1.5 * SECOND
MAX_LOST_SILENCE = 4 * SECOND


def find_end(make_socket):
    """Return after which silence the kernel ends a connection.

    It checks as each probe is due, and counts from the last byte that it received. With
    a user timeout, the number of unanswered probes does not matter.
    """
    with make_socket(INFO) as made:
        idle, interval, timeout_ms = (
            made.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_USER_TIMEOUT,
            )
        )
    probes = [idle * SECOND]
    while probes[-1] < timeout_ms * timedelta(milliseconds=1) or len(probes) < 2:
        probes.append(probes[-1] + interval * SECOND)
    return probes


class TestSilentSockets(TestCase):
    def test_lost_is_no_answer_of_a_target_that_is_silent_for_a_second_or_so(self):
        # The silence may begin just before the first probe, and take all but the last.
        first, *_, last_answered, _ = find_end(make_target_socket)
        self.assertGreater(last_answered - first, MAX_SOUND_SILENCE)

    def test_a_target_that_is_lost_is_left(self):
        self.assertLessEqual(find_end(make_target_socket)[-1], MAX_LOST_SILENCE)

    def test_a_lost_store_or_host_is_left_after_the_probes(self):
        end = find_end(make_probed_socket)[-1]
        self.assertLessEqual(end, MAX_UNANSWERED_PROBES * SECOND)
