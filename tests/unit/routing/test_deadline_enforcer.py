"""`request.deadline`: flows past it are reset at both sides, and no others."""

from __future__ import annotations

import unittest

import dpkt

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.model.contracts import ServicePolicy
from beamloom.model.machines import NodeId
from beamloom.node.routing_hooks import RefusalPackets
from beamloom.routing.explanation import FlowExplanation
from beamloom.routing.flow_deadlines import FlowDeadlines
from beamloom.routing.hooks import PermissiveAdmission, RoutingHooks, StaticHealth
from beamloom.routing.packet import DropReason
from tests.unit.routing.fleet import (
    ACK,
    FIN,
    GATEWAY,
    RST,
    Fleet,
    answer,
    backend,
    flow_tuple,
    service,
    tcp,
    udp,
)

BACKENDS = [[backend(number) for number in range(1, 5)]]
DEADLINE = ServicePolicy(request_deadline=5.0)
Packet = tuple[SocketAddress, dpkt.tcp.TCP]


def fleet_of(*numbers: int, protocol: TransportProtocol = TransportProtocol.TCP) -> Fleet:
    fleet = Fleet(hooks=RoutingHooks(PermissiveAdmission(), RefusalPackets(), StaticHealth()))
    fleet.configure(service(BACKENDS, protocol, DEADLINE))
    fleet.add(*numbers)
    fleet.run(1.0)
    return fleet


def sent_since(fleet: Fleet, start: int) -> list[Packet]:
    return [(address, dpkt.ip.IP(data).data) for address, data in fleet.arrived[start:]]


def explained(fleet: Fleet, client: int) -> list[FlowExplanation]:
    return [node.explain(flow_tuple(client)) for node in fleet.nodes.values()]


def total(fleet: Fleet, counter: str) -> int:
    return sum(node.counters[counter] for node in fleet.nodes.values())


