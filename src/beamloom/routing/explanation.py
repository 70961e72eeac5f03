"""Reports of one flow's state at a node and of the state of its routing as a whole."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from beamloom.model.machines import NodeId
from beamloom.routing.deadline_enforcer import ENDED_AT_DEADLINE
from beamloom.routing.flow_table import FlowFlag
from beamloom.routing.hashing import partition_of
from beamloom.routing.home import Home
from beamloom.routing.packet import FlowTuple
from beamloom.routing.replicas import ReplicaStore
from beamloom.routing.selection import PlacementReason


class FlowRole(Enum):
    """The kind of state that a node keeps for a flow."""

    HOME = "home"
    CACHED = "cached"
    REPLICA = "replica"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class FlowExplanation:
    """The backend of a flow at this node, and the reason for it.

    `decider` is the node that decides on the flow's partition, as known to this node. `since` is
    when the entry was inserted or last replaced. `is_exception` marks a flow that its home records
    as an exception to generation `base_revision`. `lease_end` is set for cached copies. `deadline`
    is when the home will end the flow, and `ended_at_deadline` says that it has.
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
    deadline: float | None = None
    ended_at_deadline: bool = False


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
    deadlines: int
    open_flows: dict[int, int]
    counters: dict[str, int]


class FlowExplainer:
    """Builds explanations of flows from the state of one node."""

    def __init__(self, home: Home, replicas: ReplicaStore) -> None:
        self._home = home
        self._replicas = replicas

    def explain(self, key: int, flow: FlowTuple) -> FlowExplanation:
        """Return the explanation of the flow with key `key`."""
        service = self._home.routes.by_destination.get(flow.destination_key)
        service_id = None if service is None else service.contract.service_id
        row = self._home.table.rows.get(key)
        if row is not None:
            return self._explain_row(key, row, service_id)
        partition = partition_of(key)
        decider = self._home.ownership.forward_targets[partition]
        held = self._replicas.get(partition)
        number = None if held is None else held.records.get(key)
        if held is None or number is None:
            return FlowExplanation(service_id, partition, FlowRole.NONE, decider)
        return FlowExplanation(
            service_id,
            partition,
            FlowRole.REPLICA,
            decider,
            self._backend_id(number),
            reason=PlacementReason.REPLICA,
            is_exception=True,
            base_revision=held.base,
        )

    def _explain_row(self, key: int, row: int, service_id: str | None) -> FlowExplanation:
        table, ownership = self._home.table, self._home.ownership
        partition = partition_of(key)
        is_home = bool(table.flags[row] & FlowFlag.HOME)
        owned = ownership.owned.get(partition)
        found = self._home.exceptions.get(partition, {}).get(key)
        number = table.backend[row]
        reason = PlacementReason.BASE_GENERATION if found is None else found
        return FlowExplanation(
            service_id,
            partition,
            FlowRole.HOME if is_home else FlowRole.CACHED,
            ownership.forward_targets[partition],
            self._backend_id(number),
            table.created[row],
            reason if is_home else PlacementReason.CACHED_ANSWER,
            found is not None,
            None if owned is None else owned.base,
            None if is_home else table.deadline[row],
            self._deadline(key, number),
            table.flags[row] & ENDED_AT_DEADLINE == ENDED_AT_DEADLINE,
        )

    def _deadline(self, key: int, backend_number: int) -> float | None:
        flow = self._home.deadlines.get(key)
        route = self._home.routes.backends.get(backend_number)
        allowed = 0.0 if route is None else route.service.deadline
        return flow.began + allowed if flow is not None and allowed else None

    def _backend_id(self, number: int) -> str | None:
        route = self._home.routes.backends.get(number)
        return None if route is None else route.backend.backend_id
