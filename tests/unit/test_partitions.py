"""Partitions: the next home after a crash is a replica, and one copy survives a zone's loss."""

import random
import unittest

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Zone
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.partitions import PartitionMap


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

    def test_a_map_built_from_another_equals_one_built_anew(self) -> None:
        rng = random.Random(1)
        members = list(FLEET)
        placed = PartitionMap(members)
        for step in range(12):
            leaving = rng.sample(members, rng.randrange(3))
            joining = [machine(100 + 3 * step + n, f"zone-{n}") for n in range(rng.randrange(3))]
            members = [item for item in members if item not in leaving] + joining
            placed, anew = PartitionMap(members, placed), PartitionMap(members)
            self.assertEqual(placed.homes.tolist(), anew.homes.tolist())
            self.assertEqual(placed.first_replicas.tolist(), anew.first_replicas.tolist())
            self.assertEqual(placed.second_replicas.tolist(), anew.second_replicas.tolist())

    def test_a_fleet_of_one_zone_that_gains_a_second(self) -> None:
        single = PartitionMap([machine(number, "zone-0") for number in range(5)])
        members = [*single.machines, machine(9, "zone-1")]
        self.assertEqual(
            PartitionMap(members, single).second_replicas.tolist(),
            PartitionMap(members).second_replicas.tolist(),
        )

    def test_empty_and_single_fleets(self) -> None:
        self.assertIsNone(PartitionMap([]).home(0))
        holders = PartitionMap(FLEET[:1]).holders(0)
        self.assertEqual((holders.home, holders.first_replica), (FLEET[0].node_id, None))
