"""Tracks the flows of one node: openings, open flows and pending requests.

Backends answer clients directly, so answers are inferred from client packets: the first packet with
a token shows that the opening was answered, and a changed acknowledgement number shows that an
answer is arriving. Forwarding does not depend on this state: a node that has just started has none.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from beamloom.routing.tokens.answer_pace import AnswerDeadlines
from beamloom.routing.tokens.answer_sizes import AnswerSizes
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.decisions import Decision, OpeningUnanswered, RequestStalled
from beamloom.routing.tokens.liveness import Suspicion
from beamloom.routing.tokens.packets import ClientPacket
from beamloom.routing.tokens.token import NO_TOKEN
from beamloom.telemetry.histogram import LatencyHistogram

OPENING_TIMEOUT_SECONDS = 0.15
"""Initial timeout of an opening. Backends answer within milliseconds; clients send the first copy
after 0.2 s.
"""
SUSPICION_FRACTION = 0.4
"""Fraction of the opening timeout after which a backend is checked. A check is made earlier because
it does not count as a failure of the backend.
"""
MAXIMUM_OPENING_TIMEOUT_SECONDS = 1.2
"""Clients give up on an opening after 1.4 s."""
SEQUENCE_MASK = 0xFFFF_FFFF
"""Sequence numbers have 32 bits (the platform's packets)."""
QUIET_SECONDS = 0.3
"""Time after which an unanswered request that was not repeated makes its backend suspect. Clients
repeat a request after 0.2 s, so this client has probably got a reset, from the backend's host or
from a later owner of its address.
"""
MAXIMUM_SUSPICION_DOUBLINGS = 3
SUSPECT_AFTER_FAILURES = 2
STALLED_AFTER_REPEATS = 2
"""Clients repeat a request after 0.2, 0.6 and 1.4 s; the second repetition shows 0.6 s without an
answer.
"""
SUSPECT_AFTER_STALLS = 2
SUSPECT_SECONDS = 1.0
"""How long an unresponsive backend is avoided; each further unanswered opening doubles it."""


class FlowPhase(Enum):
    """State of a flow as this node observes it."""

    OPENING = "opening"
    UNANSWERED = "unanswered"
    OPEN = "open"


class ObservedFlow:
    """One flow: its backend, and whether a request is pending.

    `token` is that of its last packet. `sequence` is that of the last request, which was sent at
    `requested_at` and then repeated `repeats` times; its answer is overdue at `due_at`, which is
    None if the route has no objective. `placed_at` is when an opening packet was last forwarded to
    `backend`, `opened_at` when this node first saw that the flow is open there. With
    `may_have_two_answers`, another backend may have answered its opening too.
    """

    __slots__ = (
        "acknowledged",
        "backend",
        "busy",
        "due_at",
        "last_packet",
        "may_have_two_answers",
        "opened_at",
        "opening_at",
        "phase",
        "placed_at",
        "repeats",
        "requested_at",
        "sequence",
        "token",
    )

    def __init__(self, backend: Backend, now: float) -> None:
        self.backend = backend
        self.token = NO_TOKEN
        self.phase = FlowPhase.OPENING
        self.busy = False
        self.acknowledged = 0
        self.sequence = -1
        self.requested_at = now
        self.due_at: float | None = None
        self.repeats = 0
        self.opening_at: float | None = None
        self.placed_at = now
        self.opened_at = float("inf")
        self.last_packet = now
        self.may_have_two_answers = False

    @property
    def opened(self) -> bool:
        """Whether its backend has answered the opening."""
        return self.phase is FlowPhase.OPEN

    @property
    def began_at(self) -> float:
        """When it was first seen open; before that, when its opening packet was first forwarded."""
        if self.opened:
            return self.opened_at
        return self.placed_at if self.opening_at is None else self.opening_at


class FlowObserver:
    """The flows of one node and their load on backends.

    `opening_seconds` measures from the first opening packet to the first packet with a token,
    `answer_seconds` from a request to the first acknowledgement of an answer.
    `opening_timeout_seconds` grows when an answer arrives after the timeout, as with distant
    clients. `on_unanswered` is called for each unanswered opening, `on_suspicion` for each sign
    that a backend may be dead, and `on_short_answer` for each answer that may be an error.
    `on_overdue` is called for requests that are unanswered after the seconds that
    `find_answer_timeout` returns for their destination; None means no limit.
    """

    def __init__(self, on_decision: Callable[[Decision], None]) -> None:
        self.opening_seconds = LatencyHistogram()
        self.answer_seconds = LatencyHistogram()
        self.opening_timeout_seconds = OPENING_TIMEOUT_SECONDS
        self.on_unanswered: Callable[[Backend, float], None] = lambda backend, now: None
        self.on_short_answer: Callable[[Backend, float], None] = lambda backend, now: None
        self.on_overdue: Callable[[Backend, float], None] = lambda backend, now: None
        self.find_answer_timeout: Callable[[bytes], float | None] = lambda destination: None
        self._sizes = AnswerSizes()
        self._answer_deadlines = AnswerDeadlines()
        self.on_suspicion: Callable[[Backend, Suspicion, float], None] = lambda *_: None
        self._on_decision = on_decision
        self.idle_seconds = 15.0
        self._flows: dict[bytes, ObservedFlow] = {}
        self._opening_timeouts: deque[tuple[float, bytes, Backend]] = deque()
        self._opening_checks: deque[tuple[float, bytes, Backend]] = deque()
        self._request_checks: deque[tuple[float, bytes, int]] = deque()
        self._idle_deadlines: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: bytes) -> ObservedFlow | None:
        """Return the flow of a key, or None if it was not observed."""
        return self._flows.get(key)

    def forget(self, key: bytes) -> None:
        """Remove a flow whose backend is no longer known."""
        self._release_load(self._flows.pop(key))

    def take_open_flows_of(self, backend: Backend, opened_until: float) -> list[tuple[bytes, int]]:
        """Remove the flows of a backend that were open there at a time.

        Returns their keys and acknowledgement numbers.
        """
        ended = [
            (key, flow)
            for key, flow in self._flows.items()
            if flow.backend is backend and flow.opened and flow.opened_at <= opened_until
        ]
        for key, flow in ended:
            del self._flows[key]
            self._release_load(flow)
        return [(key, flow.acknowledged) for key, flow in ended]

    def next_deadline(self) -> float | None:
        """Return when `advance` has the next opening or request to check, or None."""
        queues = (self._opening_checks, self._opening_timeouts, self._request_checks)
        times = [waiting[0][0] for waiting in queues if waiting]
        if self._answer_deadlines.next_deadline is not None:
            times.append(self._answer_deadlines.next_deadline)
        return min(times, default=None)

    def unopened_since(self, time: float) -> list[tuple[bytes, ObservedFlow]]:
        """Return the flows not open yet whose opening packet was forwarded after a time."""
        return [
            (key, flow)
            for key, flow in self._flows.items()
            if not flow.opened and flow.opening_at is not None and flow.opening_at > time
        ]

    def note_opening(self, key: bytes, backend: Backend, now: float) -> None:
        """Record that a backend was chosen for an opening packet, or for a copy of it."""
        flow = self._flows.get(key)
        if flow is None:
            flow = self._add(key, backend, now)
        else:
            self._note_unanswered(key, flow, now)
            self._move_to(flow, backend)
            flow.last_packet = now
            flow.placed_at = now
        if flow.opening_at is None:
            flow.opening_at = now
        self._opening_timeouts.append((now + self.opening_timeout_seconds, key, backend))
        self._opening_checks.append(
            (now + SUSPICION_FRACTION * self.opening_timeout_seconds, key, backend)
        )

    def move_opening(self, flow: ObservedFlow, backend: Backend) -> None:
        """Assign a flow that is not open to the process that replaced its backend's."""
        self._move_to(flow, backend)

    def note_packet(self, packet: ClientPacket, backend: Backend, now: float) -> ObservedFlow:
        """Record a packet that was forwarded by its token."""
        flow = self._flows.get(packet.flow)
        if flow is None:
            flow = self._add(packet.flow, backend, now)
        elif flow.backend is not backend:
            self._move_to(flow, backend)
        if not flow.opened:
            self._note_opened(flow, now)
        if packet.data_length:
            self._note_data(flow, packet, now)
        elif flow.busy and packet.acknowledged != flow.acknowledged:
            self._set_busy(flow, False)
            self._end_stall(flow)
            self._note_answer_time(flow, now)
            self._check_answer_size(flow, packet, now)
        flow.token = packet.token
        flow.acknowledged = packet.acknowledged
        flow.last_packet = now
        return flow

    def note_end(self, packet: ClientPacket, now: float) -> None:
        """Remove a flow that its client ended, with or without an answer to its last request."""
        flow = self._flows.pop(packet.flow, None)
        if flow is None:
            return
        if flow.busy:
            flow.backend.pace.note(now - flow.requested_at, now)
            if flow.opened and packet.acknowledged != flow.acknowledged:
                self._check_answer_size(flow, packet, now)
        self._release_load(flow)

    def advance(self, now: float) -> None:
        """Process due checks and timeouts of openings and requests; remove idle flows."""
        while self._opening_checks and self._opening_checks[0][0] <= now:
            self._check_opening(*self._opening_checks.popleft()[1:], now)
        while self._opening_timeouts and self._opening_timeouts[0][0] <= now:
            _, key, backend = self._opening_timeouts.popleft()
            flow = self._flows.get(key)
            if flow is not None and flow.backend is backend:
                self._note_unanswered(key, flow, now)
        while self._request_checks and self._request_checks[0][0] <= now:
            self._check_request(*self._request_checks.popleft()[1:], now)
        for key, sequence in self._answer_deadlines.pop_due(now):
            self._check_overdue(key, sequence, now)
        while self._idle_deadlines and self._idle_deadlines[0][0] <= now:
            _, key = self._idle_deadlines.popleft()
            flow = self._flows.get(key)
            if flow is None:
                continue
            if flow.last_packet + self.idle_seconds > now:
                self._idle_deadlines.append((flow.last_packet + self.idle_seconds, key))
            else:
                self._release_load(self._flows.pop(key))

    def _add(self, key: bytes, backend: Backend, now: float) -> ObservedFlow:
        flow = self._flows[key] = ObservedFlow(backend, now)
        backend.pending += 1
        self._idle_deadlines.append((now + self.idle_seconds, key))
        return flow

    def _move_to(self, flow: ObservedFlow, backend: Backend) -> None:
        """Assign a flow to a backend at which it is to open, or has opened."""
        self._release_load(flow)
        flow.backend = backend
        flow.phase = FlowPhase.OPENING
        backend.pending += 1

    def _note_opened(self, flow: ObservedFlow, now: float) -> None:
        backend = flow.backend
        if flow.opening_at is not None:
            self.opening_seconds.observe(now - flow.opening_at)
        if flow.phase is FlowPhase.OPENING:
            backend.pending -= 1
        elif flow.opening_at is not None:
            self._extend_opening_timeout(now - flow.placed_at)
        flow.phase = FlowPhase.OPEN
        flow.opened_at = now
        backend.open += 1
        if flow.opening_at is None:
            # The flow was opened through another node, so this is no sign of life.
            return
        backend.failures = 0
        backend.suspect_until = 0.0
        backend.answered_at = backend.last_alive_at = now

    def _extend_opening_timeout(self, seconds: float) -> None:
        """Extend the opening timeout, as an opening was answered `seconds` after it was sent."""
        longer = min(MAXIMUM_OPENING_TIMEOUT_SECONDS, 2 * seconds)
        self.opening_timeout_seconds = max(self.opening_timeout_seconds, longer)

    def _note_unanswered(self, key: bytes, flow: ObservedFlow, now: float) -> None:
        """Count an opening that its backend did not answer in time, once per forwarded packet."""
        if flow.phase is not FlowPhase.OPENING:
            return
        backend = flow.backend
        flow.phase = FlowPhase.UNANSWERED
        backend.pending -= 1
        backend.failures += 1
        if backend.failures >= SUSPECT_AFTER_FAILURES:
            doublings = min(backend.failures - SUSPECT_AFTER_FAILURES, MAXIMUM_SUSPICION_DOUBLINGS)
            backend.suspect_until = now + SUSPECT_SECONDS * 2**doublings
        suspect = backend.suspect_until > now
        self.on_unanswered(backend, now)
        self._on_decision(OpeningUnanswered(key, backend.record.name, backend.failures, suspect))

    def _note_data(self, flow: ObservedFlow, packet: ClientPacket, now: float) -> None:
        """Record a request or a repetition; repeated requests make their backend suspect."""
        self._set_busy(flow, True)
        if packet.sequence != flow.sequence:
            self._end_stall(flow)
            flow.sequence = packet.sequence
            flow.requested_at = now
            limit_seconds = self.find_answer_timeout(packet.destination)
            flow.due_at = None if limit_seconds is None else now + limit_seconds
            self._request_checks.append((now + QUIET_SECONDS, packet.flow, packet.sequence))
            return
        flow.repeats += 1
        self.on_suspicion(flow.backend, Suspicion.REPEATED_REQUEST, now)
        if flow.repeats != STALLED_AFTER_REPEATS:
            return
        backend = flow.backend
        backend.stalled += 1
        if backend.stalled >= SUSPECT_AFTER_STALLS:
            backend.suspect_until = now + SUSPECT_SECONDS
        waited = now - flow.requested_at
        self._on_decision(
            RequestStalled(packet.flow, backend.record.name, flow.repeats, waited, backend.stalled)
        )

    def _check_opening(self, key: bytes, backend: Backend, now: float) -> None:
        """Report a suspicion if a backend has not answered an opening yet."""
        flow = self._flows.get(key)
        if flow is not None and flow.backend is backend and flow.phase is FlowPhase.OPENING:
            self.on_suspicion(backend, Suspicion.UNANSWERED_OPENING, now)

    def _check_request(self, key: bytes, sequence: int, now: float) -> None:
        """Report a suspicion if a request was neither answered nor repeated."""
        flow = self._find_unanswered(key, sequence)
        if flow is None:
            return
        self.on_suspicion(flow.backend, Suspicion.QUIET_REQUEST, now)
        if flow.due_at is not None:
            self._answer_deadlines.add(flow.due_at, key, sequence)

    def _check_overdue(self, key: bytes, sequence: int, now: float) -> None:
        """Report a backend that has not answered a request by its deadline."""
        flow = self._find_unanswered(key, sequence)
        if flow is not None:
            self.on_overdue(flow.backend, now)

    def _find_unanswered(self, key: bytes, sequence: int) -> ObservedFlow | None:
        """Return the flow if this request is still unanswered and was not repeated."""
        flow = self._flows.get(key)
        waits = flow is not None and flow.busy and flow.sequence == sequence and not flow.repeats
        return flow if waits else None

    def _note_answer_time(self, flow: ObservedFlow, now: float) -> None:
        seconds = now - flow.requested_at
        self.answer_seconds.observe(seconds)
        flow.backend.pace.note(seconds, now)
        flow.backend.last_alive_at = now

    def _check_answer_size(self, flow: ObservedFlow, packet: ClientPacket, now: float) -> None:
        """Report an answer that is unusually short for its destination."""
        size_bytes = (packet.acknowledged - flow.acknowledged) & SEQUENCE_MASK
        if self._sizes.note(packet.destination, size_bytes):
            self.on_short_answer(flow.backend, now)

    def _end_stall(self, flow: ObservedFlow) -> None:
        if flow.repeats >= STALLED_AFTER_REPEATS:
            flow.backend.stalled -= 1
        flow.repeats = 0

    def _set_busy(self, flow: ObservedFlow, busy: bool) -> None:
        if flow.busy != busy:
            flow.busy = busy
            flow.backend.busy += 1 if busy else -1

    def _release_load(self, flow: ObservedFlow) -> None:
        self._end_stall(flow)
        self._set_busy(flow, False)
        if flow.phase is FlowPhase.OPEN:
            flow.backend.open -= 1
        elif flow.phase is FlowPhase.OPENING:
            flow.backend.pending -= 1
