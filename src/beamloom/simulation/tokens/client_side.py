"""Clients of one simulated deployment, and the routers between them and the nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamloom.platform.packet_layout import FLAG_RST
from beamloom.simulation.tokens.changes import zones_of
from beamloom.simulation.tokens.deployment import key_of, service_end, stable_hash
from beamloom.simulation.tokens.node import SimulatedTokenNode
from beamloom.standins.flow_packets import FlowEnd, FlowPacket, decode_packet
from beamloom.standins.token_client import FlowPlan, FlowState, TokenClientFlow

if TYPE_CHECKING:
    from beamloom.simulation.tokens.fleet import TokenFleet

ONE_WAY_DELAY_SECONDS = 0.0015
"""One-way network delay of packets and of messages between nodes."""
READINESS_INTERVAL_SECONDS = 0.5
"""Interval at which routers check the readiness of each node."""
UNREADY_THRESHOLD = 2
"""Routers skip a node that failed this many checks in a row, unless all nodes did."""
FIRST_CLIENT_PORT = 1024
CLIENT_HOSTS = 200
"""Number of client addresses, used in turn."""
MAXIMUM_LATE_SECONDS = 1.0
"""How late a delayed datagram arrives at most."""


class ClientSide:
    """The flows of clients; `flows` are open or opening, `finished` have ended.

    `loss` is the probability that a packet is lost, `late` that a datagram to a client or between
    nodes is delayed or arrives twice. `steady` routers use rendezvous hashing, which
    moves only the flows of an added or removed node; others take a hash modulo the node count.
    """

    def __init__(self, fleet: TokenFleet, *, loss: float, late: float, steady: bool) -> None:
        self.flows: dict[FlowEnd, TokenClientFlow] = {}
        self.finished: list[TokenClientFlow] = []
        self._fleet = fleet
        self._loss = loss
        self._late = late
        self._steady = steady
        self._misses: dict[str, int] = {}
        self._next_port = FIRST_CLIENT_PORT

    @property
    def registered_count(self) -> int:
        """Number of nodes that were ever registered."""
        return len(self._misses)

    def poll_readiness(self) -> None:
        """Check the readiness of each node, now and at every interval."""
        for name, node in self._fleet.nodes.items():
            self._misses[name] = 0 if node.ready else self._misses[name] + 1
        self._fleet.clock.call_later(READINESS_INTERVAL_SECONDS, self.poll_readiness)

    def register_node(self, name: str) -> None:
        """Register a node that is about to start; it counts as not ready."""
        self._misses[name] = UNREADY_THRESHOLD

    def open_flow(self, service: int, plan: FlowPlan) -> TokenClientFlow:
        """Open a flow from a client to the address of the service with this number."""
        self._next_port += 1
        address = bytes((100, 64, 0, self._next_port % CLIENT_HOSTS + 1))
        source = FlowEnd(address, self._next_port)
        flow = TokenClientFlow(source, service_end(service), plan, self._fleet.clock.now)
        self.flows[source] = flow
        return flow

    def advance(self, now: float) -> None:
        """Send the packets that are due, and move ended flows to `finished`."""
        for source, flow in list(self.flows.items()):
            self._send(flow.advance(now))
            if flow.ended:
                self.finished.append(self.flows.pop(source))

    def receive(self, data: bytes, node: str | None) -> None:
        """Deliver a packet to its client; `node` is its sender, None if an endpoint sent it."""
        packet = decode_packet(data)
        assert packet is not None
        flow = self.flows.get(packet.destination)
        if flow is None or flow.ended:
            return
        if node is not None or packet.flags & FLAG_RST:
            self._check_reset(flow, node or "another endpoint")
        now, oracle = self._fleet.clock.now, self._fleet.oracle
        first = flow.answers[0] if flow.answers else None
        count = len(flow.answers)
        replies = flow.handle(packet, now)
        if len(flow.answers) > count:
            oracle.check_answer(first, flow.answers[-1], str(flow.source), now)
        for text in flow.mixed:
            oracle.report("mixed", now, text)
        self._send(replies)

    def loses_packet(self) -> bool:
        """Draw whether the next packet is lost."""
        return self._loss > 0.0 and self._fleet.rng.random() < self._loss

    def draw_delays(self, delay: float) -> list[float]:
        """Draw when a datagram arrives that takes `delay`: never, once or twice."""
        if self.loses_packet():
            return []
        if not self._late or self._fleet.rng.random() >= self._late:
            return [delay]
        late = delay + self._fleet.rng.uniform(0.0, MAXIMUM_LATE_SECONDS)
        return [late] if self._fleet.rng.random() < 0.5 else [delay, late]

    def _check_reset(self, flow: TokenClientFlow, sender: str) -> None:
        """Report the reset of a flow that a living endpoint holds; endpoints reset no others."""
        fleet = self._fleet
        if flow.state is not FlowState.OPENING:
            if any(
                endpoint.alive and endpoint.model.holds(flow.source)
                for endpoint in fleet.all_endpoints
            ):
                fleet.oracle.report("flow", fleet.clock.now, f"{sender} reset {flow.source}")
            return
        if sender not in fleet.nodes:
            return
        destination = key_of(flow.service)
        fleet.oracle.check_refusal(
            sender, destination, fleet.clock.now, zones_of(fleet, destination)
        )

    def _send(self, packets: list[FlowPacket]) -> None:
        for packet in packets:
            node = self._pick_node(packet.source)
            if node is not None and not self.loses_packet():
                self._fleet.clock.call_later(
                    self._fleet.inbound_delay(node.host), node.receive_datagram, packet.encode()
                )

    def _pick_node(self, source: FlowEnd) -> SimulatedTokenNode | None:
        nodes = self._fleet.nodes
        names = sorted(name for name in nodes if self._misses[name] < UNREADY_THRESHOLD)
        if not names:
            names = sorted(nodes)
        if not names:
            return None
        flow_name = str(source)
        if self._steady:
            return nodes[max(names, key=lambda name: stable_hash(f"{flow_name}|{name}"))]
        return nodes[names[stable_hash(flow_name) % len(names)]]
