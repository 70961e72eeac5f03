"""Random selection of the peers that gossip is sent to."""

from __future__ import annotations

import random
from collections.abc import Sequence

from beamloom.model.machines import Member, MemberState, NodeId


class PeerSelection:
    """The responsive members other than this node, and random selections of them."""

    def __init__(self, node_id: NodeId, rng: random.Random) -> None:
        self._node_id = node_id
        self._rng = rng
        self._zones: dict[str, list[NodeId]] = {}
        self.all: list[NodeId] = []
        self.any_alive = False

    def update(self, members: Sequence[Member]) -> None:
        """Replace the members to select from."""
        others = [item for item in members if item.is_reachable]
        others = [item for item in others if item.machine.node_id != self._node_id]
        self.all = [item.machine.node_id for item in others]
        self.any_alive = any(item.state is MemberState.ALIVE for item in others)
        self._zones = {}
        for item in others:
            self._zones.setdefault(item.machine.zone.name, []).append(item.machine.node_id)

    def sample(self, count: int) -> list[NodeId]:
        """Return up to `count` different random peers."""
        return self._rng.sample(self.all, min(count, len(self.all)))

    def cover_zones(self, chosen: Sequence[NodeId]) -> list[NodeId]:
        """Return the chosen peers and one of each zone that has none among them."""
        extended = list(chosen)
        for zone in sorted(self._zones):
            if not set(self._zones[zone]) & set(extended):
                extended.append(self._rng.choice(self._zones[zone]))
        return extended
