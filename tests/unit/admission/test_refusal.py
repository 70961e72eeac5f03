import ipaddress
import struct
import unittest

import dpkt

from beamloom.admission.refusal import (
    RefusalError,
    RefusalReason,
    build_backend_reset,
    build_client_reset,
    build_refusal,
)

CLIENT = {4: "192.0.2.7", 6: "2001:db8::7"}
SERVICE = {4: "198.51.100.1", 6: "2001:db8:1::1"}


def client_packet(version: int, segment: dpkt.Packet, protocol: int) -> bytes:
    source = ipaddress.ip_address(CLIENT[version]).packed
    destination = ipaddress.ip_address(SERVICE[version]).packed
    if version == 4:
        packet = dpkt.ip.IP(src=source, dst=destination, p=protocol, data=segment)
        packet.len = len(packet)
        return bytes(packet)
    packet = dpkt.ip6.IP6(src=source, dst=destination, nxt=protocol, hlim=9, plen=len(segment))
    packet.extension_hdrs = {}
    packet.data = segment
    return bytes(packet)


def tcp_packet(version: int, flags: int, data: bytes = b"", seq: int = 0xFFFFFFFF) -> bytes:
    segment = dpkt.tcp.TCP(sport=4000, dport=80, seq=seq, ack=77, flags=flags, data=data)
    return client_packet(version, segment, 6)


def ones_complement_sum(data: bytes) -> int:
    padded = data + bytes(len(data) % 2)
    total = sum(struct.unpack(f"!{len(padded) // 2}H", padded))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return total


def transport_sum(packet: bytes) -> int:
    """Return the RFC 1071 sum, pseudo header included: 0xFFFF if the checksum is correct."""
    if packet[0] >> 4 == 4:
        protocol, payload, addresses = packet[9], packet[20:], packet[12:20]
    else:
        protocol, payload, addresses = packet[6], packet[40:], packet[8:40]
    if protocol == dpkt.ip.IP_PROTO_ICMP:
        return ones_complement_sum(payload)
    return ones_complement_sum(addresses + struct.pack("!II", len(payload), protocol) + payload)


class RefusalTest(unittest.TestCase):
    def check_frame(self, packet: bytes, version: int) -> dpkt.Packet:
        self.assertEqual(packet[0] >> 4, version)
        self.assertEqual(transport_sum(packet), 0xFFFF)
        if version == 4:
            self.assertEqual(ones_complement_sum(packet[:20]), 0xFFFF)
            parsed = dpkt.ip.IP(packet)
            self.assertEqual(parsed.len, len(packet))
        else:
            parsed = dpkt.ip6.IP6(packet)
            self.assertEqual(parsed.plen + 40, len(packet))
        self.assertEqual(parsed.src, ipaddress.ip_address(SERVICE[version]).packed)
        self.assertEqual(parsed.dst, ipaddress.ip_address(CLIENT[version]).packed)
        return parsed

    def test_syn_is_reset_with_the_retry_time(self) -> None:
        for version in (4, 6):
            with self.subTest(version=version):
                refusal = build_refusal(
                    tcp_packet(version, dpkt.tcp.TH_SYN), 2.2, RefusalReason.PROHIBITED
                )
                reset = self.check_frame(refusal, version).data
                self.assertEqual((reset.sport, reset.dport), (80, 4000))
                self.assertEqual((reset.seq, reset.ack), (0, 0))
                self.assertEqual(reset.flags, dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK)
                self.assertEqual(reset.data, b"retry-after=3")

    def test_reset_acknowledges_the_data_of_a_syn(self) -> None:
        packet = tcp_packet(4, dpkt.tcp.TH_SYN, b"early", seq=100)
        reset = dpkt.ip.IP(build_refusal(packet, 1.0, RefusalReason.PROHIBITED)).data
        self.assertEqual(reset.ack, 106)

    def test_udp_is_answered_by_an_unreachable_that_quotes_it(self) -> None:
        codes = {
            (4, RefusalReason.PROHIBITED): (3, 13),
            (4, RefusalReason.NO_BACKEND): (3, 3),
            (6, RefusalReason.PROHIBITED): (1, 1),
            (6, RefusalReason.NO_BACKEND): (1, 4),
        }
        for (version, reason), expected in codes.items():
            with self.subTest(version=version, reason=reason):
                datagram = dpkt.udp.UDP(sport=4000, dport=80, data=bytes(1400), ulen=1408)
                packet = client_packet(version, datagram, 17)
                refusal = build_refusal(packet, 1.0, reason)
                self.check_frame(refusal, version)
                header = 20 if version == 4 else 40
                self.assertEqual((refusal[header], refusal[header + 1]), expected)
                self.assertTrue(packet.startswith(refusal[header + 8 :]))
                self.assertEqual(len(refusal), 576 if version == 4 else 1280)

    def test_only_a_first_packet_is_refused(self) -> None:
        refused = (
            tcp_packet(4, dpkt.tcp.TH_ACK, b"payload"),
            tcp_packet(4, dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK),
            tcp_packet(4, dpkt.tcp.TH_SYN | dpkt.tcp.TH_RST),
            client_packet(4, dpkt.icmp.ICMP(data=bytes(8)), 1),
            b"",
            b"\x45\x00",
            b"\x60" + bytes(12),
        )
        for packet in refused:
            with self.subTest(packet=packet), self.assertRaises(RefusalError):
                build_refusal(packet, 1.0, RefusalReason.PROHIBITED)


class ResetTest(unittest.TestCase):
    def test_backend_reset_carries_exactly_the_next_sequence_number(self) -> None:
        for version in (4, 6):
            packet = tcp_packet(version, dpkt.tcp.TH_ACK, b"abc", seq=10)
            reset = build_backend_reset(packet)
            self.assertEqual(transport_sum(reset), 0xFFFF)
            segment = (dpkt.ip.IP(reset) if version == 4 else dpkt.ip6.IP6(reset)).data
            self.assertEqual((segment.sport, segment.dport), (4000, 80))
            self.assertEqual((segment.seq, segment.ack), (13, 77))
            self.assertEqual(segment.flags, dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK)

    def test_client_reset_starts_at_what_the_client_acknowledged(self) -> None:
        reset = dpkt.ip.IP(build_client_reset(tcp_packet(4, dpkt.tcp.TH_ACK, b"abc", seq=10))).data
        self.assertEqual((reset.sport, reset.dport, reset.seq, reset.ack), (80, 4000, 77, 13))

    def test_client_reset_needs_an_acknowledgement(self) -> None:
        with self.assertRaises(RefusalError):
            build_client_reset(tcp_packet(4, dpkt.tcp.TH_SYN))


if __name__ == "__main__":
    unittest.main()
