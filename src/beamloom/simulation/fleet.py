"""Simulated fleet: balancers, backends, clients, operators and the platform's store."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Zone
from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.protocol.codec import KeyRing
from beamloom.protocol.events import MachinesListed
from beamloom.simulation.clock import LocalClock, VirtualClock
from beamloom.simulation.deployment import (
    PLATFORM_ZONE,
    VAKATALE,
    BackendLocation,
    ServiceSpec,
    Site,
    backend_location,
    initial_objects,
    site_links,
)
from beamloom.simulation.hosts import Host
from beamloom.simulation.measurements import Measurements
from beamloom.simulation.network import Network
from beamloom.simulation.node_adapter import DecisionCore, NodeSurroundings, SimulatedNode
from beamloom.simulation.operators import Operators
from beamloom.simulation.randomness import derive_seed, random_stream
from beamloom.simulation.traffic import (
    ClientEdge,
    HealthChecks,
    SimulatedBackend,
    uniform_service_time,
)
from beamloom.standins.backend_model import BackendOptions
from beamloom.standins.platform_store import PlatformStore

FLEET_KEY = b"simulated fleet key, 32 bytes .."
HASH_KEY = b"simulated hash key"
DATA_PORT, PEER_PORT, CONTROL_PORT = 5555, 5556, 7946
FABRIC_CHECK_SECONDS = 0.5
MACHINE_LIST_SECONDS = 2.0
SEED_COUNT = 3
"""Maximum number of seeds that a node starts with."""
MAXIMUM_CLOCK_OFFSET = 1000.0
"""Upper limit of the offset of a machine's clock, in seconds."""

CoreFactory = Callable[[NodeOptions, float], DecisionCore]
"""Creates a core; its second argument is the machine's local time in seconds."""


