"""Define the set of tables that the systems operate on."""

from dataclasses import dataclass, field

from galenapass.tables.configurations import Configuration
from galenapass.tables.crashes import CrashTable
from galenapass.tables.demand import DemandTable
from galenapass.tables.hosts import Host
from galenapass.tables.limits import LimitTable, RetryBudget
from galenapass.tables.requests import Request
from galenapass.tables.targets import Target

__all__ = ["World"]


@dataclass(slots=True)
class World:
    """All tables of one daemon, each keyed by the entity's identifier.

    With ``pooled``, the daemon routes to the targets of every failure domain.
    """

    host: str
    domain: str
    configuration: Configuration = field(default_factory=Configuration)
    requests: dict[str, Request] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    crashes: CrashTable = field(default_factory=CrashTable)
    limits: LimitTable = field(default_factory=LimitTable)
    retries: RetryBudget = field(default_factory=RetryBudget)
    demand: DemandTable = field(default_factory=DemandTable)
    pooled: bool = True

    def routes_to(self, domain: str) -> bool:
        """Return whether this daemon routes to the targets of a failure domain."""
        return self.pooled or domain == self.domain
