"""The token router: one packet of a client in, one command out.

An opening packet gets a backend and its token; any other packet is sent where its token says, if
the packet's route allows that backend's service. No reset goes out on a flow that may be open.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from beamloom.routing.tokens.backend_table import Backend, BackendTable
from beamloom.routing.tokens.flow_observer import FlowObserver, ObservedFlow
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
from beamloom.routing.tokens.placement import Placement
from beamloom.routing.tokens.records import RoutingConfiguration
from beamloom.routing.tokens.route_table import ActiveRoute, RouteTable
from beamloom.routing.tokens.token import NO_TOKEN


class TokenRouter:
    """Routes and backends of one node, and the decision for each packet."""

    def __init__(self, placement: Placement) -> None:
        self.routes = RouteTable()
        self.backends = BackendTable()
        self.flows = FlowObserver()
        self.counters: Counter[str] = Counter()
        self._placement = placement

    def put_in_force(self, configuration: RoutingConfiguration, now: float) -> bool:
        """Take a configuration if it is newer; return whether it was."""
        taken = self.routes.put_in_force(configuration, now)
        if taken:
            self.flows.idle_seconds = configuration.idle_seconds
        return taken

    def handle(self, packet: ClientPacket, now: float) -> RouterCommand:
        """Decide what becomes of one packet."""
        if packet.kind is PacketKind.OPEN:
            command = self._open(packet, now)
        else:
            command = self._follow_token(packet, now)
        return command

    def advance(self, now: float) -> None:
        """Let time pass: openings fail, resting flows are forgotten."""
        self.flows.advance(now)

    def _open(self, packet: ClientPacket, now: float) -> RouterCommand:
        route = self.routes.find(packet.destination)
        if route is None:
            return self._refuse(packet, RefusalReason.NO_ROUTE)
        flow = self.flows.find(packet.flow)
        if flow is not None and flow.opened:
            return self._forward(packet, flow.backend, flow.backend.token)
        backend = self._choose(route, _tried_before(flow), now)
        if backend is None:
            if packet.acknowledged:
                return self._drop(packet, DropReason.NO_BACKEND_FOR_COPY)
            return self._refuse(packet, RefusalReason.NO_BACKEND)
        self.flows.note_opening(packet.flow, backend, now)
        self.counters["opening_copies" if packet.acknowledged else "openings"] += 1
        return self._forward(packet, backend, backend.token)

    def _choose(self, route: ActiveRoute, tried: Sequence[Backend], now: float) -> Backend | None:
        for part in route.next_parts():
            backends = self.backends.of_service(part.service)
            backend = self._placement.choose(backends, tried, now)
            if backend is not None:
                return backend
        return None

    def _follow_token(self, packet: ClientPacket, now: float) -> RouterCommand:
        if packet.token == NO_TOKEN:
            return self._drop(packet, DropReason.NO_TOKEN)
        backend = self.backends.decode(packet.token)
        if backend is None:
            return self._drop(packet, DropReason.UNKNOWN_TOKEN)
        if not self.routes.allows(packet.destination, backend.record.service, now):
            known = self.routes.knows(packet.destination)
            return self._drop(
                packet, DropReason.FOREIGN_TOKEN if known else DropReason.UNKNOWN_ROUTE
            )
        if packet.kind is PacketKind.END:
            self.flows.note_end(packet.flow)
        else:
            has_data = packet.data_length > 0
            self.flows.note_packet(packet.flow, backend, packet.acknowledged, has_data, now)
        return self._forward(packet, backend, NO_TOKEN)

    def _forward(self, packet: ClientPacket, backend: Backend, token: int) -> ForwardPacket:
        record = backend.record
        self.counters["forwarded"] += 1
        return ForwardPacket(packet, record.identity, (record.host, record.port), token)

    def _refuse(self, packet: ClientPacket, reason: RefusalReason) -> ResetFlow:
        self.counters[f"refused_{reason.value}"] += 1
        return ResetFlow(packet, reason)

    def _drop(self, packet: ClientPacket, reason: DropReason) -> DropPacket:
        self.counters[f"dropped_{reason.value}"] += 1
        return DropPacket(packet, reason)


def _tried_before(flow: ObservedFlow | None) -> list[Backend]:
    return [] if flow is None else [*flow.tried, flow.backend]
