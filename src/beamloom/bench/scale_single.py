"""Measures one core that shares nothing: the memory and processor time of a real node.

Memory is measured with tracemalloc. Processor time is measured in a separate pass without it.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from dataclasses import dataclass
from statistics import median

from beamloom.bench.scale_deployment import machine_of, zones_of
from beamloom.bench.scale_fleet import FLEET_KEY, HASH_KEY, HollowFleet
from beamloom.bench.scale_nodes import start_established
from beamloom.bench.scale_options import ScaleOptions
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine
from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.protocol.codec import KeyRing
from beamloom.replication.configuration_state import ConfigurationState, snapshot_digest
from beamloom.routing.flow_table import FlowFlag
from beamloom.routing.partitions import PartitionMap
from beamloom.simulation.randomness import random_stream

REPEATS = 5
MEBIBYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class SingleCoreFigures:
    """State in MiB and processor time in milliseconds of one core that shares nothing.

    `snapshot_bytes` is the compressed configuration that a joining node fetches.
    """

    snapshot_bytes: int
    replica_mib: float
    compiled_and_members_mib: float
    placement_tables_mib: float
    flows_mib: float
    total_mib: float
    snapshot_encode_ms: float
    snapshot_decode_ms: float
    start_ms: float
    partition_map_whole_ms: float
    partition_map_update_ms: float
    member_change_ms: float
    placement_tables_ms: float
    one_placement_table_ms: float


def measure_single_core(options: ScaleOptions) -> SingleCoreFigures:
    """Measure one core with the fleet size of the options."""
    fleet = HollowFleet(options)
    fleet._fill_store()
    data = fleet.stored_state().encode()
    machines = [machine_of(index, zones_of(options)) for index in range(options.nodes)]
    memory = _measure_memory(options, data, machines)
    return SingleCoreFigures(len(data), *memory, *_measure_time(options, data, machines))


def _start(options: ScaleOptions, state: ConfigurationState, machines: list[Machine]) -> NodeCore:
    node_options = NodeOptions(
        machines[0],
        (),
        KeyRing((FLEET_KEY,)),
        HASH_KEY,
        (SocketAddress("10.3.0.1", 5555),),
        options.seed,
    )
    core = NodeCore(node_options, 0.0)
    core.start(0.0)
    start_established(core, machines, state, 0.0)
    return core


def _build_tables(core: NodeCore) -> None:
    for route in core.forwarder.routes.by_service_number.values():
        route.current_table  # noqa: B018 - builds the table


def _add_flows(core: NodeCore, count: int, rng: random.Random) -> None:
    home = core.forwarder.home
    partitions = sorted(home.ownership.owned)
    routes = list(home.routes.by_service_number.values())
    for _ in range(count):
        key = (rng.getrandbits(46) << 14) | rng.choice(partitions)
        service = rng.choice(routes)
        home.insert(key, home.choose(key, service, 0.0), service, FlowFlag.PAYLOAD_SENT, 0.0)


def _measure_memory(
    options: ScaleOptions, data: bytes, machines: list[Machine]
) -> tuple[float, float, float, float, float]:
    gc.collect()
    tracemalloc.start()
    try:
        state = ConfigurationState.decode(data, snapshot_digest(data))
        replica = _traced_mib()
        core = _start(options, state, machines)
        members = _traced_mib()
        _build_tables(core)
        tables = _traced_mib()
        count = options.open_flows // options.nodes
        _add_flows(core, count, random_stream(options.seed, "single"))
        flows = _traced_mib()
    finally:
        tracemalloc.stop()
    return (
        round(replica, 2),
        round(members - replica, 2),
        round(tables - members, 2),
        round(flows - tables, 2),
        round(flows, 2),
    )


def _traced_mib() -> float:
    gc.collect()
    return tracemalloc.get_traced_memory()[0] / MEBIBYTE


def _measure_time(
    options: ScaleOptions, data: bytes, machines: list[Machine]
) -> tuple[float, float, float, float, float, float, float, float]:
    digest = snapshot_digest(data)
    state = ConfigurationState.decode(data, digest)
    whole = PartitionMap(machines)
    others = machines[:-1]
    core = _start(options, state, machines)
    ownership = core.forwarder.ownership
    members = [ownership.members[item.node_id] for item in machines]
    encode = _milliseconds(state.encode)
    decode = _milliseconds(lambda: ConfigurationState.decode(data, digest))
    start = _milliseconds(lambda: _start(options, state, machines), repeats=1)
    whole_map = _milliseconds(lambda: PartitionMap(machines))
    update = _milliseconds(lambda: PartitionMap(others, whole))

    def member_leaves_and_returns() -> None:
        core.forwarder.update_members(members[:-1], 1.0)
        core.forwarder.update_members(members, 1.0)

    change = _milliseconds(member_leaves_and_returns) / 2
    tables = _milliseconds(lambda: _build_tables(core), repeats=1)
    return (
        encode,
        decode,
        start,
        whole_map,
        update,
        round(change, 3),
        tables,
        round(tables / max(options.services, 1), 3),
    )


def _milliseconds(function: object, repeats: int = REPEATS) -> float:
    """Return the median processor time of a call in milliseconds."""
    seconds = []
    for _ in range(repeats):
        before = time.thread_time()
        function()  # type: ignore[operator]
        seconds.append(time.thread_time() - before)
    return round(1000 * median(seconds), 3)
