"""Encode a failure domain's orders object as JSON and decode it."""

from dataclasses import asdict
from typing import Any

import orjson

from galenapass.tables.orders import Intent, IntentPhase, OrderSender, OrdersObject

__all__ = ["decode_orders", "encode_orders", "read_orders"]


def encode_orders(orders: OrdersObject) -> str:
    """Return the object as JSON text."""
    return orjson.dumps(asdict(orders)).decode()


def decode_orders(text: str) -> OrdersObject:
    """Return the object; raise ValueError when the text is not a valid one."""
    try:
        data = orjson.loads(text)
        return OrdersObject(
            data["fence"],
            data["epoch"],
            tuple(_decode_intent(row) for row in data["intents"]),
            tuple(OrderSender(**row) for row in data["senders"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not an orders object: {text[:100]!r}") from error


def read_orders(text: str) -> OrdersObject | None:
    """Return the object, or None for invalid text, which must not be overwritten."""
    try:
        return decode_orders(text)
    except ValueError:
        return None


def _decode_intent(row: dict[str, Any]) -> Intent:
    return Intent(**{**row, "phase": IntentPhase(row["phase"])})
