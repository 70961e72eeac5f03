"""Placement tables: which backends a slot's new flows may go to, from one generation.

Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005) with
bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018): each backend takes at most its weight's
share of the slots, rounded up. Pairs of slot and backend are assigned in order of their score, so a
change of one backend moves few slots besides its own. Every node computes the same table.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from beamloom.model.contracts import Backend, BackendAdministrativeState, Generation
from beamloom.routing.hashing import SLOT_COUNT, name_seed, rendezvous_scores

NO_CANDIDATE = -1
_UNIT = float(2**64)


@dataclass(frozen=True, slots=True)
class PlacementTable:
    """First and second candidate of each slot, as backend numbers (NO_CANDIDATE: none)."""

    revision: int
    first: tuple[int, ...]
    second: tuple[int, ...]


def build_placement_table(generation: Generation) -> PlacementTable:
    """Compute the candidates of every slot; draining backends and those of weight 0 get none."""
    backends = [backend for backend in generation.backends if _takes_new_flows(backend)]
    if not backends:
        no_candidates = (NO_CANDIDATE,) * SLOT_COUNT
        return PlacementTable(generation.revision, no_candidates, no_candidates)
    costs = _slot_costs(backends)
    first = _assign_bounded(costs, _slot_capacities(backends))
    second = _best_other(costs, first)
    numbers = [backend.backend_number for backend in backends] + [NO_CANDIDATE]
    return PlacementTable(
        generation.revision,
        tuple(numbers[index] for index in first),
        tuple(numbers[index] for index in second),
    )


def _takes_new_flows(backend: Backend) -> bool:
    return backend.state is BackendAdministrativeState.ACTIVE and backend.weight > 0


def _slot_costs(backends: Sequence[Backend]) -> np.ndarray[tuple[int, int], np.dtype[np.float64]]:
    """Return the cost of each (slot, backend) pair; the lowest cost wins."""
    columns = []
    for backend in backends:
        scores = rendezvous_scores(SLOT_COUNT, name_seed(f"backend/{backend.backend_number}"))
        uniform = (scores.astype(np.float64) + 0.5) / _UNIT
        columns.append(-np.log(uniform) / backend.weight)
    return np.stack(columns, axis=1)


def _slot_capacities(backends: Sequence[Backend]) -> list[int]:
    total = sum(backend.weight for backend in backends)
    return [math.ceil(SLOT_COUNT * backend.weight / total) for backend in backends]


def _assign_bounded(
    costs: np.ndarray[tuple[int, int], np.dtype[np.float64]], capacities: list[int]
) -> list[int]:
    """Assign each slot a backend below its capacity, taking the cheapest pairs first."""
    backend_count = costs.shape[1]
    assigned = [NO_CANDIDATE] * SLOT_COUNT
    remaining = list(capacities)
    unassigned = SLOT_COUNT
    for pair in np.argsort(costs, axis=None, kind="stable").tolist():
        slot, backend = divmod(pair, backend_count)
        if assigned[slot] != NO_CANDIDATE or not remaining[backend]:
            continue
        assigned[slot] = backend
        remaining[backend] -= 1
        unassigned -= 1
        if not unassigned:
            break
    return assigned


def _best_other(
    costs: np.ndarray[tuple[int, int], np.dtype[np.float64]], first: list[int]
) -> list[int]:
    """Return each slot's cheapest backend other than its first, or NO_CANDIDATE."""
    if costs.shape[1] == 1:
        return [NO_CANDIDATE] * SLOT_COUNT
    others = costs.copy()
    others[np.arange(SLOT_COUNT), np.array(first)] = np.inf
    best: list[int] = others.argmin(axis=1).tolist()
    return best
