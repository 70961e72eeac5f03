"""One watched backend: its checks, its load reports and the opinion of its other watcher."""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.model.contracts import Backend, BackendOperatingStatus
from beamloom.model.machines import NodeId
from beamloom.replication.backend_status.health import HealthHysteresis
from beamloom.replication.backend_status.load_reports import NEUTRAL_CLASS, LoadTracker
from beamloom.replication.backend_status.register import StatusReason, StatusRecord

ASK_INTERVAL_SECONDS = 10.0
ASK_RETRY_INTERVAL_SECONDS = 2.0
SECOND_WATCHER_DELAY_SECONDS = 4.0
ANSWER_TIMEOUT_SECONDS = 6.0
OPINION_LIFETIME_SECONDS = 12.0
_OFFLINE = BackendOperatingStatus.OFFLINE


@dataclass(slots=True)
class WatchedBackend:
    """State of a backend that this node checks every `check_interval_seconds`.

    `co_watcher` is the other watcher, None if this node is the only one. `differs_since` is when
    this watcher first needed the other's opinion on a status that differs from the register's.
    `unanswered_since` is when it asked its first question since the other's last opinion.
    """

    backend: Backend
    check_interval_seconds: float
    load_reports: LoadTracker
    next_check: float
    is_first: bool = True
    co_watcher: NodeId | None = None
    health: HealthHysteresis = field(default_factory=HealthHysteresis)
    check_outstanding: bool = False
    differs_since: float | None = None
    asked_at: float | None = None
    unanswered_since: float | None = None
    other_status: BackendOperatingStatus | None = None
    other_status_at: float = 0.0
    weight_published_at: float = 0.0

    @property
    def is_confirming_failure(self) -> bool:
        """Whether the last check failed but this watcher's status is not OFFLINE yet."""
        return bool(self.health.failing) and self.health.status is not _OFFLINE

    def update_watchers(self, watchers: tuple[NodeId, ...], own: NodeId) -> None:
        """Replace the watchers; the opinion of a former co-watcher is discarded."""
        others = [watcher for watcher in watchers if watcher != own]
        co_watcher = others[0] if others else None
        self.is_first = watchers[0] == own
        if co_watcher != self.co_watcher:
            self.co_watcher = co_watcher
            self.other_status = None
            self.stop_asking()

    def stop_asking(self) -> None:
        """Reset the state of questions to the other watcher."""
        self.differs_since = None
        self.asked_at = None
        self.unanswered_since = None

    def record_opinion(self, status: BackendOperatingStatus, now: float) -> None:
        """Record the other watcher's opinion."""
        self.other_status = status
        self.other_status_at = now
        self.unanswered_since = None

    def ask_if_due(self, now: float) -> bool:
        """Return whether to ask the other watcher now; if so, record the time.

        Unless its status is OFFLINE, the second watcher first waits
        `SECOND_WATCHER_DELAY_SECONDS`, so that the first can publish.
        """
        if self.differs_since is None:
            self.differs_since = now
        first_publishes = not self.is_first and self.health.status is not _OFFLINE
        if first_publishes and now - self.differs_since < SECOND_WATCHER_DELAY_SECONDS:
            return False
        lacks_opinion = self.other_opinion(now) is None
        interval = ASK_RETRY_INTERVAL_SECONDS if lacks_opinion else ASK_INTERVAL_SECONDS
        if self.asked_at is not None and now - self.asked_at < interval:
            return False
        self.asked_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now
        return True

    def other_opinion(self, now: float) -> BackendOperatingStatus | None:
        """Return the other watcher's opinion, None if it is missing, UNKNOWN or too old."""
        if now - self.other_status_at > OPINION_LIFETIME_SECONDS:
            return None
        known = self.other_status is not BackendOperatingStatus.UNKNOWN
        return self.other_status if known else None

    def other_is_silent(self, now: float) -> bool:
        """Return whether the other watcher has no valid opinion and did not answer in time."""
        if self.unanswered_since is None or self.other_opinion(now) is not None:
            return False
        return now - self.unanswered_since >= ANSWER_TIMEOUT_SECONDS

    def may_publish(self, now: float) -> bool:
        """Return whether this watcher may publish its own status.

        A watcher whose co-watcher is silent or missing decides alone. Otherwise OFFLINE requires
        that both agree. Any other status may be published by the first watcher, and by the second
        if the first agrees or reports OFFLINE.
        """
        opinion = self.health.status
        if self.co_watcher is None or self.other_is_silent(now):
            return True
        other = self.other_opinion(now)
        if opinion is _OFFLINE:
            return other is _OFFLINE
        return self.is_first or other in {opinion, _OFFLINE}

    def status_reason(self, now: float) -> StatusReason:
        """Return the reason to publish with this watcher's status."""
        if self.health.status is BackendOperatingStatus.SHEDDING:
            return StatusReason.SHEDDING_REPORTED
        if self.health.status is BackendOperatingStatus.ONLINE:
            return StatusReason.CHECKS_PASSED
        if self.other_is_silent(now):
            return StatusReason.CHECKS_FAILED_OTHER_WATCHER_SILENT
        return StatusReason.CHECKS_FAILED

    def next_record(self, current: StatusRecord, reason: StatusReason) -> StatusRecord:
        """Return the successor of `current`; only the first watcher changes the weight class."""
        weight_class = current.weight_class if current.epoch else NEUTRAL_CLASS
        if self.is_first:
            weight_class = self.load_reports.weight_class
        return StatusRecord(
            current.epoch + 1, self.is_first, reason, weight_class, self.health.status
        )
