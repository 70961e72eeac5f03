import itertools
import math
import unittest

from beamloom.replication.backend_status.evidence import BackendEvidence
from beamloom.replication.backend_status.load_reports import (
    CLASS_CHANGE_INTERVAL_SECONDS,
    CLASS_COUNT,
    NEUTRAL_CLASS,
    LoadTracker,
    class_factor,
)


def weight_classes(loads: list[float], *, others_changing: bool = False) -> list[int]:
    tracker = LoadTracker(0.0)
    classes = []
    for step, load in enumerate(loads):
        now = 2.0 * step
        tracker.observe(load, now)
        tracker.update_class(others_changing=others_changing, now=now)
        classes.append(tracker.weight_class)
    return classes


class LoadReportTest(unittest.TestCase):
    def test_invalid_loads_leave_the_class_unchanged(self) -> None:
        loads = [math.nan, math.inf, -1.0, -math.inf] * 30
        self.assertEqual(set(weight_classes(loads)), {NEUTRAL_CLASS})

    def test_class_stays_within_its_bounds_and_changes_in_single_steps(self) -> None:
        for load, bound in ((1e9, 0), (0.0, CLASS_COUNT - 1)):
            classes = weight_classes([load] * 100)
            self.assertEqual(classes[-1], bound)
            steps = int(CLASS_CHANGE_INTERVAL_SECONDS / 2)
            for earlier, later in zip(classes, classes[steps - 1 :], strict=False):
                self.assertLessEqual(abs(later - earlier), 1)
        self.assertEqual((class_factor(0), class_factor(NEUTRAL_CLASS)), (0.25, 1.0))

    def test_noise_at_a_class_boundary_does_not_cause_flapping(self) -> None:
        loads = [0.62 if step % 2 else 0.64 for step in range(500)]
        classes = weight_classes(loads)
        changes = sum(first != second for first, second in itertools.pairwise(classes))
        self.assertLessEqual(changes, 1)

    def test_frozen_report_returns_to_neutral_only_while_others_change(self) -> None:
        self.assertEqual(weight_classes([2.0] * 200, others_changing=True)[-1], NEUTRAL_CLASS)
        self.assertEqual(weight_classes([2.0] * 200, others_changing=False)[-1], 0)


class BackendEvidenceTest(unittest.TestCase):
    def test_observations_contradict_reports_that_are_too_high_or_too_low(self) -> None:
        slow, quick = BackendEvidence(), BackendEvidence()
        for step in range(30):
            slow.add_answer_time(0.5, float(step))
            quick.add_answer_time(0.05, float(step))
        self.assertTrue(slow.contradicts(NEUTRAL_CLASS + 1, 0.1, 30.0))
        self.assertTrue(quick.contradicts(0, 0.1, 30.0))
        self.assertFalse(slow.contradicts(0, 0.1, 30.0))
        self.assertFalse(quick.contradicts(NEUTRAL_CLASS, 0.1, 30.0))
        self.assertFalse(quick.has_enough_samples(1000.0))


if __name__ == "__main__":
    unittest.main()
