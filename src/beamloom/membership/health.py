"""The node's local health score, and its round-trip time estimates by zone."""

from __future__ import annotations

from beamloom.membership.settings import MembershipSettings

SMOOTHING = 0.2
ROUND_TRIPS_PER_TIMEOUT = 2.0


class LocalHealth:
    """Local health multiplier (Lifeguard): 0 is healthy, higher scores lengthen timeouts."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.score = 0

    @property
    def factor(self) -> int:
        """Factor for probe timeouts, probe intervals and suspicion timers."""
        return 1 + self.score

    def worsen(self, steps: int) -> None:
        """Raise the score after signs that this node itself is at fault."""
        self.score = min(self._maximum, self.score + steps)

    def improve(self) -> None:
        """Lower the score after an answered probe."""
        self.score = max(0, self.score - 1)


class RoundTripEstimator:
    """Smoothed round-trip time by zone of the peer.

    A single peer of a large fleet is probed too rarely for an estimate of its own, while all peers
    of a zone share the network path.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._smoothed: dict[str, float] = {}

    def observe(self, zone: str, round_trip: float) -> None:
        """Add one measured round trip, in seconds."""
        before = self._smoothed.get(zone, round_trip)
        self._smoothed[zone] = before + SMOOTHING * (round_trip - before)

    def timeout(self, zone: str) -> float:
        """Return the timeout for a direct acknowledgement from a zone, in seconds."""
        smoothed = self._smoothed.get(zone)
        if smoothed is None:
            return self._settings.probe_timeout_initial
        timeout = max(self._settings.probe_timeout_floor, ROUND_TRIPS_PER_TIMEOUT * smoothed)
        return min(timeout, self._settings.probe_timeout_maximum)
