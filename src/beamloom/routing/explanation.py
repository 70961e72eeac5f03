"""What a node can tell of one flow, and of its routing as a whole."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from beamloom.routing.selection import PlacementReason
from beamloom.world.machines import NodeId


class FlowRole(Enum):
    """How a node stands to a flow."""

    HOME = "home"
    CACHED = "cached"
    REPLICA = "replica"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class FlowExplanation:
    """Which backend a flow has at this node, and why.

    `since` is when this node first knew of the flow; `is_exception` says that it is not where
    generation `base_revision` places it; `lease_end` is set for cached copies; `decider` is the
    node that decides the flow's partition, as far as this node knows.
    """

    service_id: str | None
    partition: int
    role: FlowRole
    decider: NodeId | None
    backend_id: str | None = None
    since: float | None = None
    reason: PlacementReason | None = None
    is_exception: bool = False
    base_revision: int | None = None
    lease_end: float | None = None


@dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """Counts of a forwarder's state; `counters` holds totals by name."""

    flows: int
    partitions_owned: int
    partitions_awaited: int
    partitions_frozen: int
    exceptions: int
    replicas_held: int
    records_waiting: int
    bindings_waiting: int
    open_flows: dict[int, int]
    counters: dict[str, int]
