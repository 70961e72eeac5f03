"""Chooses the backend of a new flow from this node's own observations.

The cost of a backend is its load relative to its capacity, plus a surcharge in another zone.
Suspect backends are used only if no others are left. A backend that has just been removed from the
store without draining is the last resort: the store sometimes loses entries of backends that serve.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from beamloom.routing.tokens.answer_pace import typical_seconds
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.cold_starts import ColdStartGate
from beamloom.routing.tokens.records import DEFAULT_TERMS, BackendState, RouteTerms
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms

MAXIMUM_GONE_GRACE_SECONDS = 2.0
PROPAGATION_SECONDS = 1.0
"""Usual upper limit of the time until a change of a backend reaches a node."""
GONE_MARGIN_SECONDS = 0.5
"""Covers the error of the time at which the store last listed a backend, and a packet's transit."""
MINIMUM_UNDOUBTED_FRACTION = 0.5
"""If a smaller fraction of the candidates is not marked doubted, the marks are ignored: their cause
is then probably load, and the few other backends could not take all flows.
"""
HIGHEST_PRIORITY = 0
"""Priority of the most urgent routes; higher numbers are less urgent (the platform's protocol)."""
RESERVED_SLOTS = 1
"""Slots of each backend that has more, kept for requests of the highest priority. Other requests
use them only if no candidate has another free slot.
"""


class PlacementSettings(NamedTuple):
    """Weights of the cost function, and switches.

    `other_zone_surcharge` is in units of a backend's full load. `open_flow_load` is the load of
    each open flow, to which a pending request adds 1. `gone_grace_seconds` is how long a backend
    that was removed from the store may be used if no other is left, since this node learned of it,
    but not beyond `gone_limit_seconds` after the store last listed it: it must get no new flows
    when it may have left for so long. `weighs_load`, `avoids_suspects`, `weighs_pace`,
    `spares_unrepeatable` and `keeps_reserve` are switched off only to measure their effect.
    """

    other_zone_surcharge: float = 0.5
    open_flow_load: float = 0.05
    gone_grace_seconds: float = MAXIMUM_GONE_GRACE_SECONDS
    gone_limit_seconds: float = MAXIMUM_GONE_GRACE_SECONDS + GONE_MARGIN_SECONDS
    weighs_load: bool = True
    avoids_suspects: bool = True
    weighs_pace: bool = True
    spares_unrepeatable: bool = True
    keeps_reserve: bool = True


def placement_settings(
    drain_seconds: float, mechanisms: Mechanisms = ALL_MECHANISMS
) -> PlacementSettings:
    """Return the settings where a leaving backend must get no new flows after `drain_seconds`."""
    grace = min(MAXIMUM_GONE_GRACE_SECONDS, drain_seconds - PROPAGATION_SECONDS)
    settings = PlacementSettings(
        gone_grace_seconds=max(0.0, grace) if mechanisms.gone_grace else 0.0,
        gone_limit_seconds=drain_seconds - GONE_MARGIN_SECONDS,
        weighs_load=mechanisms.observed_load,
        avoids_suspects=mechanisms.suspicion,
        weighs_pace=mechanisms.answer_pace,
        spares_unrepeatable=mechanisms.risk_aversion,
        keeps_reserve=mechanisms.priority_reserve,
    )
    if not mechanisms.own_zone:
        settings = settings._replace(other_zone_surcharge=0.0)
    return settings


