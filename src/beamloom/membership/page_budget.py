"""Rate limit for pages: a token bucket of one page per interval, with a burst of two."""

from __future__ import annotations

BURST = 2.0


class PageBudget:
    """Token bucket for pages; `interval` is in seconds per page."""

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._tokens = BURST
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one token; return False if there is none."""
        if self._filled_at is not None:
            gained = (now - self._filled_at) / self._interval
            self._tokens = min(BURST, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
