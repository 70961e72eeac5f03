"""Base classes of client flows, without I/O: each flow records its own outcome.

`start`, `receive`, `poll` and `cancel` take the time `now` in seconds and return the packets to
send. `next_timer` returns when to call `poll`. `outcome` is set when the flow ends.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import StrEnum

from beamloom.model.addresses import SocketAddress, VirtualAddress
from beamloom.standins.application import (
    Answer,
    ApplicationError,
    FrameDecoder,
    decode_answer,
)
from beamloom.standins.packets import IcmpError, Packet
from beamloom.standins.tcp_connection import ConnectionState, TcpConnection, TcpOptions

RETRY_AFTER_PREFIX = "retry-after="
LINGER_SECONDS = 5.0


class Outcome(StrEnum):
    """Result of a flow as its client observed it.

    ANSWERED: the complete, correct answer arrived, or a stream closed with all updates answered.
    REFUSED: no request ran. RESET, TIMED_OUT: one may have run. CANCELLED: ended by the client.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class FlowTruth:
    """What the client observed of one flow; times are in seconds on the caller's clock.

    `broken` is set if an established TCP flow was reset or timed out, or a UDP flow timed out after
    a part of its answer.
    """

    flow_id: str
    started_at: float = 0.0
    established_at: float | None = None
    ended_at: float | None = None
    outcome: Outcome | None = None
    detail: str = ""
    broken: bool = False
    retry_after: float | None = None
    backends: list[str] = field(default_factory=list)
    updates_sent: int = 0
    updates_answered: int = 0
    updates_refused: int = 0
    pushes: int = 0
    latencies: list[float] = field(default_factory=list)

    @property
    def latency(self) -> float | None:
        """Seconds from the start to the end of the flow."""
        return None if self.ended_at is None else self.ended_at - self.started_at


class ClientFlow(ABC):
    """Interface and common state of all kinds of flow."""

    def __init__(self, flow_id: str, local: SocketAddress, service: VirtualAddress) -> None:
        self.local = local
        self.remote = SocketAddress(service.ip, service.port)
        self.protocol = service.protocol
        self.truth = FlowTruth(flow_id)

    @property
    def outcome(self) -> Outcome | None:
        """Result of the flow, or None until it has ended."""
        return self.truth.outcome

    @abstractmethod
    def start(self, now: float) -> list[bytes]:
        """Start the flow."""

    @abstractmethod
    def receive(self, packet: Packet | IcmpError, now: float) -> list[bytes]:
        """Process a packet for this flow."""

    @abstractmethod
    def poll(self, now: float) -> list[bytes]:
        """Perform the actions that are due."""

    @abstractmethod
    def next_timer(self) -> float | None:
        """Return the time of the next call to `poll`, or None."""

    @abstractmethod
    def cancel(self, now: float) -> list[bytes]:
        """Cancel the flow."""

    def _is_unreachable_error(self, error: IcmpError) -> bool:
        quoted_flow = (error.quoted_source, error.quoted_destination, error.quoted_protocol)
        return error.is_unreachable and quoted_flow == (self.local, self.remote, self.protocol)

    def _note_backend(self, backend_id: str) -> None:
        if backend_id not in self.truth.backends:
            self.truth.backends.append(backend_id)

    def _end(self, outcome: Outcome, detail: str, now: float) -> None:
        if self.truth.outcome is None:
            self.truth.outcome = outcome
            self.truth.detail = detail
            self.truth.ended_at = now


