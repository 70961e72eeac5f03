"""What a token router is told: backends, routes and the configuration in force."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple

from beamloom.units import MILLISECONDS

DEFAULT_IDLE_SECONDS = 15.0


class BackendState(Enum):
    """What a backend says of itself."""

    READY = "ready"
    DRAINING = "draining"


class BackendRecord(NamedTuple):
    """One incarnation of a backend as it stands in the store.

    `identity` is the number (64 bits) by which datagrams name the incarnation. `slots` is how many
    requests it runs at once. `warm_up_seconds` is how much longer it is slow, from its start on.
    `born_at` is when it started (Unix time in milliseconds, 0 where it does not say so): one that
    starts anew under its name is another that knows nothing of before. `sequence` counts what it
    has written since; writing alone does not change its entry.
    """

    name: str
    identity: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: BackendState
    warm_up_seconds: float = 0.0
    born_at: int = 0
    sequence: int = 0

    @property
    def address(self) -> tuple[str, int]:
        """Where it takes datagrams, in the form that sockets take."""
        return (self.host, self.port)

    def tells_same(self, other: BackendRecord) -> bool:
        """Whether another entry tells the same; how often each was written does not count.

        A cold backend that says again how long it stays cold may have turned cold anew.
        """
        if self.warm_up_seconds and self.sequence != other.sequence:
            return False
        return self._replace(sequence=0) == other._replace(sequence=0)


class RequestKind(Enum):
    """What may become of a request that is left without an answer.

    Only a SAFE one may run twice; a DOWNLOAD has a long answer.
    """

    UNSAFE = "unsafe"
    SAFE = "safe"
    DOWNLOAD = "download"


ORDINARY_PRIORITY = 2
"""That of a route which names none: no room is reserved for it. Most routes have it."""


class RouteTerms(NamedTuple):
    """What is promised for the requests of a route, in whole milliseconds; None: nothing is.

    Answers are due within `objective_seconds`; after `timeout_seconds` the client waits no longer.
    Priority 0 is the highest. `unreadable` names the fields whose values could not be read, so that
    they have their defaults.
    """

    objective_seconds: float | None = None
    timeout_seconds: float | None = None
    priority: int = ORDINARY_PRIORITY
    kind: RequestKind = RequestKind.UNSAFE
    unreadable: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a client may send a request again that may have run."""
        return self.kind is RequestKind.SAFE


DEFAULT_TERMS = RouteTerms()
"""Of a route whose terms are not known: the cautious ones."""


def read_terms(values: Mapping[str, object]) -> RouteTerms:
    """Return terms from plain values by field, times in milliseconds; missing ones are defaults."""
    fields: dict[str, Any] = {}
    unreadable = []
    for field, value in values.items():
        try:
            fields[field] = _TERM_READERS[field](value)
        except (TypeError, ValueError):
            # Not swallowed: a node counts and logs the names when it puts the route in force.
            unreadable.append(field)
    return RouteTerms(**fields, unreadable=tuple(unreadable))


def plain_terms(terms: RouteTerms) -> dict[str, object]:
    """Return what `read_terms` reads; what is not promised is left out."""
    values: dict[str, object] = {"kind": terms.kind.value, "priority": terms.priority}
    if terms.timeout_seconds is not None:
        values["timeout_seconds"] = round(terms.timeout_seconds * MILLISECONDS)
    if terms.objective_seconds is not None:
        values["objective_seconds"] = round(terms.objective_seconds * MILLISECONDS)
    return values


def _whole_seconds(milliseconds: object) -> float:
    """Return seconds in whole milliseconds, one at least; raises TypeError or ValueError."""
    if isinstance(milliseconds, bool) or not isinstance(milliseconds, int | float):
        raise TypeError(f"{milliseconds!r} is no number")
    if not math.isfinite(milliseconds) or round(milliseconds) < 1:
        raise ValueError(f"{milliseconds!r} is no time")
    return round(milliseconds) / MILLISECONDS


def _read_priority(value: object) -> int:
    """Return a priority; raises TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is no whole number")
    if value < 0:
        raise ValueError(f"{value!r} is below 0, the highest")
    return value


_TERM_READERS: dict[str, Callable[[Any], object]] = {
    "kind": RequestKind,
    "timeout_seconds": _whole_seconds,
    "objective_seconds": _whole_seconds,
    "priority": _read_priority,
}


class RoutePart(NamedTuple):
    """A service that gets `weight` of a route's new flows, relative to the route's other parts."""

    service: str
    weight: float


class RouteRecord(NamedTuple):
    """Where new flows to one destination go. `destination` is address and port as in packets."""

    name: str
    destination: bytes
    parts: tuple[RoutePart, ...]
    terms: RouteTerms = DEFAULT_TERMS


class ZoneEvacuation(NamedTuple):
    """An operator's request that backends of a zone get no new flows, for as long as it stands."""

    zone: str


class ServiceWarmUp(NamedTuple):
    """How backends of a service start: cold for `seconds`, when each bears so many requests."""

    service: str
    seconds: float
    requests_per_second: float


class RoutingConfiguration(NamedTuple):
    """One version of the routes. A flow that rests for `idle_seconds` may be forgotten.

    Without `tells_terms` it came by way of a node that does not know the terms of routes.
    """

    version: int
    routes: tuple[RouteRecord, ...]
    idle_seconds: float = DEFAULT_IDLE_SECONDS
    warm_ups: tuple[ServiceWarmUp, ...] = ()
    tells_terms: bool = True

    @property
    def services(self) -> frozenset[str]:
        """All services that it names."""
        routed = (part.service for route in self.routes for part in route.parts)
        return frozenset(routed) | {warm_up.service for warm_up in self.warm_ups}

    def services_of_priority(self, priority: int) -> frozenset[str]:
        """Return the services to which routes of a priority lead."""
        return frozenset(
            part.service
            for route in self.routes
            if route.terms.priority == priority
            for part in route.parts
        )
