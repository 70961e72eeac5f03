"""The home's choice of a backend for a new flow, among a slot's candidates."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

import xxhash

from beamloom.model.contracts import (
    Backend,
    BackendAdministrativeState,
    BackendOperatingStatus,
    PlacementPreference,
)
from beamloom.routing.hooks import BackendHealth
from beamloom.routing.placement import NO_CANDIDATE
from beamloom.routing.services import RouteTable, ServiceRoute

SLOT_BYTES = 2
UNFIT_STATUSES = frozenset({BackendOperatingStatus.OFFLINE, BackendOperatingStatus.SHEDDING})


class PlacementReason(IntEnum):
    """Why a flow was placed on its backend."""

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
    """The chosen backend's number, or NO_CANDIDATE, and the reason."""

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
    """Choose the backend of a new flow.

    `excluded` has already refused the flow. `preferred` is chosen if it is fit: a failed home may
    have placed the flow there.

    Otherwise the first of the slot's two candidates that is fit and has room is chosen; a draining,
    offline or shedding backend is not fit. A backend has room up to its share of this home's flows,
    raised to the next greater integer; with preference `stickiness` it may exceed its share by the
    service's bound. When neither candidate has room, the least loaded fit backend is chosen.
    """
    shares = _shares(service, health, excluded)
    if not shares:
        return Choice(NO_CANDIDATE, PlacementReason.NO_FIT_BACKEND)
    if preferred in shares:
        return Choice(preferred, PlacementReason.BASE_GENERATION)
    candidates = service.current_table.first[slot], service.current_table.second[slot]
    fit = [item for item in candidates if item in shares and routes.has_backend(item)]
    return _first_with_room(service, shares, slot, candidates, fit)


def _first_with_room(
    service: ServiceRoute,
    shares: dict[int, float],
    slot: int,
    candidates: tuple[int, int],
    fit: list[int],
) -> Choice:
    first, second = candidates
    over_share = PlacementReason.FIRST_OVER_SHARE
    if _prefers_balance(service):
        over_share = PlacementReason.BALANCE
    reasons = {
        first: PlacementReason.FIRST_CANDIDATE,
        second: over_share if first in fit else PlacementReason.FIRST_UNFIT,
    }
    for number in fit:
        if _has_room(service, shares, number):
            return Choice(number, reasons[number])
    return Choice(_least_loaded(service, shares, slot), PlacementReason.LEAST_LOADED)


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


def _least_loaded(service: ServiceRoute, shares: dict[int, float], slot: int) -> int:
    """Return the fit backend with the fewest open flows for its share; the slot breaks ties.

    Ties are common if a home has few flows of a service. With one order for all homes, every such
    flow of the fleet would go to the same backend.
    """
    seed = slot.to_bytes(SLOT_BYTES, "big")
    return min(
        shares,
        key=lambda item: (
            service.open_flows.get(item, 0) / shares[item],
            xxhash.xxh3_64_intdigest(seed, item),
        ),
    )


def _has_room(service: ServiceRoute, shares: dict[int, float], number: int) -> bool:
    """Whether one more flow leaves a backend within its bounded share of this home's flows.

    A share is raised to the next greater integer, so that some backend always has room (Mirrokni,
    Thorup and Zadimoghaddam 2018). An integer share also gains one: otherwise the short requests of
    a service with few flows at this home would all go to one backend.
    """
    total_flows = sum(service.open_flows.get(item, 0) for item in shares) + 1
    share = total_flows * shares[number] / sum(shares.values())
    bound = max(share * (1 + _imbalance_bound(service)), math.floor(share) + 1)
    return service.open_flows.get(number, 0) + 1 <= bound


def _prefers_balance(service: ServiceRoute) -> bool:
    return service.contract.policy.placement_prefer is PlacementPreference.BALANCE


def _imbalance_bound(service: ServiceRoute) -> float:
    """Return the fraction by which a backend may exceed its share; 0 with `balance`."""
    return 0.0 if _prefers_balance(service) else service.contract.policy.placement_imbalance_bound
