"""Compare a day's worst windows with an upper bound for its closing fault.

    python3 tools/day_bound.py SITE DAY REPORT [--spread SECONDS] [--objective CLASS=MS]...

REPORT is the JSON report of a run of the day. Two shares are printed beside the measured one. The
bound assumes that clients are served from the earliest time at which machines may return, without
latency. The estimate takes into account the spread of the machines' return, the routers' probes and
the median latency of each class. It depends on `--spread`, which is not in the report.
`dark_bound.py` states the assumptions.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from dark_bound import (
    Outage,
    RequestClass,
    implied_outage_end,
    mean_of_worst_two,
    mean_reach_seconds,
    overlaps,
    window_bound,
)
from day_report import ClosingDay, UnboundedDayError, read_day

SPREAD_SECONDS = 0.3
"""Default for the time within which all machines return."""
ROUNDING = 0.001
"""Resolution of the shares in reports."""
INEXACT_INPUTS = """\
not in the report, so not exact: the class mix of each window (that of the day is used), arrivals
within a window (taken as even), when each machine had power, the phase of the routers' probes;
shares are rounded to 0.001. Losses from other causes in these windows add to the distance."""


def worst_windows(day: ClosingDay, classes: tuple[RequestClass, ...], outage: Outage) -> float:
    """Return the worst windows' share, with the bound in place of what the outage affected."""
    shares = [
        window_bound(window, classes, outage) if overlaps(window, outage) else window.earned
        for window in day.windows
    ]
    return mean_of_worst_two(shares)


def describe(day: ClosingDay, spread_seconds: float) -> str:
    """Return the text that is printed for a day."""
    returned_at = day.began_at + day.down_seconds
    without_latency = tuple(request._replace(latency_seconds=0.0) for request in day.classes)
    bound = Outage(day.began_at, returned_at)
    wait = mean_reach_seconds(day.machines_per_zone, spread_seconds)
    estimate = Outage(day.began_at, returned_at + wait)
    lines = [
        f"{day.kind} at {day.began_at:.3f} s for {day.down_seconds:g} s; estimate: reached again "
        f"{wait:.2f} s later ({day.machines_per_zone} machines a zone, back within "
        f"{spread_seconds:g} s)",
        f"{'window':>8} {'seen':>7} {'bound':>7} {'estimate':>9}",
    ]
    for window in day.windows:
        if overlaps(window, estimate):
            shares = (
                window_bound(window, without_latency, bound),
                window_bound(window, day.classes, estimate),
            )
            lines.append(
                f"{window.begins_at:8g} {window.earned:7.3f} {shares[0]:7.3f} {shares[1]:9.3f}"
            )
    seen = mean_of_worst_two(window.earned for window in day.windows)
    highest = worst_windows(day, without_latency, bound)
    estimated = worst_windows(day, day.classes, estimate)
    lines += [
        f"{'worst 2':>8} {seen:7.3f} {highest:7.3f} {estimated:9.3f}",
        f"distance to the bound {highest - seen:.3f}, to the estimate {estimated - seen:+.3f}",
        _describe_implied_outage(day),
        INEXACT_INPUTS,
    ]
    if seen > highest + ROUNDING:
        lines.append("seen is above the bound: an assumption does not hold for this day")
    return "\n".join(lines)


def _describe_implied_outage(day: ClosingDay) -> str:
    """Describe the outage length that alone would explain the measured shares."""
    returned_at = day.began_at + day.down_seconds
    longest = Outage(day.began_at, max(window.ends_at for window in day.windows))
    affected = [
        window for window in day.windows if overlaps(window, Outage(day.began_at, returned_at))
    ]

    def bound_at(ends_at: float) -> float:
        outage = Outage(day.began_at, ends_at)
        return sum(window_bound(window, day.classes, outage) for window in affected)

    seen = sum(window.earned for window in affected)
    ends_at = implied_outage_end(seen, bound_at, day.began_at, longest.ends_at)
    if ends_at is None:
        return "seen is worse than an outage to the end of the day: there was another cause"
    after = ends_at - returned_at
    return f"seen is as if callers were reached again {after:+.2f} s after the earliest return"


def main() -> int:
    """Print the bound of one day; return 2 if no bound is known for it."""
    parser = argparse.ArgumentParser(
        description="compare a day with the bound of its closing fault"
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("day")
    parser.add_argument("report", type=Path)
    parser.add_argument("--spread", type=float, default=SPREAD_SECONDS, metavar="SECONDS")
    parser.add_argument("--objective", action="append", default=[], metavar="CLASS=MS")
    arguments = parser.parse_args()
    given = (text.partition("=") for text in arguments.objective)
    objectives = {name: float(milliseconds) for name, _, milliseconds in given}
    try:
        day = read_day(arguments.site, arguments.day, arguments.report, objectives)
    except UnboundedDayError as error:
        print(f"no bound: {error}", file=sys.stderr)
        return 2
    print(describe(day, arguments.spread))
    return 0


if __name__ == "__main__":
    sys.exit(main())