def product_core(options: NodeOptions, now: float) -> DecisionCore:
    """Return the product's core."""
    return NodeCore(options, now)


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a fleet; a backend serves a document in `document_seconds` on average."""

    seed: int = 1
    sites: tuple[Site, ...] = (VAKATALE,)
    node_count: int = 6
    core_factory: CoreFactory = product_core
    document_seconds: float = 0.005


class Fleet:
    """Builds the deployment; starts and stops nodes and adds backends."""

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.clock = VirtualClock()
        self.network = Network(self.clock, site_links(options.sites), self.new_rng("network"))
        self.measurements = Measurements(self.clock)
        self.store = PlatformStore(self.new_rng("store"))
        self.store_host = Host(self.clock, "platform", Zone(PLATFORM_ZONE, PLATFORM_ZONE))
        self.operators = Operators(self.clock, self.store, self.new_rng("operators"))
        self.nodes: dict[str, SimulatedNode] = {}
        self.backends: dict[str, SimulatedBackend] = {}
        self.edges: dict[str, ClientEdge] = {}
        self._health_checks = HealthChecks(self.clock, self.network)
        self._node_number = 0
        self._machines: dict[str, Machine] = {}
        self._build()

    def new_rng(self, *purpose: str) -> random.Random:
        """Return a new random generator for a purpose, derived from the run's seed."""
        return random_stream(self.options.seed, *purpose)

    def _build(self) -> None:
        for site in self.options.sites:
            for key, value in initial_objects(site):
                self.store.write(key, value, 0)
            rng = self.new_rng("fabric", site.region)
            self.edges[site.region] = ClientEdge(self.clock, self.network, site, rng)
            for service in site.services:
                for index in range(1, service.backend_count + 1):
                    self._create_backend(site, service, index)
        machines = [self._new_machine() for _ in range(self.options.node_count)]
        for machine in machines:
            self._start_machine(machine, tuple(machines))
        self._update_fabric()
        self._update_machine_lists()

    # -- balancers -----------------------------------------------------------------------------

    def _new_machine(self) -> Machine:
        sites = self.options.sites
        index = self._node_number
        self._node_number += 1
        site = sites[index % len(sites)]
        zone = site.zones[index // len(sites) % len(site.zones)]
        host = f"10.{site.network_number}.1.{index + 1}"
        machine = Machine(
            NodeId(f"node-{index + 1}"),
            zone,
            SocketAddress(host, DATA_PORT),
            SocketAddress(host, PEER_PORT),
            SocketAddress(host, CONTROL_PORT),
        )
        self._machines[machine.node_id] = machine
        return machine

    def _start_machine(self, machine: Machine, known_machines: tuple[Machine, ...]) -> None:
        seeds = tuple(
            item.control_address for item in known_machines if item.node_id != machine.node_id
        )
        gateway = self.edges[machine.zone.region].fabric_address
        node_options = NodeOptions(
            machine,
            seeds[:SEED_COUNT],
            KeyRing((FLEET_KEY,)),
            HASH_KEY,
            (gateway,),
            derive_seed(self.options.seed, "core", machine.node_id),
        )
        host = Host(self.clock, machine.node_id, machine.zone)
        offset = self.new_rng("clock", machine.node_id).random() * MAXIMUM_CLOCK_OFFSET
        local_clock = LocalClock(self.clock, offset)
        core = self.options.core_factory(node_options, local_clock.now)
        surroundings = NodeSurroundings(
            self.clock, self.network, self.measurements, self._health_checks.check
        )
        node = SimulatedNode(core, machine, host, local_clock, surroundings)
        self.nodes[machine.node_id] = node
        node.start(self.store, self.store_host)

    def start_node(self) -> SimulatedNode:
        """Start one more balancer; up to `SEED_COUNT` running ones are its seeds."""
        machine = self._new_machine()
        machines = [node.machine for node in self.running_nodes()]
        self._start_machine(machine, tuple(machines))
        return self.nodes[machine.node_id]

    def stop_node(self, name: str) -> None:
        """Begin a planned stop of a balancer."""
        self.store.machines.leave(NodeId(name), self.clock.now)
        self.nodes[name].request_stop()

    def running_nodes(self) -> list[SimulatedNode]:
        """Return the running balancers that are not leaving, oldest first."""
        return [node for node in self.nodes.values() if node.host.running and not node.leaving]

    # -- backends ------------------------------------------------------------------------------

    def _create_backend(
        self, site: Site, service: ServiceSpec, index: int, cold_seconds: float = 0.0
    ) -> BackendLocation:
        placed = backend_location(site, service, index)
        rng = self.new_rng("backend", placed.backend_id)
        edge = self.edges[site.region]
        options = BackendOptions(
            service_time=uniform_service_time(self.options.document_seconds),
            cold_seconds=cold_seconds,
        )
        backend = SimulatedBackend(
            self.clock, self.network, placed, edge=edge, rng=rng, options=options
        )
        self.backends[placed.backend_id] = backend
        self._health_checks.add(backend)
        return placed

    def add_backend(self, site: Site, service: ServiceSpec, cold_seconds: float = 0.0) -> str:
        """Start one more backend, create its stored object and return its id."""
        index = 1 + sum(item.placed.service == service for item in self.backends.values())
        placed = self._create_backend(site, service, index, cold_seconds)
        self.operators.create(placed.key, placed.stored_value())
        return placed.backend_id

    # -- periodic tasks of the platform --------------------------------------------------------

    def _update_fabric(self) -> None:
        """Give each site's fabric the list of its serving balancers, periodically."""
        for region, edge in self.edges.items():
            healthy = [
                node.machine.data_address
                for node in self.nodes.values()
                if node.serving and node.machine.zone.region == region
            ]
            if tuple(healthy) != edge.fabric.balancers:
                edge.fabric.set_balancers(healthy, self.clock.now)
        self.clock.call_later(FABRIC_CHECK_SECONDS, self._update_fabric)

    def _update_machine_lists(self) -> None:
        """Send the heartbeats of running machines and deliver the machine list, periodically."""
        now = self.clock.now
        running = [node for node in self.nodes.values() if node.host.running]
        for node in running:
            if not node.host.paused:
                self.store.machines.heartbeat(node.machine.node_id, now)
        if not self.store.faults.plan.down:
            listing = self.store.machines.listing(now)
            event = MachinesListed(listing.live, listing.leaving)
            for node in running:
                node.host.deliver(node.handle, event)
        self.clock.call_later(MACHINE_LIST_SECONDS, self._update_machine_lists)
