"""Report what organisations used and why they were refused: metrics and log lines."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding.slot_requests import SlotRequest
from galenapass.logs import make_log

__all__ = ["ShareHooks", "ShareReports"]

# A refused organisation is logged this often.
LOG_PERIOD = timedelta(seconds=1)
# Minimum time between two lines: a host may write 400 a second in all.
LOG_SPACING = timedelta(milliseconds=50)
# Organisations with own metrics; the others are counted together.
MAX_LABELS = 50
OTHER_LABEL = "(others)"
# Label of requests without an organisation.
UNNAMED_LABEL = "(none)"
# Organisations of which it is known when they were logged.
MAX_LOGGED = 1000

_log = make_log("shares")


@dataclass(slots=True, frozen=True)
class ShareHooks:
    """Callbacks with a label of an organisation, of which there are a bounded number.

    ``on_work`` is called with the milliseconds of work of a released slot,
    ``on_refused`` with whether an organisation above its share was refused.
    """

    on_work: Callable[[str, str, float], None] = lambda label, service, work_ms: None
    on_refused: Callable[[str, str, bool], None] = lambda label, service, above: None


class ShareReports:
    """Reports on organisations of one scheduler, bounded in labels and lines."""

    def __init__(self, clock: Clock, hooks: ShareHooks):
        self._clock = clock
        self._hooks = hooks
        self._labels: set[str] = set()
        # When a refusal of each organisation was logged, and how many were not since.
        self._logged: dict[tuple[str, str], tuple[timedelta, int]] = {}
        self._log_from = -LOG_PERIOD

    def count_work(self, organisation: str, service: str, work_ms: float) -> None:
        """Count the milliseconds of work of a released slot."""
        self._hooks.on_work(self._find_label(organisation), service, work_ms)

    def report_refusal(
        self, slot_request: SlotRequest, *, is_above: bool, **fields: object
    ) -> None:
        """Count a refusal; log it unless its organisation was logged just before.

        ``is_above`` is whether the organisation had used its share.
        """
        name, service = slot_request.organisation, slot_request.service
        self._hooks.on_refused(self._find_label(name), service, is_above)
        now = self._clock.monotonic()
        logged_at, left_out = self._logged.pop((service, name), (-LOG_PERIOD, 0))
        is_due = now - logged_at >= LOG_PERIOD and now >= self._log_from
        self._logged[service, name] = (now, 0) if is_due else (logged_at, left_out + 1)
        while len(self._logged) > MAX_LOGGED:
            del self._logged[next(iter(self._logged))]
        if not is_due:
            return
        self._log_from = now + LOG_SPACING
        _log(
            "organisation is refused",
            organisation=name,
            service=service,
            request=slot_request.request,
            rank=slot_request.rank,
            above_share=is_above,
            refused_before=left_out,
            **fields,
        )

    def _find_label(self, name: str) -> str:
        if not name:
            return UNNAMED_LABEL
        if name not in self._labels and len(self._labels) < MAX_LABELS:
            self._labels.add(name)
        return name if name in self._labels else OTHER_LABEL
