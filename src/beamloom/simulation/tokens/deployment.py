"""Addresses, routes and endpoint records of the deployment in the simulation and the soak."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from beamloom.platform.packet_layout import destination_key
from beamloom.routing.tokens.records import (
    BackendRecord,
    BackendState,
    RoutePart,
    RouteRecord,
    RoutingConfiguration,
    ServiceWarmUp,
)
from beamloom.standins.flow_packets import FlowEnd

ZONES = ("west", "middle", "east")
SERVICES = ("tracker", "labeller")
SERVICE_PORT = 443
ENDPOINT_SLOTS = 2

Routes = Mapping[bytes, frozenset[str]]


def service_end(number: int) -> FlowEnd:
    """Return the address and port of one of the services."""
    return FlowEnd(bytes((198, 18, 0, number)), SERVICE_PORT)


def key_of(end: FlowEnd) -> bytes:
    """Return the destination key of an address and port."""
    return destination_key(end.address, end.port)


def destination(number: int) -> bytes:
    """Return the destination key of one of the services."""
    return key_of(service_end(number))


def initial_routes() -> Routes:
    """Return the routes at the start of a run: one service for each address."""
    return {destination(1): frozenset({SERVICES[0]}), destination(2): frozenset({SERVICES[1]})}


def configuration_of(
    version: int, routes: Routes, warm_ups: tuple[ServiceWarmUp, ...] = ()
) -> RoutingConfiguration:
    """Return a configuration in which the services of a route have equal weights."""
    records = tuple(
        RouteRecord(f"r-{key.hex()}", key, tuple(RoutePart(name, 1.0) for name in sorted(services)))
        for key, services in routes.items()
    )
    return RoutingConfiguration(version, records, warm_ups=warm_ups)


def endpoint_record(identity: int, service: str, address: tuple[str, int]) -> BackendRecord:
    """Return the record of a ready endpoint; its zone depends on its identity."""
    return BackendRecord(
        name=f"i-{identity:08x}",
        identity=identity,
        service=service,
        host=address[0],
        port=address[1],
        zone=ZONES[identity % len(ZONES)],
        slots=ENDPOINT_SLOTS,
        state=BackendState.READY,
    )


def stable_hash(text: str) -> int:
    """Return a hash that is the same in every process, unlike `hash`."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
