"""Update the table of targets from the configuration, host list and readiness."""

from collections.abc import Iterable

from galenapass.tables.configurations import Configuration, TargetEntry
from galenapass.tables.targets import Role, Target, TargetKind, TargetState
from galenapass.tables.world import World

__all__ = ["apply_configuration", "apply_presence", "record_readiness"]


def apply_configuration(world: World, configuration: Configuration) -> None:
    """Apply a configuration; ignore one that is not newer than the current one."""
    if configuration.version <= world.configuration.version:
        return
    world.configuration = configuration
    routable = (e for e in configuration.targets.values() if world.routes_to(e.domain))
    for entry in routable:
        _apply_entry(world, configuration, entry)
    for target in world.targets.values():
        _update_state(world, target)
    _drop_idle_unconfigured(world)


def apply_presence(world: World, leaving: Iterable[str], live: Iterable[str]) -> None:
    """Apply the platform's list; a target that it does not name keeps its state.

    The list is delayed, so an absent target may be a new one; one that is gone is
    detected by its failures.
    """
    listed = dict.fromkeys(live, False) | dict.fromkeys(leaving, True)
    for name in listed.keys() & world.targets.keys():
        target = world.targets[name]
        target.listed_leaving = listed[name]
        _update_state(world, target)


def record_readiness(world: World, target: Target, ready: bool) -> bool:
    """Record the readiness that a target reports; return whether its state changed."""
    before = target.state
    target.reported_leaving = not ready
    _update_state(world, target)
    return target.state is not before


def _apply_entry(
    world: World, configuration: Configuration, entry: TargetEntry
) -> None:
    service = configuration.services[entry.service]
    target = world.targets.get(entry.name)
    if target is None or target.address != entry.address:
        world.targets[entry.name] = _make_target(entry, service.kind, service.model)
        return
    target.domain = entry.domain
    target.service = entry.service
    target.checks_fencing = entry.checks_fencing


def _make_target(entry: TargetEntry, kind: TargetKind, model: str) -> Target:
    return Target(
        id=entry.name,
        address=entry.address,
        domain=entry.domain,
        kind=kind,
        service=entry.service,
        role=entry.role or Role.MIXED,
        model=model,
        checks_fencing=entry.checks_fencing,
    )


def _update_state(world: World, target: Target) -> None:
    """Set the state to LEAVING if any source says that the target is leaving."""
    configured = target.id in world.configuration.targets
    if target.listed_leaving or target.reported_leaving or not configured:
        target.state = TargetState.LEAVING
    elif target.state is TargetState.LEAVING:
        target.state = TargetState.SERVING


def _drop_idle_unconfigured(world: World) -> None:
    gone = [
        target.id
        for target in world.targets.values()
        if target.id not in world.configuration.targets and not target.own_requests
    ]
    for name in gone:
        del world.targets[name]
