"""Which member to probe next: round robin in random order, own region first (SWIM, 4.3)."""

from __future__ import annotations

import random
from collections.abc import Callable

from beamloom.membership.member_table import MemberTable
from beamloom.membership.settings import MembershipSettings
from beamloom.model.machines import Member, NodeId
from beamloom.model.zones import Zone


class ProbeRing:
    """Two rings, of the node's own region and of the others; each is walked in random order."""

    def __init__(self, own_zone: Zone, settings: MembershipSettings, chance: random.Random) -> None:
        self._own_region = own_zone.region
        self._cross_share = settings.cross_region_share
        self._random = chance
        self._peers: list[Member] = []
        self._known: set[NodeId] = set()
        self._near: list[NodeId] = []
        self._far: list[NodeId] = []

    def next_target(
        self, table: MemberTable, needs_probe: Callable[[Member], bool]
    ) -> Member | None:
        """Return the next member to probe that needs it; None where there is no other."""
        if table.peers is not self._peers:
            self._take_newcomers(table)
        if not self._peers:
            return None
        crossing = self._random.random() < self._cross_share
        order = (False, True) if crossing else (True, False)
        for near in order:
            target = self._draw(table, near, needs_probe)
            if target is not None:
                return target
        return None

    def _take_newcomers(self, table: MemberTable) -> None:
        self._peers = table.peers
        for member in self._peers:
            if member.machine.node_id not in self._known:
                ring = self._near if self._is_near(member) else self._far
                ring.insert(self._random.randint(0, len(ring)), member.machine.node_id)
        self._known = {member.machine.node_id for member in self._peers}

    def _draw(
        self, table: MemberTable, near: bool, needs_probe: Callable[[Member], bool]
    ) -> Member | None:
        ring = self._near if near else self._far
        for _ in range(2):
            while ring:
                member = table.members.get(ring.pop())
                if member is not None and member.answers and needs_probe(member):
                    return member
            ring.extend(m.machine.node_id for m in self._peers if self._is_near(m) == near)
            self._random.shuffle(ring)
        return None

    def _is_near(self, member: Member) -> bool:
        return member.machine.zone.region == self._own_region
