"""Detects answers that are much shorter than usual for their destination.

A node does not read answers, but observes how much a client acknowledges. Error answers are short,
so short answers at several nodes identify a failing backend that still opens flows and takes
requests.
"""

from __future__ import annotations

from collections import deque

MAXIMUM_KEPT_ANSWERS = 64
MINIMUM_ANSWERS = 32
THRESHOLD_UPDATE_ANSWERS = 16
"""Number of answers between updates of the threshold, as sorting costs processor time."""
LOW_QUANTILE = 0.2
"""If a larger share of answers are errors, a short answer does not point to a single backend."""
SHORT_ANSWER_FRACTION = 0.5
"""An answer shorter than this fraction of the quantile is unusually short."""
MAXIMUM_DESTINATIONS = 1024


class _SizeHistory:
    """Recent answer sizes of one destination, and the threshold for short answers."""

    __slots__ = ("count", "sizes_bytes", "threshold_bytes")

    def __init__(self) -> None:
        self.count = 0
        self.sizes_bytes: deque[int] = deque(maxlen=MAXIMUM_KEPT_ANSWERS)
        self.threshold_bytes = 0.0

    def note(self, size_bytes: int) -> None:
        """Add the size of an answer, and update the threshold if it is due."""
        self.sizes_bytes.append(size_bytes)
        self.count += 1
        if self.count >= MINIMUM_ANSWERS and self.count % THRESHOLD_UPDATE_ANSWERS == 0:
            ordered = sorted(self.sizes_bytes)
            self.threshold_bytes = SHORT_ANSWER_FRACTION * ordered[int(LOW_QUANTILE * len(ordered))]


class AnswerSizes:
    """Answer sizes by destination, as one node observes them."""

    def __init__(self) -> None:
        self._by_destination: dict[bytes, _SizeHistory] = {}

    def note(self, destination: bytes, size_bytes: int) -> bool:
        """Add the size of an answer, or of its beginning; return whether it is unusually short."""
        history = self._by_destination.get(destination)
        if history is None:
            if len(self._by_destination) >= MAXIMUM_DESTINATIONS:
                return False
            history = self._by_destination[destination] = _SizeHistory()
        history.note(size_bytes)
        return size_bytes < history.threshold_bytes
