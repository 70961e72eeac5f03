"""The routes in force and, for a while, what they allowed before.

A new version moves no open flow. So the services that a route allowed stay valid for packets of
flows that are already open, until the oldest such flow may have been forgotten.
"""

from __future__ import annotations

from beamloom.routing.tokens.records import RoutePart, RouteRecord, RoutingConfiguration

RETIRED_ROUTE_SECONDS = 75.0
"""Longer than a flow is kept (60 s), so that no open flow loses its route's former service."""


class ActiveRoute:
    """A route in force with the state of its smooth weighted round robin (as in nginx)."""

    def __init__(self, record: RouteRecord) -> None:
        self.record = record
        self.services = frozenset(part.service for part in record.parts)
        self._credit = {part.service: 0.0 for part in record.parts}

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

    def __init__(self) -> None:
        self.configuration: RoutingConfiguration | None = None
        self._active: dict[bytes, ActiveRoute] = {}
        self._retired: dict[bytes, dict[str, float]] = {}

    @property
    def version(self) -> int:
        """The version in force; -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    def put_in_force(self, configuration: RoutingConfiguration, now: float) -> bool:
        """Take a version, unless it is not newer than the one in force; return whether it was."""
        if configuration.version <= self.version:
            return False
        self._forget_retired(now)
        before = self._active
        self._active = {route.destination: ActiveRoute(route) for route in configuration.routes}
        for destination, route in before.items():
            following = self._active.get(destination)
            if following is not None:
                following.keep_turns_of(route)
            self._retire(destination, route, following, now)
        self.configuration = configuration
        return True

    def find(self, destination: bytes) -> ActiveRoute | None:
        """Return the route for new flows to a destination."""
        return self._active.get(destination)

    def allows(self, destination: bytes, service: str, now: float) -> bool:
        """Whether an open flow to a destination may be at a service."""
        route = self._active.get(destination)
        if route is not None and service in route.services:
            return True
        retired = self._retired.get(destination)
        return retired is not None and retired.get(service, now) > now

    def knows(self, destination: bytes) -> bool:
        """Whether a destination has a route, or had one lately."""
        return destination in self._active or destination in self._retired

    def _retire(
        self, destination: bytes, route: ActiveRoute, following: ActiveRoute | None, now: float
    ) -> None:
        left = route.services - (following.services if following else frozenset())
        if left:
            ends = self._retired.setdefault(destination, {})
            ends.update(dict.fromkeys(left, now + RETIRED_ROUTE_SECONDS))

    def _forget_retired(self, now: float) -> None:
        for destination, services in list(self._retired.items()):
            kept = {service: end for service, end in services.items() if end > now}
            if kept:
                self._retired[destination] = kept
            else:
                del self._retired[destination]
