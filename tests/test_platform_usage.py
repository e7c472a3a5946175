"""Test daemons that report usage to a stand-in of the platform's operations."""

import asyncio
import contextlib
import time
from collections import Counter
from dataclasses import replace
from datetime import timedelta
from unittest import mock

import pytest
from click.testing import CliRunner

from galenapass.cli import main
from galenapass.forwarding.operations import Duty, OperationsTerms
from stand_ins.operations import Operations
from tests import platform_fleet
from tests.platform_fleet import run_fleet, wait_for
from tests.test_usage_client import serve_operations

SECOND = timedelta(seconds=1)
DOMAINS = ("zone-a", "zone-b", "zone-a")


@contextlib.asynccontextmanager
async def run_reporting_fleet(operations, **options):
    """Yield a fleet whose requests belong to the organisation ``org``."""
    make_settings = platform_fleet.make_settings
    async with serve_operations(operations) as address:
        terms = OperationsTerms(
            address, frozenset({Duty.USAGE}), 10.0, SECOND, 4 * SECOND
        )

        def make(*args):
            return replace(make_settings(*args), operations=terms, is_first_start=True)

        with mock.patch.object(platform_fleet, "make_settings", make):
            async with run_fleet(**options) as fleet:
                for daemon in fleet.daemons:
                    name_organisation(daemon)
                yield fleet


def name_organisation(daemon):
    serve = daemon.relay.serve

    async def serve_named(request, message, sink):
        request.organisation = "org"
        return await serve(request, message, sink)

    daemon.relay.serve = serve_named


def count_reported(operations):
    return sum(counts.get("org", 0) for counts in operations.windows.values())


async def count_usage(action, expected, domains=("zone-a",)):
    """Check that what a fleet served is reported, and return the windows."""
    operations = Operations(lease_seconds=1.0)
    async with run_reporting_fleet(operations, domains=domains) as fleet:
        await action(fleet)
        served_by = int(time.time()) + 1
        await wait_for(lambda: max(operations.windows, default=0) >= served_by, 12)
        if len(domains) == 1:
            url = f"127.0.0.1:{fleet.daemon._runners[1].addresses[0][1]}"
            shown = await asyncio.to_thread(
                CliRunner().invoke, main, ["usage", "--daemon", url]
            )
            assert shown.exit_code == 0, shown.output
            assert "accepted" in shown.output
    assert operations.violations == []
    assert count_reported(operations) == expected
    return operations


def test_streams_and_calls_over_several_hosts_are_counted_once():
    async def act(fleet):
        statuses = Counter()
        for number in range(12):
            host = number % len(fleet.daemons)
            status, _, _ = await fleet.send(f"/seats/{number}", host=host)
            statuses[status] += 1
            _, status, _, _ = await fleet.send_stream(f"/notes/{number}", host=host)
            statuses[status] += 1
        assert statuses == {200: 24}

    asyncio.run(count_usage(act, 24, DOMAINS))


def test_clients_that_leave_and_retries_are_counted_once():
    async def act(fleet):
        # A stream of which the client reads the first event only.
        await fleet.send_stream("/notes/left", leave_after=1)
        # A stream that breaks off and is resumed at another engine.
        fleet.decode.faults.break_after = 2
        fleet.second_decode.faults.break_after = 2
        await fleet.send_stream("/notes/broken")
        fleet.decode.faults.break_after = None
        fleet.second_decode.faults.break_after = None
        # A call whose client leaves before the answer: its target works on it.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await fleet.send("/hold/left?seconds=1", method="POST")
        # A call that all targets refuse has not begun.
        for server in (fleet.plain, fleet.second_plain):
            server.faults.shed = True
        status, _, _ = await fleet.send("/seats/refused")
        assert status == 503

    asyncio.run(count_usage(act, 3))


def test_without_the_duty_nothing_is_sent_or_started():
    async def run():
        async with run_fleet(domains=DOMAINS) as fleet:
            for daemon in fleet.daemons:
                name_organisation(daemon)
            await fleet.send("/seats/1")
            assert all(d.usage is None for d in fleet.daemons)
            assert all(d.usage_reports is None for d in fleet.daemons)
            names = {task.get_name() for task in asyncio.all_tasks()}
            assert not any("usage" in name for name in names)
        assert not any("usage" in path for _, path in fleet.store.calls)

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["notice", "call"])
def test_hosts_without_the_duty_ignore_messages_of_usage(kind):
    """During an upgrade some hosts report usage and others know nothing of it."""

    async def run():
        operations = Operations(lease_seconds=1.0)
        async with run_reporting_fleet(operations, domains=DOMAINS) as fleet:
            other = fleet.daemons[1]
            if kind == "notice":
                other.peering.usage = None
            else:
                other.peer_server._handlers.pop("usage")
            statuses = [(await fleet.send(f"/seats/{n}"))[0] for n in range(4)]
            assert statuses == [200] * 4
            await wait_for(lambda: count_reported(operations) >= 4, 15)
        assert operations.violations == []

    asyncio.run(run())
