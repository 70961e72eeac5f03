"""Nodes, routers, endpoints and clients of one simulated deployment."""

from __future__ import annotations

import random
from collections.abc import Iterable
from functools import partial

from beamloom.platform.packet_layout import FLAG_RST, FLAG_SYN
from beamloom.protocol.messages import Message
from beamloom.routing.tokens.liveness import CheckOutcome
from beamloom.routing.tokens.records import BackendRecord, BackendState, ZoneEvacuation
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.tokens.client_side import ONE_WAY_DELAY_SECONDS, ClientSide
from beamloom.simulation.tokens.connection_checks import ConnectionChecks
from beamloom.simulation.tokens.deployment import (
    SERVICES,
    ZONES,
    Routes,
    configuration_of,
    endpoint_record,
    initial_routes,
    key_of,
)
from beamloom.simulation.tokens.node import (
    BACKENDS,
    CONFIGURATION,
    CONFIGURATION_NAME,
    EVACUATIONS,
    SimulatedTokenNode,
)
from beamloom.simulation.tokens.oracle import TokenOracle
from beamloom.simulation.tokens.store_link import StoreFault, StoreLink
from beamloom.simulation.tokens.store_restores import (
    ENDPOINT_REWRITE_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
    OPERATOR_REWRITE_SECONDS,
    StoreRestores,
    Writer,
)
from beamloom.standins.flow_packets import FlowPacket, decode_forwarded
from beamloom.standins.token_endpoint import TokenEndpoint
from beamloom.standins.token_store import TokenStore
from beamloom.units import MILLISECONDS

SECRET = bytes(16)
STEP_SECONDS = 0.02
START_SECONDS = 0.5
START_SPREAD_SECONDS = 0.3
"""Maximum additional random delay of a node's first start, if `join_seconds` is set."""
MAXIMUM_JOIN_FACTOR = 1.5
"""`join_seconds` is multiplied by a random factor from 1 to this one at each start."""
STALE_READ_LAG = 6
"""Number of revisions by which stale reads of the store lag."""
HOST_FAILURE_FRACTION = 0.5
"""Fraction of endpoint crashes in which the host fails too."""
DRAIN_DURATION_SECONDS = 4.0
"""How long a draining endpoint continues to serve."""


class Endpoint:
    """A simulated endpoint: its model, its record in the store, and whether it runs.

    `dark` is True if its host failed together with its process.
    """

    def __init__(self, model: TokenEndpoint, record: BackendRecord) -> None:
        self.model = model
        self.record = record
        self.alive = True
        self.dark = False


