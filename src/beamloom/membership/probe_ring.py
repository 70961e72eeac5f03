"""Selection of probe targets: round robin in random order, mostly of the own region (SWIM, 4.3)."""

from __future__ import annotations

import random
from collections.abc import Callable

from beamloom.membership.member_table import MemberTable
from beamloom.membership.settings import MembershipSettings
from beamloom.model.machines import Member, NodeId
from beamloom.model.zones import Zone


class ProbeRing:
    """Two rings of members, of the own region and of all others, each in random order."""

    def __init__(self, own_zone: Zone, settings: MembershipSettings, rng: random.Random) -> None:
        self._own_region = own_zone.region
        self._cross_share = settings.cross_region_share
        self._rng = rng
        self._peers: list[Member] = []
        self._known: set[NodeId] = set()
        self._near: list[NodeId] = []
        self._far: list[NodeId] = []

    def next_target(
        self, table: MemberTable, needs_probe: Callable[[Member], bool]
    ) -> Member | None:
        """Return the next member for which `needs_probe` is true; None if there is none."""
        if table.peers is not self._peers:
            self._add_new_peers(table)
        if not self._peers:
            return None
        cross_region = self._rng.random() < self._cross_share
        order = (False, True) if cross_region else (True, False)
        for near in order:
            target = self._next_from_ring(table, near, needs_probe)
            if target is not None:
                return target
        return None

    def _add_new_peers(self, table: MemberTable) -> None:
        self._peers = table.peers
        for member in self._peers:
            if member.machine.node_id not in self._known:
                ring = self._near if self._is_near(member) else self._far
                ring.insert(self._rng.randint(0, len(ring)), member.machine.node_id)
        self._known = {member.machine.node_id for member in self._peers}

    def _next_from_ring(
        self, table: MemberTable, near: bool, needs_probe: Callable[[Member], bool]
    ) -> Member | None:
        ring = self._near if near else self._far
        for _ in range(2):
            while ring:
                member = table.members.get(ring.pop())
                if member is not None and member.is_reachable and needs_probe(member):
                    return member
            ring.extend(m.machine.node_id for m in self._peers if self._is_near(m) == near)
            self._rng.shuffle(ring)
        return None

    def _is_near(self, member: Member) -> bool:
        return member.machine.zone.region == self._own_region
