"""Checks the token router against a model of routes, backends and placed flows."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from beamloom.fuzzing.errors import InvariantViolationError
from beamloom.routing.tokens.packets import (
    ClientPacket,
    DropPacket,
    ForwardPacket,
    PacketKind,
    ResetFlow,
)
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import BackendRecord, BackendState
from beamloom.routing.tokens.router import TokenRouter
from beamloom.routing.tokens.token import NO_TOKEN, TokenCodec
from beamloom.simulation.tokens import deployment

_KEY = bytes(16)
_GRACE_SECONDS = PlacementSettings().gone_grace_seconds


class TokenRouterSubject:
    """Two routers with the same key and updates; each must forward the flows of the other."""

    def __init__(self) -> None:
        self._routers = [self._make_router(seed) for seed in range(2)]
        self._now = 0.0
        self._version = 0
        self._revision = 0
        self._routes: dict[int, str] = {}
        self._backends: dict[int, BackendRecord] = {}
        self._gone: dict[int, float] = {}
        self._flows: dict[int, tuple[int, int, int]] = {}

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """Updates of routes and backends, packets of clients, and the passing of time."""
        return {
            "add": self._add,
            "drain": self._drain,
            "remove": self._remove,
            "route": self._route,
            "open": self._open,
            "send": self._send,
            "forge": self._forge,
            "wait": self._wait,
        }

    def finish(self) -> None:
        """Send one more packet on each flow, through both routers."""
        for client in list(self._flows):
            for node in range(len(self._routers)):
                self._send(client, node, 0)

    def _make_router(self, seed: int) -> TokenRouter:
        router = TokenRouter(Placement("west", PlacementSettings(), random.Random(seed)))
        router.codec = TokenCodec(_KEY)
        return router

    def _add(self, number: int, service: int) -> None:
        if number in self._backends or number in self._gone:
            return
        address = ("127.0.0.1", 9000 + number)
        record = deployment.endpoint_record(number + 1, deployment.SERVICES[service % 2], address)
        self._backends[number] = record
        self._update_backend(record)

    def _drain(self, number: int) -> None:
        record = self._backends.get(number)
        if record is None:
            return
        draining = record._replace(state=BackendState.DRAINING)
        self._backends[number] = draining
        self._update_backend(draining)

    def _remove(self, number: int) -> None:
        record = self._backends.pop(number, None)
        if record is None:
            return
        self._gone[number] = self._now
        for router in self._routers:
            router.backends.remove(record.name, self._now)

    def _route(self, destination: int, service: int) -> None:
        self._routes[destination % 3] = deployment.SERVICES[service % 2]
        self._version += 1
        routes = {
            deployment.destination(key): frozenset({name}) for key, name in self._routes.items()
        }
        for router in self._routers:
            router.activate(deployment.configuration_of(self._version, routes))

    def _open(self, client: int, destination: int, node: int) -> None:
        destination %= 3
        if client in self._flows:
            return
        packet = _packet(PacketKind.OPEN, client, destination, NO_TOKEN)
        command = self._routers[node % 2].handle(packet, self._now)
        service = self._routes.get(destination)
        ready = [
            record.identity
            for record in self._backends.values()
            if record.service == service and record.state is BackendState.READY
        ]
        if isinstance(command, ForwardPacket):
            self._check_placement(command.identity, ready)
            self._flows[client] = (destination, command.identity, command.token)
        elif not isinstance(command, ResetFlow) or ready:
            raise InvariantViolationError(f"{command} although backends {ready} are ready")

    def _check_placement(self, identity: int, ready: list[int]) -> None:
        recently_gone = [
            number + 1 for number, at in self._gone.items() if self._now - at < _GRACE_SECONDS
        ]
        allowed = ready or recently_gone
        if identity not in allowed:
            raise InvariantViolationError(f"a flow was placed on {identity}, allowed are {allowed}")

    def _send(self, client: int, node: int, size: int) -> None:
        if client not in self._flows:
            return
        destination, identity, token = self._flows[client]
        packet = _packet(PacketKind.DATA, client, destination, token, size % 100)
        command = self._routers[node % 2].handle(packet, self._now)
        forgotten = self._now - self._gone.get(identity - 1, self._now) >= 75.0
        if forgotten:
            return
        if not isinstance(command, ForwardPacket) or command.identity != identity:
            raise InvariantViolationError(f"a packet of a flow at {identity} became {command}")

    def _forge(self, client: int, destination: int, token: int, node: int) -> None:
        destination %= 3
        known = self._flows.get(client)
        if known is not None and known[2] == token and known[0] == destination:
            return
        packet = _packet(PacketKind.DATA, client, destination, token & 0xFFFF_FFFF)
        command = self._routers[node % 2].handle(packet, self._now)
        if not isinstance(command, DropPacket):
            raise InvariantViolationError(f"a made-up token was answered with {command}")

    def _wait(self, tenths: int) -> None:
        self._now += (tenths % 300) / 10
        for router in self._routers:
            router.advance(self._now)

    def _update_backend(self, record: BackendRecord) -> None:
        self._revision += 1
        for router in self._routers:
            router.backends.update(record, self._revision, self._now)


def _packet(
    kind: PacketKind, client: int, destination: int, token: int, size: int = 0
) -> ClientPacket:
    key = deployment.destination(destination)
    flow = key[:4] + client.to_bytes(2, "big") + bytes((100, 64, 0, 1)) + key[4:]
    return ClientPacket(kind, flow, key, token, 0, 0, size, b"")
