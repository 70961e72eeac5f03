"""Packets round-trip with correct checksums; malformed bytes raise only MalformedPacketError."""

import unittest
from dataclasses import replace

from dpkt import dpkt, ip, ip6
from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.standins.packets import (
    ACK,
    PSH,
    IcmpError,
    MalformedPacketError,
    Packet,
    build_packet,
    build_unreachable,
    parse_packet,
    parse_with_dpkt,
)

PAIRS = (
    (SocketAddress("192.0.2.7", 40_000), SocketAddress("10.0.0.1", 443)),
    (SocketAddress("2001:db8::7", 40_000), SocketAddress("fd00::1", 443)),
)


def sample_packets() -> list[Packet]:
    tcp = [Packet(*pair, TransportProtocol.TCP, b"odd", ACK | PSH, 2**32 - 1, 7) for pair in PAIRS]
    return tcp + [Packet(*pair, TransportProtocol.UDP, b"payload") for pair in PAIRS]


def transport_checksum(data: bytes) -> int:
    """Return the Internet checksum (RFC 1071) over the pseudo-header and segment; 0 if correct."""
    header = ip.IP(data) if data[0] >> 4 == 4 else ip6.IP6(data)
    content = data[20:] if data[0] >> 4 == 4 else data[40:]
    protocol = header.p if data[0] >> 4 == 4 else header.nxt
    pseudo = header.src + header.dst + len(content).to_bytes(4, "big") + bytes([0, 0, 0, protocol])
    return dpkt.in_cksum(pseudo + content)


class PacketTest(unittest.TestCase):
    def test_round_trip_with_correct_checksums(self) -> None:
        for packet in sample_packets():
            data = build_packet(packet)
            self.assertEqual(parse_packet(data), packet)
            self.assertEqual(parse_with_dpkt(data), packet)
            self.assertEqual(transport_checksum(data), 0)
            if data[0] >> 4 == 4:
                self.assertEqual(dpkt.in_cksum(data[:20]), 0)

    def test_unreachable_error_has_the_addresses_of_the_offending_packet(self) -> None:
        for packet in sample_packets():
            error = parse_packet(build_unreachable(build_packet(packet), packet.destination.host))
            assert isinstance(error, IcmpError)
            self.assertTrue(error.is_unreachable)
            quoted = (error.quoted_source, error.quoted_destination, error.quoted_protocol)
            self.assertEqual(quoted, (packet.source, packet.destination, packet.protocol))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.integers(0, 3), st.binary(max_size=1_300), st.integers(0, 2**32 - 1))
    def test_any_payload_round_trips_through_both_parsers(
        self, index: int, payload: bytes, sequence: int
    ) -> None:
        tcp = sample_packets()[index].protocol is TransportProtocol.TCP
        packet = replace(sample_packets()[index], payload=payload, sequence=sequence if tcp else 0)
        data = build_packet(packet)
        self.assertEqual((parse_packet(data), parse_with_dpkt(data)), (packet, packet))
        self.assertEqual(transport_checksum(data), 0)

    def test_fragments_are_rejected(self) -> None:
        data = bytearray(build_packet(sample_packets()[0]))
        data[6:8] = b"\x00\x10"
        with self.assertRaises(MalformedPacketError):
            parse_packet(bytes(data))

    def test_truncated_packets_are_rejected(self) -> None:
        for packet in sample_packets():
            data = build_packet(packet)
            for length in range(len(data)):
                with self.assertRaises(MalformedPacketError):
                    parse_packet(data[:length])

    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(st.integers(0, 3), st.lists(st.tuples(st.integers(0, 79), st.integers(0, 255))))
    def test_corrupted_bytes_raise_only_malformed_packet_error(
        self, index: int, changes: list[tuple[int, int]]
    ) -> None:
        data = bytearray(build_packet(sample_packets()[index]))
        for position, value in changes:
            data[position % len(data)] = value
        try:
            parse_packet(bytes(data))
        except MalformedPacketError:
            return
