"""Run daemons that order the size of a service, against stand-ins of the platform."""

import asyncio
from datetime import timedelta

from galenapass.forwarding import demand_history, sizes
from galenapass.forwarding.operations import Duty, OperationsTerms
from galenapass.metrics import render_metrics
from stand_ins.operations import Operations
from stand_ins.platform_routes import CONFIGURATION
from stand_ins.runner import Runner
from tests.platform_fleet import run_fleet
from tests.test_usage_client import serve_operations

WINDOW = timedelta(seconds=6)
SCALE = {"min": 1, "max": 8, "boot_s": 0.5, "zone_prices": {"zone-a": 1.0}}


def make_configuration(scale):
    services = [
        service | ({"scale": scale} if service["name"] == "desk" else {})
        for service in CONFIGURATION["services"]
    ]
    return CONFIGURATION | {"services": services}


async def run_load(operations, scale, duties, seconds):
    """Send calls to a service of five targets for some seconds; return the metrics."""
    more = [Runner(f"s{n}", "desk") for n in range(3, 6)]
    async with serve_operations(operations) as address:
        terms = OperationsTerms(address, frozenset(duties), calls_per_second=10.0)
        async with run_fleet(
            make_configuration(scale), more_runners=more, operations=terms
        ) as fleet:
            for number in range(seconds * 10):
                status, _, _ = await fleet.send(f"/seats/{number}")
                assert status == 200
                await asyncio.sleep(0.1)
                if operations.calls:
                    break
            await asyncio.sleep(0.5)
            return render_metrics(fleet.daemon.metrics).decode()


def test_the_holder_orders_the_size_once(monkeypatch):
    # Sizes shrink once a window is known.
    monkeypatch.setattr(demand_history, "WINDOW", WINDOW)
    monkeypatch.setattr(sizes, "HOLD_TIME", WINDOW)
    operations = Operations()
    metrics = asyncio.run(run_load(operations, SCALE, [Duty.SIZES], 20))
    bodies = [(call.call, call.body) for call in operations.calls]
    order = {"service": "desk", "zone": "zone-a", "desired": 2}
    assert bodies == [("scale", order)]
    assert (operations.calls[0].holder, operations.violations) == ("front-1", [])
    labels = '{domain="zone-a",kind="fixed",service="desk"}'
    assert f"galenapass_wanted_targets{labels} 2.0" in metrics
    assert f"galenapass_present_targets{labels} 5.0" in metrics


def test_no_call_is_made_unless_settings_and_service_ask_for_it():
    for scale, duties in ((None, [Duty.SIZES]), (SCALE, [Duty.USAGE])):
        operations = Operations()
        asyncio.run(run_load(operations, scale, duties, 7))
        # Reports of usage are another duty.
        reports = [call for call in operations.calls if call.call == "usage"]
        assert operations.received == len(reports)
