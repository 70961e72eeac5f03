"""A simulated fleet: balancers, backends, clients, operators and the platform's store."""

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
    BackendSite,
    ServiceShape,
    Site,
    backend_site,
    initial_objects,
    links_of,
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
"""How many machines a node is told of at its start."""
MAXIMUM_CLOCK_OFFSET = 1000.0
"""Machines' clocks show up to this many seconds at the start of a run."""

CoreFactory = Callable[[NodeOptions, float], DecisionCore]
"""Makes a core that starts at a time on its machine's own clock, in seconds."""


def product_core(options: NodeOptions, now: float) -> DecisionCore:
    """Return the core that runs on sockets as well."""
    return NodeCore(options, now)


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """What a fleet consists of; a document takes a backend `document_seconds` on average."""

    seed: int = 1
    sites: tuple[Site, ...] = (VAKATALE,)
    node_count: int = 6
    core_factory: CoreFactory = product_core
    document_seconds: float = 0.005


class Fleet:
    """Builds the deployment and offers what operators and faults can do to it."""

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.clock = VirtualClock()
        self.network = Network(self.clock, links_of(options.sites), self.random("network"))
        self.measurements = Measurements(self.clock)
        self.store = PlatformStore(self.random("store"))
        self.store_host = Host(self.clock, "platform", Zone(PLATFORM_ZONE, PLATFORM_ZONE))
        self.operators = Operators(self.clock, self.store, self.random("operators"))
        self.nodes: dict[str, SimulatedNode] = {}
        self.backends: dict[str, SimulatedBackend] = {}
        self.edges: dict[str, ClientEdge] = {}
        self._health = HealthChecks(self.clock, self.network)
        self._node_number = 0
        self._machines: dict[str, Machine] = {}
        self._build()

    def random(self, *purpose: str) -> random.Random:
        """Return a generator of the run's seed for a purpose."""
        return random_stream(self.options.seed, *purpose)

    def _build(self) -> None:
        for site in self.options.sites:
            for key, value in initial_objects(site):
                self.store.write(key, value, 0)
            rng = self.random("fabric", site.region)
            self.edges[site.region] = ClientEdge(self.clock, self.network, site, rng)
            for service in site.services:
                for index in range(1, service.backend_count + 1):
                    self._place_backend(site, service, index)
        machines = [self._new_machine() for _ in range(self.options.node_count)]
        for machine in machines:
            self._start_machine(machine, tuple(machines))
        self._check_fabric()
        self._list_machines()

    # -- balancers -----------------------------------------------------------------------------

    def _new_machine(self) -> Machine:
        sites = self.options.sites
        index = self._node_number
        self._node_number += 1
        site = sites[index % len(sites)]
        zone = site.zones[index // len(sites) % len(site.zones)]
        host = f"10.{site.number}.1.{index + 1}"
        machine = Machine(
            NodeId(f"node-{index + 1}"),
            zone,
            SocketAddress(host, DATA_PORT),
            SocketAddress(host, PEER_PORT),
            SocketAddress(host, CONTROL_PORT),
        )
        self._machines[machine.node_id] = machine
        return machine

    def _start_machine(self, machine: Machine, known: tuple[Machine, ...]) -> None:
        seeds = tuple(item.control_address for item in known if item.node_id != machine.node_id)
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
        offset = self.random("clock", machine.node_id).random() * MAXIMUM_CLOCK_OFFSET
        local_clock = LocalClock(self.clock, offset)
        core = self.options.core_factory(node_options, local_clock.now)
        surroundings = NodeSurroundings(
            self.clock, self.network, self.measurements, self._health.check
        )
        node = SimulatedNode(core, machine, host, local_clock, surroundings)
        self.nodes[machine.node_id] = node
        node.start(self.store, self.store_host)

    def start_node(self) -> SimulatedNode:
        """Start one more balancer, which knows a few of the running ones."""
        machine = self._new_machine()
        known = [node.machine for node in self.running_nodes()]
        self._start_machine(machine, tuple(known))
        return self.nodes[machine.node_id]

    def stop_node(self, name: str) -> None:
        """Begin a planned stop."""
        self.store.machines.leave(NodeId(name), self.clock.now)
        self.nodes[name].request_stop()

    def running_nodes(self) -> list[SimulatedNode]:
        """Return the balancers that run and were not told to stop, oldest first."""
        return [node for node in self.nodes.values() if node.host.running and not node.leaving]

    # -- backends ------------------------------------------------------------------------------

    def _place_backend(
        self, site: Site, service: ServiceShape, index: int, cold_seconds: float = 0.0
    ) -> BackendSite:
        placed = backend_site(site, service, index)
        rng = self.random("backend", placed.backend_id)
        edge = self.edges[site.region]
        options = BackendOptions(
            service_time=uniform_service_time(self.options.document_seconds),
            cold_seconds=cold_seconds,
        )
        backend = SimulatedBackend(
            self.clock, self.network, placed, edge=edge, rng=rng, options=options
        )
        self.backends[placed.backend_id] = backend
        self._health.add(backend)
        return placed

    def add_backend(self, site: Site, service: ServiceShape, cold_seconds: float = 0.0) -> str:
        """Start one more backend and let operators register it; returns its id."""
        index = 1 + sum(item.placed.service == service for item in self.backends.values())
        placed = self._place_backend(site, service, index, cold_seconds)
        self.operators.create(placed.key, placed.value())
        return placed.backend_id

    # -- what the platform does on its own -----------------------------------------------------

    def _check_fabric(self) -> None:
        """Let each site's fabric check the health of its balancers, again and again."""
        for region, edge in self.edges.items():
            fit = [
                node.machine.data_address
                for node in self.nodes.values()
                if node.serves and node.machine.zone.region == region
            ]
            if tuple(fit) != edge.fabric.balancers:
                edge.fabric.set_balancers(fit, self.clock.now)
        self.clock.call_later(FABRIC_CHECK_SECONDS, self._check_fabric)

    def _list_machines(self) -> None:
        """Let running machines report to the platform and hear its lagging list."""
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
        self.clock.call_later(MACHINE_LIST_SECONDS, self._list_machines)
