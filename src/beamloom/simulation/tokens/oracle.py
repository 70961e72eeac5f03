"""Rules for flows through token nodes, checked against what clients and endpoints observe.

Rules with a time bound apply to a node only while it is in contact with the store, that is from
`CONTACT_SECONDS` after the end of the last fault recorded for the node or for the store.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from beamloom.routing.tokens.records import BackendRecord

CONTACT_SECONDS = 4.0
APPLY_SECONDS = 3.0
DRAIN_SECONDS = 3.0
EVACUATE_SECONDS = 5.0
"""Time bounds: for regaining contact, and for applying configurations, drains and evacuations."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule: its time and what was observed."""

    rule: str
    at: float
    detail: str


@dataclass(slots=True)
class TokenOracle:
    """Collects violations; `contact_from` holds the time at which each node regains contact."""

    violations: list[Violation] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    contact_from: dict[str, float] = field(default_factory=dict)
    store_contact_from: float = 0.0
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    route_history: dict[bytes, list[tuple[float, frozenset[str]]]] = field(default_factory=dict)
    evacuated_at: dict[str, float] = field(default_factory=dict)
    evacuation_ended_at: dict[str, float] = field(default_factory=dict)

    def note_fault(self, node: str, until: float) -> None:
        """Record that a fault affects a node until a time."""
        known = self.contact_from.get(node, 0.0)
        self.contact_from[node] = max(known, until + CONTACT_SECONDS)

    def note_store_fault(self, until: float) -> None:
        """Record that a fault affects the store until a time."""
        self.store_contact_from = max(self.store_contact_from, until + CONTACT_SECONDS)

    def note_withdrawn(self, endpoint: str, at: float) -> None:
        """Record the first time at which the store lists an endpoint as draining or not at all.

        Nothing is recorded during a fault of the store or within CONTACT_SECONDS of it.
        """
        if at >= self.store_contact_from:
            self.withdrawn_at.setdefault(endpoint, at)

    def note_routes(self, routes: dict[bytes, frozenset[str]], at: float) -> None:
        """Record that a configuration was written to the store."""
        for destination in self.route_history.keys() | routes.keys():
            services = routes.get(destination, frozenset())
            self.route_history.setdefault(destination, []).append((at, services))

    def note_evacuation_began(self, zone: str, at: float) -> None:
        """Record that the evacuation of a zone was written to the store."""
        self.evacuated_at[zone] = at

    def note_evacuation_ended(self, zone: str, at: float) -> None:
        """Record that the evacuation of a zone has ended."""
        self.evacuated_at.pop(zone, None)
        self.evacuation_ended_at[zone] = at

    def in_contact(self, node: str, at: float) -> bool:
        """Whether rules with a time bound apply to a node."""
        return at >= max(self.contact_from.get(node, 0.0), self.store_contact_from)

    def check_opening(
        self, node: str, endpoint: BackendRecord, destination: bytes, at: float
    ) -> None:
        """Check an opening packet that reached an endpoint through a node."""
        self.counters["openings"] += 1
        service, zone = endpoint.service, endpoint.zone
        history = self.route_history.get(destination, [])
        if not any(service in services for _, services in history):
            self.report("route", at, f"{service} was never allowed")
        if not self.in_contact(node, at):
            return
        withdrawn = self.withdrawn_at.get(endpoint.name)
        if withdrawn is not None and at > withdrawn + DRAIN_SECONDS:
            self.report(
                "drain", at, f"{endpoint.name} withdrawn at {withdrawn:.2f}, {node} still sends"
            )
        evacuated = self.evacuated_at.get(zone)
        if evacuated is not None and at > evacuated + EVACUATE_SECONDS:
            self.report(
                "evacuation", at, f"{zone} evacuated at {evacuated:.2f}, {node} still sends"
            )
        valid = self._services_within(history, at - APPLY_SECONDS, at)
        if service not in valid:
            self.report("configuration", at, f"{node} sends to {service}, allowed: {valid}")

    def check_refusal(
        self, node: str, destination: bytes, at: float, zones: Collection[str]
    ) -> None:
        """Check a node's reset of an opening flow; `zones` are those of the endpoints for it.

        The reset is allowed if nodes may consider all of these zones evacuated.
        """
        self.counters["refusals"] += 1
        if zones and all(self.may_be_evacuated(zone, at) for zone in zones):
            return
        services = self.possible_services(destination, at)
        if services and all(services) and self.in_contact(node, at):
            self.report("configuration", at, f"{node} refused a flow that has a route")

    def possible_services(self, destination: bytes, at: float) -> list[frozenset[str]]:
        """Return a destination's services in each configuration that may be in force at a node."""
        history = self.route_history.get(destination, [])
        recent = [services for since, services in history if since > at - APPLY_SECONDS]
        return (
            recent + [services for since, services in history if since <= at - APPLY_SECONDS][-1:]
        )

    def may_be_evacuated(self, zone: str, at: float) -> bool:
        """Whether nodes may consider a zone evacuated; they may apply its end 5 s late."""
        evacuation_ended_at = self.evacuation_ended_at.get(zone, float("-inf"))
        return zone in self.evacuated_at or at < evacuation_ended_at + EVACUATE_SECONDS

    def check_answer(self, expected: str | None, got: str, flow: str, at: float) -> None:
        """Check that the answer came from the endpoint that answered the flow first."""
        self.counters["answers"] += 1
        if expected is not None and expected != got:
            self.report("flow", at, f"{flow} was at {expected}, {got} answered")

    def report(self, rule: str, at: float, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, at, detail))

    def _services_within(
        self, history: list[tuple[float, frozenset[str]]], since: float, until: float
    ) -> frozenset[str]:
        """Return all services that were allowed at any time within an interval."""
        before = [services for at, services in history if at <= since][-1:]
        during = [services for at, services in history if since < at <= until]
        return frozenset().union(*before, *during)
