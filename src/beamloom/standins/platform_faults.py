"""Faults that the platform's stand-in shows on request."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """What is to go wrong.

    `down` refuses every request and cuts watches; `delay_seconds` passes before a request is run;
    the next `lost_answers` writes, and further ones with `lost_answer_probability` (0 to 1), take
    effect but are never answered.
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
    """What befalls one request: refused, run after a delay in seconds, or run unanswered."""

    unavailable: bool = False
    delay_seconds: float = 0.0
    lose_answer: bool = False


class StoreFaults:
    """The faults in force, drawn with the given `rng`."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._plan = FaultPlan()

    @property
    def plan(self) -> FaultPlan:
        """The plan in force, with the lost answers that are still to come."""
        return self._plan

    def inject(self, plan: FaultPlan) -> None:
        """Replace the plan in force; `FaultPlan()` ends all faults."""
        self._plan = plan

    def decide(self, *, is_write: bool) -> FaultDecision:
        """Draw what befalls the next request."""
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
