"""What a token router is told: backends, routes and the configuration in force."""

from enum import Enum
from typing import NamedTuple

DEFAULT_IDLE_SECONDS = 15.0


class BackendState(Enum):
    """What a backend says of itself."""

    READY = "ready"
    DRAINING = "draining"


class BackendRecord(NamedTuple):
    """One incarnation of a backend as it stands in the store.

    `identity` is the number (64 bits) by which datagrams name the incarnation. `slots` is how many
    requests it runs at once. `warm_up_seconds` is how much longer it is slow, from its start on.
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

    @property
    def address(self) -> tuple[str, int]:
        """Where it takes datagrams, in the form that sockets take."""
        return (self.host, self.port)


class RequestKind(Enum):
    """What may become of a request that is left without an answer.

    Only a SAFE one may run twice; a DOWNLOAD has a long answer.
    """

    UNSAFE = "unsafe"
    SAFE = "safe"
    DOWNLOAD = "download"


ORDINARY_PRIORITY = 2
"""That of a route which names none: no room is reserved for it. Most routes have it (by choice)."""


class RouteTerms(NamedTuple):
    """What is promised for the requests of a route, in whole milliseconds; None: nothing is.

    Answers are due within `objective_seconds`; after `timeout_seconds` the client waits no longer.
    Priority 0 is the highest.
    """

    objective_seconds: float | None = None
    timeout_seconds: float | None = None
    priority: int = ORDINARY_PRIORITY
    kind: RequestKind = RequestKind.UNSAFE

    @property
    def repeatable(self) -> bool:
        """Whether a client may send a request again that may have run."""
        return self.kind is RequestKind.SAFE


DEFAULT_TERMS = RouteTerms()
"""Of a route whose terms are not known: the cautious ones."""


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

    def services_of_priority(self, priority: int) -> frozenset[str]:
        """Return the services to which routes of a priority lead."""
        return frozenset(
            part.service
            for route in self.routes
            if route.terms.priority == priority
            for part in route.parts
        )
