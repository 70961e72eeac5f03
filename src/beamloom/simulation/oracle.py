"""Oracle: checks the eight invariants against what clients, backends and operators observed.

A recent unplanned fault accounts for a broken flow, a lost answer or a failed request. Faults and
outages of the store extend the deadline of a drain; outages and impairments of a node extend the
deadline of its configuration. These are always violations: a flow with two backends, traffic of
another service, the execution of a refused request, a second execution of a request that may not be
repeated, and a revision that decreases.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from beamloom.simulation.observations import Interval, Observations, ObservedFlow
from beamloom.standins.client_model import Outcome

DRAIN_LIMIT = 3.0
"""Seconds after the start of a drain from which a backend must receive no new flow."""
IN_FORCE_LIMIT = 4.0
"""Seconds within which an accepted configuration must be in force on every serving balancer."""
FAULT_EFFECT_SECONDS = 90.0
"""Seconds for which failures are attributed to a fault: clients time out after retransmissions."""
FAILED_OUTCOMES = frozenset({Outcome.RESET, Outcome.TIMED_OUT})


class Invariant(StrEnum):
    """An invariant that every run must satisfy."""

    ESTABLISHED_FLOW_SURVIVES = "established-flow-survives"
    SERVICES_ARE_ISOLATED = "services-are-isolated"
    ANSWER_IS_WHOLE = "answer-is-whole"
    NOT_RUN_MEANS_NOT_RUN = "not-run-means-not-run"
    AT_MOST_ONCE = "at-most-once"
    LEAVING_BACKEND_GETS_NO_NEW_WORK = "leaving-backend-gets-no-new-work"
    PLANNED_STOP_CUTS_NOTHING = "planned-stop-cuts-nothing"
    CONFIGURATION_IN_FORCE = "configuration-in-force"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant; `subject` is the flow, backend or balancer concerned."""

    invariant: Invariant
    time: float
    subject: str
    detail: str


def find_violations(observations: Observations) -> list[Violation]:
    """Return every violation, ordered by time."""
    found = [violation for check in CHECKS for violation in check(observations)]
    return sorted(found, key=lambda item: (item.time, item.invariant, item.subject, item.detail))


def check_established_flows(observations: Observations) -> Iterator[Violation]:
    """Yield flows with more than one backend, and flows that broke without a recent fault."""
    for flow in observations.flows:
        truth = flow.truth
        ended_at = truth.ended_at or observations.ended_at
        if len(truth.backends) > 1:
            detail = f"answered by {', '.join(truth.backends)}"
            yield _violation(Invariant.ESTABLISHED_FLOW_SURVIVES, ended_at, flow, detail)
        elif truth.broken and not _follows_fault(observations.faults, ended_at):
            yield _violation(Invariant.ESTABLISHED_FLOW_SURVIVES, ended_at, flow, truth.detail)


def check_isolation(observations: Observations) -> Iterator[Violation]:
    """Yield packets to, and answers from, a backend of another service."""
    service_of = {backend.backend_id: backend.service_id for backend in observations.backends}
    for backend in observations.backends:
        for packet in backend.truth.tenancy_violations:
            detail = f"got a packet from {packet.source} to {packet.destination}"
            subject = backend.backend_id
            yield Violation(Invariant.SERVICES_ARE_ISOLATED, observations.ended_at, subject, detail)
    for flow in observations.flows:
        for backend_id in flow.truth.backends:
            if service_of.get(backend_id) != flow.service_id:
                ended_at = flow.truth.ended_at or observations.ended_at
                detail = f"answered by {backend_id}, which is not of {flow.service_id}"
                yield _violation(Invariant.SERVICES_ARE_ISOLATED, ended_at, flow, detail)


def check_complete_answers(observations: Observations) -> Iterator[Violation]:
    """Yield executed requests whose client did not receive the complete answer."""
    runs = observations.runs()
    for flow in observations.flows:
        truth = flow.truth
        if (
            truth.outcome not in FAILED_OUTCOMES
            or flow.request_id not in runs
            or truth.ended_at is None
        ):
            continue
        if not _follows_fault(observations.faults, truth.ended_at):
            detail = f"ran at {runs[flow.request_id][0]:.3f}, {truth.detail}"
            yield _violation(Invariant.ANSWER_IS_WHOLE, truth.ended_at, flow, detail)


def check_refusals(observations: Observations) -> Iterator[Violation]:
    """Yield executed requests whose client received a refusal."""
    runs = observations.runs()
    for flow in observations.flows:
        if flow.truth.outcome is Outcome.REFUSED and flow.request_id in runs:
            detail = f"ran at {runs[flow.request_id][0]:.3f}, told: {flow.truth.detail}"
            ended_at = flow.truth.ended_at or observations.ended_at
            yield _violation(Invariant.NOT_RUN_MEANS_NOT_RUN, ended_at, flow, detail)


