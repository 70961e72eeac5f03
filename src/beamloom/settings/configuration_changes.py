"""What a change of the configuration altered, and which objects are not in force."""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.contracts import Backend, ServiceContract, TenantContract
from beamloom.settings.errors import (
    DuplicateVirtualAddressError,
    MissingParentError,
    SettingsError,
)
from beamloom.settings.service_records import ServiceRecord


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Contracts that changes altered or removed; removed ones are given as they last were.

    A service that was created again is both removed, under its old number, and changed.
    """

    services_changed: tuple[ServiceContract, ...] = ()
    services_removed: tuple[ServiceContract, ...] = ()
    tenants_changed: tuple[TenantContract, ...] = ()
    tenants_removed: tuple[TenantContract, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationProblem:
    """A stored object, or a part of it, that is not in force; `error` has the cause and remedy."""

    key: str
    revision: int
    error: SettingsError

    def __str__(self) -> str:
        """Return one line for operators."""
        return f"{self.key} at revision {self.revision}: {self.error}"


def inactive_service_problem(
    name: str, record: ServiceRecord, holder: str | None
) -> ConfigurationProblem:
    """Return why a readable service is not in force: it has no tenant, or its address is taken."""
    error: SettingsError = MissingParentError(
        f"service {name} has no tenant", f"create tenant {name.split('/', maxsplit=1)[0]}"
    )
    if holder is not None:
        error = DuplicateVirtualAddressError(
            f"{record.address} belongs to service {holder} already",
            f"give service {name} another address or delete service {holder}",
        )
    return ConfigurationProblem(record.stored.key, record.stored.revision, error)


def orphaned_backend_problem(service: str, backend: Backend) -> ConfigurationProblem:
    """Return the problem of a readable backend whose service does not exist."""
    error = MissingParentError(
        f"backend {backend.backend_id} has no service", f"create service {service}"
    )
    key = f"backend/{service}/{backend.backend_id}"
    return ConfigurationProblem(key, backend.backend_number, error)
