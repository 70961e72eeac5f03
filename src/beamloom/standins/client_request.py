"""Client flows with a single request, over TCP or UDP."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.standins.application import (
    Answer,
    AnswerStatus,
    ApplicationError,
    Request,
    RequestKind,
    answer_body,
    decode_answer,
    encode_message,
    frame,
)
from beamloom.standins.client_model import ClientFlow, Outcome, TcpFlow
from beamloom.standins.packets import IcmpError, Packet, build_packet
from beamloom.standins.tcp_connection import TcpOptions


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Parameters of a request; `retry_interval` is for UDP only.

    `deadline` and `retry_interval` are in seconds, `deadline` from the start of the flow.
    """

    flow_id: str
    local: SocketAddress
    service: VirtualAddress
    request_id: str
    kind: RequestKind = RequestKind.DOCUMENT
    repeatable: bool = True
    deadline: float = 30.0
    size: int = 100
    retry_interval: float = 1.0
    tcp: TcpOptions = field(default_factory=TcpOptions)


class AnswerAssembler:
    """Assembles an answer from parts in any order.

    A part from another backend than the previous one discards the parts collected so far.
    """

    def __init__(self, request_id: str, size: int) -> None:
        self._request_id = request_id
        self._size = size
        self._backend_id = ""
        self._parts: dict[int, bytes] = {}

    def add(self, answer: Answer) -> bool:
        """Add a part; returns whether the answer is now complete and has the expected body."""
        if answer.backend_id != self._backend_id:
            self._backend_id = answer.backend_id
            self._parts.clear()
        self._parts[answer.part] = answer.body
        if len(self._parts) < answer.total:
            return False
        body = b"".join(self._parts[part] for part in sorted(self._parts))
        return body == answer_body(self._request_id, self._size)


class RequestFlow(TcpFlow):
    """One request over TCP."""

    def __init__(self, options: RequestOptions, rng: random.Random) -> None:
        super().__init__(options.flow_id, options.local, options.service, options.tcp, rng)
        self._options = options
        self._assembler = AnswerAssembler(options.request_id, options.size)
        self._deadline = 0.0

    def _send_first(self, now: float) -> None:
        self._deadline = now + self._options.deadline
        self._connection.send(frame(_build_request(self._options)), now)

    def _handle_answer(self, answer: Answer, now: float) -> None:
        if answer.request_id != self._options.request_id:
            return
        if answer.status in {AnswerStatus.SHED, AnswerStatus.REFUSED}:
            self._end(Outcome.REFUSED, answer.status.name.lower(), now)
        elif answer.status is AnswerStatus.RUN and self._assembler.add(answer):
            self._end(Outcome.ANSWERED, "", now)
        if self.outcome is not None:
            self._connection.close(now)

    def _run_due_actions(self, now: float) -> None:
        if now >= self._deadline:
            self._end_timed_out("deadline", now)
            self._connection.abort()

    def _next_action_time(self) -> float | None:
        return self._deadline


class UdpRequestFlow(ClientFlow):
    """One request over UDP, in a datagram that is resent until an answer or the deadline."""

    def __init__(self, options: RequestOptions, rng: random.Random) -> None:
        super().__init__(options.flow_id, options.local, options.service)
        self._options = options
        self._assembler = AnswerAssembler(options.request_id, options.size)
        self._deadline = 0.0
        self._next_attempt = 0.0
        self._retry_interval = options.retry_interval * rng.uniform(1.0, 1.1)

    def start(self, now: float) -> list[bytes]:
        """Send the request."""
        self.truth.started_at = now
        self._deadline = now + self._options.deadline
        return self._send_request(now)

    def receive(self, packet: Packet | IcmpError, now: float) -> list[bytes]:
        """Process a datagram or an ICMP error."""
        if self.outcome is not None:
            return []
        if isinstance(packet, IcmpError):
            if self._is_unreachable_error(packet):
                self._end(Outcome.RESET, "ICMP unreachable", now)
            return []
        try:
            self._handle_answer(decode_answer(packet.payload), now)
        except ApplicationError as error:
            self.truth.detail = str(error)
        return []

    def poll(self, now: float) -> list[bytes]:
        """Resend the request when it is due, and time out at the deadline."""
        if self.outcome is not None:
            return []
        if now >= self._deadline:
            self.truth.broken = bool(self.truth.backends)
            self._end(Outcome.TIMED_OUT, "deadline", now)
            return []
        return self._send_request(now) if now >= self._next_attempt else []

    def next_timer(self) -> float | None:
        """Return the time of the next call to `poll`, or None."""
        return None if self.outcome else min(self._deadline, self._next_attempt)

    def cancel(self, now: float) -> list[bytes]:
        """Cancel the request without informing the backend."""
        self._end(Outcome.CANCELLED, "cancelled by the client", now)
        return []

    def _send_request(self, now: float) -> list[bytes]:
        self._next_attempt = now + self._retry_interval
        payload = encode_message(_build_request(self._options))
        packet = Packet(self.local, self.remote, TransportProtocol.UDP, payload)
        return [build_packet(packet)]

    def _handle_answer(self, answer: Answer, now: float) -> None:
        if answer.request_id != self._options.request_id:
            return
        self._note_backend(answer.backend_id)
        if answer.status is AnswerStatus.RUN:
            if self._assembler.add(answer):
                self._end(Outcome.ANSWERED, "", now)
        elif answer.status in {AnswerStatus.SHED, AnswerStatus.REFUSED}:
            self._end(Outcome.REFUSED, answer.status.name.lower(), now)


def _build_request(options: RequestOptions) -> Request:
    deadline = int(options.deadline * 1000)
    return Request(options.request_id, options.kind, options.repeatable, deadline, options.size)
