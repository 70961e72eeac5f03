"""Builders and parsers of the IP packets that clients and backends exchange.

A packet is the whole payload of a UDP datagram (Generic UDP Encapsulation variant 1), which starts
with the inner IPv4 (RFC 791) or IPv6 (RFC 8200) header. For the throughput of the load tool, TCP
(RFC 9293) and UDP (RFC 768) are built with `struct`, and parsed with it if they have no options and
are in an unfragmented IPv4 packet. `dpkt` builds ICMP errors and parses all other packets.
"""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass
from functools import lru_cache

import dpkt
from dpkt import icmp, icmp6, ip, ip6, tcp, udp

from beamloom.model.addresses import SocketAddress, TransportProtocol

FIN = 0x01
SYN = 0x02
RST = 0x04
PSH = 0x08
ACK = 0x10

TIME_TO_LIVE = 64
RECEIVE_WINDOW = 65_535
IPV4_WITHOUT_OPTIONS = 0x45
FRAGMENT_MASK = 0x3FFF
IPV4_HEADER_SIZE = 20
IPV4_SOURCE = slice(12, 16)
IPV4_DESTINATION = slice(16, 20)
IPV6_HEADER_SIZE = 40
IPV6_SOURCE = slice(8, 24)
IPV6_DESTINATION = slice(24, 40)
TCP_HEADER_SIZE = 20
TCP_CHECKSUM_OFFSET = 16
UDP_CHECKSUM_OFFSET = 6
UDP_HEADER_SIZE = 8
ICMP_HEADER_SIZE = 8
MAXIMUM_QUOTED_BYTES = 548
ICMP_UNREACHABLE = 3
ICMP_CODE_HOST = 1
ICMP_CODE_PORT = 3
ICMP6_UNREACHABLE = 1
ICMP6_CODE_ADDRESS = 3
ICMP6_CODE_PORT = 4

_IPV4 = struct.Struct("!BBHHHBBH4s4s")
_IPV6 = struct.Struct("!IHBB16s16s")
_TCP = struct.Struct("!HHIIBBHHH")
_UDP = struct.Struct("!HHHH")
_PSEUDO_HEADER_TAIL = struct.Struct("!II")


class MalformedPacketError(ValueError):
    """The bytes are not a complete IPv4 or IPv6 packet with TCP, UDP or an ICMP error."""


@dataclass(frozen=True, slots=True)
class Packet:
    """A TCP segment or UDP datagram; `sequence` and `acknowledgement` are modulo 2**32."""

    source: SocketAddress
    destination: SocketAddress
    protocol: TransportProtocol
    payload: bytes = b""
    flags: int = 0
    sequence: int = 0
    acknowledgement: int = 0
    time_to_live: int = TIME_TO_LIVE

    def has(self, flag: int) -> bool:
        """Whether a TCP flag is set."""
        return bool(self.flags & flag)

    @property
    def sequence_length(self) -> int:
        """Number of sequence numbers used: the payload size, plus one each for SYN and FIN."""
        return len(self.payload) + self.has(SYN) + self.has(FIN)


@dataclass(frozen=True, slots=True)
class IcmpError:
    """An ICMP (RFC 792) or ICMPv6 (RFC 4443) message and the addresses of the quoted packet."""

    reporter: str
    receiver: str
    message_type: int
    code: int
    quoted_source: SocketAddress
    quoted_destination: SocketAddress
    quoted_protocol: TransportProtocol

    @property
    def is_unreachable(self) -> bool:
        """Whether the type of the message is Destination Unreachable."""
        return self.message_type == (
            ICMP6_UNREACHABLE if ":" in self.receiver else ICMP_UNREACHABLE
        )


@lru_cache(maxsize=65_536)
def pack_address(address: str) -> bytes:
    """Return an IP address as 4 or 16 bytes in network order."""
    return ipaddress.ip_address(address).packed


@lru_cache(maxsize=65_536)
def unpack_address(packed: bytes) -> str:
    """Return the text form of an IP address in network order."""
    return str(ipaddress.ip_address(packed))


def destination_ip(data: bytes) -> str:
    """Return the inner destination address; raises MalformedPacketError without an IP header."""
    return _read_address(data, IPV4_DESTINATION, IPV6_DESTINATION)


def source_ip(data: bytes) -> str:
    """Return the inner source address; raises MalformedPacketError without an IP header."""
    return _read_address(data, IPV4_SOURCE, IPV6_SOURCE)


