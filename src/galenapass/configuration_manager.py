"""Take operators' files in: check each, put newer ones in force, keep a few."""

from collections.abc import Callable
from dataclasses import replace

from result import Err

from galenapass.logs import make_log
from galenapass.settings.fleet import parse_configuration
from galenapass.systems.targets import apply_configuration
from galenapass.tables.configurations import Configuration
from galenapass.tables.world import World

__all__ = ["ConfigurationManager"]

KEPT_CONFIGURATIONS = 4

_log = make_log("settings")


class ConfigurationManager:
    """Hold the sections last parsed, so that a changed file costs only its change."""

    __slots__ = ("_changed", "_last", "_sections", "_world", "earlier")

    def __init__(self, world: World, changed: Callable[[Configuration], None]):
        self._world = world
        self._changed = changed
        self._sections: dict = {}
        self._last: Configuration | None = None
        self.earlier: dict[int, Configuration] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 when there is none."""
        return self._world.configuration.version

    def is_sound(self, text: str) -> bool:
        """Tell whether a file that came from a peer has no faults."""
        return self._parse(text, self.version + 1) is not None

    def accept(self, text: str, version: int) -> bool:
        """Put a file in force unless it is not newer or has faults."""
        if version <= self.version:
            return False
        configuration = self._parse(text, version)
        if configuration is None:
            return False
        before = self._world.configuration
        apply_configuration(self._world, configuration)
        self._keep(before)
        _log("a configuration is in force", version=version, before=before.version)
        self._changed(configuration)
        return True

    def find(self, version: int | None) -> Configuration | None:
        """Return the configuration in force for None, else one that is still kept."""
        if version is None or version == self.version:
            return self._world.configuration
        return self.earlier.get(version)

    def _parse(self, text: str, version: int) -> Configuration | None:
        if self._last is not None and self._last.text == text:
            return replace(self._last, version=version)
        parsed = parse_configuration(
            text, version, f"version {version}", self._sections
        )
        if isinstance(parsed, Err):
            faults = [str(fault) for fault in parsed.err_value]
            _log("a configuration has faults", version=version, faults=faults)
            return None
        self._last = parsed.ok_value
        return parsed.ok_value

    def _keep(self, configuration: Configuration) -> None:
        self.earlier[configuration.version] = configuration
        while len(self.earlier) > KEPT_CONFIGURATIONS:
            del self.earlier[min(self.earlier)]
