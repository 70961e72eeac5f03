"""Typed errors of the decision core; each names its remedy."""

from __future__ import annotations


class NodeError(Exception):
    """Base of the decision core's errors."""


class UnknownEventError(NodeError):
    """An adapter handed in an event that the core does not know."""

    def __init__(self, event: object) -> None:
        super().__init__(
            f"{type(event).__name__} is not an event of protocol/events.py; correct the adapter"
        )
