"""Check operators' files, apply newer ones and retain a few earlier ones."""

from collections.abc import Callable
from dataclasses import replace

from result import Err

from galenapass.logs import make_log
from galenapass.settings.fleet import parse_configuration
from galenapass.systems.targets import apply_configuration
from galenapass.tables.configurations import Configuration
from galenapass.tables.world import World

__all__ = ["ConfigurationManager"]

MAX_EARLIER_CONFIGURATIONS = 4

_log = make_log("settings")


class ConfigurationManager:
    """Configurations of this daemon; only changed sections of a file are parsed."""

    __slots__ = ("_last_parsed", "_on_change", "_parsed_sections", "_world", "earlier")

    def __init__(self, world: World, on_change: Callable[[Configuration], None]):
        self._world = world
        self._on_change = on_change
        self._parsed_sections: dict = {}
        self._last_parsed: Configuration | None = None
        self.earlier: dict[int, Configuration] = {}

    @property
    def version(self) -> int:
        """Return the current version, 0 when there is none."""
        return self._world.configuration.version

    def is_valid(self, text: str) -> bool:
        """Return whether a file received from a peer has no faults."""
        return self._parse(text, self.version + 1) is not None

    def accept(self, text: str, version: int) -> bool:
        """Apply a file and return True, unless it is not newer or has faults."""
        if version <= self.version:
            return False
        configuration = self._parse(text, version)
        if configuration is None:
            return False
        previous = self._world.configuration
        apply_configuration(self._world, configuration)
        self._retain(previous)
        _log("configuration applied", version=version, before=previous.version)
        self._on_change(configuration)
        return True

    def find(self, version: int | None) -> Configuration | None:
        """Return the current configuration for None, else a retained version."""
        if version is None or version == self.version:
            return self._world.configuration
        return self.earlier.get(version)

    def _parse(self, text: str, version: int) -> Configuration | None:
        if self._last_parsed is not None and self._last_parsed.text == text:
            return replace(self._last_parsed, version=version)
        parsed = parse_configuration(
            text, version, f"version {version}", self._parsed_sections
        )
        if isinstance(parsed, Err):
            faults = [str(fault) for fault in parsed.err_value]
            _log("configuration rejected", version=version, faults=faults)
            return None
        self._last_parsed = parsed.ok_value
        return parsed.ok_value

    def _retain(self, configuration: Configuration) -> None:
        self.earlier[configuration.version] = configuration
        while len(self.earlier) > MAX_EARLIER_CONFIGURATIONS:
            del self.earlier[min(self.earlier)]
