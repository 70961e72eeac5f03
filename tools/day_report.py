"""Reads the closing fault of a day from its report and site file, for `day_bound.py`."""

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
"""The only closing fault for which the bound holds: no machine answers for `down_s`. Days that kill
all processes earned more than this would allow.
"""


class UnboundedDayError(Exception):
    """No bound is known for the day's closing fault."""


class ClosingDay(NamedTuple):
    """A played day that closes with all machines powered off; times are in seconds of the day.

    `kind` is the closing fault with its variant. A variant may cause more than the outage of the
    machines, which leaves the bound valid but less tight. The latency of each of the `classes` is
    its median over the day.
    """

    kind: str
    began_at: float
    down_seconds: float
    machines_per_zone: int
    windows: tuple[Window, ...]
    classes: tuple[RequestClass, ...]


def read_day(site: Path, day: str, report: Path, objectives: Mapping[str, float]) -> ClosingDay:
    """Read a day of a site and the report of its run.

    `objectives` (milliseconds by class) override those of the site file. Raises UnboundedDayError
    for a day without a bound.
    """
    plan = tomllib.loads(site.read_text(encoding="utf-8"))
    planned = next((known for known in plan["day"] if known["name"] == day), None)
    if planned is None:
        raise UnboundedDayError(f"{site.name} has no day {day!r}; name one of its [[day]] tables")
    measured = json.loads(report.read_text(encoding="utf-8"))
    closing = planned.get("closing", {})
    event = next(
        (event for event in measured["events"] if event["kind"].startswith("closing")), None
    )
    if closing.get("kind") != POWER_OFF or event is None:
        raise UnboundedDayError(f"{day} does not close with {POWER_OFF}; choose a day that does")
    return ClosingDay(
        kind=" ".join(filter(None, (closing["kind"], closing.get("how")))),
        began_at=float(event["at_s"]),
        down_seconds=float(closing["down_s"]),
        machines_per_zone=max(1, measured["machines"] // len(measured["zones"])),
        windows=_windows(measured["windows"]),
        classes=_classes(planned.get("classes", plan["classes"]), measured["classes"], objectives),
    )


def _windows(rows: list[dict[str, Any]]) -> tuple[Window, ...]:
    starts = [float(row["name"]) for row in rows]
    width = statistics.median(after - before for before, after in pairwise(starts))
    return tuple(
        Window(start, start + width, float(row["worth"]))
        for start, row in zip(starts, rows, strict=True)
    )


def _classes(
    planned: list[dict[str, Any]], measured: list[dict[str, Any]], objectives: Mapping[str, float]
) -> tuple[RequestClass, ...]:
    rows = {row["name"]: row for row in measured}
    asked = sum(row["n"] for row in measured)
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
        for known in planned
        if known["name"] in rows
    )
