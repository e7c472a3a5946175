"""Test that a tunnel carries a connection to a target unchanged, and its end."""

import asyncio
import contextlib
import socket
import struct
from random import Random

from testtools import TestCase

from experiments.processes import find_free_port
from galenapass.clocks import SystemClock
from galenapass.forwarding.peer_calls import PeerServer
from galenapass.forwarding.schedulers import HostEntry
from galenapass.forwarding.target_paths import TargetPaths
from galenapass.forwarding.tunnels import (
    MAX_TUNNELS,
    TUNNEL_CALL,
    TunnelClient,
    TunnelServer,
    connect_target,
)
from galenapass.targets.connections import make_probed_socket

# A client's leaving has to reach the target within this time.
MAX_LEAVING_SECONDS = 0.5
BODY = bytes(range(256)) * 4096


class FakeTarget:
    """Target that echoes, resets or closes; ``ended`` is set once it was left."""

    def __init__(self):
        self.mode = "echo"
        self.ended = asyncio.Event()
        self.accepted = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def serve(self, reader, writer):
        self.accepted += 1
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65_536):
                if self.mode == "reset":
                    linger = struct.pack("ii", 1, 0)
                    connected = writer.get_extra_info("socket")
                    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    break
                writer.write(chunk)
                await writer.drain()
                if self.mode == "close":
                    break
        self.ended.set()
        writer.close()

    def stop(self):
        self._server.close()


class Hosts:
    """A host that reaches no target, ``h1``, and hosts with tunnels for it."""

    def __init__(self):
        self.excluded = set()
        self.addresses = {}
        self.tunnels = {}
        self.paths = {}
        self.servers = []
        self.clock = SystemClock()
        self.own_paths = TargetPaths("h1", "zone-a", self.clock, Random(1))
        self.client = TunnelClient("h1", self.own_paths, self.addresses.get)

    async def add(self, name, domain="zone-a", connect=None):
        paths = TargetPaths(name, domain, self.clock, Random(1))

        async def connect_directly(address):
            return await connect_target(address, make_probed_socket)

        tunnels = TunnelServer(
            paths, connect or connect_directly, lambda address: address in self.excluded
        )
        server = PeerServer({TUNNEL_CALL: tunnels.serve}, lambda ip: True)
        address = ("127.0.0.1", find_free_port())
        await server.open(address)
        self.tunnels[name], self.paths[name] = tunnels, paths
        self.servers.append(server)
        self.addresses[name] = address
        self.own_paths.hosts[name] = HostEntry(domain, address)

    def stop(self):
        for server in self.servers:
            server.close()


async def refuse(address):
    raise ConnectionRefusedError


def run(scenario):
    async def main():
        hosts, target = Hosts(), FakeTarget()
        address = await target.start()
        try:
            async with asyncio.timeout(10):
                await scenario(hosts, target, address)
        finally:
            hosts.stop()
            target.stop()

    asyncio.run(main())


async def open_streams(hosts, address):
    connected = await hosts.client.open(address)
    return await asyncio.open_connection(sock=connected)


class TestBytes(TestCase):
    def test_bytes_pass_unchanged_both_ways(self):
        async def scenario(hosts, target, address):
            await hosts.add("h2")
            reader, writer = await open_streams(hosts, address)
            writer.write(BODY)
            self.assertEqual(BODY, await reader.readexactly(len(BODY)))
            writer.close()

        run(scenario)

    def test_the_end_of_an_answer_passes(self):
        async def scenario(hosts, target, address):
            target.mode = "close"
            await hosts.add("h2")
            reader, writer = await open_streams(hosts, address)
            writer.write(b"x")
            self.assertEqual(b"x", await reader.read())
            writer.close()

        run(scenario)

    def test_a_reset_passes_as_one(self):
        # An answer without a length that is reset must not look complete.
        async def scenario(hosts, target, address):
            target.mode = "reset"
            await hosts.add("h2")
            reader, writer = await open_streams(hosts, address)
            writer.write(b"x")
            with self.assertRaises(ConnectionResetError):
                await reader.read()
            writer.close()

        run(scenario)

    def test_gone_callers_leave_the_target_too(self):
        async def scenario(hosts, target, address):
            await hosts.add("h2")
            _, writer = await open_streams(hosts, address)
            writer.transport.abort()
            async with asyncio.timeout(MAX_LEAVING_SECONDS):
                await target.ended.wait()
            self.assertEqual(0, hosts.tunnels["h2"].open)

        run(scenario)

    def test_a_host_that_ends_breaks_its_tunnels_off(self):
        async def scenario(hosts, target, address):
            await hosts.add("h2")
            reader, writer = await open_streams(hosts, address)
            hosts.servers[0].close()
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(b"", await reader.read())
            writer.close()

        run(scenario)


