"""Keeps recent configuration versions, so that changes can be sent as differences.

A configuration of a thousand routes has some 100 KB, and most versions change one route. Peers that
hold one of the kept versions get a difference, others the whole configuration. Versions are
identified by the operators' numbers, as a restored store reuses its revisions, and a difference
applied to another base would give another configuration.
"""

from __future__ import annotations

from typing import NamedTuple

from beamloom.routing.tokens.records import RouteRecord, RoutingConfiguration, ServiceWarmUp

MAXIMUM_KEPT_VERSIONS = 32
"""Exceeds the number of changes within the seconds in which a version reaches all nodes."""


class ConfigurationDifference(NamedTuple):
    """Difference from one version to another.

    `changed` routes replace those of the same names in their places; new ones are appended.
    """

    version: int
    idle_seconds: float
    changed: tuple[RouteRecord, ...]
    removed: tuple[str, ...]
    warm_ups: tuple[ServiceWarmUp, ...] = ()
    includes_terms: bool = True


def difference_between(
    base: RoutingConfiguration, target: RoutingConfiguration
) -> ConfigurationDifference | None:
    """Return the difference to the target, or None if no difference gives exactly the target."""
    before = {route.name: route for route in base.routes}
    names = {route.name for route in target.routes}
    difference = ConfigurationDifference(
        target.version,
        target.idle_seconds,
        tuple(route for route in target.routes if before.get(route.name) != route),
        tuple(name for name in before if name not in names),
        target.warm_ups,
        target.includes_terms,
    )
    return difference if apply_difference(base, difference) == target else None


def apply_difference(
    base: RoutingConfiguration, difference: ConfigurationDifference
) -> RoutingConfiguration:
    """Return the configuration that results from a difference."""
    routes = {route.name: route for route in base.routes}
    for name in difference.removed:
        routes.pop(name, None)
    for route in difference.changed:
        routes[route.name] = route
    return RoutingConfiguration(
        difference.version,
        tuple(routes.values()),
        difference.idle_seconds,
        difference.warm_ups,
        difference.includes_terms,
    )


class ConfigurationHistory:
    """The last versions of the configuration at one node."""

    def __init__(self) -> None:
        self._versions: dict[int, RoutingConfiguration] = {}

    @property
    def newest_version(self) -> int | None:
        """The newest version; None before the first."""
        return max(self._versions, default=None)

    def newest_versions(self, count: int) -> list[int]:
        """Return up to `count` versions, the newest first."""
        return sorted(self._versions, reverse=True)[:count]

    def note(self, configuration: RoutingConfiguration) -> None:
        """Keep a version; routes that it has in common with the newest one are stored once."""
        newest = self.newest_version
        if newest is not None:
            configuration = _with_shared_routes(configuration, self._versions[newest])
        self._versions[configuration.version] = configuration
        while len(self._versions) > MAXIMUM_KEPT_VERSIONS:
            del self._versions[min(self._versions)]

    def find(self, version: int) -> RoutingConfiguration | None:
        """Return a version, or None if it is not kept."""
        return self._versions.get(version)


def _with_shared_routes(
    configuration: RoutingConfiguration, other: RoutingConfiguration
) -> RoutingConfiguration:
    known = {route.name: route for route in other.routes}
    routes = tuple(_reuse_if_equal(known.get(route.name), route) for route in configuration.routes)
    return configuration._replace(routes=routes)


def _reuse_if_equal(known: RouteRecord | None, route: RouteRecord) -> RouteRecord:
    return known if known is not None and known == route else route
