"""The home's choice of a backend for a new flow, among a slot's candidates."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from beamloom.routing.hooks import BackendHealth
from beamloom.routing.placement import NO_CANDIDATE
from beamloom.routing.services import RouteTable, ServiceRoute
from beamloom.world.contracts import (
    Backend,
    BackendAdministrativeState,
    BackendOperatingStatus,
    PlacementPreference,
)

UNFIT_STATUSES = frozenset({BackendOperatingStatus.OFFLINE, BackendOperatingStatus.SHEDDING})


class PlacementReason(IntEnum):
    """Why a flow is where it is."""

    BASE_GENERATION = 0
    FIRST_CANDIDATE = 1
    FIRST_OVER_SHARE = 2
    FIRST_UNFIT = 3
    BALANCE = 4
    LEAST_LOADED = 5
    NO_FIT_BACKEND = 6
    RETRIED_AFTER_REFUSAL = 7
    REPLICA = 8
    TRANSFERRED = 9
    CACHED_ANSWER = 10


@dataclass(frozen=True, slots=True)
class Choice:
    """A backend number, or NO_CANDIDATE, and why."""

    backend_number: int
    reason: PlacementReason


def choose_backend(
    service: ServiceRoute,
    slot: int,
    routes: RouteTable,
    health: BackendHealth,
    *,
    excluded: int = NO_CANDIDATE,
    preferred: int = NO_CANDIDATE,
) -> Choice:
    """Choose the backend of a new flow; `excluded` has refused it already.

    `preferred` takes it where it is fit: a dead home may have placed the flow there.

    With preference `balance` the candidate with fewer open flows at this home wins; with
    `stickiness` the first wins unless it is over its share by more than the service's bound. A
    candidate that is draining, offline or shedding is passed over; when neither is fit, the
    least loaded fit backend of the service takes the flow.
    """
    shares = _shares(service, health, excluded)
    if not shares:
        return Choice(NO_CANDIDATE, PlacementReason.NO_FIT_BACKEND)
    if preferred in shares:
        return Choice(preferred, PlacementReason.BASE_GENERATION)
    table = service.current_table
    candidates = (table.first[slot], table.second[slot])
    fit = [item for item in candidates if item in shares and routes.has_backend(item)]
    if not fit:
        return Choice(_least_loaded(service, shares, list(shares)), PlacementReason.LEAST_LOADED)
    if service.contract.policy.placement_prefer is PlacementPreference.BALANCE:
        return Choice(_least_loaded(service, shares, fit), PlacementReason.BALANCE)
    return _first_with_room(service, shares, candidates, fit)


def _first_with_room(
    service: ServiceRoute, shares: dict[int, float], candidates: tuple[int, int], fit: list[int]
) -> Choice:
    first, second = candidates
    reasons = {
        first: PlacementReason.FIRST_CANDIDATE,
        second: PlacementReason.FIRST_OVER_SHARE if first in fit else PlacementReason.FIRST_UNFIT,
    }
    for number in fit:
        if not _over_share(service, shares, number):
            return Choice(number, reasons[number])
    return Choice(_least_loaded(service, shares, list(shares)), PlacementReason.LEAST_LOADED)


def _shares(service: ServiceRoute, health: BackendHealth, excluded: int) -> dict[int, float]:
    """Return the effective weights of the backends that are fit for a new flow."""
    return {
        backend.backend_number: max(
            backend.weight * health.weight_factor(backend.backend_number), 1e-6
        )
        for backend in service.contract.backends
        if backend.backend_number != excluded and _is_fit(backend, health)
    }


def _is_fit(backend: Backend, health: BackendHealth) -> bool:
    active = backend.state is BackendAdministrativeState.ACTIVE and backend.weight > 0
    return active and health.status(backend.backend_number) not in UNFIT_STATUSES


def _least_loaded(service: ServiceRoute, shares: dict[int, float], numbers: Sequence[int]) -> int:
    return min(numbers, key=lambda item: service.open_flows.get(item, 0) / shares[item])


def _over_share(service: ServiceRoute, shares: dict[int, float], number: int) -> bool:
    """Whether one more flow would put a backend over its bounded share of this home's flows."""
    total_flows = sum(service.open_flows.get(item, 0) for item in shares) + 1
    share = total_flows * shares[number] / sum(shares.values())
    bound = share * (1 + service.contract.policy.placement_imbalance_bound)
    return service.open_flows.get(number, 0) >= max(bound, 1)
