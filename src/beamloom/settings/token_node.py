"""What a token node must know before it starts."""

from typing import NamedTuple

from beamloom.settings.capacity import LEAST, Capacity

DEFAULT_HEARTBEAT_SECONDS = 1.2
"""As on the deployments known so far, where the settings do not tell it."""


class Endpoint(NamedTuple):
    """An IP address and port."""

    host: str
    port: int

    @property
    def text(self) -> str:
        """The form that settings files have."""
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """The form that sockets take."""
        return (self.host, self.port)


class ColdStartLimits(NamedTuple):
    """What all nodes together may send a cold backend in any second.

    That is `rate * excess_factor + slack_requests`; the configuration tells each service's rate, in
    requests a second.
    """

    excess_factor: float
    slack_requests: float


class TokenNodeSettings(NamedTuple):
    """Addresses and bounds of one node; bounds are in seconds.

    A configuration must be in force within `apply_seconds`, a leaving backend be rid of new flows
    within `drain_seconds`; both hold for nodes that have had `contact_seconds` of undisturbed
    contact. `metrics` is where figures are told, if anywhere. A flow may be forgotten after
    `flow_seconds`. After SIGTERM a node has `stop_seconds`. `capacity` is what the
    machine can do, `unusable_limits` names the parts of it that the settings do not tell or tell
    absurdly. A zone that is evacuated gets no new flows after
    `evacuate_seconds`; None where operators cannot ask for that. `zones` are those of the
    deployment, as far as told. `cold_starts` limits what backends get while they are cold; None
    where the deployment does not. Backends write to the store each `heartbeat_seconds`.
    `first_start` tells that the whole fleet starts for the first time, or that nothing says so.
    """

    node: str
    host: str
    zone: str
    packets: Endpoint
    readiness: Endpoint
    store: Endpoint
    peer_port: int
    metrics: Endpoint | None
    seeds: tuple[str, ...]
    stop_seconds: float = 6.0
    flow_seconds: float = 60.0
    apply_seconds: float = 3.0
    drain_seconds: float = 3.0
    contact_seconds: float = 4.0
    capacity: Capacity = LEAST
    unusable_limits: tuple[str, ...] = ()
    evacuate_seconds: float | None = None
    zones: tuple[str, ...] = ()
    cold_starts: ColdStartLimits | None = None
    heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS
    first_start: bool = True


FIELDS_OF_A_START = frozenset(
    {
        "node",
        "host",
        "zone",
        "packets",
        "readiness",
        "peer_port",
        "metrics",
        "apply_seconds",
        "heartbeat_seconds",
        "drain_seconds",
        "contact_seconds",
        "evacuate_seconds",
        "first_start",
        "cold_starts",
        "capacity",
        "unusable_limits",
    }
)
"""Addresses are bound, and names used, once; a change of these waits for the next start."""


def changed_fields(before: TokenNodeSettings, after: TokenNodeSettings) -> list[str]:
    """Return the names of the fields in which two settings differ."""
    names = TokenNodeSettings._fields
    return [name for name in names if getattr(before, name) != getattr(after, name)]
