"""Deployment files: the objects to create in the platform's store, and the zones."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beamloom.model.zones import Link, Zone
from beamloom.settings.declarations import SettingValue
from beamloom.settings.deployment_model import (
    BackendTable,
    DeploymentTables,
    ServiceTable,
    TenantTable,
)
from beamloom.settings.errors import SettingsError
from beamloom.settings.file_faults import SettingsFileError
from beamloom.settings.file_models import (
    address_faults,
    fault_at,
    key_text,
    raise_faults,
    read_tables,
    zone_faults,
    zones_by_name,
)
from beamloom.settings.toml_source import KeyPath, TomlSource, load_toml
from beamloom.settings.tree import GLOBAL_SCOPE, Scope
from beamloom.settings.validation import check_setting


@dataclass(frozen=True, slots=True)
class Deployment:
    """A checked deployment file; `client_delay` is one way, in seconds."""

    zones: tuple[Zone, ...]
    links: tuple[Link, ...]
    client_delay: float
    tenants: tuple[TenantTable, ...]
    settings: Mapping[Scope, Mapping[str, SettingValue]]

    def to_objects(self) -> tuple[tuple[str, dict[str, Any]], ...]:
        """Return keys and values for the store, parents first."""
        return tuple(self._objects())

    def _objects(self) -> Iterator[tuple[str, dict[str, Any]]]:
        for scope, values in self.settings.items():
            if values:
                yield scope.object_key, {"values": dict(values)}
        for tenant in self.tenants:
            yield f"tenant/{tenant.name}", {}
            for service in tenant.services:
                name = f"{tenant.name}/{service.name}"
                yield f"service/{name}", _service_value(service)
                for backend in service.backends:
                    yield f"backend/{name}/{backend.name}", _backend_value(backend)


def load_deployment(path: Path) -> Deployment:
    """Read and check a deployment file.

    Raises an ExceptionGroup that holds a SettingsFileError for each fault.
    """
    try:
        source = load_toml(path)
    except SettingsFileError as fault:
        raise ExceptionGroup("the settings file has faults", [fault]) from None
    return check_deployment(source)


def check_deployment(source: TomlSource) -> Deployment:
    """Return a checked deployment; raises an ExceptionGroup of SettingsFileErrors."""
    reading = read_tables(DeploymentTables, source)
    tables = reading.tables
    checker = _DeploymentChecker(source, tables)
    checker.check()
    raise_faults([*reading.faults, *checker.faults])
    return Deployment(
        zones=tuple(table.zone for table in tables.zones),
        links=tuple(table.link for table in tables.links),
        client_delay=tables.clients.one_way_delay_seconds,
        tenants=tables.tenants,
        settings=checker.settings,
    )


class _DeploymentChecker:
    """Collects the faults that the models do not find: across values, and in settings."""

    def __init__(self, source: TomlSource, tables: DeploymentTables) -> None:
        self.faults: list[SettingsFileError] = []
        self.settings: dict[Scope, dict[str, SettingValue]] = {}
        self._source = source
        self._tables = tables
        self._zones = zones_by_name(tables.zones)
        self._names: set[tuple[str, ...]] = set()
        self._virtual_addresses: dict[tuple[str, str, int], str] = {}
        self._backend_addresses: dict[object, str] = {}

    def check(self) -> None:
        """Check the whole file."""
        self.faults.extend(zone_faults(self._source, self._tables.zones))
        for index, link in enumerate(self._tables.links):
            for zone in link.zones or ():
                self._check_zone(("links", index, "zones"), zone)
        self._check_settings(GLOBAL_SCOPE, ("settings",), self._tables.settings)
        for index, tenant in enumerate(self._tables.tenants):
            self._check_tenant(("tenants", index), tenant)

    def _check_tenant(self, path: KeyPath, tenant: TenantTable) -> None:
        name = _name_of(tenant, path)
        self._check_name(path, "tenant", (name,))
        self._check_settings(Scope(name), (*path, "settings"), tenant.settings)
        for index, service in enumerate(tenant.services):
            self._check_service((*path, "services", index), name, service)

    def _check_service(self, path: KeyPath, tenant: str, service: ServiceTable) -> None:
        scope = Scope(tenant, _name_of(service, path))
        self._check_name(path, "service", (tenant, str(scope.service)))
        self._check_settings(scope, (*path, "settings"), service.settings)
        address = (service.ip, service.protocol, service.port)
        owner = self._virtual_addresses.setdefault(address, str(scope))
        if owner != str(scope) and None not in address:
            reason = f"{service.protocol} {service.ip} port {service.port} belongs to {owner}"
            self._add((*path, "ip"), reason, "give the service an address or port of its own")
        for index, backend in enumerate(service.backends):
            self._check_backend((*path, "backends", index), scope, backend)

    def _check_backend(self, path: KeyPath, scope: Scope, backend: BackendTable) -> None:
        names = (str(scope.tenant), str(scope.service), _name_of(backend, path))
        self._check_name(path, "backend", names)
        self._check_zone((*path, "zone"), backend.zone)
        for key, address in (("address", backend.address), ("health", backend.health)):
            where = (*path, key)
            self.faults.extend(
                address_faults(self._source, self._zones, backend.zone, where, address)
            )
        if backend.address is None:
            return
        name = "/".join(names)
        owner = self._backend_addresses.setdefault(backend.address, name)
        if owner != name:
            reason = f"{backend.address} belongs to backend {owner}"
            self._add((*path, "address"), reason, "give each backend an address of its own")

    def _check_name(self, path: KeyPath, kind: str, names: tuple[str, ...]) -> None:
        if names in self._names:
            reason = f"{kind} {names[-1]} is given twice"
            self._add((*path, "name"), reason, f"give each {kind} one name of its own")
        self._names.add(names)

    def _check_zone(self, path: KeyPath, zone: str) -> None:
        if zone is not None and zone not in self._zones:
            self._add(path, f"there is no zone {zone}", f"give one of {', '.join(self._zones)}")

    def _check_settings(self, scope: Scope, path: KeyPath, table: Mapping[str, Any]) -> None:
        checked = self.settings.setdefault(scope, {})
        for keys, value in _flatten(table or {}):
            name = ".".join(keys)
            try:
                checked[name] = check_setting(scope.level, name, value)
            except SettingsError as error:
                self._add((*path, *keys), error.reason, error.remedy)

    def _add(self, path: KeyPath, reason: str, remedy: str) -> None:
        self.faults.append(fault_at(self._source, path, reason, remedy))


def _name_of(table: TenantTable | ServiceTable | BackendTable, path: KeyPath) -> str:
    """Return a table's name or, if that cannot be read, its path, which is unique."""
    return table.name or key_text(path)


def _flatten(table: Mapping[str, Any]) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yield each value of nested tables with its path of keys."""
    for key, value in table.items():
        if isinstance(value, Mapping):
            for keys, nested in _flatten(value):
                yield (key, *keys), nested
        else:
            yield (key,), value


def _service_value(service: ServiceTable) -> dict[str, Any]:
    return {"ip": service.ip, "protocol": service.protocol, "port": service.port}


def _backend_value(backend: BackendTable) -> dict[str, Any]:
    return {
        "address": str(backend.address),
        "health": str(backend.health),
        "zone": backend.zone,
        "weight": backend.weight,
        "state": "active",
    }