class TestRefusals(TestCase):
    def check(self, prepare, accepted=0):
        """Check that no tunnel through the one other host is opened."""

        async def scenario(hosts, target, address):
            await hosts.add("h2")
            prepare(hosts, address)
            with self.assertRaises(ConnectionError):
                await hosts.client.open(address)
            self.assertEqual(accepted, target.accepted)
            self.assertFalse(hosts.own_paths.may_detour(address))

        run(scenario)

    def test_a_host_that_stops_refuses(self):
        def prepare(hosts, address):
            hosts.tunnels["h2"].stopping = True

        self.check(prepare)

    def test_a_host_with_too_many_tunnels_refuses(self):
        def prepare(hosts, address):
            hosts.tunnels["h2"].open = MAX_TUNNELS

        self.check(prepare)

    def test_a_host_that_is_cut_off_refuses_so_that_there_is_one_hop(self):
        def prepare(hosts, address):
            for other in ("10.0.0.8:1", "10.0.0.9:1"):
                hosts.paths["h2"].record_detour(other, "h3")

        self.check(prepare)

    def test_a_host_that_must_not_send_to_the_target_refuses(self):
        self.check(lambda hosts, address: hosts.excluded.add(address))

    def test_a_host_that_has_just_failed_to_reach_the_target_refuses(self):
        self.check(
            lambda hosts, address: hosts.paths["h2"].record_attempt(address, False)
        )

    def test_an_address_that_is_none_is_refused(self):
        async def scenario(hosts, target, address):
            await hosts.add("h2")
            with self.assertRaises(ConnectionError):
                await hosts.client.open("front-1:x")

        run(scenario)


class TestSeveralHosts(TestCase):
    def test_a_host_of_another_domain_is_asked_where_the_own_domain_is_cut_off(self):
        async def scenario(hosts, target, address):
            await hosts.add("h2", connect=refuse)
            await hosts.add("h3", connect=refuse)
            await hosts.add("h4", "zone-b")
            for _ in range(3):
                connected = await hosts.client.open(address)
                connected.close()
            self.assertEqual(["h4"], hosts.own_paths.list_used_peers(address))

        run(scenario)

    def test_a_host_that_has_gone_is_passed_over(self):
        async def scenario(hosts, target, address):
            await hosts.add("h2")
            await hosts.add("h3")
            hosts.servers[0].close()
            for _ in range(4):
                connected = await hosts.client.open(address)
                connected.close()
            self.assertEqual(["h3"], hosts.own_paths.list_used_peers(address))

        run(scenario)

    def test_a_target_that_is_down_is_tried_through_two_hosts(self):
        tried = []

        async def connect(address):
            tried.append(address)
            raise ConnectionRefusedError

        async def scenario(hosts, target, address):
            for name, domain in (("h2", "zone-a"), ("h3", "zone-a"), ("h4", "zone-b")):
                await hosts.add(name, domain, connect)
            with self.assertRaises(ConnectionError):
                await hosts.client.open(address)
            self.assertEqual(2, len(tried))
            self.assertFalse(hosts.own_paths.is_cut_off)

        run(scenario)
