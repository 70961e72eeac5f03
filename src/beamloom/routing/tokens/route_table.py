"""The routes in force: where new flows go. Packets of open flows do not ask here."""

from __future__ import annotations

import random

from beamloom.routing.tokens.records import RoutePart, RouteRecord, RoutingConfiguration

LONGEST_LEAD_TURNS = 64
"""Longer than most sequences of turns are before they repeat themselves."""


class ActiveRoute:
    """A route in force with the state of its smooth weighted round robin (as in nginx).

    Each node begins at a turn drawn by chance: in a large fleet a node sees few flows of a route,
    and if all began with the same part, that one would get too many.
    """

    def __init__(self, record: RouteRecord, chance: random.Random) -> None:
        self.record = record
        self._credit = {part.service: 0.0 for part in record.parts}
        if len(record.parts) > 1:
            for _ in range(chance.randrange(LONGEST_LEAD_TURNS)):
                self.next_parts()

    def next_parts(self) -> list[RoutePart]:
        """Return the parts, the one whose turn it is first; parts of weight 0 come last."""
        parts = self.record.parts
        if len(parts) == 1:
            return [parts[0]]
        total = sum(part.weight for part in parts)
        for part in parts:
            self._credit[part.service] += part.weight
        ordered = sorted(parts, key=lambda part: (part.weight <= 0, -self._credit[part.service]))
        self._credit[ordered[0].service] -= total
        return ordered

    def keep_turns_of(self, previous: ActiveRoute) -> None:
        """Go on where an earlier version of the same route stood."""
        for service in self._credit.keys() & previous._credit.keys():
            self._credit[service] = previous._credit[service]


class RouteTable:
    """Routes by destination; one version at a time, never an earlier one than before."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self.configuration: RoutingConfiguration | None = None
        self._active: dict[bytes, ActiveRoute] = {}

    @property
    def version(self) -> int:
        """The version in force; -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    def put_in_force(self, configuration: RoutingConfiguration) -> bool:
        """Take a version, unless it is not newer than the one in force; return whether it was."""
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
        """Return a route's new state; most routes are the same in the next version."""
        if before is not None and before.record == record:
            return before
        active = ActiveRoute(record, self._chance)
        if before is not None:
            active.keep_turns_of(before)
        return active

    def find(self, destination: bytes) -> ActiveRoute | None:
        """Return the route for new flows to a destination."""
        return self._active.get(destination)
