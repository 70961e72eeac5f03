"""How long backends take to answer, sampled by the homes of flows.

Measured is the time from a flow's first payload to the first payload in answer, where the home sees
both. A SYN is not measured: the backend's kernel answers it before the application has a say.
"""

from __future__ import annotations

from beamloom.routing.hooks import BackendHealth

AWAITED_FLOWS = 2048
MAXIMUM_ANSWER_SECONDS = 30.0


class AnswerTimes:
    """First payloads that wait for their answer: backend and time by flow key, oldest give way."""

    def __init__(self, health: BackendHealth) -> None:
        self._health = health
        self._pending: dict[int, tuple[int, float]] = {}

    def payload_sent(self, key: int, backend_number: int, now: float) -> None:
        """Note that a flow's first payload leaves for a backend."""
        self._pending.pop(key, None)
        self._pending[key] = backend_number, now
        if len(self._pending) > AWAITED_FLOWS:
            del self._pending[next(iter(self._pending))]

    def answered(self, key: int, now: float) -> None:
        """Take a payload of the backend; only the first after `payload_sent` counts."""
        sent = self._pending.pop(key, None)
        if sent is not None and now - sent[1] <= MAXIMUM_ANSWER_SECONDS:
            self._health.observe_answer_time(sent[0], now - sent[1], now)
