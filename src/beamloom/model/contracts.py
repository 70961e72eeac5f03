"""Contracts: limits and policies of tenants and services, compiled from the accepted settings.

Services and backends are identified on the wire by numbers (`service_number`, `backend_number`):
the store revision at which the object was created, which is never reused and the same everywhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from beamloom.model.addresses import SocketAddress, VirtualAddress


class BackendAdministrativeState(StrEnum):
    """State of a backend as set by operators."""

    ACTIVE = "active"
    DRAINING = "draining"


class BackendOperatingStatus(IntEnum):
    """State of a backend as observed by its watchers."""

    UNKNOWN = 0
    ONLINE = 1
    SHEDDING = 2
    OFFLINE = 3


class PlacementPreference(StrEnum):
    """Whether placement favours keeping flows where they were or balanced load."""

    STICKINESS = "stickiness"
    BALANCE = "balance"


class RepeatPolicy(StrEnum):
    """Whether a request may be offered to a second backend."""

    ALLOWED = "allowed"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Backend:
    """One endpoint of a service; `weight` is its share of new flows relative to the others."""

    backend_id: str
    backend_number: int
    data_address: SocketAddress
    health_address: SocketAddress
    zone: str
    weight: int = 100
    state: BackendAdministrativeState = BackendAdministrativeState.ACTIVE


@dataclass(frozen=True, slots=True)
class Generation:
    """One version of a service's backend set; `backends` are sorted by backend number."""

    revision: int
    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Effective settings of one service, after inheritance; times are in seconds."""

    placement_prefer: PlacementPreference = PlacementPreference.STICKINESS
    placement_imbalance_bound: float = 0.10
    flow_idle_timeout: float = 3600.0
    flow_maximum_age: float = 86_400.0
    request_repeat: RepeatPolicy = RepeatPolicy.ALLOWED
    request_deadline: float = 0.0
    retry_budget_ratio: float = 0.1
    backend_cold_start_ramp: float = 30.0
    backend_check_interval: float = 2.0


@dataclass(frozen=True, slots=True)
class TenantLimits:
    """Limits of one tenant across the fleet; zero means unlimited, `table_share` is 0 to 1."""

    new_flows_per_second: float = 0.0
    open_flows: int = 0
    packets_per_second: float = 0.0
    table_share: float = 0.5


@dataclass(frozen=True, slots=True)
class TenantContract:
    """A tenant and its limits in force."""

    tenant: str
    limits: TenantLimits = field(default_factory=TenantLimits)


@dataclass(frozen=True, slots=True)
class ServiceContract:
    """A service in force: its virtual address, its policy and its backend sets.

    `generations` holds the recent versions of the backend set, oldest first. New flows are placed
    by the last one; earlier ones show where flows that started under them were placed.
    """

    service_id: str
    service_number: int
    tenant: str
    virtual_address: VirtualAddress
    revision: int
    policy: ServicePolicy
    generations: tuple[Generation, ...]

    @property
    def current_generation(self) -> Generation:
        """The generation by which new flows are placed."""
        return self.generations[-1]

    @property
    def backends(self) -> tuple[Backend, ...]:
        """The backends of the current generation, draining ones included."""
        return self.generations[-1].backends
