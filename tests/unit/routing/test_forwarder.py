"""Forwarding of single packets: malformed input, ICMP errors, tenants, hop limits, timers."""

from __future__ import annotations

import struct
import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.machines import NodeId
from beamloom.protocol.flow_messages import ReplicaRecords, TransferRecords
from beamloom.routing.cache_answers import MAXIMUM_SET_SIZE, ROTATION_SECONDS, RelayedFlows
from beamloom.routing.explanation import FlowRole
from beamloom.routing.hooks import (
    NoRefusals,
    PermissiveAdmission,
    RoutingHooks,
    StaticHealth,
)
from beamloom.routing.ownership import JOIN_WAIT_SECONDS
from beamloom.routing.packet import DropReason, parse_packet, with_hop_limit_decremented
from tests.unit.routing.fleet import (
    ACK,
    GATEWAY,
    SYN,
    Fleet,
    answer,
    backend,
    flow_tuple,
    service,
    tcp,
)

BACKENDS = [[backend(number) for number in range(1, 5)]]


def fleet_of(*numbers: int) -> Fleet:
    fleet = Fleet()
    fleet.configure(service(BACKENDS), service([[backend(8)]], number=2))
    fleet.add(*numbers)
    fleet.run(JOIN_WAIT_SECONDS + 0.5)
    return fleet


def icmp_error(quoted: bytes, source: bytes, destination: bytes) -> bytes:
    body = struct.pack("!BBHI", 3, 4, 0, 0) + quoted[:28]
    head = struct.pack("!BBHHHBBH", 0x45, 0, 20 + len(body), 0, 0, 64, 1, 0)
    return head + source + destination + body


class TimerTest(unittest.TestCase):
    @patch("beamloom.routing.forwarder.TICK_SECONDS", 10.0)
    def test_a_packet_that_makes_the_timer_earlier_is_reported_once(self) -> None:
        fleet = fleet_of(0, 1)
        fleet.run(10.0)
        client = next(n for n in range(100) if self.is_home(fleet, n))
        fleet.open(client)
        node, relay = fleet.nodes[NodeId("n0")], fleet.members[NodeId("n1")].machine.peer_address
        node.forward(tcp(client, ACK), relay, True, fleet.now)
        node.take_commands()
        node.poll(fleet.now)
        before = node.next_timer() or 0.0
        self.assertGreater(before, fleet.now + 1.0)
        node.forward(tcp(client, ACK), relay, True, fleet.now)
        self.assertTrue(node.has_commands)
        self.assertEqual(node.take_commands(), [])
        self.assertLess(node.next_timer() or 0.0, fleet.now + 1.0)
        node.forward(tcp(client, ACK), relay, True, fleet.now)
        self.assertFalse(node.has_commands)

    def test_packets_that_set_no_earlier_timer_leave_no_commands(self) -> None:
        fleet = fleet_of(0, 1)
        client = next(n for n in range(100) if self.is_home(fleet, n))
        fleet.open(client)
        node, relay = fleet.nodes[NodeId("n0")], fleet.members[NodeId("n1")].machine.peer_address
        node.next_timer()
        node.forward(tcp(client, ACK), relay, True, fleet.now)
        self.assertFalse(node.has_commands)

    def is_home(self, fleet: Fleet, client: int) -> bool:
        return fleet.nodes[NodeId("n0")].explain(flow_tuple(client)).decider == "n0"


class AdversarialPacketsTest(unittest.TestCase):
    fleet = fleet_of(0, 1)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=120), st.booleans())
    def test_arbitrary_bytes_never_raise(self, data: bytes, from_peer: bool) -> None:
        for source in (GATEWAY, self.fleet.members[NodeId("n1")].machine.peer_address):
            self.fleet.nodes[NodeId("n0")].forward(data, source, from_peer, self.fleet.now)

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.integers(0, 300), st.lists(st.tuples(st.integers(0, 59), st.integers(0, 255))))
    def test_damaged_packets_never_raise(self, client: int, damage: list[tuple[int, int]]) -> None:
        packet = bytearray(tcp(client, SYN, b"x" * 20))
        for position, value in damage:
            packet[position] = value
        node = self.fleet.nodes[NodeId("n0")]
        node.forward(bytes(packet), GATEWAY, False, self.fleet.now)
        node.take_commands()

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.recursive(st.none() | st.integers() | st.binary(max_size=20), st.lists))
    def test_malformed_batches_are_counted_and_never_raise(self, content: object) -> None:
        node = self.fleet.nodes[NodeId("n0")]
        for message_type in (ReplicaRecords, TransferRecords):
            message = message_type(10**6, content, content, content)  # type: ignore[arg-type]
            node.handle_message(NodeId("n1"), message, self.fleet.now)


