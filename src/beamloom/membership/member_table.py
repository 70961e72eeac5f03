"""The member list of one node: merging of updates, digests, and lists to draw peers from.

Updates are ordered by (incarnation, state): nodes that received the same updates of a member, in
any order, have it in the same state (SWIM, Das et al. 2002, section 4.2).
"""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType

from xxhash import xxh3_64_intdigest

from beamloom.membership.view import MembershipView
from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.protocol.membership_messages import DIGEST_BUCKETS, MemberUpdate

DIGEST_MASK = 2**32 - 1


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member before and after an update; `before` is None for a new member."""

    before: Member | None
    after: Member


class MemberTable:
    """All members that this node knows, itself included."""

    def __init__(self, own: Member) -> None:
        self.own_id = own.machine.node_id
        self.members: dict[NodeId, Member] = {self.own_id: own}
        self.buckets = [0] * DIGEST_BUCKETS
        self._version = 1
        self._view: MembershipView | None = None
        self._peers: list[Member] | None = None
        self._dead: list[Member] | None = None
        self._sorted_ids: list[NodeId] | None = None
        self._gone_since: dict[NodeId, float] = {}
        self._toggle_digest(own)

    @property
    def view(self) -> MembershipView:
        """The current version of the list; the same object until something changes."""
        if self._view is None:
            self._view = MembershipView(self._version, MappingProxyType(dict(self.members)))
        return self._view

    @property
    def peers(self) -> list[Member]:
        """Other members that are reachable, in the order of their ids."""
        if self._peers is None:
            others = (self.members[node_id] for node_id in self.sorted_ids)
            self._peers = [m for m in others if m.is_reachable and m.machine.node_id != self.own_id]
        return self._peers

    @property
    def dead(self) -> list[Member]:
        """Members recorded as dead, in the order of their ids."""
        if self._dead is None:
            known = (self.members[node_id] for node_id in self.sorted_ids)
            self._dead = [member for member in known if member.state is MemberState.DEAD]
        return self._dead

    @property
    def sorted_ids(self) -> list[NodeId]:
        """Ids of all members in ascending order."""
        if self._sorted_ids is None:
            self._sorted_ids = sorted(self.members)
        return self._sorted_ids

    def supersedes(self, update: MemberUpdate) -> bool:
        """Return whether the update is newer than the stored entry of its member.

        An update of a member without an entry needs its machine, and a state below LEFT.
        """
        known = self.members.get(update.node_id)
        if known is None:
            return update.machine is not None and update.state < MemberState.LEFT
        return (update.incarnation, update.state) > (known.incarnation, known.state)

    def apply(self, update: MemberUpdate, now: float) -> MemberChange | None:
        """Apply an update if it is newer; return the change, or None."""
        if not self.supersedes(update):
            return None
        before = self.members.get(update.node_id)
        machine = update.machine if before is None else before.machine
        if machine is None:
            return None
        return self.put(Member(machine, update.state, update.incarnation), now)

    def put(self, member: Member, now: float) -> MemberChange:
        """Store a member, replacing its entry whether or not it is newer."""
        node_id = member.machine.node_id
        before = self.members.get(node_id)
        if before is not None:
            self._toggle_digest(before)
        self._toggle_digest(member)
        self.members[node_id] = member
        if member.is_reachable:
            self._gone_since.pop(node_id, None)
        else:
            self._gone_since[node_id] = now
        self._invalidate_caches(before is None)
        return MemberChange(before, member)

    def remove_expired(self, now: float, dead_retention: float, left_retention: float) -> None:
        """Remove members that have been dead or left for longer than their retention."""
        for node_id, since in list(self._gone_since.items()):
            is_dead = self.members[node_id].state is MemberState.DEAD
            if now - since > (dead_retention if is_dead else left_retention):
                del self.members[node_id]
                del self._gone_since[node_id]
                self._invalidate_caches(True)

    def update_of(self, node_id: NodeId, with_machine: bool = False) -> MemberUpdate:
        """Return an update with the entry of a known member."""
        member = self.members[node_id]
        machine: Machine | None = member.machine if with_machine else None
        return MemberUpdate(node_id, member.state, member.incarnation, None, machine)

    def ids_of_bucket(self, bucket: int) -> list[NodeId]:
        """Return the ids of all members of a digest bucket."""
        return [node_id for node_id in self.sorted_ids if bucket_of(node_id) == bucket]

    def _invalidate_caches(self, ids_changed: bool) -> None:
        self._version += 1
        self._view = None
        self._peers = None
        self._dead = None
        if ids_changed:
            self._sorted_ids = None

    def _toggle_digest(self, member: Member) -> None:
        # Members that left or died are not included: nodes remove them at different times.
        if not member.is_reachable:
            return
        node_id = member.machine.node_id
        text = f"{node_id} {int(member.state)} {member.incarnation}"
        self.buckets[bucket_of(node_id)] ^= xxh3_64_intdigest(text) & DIGEST_MASK


def bucket_of(node_id: NodeId) -> int:
    """Return the digest bucket of a member."""
    return xxh3_64_intdigest(node_id) % DIGEST_BUCKETS
