"""Send requests on kept connections until the daemon at their other end is gone."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from experiments.soak.clients import ABANDON_SECONDS, THINK_TIME_SECONDS
from experiments.soak.invariants import ROUTES, Outcome
from experiments.soak.raw_requests import Exchange, make_request, read_answer
from stand_ins.runner import SIGNATURE

__all__ = ["BEHAVIOURS", "KeptClient"]

DEADLINE_SECONDS = (2.0, 8.0)
# Durations of a call, and between the events of a stream.
CALL_SECONDS = (0.0, 0.0, 0.3, 2.0)
EVENT_SECONDS = (0.02, 0.1, 0.4, 0.9)
RECONNECT_SECONDS = 0.1
IDLE_SECONDS = (0.2, 6.0)
PIECE_PAUSE_SECONDS = (0.05, 1.0)
SLOW_START_SECONDS = (0.05, 0.4)
BODY_BYTES = 600
LARGE_ANSWER_BYTES = 6 * 2**20
RECEIVE_BUFFER_BYTES = 2**16
KEPT_BODY_BYTES = 2**12


@dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    client: "KeptClient"

    def write(self, route: str, query: str = "", cut: int | None = None) -> bytes:
        """Send a request, or its first ``cut`` bytes; return the rest."""
        data = self.client.add_request(route, query)
        self.writer.write(data[:cut])
        if cut is not None:
            return data[cut:]
        self.client.exchanges[-1].sent_at = time.monotonic()
        return b""

    async def read(self, number: int = -1) -> bool:
        """Read the answer to a request; return whether the connection stays open."""
        exchange = self.client.exchanges[number]
        outcome = self.client.outcomes[number]
        patience = outcome.deadline - outcome.began + ABANDON_SECONDS
        try:
            async with asyncio.timeout(patience):
                await read_answer(self.reader, exchange)
        except TimeoutError:
            exchange.ended_at = time.monotonic()
            outcome.detail = "abandoned"
            self.writer.transport.abort()
        self.client.record(number)
        return exchange.is_whole and not exchange.closes


def _draw_work(random: Random) -> tuple[str, str]:
    """Return a route and the query that asks for a call or stream of some length."""
    route = random.choice(sorted(ROUTES))
    seconds = random.choice(EVENT_SECONDS if ROUTES[route].streams else CALL_SECONDS)
    return route, f"?seconds={seconds}"


async def _send_one(connection: _Connection, random: Random) -> bool:
    connection.write(*_draw_work(random))
    return await connection.read()


async def _send_rarely(connection: _Connection, random: Random) -> bool:
    """Send a request after a pause in which the connection is idle."""
    await asyncio.sleep(random.uniform(*IDLE_SECONDS))
    return await _send_one(connection, random)


async def _send_two(connection: _Connection, random: Random) -> bool:
    """Send two requests without waiting for the answer to the first."""
    for _ in range(2):
        connection.write(*_draw_work(random))
    first, second = connection.client.outcomes[-2:]
    # The second one is read also after an answer that closes the connection.
    await connection.read(-2)
    second.waited = first.ended - first.began
    is_open = await connection.read()
    if not first.complete:
        # Nothing can follow an answer that was cut; what cut it is judged there.
        second.sent = None
    return is_open


async def _send_pieces(connection: _Connection, random: Random) -> bool:
    seconds = random.choice(CALL_SECONDS)
    cut = random.randint(1, BODY_BYTES)
    rest = connection.write("hold", f"?seconds={seconds}", cut)
    pause = random.uniform(*PIECE_PAUSE_SECONDS)
    await asyncio.sleep(pause)
    if not connection.reader.at_eof():
        connection.writer.write(rest)
        connection.client.exchanges[-1].sent_at = time.monotonic()
        if b"\r\n\r\n" in rest:
            # The daemon reads the deadline once the head has arrived.
            connection.client.outcomes[-1].deadline += pause
    return await connection.read()


async def _read_slowly(connection: _Connection, random: Random) -> bool:
    connection.write("seats", f"?bytes={LARGE_ANSWER_BYTES}")
    await asyncio.sleep(random.uniform(*SLOW_START_SECONDS))
    return await connection.read()


Behaviour = Callable[[_Connection, Random], Awaitable[bool]]
# What a client does on its connections.
BEHAVIOURS: dict[str, Behaviour] = {
    "one": _send_one,
    "rare": _send_rarely,
    "two": _send_two,
    "pieces": _send_pieces,
    "slow": _read_slowly,
}


class KeptClient:
    """Client that uses each connection to one daemon until it is closed.

    It opens the next one at once, also while the daemon stops.
    """

    def __init__(self, name: str, daemon: str, address: str, behaviour: str, seed: str):
        self.outcomes: list[Outcome] = []
        self.exchanges: list[Exchange] = []
        self._name = name
        self._daemon = daemon
        self._address = address
        self._behaviour = behaviour
        self._random = Random(seed)
        self._started = time.monotonic()

    async def run(self, started: float, is_over: Callable[[], bool]) -> None:
        """Send one request after another until ``is_over`` returns true."""
        self._started = started
        ip, _, port = self._address.rpartition(":")
        limits: dict[str, int] = {}
        if self._behaviour == "slow":
            limits["limit"] = RECEIVE_BUFFER_BYTES
        while not is_over():
            try:
                reader, writer = await asyncio.open_connection(ip, int(port), **limits)
            except OSError:
                await asyncio.sleep(RECONNECT_SECONDS)
                continue
            if limits:
                _shrink_receive_buffer(writer)
            with contextlib.suppress(OSError):
                await self._use(_Connection(reader, writer, self), is_over)
            writer.transport.abort()

    async def _use(self, connection: _Connection, is_over: Callable[[], bool]) -> None:
        behave = BEHAVIOURS[self._behaviour]
        while not is_over() and await behave(connection, self._random):
            await asyncio.sleep(self._random.uniform(*THINK_TIME_SECONDS))

    def add_request(self, route_name: str, query: str) -> bytes:
        """Return the bytes of the next request, whose outcome is not yet known."""
        route = ROUTES[route_name]
        attempt = f"{self._name}-{len(self.outcomes)}-{self._random.getrandbits(32):x}"
        deadline = round(self._random.uniform(*DEADLINE_SECONDS), 3)
        began = time.monotonic() - self._started
        self.exchanges.append(Exchange(attempt, None))
        self.outcomes.append(
            Outcome(
                attempt, route_name, self._daemon, began, began + deadline, query=query
            )
        )
        return make_request(
            f"{route.prefix}{attempt}{query}",
            attempt,
            int(deadline * 1000),
            route.method,
            bytes(BODY_BYTES) if route.method == "POST" else b"",
        )

    def record(self, number: int) -> None:
        """Copy what came back for a request into its outcome."""
        exchange, outcome = self.exchanges[number], self.outcomes[number]
        if exchange.sent_at is not None:
            outcome.sent = exchange.sent_at - self._started
        outcome.ended = exchange.ended_at - self._started
        outcome.status = exchange.status
        # The end of a body tells whose it is; large ones would fill the memory.
        outcome.body = exchange.body[-KEPT_BODY_BYTES:]
        exchange.body = b""
        outcome.complete = exchange.is_whole
        outcome.signature = exchange.headers.get(SIGNATURE.lower(), "")


def _shrink_receive_buffer(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
