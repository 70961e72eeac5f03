"""Partitions: after a crash the next home holds the replicas, and a zone's loss leaves one copy."""

import unittest

from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.partitions import PartitionMap
from beamloom.world.addresses import SocketAddress
from beamloom.world.machines import Machine, NodeId
from beamloom.world.zones import Zone


def machine(number: int, zone: str) -> Machine:
    address = SocketAddress("127.0.0.1", number)
    return Machine(NodeId(f"node-{number}"), Zone(zone, "region"), address, address, address)


FLEET = [machine(number, f"zone-{number % 3}") for number in range(9)]


class PartitionMapTest(unittest.TestCase):
    def test_order_of_machines_does_not_matter(self) -> None:
        first, second = PartitionMap(FLEET), PartitionMap(FLEET[::-1])
        self.assertEqual(first.homes_by_partition(), second.homes_by_partition())

    def test_next_home_after_a_crash_is_the_first_replica(self) -> None:
        before = PartitionMap(FLEET)
        after = PartitionMap(FLEET[1:])
        for partition in range(PARTITION_COUNT):
            holders = before.holders(partition)
            if holders.home == FLEET[0].node_id:
                self.assertEqual(after.home(partition), holders.first_replica)
            else:
                self.assertEqual(after.home(partition), holders.home)

    def test_one_copy_is_outside_the_zone_of_the_home(self) -> None:
        zones = {item.node_id: item.zone for item in FLEET}
        placed = PartitionMap(FLEET)
        for partition in range(0, PARTITION_COUNT, 16):
            holders = placed.holders(partition)
            assert holders.home and holders.second_replica
            self.assertNotEqual(zones[holders.home], zones[holders.second_replica])

    def test_empty_and_single_fleets(self) -> None:
        self.assertIsNone(PartitionMap([]).home(0))
        holders = PartitionMap(FLEET[:1]).holders(0)
        self.assertEqual((holders.home, holders.first_replica), (FLEET[0].node_id, None))
