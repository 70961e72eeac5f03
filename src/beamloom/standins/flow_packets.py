"""Encodes and decodes the platform's packets as the two endpoints of a flow do."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from beamloom.platform.packet_layout import (
    FLAG_ACK,
    FLAG_FIN,
    FLAG_RST,
    FLAG_SYN,
    HEAD,
    IDENTITY,
)

MAXIMUM_DATA_SIZE = 1200
_FLAG_NAMES = ((FLAG_SYN, "SYN"), (FLAG_ACK, "ACK"), (FLAG_FIN, "FIN"), (FLAG_RST, "RST"))


@dataclass(frozen=True, slots=True)
class FlowEnd:
    """Address (4 bytes) and port of one endpoint of a flow."""

    address: bytes
    port: int

    def __str__(self) -> str:
        return f"{'.'.join(str(byte) for byte in self.address)}:{self.port}"


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """A packet of a flow; `checksum` covers every field but `echo`.

    A reset written by a balancer instead of an endpoint has the checksum 0.
    """

    source: FlowEnd
    destination: FlowEnd
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: int = 0

    @property
    def has_valid_checksum(self) -> bool:
        """Whether `checksum` matches the packet."""
        return self.checksum == self.expected_checksum()

    def expected_checksum(self) -> int:
        """Return a CRC-32 in place of the platform's checksum, whose key is not available."""
        return zlib.crc32(self._encode(echo=0, checksum=0)) or 1

    def encode(self, *, signed: bool = True) -> bytes:
        """Return the datagram, with the expected checksum or, unless `signed`, with `checksum`."""
        checksum = self.expected_checksum() if signed else self.checksum
        return self._encode(self.echo, checksum)

    def _encode(self, echo: int, checksum: int) -> bytes:
        header = HEAD.pack(
            self.destination.address,
            self.source.port,
            self.source.address,
            self.destination.port,
            self.sequence,
            self.acknowledged,
            len(self.data),
            echo,
            checksum,
            self.flags,
            bytes(3),
        )
        return header + self.data

    def describe(self) -> str:
        """Return a readable summary of the packet."""
        flags = "+".join(name for flag, name in _FLAG_NAMES if self.flags & flag) or "none"
        return (
            f"{self.source} > {self.destination} {flags} seq {self.sequence} "
            f"ack {self.acknowledged} echo {self.echo:08x} data {len(self.data)} bytes"
        )


def decode_packet(datagram: bytes) -> FlowPacket | None:
    """Decode a datagram; None if its size is not the one stated in its header."""
    if len(datagram) < HEAD.size:
        return None
    (
        destination,
        source_port,
        source,
        destination_port,
        sequence,
        acknowledged,
        length,
        echo,
        checksum,
        flags,
        _padding,
    ) = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size :]
    if len(data) != length:
        return None
    return FlowPacket(
        FlowEnd(source, source_port),
        FlowEnd(destination, destination_port),
        flags,
        sequence,
        acknowledged,
        echo,
        data,
        checksum,
    )


def decode_forwarded(datagram: bytes) -> tuple[int, FlowPacket] | None:
    """Decode a datagram sent to an endpoint into the endpoint's identity and the packet.

    Returns None if the datagram is too short or the packet is malformed.
    """
    if len(datagram) < IDENTITY.size:
        return None
    packet = decode_packet(datagram[IDENTITY.size :])
    return None if packet is None else (int(IDENTITY.unpack_from(datagram)[0]), packet)
