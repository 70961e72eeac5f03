"""Exceptions of the decision core."""

from __future__ import annotations


class NodeError(Exception):
    """Base of the decision core's errors."""


class UnknownEventError(NodeError):
    """An adapter passed an event of an unknown type."""

    def __init__(self, event: object) -> None:
        super().__init__(
            f"{type(event).__name__} is not an event of protocol/events.py; correct the adapter"
        )
