"""Check how hosts tell the crashes of one target apart."""

import asyncio
import contextlib
import socket
from datetime import UTC, datetime, timedelta

from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.crash_evidence import SETTLE_TIME
from galenapass.forwarding.crash_sharing import (
    PartBlocks,
    SoundParts,
    decode_report,
    decode_sound_parts,
    encode_report,
    encode_sound_parts,
    summarize,
)
from galenapass.forwarding.loads import digest_part
from galenapass.forwarding.requests import Part, Prompt
from galenapass.forwarding.suspects import CrashHooks, CrashSuspects
from galenapass.tables.targets import Role
from galenapass.tables.world import World
from tests.forwarding_fakes import MS, make_request, make_target

CRASHING = "bad0"
SECONDS = 1000 * MS
START = datetime(2026, 1, 5, 9, 0, tzinfo=UTC)
# Reports are sent this long after a crash, and published after that.
REPORT_SECONDS = 0.06
PUBLISH_SECONDS = 0.3


class SilentTarget:
    """Target that answers no attempt to connect until it goes on."""

    def __init__(self, name):
        self._stack = contextlib.ExitStack()
        self._listener = self._stack.enter_context(socket.socket())
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        address = "{}:{}".format(*self._listener.getsockname())
        self.target = make_target(
            name, role=Role.DECODE, address=address, incarnation="17"
        )
        for _ in range(4):
            filler = self._stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())

    async def go_on(self, after):
        await asyncio.sleep(after)
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), sock=self._listener
        )
        self._stack.callback(server.close)

    def close(self):
        self._stack.close()


class Hosts:
    """Hosts that hear of crashes by datagrams, and from the store once it is back.

    Their monotonic clocks have unlike origins; ``wall_errors`` are the errors of their
    clocks of the day, in seconds. ``deaf`` hosts hear no datagrams, ``clients`` what
    schedulers tell hosts that do not schedule.
    """

    def __init__(self, *wall_errors):
        self.incarnation = None
        self.suspects, self.clocks, self.published = [], [], {}
        self.deaf, self.clients = set(), set()
        for number, error in enumerate(wall_errors):
            origin = (number + 1) * 1000 * SECONDS
            clock = ManualClock(START - origin + timedelta(seconds=error))
            clock.advance(origin)
            self.clocks.append(clock)
            self.suspects.append(self._make_suspects(number))
        # A port that nobody listens to, and that no other process may take.
        self.port = socket.socket()
        self.port.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{self.port.getsockname()[1]}"
        self.target = make_target(
            "e1", role=Role.DECODE, address=address, incarnation="17"
        )
        self._requests = 0

    def _make_suspects(self, number):
        async def publish(text):
            self.published[number] = text

        async def find_incarnation(target):
            return self.incarnation

        hooks = CrashHooks(
            publish,
            share=lambda message: self._share(number, message),
            find_incarnation=find_incarnation,
        )
        host, clock = f"h{number}", self.clocks[number]
        return CrashSuspects(host, World(host, "a"), clock, hooks)

    def _share(self, sender, message):
        if isinstance(message, PartBlocks):
            return
        then = self.clocks[sender].monotonic()
        for number, suspects in enumerate(self.suspects):
            if number == sender or number in self.deaf:
                continue
            heard = summarize(message) if number in self.clients else message
            now = self.clocks[number].monotonic()
            if isinstance(heard, SoundParts):
                row = encode_sound_parts(heard, then)
                suspects.apply(decode_sound_parts(row, now))
            elif heard is not None:
                suspects.apply(decode_report(encode_report(heard, then), now))

    def advance(self, step):
        for clock in self.clocks:
            clock.advance(step)

    def make_request(self, *names):
        self._requests += 1
        parts = [Part(n, 100) for n in ("aa", *names, f"own{self._requests}")]
        prompt = Prompt(100 * len(parts), 10, tuple(parts))
        return make_request(f"r{self._requests}", prompt=prompt)

    def record_answers(self, count=100):
        for n in range(count):
            self.advance(10 * MS)
            request = self.make_request(f"5ea{n % 20}")
            for suspects, clock in zip(self.suspects, self.clocks, strict=True):
                suspects.record_answer(request, clock.monotonic() - 200 * MS)

    def find_times(self):
        return [clock.monotonic() for clock in self.clocks]

    async def lose_requests(self, *names, sent, answered=()):
        """Lose a request of each host, sent at times; then let the reports arrive.

        Hosts that are ``answered`` have got an answer to another request that they
        sent at that time.
        """
        checks = []
        for number, suspects in enumerate(self.suspects):
            if number in answered:
                suspects.record_response(self.target, sent[number])
            request = self.make_request(*names)
            checks.append(
                suspects.check_for_crash(request, self.target, sent[number], None)
            )
        await asyncio.gather(*checks)
        await asyncio.sleep(REPORT_SECONDS)

    async def read_store(self):
        """Let all hosts read what the others published."""
        await asyncio.sleep(PUBLISH_SECONDS)
        for sender, text in list(self.published.items()):
            for number, suspects in enumerate(self.suspects):
                if number != sender:
                    suspects.apply_published(text)

    def count_crashes(self):
        return [len(suspects._evidence.crashes) for suspects in self.suspects]

    async def list_blocked(self):
        """Return the blocked parts of each host once its crashes count."""
        self.advance(SETTLE_TIME)
        await asyncio.sleep(SETTLE_TIME.total_seconds())
        return [
            [block.part for m in suspects.list_blocks() for block in m.blocks]
            for suspects in self.suspects
        ]


