"""Buffers of packets: SYNs kept for a retry, and packets waiting for a partition's handover."""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.model.machines import NodeId

MAXIMUM_OPENING_PACKETS = 2048
MAXIMUM_OPENING_BYTES = 1 << 18
MAXIMUM_HANDOVER_PACKETS = 64
MAXIMUM_HANDOVER_BYTES = 1 << 16


class OpeningPacketBuffer:
    """SYNs of recent flows whose client has sent nothing else; the oldest are dropped first."""

    def __init__(self) -> None:
        self._packets: dict[int, bytes] = {}
        self._bytes = 0

    def keep(self, key: int, packet: bytes) -> None:
        """Keep a flow's opening packet; an empty one marks a flow that was retried already."""
        self.take(key)
        self._packets[key] = packet
        self._bytes += len(packet)
        while len(self._packets) > MAXIMUM_OPENING_PACKETS or self._bytes > MAXIMUM_OPENING_BYTES:
            self.take(next(iter(self._packets)))

    def take(self, key: int) -> bytes | None:
        """Remove and return a flow's opening packet, if it is still kept."""
        packet = self._packets.pop(key, None)
        if packet is not None:
            self._bytes -= len(packet)
        return packet


@dataclass(frozen=True, slots=True)
class BufferedPacket:
    """A packet that a frozen owner relayed before its HANDOVER arrived."""

    data: bytes
    relay: NodeId


@dataclass(slots=True)
class HandoverBuffer:
    """Packets waiting for the HANDOVER of their partition, bounded in number and bytes."""

    _packets: dict[int, list[BufferedPacket]] = field(default_factory=dict)
    _count: int = 0
    _bytes: int = 0

    def hold(self, partition: int, data: bytes, relay: NodeId) -> bool:
        """Buffer a packet; returns False if the buffer is full."""
        if (
            self._count >= MAXIMUM_HANDOVER_PACKETS
            or self._bytes + len(data) > MAXIMUM_HANDOVER_BYTES
        ):
            return False
        self._packets.setdefault(partition, []).append(BufferedPacket(data, relay))
        self._count += 1
        self._bytes += len(data)
        return True

    def release(self, partition: int) -> list[BufferedPacket]:
        """Remove and return the packets of one partition."""
        packets = self._packets.pop(partition, [])
        self._count -= len(packets)
        self._bytes -= sum(len(packet.data) for packet in packets)
        return packets
