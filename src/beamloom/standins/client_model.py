"""Clients without I/O: one object per flow, which knows truly what became of it.

Call `start`, `receive`, `poll` and `cancel` with a time `now` in seconds; each returns the packets
to send. `next_timer` says when to call `poll`. A flow that has ended has an `outcome`.
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
    """What a client knows at the end of a flow.

    REFUSED: truly not run. RESET and TIMED_OUT: unknown. ANSWERED: the whole right answer came, or
    a stream was closed as planned. CANCELLED: the client itself gave it up.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class FlowTruth:
    """What a flow saw, for the oracle; times are in seconds on the caller's clock."""

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
    """What every kind of flow has in common."""

    def __init__(self, flow_id: str, local: SocketAddress, service: VirtualAddress) -> None:
        self.local = local
        self.remote = SocketAddress(service.ip, service.port)
        self.protocol = service.protocol
        self.truth = FlowTruth(flow_id)

    @property
    def outcome(self) -> Outcome | None:
        """What became of the flow, or None while it is under way."""
        return self.truth.outcome

    @abstractmethod
    def start(self, now: float) -> list[bytes]:
        """Open the flow."""

    @abstractmethod
    def receive(self, packet: Packet | IcmpError, now: float) -> list[bytes]:
        """Take a packet addressed to this flow."""

    @abstractmethod
    def poll(self, now: float) -> list[bytes]:
        """Do whatever is due."""

    @abstractmethod
    def next_timer(self) -> float | None:
        """When to call `poll`."""

    @abstractmethod
    def cancel(self, now: float) -> list[bytes]:
        """Give the flow up."""

    def _quotes_this_flow(self, error: IcmpError) -> bool:
        ends = (error.quoted_source, error.quoted_destination, error.quoted_protocol)
        return error.is_unreachable and ends == (self.local, self.remote, self.protocol)

    def _note_backend(self, backend_id: str) -> None:
        if backend_id not in self.truth.backends:
            self.truth.backends.append(backend_id)

    def _conclude(self, outcome: Outcome, detail: str, now: float) -> None:
        if self.truth.outcome is None:
            self.truth.outcome = outcome
            self.truth.detail = detail
            self.truth.ended_at = now


class TcpFlow(ClientFlow):
    """A flow over TCP; subclasses say what to send and what to do with answers."""

    def __init__(
        self,
        flow_id: str,
        local: SocketAddress,
        service: VirtualAddress,
        tcp: TcpOptions,
        chance: random.Random,
    ) -> None:
        super().__init__(flow_id, local, service)
        self._connection = TcpConnection(local, self.remote, chance.getrandbits(32), tcp)
        self._frames = FrameDecoder()

    @property
    def connection_state(self) -> ConnectionState:
        """Where the connection stands, which may outlive the outcome by its closing."""
        return self._connection.state

    def start(self, now: float) -> list[bytes]:
        """Open the flow: send the SYN."""
        self.truth.started_at = now
        self._connection.connect(now)
        self._begin(now)
        return self._connection.take_packets()

    def receive(self, packet: Packet | IcmpError, now: float) -> list[bytes]:
        """Take a segment of this connection, or an ICMP error about it."""
        if isinstance(packet, IcmpError):
            self._receive_error(packet, now)
        else:
            self._connection.receive(packet, now)
        self._advance(now)
        return self._connection.take_packets()

    def poll(self, now: float) -> list[bytes]:
        """Send again what is due, and do what the application has due."""
        self._connection.poll(now)
        self._advance(now)
        if self.outcome is None:
            self._do_due(now)
        elif now >= self._linger_until():
            self._connection.abort()
        return self._connection.take_packets()

    def next_timer(self) -> float | None:
        """When to call `poll`."""
        times = [self._connection.next_timer()]
        if self.outcome is None:
            times.append(self._next_due())
        elif not self._connection.ended:
            times.append(self._linger_until())
        return min((time for time in times if time is not None), default=None)

    def cancel(self, now: float) -> list[bytes]:
        """Give the flow up: send RST, by which the backend frees what it holds."""
        self._conclude(Outcome.CANCELLED, "cancelled by the client", now)
        self._connection.abort()
        return self._connection.take_packets()

    @abstractmethod
    def _begin(self, now: float) -> None:
        """Queue what is to be sent first."""

    @abstractmethod
    def _take_answer(self, answer: Answer, now: float) -> None:
        """Take one message from the backend."""

    @abstractmethod
    def _do_due(self, now: float) -> None:
        """Do what the application has due."""

    @abstractmethod
    def _next_due(self) -> float | None:
        """When the application has something due."""

    def _linger_until(self) -> float:
        return (self.truth.ended_at or 0.0) + LINGER_SECONDS

    def _receive_error(self, error: IcmpError, now: float) -> None:
        if self._quotes_this_flow(error) and not self._connection.ended:
            self._connection.discard()
            self._conclude_reset("ICMP unreachable", now)

    def _advance(self, now: float) -> None:
        state = self._connection.state
        if state is ConnectionState.OPEN and self.truth.established_at is None:
            self.truth.established_at = now
        self._read(now)
        if self.outcome is not None:
            return
        if state is ConnectionState.RESET:
            self._conclude_reset("RST", now)
        elif state is ConnectionState.TIMED_OUT:
            self._conclude_silence("no acknowledgement", now)
        elif self._connection.remote_finished:
            self._conclude_cut("closed by the backend before the end", now)

    def _read(self, now: float) -> None:
        try:
            for data in self._frames.feed(self._connection.take_data()):
                answer = decode_answer(data)
                self._note_backend(answer.backend_id)
                self._take_answer(answer, now)
        except ApplicationError as error:
            self._conclude_cut(str(error), now)
            self._connection.abort()

    def _conclude_reset(self, detail: str, now: float) -> None:
        text = self._connection.reset_reason
        if text.startswith(RETRY_AFTER_PREFIX):
            self.truth.retry_after = _seconds(text.removeprefix(RETRY_AFTER_PREFIX))
        if self._connection.payload_sent:
            self._conclude_cut(detail, now)
        else:
            self._conclude(Outcome.REFUSED, f"{detail} before any payload", now)

    def _conclude_cut(self, detail: str, now: float) -> None:
        if self.outcome is None:
            self.truth.broken = self.truth.established_at is not None
            self._conclude(Outcome.RESET, detail, now)

    def _conclude_silence(self, detail: str, now: float) -> None:
        if self.outcome is None:
            self.truth.broken = self.truth.established_at is not None
            self._conclude(Outcome.TIMED_OUT, detail, now)


def _seconds(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
