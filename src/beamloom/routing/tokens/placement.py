"""Which backend a new flow gets, from what this node sees alone.

The cost of a backend is its load relative to what it can do, plus a surcharge in another zone.
Backends that did not answer lately come after those that did, and a backend that has just gone from
the store without a word comes last: the store at times forgets backends that serve on.
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

LONGEST_GONE_GRACE_SECONDS = 2.0
HEARING_SECONDS = 1.0
"""How long news of a backend may take to a node, with some room."""


LEAST_UNDOUBTED_SHARE = 0.5
"""Where more of a service is doubted, load is the reason, and the few others must not bear all."""


HIGHEST_PRIORITY = 0
"""Of a route; higher numbers are less urgent (the platform's protocol)."""
RESERVED_SLOTS = 1
"""Of each backend that has more: a burst of other requests finds the rest, then each other backend,
and only then these.
"""


class PlacementSettings(NamedTuple):
    """Leanings of a deployment.

    `other_zone_surcharge` is in units of a backend's full load. `resting_flow_load` is the load of
    an open flow without a request.
    `gone_grace_seconds` is how long a backend that has gone may still be used where no other is
    left; it must stay below the time in which a backend that left must be rid of new flows.
    `weighs_load`, `avoids_suspects`, `weighs_pace`, `spares_unrepeatable` and `keeps_reserve` are
    off only to measure what they are worth.
    """

    other_zone_surcharge: float = 0.5
    resting_flow_load: float = 0.05
    gone_grace_seconds: float = LONGEST_GONE_GRACE_SECONDS
    weighs_load: bool = True
    avoids_suspects: bool = True
    weighs_pace: bool = True
    spares_unrepeatable: bool = True
    keeps_reserve: bool = True


def placement_settings(
    drain_seconds: float, mechanisms: Mechanisms = ALL_MECHANISMS
) -> PlacementSettings:
    """Return the settings for the time in which a leaving backend must be rid of new flows."""
    grace = min(LONGEST_GONE_GRACE_SECONDS, drain_seconds - HEARING_SECONDS)
    settings = PlacementSettings(
        gone_grace_seconds=max(0.0, grace) if mechanisms.gone_grace else 0.0,
        weighs_load=mechanisms.observed_load,
        avoids_suspects=mechanisms.suspicion,
        weighs_pace=mechanisms.answer_pace,
        spares_unrepeatable=mechanisms.risk_aversion,
        keeps_reserve=mechanisms.priority_reserve,
    )
    if not mechanisms.own_zone:
        settings = settings._replace(other_zone_surcharge=0.0)
    return settings


class Tried(NamedTuple):
    """What has just left a client without an answer: some backends, and perhaps whole zones."""

    backends: Collection[Backend]
    zones: frozenset[str] = frozenset()


NOTHING_TRIED = Tried(())


class Placement:
    """Chooses backends for one node in `zone`; ties are broken by `chance`.

    Cold backends are passed over as `cold_starts` says; without it they count as all others.
    Backends of `reserving_services` keep room for requests of the highest priority.
    `counters` tell how often a decision hung on a route's terms.
    """

    def __init__(
        self,
        zone: str,
        settings: PlacementSettings,
        chance: random.Random,
        cold_starts: ColdStartGate | None = None,
    ) -> None:
        self._cold_starts = cold_starts
        self._zone = zone
        self._settings = settings
        self.chance = chance
        self.counters: Counter[str] = Counter()
        self.reserving_services: frozenset[str] = frozenset()

    def choose(
        self,
        backends: Collection[Backend],
        tried: Tried,
        now: float,
        terms: RouteTerms = DEFAULT_TERMS,
    ) -> Backend | None:
        """Return the backend for a new flow, or None where no backend may take it.

        `tried` ones got an earlier copy of the opening packet and did not answer it; other zones
        come first where some zones are told.
        """
        ready = [backend for backend in backends if backend.takes_flows]
        cold: list[Backend] = []
        if self._cold_starts is not None:
            cold = [backend for backend in ready if backend.cold_until > now]
            ready = [backend for backend in ready if backend.cold_until <= now]
        fresh = [
            backend
            for backend in ready
            if backend not in tried.backends and backend.down_since is None
        ]
        answering = [backend for backend in fresh if not self._is_suspect(backend, now)]
        if cold and not any(map(_has_room, answering)):
            answering += self._open_to_cold(cold, tried.backends, now)
        if self._settings.spares_unrepeatable and not terms.repeatable:
            answering = self._undoubted(answering, now)
        if self.reserving_services and terms.priority > HIGHEST_PRIORITY:
            answering = self._outside_reserve(answering)
        elsewhere = answering
        if tried.zones:
            elsewhere = [other for other in answering if other.record.zone not in tried.zones]
        for candidates in (elsewhere, answering, fresh, ready):
            if candidates:
                return self._cheapest(candidates, now)
        lately_gone = [backend for backend in backends if self._is_lately_gone(backend, now)]
        return self._cheapest(lately_gone, now) if lately_gone else None

    def _undoubted(self, answering: list[Backend], now: float) -> list[Backend]:
        """Return the backends for a flow whose requests may not run twice."""
        undoubted = [backend for backend in answering if backend.doubted_until <= now]
        if len(undoubted) == len(answering):
            return answering
        if len(undoubted) < LEAST_UNDOUBTED_SHARE * len(answering):
            self.counters["doubted_not_spared"] += 1
            return answering
        self.counters["doubted_spared"] += 1
        return undoubted

    def _outside_reserve(self, answering: list[Backend]) -> list[Backend]:
        """Return the backends that leave room for the highest priority; all, where none does."""
        if not self._settings.keeps_reserve or not answering:
            return answering
        if answering[0].record.service not in self.reserving_services:
            return answering
        outside = list(filter(_has_room_beside_reserve, answering))
        if outside and len(outside) < len(answering):
            self.counters["reserve_kept"] += 1
        return outside or answering

    def waits_for_cold(self, backends: Collection[Backend], now: float) -> bool:
        """Whether a cold backend may take a flow before long, though none may take it now."""
        return self._cold_starts is not None and any(
            backend.takes_flows and backend.down_since is None and backend.cold_until > now
            for backend in backends
        )

    def note_opening(self, backend: Backend, now: float) -> None:
        """Count an opening packet that goes to a backend, where cold ones are limited."""
        if self._cold_starts is not None and backend.cold_until > now:
            self._cold_starts.note_opening(backend, now)

    def _open_to_cold(
        self, cold: list[Backend], tried: Collection[Backend], now: float
    ) -> list[Backend]:
        """Return the cold backends at which this node may open a flow now."""
        assert self._cold_starts is not None
        return [
            backend
            for backend in cold
            if backend not in tried
            and backend.down_since is None
            and not self._is_suspect(backend, now)
            and self._cold_starts.allows(backend, now)
        ]

    def _is_suspect(self, backend: Backend, now: float) -> bool:
        suspected_until = max(backend.suspect_until, backend.failing_until)
        return self._settings.avoids_suspects and suspected_until > now

    def _is_lately_gone(self, backend: Backend, now: float) -> bool:
        return (
            backend.gone_at is not None
            and not backend.evacuated
            and not (self._cold_starts is not None and backend.cold_until > now)
            and backend.record.state is BackendState.READY
            and now - backend.gone_at < self._settings.gone_grace_seconds
        )

    def _cheapest(self, candidates: list[Backend], now: float) -> Backend:
        if len(candidates) == 1:
            return candidates[0]
        typical = 0.0
        if self._settings.weighs_pace:
            typical = typical_seconds(backend.pace for backend in candidates)
        return min(
            candidates, key=lambda backend: (self._cost(backend, typical, now), self._draw())
        )

    def _draw(self) -> float:
        return self.chance.random()

    def _cost(self, backend: Backend, typical_seconds: float, now: float) -> float:
        settings = self._settings
        load = 0.0
        if settings.weighs_load:
            load = backend.pending + backend.busy + settings.resting_flow_load * backend.open
        capacity = float(max(1, backend.record.slots))
        capacity /= backend.pace.slowness(typical_seconds, now)
        cost = (load + 1.0) / capacity
        if backend.record.zone != self._zone:
            cost += settings.other_zone_surcharge
        return cost


def _has_room(backend: Backend) -> bool:
    """Whether a backend has a free slot, as far as this node sees."""
    return backend.pending + backend.busy < max(1, backend.record.slots)


def _has_room_beside_reserve(backend: Backend) -> bool:
    """Whether a backend has a free slot and would keep RESERVED_SLOTS free, if it has so many."""
    slots = max(1, backend.record.slots - RESERVED_SLOTS)
    return backend.pending + backend.busy < slots
