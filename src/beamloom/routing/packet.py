"""Fixed-offset parsing of the IP packets carried in UDP (Foo-over-UDP, GUE variant 1).

Only the fields that forwarding needs are read (RFC 791, RFC 8200, RFC 9293, RFC 768, RFC 792,
RFC 4443). Fragments, IPv4 options and IPv6 extension headers are rejected, because the ports are
then missing or not at a fixed offset.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum

IPV4_HEADER_SIZE = 20
IPV6_HEADER_SIZE = 40
PORTS_SIZE = 4
TCP_FLAGS_OFFSET = 13
TCP_HEADER_SIZE = 20
UDP_HEADER_SIZE = 8
ICMP_HEADER_SIZE = 8

PROTOCOL_ICMP = 1
PROTOCOL_TCP = 6
PROTOCOL_UDP = 17
PROTOCOL_ICMPV6 = 58

TCP_FIN = 0x01
TCP_SYN = 0x02
TCP_RST = 0x04
TCP_ACK = 0x10

IPV4_FRAGMENT_MASK = 0x3FFF
IPV4_TTL_OFFSET = 8
IPV4_CHECKSUM_OFFSET = 10
IPV6_HOP_LIMIT_OFFSET = 7
MAXIMUM_HOP_LIMIT = 255

ICMP_ERROR_TYPES = frozenset({3, 4, 5, 11, 12})
ICMPV6_LAST_ERROR_TYPE = 127

_IPV4_HEADER = struct.Struct("!BxHxxHBB")
_IPV6_HEADER = struct.Struct("!BxxxHBB")


class DropReason(Enum):
    """Why a packet was dropped; the values are names of counters."""

    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    FRAGMENT = "fragment"
    OPTIONS = "options"
    PROTOCOL = "protocol"
    HOP_LIMIT = "hop_limit"
    UNKNOWN_SERVICE = "unknown_service"
    FOREIGN_SENDER = "foreign_sender"
    UNKNOWN_PEER = "unknown_peer"
    NO_HOME = "no_home"
    NO_BACKEND = "no_backend"
    HANDOVER_PENDING = "handover_pending"
    UNKNOWN_BINDING = "unknown_binding"
    PACKET_LIMIT = "packet_limit"
    REFUSED = "refused"
    UNKNOWN_FLOW = "unknown_flow"
    DEADLINE_PASSED = "deadline_passed"


class PacketError(Exception):
    """A packet is dropped; `reason` names the counter to increment."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(f"packet dropped: {reason.value}")
        self.reason = reason


@dataclass(frozen=True, slots=True)
class FlowTuple:
    """Addresses, protocol and ports of a packet, which identify its flow and direction.

    Addresses are 4 or 16 bytes. `ports` holds the source and destination port as on the wire.
    """

    source: bytes
    destination: bytes
    protocol: int
    ports: bytes

    def reversed(self) -> FlowTuple:
        """Return the tuple of the opposite direction."""
        ports = self.ports[2:] + self.ports[:2]
        return FlowTuple(self.destination, self.source, self.protocol, ports)

    @property
    def hash_input(self) -> bytes:
        """The input of the flow key's hash: source, destination, ports."""
        return self.source + self.destination + self.ports

    @property
    def destination_key(self) -> bytes:
        """Destination address, port and protocol: the key of the service a packet is sent to."""
        return self.destination + self.ports[2:] + bytes((self.protocol,))

    @property
    def source_key(self) -> bytes:
        """Source address, port and protocol: the key of the service that sent the packet."""
        return self.source + self.ports[:2] + bytes((self.protocol,))


@dataclass(frozen=True, slots=True)
class PacketView:
    """A parsed packet: its flow tuple, TCP flags (0 if not TCP) and payload size in bytes.

    `is_error` marks an ICMP error. Its tuple is that of the quoted packet, reversed: the direction
    in which the error travels.
    """

    flow: FlowTuple
    tcp_flags: int
    payload_size: int
    is_error: bool = False

    @property
    def opens_flow(self) -> bool:
        """Whether this is a TCP SYN without ACK."""
        return self.tcp_flags & (TCP_SYN | TCP_ACK) == TCP_SYN

    @property
    def closes_flow(self) -> bool:
        """Whether this is a TCP FIN or RST."""
        return bool(self.tcp_flags & (TCP_FIN | TCP_RST))


def parse_packet(data: bytes) -> PacketView:
    """Check and parse one IP packet; raises PacketError with the reason to drop it."""
    if not data:
        raise PacketError(DropReason.TRUNCATED)
    version = data[0] >> 4
    if version == 4:
        return _parse_ipv4(data)
    if version == 6:
        return _parse_ipv6(data)
    raise PacketError(DropReason.MALFORMED)


def _parse_ipv4(data: bytes) -> PacketView:
    if len(data) < IPV4_HEADER_SIZE:
        raise PacketError(DropReason.TRUNCATED)
    version_and_ihl, total_length, fragment, hop_limit, protocol = _IPV4_HEADER.unpack_from(data)
    if version_and_ihl != 0x45:
        raise PacketError(DropReason.OPTIONS if version_and_ihl & 15 > 5 else DropReason.MALFORMED)
    if total_length != len(data):
        raise PacketError(
            DropReason.TRUNCATED if total_length > len(data) else DropReason.MALFORMED
        )
    if fragment & IPV4_FRAGMENT_MASK:
        raise PacketError(DropReason.FRAGMENT)
    if hop_limit == 0:
        raise PacketError(DropReason.HOP_LIMIT)
    if protocol == PROTOCOL_ICMP:
        return _parse_icmp_error(data, IPV4_HEADER_SIZE, 4)
    return _parse_transport(data, data[12:16], data[16:20], protocol, IPV4_HEADER_SIZE)


