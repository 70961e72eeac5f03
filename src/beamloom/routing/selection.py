"""The home's choice of a backend for a new flow, among a slot's candidates."""

from __future__ import annotations

from collections.abc import Sequence

from beamloom.routing.placement import NO_CANDIDATE
from beamloom.routing.services import RouteTable, ServiceRoute
from beamloom.world.contracts import BackendAdministrativeState, PlacementPreference


def choose_backend(service: ServiceRoute, slot: int, routes: RouteTable) -> int:
    """Return the backend number for a new flow, or NO_CANDIDATE when none is fit.

    With preference `balance` the candidate with fewer open flows at this home wins; with
    `stickiness` the first wins unless it is over its share by more than the service's bound.
    """
    table = service.current_table
    candidates = [
        number for number in (table.first[slot], table.second[slot]) if routes.has_backend(number)
    ]
    if not candidates:
        return NO_CANDIDATE
    if len(candidates) == 1:
        return candidates[0]
    if service.contract.policy.placement_prefer is PlacementPreference.BALANCE:
        return min(candidates, key=lambda number: _relative_load(service, routes, number))
    first, second = candidates
    return second if _over_share(service, routes, first) else first


def _relative_load(service: ServiceRoute, routes: RouteTable, number: int) -> float:
    return service.open_flows.get(number, 0) / routes.backends[number].backend.weight


def _over_share(service: ServiceRoute, routes: RouteTable, number: int) -> bool:
    """Whether one more flow would put a backend over its bounded share of this home's flows."""
    active = _active_numbers(service)
    total_weight = sum(routes.backends[item].backend.weight for item in active)
    total_flows = sum(service.open_flows.get(item, 0) for item in active) + 1
    share = total_flows * routes.backends[number].backend.weight / total_weight
    bound = share * (1 + service.contract.policy.placement_imbalance_bound)
    return service.open_flows.get(number, 0) >= max(bound, 1)


def _active_numbers(service: ServiceRoute) -> Sequence[int]:
    return [
        backend.backend_number
        for backend in service.contract.backends
        if backend.state is BackendAdministrativeState.ACTIVE
    ]
