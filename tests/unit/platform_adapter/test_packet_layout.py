"""Packets of the platform are parsed and built as in the examples of its documentation."""

import unittest

from beamloom.platform import packet_layout
from beamloom.routing.tokens.packets import ForwardPacket, PacketKind, RefusalReason, ResetFlow

OPENING = bytes.fromhex(
    "c6120001 9c41 64400007 01bb 11223344 00000000 0000 00000000 a1b2c3d5 02 000000"
)
RESET = bytes.fromhex(
    "64400007 01bb c6120001 9c41 00000000 00000000 0000 00000000 00000000 04 000000"
)


def with_flags(flags: int, data: bytes = b"", echo: int = 0) -> bytes:
    head = bytearray(OPENING)
    head[20:22] = len(data).to_bytes(2, "big")
    head[22:26] = echo.to_bytes(4, "big")
    head[30] = flags
    return bytes(head) + data


class PacketLayoutTest(unittest.TestCase):
    def test_the_example_is_parsed(self) -> None:
        packet = packet_layout.parse_packet(OPENING)
        assert packet is not None
        self.assertIs(packet.kind, PacketKind.OPEN)
        self.assertEqual(packet.destination, bytes((198, 18, 0, 1, 0x01, 0xBB)))
        self.assertEqual(packet_layout.client_host(packet.flow), "100.64.0.7")
        self.assertEqual(
            packet_layout.describe_flow(packet.flow), "100.64.0.7:40001>198.18.0.1:443"
        )

    def test_the_reset_of_the_example_is_built(self) -> None:
        packet = packet_layout.parse_packet(OPENING)
        assert packet is not None
        refusal = ResetFlow(packet.flow, RefusalReason.NO_ROUTE)
        self.assertEqual(packet_layout.encode_reset(refusal), RESET)

    def test_kinds_by_flags(self) -> None:
        for flags, kind in (
            (packet_layout.FLAG_SYN, PacketKind.OPEN),
            (packet_layout.FLAG_ACK, PacketKind.DATA),
            (packet_layout.FLAG_ACK | packet_layout.FLAG_FIN, PacketKind.END),
            (packet_layout.FLAG_RST, PacketKind.END),
        ):
            packet = packet_layout.parse_packet(with_flags(flags, b"abc"))
            assert packet is not None
            self.assertIs(packet.kind, kind)
            self.assertEqual(packet.data_length, 3)

    def test_a_size_other_than_that_in_the_header_is_rejected(self) -> None:
        whole = with_flags(packet_layout.FLAG_ACK, b"abc")
        for data in (b"", whole[:20], whole[:-1], whole + b"d"):
            self.assertIsNone(packet_layout.parse_packet(data))

    def test_only_the_token_of_an_opening_is_changed(self) -> None:
        packet = packet_layout.parse_packet(OPENING)
        assert packet is not None
        command = ForwardPacket(packet, 0x7F3A91C2, ("10.128.0.9", 8080), 0xAABBCCDD)
        datagram = packet_layout.encode_forward(command)
        self.assertEqual(datagram[:8], bytes.fromhex("000000007f3a91c2"))
        self.assertEqual(datagram[8 + 22 : 8 + 26], bytes.fromhex("aabbccdd"))
        self.assertEqual(datagram[8 : 8 + 22] + datagram[8 + 26 :], OPENING[:22] + OPENING[26:])

    def test_a_packet_of_an_open_flow_is_forwarded_as_it_is(self) -> None:
        data = with_flags(packet_layout.FLAG_ACK, b"GET / HTTP/1.1", echo=5)
        packet = packet_layout.parse_packet(data)
        assert packet is not None
        self.assertEqual(packet.token, 5)
        command = ForwardPacket(packet, 1, ("10.128.0.9", 8080), 0)
        self.assertEqual(packet_layout.encode_forward(command)[8:], data)