def _read_address(data: bytes, ipv4_field: slice, ipv6_field: slice) -> str:
    """Return the address at the slice for the header's IP version."""
    version = data[0] >> 4 if data else 0
    if version == 4 and len(data) >= IPV4_HEADER_SIZE:
        return unpack_address(data[ipv4_field])
    if version == 6 and len(data) >= IPV6_HEADER_SIZE:
        return unpack_address(data[ipv6_field])
    raise MalformedPacketError("no IP header; send complete IPv4 or IPv6 packets")


def build_packet(packet: Packet) -> bytes:
    """Return the bytes of a TCP segment or UDP datagram with correct checksums."""
    source, destination = pack_address(packet.source.host), pack_address(packet.destination.host)
    length = len(packet.payload)
    if packet.protocol is TransportProtocol.TCP:
        length += TCP_HEADER_SIZE
        checksum_offset = TCP_CHECKSUM_OFFSET
        content = _tcp_header(packet) + packet.payload
    else:
        length += UDP_HEADER_SIZE
        checksum_offset = UDP_CHECKSUM_OFFSET
        content = _UDP.pack(packet.source.port, packet.destination.port, length, 0) + packet.payload
    pseudo_header = source + destination + _PSEUDO_HEADER_TAIL.pack(length, packet.protocol)
    checksum = internet_checksum(pseudo_header + content).to_bytes(2, "big")
    content = content[:checksum_offset] + checksum + content[checksum_offset + 2 :]
    return _ip_header(packet, source, destination, length) + content


def internet_checksum(data: bytes) -> int:
    """Return the Internet checksum (RFC 1071), computed as a remainder modulo 65,535.

    A checksum of zero is returned as 65,535, its equivalent, as UDP requires (RFC 768).
    """
    padded = data + b"\0" if len(data) % 2 else data
    return 0xFFFF - int.from_bytes(padded, "big") % 0xFFFF


