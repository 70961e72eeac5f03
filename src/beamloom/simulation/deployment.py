"""Simulated deployments of two users: zones, delays, services and stored objects."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.model.contracts import PlacementPreference
from beamloom.model.zones import Link, Zone

DATA_PORT = 5555
HEALTH_PORT = 8080
SERVICE_PORT = 443
PLATFORM_ZONE = "platform"
PLATFORM_DELAY = 0.002
"""One-way delay from a zone to the platform's store, in seconds."""


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service of a site; requests to a `repeatable` one may be executed more than once."""

    tenant: str
    name: str
    ip: str
    backend_count: int
    repeatable: bool = True
    protocol: TransportProtocol = TransportProtocol.TCP

    @property
    def service_id(self) -> str:
        """The service's id, `tenant/name`."""
        return f"{self.tenant}/{self.name}"

    @property
    def virtual_address(self) -> VirtualAddress:
        """The address that clients use."""
        return VirtualAddress(self.ip, self.protocol, SERVICE_PORT)


@dataclass(frozen=True, slots=True)
class Site:
    """One user's region: zones, one-way delays in seconds, and services.

    `network_number` is the second octet of the region's IP addresses; `preference` is the placement
    preference of its tenants.
    """

    region: str
    zone_names: tuple[str, ...]
    zone_delay: float
    client_delay: float
    network_number: int
    services: tuple[ServiceSpec, ...]
    preference: PlacementPreference = PlacementPreference.STICKINESS

    @property
    def zones(self) -> tuple[Zone, ...]:
        """The zones of the region."""
        return tuple(Zone(name, self.region) for name in self.zone_names)

    @property
    def client_zone(self) -> Zone:
        """The zone of the clients and of the fabric's edge."""
        return Zone(f"clients-{self.region}", f"clients-{self.region}")


@dataclass(frozen=True, slots=True)
class BackendLocation:
    """The stored key, id, service, zone and addresses of one backend."""

    key: str
    backend_id: str
    service: ServiceSpec
    zone: Zone
    data_address: SocketAddress
    health_address: SocketAddress

    def stored_value(self, state: str = "active") -> dict[str, Any]:
        """Return the value of the backend's stored object."""
        return {
            "address": str(self.data_address),
            "health": str(self.health_address),
            "zone": self.zone.name,
            "weight": 100,
            "state": state,
        }


VAKATALE = Site(
    "suva",
    ("laucala", "walu-bay", "nabua"),
    0.0015,
    0.001,
    1,
    (
        ServiceSpec("vakatale", "tracker", "198.51.100.1", 7, repeatable=False),
        ServiceSpec("vakatale", "labeller", "198.51.100.2", 3),
    ),
)
TAIRI = Site(
    "nairobi",
    ("westlands", "industrial-area", "upper-hill"),
    0.0015,
    0.003,
    2,
    (
        ServiceSpec("tairi", "bay-desk", "203.0.113.1", 7, repeatable=False),
        ServiceSpec("tairi", "catalogue", "203.0.113.2", 3),
    ),
    PlacementPreference.BALANCE,
)


def backend_location(site: Site, service: ServiceSpec, index: int) -> BackendLocation:
    """Return the location of backend `index` (from 1) of a service."""
    zone = site.zones[(index - 1) % len(site.zones)]
    service_index = site.services.index(service) + 1
    host = f"10.{site.network_number}.{service_index + 100}.{index}"
    backend_id = f"{service.name}-{index}"
    return BackendLocation(
        f"backend/{service.service_id}/{backend_id}",
        backend_id,
        service,
        zone,
        SocketAddress(host, DATA_PORT),
        SocketAddress(host, HEALTH_PORT),
    )


def site_links(sites: tuple[Site, ...]) -> Iterator[Link]:
    """Yield the links between the zones of each site, to its clients and to the platform."""
    for site in sites:
        for first in site.zone_names:
            yield Link(first, site.client_zone.name, site.client_delay)
            yield Link(first, PLATFORM_ZONE, PLATFORM_DELAY)
            for second in site.zone_names:
                if first < second:
                    yield Link(first, second, site.zone_delay)


def initial_objects(site: Site) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield keys and values of a site's initial objects, parents before children."""
    for tenant in sorted({service.tenant for service in site.services}):
        yield f"tenant/{tenant}", {}
        values: dict[str, Any] = {"placement.prefer": site.preference.value}
        yield f"settings/tenant/{tenant}", {"values": values}
    for service in site.services:
        address = service.virtual_address
        yield (
            f"service/{service.service_id}",
            {
                "ip": address.ip,
                "protocol": address.protocol.name.lower(),
                "port": address.port,
            },
        )
        values = {} if service.repeatable else {"request.repeat": "never"}
        yield f"settings/service/{service.service_id}", {"values": values}
        for index in range(1, service.backend_count + 1):
            placed = backend_location(site, service, index)
            yield placed.key, placed.stored_value()
