import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.admission.retry_budget import MINIMUM_RETRIES, WINDOW_BUCKETS, RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def test_minimum_is_allowed_without_first_tries_and_comes_back_after_the_window(self) -> None:
        budget = RetryBudget(0.1)
        taken = [budget.take_retry(0.5) for _ in range(MINIMUM_RETRIES + 1)]
        self.assertEqual(taken, [True] * MINIMUM_RETRIES + [False])
        self.assertFalse(budget.take_retry(WINDOW_BUCKETS - 0.5))
        self.assertTrue(budget.take_retry(WINDOW_BUCKETS + 0.5))

    @settings(derandomize=True, max_examples=100)
    @given(
        ratio=st.floats(0.0, 1.0),
        steps=st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=300),
    )
    def test_budget_is_never_exceeded_in_any_window(
        self, ratio: float, steps: list[tuple[float, bool]]
    ) -> None:
        budget = RetryBudget(ratio)
        now = 0.0
        first_tries: list[float] = []
        retries: list[float] = []
        for gap, is_first in steps:
            now += gap
            if is_first:
                budget.record_first_try(now)
                first_tries.append(now)
            elif budget.take_retry(now):
                retries.append(now)
            start = int(now) - WINDOW_BUCKETS + 1
            in_window = sum(moment >= start for moment in first_tries)
            retried = sum(moment >= start for moment in retries)
            if not is_first and retries and retries[-1] == now:
                self.assertLessEqual(retried, MINIMUM_RETRIES + ratio * in_window + 1e-9)


if __name__ == "__main__":
    unittest.main()
