"""The oracle: each of the eight things that must always hold, stated as simply as can be.

It goes by nothing but observations: what clients, backends and operators saw. A fault that nobody
planned excuses a broken flow or a late configuration for a while; it never excuses traffic of one
service at another, a request that ran after "not run" was told, a second run, or a version that
went back.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from beamloom.simulation.observations import Interval, Observations, ObservedFlow
from beamloom.standins.client_model import Outcome

DRAIN_LIMIT = 3.0
"""Seconds after which a leaving backend must get no new flow."""
IN_FORCE_LIMIT = 4.0
"""Seconds within which an accepted configuration must be in force on every balancer."""
FAULT_SHADOW = 90.0
"""Seconds for which a fault may show late: a silent client gives up after its retransmissions."""
FAILED = frozenset({Outcome.RESET, Outcome.TIMED_OUT})


class Invariant(StrEnum):
    """What must always hold."""

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
    """One breach: which invariant, when, what it befell, and how."""

    invariant: Invariant
    time: float
    subject: str
    detail: str


def judge(observations: Observations) -> list[Violation]:
    """Return every violation, in order of time."""
    found = [violation for check in CHECKS for violation in check(observations)]
    return sorted(found, key=lambda item: (item.time, item.invariant, item.subject, item.detail))


def established_flows(seen: Observations) -> Iterator[Violation]:
    """Yield established flows that broke or moved although nothing unplanned befell."""
    for flow in seen.flows:
        truth = flow.truth
        ended_at = truth.ended_at or seen.ended_at
        if len(truth.backends) > 1:
            detail = f"answered by {', '.join(truth.backends)}"
            yield _violation(Invariant.ESTABLISHED_FLOW_SURVIVES, ended_at, flow, detail)
        elif truth.broken and not _excused(seen.faults, ended_at):
            yield _violation(Invariant.ESTABLISHED_FLOW_SURVIVES, ended_at, flow, truth.detail)


def isolation(seen: Observations) -> Iterator[Violation]:
    """Yield packets that reached a backend of another service, and answers from one."""
    service_of = {backend.backend_id: backend.service_id for backend in seen.backends}
    for backend in seen.backends:
        for packet in backend.truth.tenancy_violations:
            detail = f"got a packet from {packet.source} to {packet.destination}"
            subject = backend.backend_id
            yield Violation(Invariant.SERVICES_ARE_ISOLATED, seen.ended_at, subject, detail)
    for flow in seen.flows:
        for backend_id in flow.truth.backends:
            if service_of.get(backend_id) != flow.service_id:
                ended_at = flow.truth.ended_at or seen.ended_at
                detail = f"answered by {backend_id}, which is not of {flow.service_id}"
                yield _violation(Invariant.SERVICES_ARE_ISOLATED, ended_at, flow, detail)


def whole_answers(seen: Observations) -> Iterator[Violation]:
    """Yield requests that ran although their caller never got the whole answer."""
    runs = seen.runs()
    for flow in seen.flows:
        truth = flow.truth
        if truth.outcome not in FAILED or flow.request_id not in runs or truth.ended_at is None:
            continue
        if not _excused(seen.faults, truth.ended_at):
            detail = f"ran at {runs[flow.request_id][0]:.3f}, {truth.detail}"
            yield _violation(Invariant.ANSWER_IS_WHOLE, truth.ended_at, flow, detail)


def refusals(seen: Observations) -> Iterator[Violation]:
    """Yield requests that ran although their caller was told that they had not."""
    runs = seen.runs()
    for flow in seen.flows:
        if flow.truth.outcome is Outcome.REFUSED and flow.request_id in runs:
            detail = f"ran at {runs[flow.request_id][0]:.3f}, told: {flow.truth.detail}"
            ended_at = flow.truth.ended_at or seen.ended_at
            yield _violation(Invariant.NOT_RUN_MEANS_NOT_RUN, ended_at, flow, detail)


def single_runs(seen: Observations) -> Iterator[Violation]:
    """Yield requests that may not be repeated and ran more than once."""
    runs = seen.runs()
    for flow in seen.flows:
        times = sorted(runs.get(flow.request_id, ()))
        if not flow.repeatable and len(times) > 1:
            detail = f"ran {len(times)} times"
            yield _violation(Invariant.AT_MOST_ONCE, times[1], flow, detail)


def drained_backends(seen: Observations) -> Iterator[Violation]:
    """Yield new flows at a backend that has been leaving for longer than the limit."""
    truths = {backend.backend_id: backend.truth for backend in seen.backends}
    for drain in seen.drains:
        deadline = _deadline(drain.start, DRAIN_LIMIT, seen.faults + seen.outages)
        for time in truths[drain.backend_id].new_connections:
            if deadline < time < drain.end:
                detail = f"new flow {time - drain.start:.3f} s after its drain was accepted"
                invariant = Invariant.LEAVING_BACKEND_GETS_NO_NEW_WORK
                yield Violation(invariant, time, drain.backend_id, detail)


def planned_stops(seen: Observations) -> Iterator[Violation]:
    """Yield requests in progress at a planned stop that failed though nothing else befell."""
    for flow in seen.flows:
        truth = flow.truth
        if truth.outcome not in FAILED or not flow.request_id or truth.ended_at is None:
            continue
        for stop in seen.planned_stops:
            in_progress = truth.started_at <= stop.time <= truth.ended_at
            if in_progress and not _excused(seen.faults, truth.ended_at):
                detail = f"in progress at the stop of {stop.subject}: {truth.detail}"
                yield _violation(Invariant.PLANNED_STOP_CUTS_NOTHING, truth.ended_at, flow, detail)
                break


def configuration(seen: Observations) -> Iterator[Violation]:
    """Yield configurations in force too late or not at all, and those that went back."""
    invariant = Invariant.CONFIGURATION_IN_FORCE
    for accepted, life, time in seen.in_force_times():
        excuses = seen.outages + life.impaired
        deadline = _deadline(accepted.time, IN_FORCE_LIMIT, excuses)
        if deadline > min(seen.ended_at, life.ended_at):
            continue
        if time is None or time > deadline:
            when = (
                "not in force" if time is None else f"in force after {time - accepted.time:.3f} s"
            )
            yield Violation(invariant, deadline, life.node, f"{accepted.revision} {when}")
    yield from _outdated_joiners(seen)
    newest: dict[str, int] = {}
    for entry in seen.in_force:
        if entry.revision < newest.get(entry.node, 0):
            detail = f"went back from {newest[entry.node]} to {entry.revision}"
            yield Violation(invariant, entry.time, entry.node, detail)
        newest[entry.node] = max(entry.revision, newest.get(entry.node, 0))


def _outdated_joiners(seen: Observations) -> Iterator[Violation]:
    """Yield balancers that began to serve with a configuration older than one long accepted."""
    for life in seen.nodes.values():
        began = life.serving_from
        if began is None:
            continue
        first = _revision_at(seen, life.node, began)
        for accepted in seen.accepted:
            deadline = _deadline(accepted.time, IN_FORCE_LIMIT, seen.outages)
            if deadline <= began and accepted.revision > first:
                detail = f"began to serve at {first}, {accepted.revision} was accepted before"
                yield Violation(Invariant.CONFIGURATION_IN_FORCE, began, life.node, detail)
                break


def _revision_at(seen: Observations, node: str, time: float) -> int:
    shown = [item.revision for item in seen.in_force if item.node == node and item.time <= time]
    return shown[-1] if shown else 0


CHECKS = (
    established_flows,
    isolation,
    whole_answers,
    refusals,
    single_runs,
    drained_backends,
    planned_stops,
    configuration,
)


def _violation(invariant: Invariant, time: float, flow: ObservedFlow, detail: str) -> Violation:
    return Violation(invariant, time, flow.truth.flow_id, detail)


def _excused(faults: list[Interval], ended_at: float) -> bool:
    """Whether an unplanned fault was at work shortly before something failed."""
    return any(fault.overlaps(ended_at - FAULT_SHADOW, ended_at) for fault in faults)


def _deadline(start: float, limit: float, excuses: list[Interval]) -> float:
    """Return `start + limit`, counted anew from the end of each excuse that reaches into it."""
    deadline = start + limit
    for excuse in sorted(excuses, key=lambda item: item.start):
        if excuse.overlaps(start, deadline):
            deadline = max(deadline, excuse.end + limit)
    return deadline
