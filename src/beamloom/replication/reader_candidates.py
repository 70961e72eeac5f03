"""Orders the candidates of each reader lease, identically on all nodes with the same members.

Leases prefer different zones, alternating between regions, so that the partition of a zone or a
region affects few readers. Within a zone candidates are ordered by rendezvous hashing (Thaler and
Ravishankar, 1998).
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import chain, zip_longest

import xxhash

from beamloom.model.machines import Member, MemberState, NodeId
from beamloom.model.zones import Zone

CANDIDATES_PER_LEASE = 3


def eligible_members(members: Sequence[Member]) -> list[Member]:
    """Return the members that may hold a lease: alive ones, or joining ones if none is alive."""
    alive = [item for item in members if item.state is MemberState.ALIVE]
    return alive or [item for item in members if item.state is MemberState.JOINING]


def zone_order(members: Sequence[Member]) -> list[Zone]:
    """Return the zones of the members, alternating between regions."""
    regions: dict[str, set[Zone]] = {}
    for item in members:
        regions.setdefault(item.machine.zone.region, set()).add(item.machine.zone)
    columns = [sorted(regions[name], key=_zone_score) for name in sorted(regions)]
    return [zone for zone in chain(*zip_longest(*columns)) if zone is not None]


def candidate_rank(number: int, node_id: NodeId, members: Sequence[Member]) -> int | None:
    """Return a node's rank among the candidates of a lease, or None if it is no candidate."""
    eligible = eligible_members(members)
    zones = zone_order(eligible)
    if not zones:
        return None
    start = number % len(zones)
    zone_rank = {zone: (index - start) % len(zones) for index, zone in enumerate(zones)}
    near = [item for item in eligible if zone_rank[item.machine.zone] < CANDIDATES_PER_LEASE]
    order = sorted(
        near,
        key=lambda item: (
            zone_rank[item.machine.zone],
            _node_score(number, item.machine.node_id),
        ),
    )
    names = [item.machine.node_id for item in order[:CANDIDATES_PER_LEASE]]
    return names.index(node_id) if node_id in names else None


def _zone_score(zone: Zone) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(zone.name), zone.name


def _node_score(number: int, node_id: NodeId) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{number}/{node_id}"), node_id
