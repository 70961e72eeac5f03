"""The member list as other components of a node read it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from beamloom.model.machines import Member, NodeId


@dataclass(frozen=True, slots=True)
class MembershipView:
    """One version of the member list, the node itself included.

    `version` rises with each change at this node; versions of different nodes are unrelated.
    """

    version: int
    members: Mapping[NodeId, Member]

    def may_be_home(self) -> Iterator[Member]:
        """Yield the members that partitions may be assigned to."""
        return (member for member in self.members.values() if member.may_be_home)

    def reachable(self) -> Iterator[Member]:
        """Yield the members that packets and messages may be sent to."""
        return (member for member in self.members.values() if member.is_reachable)

    def member(self, node_id: NodeId) -> Member | None:
        """Return the member of that id, or None if it is not known."""
        return self.members.get(node_id)
