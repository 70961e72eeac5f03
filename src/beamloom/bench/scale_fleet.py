"""A fleet of nodes with a store and a list of machines, on the simulator's clock and network."""

from __future__ import annotations

import random
import resource
from collections.abc import Callable, Sequence

from beamloom.bench.scale_deployment import (
    StoredBackend,
    links_of,
    machine_of,
    parent_objects,
    stored_backends,
    zones_of,
)
from beamloom.bench.scale_nodes import HollowNode, MeteredCore, start_established
from beamloom.bench.scale_observations import (
    AcceptedChange,
    ChangeObserver,
    CrashObserver,
    LeanMeasurements,
)
from beamloom.bench.scale_options import ScaleOptions
from beamloom.bench.scale_samples import DatagramSamples
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Zone
from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.protocol.codec import KeyRing
from beamloom.protocol.commands import CheckBackend
from beamloom.protocol.events import BackendChecked, MachinesListed
from beamloom.replication.configuration_state import ConfigurationState
from beamloom.simulation.clock import LocalClock, VirtualClock
from beamloom.simulation.deployment import PLATFORM_ZONE
from beamloom.simulation.hosts import Host
from beamloom.simulation.network import Network, PathCondition
from beamloom.simulation.node_adapter import NodeSurroundings
from beamloom.simulation.randomness import derive_seed, random_stream
from beamloom.standins.platform_store import PlatformStore

FLEET_KEY = b"scale run's fleet key, 32 bytes."
HASH_KEY = b"scale run's hash key"
MACHINE_LIST_SECONDS = 10.0
CHECK_SECONDS = 0.004
HISTORY_LIMIT = 20_000
SEED_COUNT = 3
KIBIBYTE = 1024


class HollowFleet:
    """Builds the nodes; starts, stops and crashes them and changes their backends."""

    def __init__(self, options: ScaleOptions) -> None:
        self.options = options
        self.clock = VirtualClock()
        self.zones = zones_of(options)
        self.network = Network(self.clock, links_of(self.zones), self.random("network"))
        if options.loss:
            self.network.add_condition("", PathCondition(loss=options.loss))
        self.store = PlatformStore(self.random("store"), history_limit=HISTORY_LIMIT)
        self.keys = KeyRing((FLEET_KEY,))
        self.samples = DatagramSamples(self.keys)
        self.measurements = LeanMeasurements(self.clock)
        self.nodes: dict[NodeId, HollowNode] = {}
        self.ended: dict[str, float] = {}
        self.changes = ChangeObserver(self.measurements)
        self.crashes = CrashObserver(self.clock, self.nodes)
        self.backends: list[StoredBackend] = []
        self.bytes_per_node = 0.0
        self._store_host = Host(self.clock, "platform", Zone(PLATFORM_ZONE, PLATFORM_ZONE))
        self._changes_made = 0
        self._machine_count = 0

    def random(self, *purpose: str) -> random.Random:
        """Return a random generator derived from the seed for this purpose."""
        return random_stream(self.options.seed, "scale", *purpose)

    def build(self) -> None:
        """Fill the store and start every node with the members and configuration of the fleet."""
        self._fill_store()
        state = self.stored_state()
        machines = [self.new_machine() for _ in range(self.options.nodes)]
        before = _resident_bytes()
        for machine in machines:
            core = self._new_core(machine, ())
            node = self._new_node(core, machine)
            start_established(core, machines, state, self.clock.now)
            node.handle_timer()
        self.bytes_per_node = (_resident_bytes() - before) / max(len(machines), 1)
        self._list_machines()

    def _fill_store(self) -> None:
        for key, value in parent_objects(self.options):
            self.store.write(key, value, 0)
        self.backends = list(stored_backends(self.options, self.zones))
        for backend in self.backends:
            self.store.write(backend.key, backend.value, 0)

    def stored_state(self) -> ConfigurationState:
        """Return the configuration state of a node that has applied the whole store."""
        state = ConfigurationState()
        listing = self.store.list_objects()
        state.apply(state.difference(listing.revision, listing.objects))
        return state

    # -- nodes ---------------------------------------------------------------------------------

    def new_machine(self) -> Machine:
        """Return a new machine."""
        machine = machine_of(self._machine_count, self.zones)
        self._machine_count += 1
        return machine

    def _new_core(self, machine: Machine, seeds: tuple[SocketAddress, ...]) -> NodeCore:
        options = NodeOptions(
            machine,
            seeds,
            self.keys,
            HASH_KEY,
            (SocketAddress("10.3.0.1", 5555),),
            derive_seed(self.options.seed, "core", machine.node_id),
        )
        return NodeCore(options, self.clock.now)

    def _new_node(self, core: NodeCore, machine: Machine) -> HollowNode:
        host = Host(self.clock, machine.node_id, machine.zone)
        surroundings = NodeSurroundings(
            self.clock, self.network, self.measurements, self._check_backend
        )
        metered = MeteredCore(core, self.samples)
        node = HollowNode(metered, machine, host, LocalClock(self.clock), surroundings)
        self.nodes[machine.node_id] = node
        node.start(self.store, self._store_host)
        return node

    def start_node(self) -> HollowNode:
        """Start another node, which joins through the first SEED_COUNT running nodes."""
        machine = self.new_machine()
        running = self.running()
        seeds = [node.machine.control_address for node in running[:SEED_COUNT]]
        return self._new_node(self._new_core(machine, tuple(seeds)), machine)

    def stop_node(self, name: NodeId) -> None:
        """Start a planned stop of a node."""
        self.ended[name] = self.clock.now
        self.store.machines.leave(name, self.clock.now)
        self.nodes[name].request_stop()

    def crash_nodes(self, names: Sequence[NodeId]) -> None:
        """Crash nodes without notice to the others."""
        for name in names:
            self.ended[name] = self.clock.now
            self.nodes[name].crash()
        self.crashes.crashed(list(names))

    def running(self) -> list[HollowNode]:
        """Return the running nodes that were not requested to stop, oldest first."""
        return [node for node in self.nodes.values() if node.host.running and not node.leaving]

    # -- the platform --------------------------------------------------------------------------

    def change_backend(self) -> None:
        """Write a change of one backend to the store and record which nodes should apply it."""
        backend = self.backends[self._changes_made * 97 % len(self.backends)]
        self._changes_made += 1
        current = self.store.read(backend.key).found
        if current is None:
            return
        weight = 100 + self._changes_made % 50
        value = {**backend.value, "weight": weight, "operation": f"{self._changes_made:016x}"}
        stored = self.store.write(backend.key, value, current.revision)
        expected = frozenset(node.name for node in self.running() if node.core.ready)
        self.changes.accepted.append(AcceptedChange(stored.revision, self.clock.now, expected))

    def _check_backend(
        self, host: Host, command: CheckBackend, deliver: Callable[[BackendChecked], None]
    ) -> None:
        answer = BackendChecked(command.backend_number, True, False, 0.5, CHECK_SECONDS)
        self.clock.call_later(CHECK_SECONDS, host.deliver, deliver, answer)

    def _list_machines(self) -> None:
        now = self.clock.now
        for node in self.running():
            self.store.machines.heartbeat(node.machine.node_id, now)
        listing = self.store.machines.listing(now)
        event = MachinesListed(listing.live, listing.leaving)
        for node in self.running():
            node.host.deliver(node.handle, event)
        self.clock.call_later(MACHINE_LIST_SECONDS, self._list_machines)


def _resident_bytes() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE
