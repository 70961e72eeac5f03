"""How many new flows backends get that have just started and are still cold.

All nodes together may send a cold backend only a few requests in any second, and nobody counts them
for all. So a cold backend gets nothing while warm ones have room, and otherwise from a few nodes
only, which the fleet agrees on without a word (`replication/fleet_share.py`), each of which sends a
part of what is allowed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.records import ServiceWarmUp
from beamloom.settings.token_node import ColdStartLimits

SENDERS_OF_A_BACKEND = 2
"""Nodes that may open flows at one cold backend; a second one, as the first may be away."""
DISAGREEMENT_FACTOR = 2
"""So many times more nodes may take themselves for one of these while views of the fleet differ."""
WINDOW_SECONDS = 1.2
"""The rule counts any second; the rest is for openings that are under way for different times."""


class ColdStartGate:
    """The new flows of one node at cold backends.

    `is_sender` tells whether this node is one of the few that may open flows at the backend of an
    identity, at a moment.
    """

    def __init__(self, limits: ColdStartLimits) -> None:
        self.is_sender: Callable[[int, float], bool] = lambda identity, now: False
        self._limits = limits
        self._rates: dict[str, float] = {}
        self._opened: dict[str, deque[float]] = {}

    def use_rates(self, warm_ups: Iterable[ServiceWarmUp]) -> None:
        """Obey these rates from now on."""
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
        """Return how many openings of this node a cold backend may get in a window."""
        rate = self._rates.get(service, 0.0)
        allowed = rate * self._limits.excess_factor + self._limits.slack_requests
        return int(allowed / (SENDERS_OF_A_BACKEND * DISAGREEMENT_FACTOR))

    def _recent(self, backend: Backend, now: float) -> deque[float]:
        recent = self._opened.get(backend.record.name)
        if recent is None:
            return deque()
        while recent and now - recent[0] >= WINDOW_SECONDS:
            recent.popleft()
        if not recent:
            del self._opened[backend.record.name]
        return recent
