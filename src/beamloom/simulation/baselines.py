"""Baseline cores for comparison: each node places flows by itself and shares no state.

`modulo` is a hash modulo the number of active backends; `rendezvous` is highest-random-weight
hashing (Thaler and Ravishankar 1998). Both read the store directly and keep a local flow table.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from functools import partial

import xxhash

from beamloom.model.addresses import SocketAddress
from beamloom.model.contracts import Backend, BackendAdministrativeState, ServiceContract
from beamloom.node.options import NodeOptions
from beamloom.protocol.commands import Command, ListStore, StopNode, WatchStore
from beamloom.protocol.events import (
    Event,
    StopRequested,
    StoreChanged,
    StoredObject,
    StoreFailed,
    StoreListed,
    TimerExpired,
)
from beamloom.routing.packet import FlowTuple, PacketError, parse_packet
from beamloom.settings.configuration import Configuration
from beamloom.simulation.fleet import CoreFactory, product_core
from beamloom.simulation.node_adapter import DecisionCore

STORE_RETRY_SECONDS = 1.0
LIST_REQUEST = 1
WATCH_REQUEST = 2

Choose = Callable[[FlowTuple, Sequence[Backend]], Backend]


class Placement(StrEnum):
    """How flows are placed: by the product, or by one of the baselines."""

    HOME = "home"
    RENDEZVOUS = "rendezvous"
    MODULO = "modulo"


def choose_by_modulo(flow: FlowTuple, backends: Sequence[Backend]) -> Backend:
    """Return the backend whose index is the flow's hash modulo the number of backends."""
    return backends[xxhash.xxh3_64_intdigest(flow.hash_input) % len(backends)]


def choose_by_rendezvous(flow: FlowTuple, backends: Sequence[Backend]) -> Backend:
    """Return the backend with the highest hash of flow and backend."""
    return max(backends, key=partial(_score, flow.hash_input))


def _score(flow: bytes, backend: Backend) -> int:
    return xxhash.xxh3_64_intdigest(flow, backend.backend_number)


class BaselineCore:
    """A core that places flows without coordination, with the interface of `DecisionCore`."""

    def __init__(self, options: NodeOptions, choose: Choose) -> None:
        self.configuration = Configuration()
        self.ready = False
        self.has_commands = False
        self._choose = choose
        self._gateway = options.gateways[0]
        self._services: dict[bytes, ServiceContract] = {}
        self._flows: dict[FlowTuple, SocketAddress] = {}
        self._retry_at: float | None = None

    @property
    def revision_in_force(self) -> int:
        """The revision of the last change that was applied."""
        return self.configuration.revision

    def start(self, now: float) -> list[Command]:
        """Return the command that lists the store."""
        return [ListStore(LIST_REQUEST)]

    def take_commands(self, now: float) -> list[Command]:
        """Return no commands: packets produce none."""
        return []

    def next_timer(self) -> float | None:
        """Return when to list the store again after a failure, or None."""
        return self._retry_at

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Return the backend for a client's packet, the gateway for a backend's answer, or None."""
        try:
            flow = parse_packet(data).flow
        except PacketError:
            return None
        service = self._services.get(flow.destination_key)
        if service is not None:
            return self._place(flow, service)
        answering = self._services.get(flow.source_key)
        if answering is None or source not in _addresses(answering.backends):
            return None
        return self._gateway

    def _place(self, flow: FlowTuple, service: ServiceContract) -> SocketAddress | None:
        known = self._flows.get(flow)
        if known is not None and known in _addresses(service.backends):
            return known
        active = [
            backend
            for backend in service.backends
            if backend.state is BackendAdministrativeState.ACTIVE
        ]
        if not active:
            return None
        chosen = self._choose(flow, active).data_address
        self._flows[flow] = chosen
        return chosen

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle events of the store, the timer and the planned stop; ignore others."""
        match event:
            case StoreListed(_, revision, objects):
                self._apply(sorted(objects, key=lambda item: item.revision))
                self.ready = True
                return [WatchStore(WATCH_REQUEST, revision)]
            case StoreChanged(_, _, changes):
                self._apply(changes)
            case StoreFailed():
                self._retry_at = now + STORE_RETRY_SECONDS
            case TimerExpired() if self._retry_at is not None and self._retry_at <= now:
                self._retry_at = None
                return [ListStore(LIST_REQUEST)]
            case StopRequested():
                return [StopNode(complete=True, reason="stop requested")]
        return []

    def _apply(self, changes: Sequence[StoredObject]) -> None:
        for change in changes:
            if change.revision > self.configuration.revision:
                self.configuration.apply(change)
        self._services = {
            _destination_key(service): service for service in self.configuration.services.values()
        }


def _addresses(backends: Sequence[Backend]) -> frozenset[SocketAddress]:
    return frozenset(backend.data_address for backend in backends)


def _destination_key(service: ServiceContract) -> bytes:
    address = service.virtual_address
    return address.packed_ip + address.port.to_bytes(2, "big") + bytes((address.protocol,))


def core_factory(placement: Placement) -> CoreFactory:
    """Return the factory of a placement's cores."""
    if placement is Placement.HOME:
        return product_core
    modulo = placement is Placement.MODULO
    choose = choose_by_modulo if modulo else choose_by_rendezvous

    def make(options: NodeOptions, now: float) -> DecisionCore:
        return BaselineCore(options, choose)

    return make
