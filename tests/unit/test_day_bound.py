"""The bound of a day that closes with power off, on cases worked out by hand."""

import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from dark_bound import (
    PROBE_SECONDS,
    Darkness,
    RequestClass,
    Window,
    earned_by,
    implied_reach,
    soonest_reach_seconds,
    window_bound,
    worst_two,
)
from day_bound import describe
from day_report import UnboundedDayError, read_day

FEED = RequestClass("feed", 1.0, 0.4, 2.0, 1.0, 0.1, attempts=3)
DARK = Darkness(10.0, 11.4)
SITE = """
classes = [
  { name = "feed", aim_ms = 400, deadline_ms = 2000, worth = 1, late_worth = 0.1, retries = 2 },
  { name = "unseen", aim_ms = 400, deadline_ms = 2000, worth = 1, late_worth = 0.1, retries = 2 },
]
[[day]]
name = "dark"
closing = { kind = "power_off_all", down_s = 1.4 }
[[day]]
name = "all"
closing = { kind = "power_off_all", down_s = 1.4, how = "all" }
[[day]]
name = "killed"
closing = { kind = "kill_all", down_s = 1.4 }
[[day]]
name = "wiped"
closing = { kind = "wipe_after_ack", down_s = 1.4 }
[[day]]
name = "light"
"""
REPORT = {
    "machines": 8,
    "zones": [{"name": "west"}, {"name": "east"}],
    "classes": [{"name": "feed", "n": 100, "p50_ms": 50.0}],
    "events": [
        {"at_s": 2.0, "kind": "burst"},
        {"at_s": 10.0, "kind": "closing (power_off_all)"},
    ],
    "windows": [
        {"name": "6", "worth": 1.0},
        {"name": "8", "worth": 0.9},
        {"name": "10", "worth": 0.4},
        {"name": "12", "worth": 1.0},
    ],
}


class EarnedTest(unittest.TestCase):
    def test_a_request_is_sent_after_200_and_600_ms_and_anew_after_1400(self) -> None:
        for arrival, worth, case in (
            (9.999, 1.0, "forwarded before the power went"),
            (10.000, 0.1, "the second attempt, 1.4 s late"),
            (10.799, 0.1, "not yet sent again after 0.6 s: the second attempt"),
            (11.000, 0.1, "sent again after 0.6 s"),
            (11.199, 0.1, "0.2 s is just too soon"),
            (11.201, 1.0, "sent again after 0.2 s"),
            (11.400, 1.0, "reached at once"),
        ):
            with self.subTest(case):
                self.assertEqual(earned_by(arrival, FEED, DARK), worth)

    def test_deadline_and_number_of_attempts_end_a_request(self) -> None:
        hasty = FEED._replace(deadline_seconds=1.0)
        self.assertEqual(earned_by(10.5, hasty, DARK), 0.0)
        single = FEED._replace(attempts=1)
        self.assertEqual(earned_by(10.5, single, DARK), 0.0)
        self.assertEqual(earned_by(10.9, single, DARK), 0.1)

    def test_latency_counts_only_beside_the_wait(self) -> None:
        slow = FEED._replace(latency_seconds=0.3)
        self.assertEqual(earned_by(11.3, slow, DARK), 0.1)
        self.assertEqual(earned_by(11.5, slow._replace(latency_seconds=0.5), DARK), 1.0)


class WindowTest(unittest.TestCase):
    def test_a_window_loses_what_arrives_up_to_200_ms_before_the_end(self) -> None:
        """1.2 of 2 s are late, at a tenth of the worth: 0.4 + 0.06."""
        self.assertAlmostEqual(window_bound(Window(10, 12, 0), [FEED], DARK), 0.46, places=3)

    def test_classes_count_by_share_and_worth(self) -> None:
        """Half of the requests, two thirds of the worth, have the full worth 0.6 s late."""
        classes = [
            FEED._replace(share=0.5),
            FEED._replace(share=0.5, worth=2.0, late_worth=0.2, objective_seconds=0.7),
        ]
        expected = (0.46 * 1 + (0.8 + 0.8 * 0.1 + 0.4) / 2 * 2) / 3
        self.assertAlmostEqual(window_bound(Window(10, 12, 0), classes, DARK), expected, places=2)

    def test_a_window_outside_loses_nothing(self) -> None:
        for start in (8, 12):
            self.assertEqual(window_bound(Window(start, start + 2, 0.5), [FEED], DARK), 1.0)

    def test_the_worst_two_count(self) -> None:
        self.assertAlmostEqual(worst_two([1.0, 0.4, 0.9, 0.95]), 0.65)


class ReachTest(unittest.TestCase):
    def test_one_machine_waits_half_of_spread_and_of_a_probe(self) -> None:
        for spread in (0.0, 0.3):
            expected = (spread + PROBE_SECONDS) / 2
            self.assertAlmostEqual(soonest_reach_seconds(1, spread), expected, places=2)

    def test_the_first_of_several_without_spread(self) -> None:
        """The mean of the least of n even draws is a share of 1 / (n + 1)."""
        self.assertAlmostEqual(soonest_reach_seconds(9, 0.0), PROBE_SECONDS / 10, places=2)

    def test_the_reach_that_explains_what_was_seen_is_found(self) -> None:
        def bound_at(reached_at: float) -> float:
            return window_bound(Window(10, 12, 0), [FEED], Darkness(10.0, reached_at))

        reached_at = implied_reach(bound_at(11.6), bound_at, 10.0, 12.0)
        assert reached_at is not None
        self.assertAlmostEqual(reached_at, 11.6, places=2)
        self.assertIsNone(implied_reach(0.0, bound_at, 10.0, 12.0))


class PrintedTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.site, self.report = folder / "site.toml", folder / "report.json"
        self.site.write_text(SITE, encoding="utf-8")
        self.report.write_text(json.dumps(REPORT), encoding="utf-8")

    def test_bound_and_distance_stand_beside_what_was_seen(self) -> None:
        text = describe(read_day(self.site, "dark", self.report, {}), 0.0)
        rows = [line.split() for line in text.splitlines()]
        self.assertEqual(rows[2][:3], ["10", "0.400", "0.460"])
        self.assertEqual(rows[3][:4], ["worst", "2", "0.650", "0.680"])
        self.assertIn("distance to the bound 0.030", text)
        self.assertIn("not exact", text)

    def test_objectives_as_played_replace_those_of_the_site(self) -> None:
        day = read_day(self.site, "dark", self.report, {"feed": 426})
        self.assertEqual([known.objective_seconds for known in day.classes], [0.426])

    def test_the_variant_of_the_closing_fault_is_named(self) -> None:
        text = describe(read_day(self.site, "all", self.report, {}), 0.0)
        self.assertIn("power_off_all all at 10.000 s", text)

    def test_more_than_the_bound_shows_that_an_assumption_does_not_hold(self) -> None:
        day = read_day(self.site, "dark", self.report, {})
        better = day._replace(windows=(Window(8, 10, 1.0), Window(10, 12, 0.5)))
        self.assertNotIn("does not hold", describe(day, 0.0))
        self.assertIn("does not hold", describe(better, 0.0))

    def test_other_days_have_no_bound(self) -> None:
        for day in ("light", "killed", "wiped", "absent"):
            with self.assertRaises(UnboundedDayError):
                read_day(self.site, day, self.report, {})


if __name__ == "__main__":
    unittest.main()