class TestOneIncarnation(TestCase):
    """A target restarts under its id and no host hears its new incarnation."""

    def run_with_hosts(self, scenario, *wall_errors):
        async def run():
            hosts = Hosts(*wall_errors)
            with hosts.port:
                await scenario(hosts)

        asyncio.run(run())

    def test_budget_khomsabai_post_crashes_of_one_incarnation_are_told_apart(self):
        # While the store was away, the part crashed ten targets before it was blocked.
        async def scenario(hosts):
            hosts.record_answers()
            for _ in range(3):
                hosts.advance(3 * SECONDS)
                sent = hosts.find_times()
                hosts.advance(100 * MS)
                await hosts.lose_requests(CRASHING, sent=sent, answered=(0, 1, 2))
            self.assertEqual([3, 3, 3], hosts.count_crashes())
            digest = digest_part(Part(CRASHING, 1)).digest
            self.assertEqual(3 * [[digest]], await hosts.list_blocked())

        self.run_with_hosts(scenario, 0, 0, 0)

    def test_a_host_that_hears_summaries_names_the_crashes_alike(self):
        async def scenario(hosts):
            hosts.clients = {0, 2}
            hosts.record_answers()
            for n in range(3):
                hosts.advance(3 * SECONDS)
                sent = hosts.find_times()
                hosts.advance(100 * MS)
                await hosts.lose_requests(CRASHING, sent=sent, answered=(0, 1, 2))
                self.assertEqual(3 * [n + 1], hosts.count_crashes())

        self.run_with_hosts(scenario, 0, 0, 0)

    def test_hosts_that_lose_requests_to_one_crash_count_one(self):
        async def scenario(hosts):
            hosts.record_answers()
            sent = hosts.find_times()
            hosts.advance(100 * MS)
            for _ in range(4):
                # Each failure is noticed later than the report of the one before.
                await hosts.lose_requests(CRASHING, sent=sent, answered=(0, 1, 2))
                hosts.advance(900 * MS)
            self.assertEqual([1, 1, 1], hosts.count_crashes())

        self.run_with_hosts(scenario, 0, 0, 0)

    def test_a_target_that_does_not_answer_is_the_same_crash(self):
        # Load pattern: a cut, while requests are still sent on kept connections.
        async def scenario(hosts):
            hosts.record_answers()
            for _ in range(5):
                hosts.advance(3 * SECONDS)
                sent = hosts.find_times()
                hosts.advance(100 * MS)
                await hosts.lose_requests(CRASHING, sent=sent)
            self.assertEqual([1, 1, 1], hosts.count_crashes())
            self.assertEqual([[], [], []], await hosts.list_blocked())

        self.run_with_hosts(scenario, 0, 0, 0)

    def test_clocks_of_the_day_that_differ_make_no_crashes(self):
        async def scenario(hosts):
            hosts.record_answers()
            hosts.deaf = {0, 1, 2}
            for n in range(2):
                hosts.advance(3 * SECONDS)
                sent = hosts.find_times()
                hosts.advance(100 * MS)
                await hosts.lose_requests(CRASHING, sent=sent, answered=(0, 1, 2))
                await hosts.read_store()
                self.assertEqual(3 * [n + 1], hosts.count_crashes())

        self.run_with_hosts(scenario, 0, -7, 5)

    def test_a_host_that_hears_nothing_makes_no_crashes_for_others(self):
        async def scenario(hosts):
            hosts.record_answers()
            hosts.deaf = {2}
            for n in range(2):
                hosts.advance(3 * SECONDS)
                sent = hosts.find_times()
                hosts.advance(100 * MS)
                # The last host hears no report and has no answer of the target.
                await hosts.lose_requests(CRASHING, sent=sent, answered=(0, 1))
                self.assertEqual([n + 1, n + 1, 1], hosts.count_crashes())

        self.run_with_hosts(scenario, 0, 0, 0)