class FlowDeadlineTest(unittest.TestCase):
    def open(self, fleet: Fleet, client: int) -> SocketAddress:
        address = fleet.open(client)
        for node_id in list(fleet.nodes):
            fleet.send(tcp(client, ACK), node_id)
        fleet.run(0.5)
        return address

    def test_both_sides_are_reset_at_the_deadline_and_the_state_is_freed(self) -> None:
        fleet = fleet_of(0, 1, 2)
        reached = self.open(fleet, 1)
        for number, node_id in enumerate(fleet.nodes):
            fleet.send(tcp(1, ACK, b"abc", sequence=10 + 3 * number), node_id)
        # A reordered packet with an older sequence number must not replace the newest one.
        fleet.send(tcp(1, ACK, b"abc", sequence=10))
        self.assertEqual(total(fleet, "flows_past_deadline"), 0)
        start = len(fleet.arrived)
        fleet.run(5.0)
        resets = dict(sent_since(fleet, start))
        self.assertEqual(set(resets), {GATEWAY, reached})
        self.assertTrue(all(segment.flags & RST for segment in resets.values()))
        self.assertEqual((resets[reached].seq, resets[GATEWAY].seq), (19, 1))
        self.assertEqual(total(fleet, "flows_past_deadline"), 1)
        self.assertEqual([found.ended_at_deadline for found in explained(fleet, 1)].count(True), 1)
        fleet.run(15.0)
        self.assertEqual([node.snapshot().flows for node in fleet.nodes.values()], [0, 0, 0])
        self.assertEqual(sum(node.snapshot().deadlines for node in fleet.nodes.values()), 0)

    def test_packets_after_the_deadline_are_answered_by_resets_and_reach_no_backend(self) -> None:
        fleet = fleet_of(0, 1, 2)
        reached = self.open(fleet, 1)
        fleet.run(6.0)
        for node_id in fleet.nodes:
            start = len(fleet.arrived)
            self.assertIsNone(fleet.send(tcp(1, ACK, b"late", sequence=40), node_id))
            resets = dict(sent_since(fleet, start))
            self.assertEqual(set(resets), {GATEWAY, reached})
            self.assertEqual(resets[reached].seq, 44)
        self.assertEqual(total(fleet, DropReason.DEADLINE_PASSED.value), 3)
        self.assertEqual(fleet.send(tcp(1, RST, sequence=50)), reached)

    def test_a_new_flow_on_the_same_ports_has_a_new_deadline(self) -> None:
        fleet = fleet_of(0, 1, 2)
        self.open(fleet, 1)
        fleet.run(6.0)
        self.open(fleet, 1)
        fleet.run(3.0)
        self.assertIsNotNone(fleet.send(tcp(1, ACK, b"x")))
        fleet.run(3.0)
        self.assertEqual(total(fleet, "flows_past_deadline"), 2)

    def test_a_client_without_a_connection_at_the_deadline_gets_a_refusal(self) -> None:
        fleet = fleet_of(0, 1)
        reached = fleet.open(1)
        start = len(fleet.arrived)
        fleet.run(6.0)
        resets = dict(sent_since(fleet, start))
        self.assertEqual(set(resets), {GATEWAY, reached})
        self.assertEqual((resets[GATEWAY].ack, resets[reached].seq), (2, 2))

    def test_a_flow_closed_before_its_deadline_is_not_reset(self) -> None:
        fleet = fleet_of(0, 1, 2)
        for client, flags in ((1, FIN | ACK), (2, RST)):
            reached = self.open(fleet, client)
            fleet.send(tcp(client, flags))
            fleet.answer(answer(client, FIN | ACK), reached)
        start = len(fleet.arrived)
        fleet.run(8.0)
        self.assertEqual(fleet.arrived[start:], [])
        self.assertEqual(total(fleet, "flows_past_deadline"), 0)

    def test_a_raised_or_removed_deadline_applies_to_open_flows(self) -> None:
        for raised, ended in ((0.0, 0), (8.0, 1)):
            with self.subTest(raised=raised):
                fleet = fleet_of(0, 1, 2)
                self.open(fleet, 1)
                policy = ServicePolicy(request_deadline=raised)
                fleet.configure(service(BACKENDS, policy=policy))
                fleet.run(6.0)
                self.assertIsNotNone(fleet.send(tcp(1, ACK, b"x")))
                self.assertEqual(total(fleet, "flows_past_deadline"), 0)
                fleet.run(4.0)
                self.assertEqual(total(fleet, "flows_past_deadline"), ended)

    def test_the_next_home_ends_a_flow_after_a_planned_stop_or_a_crash(self) -> None:
        for planned in (True, False):
            with self.subTest(planned=planned):
                fleet = fleet_of(0, 1, 2)
                reached = {client: self.open(fleet, client) for client in range(6)}
                if planned:
                    self.assertTrue(fleet.leave(NodeId("n1")))
                else:
                    fleet.crash(NodeId("n1"))
                for client in reached:
                    fleet.send(tcp(client, ACK, b"x"))
                fleet.run(6.5)
                late = [client for client in reached if fleet.send(tcp(client, ACK, b"x"))]
                self.assertEqual(late, [])

    def test_udp_flows_have_no_deadline(self) -> None:
        fleet = fleet_of(0, 1, protocol=TransportProtocol.UDP)
        reached = fleet.send(udp(1))
        start = len(fleet.arrived)
        fleet.run(8.0)
        self.assertEqual(fleet.arrived[start:], [])
        self.assertEqual(fleet.send(udp(1)), reached)

    def test_flows_beyond_the_capacity_have_no_deadline_and_are_counted(self) -> None:
        fleet = fleet_of(0)
        home = fleet.nodes[NodeId("n0")].home
        home.deadlines = FlowDeadlines(capacity=1)
        for client in (1, 2):
            self.open(fleet, client)
        fleet.run(6.0)
        self.assertEqual(total(fleet, "flows_past_deadline"), 1)
        self.assertEqual(home.deadlines.rejected, 1)


class CancellationTest(unittest.TestCase):
    def test_a_clients_reset_reaches_the_backend_by_any_node_and_frees_every_entry(self) -> None:
        for node_id in ("n0", "n1", "n2"):
            fleet = Fleet()
            fleet.configure(service(BACKENDS))
            fleet.add(0, 1, 2)
            fleet.run(1.0)
            reached = fleet.open(1)
            for relay in [*fleet.nodes, *fleet.nodes]:
                fleet.send(tcp(1, ACK), relay)
            fleet.run(0.5)
            cached = [node.snapshot().flows for node in fleet.nodes.values()]
            self.assertEqual(cached, [1, 1, 1])
            self.assertEqual(fleet.send(tcp(1, RST), NodeId(node_id)), reached)
            fleet.run(11.0)
            owner = fleet.owners(explained(fleet, 1)[0].partition)[0]
            self.assertEqual(fleet.nodes[owner].snapshot().flows, 0)
            fleet.run(20.0)
            self.assertEqual([node.snapshot().flows for node in fleet.nodes.values()], [0, 0, 0])


if __name__ == "__main__":
    unittest.main()
