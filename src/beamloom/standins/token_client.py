"""A test client of the platform, without I/O: one flow with several requests.

It resends its opening packet after 0.2 and 0.6 s, abandons the attempt after 1.4 s, echoes the last
token that it received, and resends unanswered requests with exponential backoff.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from beamloom.platform.packet_layout import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from beamloom.standins.flow_packets import FlowEnd, FlowPacket

OPENING_RETRY_SECONDS = (0.2, 0.6)
OPENING_TIMEOUT_SECONDS = 1.4
INITIAL_RETRY_SECONDS = 0.2
MAXIMUM_RETRY_SECONDS = 1.6


class FlowState(Enum):
    """State of a flow; REFUSED is a reset during the opening, RESET a later one."""

    OPENING = "opening"
    WAITING = "waiting"
    PAUSED = "paused"
    DONE = "done"
    REFUSED = "refused"
    RESET = "reset"
    UNANSWERED = "unanswered"


END_STATES = frozenset({FlowState.DONE, FlowState.REFUSED, FlowState.RESET, FlowState.UNANSWERED})


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """The requests of a flow, each with a deadline, and the pause `pause_seconds` between them."""

    requests: int = 3
    pause_seconds: float = 1.0
    answer_size: int = 2000
    deadline_seconds: float = 4.0


class TokenClientFlow:
    """One flow of a client.

    `answers` lists the endpoint that answered each request. `mixed` describes packets with a wrong
    checksum or source, except resets, and answers to other requests.
    """

    def __init__(self, source: FlowEnd, service: FlowEnd, plan: FlowPlan, now: float) -> None:
        self.source = source
        self.service = service
        self.state = FlowState.OPENING
        self.started_at = now
        self.opened_at: float | None = None
        self.answers: list[str] = []
        self.mixed: list[str] = []
        self._plan = plan
        self._sequence = (source.port * 7919) & 0xFFFFFF
        self._expected_sequence = 0
        self._token = 0
        self._opening_packets_sent = 0
        self._body = b""
        self._retry_at = now
        self._retries = 0
        self._deadline = now + OPENING_TIMEOUT_SECONDS
        self._paused_until = 0.0

    @property
    def ended(self) -> bool:
        """Whether the flow is done, refused, reset or unanswered."""
        return self.state in END_STATES

    def advance(self, now: float) -> list[FlowPacket]:
        """Return the packets that are due."""
        if self.state is FlowState.OPENING:
            return self._advance_opening(now)
        if self.state is FlowState.PAUSED and now >= self._paused_until:
            return self._send_request(now)
        if self.state is FlowState.WAITING:
            return self._advance_waiting(now)
        return []

    def handle(self, packet: FlowPacket, now: float) -> list[FlowPacket]:
        """Process a packet and return the packets to send in response."""
        if self.ended:
            return []
        if packet.flags & FLAG_RST:
            return self._handle_reset(packet)
        if not packet.has_valid_checksum or packet.source != self.service:
            self.mixed.append("a packet with a wrong checksum or source")
            return []
        self._token = packet.echo
        if packet.flags & FLAG_SYN:
            return self._handle_opening_answer(packet, now)
        if not packet.data or self.state is FlowState.OPENING:
            return []
        return self._handle_data(packet, now)

    def _advance_opening(self, now: float) -> list[FlowPacket]:
        if now >= self._deadline:
            self.state = FlowState.UNANSWERED
            return []
        if now < self._retry_at:
            return []
        packet = FlowPacket(
            self.source,
            self.service,
            FLAG_SYN,
            self._sequence,
            acknowledged=self._opening_packets_sent,
        )
        retry_offset = (
            OPENING_RETRY_SECONDS[self._opening_packets_sent]
            if self._opening_packets_sent < len(OPENING_RETRY_SECONDS)
            else OPENING_TIMEOUT_SECONDS
        )
        self._retry_at = self.started_at + retry_offset
        self._opening_packets_sent += 1
        return [packet]

    def _handle_opening_answer(self, packet: FlowPacket, now: float) -> list[FlowPacket]:
        if self.state is not FlowState.OPENING:
            return []
        self._sequence += 1
        self._expected_sequence = packet.sequence
        self.opened_at = now
        return self._send_request(now)

    def _send_request(self, now: float) -> list[FlowPacket]:
        self.state = FlowState.WAITING
        self._body = b""
        self._retries = 0
        self._retry_at = now + INITIAL_RETRY_SECONDS
        self._deadline = now + self._plan.deadline_seconds
        return [self._request_packet()]

    def _request_packet(self) -> FlowPacket:
        data = f"GET {self._request_id()} {self._plan.answer_size} ".encode()
        return self._packet(FLAG_ACK, data)

    def _request_id(self) -> str:
        return f"{self.source}/{len(self.answers)}"

    def _advance_waiting(self, now: float) -> list[FlowPacket]:
        if now >= self._deadline:
            self.state = FlowState.UNANSWERED
            return [self._packet(FLAG_FIN)]
        if now < self._retry_at:
            return []
        self._retries += 1
        delay = min(MAXIMUM_RETRY_SECONDS, INITIAL_RETRY_SECONDS * 2**self._retries)
        self._retry_at = now + delay
        return [self._request_packet()]

    def _handle_data(self, packet: FlowPacket, now: float) -> list[FlowPacket]:
        if packet.sequence == self._expected_sequence and self.state is FlowState.WAITING:
            self._expected_sequence += len(packet.data)
            self._body += packet.data
            if len(self._body) >= self._plan.answer_size:
                self._finish_request(now)
        return [self._packet(FLAG_FIN if self.ended else FLAG_ACK)]

    def _finish_request(self, now: float) -> None:
        fields = self._body.split(None, 2)
        if fields[0].decode() != self._request_id():
            self.mixed.append(f"answer to {fields[0].decode()} received for {self._request_id()}")
        self._sequence += len(self._request_packet().data)
        self.answers.append(fields[1].decode())
        if len(self.answers) >= self._plan.requests:
            self.state = FlowState.DONE
            return
        self.state = FlowState.PAUSED
        self._paused_until = now + self._plan.pause_seconds

    def _handle_reset(self, packet: FlowPacket) -> list[FlowPacket]:
        is_opening = self.state is FlowState.OPENING
        self.state = FlowState.REFUSED if is_opening else FlowState.RESET
        return []

    def _packet(self, flags: int, data: bytes = b"") -> FlowPacket:
        return FlowPacket(
            self.source,
            self.service,
            flags,
            self._sequence,
            self._expected_sequence,
            self._token,
            data,
        )