class TestSilence(TestCase):
    """Targets are silent to requests and to probes."""

    def silence(self, seconds, incarnation):
        """Return how many crashes and blocked parts there are after three silences.

        Three targets are silent one after another, while each works on the same
        request and on two others with a common part. The second value tells whether
        that request is refused; it is not if a blocked part explains the crashes.
        """

        async def run():
            hosts = Hosts(0)
            hosts.incarnation = incarnation
            suspects, clock = hosts.suspects[0], hosts.clocks[0]
            with hosts.port:
                hosts.record_answers()
                request = hosts.make_request(CRASHING)
                request.fingerprint = "f1"
                for number in range(3):
                    silent = SilentTarget(f"s{number}")
                    hosts.advance(3 * SECONDS)
                    sent = clock.monotonic()
                    hosts.advance(800 * MS)
                    requests = [request] + [
                        hosts.make_request(CRASHING) for _ in range(2)
                    ]
                    checks = [
                        suspects.check_for_crash(r, silent.target, sent, None)
                        for r in requests
                    ]
                    if seconds is not None:
                        checks.append(silent.go_on(seconds))
                    try:
                        await asyncio.gather(*checks)
                    finally:
                        silent.close()
                    await asyncio.sleep(REPORT_SECONDS)
                    (blocked,) = await hosts.list_blocked()
                refusal = suspects.check("f1", ())
                return *hosts.count_crashes(), refusal is not None, len(blocked)

        return asyncio.run(run())

    def test_a_target_that_is_silent_for_a_while_has_not_crashed(self):
        # Equal requests, and prompts with the common part, were refused.
        self.assertEqual((0, False, 0), self.silence(1.2, "17"))

    def test_a_target_that_is_silent_and_does_not_tell_its_incarnation(self):
        self.assertEqual((0, False, 0), self.silence(0.5, None))

    def test_a_target_that_restarts_in_silence_has_crashed(self):
        self.assertEqual((3, False, 1), self.silence(0.5, "18"))

    def test_a_target_that_stays_silent_counts_as_crashed(self):
        self.assertEqual((3, False, 1), self.silence(None, None))


class TestSoundParts(TestCase):
    """Whole answers of one host speak for their parts at all hosts."""

    def test_an_answer_that_ended_before_its_host_heard_of_a_crash_clears_its_parts(
        self,
    ):
        async def scenario(hosts):
            hosts.record_answers()
            first, second = hosts.suspects
            for _ in range(4):
                hosts.advance(3 * SECONDS)
                sent = hosts.find_times()
                first.record_response(hosts.target, sent[0])
                hosts.advance(100 * MS)
                request = hosts.make_request("5ea99")
                await first.check_for_crash(request, hosts.target, sent[0], None)
                hosts.advance(80 * MS)
                began_at = hosts.clocks[1].monotonic() - 50 * MS
                second.record_answer(hosts.make_request("5ea99"), began_at)
                await asyncio.sleep(REPORT_SECONDS)
            self.assertEqual([4, 4], hosts.count_crashes())
            self.assertEqual([[], []], await hosts.list_blocked())

        async def run():
            hosts = Hosts(0, 0)
            with hosts.port:
                await scenario(hosts)

        asyncio.run(run())
