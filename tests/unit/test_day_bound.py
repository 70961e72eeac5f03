"""The bound of a day that closes with all machines powered off, on cases calculated by hand."""

import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from dark_bound import (
    PROBE_SECONDS,
    Outage,
    RequestClass,
    Window,
    earned_worth,
    implied_outage_end,
    mean_of_worst_two,
    mean_reach_seconds,
    window_bound,
)
from day_bound import describe
from day_report import UnboundedDayError, read_day

FEED = RequestClass("feed", 1.0, 0.4, 2.0, 1.0, 0.1, attempts=3)
OUTAGE = Outage(10.0, 11.4)
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


class EarnedWorthTest(unittest.TestCase):
    def test_packets_repeat_after_200_and_600_ms_and_attempts_after_1400(self) -> None:
        for arrival, worth, case in (
            (9.999, 1.0, "forwarded before the outage"),
            (10.000, 0.1, "answered in the second attempt, after 1.4 s"),
            (
                10.799,
                0.1,
                "repeated 1 ms before the end of the outage: answered in the second attempt",
            ),
            (11.000, 0.1, "answered when repeated after 0.6 s"),
            (11.199, 0.1, "repeated after 0.2 s, 1 ms before the end of the outage"),
            (11.201, 1.0, "answered when repeated after 0.2 s"),
            (11.400, 1.0, "after the outage"),
        ):
            with self.subTest(case):
                self.assertEqual(earned_worth(arrival, FEED, OUTAGE), worth)

    def test_requests_end_at_the_deadline_or_after_the_last_attempt(self) -> None:
        short = FEED._replace(deadline_seconds=1.0)
        self.assertEqual(earned_worth(10.5, short, OUTAGE), 0.0)
        single = FEED._replace(attempts=1)
        self.assertEqual(earned_worth(10.5, single, OUTAGE), 0.0)
        self.assertEqual(earned_worth(10.9, single, OUTAGE), 0.1)

    def test_latency_counts_only_for_delayed_requests(self) -> None:
        slow = FEED._replace(latency_seconds=0.3)
        self.assertEqual(earned_worth(11.3, slow, OUTAGE), 0.1)
        self.assertEqual(earned_worth(11.5, slow._replace(latency_seconds=0.5), OUTAGE), 1.0)


class WindowTest(unittest.TestCase):
    def test_requests_up_to_200_ms_before_the_end_of_an_outage_are_late(self) -> None:
        """Requests of 1.2 s out of 2 s earn a tenth of the worth: 0.4 + 0.06."""
        self.assertAlmostEqual(window_bound(Window(10, 12, 0), [FEED], OUTAGE), 0.46, places=3)

    def test_classes_are_weighted_by_share_and_worth(self) -> None:
        """One class, with two thirds of the worth, earns the full worth up to 0.7 s."""
        classes = [
            FEED._replace(share=0.5),
            FEED._replace(share=0.5, worth=2.0, late_worth=0.2, objective_seconds=0.7),
        ]
        expected = (0.46 * 1 + (0.8 + 0.8 * 0.1 + 0.4) / 2 * 2) / 3
        self.assertAlmostEqual(window_bound(Window(10, 12, 0), classes, OUTAGE), expected, places=2)

    def test_a_window_outside_the_outage_loses_nothing(self) -> None:
        for start in (8, 12):
            self.assertEqual(window_bound(Window(start, start + 2, 0.5), [FEED], OUTAGE), 1.0)

    def test_the_two_lowest_shares_are_averaged(self) -> None:
        self.assertAlmostEqual(mean_of_worst_two([1.0, 0.4, 0.9, 0.95]), 0.65)


class OutageEndTest(unittest.TestCase):
    def test_one_machine_is_ready_after_half_the_spread_and_half_a_probe_period(self) -> None:
        for spread in (0.0, 0.3):
            expected = (spread + PROBE_SECONDS) / 2
            self.assertAlmostEqual(mean_reach_seconds(1, spread), expected, places=2)

    def test_the_first_of_several_machines_without_spread(self) -> None:
        """The mean of the minimum of n uniform samples is 1 / (n + 1) of the range."""
        self.assertAlmostEqual(mean_reach_seconds(9, 0.0), PROBE_SECONDS / 10, places=2)

    def test_the_outage_end_that_explains_the_measured_share_is_found(self) -> None:
        def bound_at(ends_at: float) -> float:
            return window_bound(Window(10, 12, 0), [FEED], Outage(10.0, ends_at))

        ends_at = implied_outage_end(bound_at(11.6), bound_at, 10.0, 12.0)
        assert ends_at is not None
        self.assertAlmostEqual(ends_at, 11.6, places=2)
        self.assertIsNone(implied_outage_end(0.0, bound_at, 10.0, 12.0))


class DescribeTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.site, self.report = folder / "site.toml", folder / "report.json"
        self.site.write_text(SITE, encoding="utf-8")
        self.report.write_text(json.dumps(REPORT), encoding="utf-8")

    def test_bound_and_distance_are_printed_beside_the_measured_shares(self) -> None:
        text = describe(read_day(self.site, "dark", self.report, {}), 0.0)
        rows = [line.split() for line in text.splitlines()]
        self.assertEqual(rows[2][:3], ["10", "0.400", "0.460"])
        self.assertEqual(rows[3][:4], ["worst", "2", "0.650", "0.680"])
        self.assertIn("distance to the bound 0.030", text)
        self.assertIn("not exact", text)

    def test_given_objectives_replace_those_of_the_site(self) -> None:
        day = read_day(self.site, "dark", self.report, {"feed": 426})
        self.assertEqual([known.objective_seconds for known in day.classes], [0.426])

    def test_the_variant_of_the_closing_fault_is_named(self) -> None:
        text = describe(read_day(self.site, "all", self.report, {}), 0.0)
        self.assertIn("power_off_all all at 10.000 s", text)

    def test_a_share_above_the_bound_is_reported(self) -> None:
        day = read_day(self.site, "dark", self.report, {})
        better = day._replace(windows=(Window(8, 10, 1.0), Window(10, 12, 0.5)))
        self.assertNotIn("does not hold", describe(day, 0.0))
        self.assertIn("does not hold", describe(better, 0.0))

    def test_days_with_another_or_no_closing_fault_have_no_bound(self) -> None:
        for day in ("light", "killed", "wiped", "absent"):
            with self.assertRaises(UnboundedDayError):
                read_day(self.site, day, self.report, {})


if __name__ == "__main__":
    unittest.main()
