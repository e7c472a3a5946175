"""List the changes required by the operators' file and by role planning."""

from datetime import timedelta

from galenapass.systems.role_planning import RequiredChange, propose_changes
from galenapass.tables.configurations import TargetEntry
from galenapass.tables.targets import Target, TargetKind, TargetState
from galenapass.tables.world import World

__all__ = ["list_required_changes"]

ROLE = "role"
MODEL = "model"


def list_required_changes(world: World, now: timedelta) -> tuple[RequiredChange, ...]:
    """Return the changes for this daemon's domain, declared ones before proposed."""
    declared = [
        change
        for entry in world.configuration.targets.values()
        if (change := _find_declared(world, entry)) is not None
    ]
    return (*declared, *propose_changes(world, now))


def _find_declared(world: World, entry: TargetEntry) -> RequiredChange | None:
    target = world.targets.get(entry.name)
    if target is None or not _may_change(world, target):
        return None
    model = world.configuration.services[entry.service].model
    if target.model and target.model != model:
        why = f"the file declares model {model}, {target.id} has {target.model}"
        return RequiredChange(target.id, MODEL, model, 0.0, 0.0, why)
    if entry.role is not None and entry.role is not target.role:
        why = f"the file declares role {entry.role.value} for {target.id}"
        return RequiredChange(target.id, ROLE, entry.role.value, 0.0, 0.0, why)
    return None


def _may_change(world: World, target: Target) -> bool:
    return (
        target.kind is TargetKind.ENGINE
        and target.domain == world.domain
        and target.state is TargetState.SERVING
    )
