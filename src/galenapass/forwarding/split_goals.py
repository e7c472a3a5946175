"""Follow which split of its engines suits the work of each service."""

from collections.abc import Callable

from galenapass.clocks import Clock
from galenapass.forwarding import roles, splits
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.splits import EngineSize, SplitGoal
from galenapass.forwarding.workload import MeasuredDemand
from galenapass.logs import make_log

__all__ = ["SplitGoals"]

_log = make_log("planner")


class SplitGoals:
    """Hold the split that each service's engines are to have.

    ``measure`` returns the work for a service that all schedulers see together;
    ``is_first_start`` tells that the engines are in the roles that they start in.
    """

    def __init__(
        self,
        fleet: Fleet,
        measure: Callable[[str], MeasuredDemand],
        clock: Clock,
        *,
        is_first_start: bool,
    ):
        self._is_first_start = is_first_start
        self._fleet = fleet
        self._measure = measure
        self._clock = clock
        self._split_goals: dict[str, SplitGoal] = {}

    def list_shares(self) -> tuple[tuple[str, float], ...]:
        """Return the share of each service that has one."""
        known = ((name, goal.share) for name, goal in self._split_goals.items())
        return tuple((name, share) for name, share in known if share is not None)

    def apply_share(self, service: str, share: float) -> None:
        """Take in the share that whoever plans roles aims at."""
        self._split_goals.setdefault(service, SplitGoal()).share = share

    def plan_prefill_share(self, service: str) -> float | None:
        """Return the part of the engines that is to read, None if it is to stay."""
        goal = self._split_goals.setdefault(service, SplitGoal())
        now = self._clock.monotonic()
        engines = roles.list_engines(self._fleet.targets.values(), service)
        known = self._fleet.routes.services.get(service)
        memory = known.cache_tokens if known is not None else 0
        size = EngineSize(min((t.slots for t in engines), default=0), memory)
        domains = len({target.domain for target in engines})
        work = self._measure(service)
        why = splits.follow_goal(goal, work, len(engines), size, domains, now)
        if why is not None:
            _log("split is planned", service=service, share=goal.share, why=why)
        if goal.share is None and self._is_first_start:
            return splits.START_SHARE
        return goal.share
