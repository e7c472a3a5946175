"""Provide operators with the state and configuration in this daemon's tables."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.duties.configuration_watch import CURRENT, KIND
from galenapass.operators.interfaces import (
    Conflict,
    HostStatus,
    PlatformState,
    Status,
    TargetStatus,
)
from galenapass.platform.messages import Failure, FailureCause
from galenapass.platform.object_client import ObjectClient
from galenapass.tables.configurations import Configuration
from galenapass.tables.targets import Target
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Overview"]

RETRY_AFTER = timedelta(seconds=5)


@dataclass(slots=True)
class Overview:
    """View of one daemon for operators, read from its tables."""

    world: World
    clock: Clock
    objects: ObjectClient
    accept: Callable[[str, int], bool]
    incarnation: Callable[[], int]
    is_ready: Callable[[], bool]
    is_platform_reachable: Callable[[], bool]
    list_duties: Callable[[], list[str]]
    find_configuration: Callable[[int | None], Configuration | None]

    def read_status(self) -> Status:
        """Return the state of this daemon and its hosts."""
        is_reachable = self.is_platform_reachable()
        return Status(
            host=self.world.host,
            domain=self.world.domain,
            incarnation=self.incarnation(),
            ready=self.is_ready(),
            settings_version=self.world.configuration.version,
            platform=PlatformState.REACHABLE
            if is_reachable
            else PlatformState.UNAVAILABLE,
            duties=tuple(self.list_duties()),
            hosts=tuple(self._read_hosts()),
        )

    def read_targets(self) -> list[TargetStatus]:
        """Return the targets in the order of the operators' file."""
        order = list(self.world.configuration.targets)
        names = order + sorted(set(self.world.targets) - set(order))
        rows = [self.world.targets[n] for n in names if n in self.world.targets]
        return [self._read_target(target) for target in rows]

    def read_configuration(self, version: int | None = None) -> Configuration | None:
        """Return the version in force, or an older one if it is still stored here."""
        return self.find_configuration(version)

    async def apply(
        self, text: str, base_version: int
    ) -> Result[int, Verdict | Conflict]:
        """Write a validated file if the base version is still in force."""
        condition = base_version or None
        written = await self.objects.write(KIND, CURRENT, text, condition)
        if isinstance(written, Err):
            return await self._resolve_failed_write(
                text, base_version, written.err_value
            )
        self.accept(text, written.ok_value)
        return Ok(written.ok_value)

    async def _resolve_failed_write(
        self, text: str, base_version: int, failure: Failure
    ) -> Result[int, Verdict | Conflict]:
        """Read the stored file after a failed write to learn its outcome.

        If the outcome is unknown and the stored text is the same, the write succeeded.
        """
        if failure.cause is FailureCause.UNAVAILABLE:
            return Err(_make_unavailable_verdict(failure))
        read_result = await self.objects.read(KIND, CURRENT)
        if isinstance(read_result, Err):
            return Err(_make_unavailable_verdict(failure))
        stored = read_result.ok_value
        if stored.body == text and failure.cause is FailureCause.UNKNOWN:
            self.accept(text, stored.version)
            return Ok(stored.version)
        if failure.cause is FailureCause.UNKNOWN and stored.version == base_version:
            return Err(
                Verdict(Run.NOT_RUN, Reason.PLATFORM_UNAVAILABLE, "", RETRY_AFTER)
            )
        return Err(Conflict(base_version, stored.version))

    def _read_hosts(self) -> list[HostStatus]:
        rows = sorted(self.world.hosts.values(), key=lambda host: host.id)
        return [
            HostStatus(h.id, h.domain, h.state.value, h.settings_version) for h in rows
        ]

    def _read_target(self, target: Target) -> TargetStatus:
        load = target.load
        report_age = None
        if target.load_at is not None:
            report_age = self.clock.monotonic() - target.load_at
        return TargetStatus(
            id=target.id,
            service=target.service,
            domain=target.domain,
            kind=target.kind.value,
            role=target.role.value,
            state=target.state.value,
            running=load.running if load else target.own_requests,
            waiting=load.waiting if load else 0,
            pieces_used=load.pieces_used if load else 0,
            pieces_total=load.pieces_total if load else 0,
            report_age=report_age,
        )


def _make_unavailable_verdict(failure: Failure) -> Verdict:
    run = Run.NOT_RUN if failure.cause is FailureCause.UNAVAILABLE else Run.MAY_HAVE_RUN
    return Verdict(run, Reason.PLATFORM_UNAVAILABLE, failure.detail, RETRY_AFTER)
