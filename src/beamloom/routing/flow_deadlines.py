"""Deadlines of the flows at their home, with each client's newest TCP packet.

Resets are built from that packet when the deadline passes. See docs/design/requests.md.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.routing.deadlines import DeadlineCapacityError, DeadlineWheel
from beamloom.routing.packet import IPV4_HEADER_SIZE, IPV6_HEADER_SIZE, TCP_FIN, TCP_SYN, PacketView

MAXIMUM_FLOWS = 1 << 20
SEQUENCE_OFFSET = 4
SEQUENCE_SIZE = 4
SEQUENCE_MODULUS = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31


@dataclass(slots=True)
class FlowDeadline:
    """When a home added a flow's entry, and the newest TCP packet of the flow's client.

    Only the headers of that packet are kept; `sequence_end` is the sequence number that follows it.
    """

    began: float
    headers: bytes = b""
    payload_size: int = 0
    sequence_end: int | None = None

    @property
    def newest_packet(self) -> bytes:
        """The newest packet, with its payload zeroed; empty if there was none."""
        return self.headers + bytes(self.payload_size)

    def record_packet(self, data: bytes, view: PacketView) -> None:
        """Keep a packet of the client unless its sequence number is older (RFC 9293, 3.4)."""
        end = _sequence_end(data, view)
        newest_end = self.sequence_end
        if newest_end is not None and (end - newest_end) % SEQUENCE_MODULUS >= HALF_SEQUENCE_SPACE:
            return
        self.headers = data[: len(data) - view.payload_size]
        self.payload_size = view.payload_size
        self.sequence_end = end


class FlowDeadlines:
    """Deadlines of at most `capacity` flows that this node is the home of.

    Further flows get no deadline; `rejected` counts them.
    """

    def __init__(self, capacity: int = MAXIMUM_FLOWS) -> None:
        self._wheel = DeadlineWheel(capacity)
        self._flows: dict[int, FlowDeadline] = {}
        self.rejected = 0

    def __len__(self) -> int:
        """Return the number of flows that have a deadline."""
        return len(self._flows)

    def get(self, key: int) -> FlowDeadline | None:
        """Return a flow's record, or None if the flow has no deadline."""
        return self._flows.get(key)

    def set(self, key: int, flow: FlowDeadline, at: float) -> bool:
        """Set a flow's deadline; returns False if the capacity is reached."""
        try:
            self._wheel.schedule(key, at)
        except DeadlineCapacityError:
            self._flows.pop(key, None)
            self.rejected += 1
            return False
        self._flows[key] = flow
        return True

    def take(self, key: int) -> FlowDeadline | None:
        """Remove a flow's deadline and return its record, if it had one."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._wheel.cancel(key)
        return flow

    def due(self, now: float) -> list[tuple[int, FlowDeadline]]:
        """Remove and return the flows whose deadline has passed."""
        return [(key, self._flows.pop(key)) for key in self._wheel.due(now)]


def _sequence_end(data: bytes, view: PacketView) -> int:
    header = IPV6_HEADER_SIZE if data[0] >> 4 == 6 else IPV4_HEADER_SIZE
    start = header + SEQUENCE_OFFSET
    sequence = int.from_bytes(data[start : start + SEQUENCE_SIZE], "big")
    control_flags = bool(view.tcp_flags & TCP_SYN) + bool(view.tcp_flags & TCP_FIN)
    return (sequence + view.payload_size + control_flags) % SEQUENCE_MODULUS
