"""Create the clients for targets and the platform."""

from random import Random

from galenapass.metrics import Metrics
from galenapass.platform.object_client import ObjectClient
from galenapass.settings.daemon import DaemonSettings
from galenapass.targets.cache_events import CacheEventClient
from galenapass.targets.engines import EngineClient
from galenapass.targets.probes import ProbeClient
from galenapass.targets.services import PlainServiceClient

__all__ = ["Clients"]


class Clients:
    """One client for each kind of external system."""

    __slots__ = ("_metrics", "cache_events", "engines", "objects", "probes", "services")

    def __init__(self, settings: DaemonSettings, random: Random, metrics: Metrics):
        self._metrics = metrics
        self.engines = EngineClient()
        self.cache_events = CacheEventClient()
        self.services = PlainServiceClient()
        self.probes = ProbeClient(self.engines)
        self.objects = ObjectClient(
            str(settings.platform_address),
            settings.host,
            settings.domain,
            self._count_call,
            random,
            token=settings.platform_token,
        )

    async def close(self) -> None:
        """Close every connection."""
        for client in (
            self.engines,
            self.cache_events,
            self.services,
            self.probes,
            self.objects,
        ):
            await client.close()

    def _count_call(self, call: str) -> None:
        self._metrics.platform_calls.add(1, {"call": call})
