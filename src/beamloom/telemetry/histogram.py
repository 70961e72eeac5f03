"""A latency histogram with Prometheus buckets; an observation costs one bisection."""

from __future__ import annotations

from bisect import bisect_left

BOUNDS_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class LatencyHistogram:
    """Observations per bucket of BOUNDS_SECONDS; the last count is of those above all bounds."""

    __slots__ = ("counts", "total_seconds")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def __len__(self) -> int:
        return sum(self.counts)

    def observe(self, seconds: float) -> None:
        """Count one observation."""
        self.counts[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the pairs of upper bound and cumulative count that Prometheus expects."""
        pairs: list[tuple[str, float]] = []
        count = 0
        for bound, within in zip((*map(str, BOUNDS_SECONDS), "+Inf"), self.counts, strict=True):
            count += within
            pairs.append((bound, float(count)))
        return pairs
