"""Encode a failure domain's orders object as JSON and decode it."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import orjson

from galenapass.json_values import DECODE_ERRORS, read_counter, read_text
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
            read_counter(data["fence"]),
            read_counter(data["epoch"]),
            tuple(_decode_intent(row) for row in data["intents"]),
            tuple(_decode_sender(row) for row in data["senders"]),
        )
    except DECODE_ERRORS as error:
        raise ValueError(f"not an orders object: {text[:100]!r}") from error


def read_orders(text: str) -> OrdersObject | None:
    """Return the object, or None for invalid text, which must not be overwritten."""
    try:
        return decode_orders(text)
    except ValueError:
        return None


def _decode_intent(row: dict[str, Any]) -> Intent:
    texts = _read_fields(read_text, row, "id", "target", "action", "value")
    counters = _read_fields(read_counter, row, "fence", "epoch")
    # A field that is not known here is refused, as a rewrite would drop it.
    return Intent(**{**row, **texts, **counters, "phase": IntentPhase(row["phase"])})


def _decode_sender(row: dict[str, Any]) -> OrderSender:
    texts = _read_fields(read_text, row, "target", "host")
    return OrderSender(
        **{**row, **texts, **_read_fields(read_counter, row, "incarnation")}
    )


def _read_fields(
    read: Callable[[Any], Any], row: dict[str, Any], *names: str
) -> dict[str, Any]:
    return {name: read(row[name]) for name in names}
