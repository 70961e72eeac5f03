"""What a node sees of its flows: openings, open flows, and which of them wait for an answer.

Backends answer clients directly, so answers are inferred: the first packet with a token shows that
the opening was answered; a packet that acknowledges more than before shows that an answer arrives.
Nothing here is needed to forward a packet: a node that has just started knows no flow.
"""

from __future__ import annotations

from collections import deque

from beamloom.routing.tokens.backend_table import Backend

OPENING_PATIENCE_SECONDS = 0.5
"""An opening that neither went on nor was repeated by then has failed. Copies come 0.2 and 0.4 s
after the packet before them.
"""
SUSPECT_AFTER_FAILURES = 2
SUSPECT_SECONDS = 1.0
"""How long a backend that did not answer is passed over before it is tried again."""


class ObservedFlow:
    """One flow: its backend, the backends tried before, and whether a request is under way."""

    __slots__ = ("acknowledged", "backend", "busy", "last_packet", "opened", "tried")

    def __init__(self, backend: Backend, now: float) -> None:
        self.backend = backend
        self.tried: list[Backend] = []
        self.opened = False
        self.busy = False
        self.acknowledged = 0
        self.last_packet = now


class FlowObserver:
    """The flows of one node and the load that they put on backends."""

    def __init__(self) -> None:
        self.idle_seconds = 15.0
        self._flows: dict[bytes, ObservedFlow] = {}
        self._openings: deque[tuple[float, bytes, Backend]] = deque()
        self._resting: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: bytes) -> ObservedFlow | None:
        """Return what is known of a flow."""
        return self._flows.get(key)

    def note_opening(self, key: bytes, backend: Backend, now: float) -> None:
        """Note that an opening packet, or a copy of it, went to a backend."""
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = ObservedFlow(backend, now)
            self._resting.append((now + self.idle_seconds, key))
        else:
            self._note_unanswered(flow, now)
            flow.tried.append(flow.backend)
            flow.backend = backend
            flow.last_packet = now
        backend.pending += 1
        self._openings.append((now + OPENING_PATIENCE_SECONDS, key, backend))

    def note_packet(
        self, key: bytes, backend: Backend, acknowledged: int, has_data: bool, now: float
    ) -> None:
        """Note a packet of an open flow that went to a backend by its token."""
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = ObservedFlow(backend, now)
            self._resting.append((now + self.idle_seconds, key))
            backend.pending += 1
        if flow.backend is not backend:
            self._leave(flow)
            flow.backend = backend
            backend.pending += 1
            flow.opened = flow.busy = False
        if not flow.opened:
            flow.opened = True
            backend.pending -= 1
            backend.open += 1
            backend.failures = 0
            backend.suspect_until = 0.0
        if has_data:
            self._set_busy(flow, True)
        elif flow.busy and acknowledged != flow.acknowledged:
            self._set_busy(flow, False)
        flow.acknowledged = acknowledged
        flow.last_packet = now

    def note_end(self, key: bytes) -> None:
        """Note that the client ended its flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._leave(flow)

    def advance(self, now: float) -> None:
        """Judge openings whose time is over and forget flows that have rested too long."""
        while self._openings and self._openings[0][0] <= now:
            _, key, backend = self._openings.popleft()
            flow = self._flows.get(key)
            if flow is not None and flow.backend is backend and not flow.opened:
                self._note_unanswered(flow, now)
                del self._flows[key]
        while self._resting and self._resting[0][0] <= now:
            _, key = self._resting.popleft()
            flow = self._flows.get(key)
            if flow is None:
                continue
            if flow.last_packet + self.idle_seconds > now:
                self._resting.append((flow.last_packet + self.idle_seconds, key))
            else:
                self.note_end(key)

    def _note_unanswered(self, flow: ObservedFlow, now: float) -> None:
        backend = flow.backend
        if flow.opened:
            return
        backend.pending -= 1
        backend.failures += 1
        if backend.failures >= SUSPECT_AFTER_FAILURES:
            backend.suspect_until = now + SUSPECT_SECONDS

    def _set_busy(self, flow: ObservedFlow, busy: bool) -> None:
        if flow.busy != busy:
            flow.busy = busy
            flow.backend.busy += 1 if busy else -1

    def _leave(self, flow: ObservedFlow) -> None:
        self._set_busy(flow, False)
        if flow.opened:
            flow.backend.open -= 1
        else:
            flow.backend.pending -= 1
