"""What a home needs to know of a backend: status, factor on its weight, reason and since when."""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.contracts import BackendOperatingStatus
from beamloom.replication.backend_status.evidence import PAUSE_SECONDS, BackendEvidence
from beamloom.replication.backend_status.load_reports import NEUTRAL_CLASS, class_factor
from beamloom.replication.backend_status.register import StatusReason, StatusRecord

RAMP_START = 0.1

REASON_TEXTS = {
    StatusReason.NONE: "no watcher has found anything amiss",
    StatusReason.CHECKS_PASSED: "health checks pass",
    StatusReason.CHECKS_FAILED: "health checks fail from both watchers",
    StatusReason.CHECKS_FAILED_OTHER_WATCHER_SILENT: (
        "health checks fail from one watcher, the other is silent"
    ),
    StatusReason.SHEDDING_REPORTED: "the backend says that it sheds load",
    StatusReason.LOAD_REPORTED: "the weight follows the backend's load report",
    StatusReason.LOAD_REPORT_FROZEN: "the backend's load report is frozen and has no say",
}


@dataclass(frozen=True, slots=True)
class BackendView:
    """A backend as a home sees it; `weight_factor` multiplies its share, `since` is local time."""

    status: BackendOperatingStatus
    weight_factor: float
    reason: str
    since: float


@dataclass(slots=True)
class ViewInputs:
    """What a view is made of, besides the record; `ramp_from` is None when there is no ramp."""

    ramp_seconds: float
    since: float
    ramp_from: float | None = None
    contradicted: bool = False


def make_view(
    record: StatusRecord, inputs: ViewInputs, evidence: BackendEvidence | None, now: float
) -> BackendView:
    """Return the view of a backend at `now`."""
    if record.status is BackendOperatingStatus.OFFLINE:
        return BackendView(record.status, 0.0, REASON_TEXTS[record.reason], inputs.since)
    if evidence is not None and now < evidence.paused_until:
        reason = f"it refused connections of this home; no new work for {PAUSE_SECONDS:g} s"
        return BackendView(BackendOperatingStatus.SHEDDING, 0.0, reason, evidence.paused_since)
    if record.status is BackendOperatingStatus.SHEDDING:
        return BackendView(record.status, 0.0, REASON_TEXTS[record.reason], inputs.since)
    factor, reason = _weight(record, inputs)
    ramp = _ramp(inputs, now)
    if ramp < 1.0:
        reason = f"cold start, at {ramp:.0%} of its weight"
    return BackendView(record.status, factor * ramp, reason, inputs.since)


def _weight(record: StatusRecord, inputs: ViewInputs) -> tuple[float, str]:
    if record.status is BackendOperatingStatus.UNKNOWN:
        return class_factor(NEUTRAL_CLASS), REASON_TEXTS[StatusReason.NONE]
    if inputs.contradicted:
        return class_factor(NEUTRAL_CLASS), "its load report contradicts what this home observes"
    return class_factor(record.weight_class), REASON_TEXTS[record.reason]


def _ramp(inputs: ViewInputs, now: float) -> float:
    if inputs.ramp_from is None or inputs.ramp_seconds <= 0.0:
        return 1.0
    return min(1.0, max(RAMP_START, (now - inputs.ramp_from) / inputs.ramp_seconds))
