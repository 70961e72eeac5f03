"""Messages of fleet status: which node has which revision in force (kinds 60 to 63)."""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.machines import NodeId
from beamloom.protocol.messages import Message, Priority, register_message


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise ValueError(reason)


@register_message(60, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class RevisionReported(Message):
    """A node reports the revision that it has in force to the aggregator of its group."""

    applied_revision: int

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.applied_revision, int), "applied_revision is not a number")


@register_message(61, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class RevisionRequested(Message):
    """An aggregator requests the report of a member of its group."""


@register_message(62, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class GroupStatusRequested(Message):
    """A node requests from an aggregator which of its group have `revision` in force."""

    revision: int

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.revision, int), "revision is not a number")


@register_message(63, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class GroupStatusReported(Message):
    """The members of a group that reported `revision` or later, and those that reported less."""

    revision: int
    in_force: list[NodeId]
    behind: list[NodeId]

    def __post_init__(self) -> None:
        """Raise ValueError when a field has the wrong type."""
        _require(isinstance(self.revision, int), "revision is not a number")
        for names in (self.in_force, self.behind):
            _require(isinstance(names, list), "a list of nodes is not an array")
            _require(all(isinstance(name, str) for name in names), "a node is not a name")
