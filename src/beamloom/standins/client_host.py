"""Dispatches packets and timers to many client flows, without I/O."""

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
from beamloom.standins.tcp_connection import build_reset
from beamloom.standins.timers import TimerHeap

FlowKey = tuple[SocketAddress, SocketAddress, TransportProtocol]


class ClientHost:
    """Passes each packet to its flow, and polls flows when their timers are due.

    `flow_ended` is called once for each flow, as soon as it has an outcome. The flow is removed
    when it also has no timer left, that is when its connection has ended.
    """

    def __init__(self, flow_ended: Callable[[ClientFlow], None] | None = None) -> None:
        self.malformed_packets = 0
        self.unmatched_packets = 0
        self._flow_ended = flow_ended
        self._flows: dict[FlowKey, ClientFlow] = {}
        self._reported: set[FlowKey] = set()
        self._timers: TimerHeap[FlowKey] = TimerHeap()

    def __len__(self) -> int:
        """Return the number of flows that are open or closing."""
        return len(self._flows)

    @property
    def flows(self) -> list[ClientFlow]:
        """The flows that are open or closing."""
        return list(self._flows.values())

    def start(self, flow: ClientFlow, now: float) -> list[bytes]:
        """Start a flow; raises ValueError if a flow with its addresses exists."""
        key = (flow.local, flow.remote, flow.protocol)
        if key in self._flows:
            raise ValueError(f"{flow.local} already has a flow to {flow.remote}; use another port")
        self._flows[key] = flow
        packets = flow.start(now)
        self._update_flow(key, flow)
        return packets

    def cancel(self, flow: ClientFlow, now: float) -> list[bytes]:
        """Cancel a flow."""
        packets = flow.cancel(now)
        self._update_flow((flow.local, flow.remote, flow.protocol), flow)
        return packets

    def close_stream(self, flow: StreamFlow, now: float) -> list[bytes]:
        """Stop a stream's updates, and close it once all of them are answered."""
        packets = flow.close(now)
        self._update_flow((flow.local, flow.remote, flow.protocol), flow)
        return packets

    def receive(self, data: bytes, now: float) -> list[bytes]:
        """Process a packet from the network."""
        try:
            packet = parse_packet(data)
        except MalformedPacketError:
            self.malformed_packets += 1
            return []
        key = _flow_key(packet)
        flow = self._flows.get(key)
        if flow is None:
            return self._handle_unmatched(packet)
        packets = flow.receive(packet, now)
        self._update_flow(key, flow)
        return packets

    def poll(self, now: float) -> list[bytes]:
        """Poll the flows whose timers are due."""
        packets: list[bytes] = []
        for key in self._timers.pop_due(now):
            flow = self._flows[key]
            packets += flow.poll(now)
            self._update_flow(key, flow)
        return packets

    def next_timer(self) -> float | None:
        """Return the time of the next call to `poll`, or None."""
        return self._timers.next_time()

    def _update_flow(self, key: FlowKey, flow: ClientFlow) -> None:
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

    def _handle_unmatched(self, packet: Packet | IcmpError) -> list[bytes]:
        """Count a packet that belongs to no flow; answer a TCP segment, unless RST, with RST."""
        self.unmatched_packets += 1
        if isinstance(packet, IcmpError) or packet.protocol is TransportProtocol.UDP:
            return []
        return [] if packet.has(RST) else [build_packet(build_reset(packet))]


def _flow_key(packet: Packet | IcmpError) -> FlowKey:
    if isinstance(packet, IcmpError):
        return packet.quoted_source, packet.quoted_destination, packet.quoted_protocol
    return packet.destination, packet.source, packet.protocol
