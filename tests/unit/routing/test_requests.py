"""Non-repeatable requests are bound before they are sent; refused flows have not been executed."""

from __future__ import annotations

import unittest

from beamloom.model.addresses import TransportProtocol
from beamloom.model.contracts import (
    BackendOperatingStatus,
    RepeatPolicy,
    ServiceContract,
    ServicePolicy,
)
from beamloom.model.machines import NodeId
from beamloom.routing.hashing import partition_of
from beamloom.routing.hooks import (
    FlowAdmission,
    NoRefusals,
    PermissiveAdmission,
    RoutingHooks,
    StaticHealth,
)
from beamloom.routing.ownership import JOIN_WAIT_SECONDS
from beamloom.routing.packet import DropReason
from tests.unit.routing.fleet import (
    ACK,
    GATEWAY,
    RST,
    SYN,
    Fleet,
    answer,
    backend,
    flow_tuple,
    service,
    tcp,
    udp,
)

BACKENDS = [[backend(number) for number in range(1, 5)]]
NEVER = ServicePolicy(request_repeat=RepeatPolicy.NEVER)


class Health(StaticHealth):
    """Reports the given backends as offline."""

    def __init__(self, *offline: int) -> None:
        self.offline = set(offline)

    def status(self, backend_number: int) -> BackendOperatingStatus:
        if backend_number in self.offline:
            return BackendOperatingStatus.OFFLINE
        return BackendOperatingStatus.ONLINE


class ClosedGate(PermissiveAdmission):
    """Admits no flow and allows no retry."""

    def admit_flow(self, service: ServiceContract, now: float) -> FlowAdmission:
        return FlowAdmission(admitted=False)

    def take_retry(self, service: ServiceContract, now: float) -> bool:
        return False


class Refusal(NoRefusals):
    def build(self, packet: bytes, retry_after: float, no_backend: bool) -> bytes | None:
        return b"refused"


def fleet_of(*numbers: int, contract: ServiceContract, hooks: RoutingHooks | None = None) -> Fleet:
    fleet = Fleet(hooks=hooks)
    fleet.configure(contract)
    fleet.add(*numbers)
    fleet.run(1.0)
    return fleet


def home_of(fleet: Fleet, data: bytes) -> NodeId:
    forwarder = next(iter(fleet.nodes.values()))
    key = forwarder._key(flow_tuple(int.from_bytes(data[13:16], "big"), data[9]))
    return fleet.owners(partition_of(key))[0]


class BindingTest(unittest.TestCase):
    def test_no_packet_is_sent_before_a_replica_holder_acknowledges_the_binding(self) -> None:
        fleet = fleet_of(0, 1, 2, contract=service(BACKENDS, TransportProtocol.UDP, NEVER))
        fleet.loss = 1.0
        self.assertIsNone(fleet.send(udp(1)))
        fleet.run(0.5)
        self.assertEqual(fleet.arrived, [])
        fleet.loss = 0.0
        fleet.run(0.5)
        self.assertEqual(len(fleet.arrived), 1)
        held = sum(node.snapshot().replicas_held for node in fleet.nodes.values())
        self.assertEqual(held, 1)

    def test_the_second_holder_is_used_when_the_first_does_not_answer(self) -> None:
        fleet = fleet_of(0, 1, 2, contract=service(BACKENDS, TransportProtocol.UDP, NEVER))
        home = home_of(fleet, udp(1))
        fleet.send(udp(1), home)
        first = fleet.nodes[home]._sender.holders(
            fleet.nodes[home].explain(flow_tuple(1, 17)).partition
        )[0]
        del fleet.nodes[first]
        fleet.run(0.5)
        self.assertEqual(fleet.arrived, [])
        fleet.run(1.5)
        self.assertEqual(len(fleet.arrived), 1)

    def test_a_lone_node_forwards_without_a_binding(self) -> None:
        fleet = fleet_of(0, contract=service(BACKENDS, TransportProtocol.UDP, NEVER))
        fleet.run(JOIN_WAIT_SECONDS)
        self.assertIsNotNone(fleet.send(udp(1)))

    def test_a_bound_request_keeps_its_backend_after_its_home_crashed(self) -> None:
        fleet = fleet_of(0, 1, 2, contract=service(BACKENDS, TransportProtocol.UDP, NEVER))
        clients = range(60)
        for client in clients:
            fleet.send(udp(client))
        fleet.run(1.0)
        placed = {packet[12:16]: address for address, packet in fleet.arrived}
        self.assertEqual(len(placed), len(clients))
        drained = [backend(number, draining=True) for number in range(1, 5)]
        later = [*BACKENDS, [*drained, backend(9)]]
        fleet.configure(service(later, TransportProtocol.UDP, NEVER))
        fleet.crash(NodeId("n1"))
        fleet.run(1.0)
        for client in clients:
            data = udp(client)
            fleet.arrived.clear()
            fleet.send(data)
            fleet.run(0.5)
            self.assertEqual(len(fleet.arrived), 1, client)
            for address, packet in fleet.arrived:
                self.assertEqual(address, placed[packet[12:16]], client)

    def test_an_unknown_request_is_dropped_while_its_binding_may_be_lost(self) -> None:
        fleet = fleet_of(0, 1, contract=service(BACKENDS, TransportProtocol.UDP, NEVER))
        data = next(udp(n) for n in range(100) if home_of(fleet, udp(n)) == "n1")
        survivor = fleet.nodes[NodeId("n0")]
        for partition in [item for item, _ in survivor.replicas.items()]:
            survivor.replicas.take(partition)
        fleet.crash(NodeId("n1"))
        self.assertIsNone(fleet.send(data))
        self.assertEqual(survivor.counters[DropReason.UNKNOWN_BINDING.value], 1)
        fleet.run(31.0)
        self.assertIsNotNone(fleet.send(data))


