"""Many client flows without I/O, behind one pair of `receive` and `poll`."""

from __future__ import annotations

from collections.abc import Callable

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.standins.client_model import ClientFlow
from beamloom.standins.client_stream import StreamFlow
from beamloom.standins.packets import (
    RST,
    IcmpError,
    MalformedPacketError,
    Packet,
    build_packet,
    parse_packet,
)
from beamloom.standins.tcp_connection import reset_for
from beamloom.standins.timers import TimerHeap

FlowKey = tuple[SocketAddress, SocketAddress, TransportProtocol]


class ClientHost:
    """Gives packets to the flow that they belong to, and keeps the flows' timers.

    A flow is let go once it has an outcome and its connection has nothing left to send;
    `flow_ended` is called once, when the outcome is there.
    """

    def __init__(self, flow_ended: Callable[[ClientFlow], None] | None = None) -> None:
        self.malformed = 0
        self.stray_packets = 0
        self._flow_ended = flow_ended
        self._flows: dict[FlowKey, ClientFlow] = {}
        self._reported: set[FlowKey] = set()
        self._timers: TimerHeap[FlowKey] = TimerHeap()

    def __len__(self) -> int:
        """Return how many flows are held."""
        return len(self._flows)

    @property
    def flows(self) -> list[ClientFlow]:
        """The flows under way, and those that still close."""
        return list(self._flows.values())

    def start(self, flow: ClientFlow, now: float) -> list[bytes]:
        """Begin a flow; raises ValueError when its addresses are in use."""
        key = (flow.local, flow.remote, flow.protocol)
        if key in self._flows:
            raise ValueError(f"{flow.local} already has a flow to {flow.remote}; use another port")
        self._flows[key] = flow
        packets = flow.start(now)
        self._settle(key, flow)
        return packets

    def cancel(self, flow: ClientFlow, now: float) -> list[bytes]:
        """Give a flow up."""
        packets = flow.cancel(now)
        self._settle((flow.local, flow.remote, flow.protocol), flow)
        return packets

    def close(self, flow: StreamFlow, now: float) -> list[bytes]:
        """Close a stream as planned."""
        packets = flow.close(now)
        self._settle((flow.local, flow.remote, flow.protocol), flow)
        return packets

    def receive(self, data: bytes, now: float) -> list[bytes]:
        """Take a packet from the network."""
        try:
            packet = parse_packet(data)
        except MalformedPacketError:
            self.malformed += 1
            return []
        key = _key(packet)
        flow = self._flows.get(key)
        if flow is None:
            return self._answer_stray(packet)
        packets = flow.receive(packet, now)
        self._settle(key, flow)
        return packets

    def poll(self, now: float) -> list[bytes]:
        """Do whatever is due in any flow."""
        packets: list[bytes] = []
        for key in self._timers.pop_due(now):
            flow = self._flows[key]
            packets += flow.poll(now)
            self._settle(key, flow)
        return packets

    def next_timer(self) -> float | None:
        """When to call `poll`."""
        return self._timers.next_time()

    def _settle(self, key: FlowKey, flow: ClientFlow) -> None:
        timer = flow.next_timer()
        self._timers.arm(key, timer)
        if flow.outcome is None or key not in self._flows:
            return
        if key not in self._reported:
            self._reported.add(key)
            if self._flow_ended is not None:
                self._flow_ended(flow)
        if timer is None:
            del self._flows[key]
            self._reported.discard(key)

    def _answer_stray(self, packet: Packet | IcmpError) -> list[bytes]:
        """Answer a segment of a flow that is gone with RST, as a host without it would."""
        self.stray_packets += 1
        if isinstance(packet, IcmpError) or packet.protocol is TransportProtocol.UDP:
            return []
        return [] if packet.has(RST) else [build_packet(reset_for(packet))]


def _key(packet: Packet | IcmpError) -> FlowKey:
    if isinstance(packet, IcmpError):
        return packet.quoted_source, packet.quoted_destination, packet.quoted_protocol
    return packet.destination, packet.source, packet.protocol
