"""Staggers the planned stops of a zone, so that its other nodes can carry the traffic.

Routers that find fewer than half of a zone's nodes ready send to all of them, including stopped
ones. So a node that is asked to stop while too many others of its zone are away stays ready until
one returns, or the time for that is over (`runtime/planned_stop.py`). Each digest contains its
sender's state. No agreement is reached: if a message is lost, nodes may be away at the same time,
as they would without turns.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

ANNOUNCEMENT_DELAY_SECONDS = 0.06
"""Delay before a node stops, in which digests of nodes that are asked at the same time arrive."""
AWAY_TIMEOUT_SECONDS = 3.5
"""A node that has been away for longer no longer counts as away: it has gone for good, or its zone
cannot wait for it.
"""


class StopState(IntEnum):
    """Progress of a node's planned stop; the values are those in digests."""

    SERVING = 0
    WAITING = 1
    AWAY = 2


class _Stop(NamedTuple):
    state: StopState
    recorded_at: float


class StopTurns:
    """The planned stops of a zone, as known to its node `host`; times are in seconds.

    `changed_at` is when another node last announced a stop, or its return.
    """

    def __init__(self, host: str) -> None:
        self.state = StopState.SERVING
        self._host = host
        self._requested_at = 0.0
        self._stops: dict[str, _Stop] = {}
        self.changed_at = float("-inf")

    def note_peer(self, host: str, state: StopState, now: float) -> None:
        """Record the state that another node of the zone announced."""
        known = self._stops.get(host)
        if state is (StopState.SERVING if known is None else known.state):
            return
        self.changed_at = now
        if state is StopState.SERVING:
            del self._stops[host]
        else:
            self._stops[host] = _Stop(state, now)

    def request_stop(self, now: float) -> None:
        """Record that this node was asked to stop."""
        if self.state is StopState.SERVING:
            self.state = StopState.WAITING
            self._requested_at = now

    def may_stop(self, zone_nodes: int, now: float) -> bool:
        """Return whether this node may stop, in a zone of `zone_nodes` nodes including itself.

        Up to half of the nodes, and at least one, may be away. Nodes stop in the order in which
        they were asked; of those asked within `ANNOUNCEMENT_DELAY_SECONDS`, the lower host is
        first.
        """
        if now - self._requested_at < ANNOUNCEMENT_DELAY_SECONDS:
            return False
        before = sum(self._precedes(host, stop, now) for host, stop in self._stops.items())
        return before < max(1, zone_nodes // 2)

    def start_stop(self) -> None:
        """Record that this node stops; it is away until it has restarted."""
        self.state = StopState.AWAY

    def _precedes(self, host: str, stop: _Stop, now: float) -> bool:
        if stop.state is StopState.AWAY:
            return now - stop.recorded_at < AWAY_TIMEOUT_SECONDS
        earlier_seconds = self._requested_at - stop.recorded_at
        if abs(earlier_seconds) < ANNOUNCEMENT_DELAY_SECONDS:
            return host < self._host
        return earlier_seconds > 0
