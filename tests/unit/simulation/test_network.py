import unittest
from itertools import pairwise

from beamloom.model.addresses import SocketAddress
from beamloom.model.zones import Link, Zone
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.hosts import Host
from beamloom.simulation.network import Block, Network, PathCondition, split
from beamloom.simulation.randomness import random_stream

DATAGRAMS = 1000
FIRST = SocketAddress("10.0.0.1", 1)
SECOND = SocketAddress("10.0.0.2", 1)
THIRD = SocketAddress("10.0.0.3", 1)


class NetworkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        links = [Link("west", "east", 0.0015)]
        self.network = Network(self.clock, links, random_stream(7, "network"))
        self.received: list[tuple[str, bytes, float]] = []
        self.first = self._attach("first", Zone("west", "suva"), FIRST)
        self.second = self._attach("second", Zone("east", "suva"), SECOND)
        self.third = self._attach("third", Zone("north", "nairobi"), THIRD)

    def _attach(self, name: str, zone: Zone, address: SocketAddress) -> Host:
        host = Host(self.clock, name, zone)

        def receive(data: bytes, source: SocketAddress) -> None:
            self.received.append((name, data, self.clock.now))

        self.network.attach(address, host, receive)
        return host

    def _send_many(self) -> list[int]:
        for number in range(DATAGRAMS):
            data = number.to_bytes(4, "big")
            self.clock.call_at(number * 0.001, self.network.send, self.first, FIRST, SECOND, data)
        self.clock.run_until(self.clock.now + 10.0)
        return [int.from_bytes(data, "big") for _, data, _ in self.received]

    def _reached(self, sender: Host, source: SocketAddress, destination: SocketAddress) -> bool:
        self.received.clear()
        self.network.send(sender, source, destination, b"probe")
        self.clock.run_until(self.clock.now + 1.0)
        return bool(self.received)

    def test_faultless_link_delays_each_datagram_by_its_one_way_delay(self) -> None:
        self.network.send(self.first, FIRST, SECOND, b"data")
        self.clock.run_until(1.0)
        self.assertEqual(self.received, [("second", b"data", 0.0015)])

    def test_loss_drops_the_given_share_of_datagrams(self) -> None:
        self.network.add_condition("", PathCondition(loss=0.1))
        arrived = self._send_many()
        self.assertEqual(len(arrived), DATAGRAMS - self.network.counters["lost"])
        self.assertTrue(60 < self.network.counters["lost"] < 140)

    def test_duplication_delivers_twice(self) -> None:
        self.network.add_condition("", PathCondition(duplication=0.1))
        arrived = self._send_many()
        self.assertEqual(len(set(arrived)), DATAGRAMS)
        self.assertEqual(len(arrived), DATAGRAMS + self.network.counters["duplicated"])
        self.assertGreater(self.network.counters["duplicated"], 60)

    def test_reordering_ends_when_the_condition_is_removed(self) -> None:
        condition = PathCondition(reordering=0.2)
        self.network.add_condition("second", condition)
        arrived = self._send_many()
        self.assertTrue(any(later < earlier for earlier, later in pairwise(arrived)))
        self.received.clear()
        self.network.remove_condition("second", condition)
        self.assertEqual(self._send_many(), list(range(DATAGRAMS)))

    def test_partition_of_regions_blocks_both_directions_until_unblocked(self) -> None:
        blocks = split("suva", "nairobi")
        self.network.block(*blocks)
        self.assertFalse(self._reached(self.first, FIRST, THIRD))
        self.assertFalse(self._reached(self.third, THIRD, SECOND))
        self.assertTrue(self._reached(self.first, FIRST, SECOND))
        self.network.unblock(*blocks)
        self.assertTrue(self._reached(self.first, FIRST, THIRD))

    def test_host_with_blocked_inbound_can_still_send(self) -> None:
        self.network.block(Block("", "second"))
        self.assertFalse(self._reached(self.first, FIRST, SECOND))
        self.assertTrue(self._reached(self.second, SECOND, FIRST))

    def test_partitioned_zone_delivers_within_the_zone(self) -> None:
        same_zone_host = self._attach("fourth", Zone("west", "suva"), SocketAddress("10.0.0.4", 1))
        self.network.block(*split("west", ""))
        self.assertFalse(self._reached(self.first, FIRST, SECOND))
        self.assertFalse(self._reached(self.second, SECOND, FIRST))
        self.assertTrue(self._reached(same_zone_host, SocketAddress("10.0.0.4", 1), FIRST))

    def test_paused_host_handles_queued_datagrams_in_order_on_resume(self) -> None:
        self.second.pause()
        for number in range(3):
            self.network.send(self.first, FIRST, SECOND, bytes([number]))
        self.clock.run_until(5.0)
        self.assertEqual(self.received, [])
        self.second.resume()
        self.assertEqual([data for _, data, _ in self.received], [b"\0", b"\1", b"\2"])
        self.assertEqual({time for _, _, time in self.received}, {5.0})

    def test_slow_host_serves_one_event_at_a_time(self) -> None:
        self.second.processing_seconds = 0.5
        for _ in range(2):
            self.network.send(self.first, FIRST, SECOND, b"data")
        self.clock.run_until(5.0)
        self.assertEqual([time for _, _, time in self.received], [0.5015, 1.0015])

    def test_crashed_host_drops_queued_and_later_datagrams(self) -> None:
        self.second.pause()
        self.network.send(self.first, FIRST, SECOND, b"queued")
        self.clock.run_until(1.0)
        self.second.crash()
        self.second.resume()
        self.assertFalse(self._reached(self.first, FIRST, SECOND))


if __name__ == "__main__":
    unittest.main()
