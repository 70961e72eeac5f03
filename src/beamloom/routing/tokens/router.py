"""Token router: takes one client packet and returns one command.

An opening packet gets a backend and a token. Any other packet is forwarded to the backend that its
token names, if the token was minted for its flow; without a valid token it is dropped, as the flow
may be open. If a later incarnation has the backend's address, or a check found the backend dead,
the flow is over and its client gets a reset. A flow that may have been opened since the check is
forwarded, and the backend checked again.

All copies of an opening packet go to one backend, unless its process has ended. If two backends
answered, each under a valid token, a late answer of one would direct the packets of the open flow
from the other to it. While routers may be moving flows between nodes, a first copy whose original
this node has not received is dropped: another node may have forwarded that one, and its backend
sends its answer again before the client sends the second copy. At other times the original was lost
on its way, or by a node that failed: routers take longer than 0.2 s to notice that.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from beamloom.routing.tokens.backend_table import Backend, BackendTable
from beamloom.routing.tokens.decisions import (
    Decision,
    FlowPlaced,
    FlowRefused,
    PacketDropped,
)
from beamloom.routing.tokens.flow_observer import FlowObserver, ObservedFlow
from beamloom.routing.tokens.liveness import Suspicion
from beamloom.routing.tokens.packets import (
    ClientPacket,
    DropPacket,
    DropReason,
    ForwardPacket,
    PacketKind,
    RefusalReason,
    ResetFlow,
    RouterCommand,
)
from beamloom.routing.tokens.placement import HIGHEST_PRIORITY, Placement
from beamloom.routing.tokens.records import RoutingConfiguration
from beamloom.routing.tokens.route_table import ActiveRoute, RouteTable
from beamloom.routing.tokens.token import NO_TOKEN, TokenCodec

MINIMUM_COPY_INTERVAL_SECONDS = 0.15
"""A copy of an opening packet that arrives sooner is no sign that the backend does not answer.
Clients send copies after 0.2 s at the earliest, so both packets waited in a socket.
"""
MAXIMUM_UNSEEN_BYTES = 1 << 20
"""How far the acknowledgement numbers of two packets of one flow are apart at most, as other nodes
may have forwarded packets between them. The sequence numbers of two backends are random.
"""
SEQUENCE_NUMBERS = 1 << 32

OVERDUE_FRACTION = 0.75
"""Fraction of a route's objective after which an answer is overdue. Another backend can still serve
the client in time, and a healthy backend is rarely this late.
"""
FIRST_COPY_SECONDS = 0.2
"""Delay from a client's opening packet to its first copy (the platform's protocol)."""
COPIES_PER_OPENING = 2
"""Clients send copies of an opening packet after 0.2 and 0.6 s (the platform's protocol)."""
OPENING_SECONDS = 1.4
"""How long a client's attempt to open a flow lasts (the platform's protocol)."""
MAXIMUM_UNPLACED_OPENINGS = 4096
"""How many dropped openings are remembered: more than arrive in OPENING_SECONDS."""

MAXIMUM_PENDING_RESETS = 65536
"""Exceeds the number of flows of a node. When the queue is full, the oldest reset is discarded; its
client gets a reset in answer to its next packet.
"""


def discard_decision(_decision: Decision) -> None:
    """Discard a decision."""


class TokenRouter:
    """Routes, backends and flows of one node; decides what to do with each packet.

    `on_decision` receives each decision of `decisions.py`. All packets are dropped until `codec` is
    set. `flows_move_until` is until when flows may arrive that routers sent to another node shortly
    before. `may_refuse` must be False while routes and backends may be out of date: opening packets
    that would be refused are then dropped, and a later copy is decided by the view at that time.
    With `retries_other_backend`, a copy of an opening packet goes to another backend if the process
    of the first has ended, so that it cannot answer as well. With `corrects_tokens`, a packet of an
    open flow goes to the flow's backend although a second answer to its opening changed its token.
    With `refuses_on_timeout`, a client that does not wait until its next copy is refused instead of
    waiting for cold backends. `resets` queues the resets of flows that end without a packet from
    the client.
    """

    def __init__(
        self,
        placement: Placement,
        on_decision: Callable[[Decision], None] = discard_decision,
        *,
        retries_other_backend: bool = True,
        corrects_tokens: bool = True,
        refuses_on_timeout: bool = True,
    ) -> None:
        self._retries_other_backend = retries_other_backend
        self._corrects_tokens = corrects_tokens
        self._refuses_on_timeout = refuses_on_timeout
        self.codec: TokenCodec | None = None
        self.may_refuse = True
        self.flows_move_until = float("-inf")
        self.routes = RouteTable(placement.rng)
        self.backends = BackendTable()
        self.flows = FlowObserver(on_decision)
        self._unplaced: dict[bytes, float] = {}
        self.resets: deque[ResetFlow] = deque(maxlen=MAXIMUM_PENDING_RESETS)
        self.backends.on_ended = self._reset_flows_of_ended
        self._on_decision = on_decision
        self.counters: Counter[str] = Counter()
        self._placement = placement
        placement.counters = self.counters

    def activate(self, configuration: RoutingConfiguration) -> bool:
        """Activate a configuration if it is newer than the active one; return whether it is."""
        taken = self.routes.activate(configuration)
        if taken:
            self.flows.idle_seconds = configuration.idle_seconds
            self.backends.set_warm_ups(configuration.warm_ups)
            self._placement.reserving_services = configuration.services_of_priority(
                HIGHEST_PRIORITY
            )
        return taken

    def find_answer_timeout(self, destination: bytes) -> float | None:
        """Return after how many seconds an answer is overdue, or None without an objective."""
        route = self.routes.find(destination)
        if route is None or route.record.terms.objective_seconds is None:
            return None
        return OVERDUE_FRACTION * route.record.terms.objective_seconds

    def handle(self, packet: ClientPacket, now: float) -> RouterCommand:
        """Return the command for one packet."""
        if self.codec is None:
            return self._drop(packet, DropReason.NO_KEY)
        if packet.kind is PacketKind.OPEN:
            return self._open(packet, self.codec, now)
        return self._follow_token(packet, self.codec, now)

    def advance(self, now: float) -> None:
        """Process due checks and timeouts of flows; remove idle flows."""
        self.flows.advance(now)

    def _open(self, packet: ClientPacket, codec: TokenCodec, now: float) -> RouterCommand:
        self.flows.advance(now)
        route = self.routes.find(packet.destination)
        if route is None:
            return self._refuse_opening(packet, RefusalReason.NO_ROUTE, now)
        flow = self.flows.find(packet.flow)
        if flow is not None and flow.backend.removed:
            self.flows.forget(packet.flow)
            flow = None
        if flow is not None and not self._may_move(flow):
            return self._repeat_opening(packet, route, flow, codec, now)
        if flow is None and self._may_have_moved(packet, now):
            return self._drop(packet, DropReason.COPY_WITHOUT_ORIGINAL)
        backend = self._choose(route, now)
        if backend is None:
            return self._handle_no_backend(packet, route, now)
        self._report_placed(packet, route, backend, now)
        return self._forward_opening(packet, backend, codec, now)

    def _may_move(self, flow: ObservedFlow) -> bool:
        """Return whether another backend may get the copies of a flow's opening packet.

        A backend that is only silent may have got the first packet, and answer later.
        """
        backend = flow.backend
        has_ended = backend.ended or (backend.was_refused and _is_lost(flow, backend))
        return self._retries_other_backend and not flow.opened and has_ended

    def _repeat_opening(
        self,
        packet: ClientPacket,
        route: ActiveRoute,
        flow: ObservedFlow,
        codec: TokenCodec,
        now: float,
    ) -> RouterCommand:
        """Return the command for a copy of an opening packet that this node has forwarded."""
        backend = flow.backend
        if flow.opened:
            return self._forward(packet, backend, flow.token)
        if backend.down_since is not None:
            self.flows.on_suspicion(backend, Suspicion.PACKET, now)
        services = {part.service for part in route.record.parts}
        if backend.record.service in services and self._placement.may_take_flow(backend, now):
            return self._forward_opening(packet, backend, codec, now)
        return self._drop(packet, DropReason.NO_BACKEND_FOR_COPY)

    def _forward_opening(
        self, packet: ClientPacket, backend: Backend, codec: TokenCodec, now: float
    ) -> ForwardPacket:
        self._placement.note_opening(backend, now)
        flow = self.flows.find(packet.flow)
        if flow is None or now - flow.placed_at >= MINIMUM_COPY_INTERVAL_SECONDS:
            self.flows.note_opening(packet.flow, backend, now)
        self.counters["opening_copies" if packet.acknowledged else "openings"] += 1
        return self._forward(packet, backend, codec.mint(packet.flow, backend.record.identity))

    def _handle_no_backend(
        self, packet: ClientPacket, route: ActiveRoute, now: float
    ) -> RouterCommand:
        """Drop or refuse an opening packet that no backend can accept now.

        It is dropped if a cold backend may accept a later copy. If there is no cold backend, copies
        are dropped too, as their flow may be open at a backend that another node chose.
        """
        has_cold_backend = any(
            self._placement.has_cold_backend(self.backends.of_service(part.service), now)
            for part in route.record.parts
        )
        if (
            has_cold_backend
            and packet.acknowledged < COPIES_PER_OPENING
            and self._can_wait_for_copy(route, packet)
        ):
            return self._drop_opening(packet, DropReason.COLD_BACKENDS, now)
        if packet.acknowledged and not has_cold_backend:
            return self._drop(packet, DropReason.NO_BACKEND_FOR_COPY)
        return self._refuse_opening(packet, RefusalReason.NO_BACKEND, now)

    def _can_wait_for_copy(self, route: ActiveRoute, packet: ClientPacket) -> bool:
        """Return whether a client will still be waiting when it sends its next copy.

        Only the first packet is checked: another node may have forwarded an earlier copy.
        """
        timeout = route.record.terms.timeout_seconds
        if not self._refuses_on_timeout or timeout is None or packet.acknowledged:
            return True
        if timeout > FIRST_COPY_SECONDS:
            return True
        self.counters["cannot_meet_timeout"] += 1
        return False

    def _choose(self, route: ActiveRoute, now: float) -> Backend | None:
        for part in route.next_parts():
            backends = self.backends.of_service(part.service)
            backend = self._placement.choose(backends, now, route.record.terms)
            if backend is not None:
                return backend
        return None

    def _follow_token(self, packet: ClientPacket, codec: TokenCodec, now: float) -> RouterCommand:
        if packet.token == NO_TOKEN:
            return self._drop(packet, DropReason.NO_TOKEN)
        flow = self.flows.find(packet.flow)
        written_token = NO_TOKEN
        if flow is not None and self._corrects_tokens and _has_wrong_token(packet, flow):
            self.counters["tokens_corrected"] += 1
            written_token = flow.token
            packet = packet._replace(token=flow.token)
        token = packet.token
        if flow is not None and flow.token == token and not flow.backend.removed:
            backend = flow.backend
        else:
            candidates = self.backends.candidates(token)
            verified = codec.find(packet.flow, token, candidates)
            if verified is None:
                return self._drop(packet, DropReason.UNKNOWN_TOKEN)
            backend = verified
        if backend.ended:
            return self._end_flow(packet, RefusalReason.BACKEND_ENDED, now)
        if backend.down_since is not None:
            if flow is not None and flow.opened and _is_lost(flow, backend):
                return self._end_flow(packet, RefusalReason.BACKEND_DOWN, now)
            self.flows.on_suspicion(backend, Suspicion.PACKET, now)
        if packet.kind is PacketKind.END:
            self.flows.note_end(packet, now)
        elif flow is None or not _opened_at_earlier_incarnation(flow, backend):
            self.flows.note_packet(packet, backend, now)
        return self._forward(packet, backend, written_token)

    def end_flows(
        self, backend: Backend, reason: RefusalReason, opened_until: float = float("inf")
    ) -> int:
        """Reset the open flows of a backend that no longer holds them; return their number.

        Those that opened after `opened_until` remain. A client that waits for an answer need
        not wait for its deadline, and an idle one opens a new flow for its next request.
        """
        ended = self.flows.take_open_flows_of(backend, opened_until)
        for flow, acknowledged in ended:
            self.counters[f"refused_{reason.value}"] += 1
            self.resets.append(ResetFlow(flow, reason, acknowledged))
            version = self.routes.version
            service = (backend.record.service,)
            self._on_decision(FlowRefused(flow, reason, version, 0, service, 0))
        return len(ended)

    def _reset_flows_of_ended(self, backend: Backend, _now: float) -> None:
        self.end_flows(backend, RefusalReason.BACKEND_ENDED)

    def _end_flow(self, packet: ClientPacket, reason: RefusalReason, now: float) -> RouterCommand:
        """Answer a packet with a reset, as the flow's backend no longer holds the flow."""
        self.flows.note_end(packet, now)
        return self._refuse(packet, reason, packet.acknowledged)

    def _report_placed(
        self, packet: ClientPacket, route: ActiveRoute, backend: Backend, now: float
    ) -> None:
        record = backend.record
        self._on_decision(
            FlowPlaced(
                flow=packet.flow,
                route=route.record.name,
                version=self.routes.version,
                service=record.service,
                backend=record.name,
                copies=packet.acknowledged,
                candidates=len(self.backends.of_service(record.service)),
                load=backend.busy + backend.pending,
                suspect=backend.suspect_until > now,
                gone=backend.gone_at is not None,
                answer_seconds=backend.pace.seconds,
                doubted=backend.doubted_until > now,
                repeatable=route.record.terms.repeatable,
                priority=route.record.terms.priority,
            )
        )

    def _forward(self, packet: ClientPacket, backend: Backend, token: int) -> ForwardPacket:
        record = backend.record
        self.counters["forwarded"] += 1
        return ForwardPacket(packet, record.identity, record.address, token)

    def _refuse_opening(
        self, packet: ClientPacket, reason: RefusalReason, now: float
    ) -> RouterCommand:
        if not self.may_refuse:
            return self._drop_opening(packet, DropReason.UNCONFIRMED_VIEW, now)
        return self._refuse(packet, reason)

    def _refuse(self, packet: ClientPacket, reason: RefusalReason, sequence: int = 0) -> ResetFlow:
        self.counters[f"refused_{reason.value}"] += 1
        route = self.routes.find(packet.destination)
        parts = () if route is None else route.record.parts
        self._on_decision(
            FlowRefused(
                flow=packet.flow,
                reason=reason,
                version=self.routes.version,
                copies=packet.acknowledged if packet.kind is PacketKind.OPEN else 0,
                services=tuple(part.service for part in parts),
                known=sum(len(self.backends.of_service(part.service)) for part in parts),
            )
        )
        return ResetFlow(packet.flow, reason, sequence)

    def note_late_opening(self, packet: ClientPacket, now: float) -> None:
        """Count an opening packet that was dropped, as it waited too long to be read."""
        self.counters[f"dropped_{DropReason.LATE_OPENING.value}"] += 1
        self._note_unplaced(packet, now)

    def _drop_opening(self, packet: ClientPacket, reason: DropReason, now: float) -> DropPacket:
        """Drop an opening packet whose copies this node may place."""
        self._note_unplaced(packet, now)
        return self._drop(packet, reason)

    def _note_unplaced(self, packet: ClientPacket, now: float) -> None:
        """Record an original that this node has dropped, so that no backend has received it."""
        if packet.acknowledged:
            return
        while self._unplaced and next(iter(self._unplaced.values())) <= now - OPENING_SECONDS:
            del self._unplaced[next(iter(self._unplaced))]
        if len(self._unplaced) < MAXIMUM_UNPLACED_OPENINGS:
            self._unplaced.pop(packet.flow, None)
            self._unplaced[packet.flow] = now

    def _may_have_moved(self, packet: ClientPacket, now: float) -> bool:
        """Return whether another node may have forwarded the original of a first copy.

        If this node has dropped the original itself, no other one has received it.
        """
        if packet.acknowledged != 1 or now >= self.flows_move_until:
            return False
        return now - self._unplaced.get(packet.flow, float("-inf")) >= OPENING_SECONDS

    def _drop(self, packet: ClientPacket, reason: DropReason) -> DropPacket:
        self.counters[f"dropped_{reason.value}"] += 1
        version = self.routes.version
        self._on_decision(PacketDropped(packet.flow, reason, version, packet.token))
        return DropPacket(packet, reason)


def _is_lost(flow: ObservedFlow, backend: Backend) -> bool:
    """Return whether a check found a backend dead that began after the flow, or its opening."""
    return flow.backend is backend and flow.began_at <= backend.flows_lost_until


def _has_wrong_token(packet: ClientPacket, flow: ObservedFlow) -> bool:
    """Return whether a packet has another token than its flow, but continues it.

    The client acknowledges what the flow's backend has sent, and has got the token from another
    backend that answered the opening as well.
    """
    if not flow.opened or packet.token == flow.token or flow.backend.removed:
        return False
    distance = (packet.acknowledged - flow.acknowledged) % SEQUENCE_NUMBERS
    return min(distance, SEQUENCE_NUMBERS - distance) <= MAXIMUM_UNSEEN_BYTES


def _opened_at_earlier_incarnation(flow: ObservedFlow, backend: Backend) -> bool:
    """Return whether a flow was opened at an earlier incarnation of the backend of that name.

    The present incarnation resets such a flow, so its packets are not counted for the backend.
    """
    return flow.backend.removed and flow.backend.record.name == backend.record.name