class Placement:
    """Chooses backends for one node in `zone`; `rng` breaks ties.

    `cold_starts` limits new flows at cold backends; without it they are treated as warm. Backends
    of `reserving_services` keep room for requests of the highest priority. `counters` counts the
    decisions that depended on a route's terms.
    """

    def __init__(
        self,
        zone: str,
        settings: PlacementSettings,
        rng: random.Random,
        cold_starts: ColdStartGate | None = None,
    ) -> None:
        self._cold_starts = cold_starts
        self._zone = zone
        self._settings = settings
        self.rng = rng
        self.counters: Counter[str] = Counter()
        self.reserving_services: frozenset[str] = frozenset()

    def choose(
        self,
        backends: Collection[Backend],
        now: float,
        terms: RouteTerms = DEFAULT_TERMS,
    ) -> Backend | None:
        """Return the backend for a new flow, or None if no backend may take it."""
        ready = [backend for backend in backends if backend.takes_flows]
        cold: list[Backend] = []
        if self._cold_starts is not None:
            cold = [backend for backend in ready if backend.cold_until > now]
            ready = [backend for backend in ready if backend.cold_until <= now]
        running = [backend for backend in ready if backend.down_since is None]
        answering = [backend for backend in running if not self._is_suspect(backend, now)]
        if cold and not any(map(_has_room, answering)):
            answering += self._usable_cold(cold, now)
        if self._settings.spares_unrepeatable and not terms.repeatable:
            answering = self._without_doubted(answering, now)
        if self.reserving_services and terms.priority > HIGHEST_PRIORITY:
            answering = self._without_reserved(answering)
        for candidates in (answering, running, ready):
            if candidates:
                return self._cheapest(candidates, now)
        recently_gone = [backend for backend in backends if self._is_recently_gone(backend, now)]
        return self._cheapest(recently_gone, now) if recently_gone else None

    def _without_doubted(self, answering: list[Backend], now: float) -> list[Backend]:
        """Return the candidates for a flow whose requests must not run twice."""
        undoubted = [backend for backend in answering if backend.doubted_until <= now]
        if len(undoubted) == len(answering):
            return answering
        if len(undoubted) < MINIMUM_UNDOUBTED_FRACTION * len(answering):
            self.counters["doubted_not_spared"] += 1
            return answering
        self.counters["doubted_spared"] += 1
        return undoubted

    def _without_reserved(self, answering: list[Backend]) -> list[Backend]:
        """Return the backends with a free slot besides reserved ones, or all if there are none."""
        if not self._settings.keeps_reserve or not answering:
            return answering
        if answering[0].record.service not in self.reserving_services:
            return answering
        outside = list(filter(_has_room_beside_reserve, answering))
        if outside and len(outside) < len(answering):
            self.counters["reserve_kept"] += 1
        return outside or answering

    def has_cold_backend(self, backends: Collection[Backend], now: float) -> bool:
        """Whether a cold backend is up and ready, so that it may take a flow later."""
        return self._cold_starts is not None and any(
            backend.takes_flows and backend.down_since is None and backend.cold_until > now
            for backend in backends
        )

    def may_take_flow(self, backend: Backend, now: float) -> bool:
        """Whether a backend that was chosen for a flow may still open it."""
        return backend.takes_flows or self._is_recently_gone(backend, now)

    def note_opening(self, backend: Backend, now: float) -> None:
        """Count an opening packet that goes to a cold backend, if cold backends are limited."""
        if self._cold_starts is not None and backend.cold_until > now:
            self._cold_starts.note_opening(backend, now)

    def _usable_cold(self, cold: list[Backend], now: float) -> list[Backend]:
        """Return the cold backends at which this node may open a flow now."""
        assert self._cold_starts is not None
        return [
            backend
            for backend in cold
            if backend.down_since is None
            and not self._is_suspect(backend, now)
            and self._cold_starts.allows(backend, now)
        ]

    def _is_suspect(self, backend: Backend, now: float) -> bool:
        suspected_until = max(backend.suspect_until, backend.failing_until)
        return self._settings.avoids_suspects and suspected_until > now

    def _is_recently_gone(self, backend: Backend, now: float) -> bool:
        return (
            backend.gone_at is not None
            and not backend.ended
            and backend.down_since is None
            and not backend.evacuated
            and not (self._cold_starts is not None and backend.cold_until > now)
            and backend.record.state is BackendState.READY
            and now - backend.gone_at < self._settings.gone_grace_seconds
            and now - backend.last_listed_at < self._settings.gone_limit_seconds
        )

    def _cheapest(self, candidates: list[Backend], now: float) -> Backend:
        if len(candidates) == 1:
            return candidates[0]
        typical = 0.0
        if self._settings.weighs_pace:
            typical = typical_seconds(backend.pace for backend in candidates)
        return min(
            candidates, key=lambda backend: (self._cost(backend, typical, now), self._tie_breaker())
        )

    def _tie_breaker(self) -> float:
        return self.rng.random()

    def _cost(self, backend: Backend, typical_seconds: float, now: float) -> float:
        settings = self._settings
        load = 0.0
        if settings.weighs_load:
            load = backend.pending + backend.busy + settings.open_flow_load * backend.open
        capacity = float(max(1, backend.record.slots))
        capacity /= backend.pace.slowdown(typical_seconds, now)
        cost = (load + 1.0) / capacity
        if backend.record.zone != self._zone:
            cost += settings.other_zone_surcharge
        return cost


def _has_room(backend: Backend) -> bool:
    """Whether a backend has a free slot, by this node's observation."""
    return backend.pending + backend.busy < max(1, backend.record.slots)


def _has_room_beside_reserve(backend: Backend) -> bool:
    """Whether a backend has a free slot besides RESERVED_SLOTS, or its only slot is free."""
    slots = max(1, backend.record.slots - RESERVED_SLOTS)
    return backend.pending + backend.busy < slots