def _tcp_header(packet: Packet) -> bytes:
    return _TCP.pack(
        packet.source.port,
        packet.destination.port,
        packet.sequence,
        packet.acknowledgement,
        (TCP_HEADER_SIZE // 4) << 4,
        packet.flags,
        RECEIVE_WINDOW,
        0,
        0,
    )


def _ip_header(packet: Packet, source: bytes, destination: bytes, length: int) -> bytes:
    if len(source) == 16:
        return _IPV6.pack(
            6 << 28, length, packet.protocol, packet.time_to_live, source, destination
        )
    header = _IPV4.pack(
        IPV4_WITHOUT_OPTIONS,
        0,
        IPV4_HEADER_SIZE + length,
        0,
        0,
        packet.time_to_live,
        packet.protocol,
        0,
        source,
        destination,
    )
    return header[:10] + internet_checksum(header).to_bytes(2, "big") + header[12:]


def build_unreachable(offending: bytes, reporter: str, *, port_closed: bool = True) -> bytes:
    """Return the ICMP or ICMPv6 Destination Unreachable message for the packet `offending`."""
    quoted = offending[:MAXIMUM_QUOTED_BYTES]
    destination = pack_address(source_ip(offending))
    if len(destination) == 4:
        code = ICMP_CODE_PORT if port_closed else ICMP_CODE_HOST
        message = icmp.ICMP(type=ICMP_UNREACHABLE, code=code, data=bytes(4) + quoted)
        header = ip.IP(
            src=pack_address(reporter), dst=destination, p=1, ttl=TIME_TO_LIVE, data=message
        )
        return bytes(header)
    code = ICMP6_CODE_PORT if port_closed else ICMP6_CODE_ADDRESS
    message = icmp6.ICMP6(type=ICMP6_UNREACHABLE, code=code, data=bytes(4) + quoted)
    header = ip6.IP6(
        src=pack_address(reporter),
        dst=destination,
        nxt=58,
        hlim=TIME_TO_LIVE,
        plen=ICMP_HEADER_SIZE + len(quoted),
        data=message,
    )
    return bytes(header)


def parse_packet(data: bytes) -> Packet | IcmpError:
    """Parse a packet; raises MalformedPacketError.

    TCP and UDP without options in an unfragmented IPv4 packet are read at fixed offsets, for speed.
    """
    if len(data) >= IPV4_HEADER_SIZE + UDP_HEADER_SIZE and data[0] == IPV4_WITHOUT_OPTIONS:
        packet = _parse_plain_ipv4(data)
        if packet is not None:
            return packet
    return parse_with_dpkt(data)


def parse_with_dpkt(data: bytes) -> Packet | IcmpError:
    """Parse a packet with `dpkt`; raises MalformedPacketError."""
    try:
        header = _parse_header(data)
        content = header.data
        if isinstance(content, tcp.TCP | udp.UDP):
            return _make_packet(header, content)
        if isinstance(content, icmp.ICMP | icmp6.ICMP6):
            return _make_icmp_error(header, bytes(content))
    except (dpkt.UnpackError, IndexError, ValueError) as error:
        raise MalformedPacketError(f"{error}; send complete packets") from error
    raise MalformedPacketError("neither TCP, UDP nor ICMP; send one of these")


def _parse_plain_ipv4(data: bytes) -> Packet | None:
    """Parse TCP or UDP without options in an unfragmented IPv4 packet; None for any other."""
    _, _, length, _, fragment, time_to_live, protocol, _, source, destination = _IPV4.unpack_from(
        data
    )
    if length != len(data) or fragment & FRAGMENT_MASK:
        return None
    if protocol == TransportProtocol.UDP:
        source_port, destination_port, datagram_length, _ = _UDP.unpack_from(data, IPV4_HEADER_SIZE)
        if datagram_length != length - IPV4_HEADER_SIZE:
            return None
        return Packet(
            SocketAddress(unpack_address(source), source_port),
            SocketAddress(unpack_address(destination), destination_port),
            TransportProtocol.UDP,
            data[IPV4_HEADER_SIZE + UDP_HEADER_SIZE :],
            time_to_live=time_to_live,
        )
    if protocol != TransportProtocol.TCP or length < IPV4_HEADER_SIZE + TCP_HEADER_SIZE:
        return None
    source_port, destination_port, sequence, acknowledgement, offset, flags, _, _, _ = (
        _TCP.unpack_from(data, IPV4_HEADER_SIZE)
    )
    if offset >> 4 != TCP_HEADER_SIZE // 4:
        return None
    return Packet(
        SocketAddress(unpack_address(source), source_port),
        SocketAddress(unpack_address(destination), destination_port),
        TransportProtocol.TCP,
        data[IPV4_HEADER_SIZE + TCP_HEADER_SIZE :],
        flags,
        sequence,
        acknowledgement,
        time_to_live,
    )


def _parse_header(data: bytes) -> ip.IP | ip6.IP6:
    version = data[0] >> 4
    if version == 4:
        header = ip.IP(data)
        if header.len != len(data):
            raise MalformedPacketError("IPv4 length differs from the datagram's; truncated packet?")
        return header
    header = ip6.IP6(data)
    if version != 6 or header.plen + IPV6_HEADER_SIZE != len(data):
        raise MalformedPacketError("not an IPv6 packet of the stated length; truncated packet?")
    return header


def _time_to_live(header: ip.IP | ip6.IP6) -> int:
    return int(header.ttl if isinstance(header, ip.IP) else header.hlim)


def _make_packet(header: ip.IP | ip6.IP6, content: tcp.TCP | udp.UDP) -> Packet:
    source = SocketAddress(unpack_address(header.src), content.sport)
    destination = SocketAddress(unpack_address(header.dst), content.dport)
    time_to_live = _time_to_live(header)
    payload = bytes(content.data)
    if isinstance(content, udp.UDP):
        return Packet(
            source, destination, TransportProtocol.UDP, payload, time_to_live=time_to_live
        )
    return Packet(
        source,
        destination,
        TransportProtocol.TCP,
        payload,
        content.flags,
        content.seq,
        content.ack,
        time_to_live,
    )


def _make_icmp_error(header: ip.IP | ip6.IP6, message: bytes) -> IcmpError:
    quoted = message[ICMP_HEADER_SIZE:]
    header_size = (quoted[0] & 15) * 4 if quoted[0] >> 4 == 4 else IPV6_HEADER_SIZE
    protocol = quoted[9] if quoted[0] >> 4 == 4 else quoted[6]
    ports = quoted[header_size : header_size + 4]
    if len(ports) < 4:
        raise MalformedPacketError("the packet quoted in the ICMP error has no ports")
    return IcmpError(
        unpack_address(header.src),
        unpack_address(header.dst),
        message[0],
        message[1],
        SocketAddress(source_ip(quoted), int.from_bytes(ports[:2], "big")),
        SocketAddress(destination_ip(quoted), int.from_bytes(ports[2:], "big")),
        TransportProtocol(protocol),
    )
