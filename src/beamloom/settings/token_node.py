"""The settings of a token node."""

from typing import NamedTuple

from beamloom.settings.capacity import LEAST, Capacity

DEFAULT_HEARTBEAT_SECONDS = 1.2
"""The default interval at which backends write to the store."""


class Endpoint(NamedTuple):
    """An IP address and port."""

    host: str
    port: int

    @property
    def text(self) -> str:
        """The address in the format of settings files."""
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """The address in the format of sockets."""
        return (self.host, self.port)


class ColdStartLimits(NamedTuple):
    """Limit on the requests that all nodes together send to a cold backend in any second.

    The limit is `rate * excess_factor + slack_requests`; the configuration gives the rate of each
    service, in requests per second.
    """

    excess_factor: float
    slack_requests: float


class TokenNodeSettings(NamedTuple):
    """Addresses and limits of one node.

    - `metrics`: where metrics are served; None if they are not.
    - `stop_seconds`: the time from SIGTERM until the node must have ended.
    - `flow_seconds`: the age after which a flow may be forgotten; the node does not use it.
    - `apply_seconds`: the time within which a new configuration must be in force.
    - `drain_seconds`: the time after which a leaving backend must get no new flows. This and
      `apply_seconds` hold for nodes in contact with the store for `contact_seconds`.
    - `unusable_limits`: fields of `capacity` that the settings file lacks or has implausible
      values for.
    - `evacuate_seconds`: the time after which an evacuated zone must get no new flows; None if the
      deployment has no evacuations.
    - `zones`: the zones of the deployment; empty if the file does not name them.
    - `cold_starts`: limits for cold backends; None if the deployment has none.
    - `heartbeat_seconds`: the interval at which backends write to the store.
    - `first_start`: whether the whole fleet starts for the first time; true by default.
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


RESTART_FIELDS = frozenset(
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
"""Fields of which a change takes effect at the next start only."""


def changed_fields(before: TokenNodeSettings, after: TokenNodeSettings) -> list[str]:
    """Return the names of the fields in which two settings differ."""
    names = TokenNodeSettings._fields
    return [name for name in names if getattr(before, name) != getattr(after, name)]
