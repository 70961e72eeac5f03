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


class RoutePart(NamedTuple):
    """A service that gets `weight` of a route's new flows, relative to the route's other parts."""

    service: str
    weight: float


class RouteRecord(NamedTuple):
    """Where new flows to one destination go. `destination` is address and port as in packets."""

    name: str
    destination: bytes
    parts: tuple[RoutePart, ...]


class ZoneEvacuation(NamedTuple):
    """An operator's request that backends of a zone get no new flows, for as long as it stands."""

    zone: str


class ServiceWarmUp(NamedTuple):
    """How backends of a service start: cold for `seconds`, when each bears so many requests."""

    service: str
    seconds: float
    requests_per_second: float


class RoutingConfiguration(NamedTuple):
    """One version of the routes. A flow that rests for `idle_seconds` may be forgotten."""

    version: int
    routes: tuple[RouteRecord, ...]
    idle_seconds: float = DEFAULT_IDLE_SECONDS
    warm_ups: tuple[ServiceWarmUp, ...] = ()
