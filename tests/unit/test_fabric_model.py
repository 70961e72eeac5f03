"""The fabric sprays packets, returns answers, injects faults and delays lists of balancers."""

import random
import unittest

from beamloom.model.addresses import SocketAddress
from beamloom.standins.fabric_model import Delivery, FabricModel, FabricOptions, FabricSide, Spray
from beamloom.standins.packets import Packet, build_packet
from tests.unit.standin_network import CLIENT, CLIENT_V6, SERVICE, SERVICE_V6

BALANCERS = [SocketAddress("127.0.0.1", 7_001), SocketAddress("127.0.0.1", 7_002)]
SOCKET, OTHER_SOCKET = SocketAddress("127.0.0.1", 5_001), SocketAddress("127.0.0.1", 5_002)
SERVER, SERVER_V6 = (SocketAddress(item.ip, item.port) for item in (SERVICE, SERVICE_V6))
REQUEST = build_packet(Packet(CLIENT, SERVER, SERVICE.protocol))
ANSWER = build_packet(Packet(SERVER, CLIENT, SERVICE.protocol))
REQUEST_V6 = build_packet(Packet(CLIENT_V6, SERVER_V6, SERVICE.protocol))
ANSWER_V6 = build_packet(Packet(SERVER_V6, CLIENT_V6, SERVICE.protocol))


def fabric(options: FabricOptions | None = None) -> FabricModel:
    return FabricModel(random.Random(1), options, BALANCERS)


class FabricModelTest(unittest.TestCase):
    def test_packets_of_one_flow_are_spread_over_all_balancers(self) -> None:
        for spray in Spray:
            model = fabric(FabricOptions(spray=spray))
            sent = [model.from_client(REQUEST, SOCKET, 0.0)[0] for _ in range(1_000)]
            for balancer in BALANCERS:
                share = sum(delivery.destination == balancer for delivery in sent) / len(sent)
                self.assertAlmostEqual(share, 0.5, delta=0.05)

    def test_answers_go_to_the_socket_that_their_client_last_used(self) -> None:
        model = fabric()
        self.assertEqual(model.from_balancer(ANSWER, 0.0), [])
        self.assertEqual(model.counters.unknown_client, 1)
        model.from_client(REQUEST, SOCKET, 0.0)
        model.from_client(REQUEST_V6, OTHER_SOCKET, 0.0)
        for answer, client in ((ANSWER, SOCKET), (ANSWER_V6, OTHER_SOCKET)):
            expected = [Delivery(FabricSide.CLIENTS, client, answer)]
            self.assertEqual(model.from_balancer(answer, 0.0), expected)

    def test_packets_of_balancers_register_no_client(self) -> None:
        model = fabric()
        model.from_balancer(ANSWER, 0.0)
        self.assertEqual(model.from_balancer(REQUEST, 0.0), [])

    def test_new_list_of_balancers_takes_effect_after_the_lag(self) -> None:
        model = fabric(FabricOptions(list_lag=5.0))
        model.set_balancers([], 10.0)
        self.assertEqual(model.next_timer(), 15.0)
        self.assertEqual(len(model.from_client(REQUEST, SOCKET, 14.9)), 1)
        self.assertEqual(model.from_client(REQUEST, SOCKET, 15.0), [])
        self.assertEqual((model.counters.no_balancer, model.next_timer()), (1, None))

    def test_faults_occur_at_their_rates_and_every_lost_packet_is_counted(self) -> None:
        options = FabricOptions(loss=0.1, duplication=0.1, reordering=0.2, reorder_delay=0.5)
        model = fabric(options)
        at_once = sum(len(model.from_client(REQUEST, SOCKET, 0.0)) for _ in range(10_000))
        self.assertEqual((model.poll(0.4), model.next_timer()), ([], 0.5))
        delayed = len(model.poll(0.5))
        counters = model.counters
        self.assertEqual(at_once + delayed, 10_000 - counters.lost + counters.duplicated)
        self.assertEqual(delayed, counters.reordered)
        for count, share in ((counters.lost, 0.1), (counters.duplicated, 0.09), (delayed, 0.18)):
            self.assertAlmostEqual(count / 10_000, share, delta=0.02)

    def test_malformed_packets_are_counted(self) -> None:
        model = fabric()
        for data in (b"", b"\x45", b"\x00" * 60):
            self.assertEqual(model.from_client(data, SOCKET, 0.0), [])
            self.assertEqual(model.from_balancer(data, 0.0), [])
        self.assertEqual(model.counters.malformed, 6)
