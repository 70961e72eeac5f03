"""One end of the stand-ins' TCP, segment by segment."""

import unittest
from dataclasses import replace

from beamloom.standins.packets import ACK, RST, Packet, parse_packet
from beamloom.standins.tcp_connection import ConnectionState, TcpConnection, TcpOptions
from tests.unit.standin_network import CLIENT, SERVICE, SocketAddress

SERVER = SocketAddress(SERVICE.ip, SERVICE.port)
NEAR_WRAP = 2**32 - 2
OPTIONS = TcpOptions()


def sent(connection: TcpConnection) -> list[Packet]:
    packets = [parse_packet(data) for data in connection.take_packets()]
    return [packet for packet in packets if isinstance(packet, Packet)]


def opening() -> tuple[TcpConnection, TcpConnection]:
    """Return a client that sent SYN and a server that answered it."""
    client = TcpConnection(CLIENT, SERVER, NEAR_WRAP, OPTIONS)
    client.connect(0.0)
    server = TcpConnection(SERVER, CLIENT, NEAR_WRAP, OPTIONS)
    server.accept(sent(client)[0], 0.0)
    return client, server


def opened() -> tuple[TcpConnection, TcpConnection]:
    client, server = opening()
    client.receive(sent(server)[0], 0.0)
    server.receive(sent(client)[0], 0.0)
    return client, server


class TcpConnectionTest(unittest.TestCase):
    def test_reversed_and_doubled_segments_are_put_in_order_across_the_wrap(self) -> None:
        client, server = opened()
        data = bytes(number % 251 for number in range(10 * OPTIONS.segment_size))
        client.send(data, 0.0)
        segments = sent(client)
        self.assertEqual(len(segments), 10)
        for segment in reversed(segments):
            server.receive(segment, 0.0)
        self.assertEqual(server.take_data(), data)
        for segment in segments:
            server.receive(segment, 0.0)
        self.assertEqual(server.take_data(), b"")

    def test_acknowledgement_of_another_handshake_is_reset_and_its_data_ignored(self) -> None:
        client, server = opening()
        client.receive(sent(server)[0], 0.0)
        client.send(b"request", 0.0)
        segment = sent(client)[-1]
        server.receive(replace(segment, acknowledgement=NEAR_WRAP), 0.0)
        self.assertEqual(server.take_data(), b"")
        self.assertTrue(sent(server)[0].has(RST))
        self.assertIs(server.state, ConnectionState.SYN_RECEIVED)

    def test_reset_with_another_sequence_number_is_challenged(self) -> None:
        client, server = opened()
        reset = Packet(SERVER, CLIENT, SERVICE.protocol, b"", RST, 12_345)
        client.receive(reset, 0.0)
        self.assertEqual((client.state, client.ignored_resets), (ConnectionState.OPEN, 1))
        self.assertEqual([packet.flags for packet in sent(client)], [ACK])
        server.abort()
        client.receive(sent(server)[0], 0.0)
        self.assertIs(client.state, ConnectionState.RESET)

    def test_timeout_backs_off_and_ends(self) -> None:
        client, _ = opening()
        times: list[float] = []
        while (when := client.next_timer()) is not None:
            client.poll(when)
            times += [when] * len(sent(client))
        self.assertEqual(times, [1.0, 3.0, 7.0, 15.0, 31.0, 63.0])
        self.assertIs(client.state, ConnectionState.TIMED_OUT)

    def test_three_repeated_acknowledgements_send_the_lost_segment_again(self) -> None:
        client, server = opened()
        client.send(bytes(5 * OPTIONS.segment_size), 0.0)
        lost, *others = sent(client)
        for segment in others:
            server.receive(segment, 0.0)
            for packet in sent(server):
                client.receive(packet, 0.0)
        self.assertEqual([packet.sequence for packet in sent(client)], [lost.sequence])
