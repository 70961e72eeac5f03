"""Limits the new flows of backends that have just started and are still cold.

The limit on requests per second applies to all nodes together, and no node counts for the fleet. A
cold backend therefore gets no flows while warm ones have room. Otherwise only a few nodes open
flows there, which the fleet selects without messages (`replication/fleet_share.py`), and each of
them uses a fraction of the limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.records import ServiceWarmUp
from beamloom.settings.token_node import ColdStartLimits

SENDERS_PER_BACKEND = 2
"""Nodes that may open flows at one cold backend; more than one, as the first may be down."""
DISAGREEMENT_FACTOR = 2
"""How many times as many nodes may act as senders while views of the fleet differ."""
WINDOW_SECONDS = 1.2
"""The limit applies to any second; the rest allows for different delays of opening packets."""


class ColdStartGate:
    """Limits the flows that one node opens at cold backends.

    `is_sender` returns whether this node is one of the few that may open flows at the backend of an
    identity, at a given time.
    """

    def __init__(self, limits: ColdStartLimits) -> None:
        self.is_sender: Callable[[int, float], bool] = lambda identity, now: False
        self._limits = limits
        self._rates: dict[str, float] = {}
        self._opened: dict[str, deque[float]] = {}

    def set_rates(self, warm_ups: Iterable[ServiceWarmUp]) -> None:
        """Set the request rate that a cold backend of each service may get."""
        self._rates = {warm_up.service: warm_up.requests_per_second for warm_up in warm_ups}

    def allows(self, backend: Backend, now: float) -> bool:
        """Whether this node may open a flow at a cold backend now."""
        quota = self._quota(backend.record.service)
        if quota < 1 or not self.is_sender(backend.record.identity, now):
            return False
        return len(self._recent(backend, now)) < quota

    def note_opening(self, backend: Backend, now: float) -> None:
        """Count an opening packet that goes to a cold backend."""
        self._opened.setdefault(backend.record.name, deque()).append(now)

    def _quota(self, service: str) -> int:
        """Return how many flows this node may open at a cold backend within WINDOW_SECONDS."""
        rate = self._rates.get(service, 0.0)
        allowed = rate * self._limits.excess_factor + self._limits.slack_requests
        return int(allowed / (SENDERS_PER_BACKEND * DISAGREEMENT_FACTOR))

    def _recent(self, backend: Backend, now: float) -> deque[float]:
        recent = self._opened.get(backend.record.name)
        if recent is None:
            return deque()
        while recent and now - recent[0] >= WINDOW_SECONDS:
            recent.popleft()
        if not recent:
            del self._opened[backend.record.name]
        return recent
