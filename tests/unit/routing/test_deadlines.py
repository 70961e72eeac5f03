import itertools
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beamloom.routing.deadlines import (
    SLOT_COUNT,
    TICK_SECONDS,
    DeadlineCapacityError,
    DeadlineWheel,
)

CAPACITY = 8


class DeadlineWheelMachine(RuleBasedStateMachine):
    """Compares the timing wheel with a dictionary of deadlines."""

    def __init__(self) -> None:
        super().__init__()
        self.wheel = DeadlineWheel(CAPACITY)
        self.now = 0.0
        self.deadlines: dict[int, float] = {}

    @rule(key=st.integers(0, 12), delay=st.floats(-1.0, 3 * SLOT_COUNT * TICK_SECONDS))
    def schedule(self, key: int, delay: float) -> None:
        at = self.now + delay
        if key not in self.deadlines and len(self.deadlines) >= CAPACITY:
            with unittest.TestCase().assertRaises(DeadlineCapacityError):
                self.wheel.schedule(key, at)
            return
        self.wheel.schedule(key, at)
        self.deadlines[key] = max(at, self.now)

    @rule(key=st.integers(0, 12))
    def cancel(self, key: int) -> None:
        assert self.wheel.cancel(key) == (self.deadlines.pop(key, None) is not None)

    @rule(passed=st.floats(0.0, 2 * SLOT_COUNT * TICK_SECONDS))
    def advance(self, passed: float) -> None:
        self.now += passed
        due = self.wheel.due(self.now)
        times = [self.deadlines.pop(key) for key in due]
        assert all(at <= self.now for at in times)
        ordered = itertools.pairwise(times)
        assert all(first <= second + 2 * TICK_SECONDS for first, second in ordered)
        late = [at for at in self.deadlines.values() if at + 2 * TICK_SECONDS < self.now]
        assert not late

    @invariant()
    def same_size(self) -> None:
        assert len(self.wheel) == len(self.deadlines)


TestDeadlineWheel = DeadlineWheelMachine.TestCase
TestDeadlineWheel.settings = settings(derandomize=True, max_examples=60, stateful_step_count=40)


if __name__ == "__main__":
    unittest.main()
