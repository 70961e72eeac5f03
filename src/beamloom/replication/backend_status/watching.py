"""One watched backend: its checks, its load report, and what its other watcher says."""

from __future__ import annotations

from dataclasses import dataclass, field

from beamloom.model.contracts import Backend, BackendOperatingStatus
from beamloom.model.machines import NodeId
from beamloom.replication.backend_status.health import HealthHysteresis
from beamloom.replication.backend_status.load_reports import NEUTRAL_CLASS, LoadReport
from beamloom.replication.backend_status.register import StatusReason, StatusRecord

ASK_INTERVAL = 10.0
ASK_AGAIN_INTERVAL = 2.0
SECOND_WATCHER_DELAY = 4.0
SILENCE_BOUND = 6.0
OPINION_LIFETIME = 12.0
_OFFLINE = BackendOperatingStatus.OFFLINE


@dataclass(slots=True)
class WatchedBackend:
    """State of a backend that this node checks every `interval` seconds.

    `co_watcher` is the other watcher, None when this node is the only one.
    """

    backend: Backend
    interval: float
    load: LoadReport
    next_check: float
    is_first: bool = True
    co_watcher: NodeId | None = None
    health: HealthHysteresis = field(default_factory=HealthHysteresis)
    outstanding: bool = False
    differs_since: float | None = None
    asked_at: float | None = None
    asking_since: float | None = None
    other_status: BackendOperatingStatus | None = None
    other_status_at: float = 0.0
    weight_published_at: float = 0.0

    @property
    def is_failing_online(self) -> bool:
        """Whether the last check failed and this watcher does not find the backend offline yet."""
        return bool(self.health.failing) and self.health.status is not _OFFLINE

    def update_watchers(self, watchers: tuple[NodeId, ...], own: NodeId) -> None:
        """Take both watchers; what an earlier other watcher said is forgotten."""
        others = [watcher for watcher in watchers if watcher != own]
        co_watcher = others[0] if others else None
        self.is_first = watchers[0] == own
        if co_watcher != self.co_watcher:
            self.co_watcher = co_watcher
            self.other_status = None
            self.stop_asking()

    def stop_asking(self) -> None:
        """Forget that the other watcher was asked, once the matter is settled."""
        self.differs_since = None
        self.asked_at = None
        self.asking_since = None

    def hear(self, status: BackendOperatingStatus, now: float) -> None:
        """Take the other watcher's opinion."""
        self.other_status = status
        self.other_status_at = now
        self.asking_since = None

    def should_ask(self, now: float) -> bool:
        """Return whether to ask the other watcher now, and note that it is asked.

        The second watcher first leaves the first some time to publish by itself.
        """
        if self.differs_since is None:
            self.differs_since = now
        first_decides = not self.is_first and self.health.status is not _OFFLINE
        if first_decides and now - self.differs_since < SECOND_WATCHER_DELAY:
            return False
        unheard = self.heard_opinion(now) is None
        interval = ASK_AGAIN_INTERVAL if unheard else ASK_INTERVAL
        if self.asked_at is not None and now - self.asked_at < interval:
            return False
        self.asked_at = now
        if self.asking_since is None:
            self.asking_since = now
        return True

    def heard_opinion(self, now: float) -> BackendOperatingStatus | None:
        """Return the other watcher's opinion, None when it is old or there is none."""
        if now - self.other_status_at > OPINION_LIFETIME:
            return None
        known = self.other_status is not BackendOperatingStatus.UNKNOWN
        return self.other_status if known else None

    def other_is_silent(self, now: float) -> bool:
        """Return whether the other watcher was asked and has said nothing for the bound."""
        if self.asking_since is None or self.heard_opinion(now) is not None:
            return False
        return now - self.asking_since >= SILENCE_BOUND

    def may_publish(self, now: float) -> bool:
        """Return whether this watcher may write its own status into the register.

        OFFLINE needs both watchers. Any other status is for the first watcher to write, and for the
        second when the first finds the backend offline or says the same. A silent one is left out.
        """
        opinion = self.health.status
        if self.co_watcher is None or self.other_is_silent(now):
            return True
        other = self.heard_opinion(now)
        if opinion is _OFFLINE:
            return other is _OFFLINE
        return self.is_first or other in {opinion, _OFFLINE}

    def reason(self, now: float) -> StatusReason:
        """Return the reason to publish with the present status."""
        if self.health.status is BackendOperatingStatus.SHEDDING:
            return StatusReason.SHEDDING_REPORTED
        if self.health.status is BackendOperatingStatus.ONLINE:
            return StatusReason.CHECKS_PASSED
        if self.other_is_silent(now):
            return StatusReason.CHECKS_FAILED_OTHER_WATCHER_SILENT
        return StatusReason.CHECKS_FAILED

    def next_record(self, held: StatusRecord, reason: StatusReason) -> StatusRecord:
        """Return the record that replaces `held`; the weight class is the first watcher's."""
        weight_class = held.weight_class if held.epoch else NEUTRAL_CLASS
        if self.is_first:
            weight_class = self.load.weight_class
        return StatusRecord(held.epoch + 1, self.is_first, reason, weight_class, self.health.status)
