"""What clients, backends and operators saw in a run: all that the oracle goes by.

Times are true seconds since the start of the run.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from beamloom.standins.backend_model import BackendTruth
from beamloom.standins.client_model import FlowTruth


@dataclass(frozen=True, slots=True)
class Interval:
    """A stretch of time; one that has not ended is open to the future."""

    start: float
    end: float = float("inf")

    def overlaps(self, start: float, end: float) -> bool:
        """Whether the two stretches meet."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True, slots=True)
class ObservedFlow:
    """A client's flow; `request_id` names its one request, or is empty for a stream."""

    service_id: str
    truth: FlowTruth
    request_id: str = ""
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class ObservedBackend:
    """A backend and what truly happened at it."""

    backend_id: str
    service_id: str
    truth: BackendTruth


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Operators stopped a balancer or drained a backend at a time."""

    subject: str
    time: float


@dataclass(frozen=True, slots=True)
class AcceptedDrain:
    """Operators were told that a backend is draining; `end` is when it was made active again."""

    backend_id: str
    start: float
    end: float = float("inf")


@dataclass(frozen=True, slots=True)
class AcceptedRevision:
    """The store accepted an operator's write."""

    revision: int
    time: float


@dataclass(frozen=True, slots=True)
class RevisionInForce:
    """The status of a balancer showed a revision, first at `time`."""

    node: str
    revision: int
    time: float


@dataclass(slots=True)
class NodeLife:
    """When a balancer served, and when it stood still, was cut off or slow."""

    node: str
    serving_from: float | None = None
    ended_at: float = float("inf")
    impaired: list[Interval] = field(default_factory=list)


@dataclass(slots=True)
class Observations:
    """Everything that was seen; `faults` are the unplanned ones, `outages` those of the store."""

    flows: list[ObservedFlow] = field(default_factory=list)
    backends: list[ObservedBackend] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    drains: list[AcceptedDrain] = field(default_factory=list)
    accepted: list[AcceptedRevision] = field(default_factory=list)
    in_force: list[RevisionInForce] = field(default_factory=list)
    nodes: dict[str, NodeLife] = field(default_factory=dict)
    faults: list[Interval] = field(default_factory=list)
    outages: list[Interval] = field(default_factory=list)
    ended_at: float = 0.0

    def life(self, node: str) -> NodeLife:
        """Return the record of a balancer, a new one where there is none."""
        return self.nodes.setdefault(node, NodeLife(node))

    def runs(self) -> dict[str, list[float]]:
        """Return, by request, the times at which any backend began to run it."""
        runs: dict[str, list[float]] = {}
        for backend in self.backends:
            for request_id, times in backend.truth.runs.items():
                runs.setdefault(request_id, []).extend(times)
        return runs

    def in_force_times(self) -> Iterator[tuple[AcceptedRevision, NodeLife, float | None]]:
        """Yield for each accepted revision and serving node when the node first had it."""
        first_seen: dict[str, list[RevisionInForce]] = {}
        for seen in self.in_force:
            first_seen.setdefault(seen.node, []).append(seen)
        for accepted in self.accepted:
            for life in self.nodes.values():
                if life.serving_from is None or life.serving_from > accepted.time:
                    continue
                if life.ended_at <= accepted.time:
                    continue
                seen_by_node = first_seen.get(life.node, [])
                yield accepted, life, _first_with(seen_by_node, accepted.revision)


def _first_with(seen: list[RevisionInForce], revision: int) -> float | None:
    return next((entry.time for entry in seen if entry.revision >= revision), None)
