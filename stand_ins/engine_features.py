"""Apply orders to an engine's role, model, version and adapters."""

from collections.abc import Callable

from galenapass.tables.targets import Role
from stand_ins.engine_orders import Action, Order

__all__ = ["Features"]


class Features:
    """Role, loaded model, model version and adapters of an engine."""

    __slots__ = ("adapters", "model", "role", "version")

    def __init__(self, role: Role, model: str):
        self.role = role
        self.model = model
        self.version = ""
        self.adapters: list[str] = []

    def apply(self, order: Order) -> None:
        """Apply the change of a completed order."""
        _CHANGES[order.action](self, order.value)

    def _change_role(self, value: str) -> None:
        self.role = Role(value)

    def _change_model(self, value: str) -> None:
        self.model = value
        self.adapters.clear()

    def _add_adapter(self, value: str) -> None:
        if value not in self.adapters:
            self.adapters.append(value)

    def _change_version(self, value: str) -> None:
        self.version = value


_CHANGES: dict[Action, Callable[[Features, str], None]] = {
    Action.ROLE: Features._change_role,
    Action.MODEL: Features._change_model,
    Action.ADAPTER: Features._add_adapter,
    Action.VERSION: Features._change_version,
}
