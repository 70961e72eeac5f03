"""Injected faults of the platform stand-in."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The faults to inject.

    `down` refuses store and machine requests and ends watches; `delay_seconds` is the delay before
    a request is executed; the next `lost_answers` writes, and later ones with
    `lost_answer_probability` (0 to 1), take effect but are not answered.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    lost_answer_probability: float = 0.0

    def __post_init__(self) -> None:
        if self.delay_seconds < 0 or self.lost_answers < 0:
            raise ValueError("delay_seconds and lost_answers must not be negative")
        if not 0 <= self.lost_answer_probability <= 1:
            raise ValueError("lost_answer_probability must lie between 0 and 1")


@dataclass(frozen=True, slots=True)
class FaultDecision:
    """The faults of one request: refusal, a delay before execution, or a lost answer."""

    unavailable: bool = False
    delay_seconds: float = 0.0
    lose_answer: bool = False


class StoreFaults:
    """The active fault plan; `rng` draws lost answers."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._plan = FaultPlan()

    @property
    def plan(self) -> FaultPlan:
        """The active plan; `lost_answers` counts those still to lose."""
        return self._plan

    def inject(self, plan: FaultPlan) -> None:
        """Replace the active plan; `FaultPlan()` ends all faults."""
        self._plan = plan

    def decide(self, *, is_write: bool) -> FaultDecision:
        """Decide the faults of the next request."""
        if self._plan.down:
            return FaultDecision(unavailable=True)
        lose = is_write and self._draw_lost_answer()
        return FaultDecision(delay_seconds=self._plan.delay_seconds, lose_answer=lose)

    def _draw_lost_answer(self) -> bool:
        if self._plan.lost_answers:
            self._plan = replace(self._plan, lost_answers=self._plan.lost_answers - 1)
            return True
        probability = self._plan.lost_answer_probability
        return probability > 0 and self._rng.random() < probability
