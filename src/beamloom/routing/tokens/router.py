"""Token router: takes one client packet and returns one command.

An opening packet gets a backend and a token. Any other packet is forwarded to the backend that its
token names, if the token was minted for its flow; without a valid token it is dropped, as the flow
may be open. If a later incarnation has the backend's address, or a check found the backend dead,
the flow is over and its client gets a reset. A flow that may have been opened since the check is
forwarded, and the backend checked again.

All copies of an opening packet go to one backend, unless its process has ended. If two backends
answered, each under a valid token, a late answer of one would direct the packets of the open flow
from the other to it. So the other nodes are asked about a copy whose original this node has not
received; it goes to the backend that one of them has chosen. If none has, the original was lost,
unless routers may be moving flows between nodes: then the node that got it may have ended. A first
copy is dropped then, as the backend sends its answer again before the client sends the second copy.
If two backends may have answered all the same, the nodes tell each other where the flow is open.
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
from beamloom.routing.tokens.held_copies import HeldCopies
from beamloom.routing.tokens.liveness import Suspicion
from beamloom.routing.tokens.packets import (
    ClientPacket,
    DropPacket,
    DropReason,
    ForwardPacket,
    HoldPacket,
    PacketKind,
    RefusalReason,
    ResetFlow,
    RouterCommand,
)
from beamloom.routing.tokens.placement import HIGHEST_PRIORITY, Placement
from beamloom.routing.tokens.records import RoutingConfiguration
from beamloom.routing.tokens.route_table import ActiveRoute, RouteTable
from beamloom.routing.tokens.token import NO_TOKEN, TokenCodec
from beamloom.routing.tokens.told_openings import NOT_OPEN, ToldOpening, ToldOpenings

Opening = tuple[bytes, str, int]
"""A flow, the name of its backend, and its acknowledgement number, or NOT_OPEN."""

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
MAXIMUM_UNTOLD = 30
"""Bounds the bytes that clients can cause; no other node corrects the tokens of further flows."""

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
    waiting for cold backends. With `asks_peers`, copies whose originals other nodes may have got
    are held; the nodes are asked about those in `held_copies`, and `note_opening_elsewhere` and
    `note_unknown_opening` are called with the answers. The nodes are to be told `untold`: flows at
    whose openings two backends may have answered, with the name of the backend where each is open
    and the client's acknowledgement number. `resets` queues the resets of flows that end
    without a packet from the client, `late_commands` the commands for packets that were held.
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
        self.asks_peers = False
        self.held_copies = HeldCopies()
        self.late_commands: deque[RouterCommand] = deque()
        self.told = ToldOpenings()
        self.untold: dict[bytes, Opening] = {}
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
        """Process due checks and timeouts of flows and held copies; remove idle flows."""
        self.flows.advance(now)
        for packet in self.held_copies.take_due(now):
            self.counters["openings_unanswered_by_peers"] += 1
            self._place_late(packet, now)

    def next_deadline(self) -> float | None:
        """Return when `advance` has the next flow or held copy to process, or None."""
        deadlines = (self.flows.next_deadline(), self.held_copies.next_deadline())
        return min((at for at in deadlines if at is not None), default=None)

    def find_opening(self, flow: bytes, now: float) -> Opening | None:
        """Return where a flow is that this node has seen or was told of, or None."""
        observed = self.flows.find(flow)
        if observed is not None:
            return self._report_opening(flow, observed)
        told = self._find_recently_told(flow, now)
        return None if told is None else (flow, told.backend, told.acknowledged)

    def unopened(self, now: float) -> list[Opening]:
        """Return where the flows are that this node has forwarded and that may still open."""
        reports = (
            self._report_opening(key, flow)
            for key, flow in self.flows.unopened_since(now - OPENING_SECONDS)
        )
        return [report for report in reports if report is not None]

    def _report_opening(self, key: bytes, flow: ObservedFlow) -> Opening | None:
        if flow.backend.removed or self._may_move(flow):
            return None
        return key, flow.backend.record.name, flow.acknowledged if flow.opened else NOT_OPEN

    def note_opening_elsewhere(
        self, flow: bytes, backend_name: str, acknowledged: int, now: float
    ) -> None:
        """Record at which backend another node has seen a flow, and handle a held copy of it.

        `acknowledged` is NOT_OPEN if the node has only forwarded the opening packet.
        """
        packet = self.held_copies.take(flow)
        if packet is None:
            self.told.note(flow, backend_name, acknowledged, now)
            observed = self.flows.find(flow)
            if observed is not None and observed.backend.record.name != backend_name:
                observed.may_have_two_answers = True
            return
        self.counters["openings_known_to_peers"] += 1
        self.late_commands.append(self._follow_told(packet, backend_name, now))

    def _find_recently_told(self, flow: bytes, now: float) -> ToldOpening | None:
        """Return what this node was told of a flow while its client may still open it."""
        told = self.told.find(flow, now)
        return None if told is None or told.told_at <= now - OPENING_SECONDS else told

    def _follow_told(self, packet: ClientPacket, backend_name: str, now: float) -> RouterCommand:
        """Return the command for a copy whose original another node has forwarded to a backend."""
        backend = self.backends.find(backend_name)
        route = self.routes.find(packet.destination)
        if self.codec is None or backend is None or route is None:
            return self._drop(packet, DropReason.COPY_WITHOUT_ORIGINAL)
        return self._forward_copy(packet, route, backend, self.codec, now)

    def note_unknown_opening(self, flow: bytes, host: str, now: float) -> None:
        """Handle a held copy whose original the node at a host has not forwarded."""
        packet = self.held_copies.note_unknown(flow, host)
        if packet is not None:
            self._place_late(packet, now)

    def _open(self, packet: ClientPacket, codec: TokenCodec, now: float) -> RouterCommand:
        self.flows.advance(now)
        route = self.routes.find(packet.destination)
        if route is None:
            return self._refuse_opening(packet, RefusalReason.NO_ROUTE, now)
        flow = self.flows.find(packet.flow)
        if flow is not None and flow.backend.removed:
            flow = self._follow_restart(packet.flow, flow)
        if flow is not None and not self._may_move(flow):
            return self._repeat_opening(packet, route, flow, codec, now)
        if flow is None and packet.acknowledged:
            told = self._find_recently_told(packet.flow, now)
            if told is not None:
                return self._follow_told(packet, told.backend, now)
        if flow is None and self._hold_copy(packet, now):
            return HoldPacket(packet)
        if flow is None and self._may_have_moved(packet, now):
            return self._drop(packet, DropReason.COPY_WITHOUT_ORIGINAL)
        return self._place(packet, route, codec, now)

    def _follow_restart(self, key: bytes, flow: ObservedFlow) -> ObservedFlow | None:
        """Return a flow whose backend restarted, at its new process; None if it has to begin anew.

        The new process may have got the opening packet before its store record reached this node.
        """
        former = flow.backend.record
        successor = self.backends.find(former.name)
        is_same = successor is not None and successor.record.identity == former.identity
        if flow.opened or successor is None or not is_same:
            self.flows.forget(key)
            return None
        self.flows.move_opening(flow, successor)
        return flow

    def _place(
        self, packet: ClientPacket, route: ActiveRoute, codec: TokenCodec, now: float
    ) -> RouterCommand:
        backend = self._choose(route, now)
        if backend is None:
            return self._handle_no_backend(packet, route, now)
        self._report_placed(packet, route, backend, now)
        is_new = self.flows.find(packet.flow) is None
        command = self._forward_opening(packet, backend, codec, now)
        if is_new and packet.acknowledged and not self._has_dropped(packet, now):
            self._note_second_answer(packet.flow)
        return command

    def _note_second_answer(self, key: bytes) -> None:
        """Report a new flow whose original another node may have forwarded to another backend."""
        flow = self.flows.find(key)
        assert flow is not None
        flow.may_have_two_answers = True
        self._queue_untold((key, flow.backend.record.name, NOT_OPEN))

    def _hold_copy(self, packet: ClientPacket, now: float) -> bool:
        """Hold a copy if other nodes are to be asked about it; return whether it is held."""
        if not self.asks_peers or not packet.acknowledged or self._has_dropped(packet, now):
            return False
        if not self.held_copies.hold(packet, now):
            self.counters["copies_not_held"] += 1
            return False
        self.counters["copies_held"] += 1
        return True

    def _place_late(self, packet: ClientPacket, now: float) -> None:
        """Place a copy that was held and whose original no other node is known to have."""
        route = self.routes.find(packet.destination)
        if self.codec is None or route is None:
            command: RouterCommand = self._drop(packet, DropReason.NO_BACKEND_FOR_COPY)
        elif self._may_have_moved(packet, now):
            command = self._drop(packet, DropReason.COPY_WITHOUT_ORIGINAL)
        else:
            command = self._place(packet, route, self.codec, now)
        self.late_commands.append(command)

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
        return self._forward_copy(packet, route, backend, codec, now)

    def _forward_copy(
        self,
        packet: ClientPacket,
        route: ActiveRoute,
        backend: Backend,
        codec: TokenCodec,
        now: float,
    ) -> RouterCommand:
        """Forward a copy to the backend that has got the original, if it may open flows."""
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
        token = self._find_token(packet, flow, codec, now)
        if token != packet.token:
            self.counters["tokens_corrected"] += 1
            written_token = token
            packet = packet._replace(token=token)
            if flow is not None:
                flow.may_have_two_answers = True
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
            noted = self.flows.note_packet(packet, backend, now)
            if noted.may_have_two_answers or (flow is None and self.told.find(packet.flow, now)):
                noted.may_have_two_answers = False
                self._queue_untold((packet.flow, backend.record.name, packet.acknowledged))
        return self._forward(packet, backend, written_token)

    def _find_token(
        self, packet: ClientPacket, flow: ObservedFlow | None, codec: TokenCodec, now: float
    ) -> int:
        """Return a packet's token, or that of its flow's backend if another one has sent it.

        The client then acknowledges what the flow's backend has sent, with a token that it got from
        another backend that answered the opening as well.
        """
        if not self._corrects_tokens:
            return packet.token
        if flow is not None and flow.opened:
            is_wrong = not flow.backend.removed and _continues(packet, flow.acknowledged)
            return flow.token if is_wrong else packet.token
        told = self.told.find(packet.flow, now)
        if told is None or told.acknowledged == NOT_OPEN:
            return packet.token
        backend = self.backends.find(told.backend)
        if backend is None or not _continues(packet, told.acknowledged):
            return packet.token
        return codec.mint(packet.flow, backend.record.identity)

    def _queue_untold(self, report: Opening) -> None:
        if len(self.untold) < MAXIMUM_UNTOLD:
            self.untold[report[0]] = report

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
        return not self._has_dropped(packet, now)

    def _has_dropped(self, packet: ClientPacket, now: float) -> bool:
        """Return whether this node has received and dropped the original of a copy."""
        return now - self._unplaced.get(packet.flow, float("-inf")) < OPENING_SECONDS

    def _drop(self, packet: ClientPacket, reason: DropReason) -> DropPacket:
        self.counters[f"dropped_{reason.value}"] += 1
        version = self.routes.version
        self._on_decision(PacketDropped(packet.flow, reason, version, packet.token))
        return DropPacket(packet, reason)


def _is_lost(flow: ObservedFlow, backend: Backend) -> bool:
    """Return whether a check found a backend dead that began after the flow, or its opening."""
    return flow.backend is backend and flow.began_at <= backend.flows_lost_until


def _continues(packet: ClientPacket, acknowledged: int) -> bool:
    """Return whether a packet is of the flow in which a client has sent this acknowledgement."""
    distance = (packet.acknowledged - acknowledged) % SEQUENCE_NUMBERS
    return min(distance, SEQUENCE_NUMBERS - distance) <= MAXIMUM_UNSEEN_BYTES


def _opened_at_earlier_incarnation(flow: ObservedFlow, backend: Backend) -> bool:
    """Return whether a flow was opened at an earlier incarnation of the backend of that name.

    The present incarnation resets such a flow, so its packets are not counted for the backend.
    """
    return flow.backend.removed and flow.backend.record.name == backend.record.name
