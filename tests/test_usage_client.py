"""Test the client of the platform's operations against their stand-in."""

import asyncio
import contextlib
import socket
from datetime import timedelta

import pytest
from aiohttp import web

from experiments.processes import find_free_port
from galenapass.clocks import BootClock
from galenapass.forwarding.operations import CallOutcome
from galenapass.platform import operations_client
from galenapass.platform.operations_client import HttpOperationsClient
from galenapass.targets.connections import make_probed_socket
from stand_ins.operations import Operations, OperationsFaults

LIMIT = timedelta(milliseconds=400)


@contextlib.asynccontextmanager
async def serve_operations(operations):
    """Yield the address of a stand-in."""
    runner = web.AppRunner(operations.make_app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    port = find_free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await runner.cleanup()


def make_client(address, clock=None):
    return HttpOperationsClient(address, clock or BootClock(), lambda call: None)


def test_calls_carry_their_bodies_holder_and_fence():
    async def run():
        operations = Operations()
        async with serve_operations(operations) as address:
            client = make_client(address)
            counts = {"a": 3, "b": 0}
            assert (
                await client.report_usage(7, counts, "h1", 4, LIMIT)
                is CallOutcome.ACCEPTED
            )
            await client.order_size("lm", "z1", 5, False, "h1", 4, LIMIT)
            await client.order_size("lm", "z1", 2, True, "h1", 4, LIMIT)
        bodies = [(c.call, c.holder, c.fence, c.body) for c in operations.calls]
        assert bodies == [
            ("usage", "h1", 4, {"window": 7, "counts": counts}),
            ("scale", "h1", 4, {"service": "lm", "zone": "z1", "desired": 5}),
            (
                "scale",
                "h1",
                4,
                {"service": "lm", "zone": "z1", "desired": 2, "spot": True},
            ),
        ]
        assert operations.violations == []

    asyncio.run(run())


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        (OperationsFaults(status=409), CallOutcome.UNAVAILABLE),
        (OperationsFaults(status=429), CallOutcome.THROTTLED),
        (OperationsFaults(status=400), CallOutcome.REJECTED),
        (OperationsFaults(status=500), CallOutcome.UNKNOWN),
        (OperationsFaults(status=204), CallOutcome.UNKNOWN),
        (OperationsFaults(lose_answers=1), CallOutcome.UNKNOWN),
        (OperationsFaults(down=True), CallOutcome.UNKNOWN),
        (OperationsFaults(delay_seconds=2), CallOutcome.UNKNOWN),
    ],
)
def test_outcome_never_claims_more_than_the_answer_shows(faults, outcome):
    async def run():
        operations = Operations(faults=faults)
        async with serve_operations(operations) as address:
            found = await make_client(address).report_usage(1, {}, "h1", 1, LIMIT)
        assert found is outcome
        # A call is never repeated by itself.
        assert operations.received == 1

    asyncio.run(run())


def test_nothing_is_sent_after_a_freeze_between_connection_and_request():
    """A holder frozen as it connects must not send with its old fence."""

    class JumpingClock(BootClock):
        reads = 0

        def monotonic(self):
            self.reads += 1
            frozen = timedelta(seconds=9) if self.reads > 1 else timedelta(0)
            return super().monotonic() + frozen

    async def run():
        operations = Operations()
        async with serve_operations(operations) as address:
            client = make_client(address, JumpingClock())
            found = await client.report_usage(1, {}, "h1", 1, LIMIT)
        assert found is CallOutcome.UNKNOWN
        assert operations.received == 0

    asyncio.run(run())


def test_kernel_gives_up_bytes_at_the_end_of_the_time_limit(monkeypatch):
    """Counted from their transmission, delayed bytes might come after the lease."""

    class SlowClock(BootClock):
        reads = 0

        def monotonic(self):
            self.reads += 1
            slow = timedelta(milliseconds=1500 if self.reads > 1 else 0)
            return super().monotonic() + slow

    sockets = []

    def make_socket(info):
        sockets.append(make_probed_socket(info))
        return sockets[-1]

    monkeypatch.setattr(operations_client, "make_probed_socket", make_socket)

    async def run():
        operations = Operations(faults=OperationsFaults(delay_seconds=0.2))
        async with serve_operations(operations) as address:
            client = make_client(address, SlowClock())
            call = asyncio.create_task(client.report_usage(1, {}, "h1", 1, 5 * LIMIT))
            while not operations.received and not call.done():
                await asyncio.sleep(0.001)
            option = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            assert 0 < sockets[0].getsockopt(*option) <= 500
            assert await call is CallOutcome.ACCEPTED

    asyncio.run(run())


def test_call_that_is_given_up_is_reset():
    """A graceful close would let a held-up link deliver the report later."""

    async def run():
        ended = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            try:
                while await reader.read(4096):
                    pass
                ended.set_result("end")
            except ConnectionResetError:
                ended.set_result("reset")
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        client = make_client(f"{ip}:{port}")
        counts = {f"organisation-{n}": n for n in range(1000)}
        found = await client.report_usage(1, counts, "h1", 1, LIMIT)
        assert found is CallOutcome.UNKNOWN
        assert await asyncio.wait_for(ended, 1) == "reset"
        server.close()

    asyncio.run(run())


def test_address_without_listener_has_an_unknown_outcome():
    async def run():
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            client = make_client(f"127.0.0.1:{bound.getsockname()[1]}")
            found = await client.report_usage(1, {}, "h1", 1, LIMIT)
        assert found is CallOutcome.UNKNOWN

    asyncio.run(run())