class TokenFleet:
    """The simulated deployment of one run; ClientSide documents `steady`, `loss`, `late`.

    With `join_seconds`, nodes start at slightly different times, and join their peers that long or
    up to MAXIMUM_JOIN_FACTOR times as long after their start; without it, they join at the start.
    """

    def __init__(
        self,
        seed: int,
        *,
        nodes: int = 7,
        endpoints: int = 8,
        steady: bool = True,
        loss: float = 0.0,
        late: float = 0.0,
        join_seconds: float = 0.0,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self._mechanisms = mechanisms
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.store = TokenStore()
        self.store.stale_read_lag = STALE_READ_LAG
        self.link = StoreLink(self.clock, self.store)
        self.oracle = TokenOracle()
        self.nodes: dict[str, SimulatedTokenNode] = {}
        self._nodes_by_host: dict[str, SimulatedTokenNode] = {}
        self.endpoints: dict[tuple[str, int], Endpoint] = {}
        self.all_endpoints: list[Endpoint] = []
        self.partitioned_hosts: set[str] = set()
        self._inbound_delays: dict[str, float] = {}
        self._checks = ConnectionChecks(
            self.clock, self._connect, lambda host: ONE_WAY_DELAY_SECONDS + self.inbound_delay(host)
        )
        self.evacuated: set[str] = set()
        self._join_seconds = join_seconds
        self.clients = ClientSide(self, loss=loss, late=late, steady=steady)
        self._next_identity = 0x7F3A9100
        self._next_host = 10
        self.version = 0
        self.routes: dict[bytes, frozenset[str]] = {}
        for number in range(endpoints):
            self.add_endpoint(SERVICES[0] if number % 4 else SERVICES[1])
        self.set_routes(initial_routes())
        for number in range(nodes):
            self.add_node(ZONES[number % len(ZONES)])
        self.clients.poll_readiness()
        self._step()

    def add_node(self, zone: str) -> str:
        """Start a node after START_SECONDS and return its name."""
        number = self.clients.registered_count
        name, host = f"node-{number}", f"10.1.0.{number + 1}"
        self.clients.register_node(name)
        start_delay = START_SECONDS
        if self._join_seconds:
            start_delay += self.rng.uniform(0.0, START_SPREAD_SECONDS)
        self.clock.call_later(start_delay, self._start_node, name, host, zone)
        self.oracle.note_fault(name, self.clock.now + start_delay)
        return name

    def kill_node(self, name: str, *, restart: bool = True) -> None:
        """Kill a node; with `restart` it starts again after START_SECONDS."""
        node = self.nodes[name]
        node.kill()
        self.oracle.note_fault(name, self.clock.now + START_SECONDS)
        if restart:
            self.clock.call_later(START_SECONDS, self._start_node, name, node.host, node.zone)

    def stop_node(self, name: str) -> None:
        """Begin a planned stop of a node; kill and restart it 2.5 s later."""
        self.nodes[name].stopping = True
        self.oracle.note_fault(name, self.clock.now + 3.0)
        self.clock.call_later(2.5, self._end_stopped, self.nodes[name])

    def _end_stopped(self, node: SimulatedTokenNode) -> None:
        node.announce_end()
        self.kill_node(node.name)

    def freeze_node(self, name: str, seconds: float) -> None:
        """Freeze the process of a node for `seconds`."""
        self.nodes[name].freeze(seconds)
        self.oracle.note_fault(name, self.clock.now + seconds)

    def cut_from_store(self, name: str, seconds: float) -> None:
        """Hold up a node's calls to the store, and the answers, for `seconds`."""
        host = self.nodes[name].host
        self.link.partitioned_hosts.add(host)
        self.oracle.note_fault(name, self.clock.now + seconds)
        self.clock.call_later(seconds, self.link.heal, host)

    def refuse_node(self, name: str, seconds: float) -> None:
        """Refuse a node's calls to the store for `seconds`; the time bounds still apply to it."""
        host = self.nodes[name].host
        self.link.refused_hosts.add(host)
        self.clock.call_later(seconds, self.link.refused_hosts.discard, host)

    def cut_from_peers(self, name: str, seconds: float) -> None:
        """Drop all messages between a node and its peers for `seconds`."""
        host = self.nodes[name].host
        self.partitioned_hosts.add(host)
        self.clock.call_later(seconds, self.partitioned_hosts.discard, host)

    def congest_node(self, name: str, delay: float, seconds: float) -> None:
        """Delay by `delay` what a node receives from clients, peers and endpoints.

        The node stays in contact: a full link is no fault that lifts a rule.
        """
        host = self.nodes[name].host
        self._inbound_delays[host] = delay
        self.clock.call_later(seconds, self._inbound_delays.pop, host, None)

    def inbound_delay(self, host: str) -> float:
        """Return the seconds until a node at a host receives a packet that is sent now."""
        return ONE_WAY_DELAY_SECONDS + self._inbound_delays.get(host, 0.0)

    def inject_store_fault(self, fault: StoreFault, seconds: float) -> None:
        """Refuse or drop all calls to the store for `seconds`."""
        self.link.fault = fault
        self.oracle.note_store_fault(self.clock.now + seconds)
        self.clock.call_later(seconds, setattr, self.link, "fault", StoreFault.NONE)

    def suspend_store(self, seconds: float) -> None:
        """Refuse all calls to the store for `seconds`."""
        self.inject_store_fault(StoreFault.REFUSES, seconds)

    def make_restorable(self, rng: random.Random) -> StoreRestores:
        """Take copies of the store from now on; return the object that restores them."""
        return StoreRestores(self.store, self, rng, lambda: self.clock.now, self.clock.call_later)

    def writers(self) -> Iterable[Writer]:
        """Yield the writers that correct the store after a restore."""
        yield Writer(self._rewrite_configuration, OPERATOR_REWRITE_SECONDS)
        for endpoint in self.all_endpoints:
            if endpoint.alive:
                yield Writer(partial(self._rewrite_entry, endpoint), ENDPOINT_REWRITE_SECONDS)
            else:
                remove_entry = partial(self._remove_entry, endpoint)
                yield Writer(remove_entry, HEARTBEAT_TIMEOUT_SECONDS, HEARTBEAT_TIMEOUT_SECONDS)

    def _rewrite_configuration(self) -> None:
        configuration = configuration_of(self.version, self.routes)
        self.store.put_if_different(CONFIGURATION, CONFIGURATION_NAME, configuration)
        for zone in ZONES:
            if zone in self.evacuated:
                self.store.put_if_different(EVACUATIONS, zone, ZoneEvacuation(zone))
            else:
                self.store.remove_if_present(EVACUATIONS, zone)

    def _rewrite_entry(self, endpoint: Endpoint) -> None:
        if endpoint.alive:
            self.store.put_if_different(BACKENDS, endpoint.record.name, endpoint.record)

    def compact_store(self) -> None:
        """Discard the store's history of changes."""
        self.store.forget_history()

    def add_endpoint(self, service: str, address: tuple[str, int] | None = None) -> Endpoint:
        """Start an endpoint and write its entry to the store."""
        self._next_identity += 0x101
        identity = self._next_identity
        if address is None:
            self._next_host += 1
            address = (f"10.128.0.{self._next_host}", 8080)
        record = endpoint_record(identity, service, address)
        endpoint = Endpoint(TokenEndpoint(record.name, identity), record)
        self.endpoints[address] = endpoint
        self.all_endpoints.append(endpoint)
        self.store.put(BACKENDS, record.name, record)
        return endpoint

    def running_endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that run and are not draining."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.alive and not endpoint.model.draining and endpoint.record.service == service
        ]

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """Announce an endpoint as draining, and stop it after DRAIN_DURATION_SECONDS."""
        endpoint.model.draining = True
        endpoint.record = endpoint.record._replace(state=BackendState.DRAINING)
        self.store.put(BACKENDS, endpoint.record.name, endpoint.record)
        self.oracle.note_withdrawn(endpoint.record.name, self.clock.now)
        self.clock.call_later(DRAIN_DURATION_SECONDS, self._stop_endpoint, endpoint)

    def crash_endpoint(self, endpoint: Endpoint) -> None:
        """Stop an endpoint unannounced; its entry is removed after three missed heartbeats."""
        endpoint.alive = False
        endpoint.dark = self.rng.random() < HOST_FAILURE_FRACTION
        self.clock.call_later(HEARTBEAT_TIMEOUT_SECONDS, self._remove_entry, endpoint)

    def restart_endpoint(self, endpoint: Endpoint, down_seconds: float) -> None:
        """Stop an endpoint and start it again under its name, without its former flows."""
        endpoint.alive = False
        self.clock.call_later(down_seconds, self._start_again, endpoint.record)

    def _start_again(self, former: BackendRecord) -> None:
        record = former._replace(born_at=int(self.clock.now * MILLISECONDS))
        endpoint = Endpoint(TokenEndpoint(record.name, record.identity), record)
        self.endpoints[record.address] = endpoint
        self.all_endpoints.append(endpoint)
        self.store.put(BACKENDS, record.name, record)

    def reuse_address(self, endpoint: Endpoint, service: str) -> None:
        """Drain an endpoint and later start one of another service at its address."""
        self.drain_endpoint(endpoint)
        address = (endpoint.record.host, endpoint.record.port)
        self.clock.call_later(DRAIN_DURATION_SECONDS + 2.0, self.add_endpoint, service, address)

    def set_routes(self, routes: Routes) -> None:
        """Write a configuration with these routes."""
        self.version += self.rng.randrange(1, 4)
        self.routes = dict(routes)
        configuration = configuration_of(self.version, routes)
        self.store.put(CONFIGURATION, CONFIGURATION_NAME, configuration)
        self.oracle.note_routes(self.routes, self.clock.now)

    def evacuate_zone(self, zone: str, seconds: float) -> None:
        """Evacuate a zone for `seconds`, unless it is evacuated already."""
        if zone in self.oracle.evacuated_at:
            return
        self.evacuated.add(zone)
        self.store.put(EVACUATIONS, zone, ZoneEvacuation(zone))
        self.oracle.note_evacuation_began(zone, self.clock.now)
        self.clock.call_later(seconds, self._end_evacuation, zone)

    def _end_evacuation(self, zone: str) -> None:
        self.evacuated.discard(zone)
        self.store.remove_if_present(EVACUATIONS, zone)
        self.oracle.note_evacuation_ended(zone, self.clock.now)

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self.clock.run_until(self.clock.now + seconds)

    def _start_node(self, name: str, host: str, zone: str) -> None:
        node = SimulatedTokenNode(
            name,
            host,
            zone,
            self.clock,
            self.link,
            rng=random.Random(self.rng.getrandbits(64)),
            seeds=tuple(f"10.1.0.{number + 1}" for number in range(3)),
            secret=SECRET,
            forward=lambda data, address: self._send(name, data, address),
            send_message=self._send_message,
            check_backend=self._checks.check,
            join_seconds=self._join_seconds * self.rng.uniform(1.0, MAXIMUM_JOIN_FACTOR)
            if self._join_seconds
            else 0.0,
            mechanisms=self._mechanisms,
        )
        self.nodes[name] = self._nodes_by_host[host] = node

    def _send_message(self, source: str, host: str, message: Message) -> None:
        if {source, host} & self.partitioned_hosts:
            return
        node = self._nodes_by_host.get(host)
        if node is not None and node.alive:
            for delay in self.clients.draw_delays(self.inbound_delay(host)):
                self.clock.call_later(delay, node.receive_message, source, message)

    def _connect(self, address: tuple[str, int]) -> CheckOutcome | None:
        """Return the answer to a connection attempt, or None if there is none.

        A host refuses the connection if only the process has ended.
        """
        endpoint = self.endpoints.get(address)
        if endpoint is None:
            return None
        if endpoint.alive:
            return CheckOutcome.ALIVE
        return None if endpoint.dark else CheckOutcome.REFUSED

    def _send(self, node: str, data: bytes, address: tuple[str, int]) -> None:
        if self.clients.loses_packet():
            return
        if address[1] == 0:
            self.clock.call_later(ONE_WAY_DELAY_SECONDS, self.clients.receive, data, node)
        else:
            self.clock.call_later(
                ONE_WAY_DELAY_SECONDS, self._deliver_to_endpoint, node, data, address
            )

    def _deliver_to_endpoint(self, node: str, data: bytes, address: tuple[str, int]) -> None:
        endpoint = self.endpoints.get(address)
        forwarded = decode_forwarded(data)
        if endpoint is None or not endpoint.alive or forwarded is None:
            return
        identity, packet = forwarded
        now = self.clock.now
        if not packet.has_valid_checksum:
            self.oracle.report("unasked", now, f"an altered packet at {endpoint.record.name}")
        if packet.flags & FLAG_SYN and identity == endpoint.model.identity:
            destination = key_of(packet.destination)
            self.oracle.check_opening(node, endpoint.record, destination, now)
        self._deliver_to_clients(endpoint.model.handle(identity, packet, now))

    def _deliver_to_clients(self, packets: list[FlowPacket]) -> None:
        for packet in packets:
            data = packet.encode(signed=not packet.flags & FLAG_RST)
            for delay in self.clients.draw_delays(ONE_WAY_DELAY_SECONDS):
                self.clock.call_later(delay, self.clients.receive, data, None)

    def _step(self) -> None:
        now = self.clock.now
        self.clients.advance(now)
        for endpoint in self.endpoints.values():
            if endpoint.alive:
                self._deliver_to_clients(endpoint.model.advance(now))
        self.clock.call_later(STEP_SECONDS, self._step)

    def _stop_endpoint(self, endpoint: Endpoint) -> None:
        endpoint.alive = False
        self._remove_entry(endpoint)

    def _remove_entry(self, endpoint: Endpoint) -> None:
        self.store.remove_if_present(BACKENDS, endpoint.record.name)
        self.oracle.note_withdrawn(endpoint.record.name, self.clock.now)
