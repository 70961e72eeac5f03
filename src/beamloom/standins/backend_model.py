"""Sans-I/O model of a backend: connections, request slots, a queue, load shedding and draining.

Call `receive` and `poll` with a time `now` in seconds; each returns the packets to send.
`next_timer` says when to call `poll`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.standins.application import (
    Answer,
    AnswerStatus,
    ApplicationError,
    FrameDecoder,
    Request,
    RequestKind,
    answer_parts,
    decode_request,
    encode_message,
    frame,
)
from beamloom.standins.backend_health import BackendHealth, HealthReporter
from beamloom.standins.backend_slots import RequestSlots
from beamloom.standins.packets import (
    ACK,
    RST,
    SYN,
    MalformedPacketError,
    Packet,
    build_packet,
    parse_packet,
)
from beamloom.standins.tcp_connection import (
    ConnectionState,
    TcpConnection,
    TcpOptions,
    build_reset,
)
from beamloom.standins.timers import TimerHeap

ServiceTime = Callable[[Request, random.Random], float]
MAXIMUM_CACHED_UDP_ANSWERS = 10_000


def default_service_time(request: Request, rng: random.Random) -> float:
    """Return an exponential service time in seconds; its mean depends on the kind of request."""
    mean = 0.005 if request.kind is RequestKind.DOCUMENT else 0.0005
    return rng.expovariate(1.0 / mean)


@dataclass(frozen=True, slots=True)
class BackendOptions:
    """Limits, and times in seconds.

    For `cold_seconds` after the start, requests take `cold_factor` times as long.
    """

    slots: int = 2
    queue_limit: int = 64
    connection_limit: int = 2_000
    service_time: ServiceTime = default_service_time
    cold_seconds: float = 0.0
    cold_factor: float = 4.0
    retry_after: float = 1.0
    idle_timeout: float = 7_200.0
    tcp: TcpOptions = field(default_factory=TcpOptions)


@dataclass(slots=True)
class BackendTruth:
    """Ground truth of one backend, for checks; the product never receives it.

    `runs` holds the start times and `not_run` the reason by request id.
    """

    runs: dict[str, list[float]] = field(default_factory=dict)
    not_run: dict[str, str] = field(default_factory=dict)
    new_connections: list[float] = field(default_factory=list)
    tenancy_violations: list[Packet] = field(default_factory=list)
    unknown_segments: int = 0
    refused_connections: int = 0
    shed_requests: int = 0
    malformed: int = 0


@dataclass(slots=True, eq=False)
class _Peer:
    """A client of this backend; `connection` is None for one that uses UDP."""

    address: SocketAddress
    connection: TcpConnection | None
    frames: FrameDecoder = field(default_factory=FrameDecoder)
    last_received_at: float = 0.0
    unanswered: int = 0


class BackendModel:
    """One backend that serves one virtual address."""

    def __init__(
        self,
        backend_id: str,
        service: VirtualAddress,
        rng: random.Random,
        started_at: float = 0.0,
        options: BackendOptions | None = None,
    ) -> None:
        self.backend_id = backend_id
        self.service = service
        self.truth = BackendTruth()
        self.draining = False
        self.options = options or BackendOptions()
        self.health_reporter = HealthReporter()
        self._rng = rng
        self._started_at = started_at
        self._local = SocketAddress(service.ip, service.port)
        self._peers: dict[SocketAddress, _Peer] = {}
        self._timers: TimerHeap[SocketAddress] = TimerHeap()
        self._slots: RequestSlots[_Peer] = RequestSlots(
            self.options.slots, self.options.queue_limit, self._service_time
        )
        self._udp_answers: dict[tuple[SocketAddress, str], list[bytes] | None] = {}
        self._packets: list[bytes] = []

    @property
    def open_connections(self) -> int:
        """How many TCP connections are open or opening."""
        return len(self._peers)

    @property
    def busy(self) -> int:
        """How many requests are running or queued."""
        return self._slots.busy

    def receive(self, data: bytes, now: float) -> list[bytes]:
        """Process a packet that a balancer forwarded."""
        try:
            packet = parse_packet(data)
        except MalformedPacketError:
            self.truth.malformed += 1
            return []
        if isinstance(packet, Packet):
            self._receive_packet(packet, now)
        return self._finish_call(now)

    def poll(self, now: float) -> list[bytes]:
        """Answer finished requests, start queued ones and run the connections' timers."""
        for job in self._slots.finish_due(now):
            answers = answer_parts(job.request, self.backend_id)
            self._send(job.request, job.owner, answers, now)
        self._start_waiting(now)
        for address in self._timers.pop_due(now):
            self._poll_peer(address, now)
        return self._finish_call(now)

    def next_timer(self) -> float | None:
        """Return when to call `poll` next; None if no timer is set."""
        times = (self._slots.next_time(), self._timers.next_time())
        return min((time for time in times if time is not None), default=None)

    def drain(self, draining: bool = True) -> None:
        """Set whether reports say that the backend drains; requests are served either way."""
        self.draining = draining

    def push(self, now: float, body: bytes = b"") -> list[bytes]:
        """Send a message to every client that holds an open connection."""
        message = frame(Answer("", self.backend_id, AnswerStatus.PUSH, body=body))
        for peer in list(self._peers.values()):
            if peer.connection and peer.connection.state is ConnectionState.OPEN:
                peer.connection.send(message, now)
                self._update_connection(peer, now)
        return self._finish_call(now)

    def health(self, now: float) -> BackendHealth:
        """Return the health report, which faults can falsify."""
        return self.health_reporter.report(now, self.true_health())

    def true_health(self) -> BackendHealth:
        """Return the true health."""
        at_limit = len(self._peers) >= self.options.connection_limit
        load = self.busy / self.options.slots
        return BackendHealth(True, self._slots.full or at_limit, self.draining, load)

    def _finish_call(self, now: float) -> list[bytes]:
        if self.health_reporter.faults.lag:
            self.health_reporter.observe(now, self.true_health())
        packets, self._packets = self._packets, []
        return packets

    def _receive_packet(self, packet: Packet, now: float) -> None:
        if packet.destination != self._local or packet.protocol is not self.service.protocol:
            self.truth.tenancy_violations.append(packet)
        elif packet.protocol is TransportProtocol.UDP:
            self._receive_datagram(packet, now)
        else:
            self._receive_segment(packet, now)

    def _receive_segment(self, packet: Packet, now: float) -> None:
        peer = self._peers.get(packet.source)
        if peer is None:
            peer = self._accept(packet, now)
        elif peer.connection is not None:
            peer.last_received_at = now
            peer.connection.receive(packet, now)
        if peer is not None:
            self._read(peer, now)
            self._update_connection(peer, now)

    def _accept(self, packet: Packet, now: float) -> _Peer | None:
        if packet.has(RST):
            return None
        if not packet.has(SYN) or packet.has(ACK):
            self.truth.unknown_segments += 1
            self._packets.append(build_packet(build_reset(packet)))
            return None
        if len(self._peers) >= self.options.connection_limit:
            self.truth.refused_connections += 1
            text = f"retry-after={self.options.retry_after:g}"
            self._packets.append(build_packet(build_reset(packet, text)))
            return None
        connection = TcpConnection(
            self._local, packet.source, self._rng.getrandbits(32), self.options.tcp
        )
        connection.accept(packet, now)
        peer = _Peer(packet.source, connection, last_received_at=now)
        self._peers[packet.source] = peer
        self.truth.new_connections.append(now)
        return peer

    def _read(self, peer: _Peer, now: float) -> None:
        connection = peer.connection
        if connection is None:
            return
        try:
            for data in peer.frames.feed(connection.take_data()):
                self._enqueue(decode_request(data), peer, now)
        except ApplicationError:
            self.truth.malformed += 1
            connection.abort()

    def _update_connection(self, peer: _Peer, now: float) -> None:
        """Collect a connection's packets and re-arm its timer, or remove it once it has ended."""
        connection = peer.connection
        if connection is None:
            return
        if connection.remote_has_closed and not peer.unanswered:
            connection.close(now)
        self._packets += connection.take_packets()
        if connection.ended:
            self._peers.pop(peer.address, None)
            self._timers.arm(peer.address, None)
            self._cancel_jobs(peer, now)
            return
        idle_at = peer.last_received_at + self.options.idle_timeout
        self._timers.arm(peer.address, min(connection.next_timer() or idle_at, idle_at))

    def _poll_peer(self, address: SocketAddress, now: float) -> None:
        peer = self._peers.get(address)
        if peer is None or peer.connection is None:
            return
        if now >= peer.last_received_at + self.options.idle_timeout:
            peer.connection.abort()
        peer.connection.poll(now)
        self._update_connection(peer, now)

    def _cancel_jobs(self, peer: _Peer, now: float) -> None:
        """Cancel the requests of an ended connection; queued ones never run."""
        for job in self._slots.cancel(peer):
            self.truth.not_run[job.request.request_id] = "cancelled"
        self._start_waiting(now)

    def _receive_datagram(self, packet: Packet, now: float) -> None:
        try:
            request = decode_request(packet.payload)
        except ApplicationError:
            self.truth.malformed += 1
            return
        key = (packet.source, request.request_id)
        if key in self._udp_answers:
            self._packets += self._udp_answers[key] or []
            return
        self._udp_answers[key] = None
        if len(self._udp_answers) > MAXIMUM_CACHED_UDP_ANSWERS:
            del self._udp_answers[next(iter(self._udp_answers))]
        self.truth.new_connections.append(now)
        self._enqueue(request, _Peer(packet.source, None), now)

    def _enqueue(self, request: Request, peer: _Peer, now: float) -> None:
        peer.unanswered += 1
        if not self._slots.offer(request, peer, now):
            self.truth.shed_requests += 1
            self._answer_not_run(request, peer, AnswerStatus.SHED, now)
            return
        self._start_waiting(now)

    def _start_waiting(self, now: float) -> None:
        started, expired = self._slots.start_waiting(now)
        for job in started:
            self.truth.runs.setdefault(job.request.request_id, []).append(now)
        for job in expired:
            self._answer_not_run(job.request, job.owner, AnswerStatus.REFUSED, now)

    def _service_time(self, request: Request, now: float) -> float:
        seconds = self.options.service_time(request, self._rng)
        cold = now < self._started_at + self.options.cold_seconds
        return seconds * self.options.cold_factor if cold else seconds

    def _answer_not_run(
        self, request: Request, peer: _Peer, status: AnswerStatus, now: float
    ) -> None:
        self.truth.not_run[request.request_id] = status.name.lower()
        self._send(request, peer, [Answer(request.request_id, self.backend_id, status)], now)

    def _send(self, request: Request, peer: _Peer, answers: list[Answer], now: float) -> None:
        peer.unanswered -= 1
        if peer.connection is not None:
            peer.connection.send(b"".join(map(frame, answers)), now)
            self._update_connection(peer, now)
            return
        packets = [
            build_packet(
                Packet(self._local, peer.address, TransportProtocol.UDP, encode_message(answer))
            )
            for answer in answers
        ]
        self._udp_answers[(peer.address, request.request_id)] = packets
        self._packets += packets