class RefusalTest(unittest.TestCase):
    def test_a_flow_reset_on_opening_is_retried_on_another_backend_once(self) -> None:
        fleet = fleet_of(0, 1, 2, contract=service(BACKENDS))
        first = fleet.open(1)
        out = fleet.answer(answer(1, RST | ACK), first)
        second = [address for address in out if address != GATEWAY]
        self.assertEqual(len(out), 1)
        self.assertNotEqual(second, [first])
        self.assertEqual(fleet.answer(answer(1, RST | ACK), second[0]), [GATEWAY])

    def test_a_reset_after_payload_is_forwarded_without_a_retry(self) -> None:
        fleet = fleet_of(0, 1, 2, contract=service(BACKENDS))
        first = fleet.open(1)
        fleet.reach(1)
        self.assertEqual(fleet.answer(answer(1, RST), first), [GATEWAY])

    def test_payload_that_a_relaying_node_forwards_counts_as_sent(self) -> None:
        fleet = fleet_of(0, 1, 2, contract=service(BACKENDS))
        first = fleet.open(1)
        other = next(node for node in fleet.nodes if node != home_of(fleet, tcp(1, SYN)))
        fleet.send(tcp(1, ACK), other)
        fleet.run(0.5)
        self.assertEqual(fleet.send(tcp(1, ACK, b"x"), other), first)
        self.assertEqual(fleet.answer(answer(1, RST), first), [GATEWAY])

    def test_without_retry_budget_the_reset_is_forwarded(self) -> None:
        gate = ClosedGate()
        hooks = RoutingHooks(gate, NoRefusals(), StaticHealth())
        gate.admit_flow = PermissiveAdmission().admit_flow  # type: ignore[method-assign]
        fleet = fleet_of(0, 1, contract=service(BACKENDS), hooks=hooks)
        first = fleet.open(1)
        self.assertEqual(fleet.answer(answer(1, RST), first), [GATEWAY])

    def test_a_refused_flow_reaches_no_backend(self) -> None:
        hooks = RoutingHooks(ClosedGate(), Refusal(), StaticHealth())
        fleet = fleet_of(0, 1, contract=service(BACKENDS), hooks=hooks)
        fleet.send(tcp(1, SYN))
        fleet.run(0.1)
        self.assertEqual(fleet.arrived, [(GATEWAY, b"refused")])

    def test_offline_and_draining_backends_get_no_new_flow(self) -> None:
        hooks = RoutingHooks(PermissiveAdmission(), NoRefusals(), Health(1, 2))
        group = [backend(1), backend(2), backend(3), backend(4, draining=True)]
        fleet = fleet_of(0, 1, contract=service([group]), hooks=hooks)
        reached = {fleet.open(client) for client in range(50)}
        self.assertEqual(reached, {backend(3).data_address})

    def test_a_tenant_over_its_packets_is_dropped_on_both_paths(self) -> None:
        fleet = fleet_of(0, contract=service(BACKENDS))
        fleet.open(1)
        fleet.reach(1)
        node = fleet.nodes[NodeId("n0")]
        node.routes.meters["tenant"].blocked = True
        self.assertIsNone(fleet.send(tcp(1, ACK, b"x")))
        self.assertIsNone(fleet.send(tcp(2, SYN)))
        self.assertEqual(node.counters[DropReason.PACKET_LIMIT.value], 2)


if __name__ == "__main__":
    unittest.main()
