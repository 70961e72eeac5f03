"""Reordering, resets and retransmission of the stand-ins' TCP, segment by segment."""

import unittest
from dataclasses import replace

from beamloom.standins.packets import ACK, RST, Packet, parse_packet
from beamloom.standins.tcp_connection import ConnectionState, TcpConnection, TcpOptions
from tests.unit.standin_network import CLIENT, SERVICE, SocketAddress

SERVER = SocketAddress(SERVICE.ip, SERVICE.port)
NEAR_WRAP = 2**32 - 2
OPTIONS = TcpOptions()


def take_packets(connection: TcpConnection) -> list[Packet]:
    packets = [parse_packet(data) for data in connection.take_packets()]
    return [packet for packet in packets if isinstance(packet, Packet)]


def start_handshake() -> tuple[TcpConnection, TcpConnection]:
    """Return a client that sent a SYN and a server whose SYN-ACK is not yet delivered."""
    client = TcpConnection(CLIENT, SERVER, NEAR_WRAP, OPTIONS)
    client.connect(0.0)
    server = TcpConnection(SERVER, CLIENT, NEAR_WRAP, OPTIONS)
    server.accept(take_packets(client)[0], 0.0)
    return client, server


def open_connection() -> tuple[TcpConnection, TcpConnection]:
    client, server = start_handshake()
    client.receive(take_packets(server)[0], 0.0)
    server.receive(take_packets(client)[0], 0.0)
    return client, server


class TcpConnectionTest(unittest.TestCase):
    def test_reversed_and_duplicate_segments_are_reassembled_across_the_wrap(self) -> None:
        client, server = open_connection()
        data = bytes(number % 251 for number in range(10 * OPTIONS.segment_size))
        client.send(data, 0.0)
        segments = take_packets(client)
        self.assertEqual(len(segments), 10)
        for segment in reversed(segments):
            server.receive(segment, 0.0)
        self.assertEqual(server.take_data(), data)
        for segment in segments:
            server.receive(segment, 0.0)
        self.assertEqual(server.take_data(), b"")

    def test_acknowledgement_of_another_handshake_is_reset_and_its_data_discarded(self) -> None:
        client, server = start_handshake()
        client.receive(take_packets(server)[0], 0.0)
        client.send(b"request", 0.0)
        segment = take_packets(client)[-1]
        server.receive(replace(segment, acknowledgement=NEAR_WRAP), 0.0)
        self.assertEqual(server.take_data(), b"")
        self.assertTrue(take_packets(server)[0].has(RST))
        self.assertIs(server.state, ConnectionState.SYN_RECEIVED)

    def test_reset_with_unexpected_sequence_number_gets_challenge_acknowledgement(self) -> None:
        client, server = open_connection()
        reset = Packet(SERVER, CLIENT, SERVICE.protocol, b"", RST, 12_345)
        client.receive(reset, 0.0)
        self.assertEqual((client.state, client.ignored_resets), (ConnectionState.OPEN, 1))
        self.assertEqual([packet.flags for packet in take_packets(client)], [ACK])
        server.abort()
        client.receive(take_packets(server)[0], 0.0)
        self.assertIs(client.state, ConnectionState.RESET)

    def test_retransmission_timeout_doubles_until_the_connection_times_out(self) -> None:
        client, _ = start_handshake()
        times: list[float] = []
        while (when := client.next_timer()) is not None:
            client.poll(when)
            times += [when] * len(take_packets(client))
        self.assertEqual(times, [1.0, 3.0, 7.0, 15.0, 31.0, 63.0])
        self.assertIs(client.state, ConnectionState.TIMED_OUT)

    def test_three_duplicate_acknowledgements_retransmit_the_lost_segment(self) -> None:
        client, server = open_connection()
        client.send(bytes(5 * OPTIONS.segment_size), 0.0)
        lost, *others = take_packets(client)
        for segment in others:
            server.receive(segment, 0.0)
            for packet in take_packets(server):
                client.receive(packet, 0.0)
        self.assertEqual([packet.sequence for packet in take_packets(client)], [lost.sequence])
