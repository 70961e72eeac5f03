"""Sans-I/O stand-in for an endpoint of the platform: forwarded packets in, packets to clients out.

It answers a request (one packet that starts with `GET ID SIZE`) with SIZE bytes that start with
`ID NAME`, retransmits unacknowledged packets, the answer to an opening among them, and resets
packets of flows that it does not hold. Times are in seconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from beamloom.platform.packet_layout import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from beamloom.standins.flow_packets import MAXIMUM_DATA_SIZE, FlowEnd, FlowPacket

INITIAL_RETRANSMIT_SECONDS = 0.2
MAXIMUM_RETRANSMIT_SECONDS = 1.6
MAXIMUM_RETRANSMITS = 8
FlowKey = tuple[FlowEnd, FlowEnd]


@dataclass(slots=True)
class _Flow:
    """One flow: sequence numbers of both directions and packets without an acknowledgement."""

    opened: bool
    next_sequence: int
    expected: int
    echo: int
    unacknowledged: list[FlowPacket] = field(default_factory=list)
    retransmit_at: float = 0.0
    retransmits: int = 0
    last_answer: dict[str, list[FlowPacket]] = field(default_factory=dict)


class TokenEndpoint:
    """One incarnation of an endpoint.

    `requests` counts executions by request id, `faults` unexpected packets by reason; `openings`
    lists the time and flow of each completed handshake.
    """

    def __init__(self, name: str, identity: int, work_seconds: float = 0.02) -> None:
        self.name = name
        self.identity = identity
        self.requests: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.openings: list[tuple[float, FlowKey]] = []
        self.draining = False
        self._work_seconds = work_seconds
        self._flows: dict[FlowKey, _Flow] = {}
        self._in_progress: list[tuple[float, FlowKey, str, int]] = []
        self._first_sequence = (identity * 2_654_435_761) & 0xFFFF_FFFF

    def __len__(self) -> int:
        return sum(flow.opened for flow in self._flows.values())

    def holds(self, client: FlowEnd) -> bool:
        """Whether this client address and port has an open flow."""
        return any(key[0] == client and flow.opened for key, flow in self._flows.items())

    def handle(self, identity: int, packet: FlowPacket, now: float) -> list[FlowPacket]:
        """Process a forwarded packet and return the packets to send to the client.

        `identity` is the incarnation the packet is meant for; 0 stands for any.
        """
        fault = self._fault(identity, packet)
        if fault is not None:
            self.faults[fault] += 1
            return []
        key = (packet.source, packet.destination)
        if packet.flags & FLAG_SYN:
            return self._open(key, packet, now)
        flow = self._flows.get(key)
        if flow is None or not _holds(flow, packet):
            self.faults["unknown_flow"] += 1
            return [self._reset(key)]
        return self._continue(key, flow, packet, now)

    def _fault(self, identity: int, packet: FlowPacket) -> str | None:
        if identity not in (0, self.identity):
            return "other_incarnation"
        return None if packet.has_valid_checksum else "altered"

    def _continue(
        self, key: FlowKey, flow: _Flow, packet: FlowPacket, now: float
    ) -> list[FlowPacket]:
        flow.echo = packet.echo
        if packet.flags & FLAG_RST:
            del self._flows[key]
            return []
        self._remove_acknowledged(flow, packet)
        if packet.flags & FLAG_FIN:
            del self._flows[key]
            return [self._packet(key, flow, FLAG_ACK | FLAG_FIN)]
        if not flow.opened:
            flow.opened = True
            flow.unacknowledged = []
            flow.retransmits = 0
            self.openings.append((now, key))
        return self._take_data(key, flow, packet, now) if packet.data else []

    def advance(self, now: float) -> list[FlowPacket]:
        """Return the packets of finished requests and due retransmissions."""
        packets: list[FlowPacket] = []
        due = [item for item in self._in_progress if item[0] <= now]
        self._in_progress = [item for item in self._in_progress if item[0] > now]
        for _, key, request_id, size in due:
            flow = self._flows.get(key)
            if flow is not None:
                packets += self._answer(key, flow, request_id, size, now)
        for key, flow in list(self._flows.items()):
            packets += self._retransmit(key, flow, now)
        return packets

    def _open(self, key: FlowKey, packet: FlowPacket, now: float) -> list[FlowPacket]:
        flow = self._flows.get(key)
        if flow is None:
            sequence = (self._first_sequence + packet.sequence) & 0xFFFF_FFFF
            flow = _Flow(False, sequence, packet.sequence + 1, packet.echo)
            flow.retransmit_at = now + INITIAL_RETRANSMIT_SECONDS
            self._flows[key] = flow
        elif flow.opened:
            return []
        flow.echo = packet.echo
        flow.unacknowledged = [self._packet(key, flow, FLAG_SYN | FLAG_ACK)]
        return list(flow.unacknowledged)

    def _take_data(
        self, key: FlowKey, flow: _Flow, packet: FlowPacket, now: float
    ) -> list[FlowPacket]:
        if packet.sequence < flow.expected:
            return [*flow.unacknowledged, self._packet(key, flow, FLAG_ACK)]
        flow.expected = packet.sequence + len(packet.data)
        _, encoded_id, size = packet.data.split(None, 3)[:3]
        request_id = encoded_id.decode()
        self.requests[request_id] += 1
        self._in_progress.append((now + self._work_seconds, key, request_id, int(size)))
        return [self._packet(key, flow, FLAG_ACK)]

    def _answer(
        self, key: FlowKey, flow: _Flow, request_id: str, size: int, now: float
    ) -> list[FlowPacket]:
        head = f"{request_id} {self.name} ".encode()
        body = head + b"." * max(0, size - len(head))
        for start in range(0, len(body), MAXIMUM_DATA_SIZE):
            data = body[start : start + MAXIMUM_DATA_SIZE]
            flow.unacknowledged.append(self._packet(key, flow, FLAG_ACK, data))
            flow.next_sequence += len(data)
        flow.retransmits = 0
        flow.retransmit_at = now + INITIAL_RETRANSMIT_SECONDS
        return list(flow.unacknowledged)

    def _retransmit(self, key: FlowKey, flow: _Flow, now: float) -> list[FlowPacket]:
        if not flow.unacknowledged or now < flow.retransmit_at:
            return []
        flow.retransmits += 1
        if flow.retransmits > MAXIMUM_RETRANSMITS:
            del self._flows[key]
            return []
        delay = min(MAXIMUM_RETRANSMIT_SECONDS, INITIAL_RETRANSMIT_SECONDS * 2**flow.retransmits)
        flow.retransmit_at = now + delay
        return list(flow.unacknowledged)

    def _remove_acknowledged(self, flow: _Flow, packet: FlowPacket) -> None:
        if not flow.opened:
            return
        flow.unacknowledged = [
            sent
            for sent in flow.unacknowledged
            if sent.sequence + len(sent.data) > packet.acknowledged
        ]

    def _packet(self, key: FlowKey, flow: _Flow, flags: int, data: bytes = b"") -> FlowPacket:
        client, service = key
        return FlowPacket(
            service, client, flags, flow.next_sequence, flow.expected, flow.echo, data
        )

    def _reset(self, key: FlowKey) -> FlowPacket:
        client, service = key
        return FlowPacket(service, client, FLAG_RST)


def _holds(flow: _Flow, packet: FlowPacket) -> bool:
    """Whether a packet is of a flow: one that opens it acknowledges this endpoint's answer."""
    return flow.opened or packet.acknowledged == flow.next_sequence
