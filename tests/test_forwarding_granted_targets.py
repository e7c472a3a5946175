"""Check which granted targets a host uses."""

import asyncio
from types import SimpleNamespace

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.relay import Relay
from galenapass.forwarding.retry_accounts import RetryAccounts
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from galenapass.forwarding.service_versions import ServiceVersion
from galenapass.forwarding.slot_client import SlotClient
from galenapass.forwarding.slot_requests import Grant, Stage
from tests.forwarding_fakes import (
    FakeOrigins,
    make_fleet,
    make_request,
    make_suspects,
    make_target,
)


class FakeScheduler:
    """Scheduler, on this host or another one, that grants slots at one target."""

    def __init__(self, target, *, is_scheduler):
        self.is_scheduler = is_scheduler
        self.slot_client = SlotClient(self, self, self.send, ManualClock())
        self._target = target

    def list_schedulers(self):
        return ["s1"]

    def list_granting(self):
        return ["s1"]

    def send(self, host, message):
        if hasattr(message, "stage"):
            self.slot_client.apply_reply(host, self._grant(message))

    def submit(self, slot_request, answer):
        answer(Ok(self._grant(slot_request)))

    def end(self, release):
        pass

    def _grant(self, slot_request):
        return Grant(slot_request.ticket, self._target, 1.0, 0.0, 0, 0.0, "")


def acquire(granted, known, *, is_scheduler, version=None):
    """Return the result of a slot request of a host that knows of a target."""
    clock = ManualClock()
    fleet = make_fleet(known)
    relay = Relay(
        fleet,
        SimpleNamespace(),
        FakeScheduler(granted, is_scheduler=is_scheduler).slot_client,
        make_suspects("host-1", clock),
        clock,
        RetryAccounts(clock, RetryBudgetTerms()),
        on_left=lambda target: None,
        on_limit_change=lambda: None,
        on_limited_send=lambda target, stage: None,
        origins=FakeOrigins(),
    )
    request = make_request()
    if version is not None:
        request.origin = ServiceVersion("lm", version)

    async def scenario():
        async with relay._open_requests.bound(request, Stage.CALL):
            return await relay._acquire_slot(request, Stage.CALL)

    return asyncio.run(scenario())


class TestGrantedTargets(TestCase):
    old = make_target("e1", version="v1", incarnation="1")
    new = make_target("e1", version="v1.1", incarnation="2")

    def test_a_host_that_has_stopped_to_schedule_uses_restarted_targets(self):
        # Its own table of targets is no longer updated.
        acquired = acquire(self.new, self.old, is_scheduler=False)
        self.assertIsInstance(acquired, Ok)

    def test_a_scheduler_does_not_use_a_target_that_was_replaced(self):
        acquired = acquire(self.old, self.new, is_scheduler=True)
        self.assertIsInstance(acquired, Err)

    def test_a_stream_goes_on_at_no_other_version_whoever_grants_it(self):
        for is_scheduler in (False, True):
            acquired = acquire(
                self.new, self.new, is_scheduler=is_scheduler, version="v1"
            )
            self.assertIsInstance(acquired, Err)
