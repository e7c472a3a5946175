"""Write a failure domain's orders object as JSON and read it back."""

from dataclasses import asdict
from typing import Any

import orjson

from galenapass.tables.orders import Intent, IntentPhase, OrderSender, OrdersObject

__all__ = ["decode_orders", "encode_orders", "read_orders"]


def encode_orders(orders: OrdersObject) -> str:
    """Return the object's text."""
    return orjson.dumps(asdict(orders)).decode()


def decode_orders(text: str) -> OrdersObject:
    """Return the object; ValueError when the text is none."""
    try:
        data = orjson.loads(text)
        return OrdersObject(
            data["fence"],
            data["epoch"],
            tuple(_read_intent(row) for row in data["intents"]),
            tuple(OrderSender(**row) for row in data["senders"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not an orders object: {text[:100]!r}") from error


def read_orders(text: str) -> OrdersObject | None:
    """Return the object, or None for one that must not be written over."""
    try:
        return decode_orders(text)
    except ValueError:
        return None


def _read_intent(row: dict[str, Any]) -> Intent:
    return Intent(**{**row, "phase": IntentPhase(row["phase"])})