def _parse_ipv6(data: bytes) -> PacketView:
    if len(data) < IPV6_HEADER_SIZE:
        raise PacketError(DropReason.TRUNCATED)
    _, payload_length, next_header, hop_limit = _IPV6_HEADER.unpack_from(data)
    total_length = payload_length + IPV6_HEADER_SIZE
    if total_length != len(data):
        raise PacketError(
            DropReason.TRUNCATED if total_length > len(data) else DropReason.MALFORMED
        )
    if hop_limit == 0:
        raise PacketError(DropReason.HOP_LIMIT)
    if next_header == PROTOCOL_ICMPV6:
        return _parse_icmp_error(data, IPV6_HEADER_SIZE, 6)
    return _parse_transport(data, data[8:24], data[24:40], next_header, IPV6_HEADER_SIZE)


def _parse_transport(
    data: bytes, source: bytes, destination: bytes, protocol: int, offset: int
) -> PacketView:
    if protocol == PROTOCOL_TCP:
        if len(data) < offset + TCP_HEADER_SIZE:
            raise PacketError(DropReason.TRUNCATED)
        flags = data[offset + TCP_FLAGS_OFFSET]
        header_size = (data[offset + 12] >> 4) * 4
        if header_size < TCP_HEADER_SIZE or offset + header_size > len(data):
            raise PacketError(DropReason.MALFORMED)
    elif protocol == PROTOCOL_UDP:
        if len(data) < offset + UDP_HEADER_SIZE:
            raise PacketError(DropReason.TRUNCATED)
        flags, header_size = 0, UDP_HEADER_SIZE
    else:
        raise PacketError(DropReason.PROTOCOL)
    flow = FlowTuple(source, destination, protocol, data[offset : offset + PORTS_SIZE])
    return PacketView(flow, flags, len(data) - offset - header_size)


def _parse_icmp_error(data: bytes, offset: int, version: int) -> PacketView:
    """Parse an ICMP error into the flow of the quoted packet, in the error's direction."""
    if len(data) < offset + ICMP_HEADER_SIZE:
        raise PacketError(DropReason.TRUNCATED)
    icmp_type = data[offset]
    is_error = (
        icmp_type in ICMP_ERROR_TYPES if version == 4 else icmp_type <= ICMPV6_LAST_ERROR_TYPE
    )
    if not is_error:
        raise PacketError(DropReason.PROTOCOL)
    quoted_flow = _quoted_flow(data[offset + ICMP_HEADER_SIZE :], version)
    return PacketView(quoted_flow.reversed(), 0, 0, is_error=True)


def _quoted_flow(quoted: bytes, version: int) -> FlowTuple:
    header_size = IPV4_HEADER_SIZE if version == 4 else IPV6_HEADER_SIZE
    if len(quoted) < header_size + PORTS_SIZE:
        raise PacketError(DropReason.TRUNCATED)
    if quoted[0] >> 4 != version:
        raise PacketError(DropReason.MALFORMED)
    if version == 4:
        if quoted[0] != 0x45:
            raise PacketError(DropReason.OPTIONS)
        source, destination, protocol = quoted[12:16], quoted[16:20], quoted[9]
    else:
        source, destination, protocol = quoted[8:24], quoted[24:40], quoted[6]
    if protocol not in {PROTOCOL_TCP, PROTOCOL_UDP}:
        raise PacketError(DropReason.PROTOCOL)
    return FlowTuple(source, destination, protocol, quoted[header_size : header_size + PORTS_SIZE])


def with_hop_limit_decremented(data: bytes, maximum: int = MAXIMUM_HOP_LIMIT) -> bytes:
    """Return the packet with its hop limit (IPv4: TTL) reduced by at least 1.

    The new hop limit is at most `maximum`, which bounds relaying among nodes. Raises PacketError if
    it would be 0. The IPv4 header checksum is updated incrementally (RFC 1624, equation 3).
    """
    offset = IPV6_HOP_LIMIT_OFFSET if data[0] >> 4 == 6 else IPV4_TTL_OFFSET
    before = data[offset]
    if before <= 1:
        raise PacketError(DropReason.HOP_LIMIT)
    after = min(before - 1, maximum)
    packet = bytearray(data)
    packet[offset] = after
    if offset == IPV4_TTL_OFFSET:
        _update_ipv4_checksum(packet, before << 8, after << 8)
    return bytes(packet)


def _update_ipv4_checksum(packet: bytearray, before: int, after: int) -> None:
    """Update the header checksum for one changed 16-bit word (RFC 1624, equation 3)."""
    end = IPV4_CHECKSUM_OFFSET + 2
    checksum = int.from_bytes(packet[IPV4_CHECKSUM_OFFSET:end], "big")
    total = (~checksum & 0xFFFF) + (~before & 0xFFFF) + after
    total = (total & 0xFFFF) + (total >> 16)
    total = (total & 0xFFFF) + (total >> 16)
    packet[IPV4_CHECKSUM_OFFSET:end] = (~total & 0xFFFF).to_bytes(2, "big")
