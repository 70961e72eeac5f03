"""Checks the fields of messages from other nodes before any of them takes effect.

Nodes of other versions may fill a field otherwise. A value of another type that got into the state
of this node would fail later, in whatever reads it.
"""

from __future__ import annotations

from collections.abc import Mapping

from beamloom.protocol.messages import Message
from beamloom.protocol.opening_messages import OpeningQuery, OpeningReport
from beamloom.protocol.view_messages import (
    NEVER,
    AskElsewhere,
    BackendsDown,
    ViewDigest,
    ViewPart,
    ViewRequest,
)

NUMBER_LIMIT = 1 << 63
"""Exceeds every revision, version and age in a message."""

Row = tuple[type, ...]

_ROWS: Mapping[type[Message], Mapping[str, Row]] = {
    ViewDigest: {
        "views": (int, int),
        "readers": (str, int),
        "peers": (str, int),
        "silent": (str, str, int),
        "failing": (str, str, int),
    },
    OpeningReport: {"openings": (bytes, str, int)},
}
"""Fields that are lists of rows, by the types of the first items of a row."""
_ITEMS: Mapping[type[Message], Mapping[str, type]] = {
    ViewDigest: {"eras": int, "marks": int},
    ViewRequest: {"versions": int},
    AskElsewhere: {"hosts": str},
    BackendsDown: {"names": str},
    OpeningQuery: {"flows": bytes},
    OpeningReport: {"unknown": bytes},
}
"""Fields that are lists, by the type of their items."""
_VALUES: Mapping[type[Message], Mapping[str, type]] = {
    ViewDigest: {"zone": str, "sent_at": int},
    ViewRequest: {"view": int, "since": int, "attempt": int, "era": int},
    AskElsewhere: {"view": int},
    ViewPart: {"view": int, "transfer": int, "part": int, "parts": int, "data": bytes},
}


class MalformedMessageError(ValueError):
    """A field of a peer's message is malformed; upgrade the older of the two nodes."""

    def __init__(self, message: Message, field: str) -> None:
        super().__init__(f"{type(message).__name__}.{field} is malformed; upgrade the older node")


def check_message(message: Message) -> None:
    """Raise MalformedMessageError if a field of a message is malformed.

    Fields that are checked where they are read, such as a capacity, are not checked here.
    """
    kind = type(message)
    for field, row in _ROWS.get(kind, {}).items():
        _require(message, field, _are_rows(getattr(message, field), row))
    for field, item in _ITEMS.get(kind, {}).items():
        _require(message, field, _are_items(getattr(message, field), item))
    for field, value in _VALUES.get(kind, {}).items():
        _require(message, field, _is_value(getattr(message, field), value))


def _require(message: Message, field: str, holds: bool) -> None:
    if not holds:
        raise MalformedMessageError(message, field)


def _are_rows(rows: object, types: Row) -> bool:
    if not isinstance(rows, list):
        return False
    return all(
        isinstance(row, list | tuple) and len(row) >= len(types) and all(map(_is_value, row, types))
        for row in rows
    )


def _are_items(items: object, item_type: type) -> bool:
    return isinstance(items, list) and all(_is_value(item, item_type) for item in items)


def _is_value(value: object, value_type: type) -> bool:
    """Whether a value has a type and, if it is a number, can be one of this protocol."""
    if not isinstance(value, value_type):
        return False
    return not isinstance(value, int) or NEVER <= value < NUMBER_LIMIT
