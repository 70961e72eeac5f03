"""What a node thinks of its own health, and of round-trip times to each zone."""

from __future__ import annotations

from beamloom.membership.settings import MembershipSettings

SMOOTHING = 0.2
ROUND_TRIPS_PER_TIMEOUT = 2.0


class LocalHealth:
    """Local health multiplier (Lifeguard): 0 is well; higher makes the node slower to accuse."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.score = 0

    @property
    def factor(self) -> int:
        """By how much to lengthen probe timeouts and intervals."""
        return 1 + self.score

    def worsen(self, steps: int) -> None:
        """Note signs that this node itself is at fault."""
        self.score = min(self._maximum, self.score + steps)

    def improve(self) -> None:
        """Note that a probe was answered in time."""
        self.score = max(0, self.score - 1)


class RoundTripEstimator:
    """Smoothed round-trip time by zone of the peer.

    By zone and not by peer: at 560 nodes a peer is probed once in ten minutes, its own estimate
    would be stale, while peers of a zone share the path.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._smoothed: dict[str, float] = {}

    def observe(self, zone: str, round_trip: float) -> None:
        """Take in one measured round trip, in seconds."""
        before = self._smoothed.get(zone, round_trip)
        self._smoothed[zone] = before + SMOOTHING * (round_trip - before)

    def timeout(self, zone: str) -> float:
        """Return how long to wait for a direct answer from that zone, in seconds."""
        smoothed = self._smoothed.get(zone)
        if smoothed is None:
            return self._settings.probe_timeout_initial
        wanted = max(self._settings.probe_timeout_floor, ROUND_TRIPS_PER_TIMEOUT * smoothed)
        return min(wanted, self._settings.probe_timeout_maximum)