class TcpFlow(ClientFlow):
    """A flow over TCP; subclasses implement the requests and the handling of answers."""

    def __init__(
        self,
        flow_id: str,
        local: SocketAddress,
        service: VirtualAddress,
        tcp: TcpOptions,
        rng: random.Random,
    ) -> None:
        super().__init__(flow_id, local, service)
        self._connection = TcpConnection(local, self.remote, rng.getrandbits(32), tcp)
        self._frames = FrameDecoder()

    @property
    def connection_state(self) -> ConnectionState:
        """State of the TCP connection, which may still be closing when the flow has ended."""
        return self._connection.state

    def start(self, now: float) -> list[bytes]:
        """Start the connection and queue the first request."""
        self.truth.started_at = now
        self._connection.connect(now)
        self._send_first(now)
        return self._connection.take_packets()

    def receive(self, packet: Packet | IcmpError, now: float) -> list[bytes]:
        """Process a segment of this connection or an ICMP error about it."""
        if isinstance(packet, IcmpError):
            self._receive_icmp_error(packet, now)
        else:
            self._connection.receive(packet, now)
        self._process_connection(now)
        return self._connection.take_packets()

    def poll(self, now: float) -> list[bytes]:
        """Retransmit, perform due actions, and abort a connection that closes for too long."""
        self._connection.poll(now)
        self._process_connection(now)
        if self.outcome is None:
            self._run_due_actions(now)
        elif now >= self._linger_until():
            self._connection.abort()
        return self._connection.take_packets()

    def next_timer(self) -> float | None:
        """Return the time of the next call to `poll`, or None."""
        times = [self._connection.next_timer()]
        if self.outcome is None:
            times.append(self._next_action_time())
        elif not self._connection.ended:
            times.append(self._linger_until())
        return min((time for time in times if time is not None), default=None)

    def cancel(self, now: float) -> list[bytes]:
        """Cancel the flow and send an RST, so that the backend releases its resources."""
        self._end(Outcome.CANCELLED, "cancelled by the client", now)
        self._connection.abort()
        return self._connection.take_packets()

    @abstractmethod
    def _send_first(self, now: float) -> None:
        """Queue the first request."""

    @abstractmethod
    def _handle_answer(self, answer: Answer, now: float) -> None:
        """Process one message from the backend."""

    @abstractmethod
    def _run_due_actions(self, now: float) -> None:
        """Perform the flow's own actions that are due."""

    @abstractmethod
    def _next_action_time(self) -> float | None:
        """Return the time of the flow's next own action, or None."""

    def _linger_until(self) -> float:
        return (self.truth.ended_at or 0.0) + LINGER_SECONDS

    def _receive_icmp_error(self, error: IcmpError, now: float) -> None:
        if self._is_unreachable_error(error) and not self._connection.ended:
            self._connection.discard()
            self._handle_reset("ICMP unreachable", now)

    def _process_connection(self, now: float) -> None:
        state = self._connection.state
        if state is ConnectionState.OPEN and self.truth.established_at is None:
            self.truth.established_at = now
        self._read_answers(now)
        if self.outcome is not None:
            return
        if state is ConnectionState.RESET:
            self._handle_reset("RST", now)
        elif state is ConnectionState.TIMED_OUT:
            self._end_timed_out("no acknowledgement", now)
        elif self._connection.remote_has_closed:
            self._end_reset("closed by the backend before the end", now)

    def _read_answers(self, now: float) -> None:
        try:
            for data in self._frames.feed(self._connection.take_data()):
                answer = decode_answer(data)
                self._note_backend(answer.backend_id)
                self._handle_answer(answer, now)
        except ApplicationError as error:
            self._end_reset(str(error), now)
            self._connection.abort()

    def _handle_reset(self, detail: str, now: float) -> None:
        text = self._connection.reset_reason
        if text.startswith(RETRY_AFTER_PREFIX):
            self.truth.retry_after = _parse_seconds(text.removeprefix(RETRY_AFTER_PREFIX))
        if self._connection.payload_sent:
            self._end_reset(detail, now)
        else:
            self._end(Outcome.REFUSED, f"{detail} before any payload", now)

    def _end_reset(self, detail: str, now: float) -> None:
        if self.outcome is None:
            self.truth.broken = self.truth.established_at is not None
            self._end(Outcome.RESET, detail, now)

    def _end_timed_out(self, detail: str, now: float) -> None:
        if self.outcome is None:
            self.truth.broken = self.truth.established_at is not None
            self._end(Outcome.TIMED_OUT, detail, now)


def _parse_seconds(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
