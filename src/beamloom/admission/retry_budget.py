"""Retry budgets: how many requests of a service may be offered to a second backend.

Retries are limited to a share of the first tries in a sliding window plus a small minimum, so that
they cannot multiply the load on a failing service (Beyer et al., Site Reliability Engineering,
ch. 22). A budget per service instead of a count per request follows Finagle's RetryBudget.
"""

from __future__ import annotations

WINDOW_BUCKETS = 10
BUCKET_SECONDS = 1.0
MINIMUM_RETRIES = 3


class RetryBudget:
    """The budget of one service; `ratio` is retries per first try, from 0 to 1.

    `refused` counts the retries that were not allowed. In any window of `WINDOW_BUCKETS` whole
    buckets, retries never exceed `minimum + ratio * first tries`.
    """

    def __init__(self, ratio: float, minimum: int = MINIMUM_RETRIES) -> None:
        self.ratio = ratio
        self._minimum = minimum
        self._first_tries = [0] * WINDOW_BUCKETS
        self._retries = [0] * WINDOW_BUCKETS
        self._bucket = 0
        self.refused = 0

    def record_first_try(self, now: float) -> None:
        """Count a request that was offered to its first backend."""
        self._advance(now)
        self._first_tries[self._bucket % WINDOW_BUCKETS] += 1

    def take_retry(self, now: float) -> bool:
        """Spend one retry; False when the budget is used up and the client must be refused."""
        self._advance(now)
        allowed = self._minimum + self.ratio * sum(self._first_tries)
        if sum(self._retries) + 1 > allowed:
            self.refused += 1
            return False
        self._retries[self._bucket % WINDOW_BUCKETS] += 1
        return True

    def _advance(self, now: float) -> None:
        bucket = int(now / BUCKET_SECONDS)
        for passed in range(max(self._bucket + 1, bucket - WINDOW_BUCKETS + 1), bucket + 1):
            self._first_tries[passed % WINDOW_BUCKETS] = 0
            self._retries[passed % WINDOW_BUCKETS] = 0
        self._bucket = max(self._bucket, bucket)
