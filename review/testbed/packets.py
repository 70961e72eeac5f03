"""Packets of the platform: a head of 34 bytes, then the data."""

from __future__ import annotations

import hashlib
import struct
from typing import NamedTuple

HEAD = struct.Struct("!4sH4sHIIHIIB3s")
"""dst, sport, src, dport, seq, ack, len, echo, sum, flags, pad."""
IDENTITY_BYTES = 8
SYN, RST, FIN, ACK = 2, 4, 8, 32
BOUNCED = 128
MAXIMUM_DATA_BYTES = 1200
RESET_WINDOW = 76_800
"""A reset of an open flow counts if its `seq` is within this of the client's last `ack`."""
SEQUENCE_LIMIT = 1 << 32
_SUM_KEY = b"the key is known to clients and endpoints only"


class FlowKey(NamedTuple):
    """The two ends of a flow: the client's address and port, and the route's."""

    client: str
    client_port: int
    route: str
    route_port: int


class Packet(NamedTuple):
    """One packet; `src` and `sport` are the sender's end."""

    src: str
    sport: int
    dst: str
    dport: int
    seq: int
    ack: int
    echo: int
    flags: int
    data: bytes = b""

    @property
    def from_client(self) -> FlowKey:
        """The flow of a packet that a client sent."""
        return FlowKey(self.src, self.sport, self.dst, self.dport)

    @property
    def from_endpoint(self) -> FlowKey:
        """The flow of a packet that an endpoint, or the system in its place, sent."""
        return FlowKey(self.dst, self.dport, self.src, self.sport)


def encode(packet: Packet) -> bytes:
    """Return a packet with its sum."""
    return _encode(packet, _sum(packet))


def decode(datagram: bytes) -> tuple[Packet, int] | None:
    """Return a packet and its sum; None if the datagram is no packet."""
    if len(datagram) < HEAD.size:
        return None
    dst, sport, src, dport, seq, ack, length, echo, sent_sum, flags, _ = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size :]
    if len(data) != length:
        return None
    return Packet(_text(src), sport, _text(dst), dport, seq, ack, echo, flags, data), sent_sum


def is_as_sent(packet: Packet, sent_sum: int) -> bool:
    """Whether a packet is as its sender wrote it."""
    return _sum(packet) == sent_sum


def distance(one: int, other: int) -> int:
    """Return how far two sequence numbers lie apart."""
    return min((one - other) % SEQUENCE_LIMIT, (other - one) % SEQUENCE_LIMIT)


def _sum(packet: Packet) -> int:
    plain = _encode(packet._replace(echo=0, flags=packet.flags & ~BOUNCED), 0)
    digest = hashlib.blake2s(plain, key=_SUM_KEY[:32], digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1


def _encode(packet: Packet, sent_sum: int) -> bytes:
    head = HEAD.pack(
        _address(packet.dst),
        packet.sport,
        _address(packet.src),
        packet.dport,
        packet.seq % SEQUENCE_LIMIT,
        packet.ack % SEQUENCE_LIMIT,
        len(packet.data),
        packet.echo,
        sent_sum,
        packet.flags,
        bytes(3),
    )
    return head + packet.data


def _address(text: str) -> bytes:
    return bytes(int(octet) for octet in text.split("."))


def _text(address: bytes) -> str:
    return ".".join(str(octet) for octet in address)
