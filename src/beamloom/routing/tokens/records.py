"""Records that a token router receives: backends, routes and the configuration."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, NamedTuple

from beamloom.units import MILLISECONDS

DEFAULT_IDLE_SECONDS = 15.0


class BackendState(Enum):
    """State that a backend reports."""

    READY = "ready"
    DRAINING = "draining"


class BackendRecord(NamedTuple):
    """One incarnation of a backend as it is stored.

    `identity` is the 64-bit number by which datagrams identify the incarnation. `slots` is the
    number of requests that it processes concurrently. `warm_up_seconds` is how much longer it is
    cold. `born_at` is its start time (Unix time in milliseconds, 0 if not reported); a restart
    under the same name is another incarnation. `sequence` counts its writes since the start.
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
        """Address for its datagrams, as sockets expect it."""
        return (self.host, self.port)

    def has_same_content(self, other: BackendRecord) -> bool:
        """Whether another record has the same content, apart from `sequence`.

        With a warm-up, `sequence` counts too: a repeated report may be of a new warm-up.
        """
        if self.warm_up_seconds and self.sequence != other.sequence:
            return False
        return self._replace(sequence=0) == other._replace(sequence=0)


class RequestKind(Enum):
    """Kind of a route's requests.

    Only SAFE requests may run twice; a DOWNLOAD has a long answer.
    """

    UNSAFE = "unsafe"
    SAFE = "safe"
    DOWNLOAD = "download"


DEFAULT_PRIORITY = 2
"""Priority of routes that specify none; no slots are reserved for it."""


class RouteTerms(NamedTuple):
    """Service levels of a route's requests; times are rounded to milliseconds, None if not set.

    Answers are due within `objective_seconds`, and clients give up after `timeout_seconds`.
    Priority 0 is the highest. `unreadable` names the fields that have their defaults because their
    values could not be read.
    """

    objective_seconds: float | None = None
    timeout_seconds: float | None = None
    priority: int = DEFAULT_PRIORITY
    kind: RequestKind = RequestKind.UNSAFE
    unreadable: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.SAFE


DEFAULT_TERMS = RouteTerms()
"""Terms of a route for which none are known."""


def read_terms(values: Mapping[str, object]) -> RouteTerms:
    """Return terms from plain values by field, times in milliseconds; missing ones get defaults."""
    fields: dict[str, Any] = {}
    unreadable = []
    for field, value in values.items():
        try:
            fields[field] = _TERM_READERS[field](value)
        except (TypeError, ValueError, OverflowError):
            # The node counts and logs unreadable fields when it activates the configuration.
            unreadable.append(field)
    return RouteTerms(**fields, unreadable=tuple(unreadable))


def encode_terms(terms: RouteTerms) -> dict[str, object]:
    """Return the values that `read_terms` reads; times that are not set are omitted."""
    values: dict[str, object] = {"kind": terms.kind.value, "priority": terms.priority}
    if terms.timeout_seconds is not None:
        values["timeout_seconds"] = round(terms.timeout_seconds * MILLISECONDS)
    if terms.objective_seconds is not None:
        values["objective_seconds"] = round(terms.objective_seconds * MILLISECONDS)
    return values


def _read_milliseconds(milliseconds: object) -> float:
    """Return seconds from at least one whole millisecond; raises TypeError or ValueError."""
    if isinstance(milliseconds, bool) or not isinstance(milliseconds, int | float):
        raise TypeError(f"{milliseconds!r} is not a number")
    if not math.isfinite(milliseconds) or round(milliseconds) < 1:
        raise ValueError(f"{milliseconds!r} is not a positive time")
    return round(milliseconds) / MILLISECONDS


def _read_priority(value: object) -> int:
    """Return a priority; raises TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    if value < 0:
        raise ValueError(f"{value!r} is below 0, the highest priority")
    return value


_TERM_READERS: dict[str, Callable[[Any], object]] = {
    "kind": RequestKind,
    "timeout_seconds": _read_milliseconds,
    "objective_seconds": _read_milliseconds,
    "priority": _read_priority,
}


class RoutePart(NamedTuple):
    """A service that gets `weight` of a route's new flows, relative to the route's other parts."""

    service: str
    weight: float


class RouteRecord(NamedTuple):
    """Route of new flows to one destination: an address and port, as in packets."""

    name: str
    destination: bytes
    parts: tuple[RoutePart, ...]
    terms: RouteTerms = DEFAULT_TERMS


class ZoneEvacuation(NamedTuple):
    """An operator's request to exclude a zone from new flows, which holds while it is stored."""

    zone: str


class ServiceWarmUp(NamedTuple):
    """Warm-up of a service's backends: its length, and the request rate of a cold backend."""

    service: str
    seconds: float
    requests_per_second: float


class RoutingConfiguration(NamedTuple):
    """One version of the routes. A flow that is idle for `idle_seconds` may be forgotten.

    Without `includes_terms`, it came through a node of a release without terms of routes.
    """

    version: int
    routes: tuple[RouteRecord, ...]
    idle_seconds: float = DEFAULT_IDLE_SECONDS
    warm_ups: tuple[ServiceWarmUp, ...] = ()
    includes_terms: bool = True

    @property
    def services(self) -> frozenset[str]:
        """All services of its routes and warm-ups."""
        routed = (part.service for route in self.routes for part in route.parts)
        return frozenset(routed) | {warm_up.service for warm_up in self.warm_ups}

    def services_of_priority(self, priority: int) -> frozenset[str]:
        """Return the services of the routes of a priority."""
        return frozenset(
            part.service
            for route in self.routes
            if route.terms.priority == priority
            for part in route.parts
        )
