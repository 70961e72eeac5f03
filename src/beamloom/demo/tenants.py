"""The demo's tenants, made from the two users' example deployments in turn."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from importlib.resources import as_file, files

from beamloom.model.addresses import VirtualAddress
from beamloom.settings.declarations import SettingValue
from beamloom.settings.deployment import Deployment, load_deployment
from beamloom.settings.deployment_model import ServiceTable, TenantTable
from beamloom.settings.tree import Scope
from beamloom.standins.load_profiles import ProfileName

ADDRESS_OFFSET_PER_COPY = 1


@dataclass(frozen=True, slots=True)
class DemoTenant:
    """One tenant of the demo: its name, its load profile and its services' virtual addresses."""

    name: str
    profile: ProfileName
    services: dict[str, VirtualAddress]


def example_deployment(profile: ProfileName) -> Deployment:
    """Return one user's example deployment, which is part of the package."""
    with as_file(files("beamloom").joinpath("examples", f"{profile.value}.toml")) as path:
        return load_deployment(path)


def demo_deployment(tenant_count: int) -> tuple[Deployment, list[DemoTenant]]:
    """Return a deployment with the users' tenants in turn, and its tenants.

    Further copies of a user's tenant get other names and virtual addresses. The zones, links and
    client delay are those of the first user's deployment.
    """
    examples = {profile: example_deployment(profile) for profile in ProfileName}
    base = examples[ProfileName.VAKATALE]
    tables: list[TenantTable] = []
    settings = dict(base.settings)
    tenants: list[DemoTenant] = []
    for number in range(tenant_count):
        profile = list(ProfileName)[number % len(ProfileName)]
        example = examples[profile]
        table = _copy_tenant(example.tenants[0], number // len(ProfileName))
        tables.append(table)
        settings.update(_copy_settings(example, table.name))
        tenants.append(
            DemoTenant(
                table.name,
                profile,
                {service.name: service.virtual_address for service in table.services},
            )
        )
    deployment = Deployment(base.zones, base.links, base.client_delay, tuple(tables), settings)
    return deployment, tenants


def _copy_tenant(table: TenantTable, copy: int) -> TenantTable:
    if not copy:
        return table
    services = tuple(_copy_service(service, copy) for service in table.services)
    return table.model_copy(update={"name": f"{table.name}-{copy + 1}", "services": services})


def _copy_service(service: ServiceTable, copy: int) -> ServiceTable:
    address = ipaddress.ip_address(service.ip) + copy * ADDRESS_OFFSET_PER_COPY
    return service.model_copy(update={"ip": str(address)})


def _copy_settings(example: Deployment, name: str) -> dict[Scope, dict[str, SettingValue]]:
    return {
        Scope(name, scope.service): dict(values)
        for scope, values in example.settings.items()
        if scope.tenant is not None
    }
