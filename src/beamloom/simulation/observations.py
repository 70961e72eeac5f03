"""Observations of clients, backends and operators in a run, which the oracle checks.

Times are seconds of the virtual clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from beamloom.standins.backend_model import BackendTruth
from beamloom.standins.client_model import FlowTruth


@dataclass(frozen=True, slots=True)
class Interval:
    """An interval of time, without an end by default."""

    start: float
    end: float = float("inf")

    def overlaps(self, start: float, end: float) -> bool:
        """Whether the two closed intervals overlap."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True, slots=True)
class ObservedFlow:
    """A client's flow; `request_id` is the id of its only request, or empty for a stream."""

    service_id: str
    truth: FlowTruth
    request_id: str = ""
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class ObservedBackend:
    """A backend and the record of what it received and executed."""

    backend_id: str
    service_id: str
    truth: BackendTruth


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Operators stopped a balancer or drained a backend (`subject`) at a time."""

    subject: str
    time: float


@dataclass(frozen=True, slots=True)
class AcceptedDrain:
    """A drain that the store accepted; `end` is when the backend became active again."""

    backend_id: str
    start: float
    end: float = float("inf")


@dataclass(frozen=True, slots=True)
class AcceptedRevision:
    """A write of an operator that the store accepted."""

    revision: int
    time: float


@dataclass(frozen=True, slots=True)
class RevisionInForce:
    """The revision that a balancer had in force from `time` on."""

    node: str
    revision: int
    time: float


@dataclass(slots=True)
class NodeLifetime:
    """When a balancer served, and when it was paused, slow or partitioned."""

    node: str
    serving_from: float | None = None
    ended_at: float = float("inf")
    impaired: list[Interval] = field(default_factory=list)


@dataclass(slots=True)
class Observations:
    """All observations of a run; `faults` are unplanned, `outages` are those of the store."""

    flows: list[ObservedFlow] = field(default_factory=list)
    backends: list[ObservedBackend] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    drains: list[AcceptedDrain] = field(default_factory=list)
    accepted: list[AcceptedRevision] = field(default_factory=list)
    in_force: list[RevisionInForce] = field(default_factory=list)
    nodes: dict[str, NodeLifetime] = field(default_factory=dict)
    faults: list[Interval] = field(default_factory=list)
    outages: list[Interval] = field(default_factory=list)
    ended_at: float = 0.0

    def lifetime(self, node: str) -> NodeLifetime:
        """Return the lifetime of a balancer; it is created on first use."""
        return self.nodes.setdefault(node, NodeLifetime(node))

    def runs(self) -> dict[str, list[float]]:
        """Return the start times of each request's executions, on any backend, by request id."""
        runs: dict[str, list[float]] = {}
        for backend in self.backends:
            for request_id, times in backend.truth.runs.items():
                runs.setdefault(request_id, []).extend(times)
        return runs

    def in_force_times(self) -> Iterator[tuple[AcceptedRevision, NodeLifetime, float | None]]:
        """Yield when each node had each revision in force that was accepted while the node served.

        The time is None if the node never had it, or a later one, in force.
        """
        by_node: dict[str, list[RevisionInForce]] = {}
        for entry in self.in_force:
            by_node.setdefault(entry.node, []).append(entry)
        for accepted in self.accepted:
            for lifetime in self.nodes.values():
                if lifetime.serving_from is None or lifetime.serving_from > accepted.time:
                    continue
                if lifetime.ended_at <= accepted.time:
                    continue
                entries = by_node.get(lifetime.node, [])
                yield accepted, lifetime, _first_with(entries, accepted.revision)


def _first_with(entries: list[RevisionInForce], revision: int) -> float | None:
    return next((entry.time for entry in entries if entry.revision >= revision), None)
