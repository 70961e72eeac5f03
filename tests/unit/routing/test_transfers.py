"""Each partition has one owner while joins and leaves overlap and member lists differ."""

from __future__ import annotations

import unittest

from beamloom.model.machines import MemberState, NodeId
from beamloom.protocol.flow_messages import TransferAcknowledged
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.ownership import NEWCOMER_SECONDS
from tests.unit.routing.fleet import ACK, Fleet, backend, service, tcp

BACKENDS = [[backend(number) for number in range(1, 8)]]
CHANGED = [*BACKENDS, [backend(1, draining=True), *(backend(n) for n in range(2, 9))]]
FLOWS = 120
CONTROL_BYTES = 4096
N0, N1, N2, N3, N4 = (NodeId(f"n{number}") for number in range(5))


class TransfersCase(unittest.TestCase):
    def started(self, settle: float, bytes_per_second: int | None = None) -> Fleet:
        fleet = Fleet(bytes_per_second=bytes_per_second)
        fleet.configure(service(BACKENDS))
        fleet.add(0, 1, 2)
        fleet.run(settle)
        return fleet

    def run_with_one_owner(self, fleet: Fleet, seconds: float) -> None:
        """Run the fleet and check after each 0.1 s that no partition has two owners."""
        for _ in range(round(seconds / 0.1)):
            fleet.run(0.1)
            owned = [set(node.ownership.owned) for node in fleet.nodes.values()]
            self.assertEqual(sum(map(len, owned)), len(set().union(*owned)))

    def assert_all_owned(self, fleet: Fleet) -> None:
        owned = [set(node.ownership.owned) for node in fleet.nodes.values()]
        self.assertEqual(sum(map(len, owned)), PARTITION_COUNT)
        self.assertEqual(len(set().union(*owned)), PARTITION_COUNT)


class OwnerDiscoveryTest(TransfersCase):
    def test_owner_unknown_to_a_joining_node_keeps_its_partitions(self) -> None:
        for settle in (5.0, NEWCOMER_SECONDS + 5.0):
            with self.subTest(settle=settle):
                fleet = self.started(settle)
                fleet.add(3)
                self.run_with_one_owner(fleet, 5.0)
                fleet.add(4, update_members=False)
                fleet.update_member_lists([N4], without=[N3])
                self.run_with_one_owner(fleet, 8.0)
                fleet.update_member_lists()
                self.run_with_one_owner(fleet, 8.0)
                self.assert_all_owned(fleet)

    def test_partitions_of_a_node_that_left_have_one_owner(self) -> None:
        """Guards against a second owner if a node leaves before another asks it for the owner."""
        for settle in (5.0, NEWCOMER_SECONDS + 5.0):
            with self.subTest(settle=settle):
                fleet = self.started(settle)
                fleet.add(3, update_members=False)
                fleet.update_member_lists([N3])
                self.run_with_one_owner(fleet, 1.5)
                fleet.nodes[N1].begin_leave(fleet.now)
                fleet.set_state(N1, MemberState.LEAVING)
                fleet.update_member_lists([N0, N1, N2], without=[N3])
                fleet.update_member_lists([N3])
                self.run_with_one_owner(fleet, 1.0)
                left = fleet.nodes[N1].snapshot()
                self.assertEqual(left.partitions_owned + left.partitions_frozen, 0)
                del fleet.nodes[N1]
                fleet.set_state(N1, MemberState.LEFT)
                fleet.update_member_lists([N0, N2], without=[N3])
                fleet.update_member_lists([N3])
                self.run_with_one_owner(fleet, 4.0)
                fleet.update_member_lists()
                self.run_with_one_owner(fleet, 8.0)
                self.assert_all_owned(fleet)

    def test_former_owner_follows_the_home_when_its_successor_is_gone(self) -> None:
        """Guards against relaying to a node that has left, until its entry in `handed` expires."""
        fleet = self.started(NEWCOMER_SECONDS + 5.0)
        fleet.add(3)
        fleet.run(6.0)
        node = fleet.nodes[N0].ownership
        handed = [item for item in node.handed_over if node.forward_targets[item] == N3]
        fleet.add(4)
        self.assertTrue(fleet.leave(N3))
        self.assertTrue([item for item in handed if node.homes[item] == N4])
        lost = [item for item in handed if not node.is_reachable(node.forward_targets[item])]
        self.assertEqual(lost, [])

    def test_leaving_node_is_not_offered_partitions_that_it_handed_over(self) -> None:
        """Guards against handovers back to a leaving node, which refuses them."""
        fleet = self.started(5.0)
        fleet.nodes[N1].begin_leave(fleet.now)
        fleet.sent_messages.clear()
        self.run_with_one_owner(fleet, 2.0)
        refusals = [
            message
            for _, message in fleet.sent_messages
            if isinstance(message, TransferAcknowledged) and not message.accepted
        ]
        self.assertEqual(refusals, [])


