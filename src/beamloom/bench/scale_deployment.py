"""The machines, links and stored objects of a scale run."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from beamloom.bench.scale_options import (
    BETWEEN_REGIONS_DELAY,
    BETWEEN_ZONES_DELAY,
    ScaleOptions,
)
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Link, Zone
from beamloom.simulation.deployment import DATA_PORT, HEALTH_PORT, PLATFORM_DELAY, PLATFORM_ZONE

PEER_PORT, CONTROL_PORT = 5556, 7946
SERVICE_PORT = 443
SERVICES_PER_TENANT = 2
HOSTS_PER_NETWORK = 250


@dataclass(frozen=True, slots=True)
class StoredBackend:
    """The key and value of a backend in the store."""

    key: str
    value: dict[str, Any]


def zones_of(options: ScaleOptions) -> tuple[Zone, ...]:
    """Return the zones, assigned to the regions round-robin."""
    return tuple(
        Zone(f"zone-{index + 1}", f"region-{index % options.regions + 1}")
        for index in range(options.zones)
    )


def links_of(zones: tuple[Zone, ...]) -> Iterator[Link]:
    """Yield the links between zones and from each to the platform."""
    for index, first in enumerate(zones):
        yield Link(first.name, PLATFORM_ZONE, PLATFORM_DELAY)
        for second in zones[index + 1 :]:
            same_region = first.region == second.region
            delay = BETWEEN_ZONES_DELAY if same_region else BETWEEN_REGIONS_DELAY
            yield Link(first.name, second.name, delay)


def machine_of(number: int, zones: tuple[Zone, ...]) -> Machine:
    """Return machine `number` (from 0); machines are assigned to the zones round-robin."""
    network, host_number = divmod(number, HOSTS_PER_NETWORK)
    host = f"10.1.{network}.{host_number + 1}"
    return Machine(
        NodeId(f"node-{number + 1}"),
        zones[number % len(zones)],
        SocketAddress(host, DATA_PORT),
        SocketAddress(host, PEER_PORT),
        SocketAddress(host, CONTROL_PORT),
    )


def service_address(index: int) -> str:
    """Return the virtual IP of service `index` (from 0)."""
    network, host_number = divmod(index, HOSTS_PER_NETWORK)
    return f"198.18.{network}.{host_number + 1}"


def service_name(index: int) -> str:
    """Return `T/S` of service `index` (from 0)."""
    return f"tenant-{index // SERVICES_PER_TENANT + 1}/service-{index + 1}"


def is_never_repeated(index: int, options: ScaleOptions) -> bool:
    """Whether requests of service `index` may not be repeated; such services are spread evenly."""
    share = options.never_repeat_share
    return int((index + 1) * share) > int(index * share)


def parent_objects(options: ScaleOptions) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield tenants, services and their settings, parents first."""
    for index in range(options.services):
        name = service_name(index)
        if index % SERVICES_PER_TENANT == 0:
            tenant = name.partition("/")[0]
            yield f"tenant/{tenant}", {}
        yield (
            f"service/{name}",
            {"ip": service_address(index), "protocol": "tcp", "port": SERVICE_PORT},
        )
        values = {"request.repeat": "never"} if is_never_repeated(index, options) else {}
        yield f"settings/service/{name}", {"values": values}


def stored_backends(options: ScaleOptions, zones: tuple[Zone, ...]) -> Iterator[StoredBackend]:
    """Yield the backends, assigned to the services and zones round-robin."""
    for number in range(options.endpoints):
        service = number % options.services
        network, host_number = divmod(number, HOSTS_PER_NETWORK)
        host = f"10.2.{network}.{host_number + 1}"
        yield StoredBackend(
            f"backend/{service_name(service)}/backend-{number + 1}",
            {
                "address": f"{host}:{DATA_PORT}",
                "health": f"{host}:{HEALTH_PORT}",
                "zone": zones[number % len(zones)].name,
                "weight": 100,
                "state": "active",
                "operation": f"{number:016x}",
            },
        )
