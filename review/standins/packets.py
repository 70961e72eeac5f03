"""Packets of flows: the head of 34 bytes from PROTOCOL.md, and a keyed sum of this run's own."""

from __future__ import annotations

import hashlib
import os
import socket
import struct
from typing import NamedTuple

HEAD = struct.Struct("!4sH4sHIIHIIB3s")
IDENTITY = struct.Struct("!Q")
SYN, RST, FIN, ACK, BOUNCED = 2, 4, 8, 32, 128
MAXIMUM_DATA_BYTES = 1200
NUMBERS = 1 << 32

_SUM_KEY = os.urandom(16)


class Packet(NamedTuple):
    """One packet; `src` and `dst` are addresses and ports of the two ends."""

    src: tuple[str, int]
    dst: tuple[str, int]
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    sum: int = 0

    def encode(self) -> bytes:
        """Return the datagram with the sum of its sender."""
        return _pack(self, self.echo, _sum_of(self))

    @property
    def is_as_written(self) -> bool:
        """Whether the sum is that of the packet's sender."""
        return self.sum == _sum_of(self)


def decode(data: bytes) -> Packet | None:
    """Return the packet of a datagram, or None if its length is not that of its head."""
    if len(data) < HEAD.size:
        return None
    dst, sport, src, dport, seq, ack, length, echo, total, flags, _ = HEAD.unpack_from(data)
    if len(data) != HEAD.size + length:
        return None
    ends = (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport)
    return Packet(*ends, flags, seq, ack, echo, data[HEAD.size :], total)


def _sum_of(packet: Packet) -> int:
    body = _pack(packet._replace(flags=packet.flags & ~BOUNCED), 0, 0)
    digest = hashlib.blake2b(body, key=_SUM_KEY, digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1


def _pack(packet: Packet, echo: int, total: int) -> bytes:
    head = HEAD.pack(
        socket.inet_aton(packet.dst[0]),
        packet.src[1],
        socket.inet_aton(packet.src[0]),
        packet.dst[1],
        packet.seq,
        packet.ack,
        len(packet.data),
        echo,
        total,
        packet.flags,
        bytes(3),
    )
    return head + packet.data