def check_single_runs(observations: Observations) -> Iterator[Violation]:
    """Yield requests that may not be repeated but were executed more than once."""
    runs = observations.runs()
    for flow in observations.flows:
        times = sorted(runs.get(flow.request_id, ()))
        if not flow.repeatable and len(times) > 1:
            detail = f"ran {len(times)} times"
            yield _violation(Invariant.AT_MOST_ONCE, times[1], flow, detail)


def check_drained_backends(observations: Observations) -> Iterator[Violation]:
    """Yield new flows at a backend after the deadline of its drain."""
    truths = {backend.backend_id: backend.truth for backend in observations.backends}
    for drain in observations.drains:
        deadline = _deadline(drain.start, DRAIN_LIMIT, observations.faults + observations.outages)
        for time in truths[drain.backend_id].new_connections:
            if deadline < time < drain.end:
                detail = f"new flow {time - drain.start:.3f} s after its drain was accepted"
                invariant = Invariant.LEAVING_BACKEND_GETS_NO_NEW_WORK
                yield Violation(invariant, time, drain.backend_id, detail)


def check_planned_stops(observations: Observations) -> Iterator[Violation]:
    """Yield requests that were in progress at a planned stop and failed without a recent fault."""
    for flow in observations.flows:
        truth = flow.truth
        if truth.outcome not in FAILED_OUTCOMES or not flow.request_id or truth.ended_at is None:
            continue
        for stop in observations.planned_stops:
            in_progress = truth.started_at <= stop.time <= truth.ended_at
            if in_progress and not _follows_fault(observations.faults, truth.ended_at):
                detail = f"in progress at the stop of {stop.subject}: {truth.detail}"
                yield _violation(Invariant.PLANNED_STOP_CUTS_NOTHING, truth.ended_at, flow, detail)
                break


def check_configuration(observations: Observations) -> Iterator[Violation]:
    """Yield revisions that were in force late or never, and revisions that decreased."""
    invariant = Invariant.CONFIGURATION_IN_FORCE
    for accepted, lifetime, time in observations.in_force_times():
        interruptions = observations.outages + lifetime.impaired
        deadline = _deadline(accepted.time, IN_FORCE_LIMIT, interruptions)
        if deadline > min(observations.ended_at, lifetime.ended_at):
            continue
        if time is None or time > deadline:
            when = (
                "not in force" if time is None else f"in force after {time - accepted.time:.3f} s"
            )
            yield Violation(invariant, deadline, lifetime.node, f"{accepted.revision} {when}")
    yield from _check_initial_revisions(observations)
    newest: dict[str, int] = {}
    for entry in observations.in_force:
        if entry.revision < newest.get(entry.node, 0):
            detail = f"went back from {newest[entry.node]} to {entry.revision}"
            yield Violation(invariant, entry.time, entry.node, detail)
        newest[entry.node] = max(entry.revision, newest.get(entry.node, 0))


def _check_initial_revisions(observations: Observations) -> Iterator[Violation]:
    """Yield balancers that began to serve without a revision whose deadline had passed."""
    for lifetime in observations.nodes.values():
        began = lifetime.serving_from
        if began is None:
            continue
        first = _revision_at(observations, lifetime.node, began)
        for accepted in observations.accepted:
            deadline = _deadline(accepted.time, IN_FORCE_LIMIT, observations.outages)
            if deadline <= began and accepted.revision > first:
                detail = f"began to serve at {first}, {accepted.revision} was accepted before"
                yield Violation(Invariant.CONFIGURATION_IN_FORCE, began, lifetime.node, detail)
                break


def _revision_at(observations: Observations, node: str, time: float) -> int:
    revisions = [
        item.revision for item in observations.in_force if item.node == node and item.time <= time
    ]
    return revisions[-1] if revisions else 0


CHECKS = (
    check_established_flows,
    check_isolation,
    check_complete_answers,
    check_refusals,
    check_single_runs,
    check_drained_backends,
    check_planned_stops,
    check_configuration,
)


def _violation(invariant: Invariant, time: float, flow: ObservedFlow, detail: str) -> Violation:
    return Violation(invariant, time, flow.truth.flow_id, detail)


def _follows_fault(faults: list[Interval], ended_at: float) -> bool:
    """Whether a fault overlaps the last `FAULT_EFFECT_SECONDS` before `ended_at`."""
    return any(fault.overlaps(ended_at - FAULT_EFFECT_SECONDS, ended_at) for fault in faults)


def _deadline(start: float, limit: float, interruptions: list[Interval]) -> float:
    """Return `start + limit`, extended to `limit` after the end of each interruption in between."""
    deadline = start + limit
    for interruption in sorted(interruptions, key=lambda item: item.start):
        if interruption.overlaps(start, deadline):
            deadline = max(deadline, interruption.end + limit)
    return deadline
