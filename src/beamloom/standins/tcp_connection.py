"""One endpoint of a simplified TCP (RFC 9293) connection, without I/O.

- The send window is a fixed number of segments, which are retransmitted with unchanged boundaries.
- Every second segment is acknowledged; a segment with PSH or FIN, or out of order, at once.
- The retransmission timeout starts at a fixed value and doubles up to a maximum, without an
  estimate of the round-trip time (unlike RFC 6298).
- Three duplicate acknowledgements trigger a fast retransmit (RFC 5681), and partial ones continue
  the recovery (RFC 6582).
- A reset is accepted only with the expected sequence number (RFC 5961), or in SYN-SENT only if it
  acknowledges the SYN.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.standins.packets import ACK, FIN, PSH, RST, SYN, Packet, build_packet

SEQUENCE_MODULUS = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31
DUPLICATE_ACKNOWLEDGEMENT_THRESHOLD = 3


class ConnectionState(Enum):
    """State of a connection; `OPEN` lasts from the end of the handshake until it ends."""

    SYN_SENT = "syn-sent"
    SYN_RECEIVED = "syn-received"
    OPEN = "open"
    FINISHED = "finished"
    RESET = "reset"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class TcpOptions:
    """Parameters of a connection; times are in seconds, sizes in bytes."""

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
    """One endpoint of a connection.

    After each call, `take_packets` returns the segments to send and `take_data` the received bytes.
    Offsets are relative to the initial sequence number and don't wrap; the SYN has offset 0.
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
        self.remote_has_closed = False
        self.reset_reason = ""
        self.ignored_resets = 0
        self._options = options
        self._initial_sequence = initial_sequence
        self._remote_initial_sequence = 0
        self._send_queue: deque[_Segment] = deque()
        self._in_flight: deque[_Segment] = deque()
        self._queue_end = 0
        self._receive_next = 0
        self._out_of_order: dict[int, Packet] = {}
        self._received = bytearray()
        self._packets: list[bytes] = []
        self._closing = False
        self._acknowledgement_due = False
        self._acknowledgement_delayed = False
        self._ended = False
        self._retransmissions = 0
        self._duplicate_acknowledgements = 0
        self._recovery_end: int | None = None
        self._retransmission_timeout = options.initial_timeout
        self._retransmission_time: float | None = None

    @property
    def ended(self) -> bool:
        """Whether the connection was closed by both sides, reset or timed out."""
        return self._ended

    def connect(self, now: float) -> None:
        """Open the connection actively by sending a SYN."""
        self._enqueue(SYN, b"")
        self._flush(now)

    def accept(self, syn: Packet, now: float) -> None:
        """Open the connection passively by answering a SYN."""
        self.state = ConnectionState.SYN_RECEIVED
        self._remote_initial_sequence = syn.sequence
        self._receive_next = 1
        self._enqueue(SYN | ACK, b"")
        self._flush(now)

    def send(self, data: bytes, now: float) -> None:
        """Queue bytes and send what the handshake and the send window allow."""
        size = self._options.segment_size
        for start in range(0, len(data), size):
            last = start + size >= len(data)
            self._enqueue(ACK | PSH if last else ACK, data[start : start + size])
        self._flush(now)

    def close(self, now: float) -> None:
        """Send a FIN after all queued data."""
        if self._closing or self.ended:
            return
        self._closing = True
        self._enqueue(ACK | FIN, b"")
        self._flush(now)

    def abort(self) -> None:
        """Send an RST and end the connection."""
        if not self.ended:
            self._emit(_Segment(self._send_next(), RST | ACK, b""))
            self._end(ConnectionState.RESET)

    def discard(self) -> None:
        """End the connection without sending a packet, as after an ICMP error."""
        if not self.ended:
            self._end(ConnectionState.RESET)

    def take_packets(self) -> list[bytes]:
        """Remove and return the packets to send, including an acknowledgement that is due."""
        if self._acknowledgement_due and self.state is not ConnectionState.RESET:
            self._emit(_Segment(self._send_next(), ACK, b""))
        packets, self._packets = self._packets, []
        return packets

    def take_data(self) -> bytes:
        """Remove and return the bytes received in order."""
        data = bytes(self._received)
        self._received.clear()
        return data

    def next_timer(self) -> float | None:
        """Return the time of the next call to `poll`, or None."""
        return self._retransmission_time

    def poll(self, now: float) -> None:
        """Retransmit after a timeout, or end the connection after too many retransmissions."""
        if self._retransmission_time is None or now < self._retransmission_time:
            return
        if self._retransmissions >= self._options.maximum_retransmissions:
            self._end(ConnectionState.TIMED_OUT)
            return
        self._retransmissions += 1
        self._retransmission_timeout = min(
            2 * self._retransmission_timeout, self._options.maximum_timeout
        )
        self._retransmission_time = now + self._retransmission_timeout
        self._start_recovery()

    def receive(self, packet: Packet, now: float) -> None:
        """Process a segment of this connection."""
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
            self._emit(_Segment(self._queue_end, ACK, b""))
        elif not packet.has(RST):
            self._packets.append(build_packet(build_reset(packet)))

    def _receive_reset(self, packet: Packet) -> None:
        if self.state is ConnectionState.SYN_SENT:
            valid = packet.has(ACK) and self._acknowledged_offset(packet) == 1
        else:
            valid = self._segment_offset(packet) == self._receive_next
        if valid:
            self.reset_reason = packet.payload.decode("ascii", "replace")
            self._end(ConnectionState.RESET)
            return
        self.ignored_resets += 1
        if self.state is ConnectionState.OPEN:
            self._emit(_Segment(self._send_next(), ACK, b""))

    def _receive_syn_ack(self, packet: Packet, now: float) -> None:
        if packet.has(ACK) and self._acknowledged_offset(packet) != 1:
            self._packets.append(build_packet(build_reset(packet)))
        elif packet.has(SYN) and packet.has(ACK):
            self._remote_initial_sequence = packet.sequence
            self._receive_next = 1
            self.state = ConnectionState.OPEN
            self._handle_acknowledgement(1, now)
            self._acknowledgement_due = True
            self._flush(now)

    def _receive_segment(self, packet: Packet, now: float) -> None:
        if packet.has(SYN):
            self._receive_duplicate_syn()
            return
        if not packet.has(ACK):
            return
        acknowledged = self._acknowledged_offset(packet)
        if not 0 <= acknowledged <= self._send_next():
            self._reject_acknowledgement(packet)
            return
        if self.state is ConnectionState.SYN_RECEIVED:
            if acknowledged != 1:
                self._reject_acknowledgement(packet)
                return
            self.state = ConnectionState.OPEN
        self._count_duplicate_acknowledgement(packet, acknowledged)
        self._handle_acknowledgement(acknowledged, now)
        if packet.sequence_length:
            self._schedule_acknowledgement(packet)
            self._store_segment(packet)
        self._flush(now)
        self._finish_if_done()

    def _receive_duplicate_syn(self) -> None:
        if self.state is ConnectionState.SYN_RECEIVED:
            self._emit(self._in_flight[0])
        else:
            self._emit(_Segment(self._send_next(), ACK, b""))

    def _reject_acknowledgement(self, packet: Packet) -> None:
        if self.state is ConnectionState.SYN_RECEIVED:
            self._packets.append(build_packet(build_reset(packet)))
        else:
            self._emit(_Segment(self._send_next(), ACK, b""))

    def _handle_acknowledgement(self, acknowledged: int, now: float) -> None:
        newly_acknowledged = False
        while self._in_flight and self._in_flight[0].end <= acknowledged:
            self._in_flight.popleft()
            newly_acknowledged = True
        if newly_acknowledged:
            self._duplicate_acknowledgements = 0
            self._retransmissions = 0
            self._retransmission_timeout = self._options.initial_timeout
            self._retransmission_time = (
                now + self._retransmission_timeout if self._in_flight else None
            )
            self._continue_recovery()

    def _count_duplicate_acknowledgement(self, packet: Packet, acknowledged: int) -> None:
        if packet.sequence_length or not self._in_flight:
            return
        if acknowledged == self._in_flight[0].offset and self._recovery_end is None:
            self._duplicate_acknowledgements += 1
            if self._duplicate_acknowledgements == DUPLICATE_ACKNOWLEDGEMENT_THRESHOLD:
                self._start_recovery()

    def _start_recovery(self) -> None:
        """Retransmit the first segment in flight, and the next after each partial acknowledgement.

        The recovery covers the segments in flight at this time.
        """
        self._duplicate_acknowledgements = 0
        self._recovery_end = self._in_flight[-1].end
        self._emit(self._in_flight[0])

    def _continue_recovery(self) -> None:
        if self._recovery_end is None:
            return
        if not self._in_flight or self._in_flight[0].offset >= self._recovery_end:
            self._recovery_end = None
        else:
            self._emit(self._in_flight[0])

    def _schedule_acknowledgement(self, packet: Packet) -> None:
        """Delay the acknowledgement until a second segment arrives (RFC 9293 section 3.8.6.3).

        A segment with PSH or FIN, or out of order, is acknowledged at once.
        """
        in_order = self._segment_offset(packet) == self._receive_next and not self._out_of_order
        self._acknowledgement_delayed = (
            in_order and not packet.flags & (PSH | FIN) and not self._acknowledgement_delayed
        )
        self._acknowledgement_due = self._acknowledgement_due or not self._acknowledgement_delayed

    def _store_segment(self, packet: Packet) -> None:
        offset = self._segment_offset(packet)
        limit = self._receive_next + 4 * self._options.window_segments * self._options.segment_size
        if offset + packet.sequence_length <= self._receive_next or offset > limit:
            return
        self._out_of_order[offset] = packet
        while (ready := self._out_of_order.pop(self._receive_next, None)) is not None:
            self._received += ready.payload
            self._receive_next += ready.sequence_length
            self.remote_has_closed = self.remote_has_closed or ready.has(FIN)

    def _finish_if_done(self) -> None:
        if (
            self._closing
            and self.remote_has_closed
            and not self._in_flight
            and not self._send_queue
        ):
            self._end(ConnectionState.FINISHED)

    def _enqueue(self, flags: int, payload: bytes) -> None:
        segment = _Segment(self._queue_end, flags, payload)
        self._queue_end = segment.end
        self._send_queue.append(segment)

    def _flush(self, now: float) -> None:
        if self.ended:
            return
        while self._send_queue and self._may_send(self._send_queue[0]):
            segment = self._send_queue.popleft()
            self._in_flight.append(segment)
            self._emit(segment)
        if self._in_flight and self._retransmission_time is None:
            self._retransmission_time = now + self._retransmission_timeout

    def _may_send(self, segment: _Segment) -> bool:
        if segment.flags & SYN:
            return True
        is_open = self.state is ConnectionState.OPEN
        return is_open and len(self._in_flight) < self._options.window_segments

    def _send_next(self) -> int:
        return self._send_queue[0].offset if self._send_queue else self._queue_end

    def _emit(self, segment: _Segment) -> None:
        self.payload_sent = self.payload_sent or bool(segment.payload)
        if segment.flags & ACK:
            self._acknowledgement_due = False
            self._acknowledgement_delayed = False
        remote_next = (self._remote_initial_sequence + self._receive_next) % SEQUENCE_MODULUS
        packet = Packet(
            self.local,
            self.remote,
            TransportProtocol.TCP,
            segment.payload,
            segment.flags,
            (self._initial_sequence + segment.offset) % SEQUENCE_MODULUS,
            remote_next if segment.flags & ACK else 0,
        )
        self._packets.append(build_packet(packet))

    def _end(self, state: ConnectionState) -> None:
        self.state = state
        self._ended = True
        self._retransmission_time = None
        self._send_queue.clear()
        self._in_flight.clear()
        self._out_of_order.clear()

    def _acknowledged_offset(self, packet: Packet) -> int:
        wire_offset = packet.acknowledgement - self._initial_sequence
        return _unwrap_offset(wire_offset, self._queue_end)

    def _segment_offset(self, packet: Packet) -> int:
        return _unwrap_offset(packet.sequence - self._remote_initial_sequence, self._receive_next)


def _unwrap_offset(wire_offset: int, expected: int) -> int:
    """Return the offset closest to `expected` that equals `wire_offset` modulo 2**32."""
    distance = (wire_offset - expected + HALF_SEQUENCE_SPACE) % SEQUENCE_MODULUS
    return expected + distance - HALF_SEQUENCE_SPACE


def build_reset(packet: Packet, text: str = "") -> Packet:
    """Return the RST for a segment that belongs to no connection (RFC 9293 section 3.10.7.1).

    `text` is the reason, sent as the payload of the RST (section 3.5.3).
    """
    reset = Packet(
        packet.destination, packet.source, TransportProtocol.TCP, text.encode(), flags=RST
    )
    if packet.has(ACK):
        return replace(reset, sequence=packet.acknowledgement)
    acknowledgement = (packet.sequence + packet.sequence_length) % SEQUENCE_MODULUS
    return replace(reset, flags=RST | ACK, acknowledgement=acknowledgement)
