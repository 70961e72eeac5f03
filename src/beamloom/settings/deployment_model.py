"""The tables of a deployment file: zones, links, tenants, services, backends and settings."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field

from beamloom.model.addresses import VirtualAddress
from beamloom.model.zones import Link
from beamloom.settings.file_models import (
    Address,
    FileModel,
    IpText,
    Items,
    Name,
    ZoneTable,
)
from beamloom.settings.stored_objects import (
    DEFAULT_WEIGHT,
    MAXIMUM_PORT,
    MAXIMUM_WEIGHT,
    PROTOCOLS,
)

SettingsTable = dict[str, Any]
"""Settings by name; nested tables are flattened to dotted names before they are checked."""

Delay = Annotated[float, Field(ge=0, le=10)]


class LinkTable(FileModel):
    """`[[links]]`: the path between two zones."""

    zones: Annotated[tuple[Name, Name], Field(strict=False)]
    one_way_delay_seconds: Delay
    loss_ratio: Annotated[float, Field(ge=0, lt=1)] = 0.0

    @property
    def link(self) -> Link:
        """The link as an object of the domain model."""
        return Link(*self.zones, self.one_way_delay_seconds, self.loss_ratio)


class ClientsTable(FileModel):
    """`[clients]`: the delay between clients and the fabric."""

    one_way_delay_seconds: Delay = 0.001


class BackendTable(FileModel):
    """`[[tenants.services.backends]]`: one endpoint."""

    name: Name
    address: Address
    health: Address
    zone: Name
    weight: Annotated[int, Field(ge=0, le=MAXIMUM_WEIGHT)] = DEFAULT_WEIGHT
    slots: Annotated[int, Field(ge=1)] = 2
    connections: Annotated[int, Field(ge=1)] = 2000


class ServiceTable(FileModel):
    """`[[tenants.services]]`: one virtual IP, protocol and port."""

    name: Name
    ip: IpText
    protocol: Literal["tcp", "udp"]
    port: Annotated[int, Field(ge=1, le=MAXIMUM_PORT)]
    settings: SettingsTable = Field(default_factory=dict)
    backends: Items[BackendTable] = ()

    @property
    def virtual_address(self) -> VirtualAddress:
        """The service's virtual IP, protocol and port."""
        return VirtualAddress(self.ip, PROTOCOLS[self.protocol], self.port)


class TenantTable(FileModel):
    """`[[tenants]]`: one tenant."""

    name: Name
    settings: SettingsTable = Field(default_factory=dict)
    services: Items[ServiceTable] = ()


class DeploymentTables(FileModel):
    """The whole deployment file."""

    zones: Items[ZoneTable] = Field(min_length=1)
    links: Items[LinkTable] = ()
    clients: ClientsTable = ClientsTable()
    settings: SettingsTable = Field(default_factory=dict)
    tenants: Items[TenantTable] = Field(min_length=1)
