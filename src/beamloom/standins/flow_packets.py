"""The platform's packets as the two ends of a flow write and read them; for stand-ins and tools."""

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

LARGEST_DATA = 1200
_FLAG_NAMES = ((FLAG_SYN, "SYN"), (FLAG_ACK, "ACK"), (FLAG_FIN, "FIN"), (FLAG_RST, "RST"))


@dataclass(frozen=True, slots=True)
class FlowEnd:
    """Address (4 bytes) and port of one end of a flow."""

    address: bytes
    port: int

    def __str__(self) -> str:
        return f"{'.'.join(str(byte) for byte in self.address)}:{self.port}"


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """One packet. `checksum` covers all but `echo`; a reset made on the way carries 0."""

    source: FlowEnd
    destination: FlowEnd
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: int = 0

    @property
    def is_intact(self) -> bool:
        """Whether the packet is as its sender wrote it."""
        return self.checksum == self.expected_checksum()

    def expected_checksum(self) -> int:
        """Return the stand-ins' sum; the platform's own is keyed, and the key is not told."""
        return zlib.crc32(self._encode(echo=0, checksum=0)) or 1

    def encode(self, *, signed: bool = True) -> bytes:
        """Return the datagram; unsigned ones carry `checksum` as it is."""
        checksum = self.expected_checksum() if signed else self.checksum
        return self._encode(self.echo, checksum)

    def _encode(self, echo: int, checksum: int) -> bytes:
        head = HEAD.pack(
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
        return head + self.data

    def describe(self) -> str:
        """Return the packet as a person reads it."""
        flags = "+".join(name for flag, name in _FLAG_NAMES if self.flags & flag) or "none"
        return (
            f"{self.source} > {self.destination} {flags} seq {self.sequence} "
            f"ack {self.acknowledged} echo {self.echo:08x} data {len(self.data)} bytes"
        )


def decode_packet(datagram: bytes) -> FlowPacket | None:
    """Read a datagram; None where it is shorter than it says."""
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
    """Read a datagram to an endpoint: the identity that is meant, and the packet."""
    if len(datagram) < IDENTITY.size:
        return None
    packet = decode_packet(datagram[IDENTITY.size :])
    return None if packet is None else (int(IDENTITY.unpack_from(datagram)[0]), packet)
