"""A backend as a home sees it: status, weight factor, reason and time of the last change."""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.contracts import BackendOperatingStatus
from beamloom.replication.backend_status.evidence import PAUSE_SECONDS, BackendEvidence
from beamloom.replication.backend_status.load_reports import NEUTRAL_CLASS, class_factor
from beamloom.replication.backend_status.register import StatusReason, StatusRecord

INITIAL_RAMP_FACTOR = 0.1

REASON_TEXTS = {
    StatusReason.NONE: "no watcher has reported a problem",
    StatusReason.CHECKS_PASSED: "health checks pass",
    StatusReason.CHECKS_FAILED: "health checks fail at all watchers",
    StatusReason.CHECKS_FAILED_OTHER_WATCHER_SILENT: (
        "health checks fail at one watcher, the other does not answer"
    ),
    StatusReason.SHEDDING_REPORTED: "the backend reports that it is shedding load or draining",
    StatusReason.LOAD_REPORTED: "the weight follows the backend's load report",
    StatusReason.LOAD_REPORT_FROZEN: "the backend's load report is frozen and ignored",
}


@dataclass(frozen=True, slots=True)
class BackendView:
    """The state of a backend; `weight_factor` multiplies its weight, `since` is in node time."""

    status: BackendOperatingStatus
    weight_factor: float
    reason: str
    since: float


@dataclass(slots=True)
class ViewInputs:
    """Inputs of a view besides the record; `ramp_started_at` is None if there is no cold start."""

    ramp_seconds: float
    since: float
    ramp_started_at: float | None = None
    contradicted: bool = False


def make_view(
    record: StatusRecord, inputs: ViewInputs, evidence: BackendEvidence | None, now: float
) -> BackendView:
    """Return the view of a backend at `now`."""
    if record.status is BackendOperatingStatus.OFFLINE:
        return BackendView(record.status, 0.0, REASON_TEXTS[record.reason], inputs.since)
    if evidence is not None and now < evidence.paused_until:
        reason = (
            f"the backend refused connections of this home; no new flows for {PAUSE_SECONDS:g} s"
        )
        return BackendView(BackendOperatingStatus.SHEDDING, 0.0, reason, evidence.paused_since)
    if record.status is BackendOperatingStatus.SHEDDING:
        return BackendView(record.status, 0.0, REASON_TEXTS[record.reason], inputs.since)
    factor, reason = _load_factor(record, inputs)
    ramp = _ramp_factor(inputs, now)
    if ramp < 1.0:
        reason = f"cold start, at {ramp:.0%} of its weight"
    return BackendView(record.status, factor * ramp, reason, inputs.since)


def _load_factor(record: StatusRecord, inputs: ViewInputs) -> tuple[float, str]:
    if record.status is BackendOperatingStatus.UNKNOWN:
        return class_factor(NEUTRAL_CLASS), REASON_TEXTS[StatusReason.NONE]
    if inputs.contradicted:
        return class_factor(NEUTRAL_CLASS), "its load report contradicts what this home observes"
    return class_factor(record.weight_class), REASON_TEXTS[record.reason]


def _ramp_factor(inputs: ViewInputs, now: float) -> float:
    if inputs.ramp_started_at is None or inputs.ramp_seconds <= 0.0:
        return 1.0
    return min(1.0, max(INITIAL_RAMP_FACTOR, (now - inputs.ramp_started_at) / inputs.ramp_seconds))
