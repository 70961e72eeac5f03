"""Flows keep their backend during joins, leaves, crashes, message loss and differing views."""

from __future__ import annotations

import unittest

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import MemberState, NodeId
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.ownership import JOIN_WAIT_SECONDS
from tests.unit.routing.fleet import ACK, SYN, Fleet, backend, service, tcp

FLOWS = 200
OLD = [[backend(number) for number in range(1, 8)]]
NEW = [*OLD, [backend(1, draining=True), *(backend(number) for number in range(2, 9))]]


def started_fleet(*numbers: int, **options: float) -> Fleet:
    fleet = Fleet(**options)  # type: ignore[arg-type]
    fleet.configure(service(OLD))
    fleet.add(*numbers)
    fleet.run(15.0 if fleet.loss else 1.0)
    return fleet


class FlowsSurviveTest(unittest.TestCase):
    def open_flows(self, fleet: Fleet, first: int = 0) -> dict[int, SocketAddress]:
        flows = {}
        for client in range(first, first + FLOWS):
            flows[client] = fleet.open(client)
            self.assertEqual(fleet.reach(client), flows[client])
        return flows

    def with_exceptions(self, fleet: Fleet) -> dict[int, SocketAddress]:
        """Open flows before and after a change of generation, and wait for replication."""
        flows = self.open_flows(fleet)
        fleet.configure(service(NEW))
        flows.update(self.open_flows(fleet, FLOWS))
        fleet.run(12.0 if fleet.loss else 4.0)
        return flows

    def moved_flows(self, fleet: Fleet, flows: dict[int, SocketAddress]) -> list[int]:
        return [client for client, address in flows.items() if fleet.reach(client) != address]

    def assert_one_owner(self, fleet: Fleet) -> None:
        for partition in range(PARTITION_COUNT):
            self.assertEqual(len(fleet.owners(partition)), 1, partition)

    def test_all_nodes_starting_at_once_own_every_partition_once(self) -> None:
        fleet = started_fleet(0, 1, 2, 3)
        self.assert_one_owner(fleet)

    def test_a_lone_node_owns_partitions_only_after_a_delay(self) -> None:
        fleet = Fleet()
        fleet.configure(service(OLD))
        fleet.add(0)
        fleet.run(JOIN_WAIT_SECONDS - 0.1)
        self.assertIsNone(fleet.send(tcp(1, SYN)))
        fleet.run(0.3)
        self.assertIsNotNone(fleet.send(tcp(1, SYN)))

    def test_joining_node_without_a_member_list_owns_no_partitions(self) -> None:
        """Guards against a joining node that acquires partitions of other owners as FRESH."""
        fleet = started_fleet(0, 1, 2)
        flows = self.with_exceptions(fleet)
        fleet.add(3, update_members=False)
        joiner = fleet.nodes[NodeId("n3")]
        joiner.update_members([fleet.members[NodeId("n3")]], fleet.now)
        fleet.run(0.5)
        self.assertEqual(len(joiner.ownership.owned), 0)
        self.assertEqual(
            [fleet.send(tcp(client, ACK, b"x"), NodeId("n3")) for client in flows],
            [None] * len(flows),
        )
        fleet.update_member_lists()
        fleet.run(5.0)
        self.assert_one_owner(fleet)
        self.assertEqual(self.moved_flows(fleet, flows), [])

    def test_join_under_traffic(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.with_exceptions(fleet)
        fleet.add(3)
        self.assertEqual(self.moved_flows(fleet, flows), [])
        fleet.run(10.0)
        self.assert_one_owner(fleet)
        self.assertEqual(self.moved_flows(fleet, flows), [])

    def test_two_joins_in_a_row_and_a_leave_right_after(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.with_exceptions(fleet)
        fleet.add(3)
        fleet.run(0.1)
        fleet.add(4)
        fleet.run(0.1)
        self.assertTrue(fleet.leave(NodeId("n3")))
        fleet.run(5.0)
        self.assert_one_owner(fleet)
        self.assertEqual(self.moved_flows(fleet, flows), [])

    def test_two_concurrent_joins_never_give_a_partition_two_owners(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.open_flows(fleet)
        fleet.add(3, 4)
        for _ in range(60):
            fleet.run(0.05)
            owners = [
                partition for node in fleet.nodes.values() for partition in node.ownership.owned
            ]
            self.assertEqual(len(owners), len(set(owners)))
        self.assert_one_owner(fleet)
        self.assertEqual(self.moved_flows(fleet, flows), [])

    def test_every_node_replaced_one_by_one(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.with_exceptions(fleet)
        for number in range(3):
            fleet.add(10 + number)
            fleet.run(2.0)
            self.assertTrue(fleet.leave(NodeId(f"n{number}")))
        self.assertEqual(self.moved_flows(fleet, flows), [])
        self.assert_one_owner(fleet)

    def test_every_node_replaced_while_messages_are_lost_duplicated_and_reordered(self) -> None:
        fleet = started_fleet(0, 1, 2, loss=0.3, duplication=0.1)
        flows = self.with_exceptions(fleet)
        for number in range(3):
            fleet.add(10 + number)
            fleet.run(1.0)
            self.assertTrue(fleet.leave(NodeId(f"n{number}"), 120.0))
        self.assertEqual(self.moved_flows(fleet, flows), [])
        fleet.run(20.0)
        self.assert_one_owner(fleet)

    def test_join_that_the_owners_learn_of_late(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.with_exceptions(fleet)
        fleet.add(3, update_members=False)
        fleet.update_member_lists([NodeId("n3")])
        fleet.run(3.0)
        self.assertEqual(self.moved_flows(fleet, flows), [])
        fleet.update_member_lists([NodeId("n0")])
        fleet.run(1.0)
        self.assertEqual(self.moved_flows(fleet, flows), [])
        fleet.update_member_lists()
        fleet.run(5.0)
        self.assert_one_owner(fleet)
        self.assertEqual(self.moved_flows(fleet, flows), [])

    def test_join_that_the_joining_node_learns_of_last(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.with_exceptions(fleet)
        fleet.add(3, update_members=False)
        fleet.update_member_lists([NodeId("n0"), NodeId("n1"), NodeId("n2")])
        fleet.run(2.0)
        fleet.update_member_lists()
        fleet.run(3.0)
        self.assert_one_owner(fleet)
        self.assertEqual(self.moved_flows(fleet, flows), [])

    def test_crash_after_a_change_of_generation(self) -> None:
        fleet = started_fleet(0, 1, 2, 3)
        flows = self.with_exceptions(fleet)
        fleet.crash(NodeId("n1"))
        self.assertEqual(self.moved_flows(fleet, flows), [])
        self.assert_one_owner(fleet)

    def test_two_crashes_one_after_the_other(self) -> None:
        fleet = started_fleet(0, 1, 2, 3, 4)
        flows = self.with_exceptions(fleet)
        fleet.crash(NodeId("n1"))
        fleet.run(4.0)
        fleet.crash(NodeId("n2"))
        self.assertEqual(self.moved_flows(fleet, flows), [])

    def test_loss_of_a_zone(self) -> None:
        fleet = started_fleet(0, 1, 2, 3, 4, 5)
        flows = self.with_exceptions(fleet)
        fleet.crash(NodeId("n1"), NodeId("n4"))
        fleet.run(1.0)
        self.assertEqual(self.moved_flows(fleet, flows), [])
        self.assert_one_owner(fleet)

    def test_crash_of_a_leaving_owner_in_mid_transfer(self) -> None:
        fleet = started_fleet(0, 1, 2, 3)
        flows = self.with_exceptions(fleet)
        fleet.nodes[NodeId("n1")].begin_leave(fleet.now)
        fleet.set_state(NodeId("n1"), MemberState.LEAVING)
        fleet.update_member_lists()
        fleet.run(0.05)
        fleet.crash(NodeId("n1"))
        fleet.run(1.0)
        self.assertEqual(self.moved_flows(fleet, flows), [])
        self.assert_one_owner(fleet)

    def test_crash_of_the_successor_in_mid_transfer(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.with_exceptions(fleet)
        fleet.add(3)
        fleet.run(0.05)
        fleet.crash(NodeId("n3"))
        fleet.run(2.0)
        self.assertEqual(self.moved_flows(fleet, flows), [])
        self.assert_one_owner(fleet)

    def test_a_syn_retransmitted_across_a_transfer_reaches_the_same_backend(self) -> None:
        fleet = started_fleet(0, 1, 2)
        fleet.configure(service(NEW))
        first = {client: fleet.open(client) for client in range(FLOWS)}
        fleet.add(3)
        again = {}
        for client in first:
            fleet.run(0.05 if client % 4 else 0.0)
            again[client] = fleet.open(client)
        self.assertEqual(first, again)

    def test_a_syn_retransmitted_after_a_crash_reaches_the_same_backend(self) -> None:
        fleet = started_fleet(0, 1, 2)
        first = {client: fleet.open(client) for client in range(FLOWS)}
        fleet.run(3.0)
        fleet.crash(NodeId("n1"))
        self.assertEqual({client: fleet.open(client) for client in first}, first)

    def test_a_new_flow_on_the_ports_of_a_closed_one_is_placed_anew(self) -> None:
        fleet = started_fleet(0, 1, 2)
        flows = self.open_flows(fleet)
        fleet.configure(service([*OLD, [backend(9)]]))
        for client in flows:
            fleet.send(tcp(client, ACK | 1))
        self.assertEqual({fleet.open(client) for client in flows}, {backend(9).data_address})

    def test_nodes_that_are_no_longer_holders_drop_their_replicas(self) -> None:
        fleet = started_fleet(0, 1, 2, 3)
        self.with_exceptions(fleet)
        fleet.add(4, 5)
        fleet.run(40.0)
        snapshots = [node.snapshot() for node in fleet.nodes.values()]
        exceptions = sum(item.exceptions for item in snapshots)
        self.assertGreater(exceptions, 0)
        self.assertEqual(sum(item.replicas_held for item in snapshots), 2 * exceptions)

    def test_all_exceptions_reach_their_holders(self) -> None:
        fleet = started_fleet(0, 1, 2, 3)
        self.with_exceptions(fleet)
        waiting = [node.snapshot().records_waiting for node in fleet.nodes.values()]
        self.assertEqual(waiting, [0] * len(fleet.nodes))


if __name__ == "__main__":
    unittest.main()