class FalseSuspicionTest(TransfersCase):
    def test_flows_survive_two_false_suspicions_of_their_owner(self) -> None:
        """Guards against the loss of replicas that the first suspicion has consumed."""
        fleet = self.started(2.0)
        fleet.configure(service(CHANGED))
        flows = {client: fleet.open(client) for client in range(FLOWS)}
        fleet.run(4.0)
        for _ in range(2):
            fleet.set_state(N1, MemberState.DEAD)
            fleet.update_member_lists([N0, N2])
            fleet.run(1.0)
            fleet.set_state(N1, MemberState.ALIVE)
            fleet.update_member_lists()
            fleet.run(8.0)
        fleet.crash(N1)
        fleet.run(1.0)
        broken = [client for client, address in flows.items() if fleet.reach(client) != address]
        self.assertEqual(broken, [])


class BudgetTest(TransfersCase):
    def test_every_node_replaced_within_the_control_budget(self) -> None:
        fleet = self.started(10.0, CONTROL_BYTES)
        flows = {client: fleet.open(client) for client in range(FLOWS)}
        for number in range(3):
            fleet.configure(service(CHANGED[: 1 + number]))
            flows.update(
                {c: fleet.open(c) for c in range((number + 1) * FLOWS, (number + 2) * FLOWS)}
            )
            fleet.add(10 + number)
            self.run_with_one_owner(fleet, 6.0)
            self.assertTrue(fleet.leave(NodeId(f"n{number}")))
        self.run_with_one_owner(fleet, 10.0)
        self.assert_all_owned(fleet)
        broken = [client for client, address in flows.items() if fleet.reach(client) != address]
        self.assertEqual(broken, [])

    def test_two_joins_and_a_leave_overlap_within_the_control_budget(self) -> None:
        fleet = self.started(10.0, CONTROL_BYTES)
        flows = {client: fleet.open(client) for client in range(FLOWS)}
        fleet.configure(service(CHANGED))
        fleet.add(3)
        self.run_with_one_owner(fleet, 0.3)
        fleet.add(4, update_members=False)
        fleet.update_member_lists([N4, N0])
        self.run_with_one_owner(fleet, 0.3)
        fleet.nodes[N1].begin_leave(fleet.now)
        fleet.set_state(N1, MemberState.LEAVING)
        fleet.update_member_lists([N1, N2])
        self.run_with_one_owner(fleet, 2.0)
        fleet.update_member_lists()
        self.run_with_one_owner(fleet, 20.0)
        self.assertTrue(fleet.nodes[N1].leave_complete)
        del fleet.nodes[N1]
        fleet.set_state(N1, MemberState.LEFT)
        fleet.update_member_lists()
        self.run_with_one_owner(fleet, 5.0)
        self.assert_all_owned(fleet)
        sent = {client: fleet.send(tcp(client, ACK, b"x")) for client in flows}
        self.assertEqual(sent, flows)


if __name__ == "__main__":
    unittest.main()
