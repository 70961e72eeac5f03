"""How far a day's worst windows are from what its closing fault leaves possible.

    python3 tools/day_bound.py SITE DAY REPORT [--spread SECONDS] [--objective CLASS=MS]...

REPORT is what the run of the day wrote. Two figures are printed beside what was seen: the bound, to
which callers are reached in the very moment in which machines may be back and answers take no time;
and an estimate, with machines that return spread over some time, the routers' probes, and the
median latency of each class. `dark_bound.py` states the assumptions. The second one depends on the
spread that is told, as no report has it.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from dark_bound import (
    Darkness,
    RequestClass,
    implied_reach,
    soonest_reach_seconds,
    touched,
    window_bound,
    worst_two,
)
from day_report import ClosingDay, UnboundedDayError, read_day

SPREAD_SECONDS = 0.3
"""Within so long machines return, as far as told; by choice in the middle of some tenths."""
ROUNDING = 0.001
"""Of the shares in reports."""
UNKNOWN = """\
not in the report, so not exact: the mix of each window (that of the day is used), arrivals within a
window (taken as even), when each machine had power, the phase of the routers' probes; shares are
rounded to 0.001. What else befell in these windows counts as a distance, too."""


def worst_windows(day: ClosingDay, classes: tuple[RequestClass, ...], darkness: Darkness) -> float:
    """Return the worst windows' share where the dark time costs what it must, others as seen."""
    shares = [
        window_bound(window, classes, darkness) if touched(window, darkness) else window.earned
        for window in day.windows
    ]
    return worst_two(shares)


def describe(day: ClosingDay, spread_seconds: float) -> str:
    """Return what is printed of a day."""
    back_at = day.began_at + day.down_seconds
    at_once = tuple(request._replace(latency_seconds=0.0) for request in day.classes)
    bound = Darkness(day.began_at, back_at)
    wait = soonest_reach_seconds(day.machines_of_a_zone, spread_seconds)
    estimate = Darkness(day.began_at, back_at + wait)
    lines = [
        f"{day.kind} at {day.began_at:.3f} s for {day.down_seconds:g} s; estimate: reached again "
        f"{wait:.2f} s later ({day.machines_of_a_zone} machines a zone, back within "
        f"{spread_seconds:g} s)",
        f"{'window':>8} {'seen':>7} {'bound':>7} {'estimate':>9}",
    ]
    for window in day.windows:
        if touched(window, estimate):
            shares = (
                window_bound(window, at_once, bound),
                window_bound(window, day.classes, estimate),
            )
            lines.append(
                f"{window.begins_at:8g} {window.earned:7.3f} {shares[0]:7.3f} {shares[1]:9.3f}"
            )
    seen = worst_two(window.earned for window in day.windows)
    highest = worst_windows(day, at_once, bound)
    likely = worst_windows(day, day.classes, estimate)
    lines += [
        f"{'worst 2':>8} {seen:7.3f} {highest:7.3f} {likely:9.3f}",
        f"distance to the bound {highest - seen:.3f}, to the estimate {likely - seen:+.3f}",
        _describe_reach(day),
        UNKNOWN,
    ]
    if seen > highest + ROUNDING:
        lines.append("seen is above the bound: an assumption does not hold for this day")
    return "\n".join(lines)


def _describe_reach(day: ClosingDay) -> str:
    """Say how long callers were without an answer, as if nothing else had cost anything."""
    back_at = day.began_at + day.down_seconds
    longest = Darkness(day.began_at, max(window.ends_at for window in day.windows))
    affected = [
        window for window in day.windows if touched(window, Darkness(day.began_at, back_at))
    ]

    def bound_at(reached_at: float) -> float:
        darkness = Darkness(day.began_at, reached_at)
        return sum(window_bound(window, day.classes, darkness) for window in affected)

    seen = sum(window.earned for window in affected)
    reached_at = implied_reach(seen, bound_at, day.began_at, longest.reached_at)
    if reached_at is None:
        return "what was seen is worse than darkness to the end of the day: something else cost it"
    after = reached_at - back_at
    return (
        f"seen is as if all callers were reached again {after:+.2f} s from the end of the dark time"
    )


def main() -> int:
    """Print the bound of one day; exit status 2 where none is known for it."""
    parser = argparse.ArgumentParser(description="how far a day is from what it leaves possible")
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
