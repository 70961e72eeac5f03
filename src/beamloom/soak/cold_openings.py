"""Checks the rate at which all nodes together open flows at cold endpoints.

Each node limits only its own rate, so the sum can be observed at the endpoints alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from beamloom.routing.tokens.records import BackendRecord, ServiceWarmUp
from beamloom.settings.token_node import ColdStartLimits
from beamloom.simulation.tokens.deployment import SERVICES
from beamloom.simulation.tokens.oracle import APPLY_SECONDS, CONTACT_SECONDS, TokenOracle
from beamloom.standins.flow_packets import FlowEnd

WARM_UP_SECONDS = 4.0
"""Spans several windows of the limit, and is short enough that most flows are served."""
REQUESTS_PER_SECOND = 4.0
COLD_START_LIMITS = ColdStartLimits(excess_factor=1.5, slack_requests=2.0)
"""Together with the rate, at most 8 openings in any second, of which each node that may send gets
2. These limits are low, so that a node that ignores its own exceeds the sum.
"""
WINDOW_SECONDS = 1.0

WARM_UPS = tuple(
    ServiceWarmUp(service, WARM_UP_SECONDS, REQUESTS_PER_SECOND) for service in SERVICES
)
MAXIMUM_OPENINGS = (
    REQUESTS_PER_SECOND * COLD_START_LIMITS.excess_factor + COLD_START_LIMITS.slack_requests
)


class ColdOpenings:
    """Counts flows that are opened at cold endpoints, and reports too many within WINDOW_SECONDS.

    Copies of a flow's opening packet at the same endpoint are not counted.
    """

    def __init__(self, oracle: TokenOracle) -> None:
        self._oracle = oracle
        self._cold_until: dict[str, float] = {}
        self._flows: set[tuple[str, FlowEnd]] = set()
        self._arrivals: dict[str, deque[float]] = {}
        self._restart_known_at: dict[str, float] = {}
        self._presumed_cold_until: dict[str, float] = {}

    def note_cold(self, endpoint: str, now: float) -> None:
        """Record that an endpoint is cold for WARM_UP_SECONDS from `now`."""
        self._cold_until[endpoint] = now + WARM_UP_SECONDS

    def note_restarted(self, endpoint: str, now: float) -> None:
        """Record that an endpoint restarted, is cold and has announced this.

        Nodes in contact with the store apply it within APPLY_SECONDS; others may do so later.
        """
        self.note_cold(endpoint, now)
        self._restart_known_at[endpoint] = now + APPLY_SECONDS

    def _may_not_know_restart(self, endpoint: str, node: str, now: float) -> bool:
        """Whether a node may not know yet that an endpoint restarted."""
        known_at = self._restart_known_at.get(endpoint)
        if known_at is None:
            return False
        return now < known_at or not self._oracle.in_contact(node, now)

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is cold at `now`."""
        return now < self._cold_until.get(endpoint, float("-inf"))

    def note_presumed_cold(self, endpoint: str, now: float) -> None:
        """Record that a change seen by nodes now makes them treat a warm endpoint as cold."""
        self._presumed_cold_until[endpoint] = now + WARM_UP_SECONDS

    def _may_be_presumed_cold(self, endpoint: str, now: float) -> bool:
        """Whether a node that applies changes as late as allowed may treat an endpoint as cold.

        A node counts the whole warm-up from when it receives the entry, maybe after an outage.
        """
        never = float("-inf")
        until = max(
            self._cold_until.get(endpoint, never), self._presumed_cold_until.get(endpoint, never)
        )
        store_back = self._oracle.store_contact_from - CONTACT_SECONDS
        if store_back > until - WARM_UP_SECONDS:
            until = max(until, store_back + WARM_UP_SECONDS)
        return now < until + APPLY_SECONDS

    def may_all_be_presumed_cold(self, endpoints: Iterable[str], now: float) -> bool:
        """Whether nodes, which may apply changes 3 s late, may treat all of these as cold."""
        names = list(endpoints)
        return bool(names) and all(self._may_be_presumed_cold(name, now) for name in names)

    def check_opening(
        self, endpoint: BackendRecord, client: FlowEnd, now: float, node: str = ""
    ) -> None:
        """Check the opening packet of a client's flow that reached an endpoint through a node."""
        name = endpoint.name
        if self._may_not_know_restart(name, node, now):
            self._oracle.counters["cold_openings_unheard"] += 1
            return
        if not self.is_cold(name, now) or (name, client) in self._flows:
            return
        self._flows.add((name, client))
        self._oracle.counters["cold_openings"] += 1
        arrivals = self._arrivals.setdefault(name, deque())
        arrivals.append(now)
        while arrivals[0] <= now - WINDOW_SECONDS:
            arrivals.popleft()
        if len(arrivals) > MAXIMUM_OPENINGS:
            detail = f"{name} is cold and got {len(arrivals)} openings in {WINDOW_SECONDS:g} s"
            self._oracle.report("cold", now, detail)
