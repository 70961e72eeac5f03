"""The deployment that the simulation and the soak share: addresses, routes, endpoints' records."""

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
    """Return the destination key of a service's end."""
    return destination_key(end.address, end.port)


def destination(number: int) -> bytes:
    """Return the destination key of one of the services."""
    return key_of(service_end(number))


def first_routes() -> Routes:
    """Return the routes that a run begins with: a service for each address."""
    return {destination(1): frozenset({SERVICES[0]}), destination(2): frozenset({SERVICES[1]})}


def configuration_of(
    version: int, routes: Routes, warm_ups: tuple[ServiceWarmUp, ...] = ()
) -> RoutingConfiguration:
    """Return a version of the configuration; a route's services have equal weights."""
    records = tuple(
        RouteRecord(f"r-{key.hex()}", key, tuple(RoutePart(name, 1.0) for name in sorted(services)))
        for key, services in routes.items()
    )
    return RoutingConfiguration(version, records, warm_ups=warm_ups)


def endpoint_record(identity: int, service: str, address: tuple[str, int]) -> BackendRecord:
    """Return the record of an endpoint that is ready."""
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
    """Return the same number for the same text in every run."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
