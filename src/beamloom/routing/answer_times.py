"""Answer times of backends, sampled at the homes of flows.

A sample is the time from a flow's first payload to the backend's next payload, if both pass through
the home. The SYN is not measured, because the backend's kernel answers it, not the application.
"""

from __future__ import annotations

from beamloom.routing.hooks import BackendHealth

MAXIMUM_PENDING_FLOWS = 2048
MAXIMUM_ANSWER_SECONDS = 30.0


class AnswerTimes:
    """Flows whose first payload is unanswered, with backend and time; the oldest are dropped."""

    def __init__(self, health: BackendHealth) -> None:
        self._health = health
        self._pending: dict[int, tuple[int, float]] = {}

    def payload_sent(self, key: int, backend_number: int, now: float) -> None:
        """Record that a flow's first payload is sent to a backend."""
        self._pending.pop(key, None)
        self._pending[key] = backend_number, now
        if len(self._pending) > MAXIMUM_PENDING_FLOWS:
            del self._pending[next(iter(self._pending))]

    def answered(self, key: int, now: float) -> None:
        """Report the answer time on the first payload of the backend after `payload_sent`."""
        sent = self._pending.pop(key, None)
        if sent is not None and now - sent[1] <= MAXIMUM_ANSWER_SECONDS:
            self._health.observe_answer_time(sent[0], now - sent[1], now)