class PacketsTest(unittest.TestCase):
    def test_an_icmp_error_follows_its_flow_in_both_directions(self) -> None:
        fleet = fleet_of(0, 1, 2)
        address = fleet.open(5)
        from_backend = answer(5, ACK)
        error = icmp_error(from_backend, b"\x08\x08\x08\x08", from_backend[12:16])
        self.assertEqual(fleet.send(error), address)
        request = tcp(5, ACK)
        backwards = icmp_error(request, request[16:20], request[12:16])
        self.assertEqual(fleet.answer(backwards, address), [GATEWAY])

    def test_an_icmp_error_about_an_unknown_flow_adds_no_entry(self) -> None:
        fleet = fleet_of(0)
        quoted = answer(6, ACK)
        self.assertIsNone(fleet.send(icmp_error(quoted, b"\x08\x08\x08\x08", quoted[12:16])))
        node = fleet.nodes[NodeId("n0")]
        self.assertEqual(node.counters[DropReason.UNKNOWN_FLOW.value], 1)
        self.assertEqual(len(node.table), 0)

    def test_an_entry_of_another_service_is_never_used(self) -> None:
        fleet = fleet_of(0)
        node = fleet.nodes[NodeId("n0")]
        fleet.open(7)
        fleet.reach(7)
        row = node.table.rows[node._key(flow_tuple(7))]
        node.table.backend[row] = 8
        self.assertNotEqual(fleet.send(tcp(7, ACK, b"x")), backend(8).data_address)

    def test_an_answer_from_another_tenants_backend_is_dropped(self) -> None:
        fleet = fleet_of(0)
        self.assertEqual(fleet.answer(answer(7, ACK), backend(8).data_address), [])
        node = fleet.nodes[NodeId("n0")]
        self.assertEqual(node.counters[DropReason.FOREIGN_SENDER.value], 1)

    def test_relaying_limits_hops_and_updates_the_header_checksum(self) -> None:
        packet = bytearray(tcp(1, SYN))
        total = sum(struct.unpack("!10H", packet[:20]))
        packet[10:12] = (~(total % 0xFFFF) & 0xFFFF).to_bytes(2, "big")
        relayed = with_hop_limit_decremented(bytes(packet), 6)
        self.assertEqual(relayed[8], 6)
        self.assertEqual(sum(struct.unpack("!10H", relayed[:20])) % 0xFFFF, 0)
        self.assertEqual(parse_packet(relayed), parse_packet(bytes(packet)))

    def test_flows_of_a_removed_backend_are_counted_as_ended(self) -> None:
        ended: list[str] = []
        gate = PermissiveAdmission()
        gate.flow_ended = lambda service: ended.append(service.tenant)  # type: ignore[method-assign]
        fleet = Fleet(hooks=RoutingHooks(gate, NoRefusals(), StaticHealth()))
        fleet.configure(service(BACKENDS))
        fleet.add(0)
        reached = [fleet.open(client) for client in range(40)]
        fleet.configure(service([*BACKENDS, BACKENDS[0][1:]]))
        removed = reached.count(backend(1).data_address)
        self.assertEqual((len(ended), removed > 0), (removed, True))
        self.assertEqual(len(fleet.nodes[NodeId("n0")].table), 40 - removed)

    def test_explanations_report_the_role_of_each_node(self) -> None:
        fleet = fleet_of(0, 1, 2)
        address = fleet.open(3)
        for node_id in [*fleet.nodes, *fleet.nodes]:
            fleet.send(tcp(3, ACK), node_id)
        fleet.run(0.5)
        explanations = [node.explain(flow_tuple(3)) for node in fleet.nodes.values()]
        self.assertEqual(
            sorted(item.role.value for item in explanations), ["cached", "cached", "home"]
        )
        self.assertEqual({item.backend_id for item in explanations}, {f"b{address.port - 2000}"})
        self.assertTrue(
            all(item.lease_end for item in explanations if item.role is FlowRole.CACHED)
        )


class CacheAnswersTest(unittest.TestCase):
    def test_a_node_that_relayed_a_flow_once_gets_no_cache_answer(self) -> None:
        fleet = fleet_of(0, 1, 2)
        fleet.open(3)
        for node_id in fleet.nodes:
            fleet.send(tcp(3, ACK), node_id)
        fleet.run(0.5)
        roles = sorted(node.explain(flow_tuple(3)).role.value for node in fleet.nodes.values())
        self.assertEqual(roles, ["home", "none", "none"])

    def test_records_of_relayed_flows_are_bounded_and_expire(self) -> None:
        relayed, relay = RelayedFlows(), NodeId("n1")
        self.assertFalse(relayed.record(1, relay, 0.0))
        self.assertTrue(relayed.record(1, relay, ROTATION_SECONDS - 1))
        self.assertFalse(relayed.record(1, NodeId("n2"), ROTATION_SECONDS - 1))
        self.assertFalse(relayed.record(2, relay, 3 * ROTATION_SECONDS))
        for key in range(3 * MAXIMUM_SET_SIZE):
            relayed.record(key, relay, 3 * ROTATION_SECONDS)
        self.assertLessEqual(len(relayed._newer) + len(relayed._older), 2 * MAXIMUM_SET_SIZE)


if __name__ == "__main__":
    unittest.main()
