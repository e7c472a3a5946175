"""Handle the signals of a process from its start to its end."""

import signal
from collections.abc import Callable, Iterable
from types import FrameType

__all__ = ["ProcessSignals"]


class ProcessSignals:
    """Signals that never have their default action, also while nothing handles them.

    The handlers of an event loop give way to the default ones as the loop is closed; a
    signal from then on would end the process with another status.
    """

    __slots__ = ("_calls", "_numbers", "_received")

    def __init__(self, numbers: Iterable[int]):
        self._numbers = tuple(numbers)
        self._received: set[int] = set()
        self._calls: dict[int, Callable[[], object]] = {}
        for number in self._numbers:
            signal.signal(number, self._handle)

    def subscribe(self, number: int, call: Callable[[], object]) -> None:
        """Call a function on each signal, and now if the signal came before."""
        self._calls[number] = call
        if number in self._received:
            call()

    def has_received(self, number: int) -> bool:
        """Return whether a signal has come."""
        return number in self._received

    def ignore(self) -> None:
        """Ignore the signals until the process ends."""
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)

    def _handle(self, number: int, frame: FrameType | None) -> None:
        self._received.add(number)
        call = self._calls.get(number)
        if call is not None:
            call()
