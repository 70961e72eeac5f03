"""An observer that counts decisions and state changes of a core, for simulations and tests."""

from __future__ import annotations

from collections import Counter

from beamloom.node.node_observer import DownEvidence, NodeObserver
from beamloom.routing.tokens.decisions import Decision
from beamloom.routing.tokens.records import BackendRecord


class QuietObserver(NodeObserver):
    """Counts decisions and state changes of a core."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    def decision(self, decision: Decision) -> None:
        """Count a decision by its type."""
        self.counters[type(decision).__name__] += 1

    def backend_changed(self, record: BackendRecord, revision: int, source: str) -> None:
        """Count a new or changed backend entry."""
        self.counters[f"backend_{source}"] += 1

    def backend_gone(self, name: str, service: str, revision: int, source: str) -> None:
        """Count a backend that the store no longer lists."""
        self.counters[f"gone_{source}"] += 1

    def configuration(self, version: int, before: int, routes: int, source: str) -> None:
        """Count a configuration that came into force."""
        self.counters[f"configuration_{source}"] += 1

    def terms_unreadable(self, route: str, version: int, terms: tuple[str, ...]) -> None:
        """Count the unreadable terms of a route."""
        self.counters["terms_unreadable"] += len(terms)

    def evacuation(self, zone: str, evacuated: bool, revision: int) -> None:
        """Count the beginning or the end of an evacuation."""
        self.counters["evacuated" if evacuated else "taken_back"] += 1

    def evacuation_of_unknown_zone(self, zone: str) -> None:
        """Count an evacuation that names no zone of the deployment."""
        self.counters["unknown_zones"] += 1

    def backend_suspected(self, backend: str, service: str, age: float) -> None:
        """Count a backend that several nodes found silent."""
        self.counters["suspected"] += 1

    def backend_down(self, record: BackendRecord, evidence: DownEvidence, flows: int) -> None:
        """Count a backend that a check found dead, and its flows that were reset."""
        self.counters[f"down_{evidence.outcome.value}"] += 1
        self.counters["flows_ended"] += flows

    def backend_failing(self, record: BackendRecord) -> None:
        """Count a backend that several nodes report as failing."""
        self.counters["failing"] += 1

    def backend_up(self, record: BackendRecord) -> None:
        """Count a dead backend that is reachable again."""
        self.counters["up"] += 1

    def reader_changed(self, reading: bool) -> None:
        """Count a change of this node to a reader of the store or back."""
        self.counters["duty"] += 1

    def stalled(self, seconds: float) -> None:
        """Count a stall of the process."""
        self.counters["stalled"] += 1

    def unusable_capacity(self, host: str, fields: tuple[str, ...]) -> None:
        """Count a peer that announced unusable capacity figures."""
        self.counters["unusable_capacities"] += 1

    def limit_state_changed(self, state: str, before: str, limit: str, share: float) -> None:
        """Count a change of the limit state by the new state."""
        self.counters[f"limits_{state}"] += 1
