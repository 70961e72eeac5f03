"""Clients of one simulated deployment, and the routers between them and the nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamloom.simulation.tokens.changes import zones_of
from beamloom.simulation.tokens.deployment import key_of, service_end, stable_hash
from beamloom.simulation.tokens.node import SimulatedTokenNode
from beamloom.standins.flow_packets import FlowEnd, FlowPacket, decode_packet
from beamloom.standins.token_client import FlowPlan, FlowState, TokenClientFlow

if TYPE_CHECKING:
    from beamloom.simulation.tokens.fleet import TokenFleet

NETWORK_SECONDS = 0.0015
"""One way between any two machines, about what the smallest deployments have."""
READINESS_SECONDS = 0.5
"""Routers ask each node this often (the users' platform)."""
MISSES_OUT = 2
"""A node that has missed so many of these is sent nothing (the users' platform)."""
FIRST_CLIENT_PORT = 1024
CLIENT_HOSTS = 200
"""Flows come from so many addresses in turn."""


class ClientSide:
    """The flows of clients; `flows` are open or opening, `finished` have ended.

    A packet gets lost with the probability `loss`. `steady` routers move only the flows of a node
    that comes or goes.
    """

    def __init__(self, fleet: TokenFleet, *, loss: float, steady: bool) -> None:
        self.flows: dict[FlowEnd, TokenClientFlow] = {}
        self.finished: list[TokenClientFlow] = []
        self._fleet = fleet
        self._loss = loss
        self._steady = steady
        self._misses: dict[str, int] = {}
        self._next_port = FIRST_CLIENT_PORT

    @property
    def known_nodes(self) -> int:
        """How many nodes routers have ever heard of."""
        return len(self._misses)

    def poll_readiness(self) -> None:
        """Let routers ask each node whether it is ready, now and from now on."""
        for name, node in self._fleet.nodes.items():
            self._misses[name] = 0 if node.ready else self._misses[name] + 1
        self._fleet.clock.call_later(READINESS_SECONDS, self.poll_readiness)

    def expect_node(self, name: str) -> None:
        """Let routers ask a node that is about to start."""
        self._misses[name] = MISSES_OUT

    def open_flow(self, service: int, plan: FlowPlan) -> TokenClientFlow:
        """Let a client open a flow to one of the addresses."""
        self._next_port += 1
        address = bytes((100, 64, 0, self._next_port % CLIENT_HOSTS + 1))
        source = FlowEnd(address, self._next_port)
        flow = TokenClientFlow(source, service_end(service), plan, self._fleet.clock.now)
        self.flows[source] = flow
        return flow

    def advance(self, now: float) -> None:
        """Let clients send what is due; set flows that have ended apart."""
        for source, flow in list(self.flows.items()):
            self._send(flow.advance(now))
            if flow.ended:
                self.finished.append(self.flows.pop(source))

    def receive(self, data: bytes, node: str | None) -> None:
        """Hand a packet to its client; `node` is set where a node wrote it, not a backend."""
        packet = decode_packet(data)
        assert packet is not None
        flow = self.flows.get(packet.destination)
        if flow is None or flow.ended:
            return
        if node is not None:
            self._judge_reset(flow, node)
        now, oracle = self._fleet.clock.now, self._fleet.oracle
        first = flow.answers[0] if flow.answers else None
        count = len(flow.answers)
        replies = flow.handle(packet, now)
        if len(flow.answers) > count:
            oracle.judge_answer(first, flow.answers[-1], str(flow.source), now)
        for text in flow.mixed:
            oracle.report("mixed", now, text)
        self._send(replies)

    def loses_packet(self) -> bool:
        """Draw whether the next packet gets lost."""
        return self._loss > 0.0 and self._fleet.chance.random() < self._loss

    def _judge_reset(self, flow: TokenClientFlow, node: str) -> None:
        fleet = self._fleet
        if flow.state is not FlowState.OPENING:
            if any(held.alive and held.model.holds(flow.source) for held in fleet.every_endpoint):
                fleet.oracle.report("flow", fleet.clock.now, f"{node} reset {flow.source}")
            return
        destination = key_of(flow.service)
        fleet.oracle.judge_refusal(node, destination, fleet.clock.now, zones_of(fleet, destination))

    def _send(self, packets: list[FlowPacket]) -> None:
        for packet in packets:
            node = self._pick_node(packet.source)
            if node is not None and not self.loses_packet():
                self._fleet.clock.call_later(NETWORK_SECONDS, node.take_datagram, packet.encode())

    def _pick_node(self, source: FlowEnd) -> SimulatedTokenNode | None:
        nodes = self._fleet.nodes
        names = sorted(name for name in nodes if self._misses[name] < MISSES_OUT)
        if not names:
            names = sorted(nodes)
        if not names:
            return None
        text = str(source)
        if self._steady:
            return nodes[max(names, key=lambda name: stable_hash(f"{text}|{name}"))]
        return nodes[names[stable_hash(text) % len(names)]]
