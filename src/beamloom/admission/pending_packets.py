"""First packets that are kept until their backend answers, for a retry at another backend."""

from __future__ import annotations

MAXIMUM_PACKET_BYTES = 1500


class PendingPackets:
    """First packets by flow key, at most `capacity_bytes` together.

    A packet that does not fit is not kept: its flow then has no retry, which is safe.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity = capacity_bytes
        self._packets: dict[int, bytes] = {}
        self.held_bytes = 0
        self.not_held = 0

    def hold(self, flow_key: int, packet: bytes) -> bool:
        """Keep a copy of a first packet; False when it does not fit."""
        self.release(flow_key)
        if len(packet) > MAXIMUM_PACKET_BYTES or self.held_bytes + len(packet) > self._capacity:
            self.not_held += 1
            return False
        self._packets[flow_key] = bytes(packet)
        self.held_bytes += len(packet)
        return True

    def release(self, flow_key: int) -> bytes | None:
        """Remove and return the packet of a flow, None when none is kept."""
        packet = self._packets.pop(flow_key, None)
        if packet is not None:
            self.held_bytes -= len(packet)
        return packet
