"""Which answers are much shorter than those that their destination usually gives.

A node does not read answers; it sees how much a client acknowledges. An error is a short text, so a
backend of which several nodes see such answers fails, though it opens flows and takes requests.
"""

from __future__ import annotations

from collections import deque

ANSWERS_KEPT = 64
ANSWERS_NEEDED = 32
RENEWED_EACH = 16
"""Answers after which the measure is taken anew, as sorting costs processor time."""
LOW_QUANTILE = 0.2
"""Where more of the answers are errors, being short says nothing of a single backend."""
SHORT_SHARE = 0.5
"""An answer shorter than this part of the quantile is unusual: errors have hardly any body."""
MOST_DESTINATIONS = 1024


class _Usual:
    """The last answers of one destination, and below which size one is unusually short."""

    __slots__ = ("count", "sizes_bytes", "threshold_bytes")

    def __init__(self) -> None:
        self.count = 0
        self.sizes_bytes: deque[int] = deque(maxlen=ANSWERS_KEPT)
        self.threshold_bytes = 0.0

    def note(self, size_bytes: int) -> None:
        """Take one more answer."""
        self.sizes_bytes.append(size_bytes)
        self.count += 1
        if self.count >= ANSWERS_NEEDED and self.count % RENEWED_EACH == 0:
            ordered = sorted(self.sizes_bytes)
            self.threshold_bytes = SHORT_SHARE * ordered[int(LOW_QUANTILE * len(ordered))]


class AnswerSizes:
    """What is usual, by destination, from the answers that one node sees."""

    def __init__(self) -> None:
        self._usual: dict[bytes, _Usual] = {}

    def note(self, destination: bytes, size_bytes: int) -> bool:
        """Take the size of an answer, or of its beginning; return whether it is unusually short."""
        usual = self._usual.get(destination)
        if usual is None:
            if len(self._usual) >= MOST_DESTINATIONS:
                return False
            usual = self._usual[destination] = _Usual()
        usual.note(size_bytes)
        return size_bytes < usual.threshold_bytes
