"""Test that settings versions only increase and reach every daemon."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from galenapass.systems import settings_sync
from galenapass.systems.settings_sync import Patch, SettingsReplica
from galenapass.tables.peer_messages import Settings

DAEMONS = range(4)
daemon = st.sampled_from(DAEMONS)
line = st.sampled_from(["[caller a]\n", "rate = 1 req/s\n", "x = y\n", "\u2028", "z"])
text = st.lists(line, max_size=8).map("".join)


def accept(settings_text):
    return "refused" not in settings_text


class PatchTest(TestCase):
    @given(text, text)
    def test_a_patch_reproduces_the_new_text(self, old, new):
        partner = SettingsReplica(Settings(4, old))
        sender = SettingsReplica(Settings(4, old))
        self.assertTrue(settings_sync.apply_settings(sender, Settings(9, new), accept))
        patch = settings_sync.make_settings_reply(sender, 4, False)
        self.assertIsInstance(patch, Patch)
        self.assertEqual(Settings(9, new), settings_sync.apply_patch(partner, patch))

    def test_a_patch_to_a_different_base_is_rejected(self):
        sender = SettingsReplica(Settings(1, "a\nb\nc\n"))
        settings_sync.apply_settings(sender, Settings(2, "a\nd\nc\n"), accept)
        patch = settings_sync.make_settings_reply(sender, 1, False)
        for other in (Settings(1, "a\nb\ne\n"), Settings(0, "")):
            self.assertIsNone(settings_sync.apply_patch(SettingsReplica(other), patch))

    def test_one_changed_line_of_a_large_file_makes_a_small_patch(self):
        lines = [f"[caller {n}]\nrate = 40 req/s\n" for n in range(1000)]
        sender = SettingsReplica(Settings(1, "".join(lines)))
        lines[500] = "[caller 500]\nrate = 50 req/s\n"
        settings_sync.apply_settings(sender, Settings(2, "".join(lines)), accept)
        self.assertEqual(
            "rate = 50 req/s\n",
            settings_sync.make_settings_reply(sender, 1, False).text,
        )

    def test_settings_are_requested_from_one_partner_at_a_time_and_then_from_another(
        self,
    ):
        replica = SettingsReplica()
        versions = {"a": 3, "b": 3}
        first = settings_sync.choose_source(replica, versions, timedelta(0))
        soon = settings_sync.choose_source(replica, versions, timedelta(seconds=1))
        later = settings_sync.choose_source(replica, versions, timedelta(seconds=3))
        self.assertIsNone(soon)
        self.assertEqual({"a", "b"}, {first, later})

    def test_only_a_few_earlier_versions_are_retained(self):
        replica = SettingsReplica()
        for version in range(1, 10):
            settings_sync.apply_settings(replica, Settings(version, "x"), accept)
        kept = [settings.version for settings in replica.previous]
        self.assertEqual([8, 7, 6], kept)

    def test_settings_that_fail_the_check_are_not_requested_again(self):
        replica = SettingsReplica(Settings(2, "kept"))
        self.assertFalse(
            settings_sync.apply_settings(replica, Settings(3, "refused"), accept)
        )
        self.assertIsNone(settings_sync.choose_source(replica, {"a": 3}, timedelta(0)))
        self.assertEqual(
            "a", settings_sync.choose_source(replica, {"a": 4}, timedelta(0))
        )
        self.assertEqual(2, replica.current.version)


class SpreadingMachine(RuleBasedStateMachine):
    """Four daemons, a platform that may be unreachable, and messages in any order.

    Messages are not removed on delivery, so duplicates, loss and reordering all
    occur.
    """

    @initialize(first=text)
    def begin(self, first):
        self.platform = [Settings(0, ""), Settings(3, first)]
        self.is_platform_unavailable = False
        self.daemons = {number: SettingsReplica() for number in DAEMONS}
        self.highest = dict.fromkeys(DAEMONS, 0)
        self.messages = []
        self.now = timedelta(0)

    @rule(new=text, step=st.integers(1, 5))
    def write(self, new, step):
        if not self.is_platform_unavailable:
            self.platform.append(Settings(self.platform[-1].version + step, new))

    @rule()
    def toggle_platform(self):
        self.is_platform_unavailable = not self.is_platform_unavailable

    @rule(number=daemon, stale=st.integers(0, 3))
    def receive_from_platform(self, number, stale):
        """Deliver the platform's current text, or an older one from a lagging watch."""
        if not self.is_platform_unavailable:
            position = max(0, len(self.platform) - 1 - stale)
            settings_sync.apply_settings(
                self.daemons[number], self.platform[position], accept
            )

    @rule(sender=daemon, number=daemon, wanted=st.booleans())
    def send(self, sender, number, wanted):
        """Queue the reply of one daemon to the version of another."""
        version = self.daemons[number].current.version
        reply = settings_sync.make_settings_reply(self.daemons[sender], version, wanted)
        if reply is not None:
            self.messages.append((number, reply))

    @rule(position=st.integers(0, 200))
    def deliver(self, position):
        if self.messages:
            self.apply_reply(*self.messages[position % len(self.messages)])

    @rule(number=daemon)
    def restart(self, number):
        """Restart a daemon without settings, so that only its peers have them."""
        self.daemons[number] = SettingsReplica()
        self.highest[number] = 0

    @rule(position=st.integers(0, 200))
    def corrupt(self, position):
        """Deliver a reply to a daemon that it was not made for."""
        if self.messages:
            number, reply = self.messages[position % len(self.messages)]
            self.apply_reply((number + 1) % len(DAEMONS), reply)

    def apply_reply(self, number, reply):
        replica = self.daemons[number]
        if isinstance(reply, Patch):
            reply = settings_sync.apply_patch(replica, reply)
        if reply is not None:
            settings_sync.apply_settings(replica, reply, accept)

    @invariant()
    def versions_never_revert_and_texts_are_the_platforms(self):
        if not hasattr(self, "daemons"):
            return
        texts = {settings.version: settings.text for settings in self.platform}
        for number, replica in self.daemons.items():
            assert replica.current.version >= self.highest[number]
            self.highest[number] = replica.current.version
            assert replica.current.text == texts[replica.current.version]
            assert len(replica.previous) <= settings_sync.MAX_PREVIOUS_VERSIONS

    def teardown(self):
        """Exchange without the platform: all daemons reach the highest version."""
        if not hasattr(self, "daemons"):
            return
        top = max(replica.current.version for replica in self.daemons.values())
        for _ in DAEMONS:
            self.now += timedelta(seconds=3)
            for number in DAEMONS:
                self.request_settings(number)
        assert {s.current.version for s in self.daemons.values()} == {top}

    def request_settings(self, number):
        replica = self.daemons[number]
        others = [n for n in DAEMONS if abs(n - number) == 1]
        versions = {str(n): self.daemons[n].current.version for n in others}
        source = settings_sync.choose_source(replica, versions, self.now)
        if source is None:
            return
        sender = self.daemons[int(source)]
        self.apply_reply(
            number,
            settings_sync.make_settings_reply(sender, replica.current.version, True),
        )


class SpreadTest(TestCase):
    def test_versions_never_revert_and_all_converge(self):
        run_state_machine_as_test(SpreadingMachine)
