"""One end of a small reliable TCP connection, without I/O.

After RFC 9293, simplified: a fixed send window, segments that keep their borders when sent again,
an acknowledgement for each second segment and at once for the last of a write. Retransmission backs
off exponentially from a fixed initial timeout (RFC 6298 without the estimate of the round-trip
time); three repeated acknowledgements bring it about early (RFC 5681), and partial ones carry it on
(RFC 6582). Resets are checked after RFC 5961.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.standins.packets import ACK, FIN, PSH, RST, SYN, Packet, build_packet

SEQUENCE_MODULUS = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31
REPEATED_ACKNOWLEDGEMENTS = 3


class ConnectionState(Enum):
    """Where a connection stands; `OPEN` covers every state after the handshake."""

    SYN_SENT = "syn-sent"
    SYN_RECEIVED = "syn-received"
    OPEN = "open"
    FINISHED = "finished"
    RESET = "reset"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class TcpOptions:
    """Tuning of a connection; times are in seconds, sizes in bytes."""

    initial_timeout: float = 1.0
    maximum_timeout: float = 60.0
    maximum_retransmissions: int = 6
    segment_size: int = 1_200
    window_segments: int = 32


@dataclass(slots=True)
class _Segment:
    offset: int
    flags: int
    payload: bytes

    @property
    def end(self) -> int:
        return self.offset + len(self.payload) + (1 if self.flags & (SYN | FIN) else 0)


class TcpConnection:
    """One end; offsets count from the initial sequence number, so that the SYN is at 0.

    Calls change the state and leave segments in `take_packets()` and bytes in `take_data()`.
    """

    def __init__(
        self,
        local: SocketAddress,
        remote: SocketAddress,
        initial_sequence: int,
        options: TcpOptions,
    ) -> None:
        self.local = local
        self.remote = remote
        self.state = ConnectionState.SYN_SENT
        self.payload_sent = False
        self.remote_finished = False
        self.reset_text = ""
        self.ignored_resets = 0
        self._options = options
        self._initial_sequence = initial_sequence
        self._remote_initial = 0
        self._waiting: deque[_Segment] = deque()
        self._in_flight: deque[_Segment] = deque()
        self._next_offset = 0
        self._receive_next = 0
        self._out_of_order: dict[int, Packet] = {}
        self._received = bytearray()
        self._outgoing: list[bytes] = []
        self._closing = False
        self._acknowledge = False
        self._delayed = False
        self._ended = False
        self._retransmissions = 0
        self._repeated_acknowledgements = 0
        self._recovery_end: int | None = None
        self._timeout = options.initial_timeout
        self._timer: float | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen on this connection."""
        return self._ended

    def connect(self, now: float) -> None:
        """Open actively: send the SYN."""
        self._queue(SYN, b"")
        self._flush(now)

    def accept(self, syn: Packet, now: float) -> None:
        """Open passively in answer to a SYN."""
        self.state = ConnectionState.SYN_RECEIVED
        self._remote_initial = syn.sequence
        self._receive_next = 1
        self._queue(SYN | ACK, b"")
        self._flush(now)

    def send(self, data: bytes, now: float) -> None:
        """Send bytes, as the handshake and the window allow."""
        size = self._options.segment_size
        for start in range(0, len(data), size):
            last = start + size >= len(data)
            self._queue(ACK | PSH if last else ACK, data[start : start + size])
        self._flush(now)

    def close(self, now: float) -> None:
        """Send FIN after whatever waits."""
        if self._closing or self.ended:
            return
        self._closing = True
        self._queue(ACK | FIN, b"")
        self._flush(now)

    def abort(self) -> None:
        """Send RST and forget the connection."""
        if not self.ended:
            self._emit(_Segment(self._next_sent_offset(), RST | ACK, b""))
            self._end(ConnectionState.RESET)

    def give_up(self) -> None:
        """End without a packet, as after an ICMP error."""
        if not self.ended:
            self._end(ConnectionState.RESET)

    def take_packets(self) -> list[bytes]:
        """Return and forget the packets to send, with an acknowledgement if one is owed."""
        if self._acknowledge and self.state is not ConnectionState.RESET:
            self._emit(_Segment(self._next_sent_offset(), ACK, b""))
        packets, self._outgoing = self._outgoing, []
        return packets

    def take_data(self) -> bytes:
        """Return and forget the bytes that arrived in order."""
        data = bytes(self._received)
        self._received.clear()
        return data

    def next_timer(self) -> float | None:
        """When to call `poll` next."""
        return self._timer

    def poll(self, now: float) -> None:
        """Send again what was not acknowledged in time, or give up."""
        if self._timer is None or now < self._timer:
            return
        if self._retransmissions >= self._options.maximum_retransmissions:
            self._end(ConnectionState.TIMED_OUT)
            return
        self._retransmissions += 1
        self._timeout = min(2 * self._timeout, self._options.maximum_timeout)
        self._timer = now + self._timeout
        self._start_recovery()

    def receive(self, packet: Packet, now: float) -> None:
        """Take a segment of this connection."""
        if self.ended:
            self._receive_after_end(packet)
        elif packet.has(RST):
            self._receive_reset(packet)
        elif self.state is ConnectionState.SYN_SENT:
            self._receive_syn_ack(packet, now)
        else:
            self._receive_segment(packet, now)

    def _receive_after_end(self, packet: Packet) -> None:
        if self.state is ConnectionState.FINISHED and packet.has(FIN):
            self._emit(_Segment(self._next_offset, ACK, b""))
        elif not packet.has(RST):
            self._outgoing.append(build_packet(reset_for(packet)))

    def _receive_reset(self, packet: Packet) -> None:
        if self.state is ConnectionState.SYN_SENT:
            valid = packet.has(ACK) and self._acknowledged(packet) == 1
        else:
            valid = self._received_offset(packet) == self._receive_next
        if valid:
            self.reset_text = packet.payload.decode("ascii", "replace")
            self._end(ConnectionState.RESET)
            return
        self.ignored_resets += 1
        if self.state is ConnectionState.OPEN:
            self._emit(_Segment(self._next_sent_offset(), ACK, b""))

    def _receive_syn_ack(self, packet: Packet, now: float) -> None:
        if packet.has(ACK) and self._acknowledged(packet) != 1:
            self._outgoing.append(build_packet(reset_for(packet)))
        elif packet.has(SYN) and packet.has(ACK):
            self._remote_initial = packet.sequence
            self._receive_next = 1
            self.state = ConnectionState.OPEN
            self._take_acknowledgement(1, now)
            self._acknowledge = True
            self._flush(now)

    def _receive_segment(self, packet: Packet, now: float) -> None:
        if packet.has(SYN):
            self._receive_repeated_syn()
            return
        if not packet.has(ACK):
            return
        acknowledged = self._acknowledged(packet)
        if not 0 <= acknowledged <= self._next_sent_offset():
            self._refuse_acknowledgement(packet)
            return
        if self.state is ConnectionState.SYN_RECEIVED:
            if acknowledged != 1:
                self._refuse_acknowledgement(packet)
                return
            self.state = ConnectionState.OPEN
        self._note_repeated_acknowledgement(packet, acknowledged)
        self._take_acknowledgement(acknowledged, now)
        if packet.sequence_length:
            self._owe_acknowledgement(packet)
            self._store(packet)
        self._flush(now)
        self._finish_if_done()

    def _receive_repeated_syn(self) -> None:
        if self.state is ConnectionState.SYN_RECEIVED:
            self._emit(self._in_flight[0])
        else:
            self._emit(_Segment(self._next_sent_offset(), ACK, b""))

    def _refuse_acknowledgement(self, packet: Packet) -> None:
        if self.state is ConnectionState.SYN_RECEIVED:
            self._outgoing.append(build_packet(reset_for(packet)))
        else:
            self._emit(_Segment(self._next_sent_offset(), ACK, b""))

    def _take_acknowledgement(self, acknowledged: int, now: float) -> None:
        progress = False
        while self._in_flight and self._in_flight[0].end <= acknowledged:
            self._in_flight.popleft()
            progress = True
        if progress:
            self._repeated_acknowledgements = 0
            self._retransmissions = 0
            self._timeout = self._options.initial_timeout
            self._timer = now + self._timeout if self._in_flight else None
            self._continue_recovery()

    def _note_repeated_acknowledgement(self, packet: Packet, acknowledged: int) -> None:
        if packet.sequence_length or not self._in_flight:
            return
        if acknowledged == self._in_flight[0].offset and self._recovery_end is None:
            self._repeated_acknowledgements += 1
            if self._repeated_acknowledgements == REPEATED_ACKNOWLEDGEMENTS:
                self._start_recovery()

    def _start_recovery(self) -> None:
        """Send the first segment in flight again, and more as partial acknowledgements come."""
        self._repeated_acknowledgements = 0
        self._recovery_end = self._in_flight[-1].end
        self._emit(self._in_flight[0])

    def _continue_recovery(self) -> None:
        if self._recovery_end is None:
            return
        if not self._in_flight or self._in_flight[0].offset >= self._recovery_end:
            self._recovery_end = None
        else:
            self._emit(self._in_flight[0])

    def _owe_acknowledgement(self, packet: Packet) -> None:
        """Owe one for each second segment, or at once: RFC 9293 section 3.8.6.3."""
        expected = self._received_offset(packet) == self._receive_next and not self._out_of_order
        self._delayed = expected and not packet.flags & (PSH | FIN) and not self._delayed
        self._acknowledge = self._acknowledge or not self._delayed

    def _store(self, packet: Packet) -> None:
        offset = self._received_offset(packet)
        limit = self._receive_next + 4 * self._options.window_segments * self._options.segment_size
        if offset + packet.sequence_length <= self._receive_next or offset > limit:
            return
        self._out_of_order[offset] = packet
        while (ready := self._out_of_order.pop(self._receive_next, None)) is not None:
            self._received += ready.payload
            self._receive_next += ready.sequence_length
            self.remote_finished = self.remote_finished or ready.has(FIN)

    def _finish_if_done(self) -> None:
        if self._closing and self.remote_finished and not self._in_flight and not self._waiting:
            self._end(ConnectionState.FINISHED)

    def _queue(self, flags: int, payload: bytes) -> None:
        segment = _Segment(self._next_offset, flags, payload)
        self._next_offset = segment.end
        self._waiting.append(segment)

    def _flush(self, now: float) -> None:
        if self.ended:
            return
        while self._waiting and self._may_send(self._waiting[0]):
            segment = self._waiting.popleft()
            self._in_flight.append(segment)
            self._emit(segment)
        if self._in_flight and self._timer is None:
            self._timer = now + self._timeout

    def _may_send(self, segment: _Segment) -> bool:
        if segment.flags & SYN:
            return True
        opened = self.state is ConnectionState.OPEN
        return opened and len(self._in_flight) < self._options.window_segments

    def _next_sent_offset(self) -> int:
        return self._waiting[0].offset if self._waiting else self._next_offset

    def _emit(self, segment: _Segment) -> None:
        self.payload_sent = self.payload_sent or bool(segment.payload)
        if segment.flags & ACK:
            self._acknowledge = False
            self._delayed = False
        remote_next = (self._remote_initial + self._receive_next) % SEQUENCE_MODULUS
        packet = Packet(
            self.local,
            self.remote,
            TransportProtocol.TCP,
            segment.payload,
            segment.flags,
            (self._initial_sequence + segment.offset) % SEQUENCE_MODULUS,
            remote_next if segment.flags & ACK else 0,
        )
        self._outgoing.append(build_packet(packet))

    def _end(self, state: ConnectionState) -> None:
        self.state = state
        self._ended = True
        self._timer = None
        self._waiting.clear()
        self._in_flight.clear()
        self._out_of_order.clear()

    def _acknowledged(self, packet: Packet) -> int:
        wire = packet.acknowledgement - self._initial_sequence
        return _nearest(wire, self._next_offset)

    def _received_offset(self, packet: Packet) -> int:
        return _nearest(packet.sequence - self._remote_initial, self._receive_next)


def _nearest(wire_offset: int, expected: int) -> int:
    """Return the offset nearest to `expected` that equals `wire_offset` modulo 2**32."""
    distance = (wire_offset - expected + HALF_SEQUENCE_SPACE) % SEQUENCE_MODULUS
    return expected + distance - HALF_SEQUENCE_SPACE


def reset_for(packet: Packet, text: str = "") -> Packet:
    """Return the RST that answers a segment without a connection (RFC 9293 section 3.10.7.1).

    `text` may say why, as section 3.5.3 allows.
    """
    reset = Packet(
        packet.destination, packet.source, TransportProtocol.TCP, text.encode(), flags=RST
    )
    if packet.has(ACK):
        return replace(reset, sequence=packet.acknowledgement)
    acknowledgement = (packet.sequence + packet.sequence_length) % SEQUENCE_MODULUS
    return replace(reset, flags=RST | ACK, acknowledgement=acknowledgement)
