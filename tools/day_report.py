"""What a day's report and site file tell of its closing fault, for `day_bound.py`."""

from __future__ import annotations

import json
import statistics
import tomllib
from collections.abc import Mapping
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from dark_bound import RequestClass, Window

MILLISECONDS = 1000
POWER_OFF = "power_off_all"
"""Only here no machine answers for `down_s`: where all processes were killed, more was earned than
that would leave possible.
"""


class UnboundedDayError(Exception):
    """The day's closing fault is none that a bound is known for."""


class ClosingDay(NamedTuple):
    """A played day that ends with no machine answering; times are in seconds of the day.

    `kind` is the closing fault with its variant. A variant may take more than the machines (the
    bound is then only higher than what is possible). `classes` have the latency that the median
    request of the class had over the day.
    """

    kind: str
    began_at: float
    down_seconds: float
    machines_of_a_zone: int
    windows: tuple[Window, ...]
    classes: tuple[RequestClass, ...]


def read_day(site: Path, day: str, report: Path, objectives: Mapping[str, float]) -> ClosingDay:
    """Read a day of a site and the report of its run; raises UnboundedDayError.

    `objectives` (milliseconds by class) are used instead of the site file's.
    """
    plan = tomllib.loads(site.read_text(encoding="utf-8"))
    written = next((known for known in plan["day"] if known["name"] == day), None)
    if written is None:
        raise UnboundedDayError(f"{site.name} has no day {day!r}; name one of its [[day]] tables")
    seen = json.loads(report.read_text(encoding="utf-8"))
    closing = written.get("closing", {})
    event = next((event for event in seen["events"] if event["kind"].startswith("closing")), None)
    if closing.get("kind") != POWER_OFF or event is None:
        raise UnboundedDayError(f"{day} does not close with {POWER_OFF}; choose a day that does")
    return ClosingDay(
        kind=" ".join(filter(None, (closing["kind"], closing.get("how")))),
        began_at=float(event["at_s"]),
        down_seconds=float(closing["down_s"]),
        machines_of_a_zone=max(1, seen["machines"] // len(seen["zones"])),
        windows=_windows(seen["windows"]),
        classes=_classes(written.get("classes", plan["classes"]), seen["classes"], objectives),
    )


def _windows(rows: list[dict[str, Any]]) -> tuple[Window, ...]:
    starts = [float(row["name"]) for row in rows]
    width = statistics.median(after - before for before, after in pairwise(starts))
    return tuple(
        Window(start, start + width, float(row["worth"]))
        for start, row in zip(starts, rows, strict=True)
    )


def _classes(
    written: list[dict[str, Any]], seen: list[dict[str, Any]], objectives: Mapping[str, float]
) -> tuple[RequestClass, ...]:
    rows = {row["name"]: row for row in seen}
    asked = sum(row["n"] for row in seen)
    return tuple(
        RequestClass(
            name=known["name"],
            share=rows[known["name"]]["n"] / asked,
            objective_seconds=objectives.get(known["name"], known["aim_ms"]) / MILLISECONDS,
            deadline_seconds=known["deadline_ms"] / MILLISECONDS,
            worth=float(known["worth"]),
            late_worth=float(known["late_worth"]),
            attempts=1 + int(known["retries"]),
            latency_seconds=rows[known["name"]]["p50_ms"] / MILLISECONDS,
        )
        for known in written
        if known["name"] in rows
    )
