"""An endpoint of the platform for trials, without I/O: packets in, packets to clients out.

It holds flows by the client's end, answers each request (one packet that begins with `GET ID SIZE`)
with SIZE bytes that begin with `ID NAME`, repeats what is not acknowledged, and resets flows that
it does not hold. Times are in seconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from beamloom.platform.packet_layout import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from beamloom.standins.flow_packets import MAXIMUM_DATA_SIZE, FlowEnd, FlowPacket

FIRST_REPEAT_SECONDS = 0.2
MAXIMUM_REPEAT_SECONDS = 1.6
MAXIMUM_REPEATS = 8
FlowName = tuple[FlowEnd, FlowEnd]


@dataclass(slots=True)
class _HeldFlow:
    """One flow: sequence numbers of both directions, and what the client has not acknowledged."""

    opened: bool
    next_sequence: int
    expected: int
    echo: int
    unacknowledged: list[FlowPacket] = field(default_factory=list)
    repeat_at: float = 0.0
    repeats: int = 0
    last_answer: dict[str, list[FlowPacket]] = field(default_factory=dict)


class TokenEndpoint:
    """One incarnation. `requests` counts how often each request id ran here."""

    def __init__(self, name: str, identity: int, work_seconds: float = 0.02) -> None:
        self.name = name
        self.identity = identity
        self.requests: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.openings: list[tuple[float, FlowName]] = []
        self.draining = False
        self._work_seconds = work_seconds
        self._flows: dict[FlowName, _HeldFlow] = {}
        self._working: list[tuple[float, FlowName, str, int]] = []
        self._first_sequence = (identity * 2_654_435_761) & 0xFFFF_FFFF

    def __len__(self) -> int:
        return sum(flow.opened for flow in self._flows.values())

    def holds(self, client: FlowEnd) -> bool:
        """Whether a flow of a client's end is open here."""
        return any(name[0] == client and flow.opened for name, flow in self._flows.items())

    def handle(self, identity: int, packet: FlowPacket, now: float) -> list[FlowPacket]:
        """Take a forwarded packet; return what goes to the client."""
        fault = self._fault(identity, packet)
        if fault is not None:
            self.faults[fault] += 1
            return []
        name = (packet.source, packet.destination)
        if packet.flags & FLAG_SYN:
            return self._open(name, packet, now)
        flow = self._flows.get(name)
        if flow is None:
            self.faults["unknown_flow"] += 1
            return [self._reset(name)]
        return self._continue(name, flow, packet, now)

    def _fault(self, identity: int, packet: FlowPacket) -> str | None:
        if identity not in (0, self.identity):
            return "other_incarnation"
        return None if packet.is_intact else "altered"

    def _continue(
        self, name: FlowName, flow: _HeldFlow, packet: FlowPacket, now: float
    ) -> list[FlowPacket]:
        flow.echo = packet.echo
        if packet.flags & FLAG_RST:
            del self._flows[name]
            return []
        self._note_acknowledged(flow, packet)
        if packet.flags & FLAG_FIN:
            del self._flows[name]
            return [self._packet(name, flow, FLAG_ACK | FLAG_FIN)]
        if not flow.opened:
            flow.opened = True
            self.openings.append((now, name))
        return self._take_data(name, flow, packet, now) if packet.data else []

    def advance(self, now: float) -> list[FlowPacket]:
        """Return answers that are ready and packets that are due again."""
        packets: list[FlowPacket] = []
        due = [work for work in self._working if work[0] <= now]
        self._working = [work for work in self._working if work[0] > now]
        for _, name, request, size in due:
            flow = self._flows.get(name)
            if flow is not None:
                packets += self._answer(name, flow, request, size, now)
        for name, flow in list(self._flows.items()):
            packets += self._repeat(name, flow, now)
        return packets

    def _open(self, name: FlowName, packet: FlowPacket, now: float) -> list[FlowPacket]:
        flow = self._flows.get(name)
        if flow is None:
            sequence = (self._first_sequence + packet.sequence) & 0xFFFF_FFFF
            flow = _HeldFlow(False, sequence, packet.sequence + 1, packet.echo)
            self._flows[name] = flow
        elif flow.opened:
            return []
        flow.echo = packet.echo
        return [self._packet(name, flow, FLAG_SYN | FLAG_ACK)]

    def _take_data(
        self, name: FlowName, flow: _HeldFlow, packet: FlowPacket, now: float
    ) -> list[FlowPacket]:
        if packet.sequence < flow.expected:
            return [*flow.unacknowledged, self._packet(name, flow, FLAG_ACK)]
        flow.expected = packet.sequence + len(packet.data)
        _, request, size = packet.data.split(None, 3)[:3]
        identifier = request.decode()
        self.requests[identifier] += 1
        self._working.append((now + self._work_seconds, name, identifier, int(size)))
        return [self._packet(name, flow, FLAG_ACK)]

    def _answer(
        self, name: FlowName, flow: _HeldFlow, request: str, size: int, now: float
    ) -> list[FlowPacket]:
        head = f"{request} {self.name} ".encode()
        body = head + b"." * max(0, size - len(head))
        for start in range(0, len(body), MAXIMUM_DATA_SIZE):
            data = body[start : start + MAXIMUM_DATA_SIZE]
            flow.unacknowledged.append(self._packet(name, flow, FLAG_ACK, data))
            flow.next_sequence += len(data)
        flow.repeats = 0
        flow.repeat_at = now + FIRST_REPEAT_SECONDS
        return list(flow.unacknowledged)

    def _repeat(self, name: FlowName, flow: _HeldFlow, now: float) -> list[FlowPacket]:
        if not flow.unacknowledged or now < flow.repeat_at:
            return []
        flow.repeats += 1
        if flow.repeats > MAXIMUM_REPEATS:
            del self._flows[name]
            return []
        pause = min(MAXIMUM_REPEAT_SECONDS, FIRST_REPEAT_SECONDS * 2**flow.repeats)
        flow.repeat_at = now + pause
        return list(flow.unacknowledged)

    def _note_acknowledged(self, flow: _HeldFlow, packet: FlowPacket) -> None:
        flow.unacknowledged = [
            sent
            for sent in flow.unacknowledged
            if sent.sequence + len(sent.data) > packet.acknowledged
        ]

    def _packet(self, name: FlowName, flow: _HeldFlow, flags: int, data: bytes = b"") -> FlowPacket:
        client, service = name
        return FlowPacket(
            service, client, flags, flow.next_sequence, flow.expected, flow.echo, data
        )

    def _reset(self, name: FlowName) -> FlowPacket:
        client, service = name
        return FlowPacket(service, client, FLAG_RST)
