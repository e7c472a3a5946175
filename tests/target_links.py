"""Disturb the paths between one host and the targets."""

import contextlib
import socket

from experiments.soak.proxies import Disturbance, Proxy
from galenapass.targets.connections import make_probed_socket
from stand_ins.serving import split_address

BACKLOG = 0


class _LinkedSocket(socket.socket):
    """Socket whose connections go over the links of its host."""

    links = None

    def connect(self, address):
        super().connect(self.links.route(address))


class TargetLinks:
    """Paths from one host to the targets.

    While ``refuses`` or ``hangs`` is set, new connections to all targets are refused or
    get no answer; ``disturb`` disturbs the open ones. Set for some addresses, ``cut``
    limits that to them.
    """

    def __init__(self):
        self.refuses = False
        self.hangs = False
        self.cut = None
        self._proxies = {}
        self._silent = socket.socket()
        self._fill = []
        self._closed = socket.socket()

    async def start(self, addresses):
        """Set the paths to the targets at these addresses up."""
        for address in addresses:
            await self.add(address)
        # A queue of new connections that is full lets further ones hang.
        self._silent.bind(("127.0.0.1", 0))
        self._silent.listen(BACKLOG)
        for _ in range(BACKLOG + 2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._silent.getsockname())
            self._fill.append(filler)
        # A port that is bound and does not listen refuses connections.
        self._closed.bind(("127.0.0.1", 0))

    async def add(self, address):
        """Set the path to one more target up."""
        proxy = Proxy(address)
        await proxy.start()
        self._proxies[split_address(address)] = proxy

    async def stop(self):
        for proxy in self._proxies.values():
            await proxy.stop()
        for unused in (self._silent, self._closed, *self._fill):
            unused.close()

    def make_socket(self, info):
        """Return a socket whose connections to targets go over these paths."""
        probed = make_probed_socket(info)
        linked = _LinkedSocket(
            probed.family, probed.type, probed.proto, fileno=probed.detach()
        )
        linked.setblocking(False)
        linked.links = self
        return linked

    def route(self, address):
        proxy = self._proxies.get(tuple(address[:2]))
        is_cut = proxy is not None and self._is_cut(address)
        if is_cut and self.refuses:
            return self._closed.getsockname()
        if is_cut and self.hangs:
            return self._silent.getsockname()
        return split_address(proxy.address) if proxy is not None else address

    def disturb(self, disturbance):
        """Disturb the open connections to the targets that are cut off."""
        for address, proxy in self._proxies.items():
            if self._is_cut(address):
                proxy.disturb(disturbance)

    def heal(self):
        """End all disturbances."""
        self.refuses = self.hangs = False
        for proxy in self._proxies.values():
            proxy.disturb(Disturbance.NONE)

    def _is_cut(self, address):
        return self.cut is None or tuple(address[:2]) in self.cut
