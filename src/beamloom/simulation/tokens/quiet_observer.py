"""An observer that counts what a core believes and decides, for simulations and tests."""

from __future__ import annotations

from collections import Counter

from beamloom.node.belief_observer import BeliefObserver
from beamloom.routing.tokens.decisions import Decision
from beamloom.routing.tokens.liveness import CheckOutcome
from beamloom.routing.tokens.records import BackendRecord


class QuietObserver(BeliefObserver):
    """Counts what a core believes and decides."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    def decision(self, decision: Decision) -> None:
        """Count a decision by its type."""
        self.counters[type(decision).__name__] += 1

    def backend_changed(self, record: BackendRecord, revision: int, source: str) -> None:
        """Count a changed backend."""
        self.counters[f"backend_{source}"] += 1

    def backend_gone(self, name: str, service: str, revision: int, source: str) -> None:
        """Count a backend that has gone."""
        self.counters[f"gone_{source}"] += 1

    def configuration(self, version: int, before: int, routes: int, source: str) -> None:
        """Count a version."""
        self.counters[f"configuration_{source}"] += 1

    def terms_unreadable(self, route: str, version: int, terms: tuple[str, ...]) -> None:
        """Count the terms."""
        self.counters["terms_unreadable"] += len(terms)

    def evacuation(self, zone: str, evacuated: bool, revision: int) -> None:
        """Count an evacuation, or its end."""
        self.counters["evacuated" if evacuated else "taken_back"] += 1

    def evacuation_of_unknown_zone(self, zone: str) -> None:
        """Count an evacuation of a zone that there is not."""
        self.counters["unknown_zones"] += 1

    def suspected(self, backend: str, service: str, age: float) -> None:
        """Count a backend that nodes found silent."""
        self.counters["suspected"] += 1

    def backend_down(self, record: BackendRecord, outcome: CheckOutcome, flows: int) -> None:
        """Count a backend that a check found dead, and the flows that were ended."""
        self.counters[f"down_{outcome.value}"] += 1
        self.counters["flows_ended"] += flows

    def backend_failing(self, record: BackendRecord) -> None:
        """Count a backend that answers with errors."""
        self.counters["failing"] += 1

    def backend_up(self, record: BackendRecord) -> None:
        """Count a backend that can be reached again."""
        self.counters["up"] += 1

    def reader_changed(self, reading: bool) -> None:
        """Count a change of the reader role."""
        self.counters["duty"] += 1

    def stalled(self, seconds: float) -> None:
        """Count a stall."""
        self.counters["stalled"] += 1

    def unusable_capacity(self, host: str, fields: tuple[str, ...]) -> None:
        """Count a peer that told absurd figures of its machine."""
        self.counters["unusable_capacities"] += 1

    def own_limits(self, state: str, before: str, limit: str, share: float) -> None:
        """Count a change of what this node gives up."""
        self.counters[f"limits_{state}"] += 1
