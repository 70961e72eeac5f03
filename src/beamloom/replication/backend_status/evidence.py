"""Refusals and answer times that this node observes as a home, compared with load reports."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from beamloom.replication.backend_status.load_reports import NEUTRAL_CLASS

REFUSAL_WINDOW_SECONDS = 10.0
REFUSALS_TO_PAUSE = 3
PAUSE_SECONDS = 5.0
ANSWER_SMOOTHING = 0.05
MINIMUM_SAMPLES = 20
SLOW_FACTOR = 2.0
SAMPLE_LIFETIME_SECONDS = 60.0


@dataclass(slots=True)
class BackendEvidence:
    """Observations of one backend; `answer_seconds` is a moving average of `samples` times."""

    refusals: int = 0
    refusals_since: float = 0.0
    paused_until: float = 0.0
    paused_since: float = 0.0
    answer_seconds: float = 0.0
    samples: int = 0
    sampled_at: float = 0.0

    def add_refusal(self, now: float) -> None:
        """Count a refused connection; several within the window pause the backend at this home."""
        if now - self.refusals_since > REFUSAL_WINDOW_SECONDS:
            self.refusals_since = now
            self.refusals = 0
        self.refusals += 1
        if self.refusals >= REFUSALS_TO_PAUSE:
            if now >= self.paused_until:
                self.paused_since = now
            self.paused_until = now + PAUSE_SECONDS

    def add_answer_time(self, seconds: float, now: float) -> None:
        """Add the time from a flow's first payload to the backend's first payload."""
        if now - self.sampled_at > SAMPLE_LIFETIME_SECONDS:
            self.samples = 0
        weight = max(ANSWER_SMOOTHING, 1.0 / (self.samples + 1))
        self.answer_seconds += weight * (seconds - self.answer_seconds)
        self.samples += 1
        self.sampled_at = now

    def has_enough_samples(self, now: float) -> bool:
        """Return whether there are enough answer times, the newest of them recent."""
        return self.samples >= MINIMUM_SAMPLES and now - self.sampled_at <= SAMPLE_LIFETIME_SECONDS

    def contradicts(self, weight_class: int, median_seconds: float, now: float) -> bool:
        """Return whether the observations contradict the reported class.

        They contradict a class above neutral if the backend recently refused a connection or is
        far slower than `median_seconds`, and a class below neutral if it did not and is no slower.
        """
        refused_recently = self.refusals > 0 and now - self.refusals_since <= REFUSAL_WINDOW_SECONDS
        if weight_class > NEUTRAL_CLASS:
            return refused_recently or self.answer_seconds > SLOW_FACTOR * median_seconds
        if weight_class < NEUTRAL_CLASS:
            return not refused_recently and self.answer_seconds <= median_seconds
        return False


def median_answer_seconds(evidence: Iterable[BackendEvidence], now: float) -> float | None:
    """Return the median answer time of a service's backends, None if fewer than two have one."""
    times = [item.answer_seconds for item in evidence if item.has_enough_samples(now)]
    return median(times) if len(times) > 1 else None
