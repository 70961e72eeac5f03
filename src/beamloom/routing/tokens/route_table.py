"""The active routes, which determine the service of a new flow. Open flows do not use them."""

from __future__ import annotations

import random

from beamloom.routing.tokens.records import RoutePart, RouteRecord, RoutingConfiguration

MAXIMUM_INITIAL_TURNS = 64
"""Exceeds the period of the round robin for most weights."""


class ActiveRoute:
    """A route with the state of its smooth weighted round robin (as in nginx).

    Each node starts at a random turn. In a large fleet a node gets few flows of a route, so a
    common start would send too many flows to the first part.
    """

    def __init__(self, record: RouteRecord, rng: random.Random) -> None:
        self.record = record
        self._credit = {part.service: 0.0 for part in record.parts}
        if len(record.parts) > 1:
            for _ in range(rng.randrange(MAXIMUM_INITIAL_TURNS)):
                self.next_parts()

    def next_parts(self) -> list[RoutePart]:
        """Advance by one turn; return the parts by preference, those of weight 0 last."""
        parts = self.record.parts
        if len(parts) == 1:
            return [parts[0]]
        total = sum(part.weight for part in parts)
        for part in parts:
            self._credit[part.service] += part.weight
        ordered = sorted(parts, key=lambda part: (part.weight <= 0, -self._credit[part.service]))
        self._credit[ordered[0].service] -= total
        return ordered

    def copy_turns_from(self, previous: ActiveRoute) -> None:
        """Copy the round-robin state of the parts that an earlier version has too."""
        for service in self._credit.keys() & previous._credit.keys():
            self._credit[service] = previous._credit[service]


class RouteTable:
    """Routes by destination, of one configuration version; the version never decreases."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.configuration: RoutingConfiguration | None = None
        self._active: dict[bytes, ActiveRoute] = {}

    @property
    def version(self) -> int:
        """The active version; -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    def activate(self, configuration: RoutingConfiguration) -> bool:
        """Activate a configuration if it is newer than the active one; return whether it is."""
        if configuration.version <= self.version:
            return False
        before = self._active
        self._active = {
            route.destination: self._activate(route, before.get(route.destination))
            for route in configuration.routes
        }
        self.configuration = configuration
        return True

    def _activate(self, record: RouteRecord, before: ActiveRoute | None) -> ActiveRoute:
        """Return the state of a route, which is kept if the route did not change."""
        if before is not None and before.record == record:
            return before
        active = ActiveRoute(record, self._rng)
        if before is not None:
            active.copy_turns_from(before)
        return active

    def find(self, destination: bytes) -> ActiveRoute | None:
        """Return the route for new flows to a destination."""
        return self._active.get(destination)
