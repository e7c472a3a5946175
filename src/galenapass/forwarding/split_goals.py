"""Track the best prefill/decode split of the engines of each service."""

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
    """Target split of each service's engines.

    ``measure`` returns the demand for a service over all schedulers;
    ``is_first_start`` is set while the engines still have their initial roles.
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
        """Return the prefill share of each service that has a goal."""
        known = ((name, goal.share) for name, goal in self._split_goals.items())
        return tuple((name, share) for name, share in known if share is not None)

    def apply_share(self, service: str, share: float) -> None:
        """Apply the prefill share announced by the daemon that plans roles."""
        self._split_goals.setdefault(service, SplitGoal()).share = share

    def plan_prefill_share(self, service: str) -> float | None:
        """Return the target share of prefill engines, None to keep the split."""
        goal = self._split_goals.setdefault(service, SplitGoal())
        now = self._clock.monotonic()
        engines = roles.list_engines(self._fleet.targets.values(), service)
        known = self._fleet.routes.services.get(service)
        cache_tokens = known.cache_tokens if known is not None else 0
        size = EngineSize(min((t.slots for t in engines), default=0), cache_tokens)
        domains = len({target.domain for target in engines})
        demand = self._measure(service)
        why = splits.update_goal(goal, demand, len(engines), size, domains, now)
        if why is not None:
            _log("split planned", service=service, share=goal.share, why=why)
        if goal.share is None and self._is_first_start:
            return splits.INITIAL_PREFILL_SHARE
        return goal.share
