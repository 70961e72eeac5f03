"""A client of the platform for trials, without I/O: one flow with several requests.

It sends copies of its opening packet after 0.2 and 0.6 s, gives the attempt up after 1.4 s, echoes
the last token that it got, and repeats what is not answered. Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from beamloom.platform.packet_layout import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN
from beamloom.standins.flow_packets import FlowEnd, FlowPacket

COPY_SECONDS = (0.2, 0.6)
OPENING_SECONDS = 1.4
FIRST_REPEAT_SECONDS = 0.2
LONGEST_REPEAT_SECONDS = 1.6


class FlowState(Enum):
    """How far a flow is."""

    OPENING = "opening"
    WAITING = "waiting"
    RESTING = "resting"
    DONE = "done"
    REFUSED = "refused"
    RESET = "reset"
    UNANSWERED = "unanswered"


ENDED = frozenset({FlowState.DONE, FlowState.REFUSED, FlowState.RESET, FlowState.UNANSWERED})


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """What a client does: so many requests, `rest_seconds` between them, each with a deadline."""

    requests: int = 3
    rest_seconds: float = 1.0
    answer_bytes: int = 2000
    deadline_seconds: float = 4.0


class TokenClientFlow:
    """One flow of one client. `answers` holds for each request the endpoint that answered it."""

    def __init__(self, source: FlowEnd, service: FlowEnd, plan: FlowPlan, now: float) -> None:
        self.source = source
        self.service = service
        self.state = FlowState.OPENING
        self.began_at = now
        self.opened_at: float | None = None
        self.answers: list[str] = []
        self.mixed: list[str] = []
        self._plan = plan
        self._sequence = (source.port * 7919) & 0xFFFFFF
        self._expected = 0
        self._echo = 0
        self._copies = 0
        self._body = b""
        self._repeat_at = now
        self._repeats = 0
        self._deadline = now + OPENING_SECONDS
        self._rest_until = 0.0

    @property
    def ended(self) -> bool:
        """Whether nothing more will be sent."""
        return self.state in ENDED

    def advance(self, now: float) -> list[FlowPacket]:
        """Return what is to be sent now."""
        if self.state is FlowState.OPENING:
            return self._advance_opening(now)
        if self.state is FlowState.RESTING and now >= self._rest_until:
            return self._ask(now)
        if self.state is FlowState.WAITING:
            return self._advance_waiting(now)
        return []

    def handle(self, packet: FlowPacket, now: float) -> list[FlowPacket]:
        """Take a packet; return what is to be sent at once."""
        if self.ended:
            return []
        if packet.flags & FLAG_RST:
            return self._take_reset(packet)
        if not packet.is_intact or packet.source != self.service:
            self.mixed.append("a packet that is not as its sender wrote it")
            return []
        self._echo = packet.echo
        if packet.flags & FLAG_SYN:
            return self._take_opening(packet, now)
        if not packet.data:
            return []
        return self._take_data(packet, now)

    def _advance_opening(self, now: float) -> list[FlowPacket]:
        if now >= self._deadline:
            self.state = FlowState.UNANSWERED
            return []
        if now < self._repeat_at:
            return []
        packet = FlowPacket(
            self.source, self.service, FLAG_SYN, self._sequence, acknowledged=self._copies
        )
        after = COPY_SECONDS[self._copies] if self._copies < len(COPY_SECONDS) else OPENING_SECONDS
        self._repeat_at = self.began_at + after
        self._copies += 1
        return [packet]

    def _take_opening(self, packet: FlowPacket, now: float) -> list[FlowPacket]:
        if self.state is not FlowState.OPENING:
            return []
        self._sequence += 1
        self._expected = packet.sequence
        self.opened_at = now
        return self._ask(now)

    def _ask(self, now: float) -> list[FlowPacket]:
        self.state = FlowState.WAITING
        self._body = b""
        self._repeats = 0
        self._repeat_at = now + FIRST_REPEAT_SECONDS
        self._deadline = now + self._plan.deadline_seconds
        return [self._request_packet()]

    def _request_packet(self) -> FlowPacket:
        data = f"GET {self._request_name()} {self._plan.answer_bytes} ".encode()
        return self._packet(FLAG_ACK, data)

    def _request_name(self) -> str:
        return f"{self.source}/{len(self.answers)}"

    def _advance_waiting(self, now: float) -> list[FlowPacket]:
        if now >= self._deadline:
            self.state = FlowState.UNANSWERED
            return [self._packet(FLAG_FIN)]
        if now < self._repeat_at:
            return []
        self._repeats += 1
        pause = min(LONGEST_REPEAT_SECONDS, FIRST_REPEAT_SECONDS * 2**self._repeats)
        self._repeat_at = now + pause
        return [self._request_packet()]

    def _take_data(self, packet: FlowPacket, now: float) -> list[FlowPacket]:
        if packet.sequence == self._expected and self.state is FlowState.WAITING:
            self._expected += len(packet.data)
            self._body += packet.data
            if len(self._body) >= self._plan.answer_bytes:
                self._finish_request(now)
        return [self._packet(FLAG_FIN if self.ended else FLAG_ACK)]

    def _finish_request(self, now: float) -> None:
        words = self._body.split(None, 2)
        if words[0].decode() != self._request_name():
            self.mixed.append(f"{words[0].decode()} answers {self._request_name()}")
        self._sequence += len(self._request_packet().data)
        self.answers.append(words[1].decode())
        if len(self.answers) >= self._plan.requests:
            self.state = FlowState.DONE
            return
        self.state = FlowState.RESTING
        self._rest_until = now + self._plan.rest_seconds

    def _take_reset(self, packet: FlowPacket) -> list[FlowPacket]:
        opening = self.state is FlowState.OPENING
        self.state = FlowState.REFUSED if opening else FlowState.RESET
        return []

    def _packet(self, flags: int, data: bytes = b"") -> FlowPacket:
        return FlowPacket(
            self.source, self.service, flags, self._sequence, self._expected, self._echo, data
        )
