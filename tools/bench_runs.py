"""Runs one day of the users' bench and parses the figures that it prints."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path
from typing import NamedTuple

RUN_TIMEOUT_SECONDS = 600
ROW = re.compile(r"^\S+ +\d+/\d+ +(?P<score>[\d.]+) +(?P<worth>[\d.]+) ", re.MULTILINE)
BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else|$)", re.MULTILINE)
CLASS_ROW = re.compile(r"^\S+ +(\d+) +\d+ +(\d+) +(\d+) +(\d+) +\d+ +[\d.]+ +[\d.]+ +[\d.]+$")
CALLS = re.compile(r"([\d.]+) cloud calls")
ZONE_BYTES = re.compile(r"([\d.]+) GB between zones")


class DayResult(NamedTuple):
    """The figures that the bench printed for one day.

    `late` and `failed` count requests, `calls` counts cloud calls, and `zone_gigabytes` is the
    traffic between zones. `broken` names the broken rules; `fault` says why a day was not played.
    """

    worth: float
    late: int
    failed: int
    calls: float
    zone_gigabytes: float
    broken: str
    fault: str
    output: str

    @property
    def passed(self) -> bool:
        """Whether the day was played and no rule was broken."""
        return not self.broken and not self.fault


def play(
    bench: str, site: Path, day: str, why: str, *options: str, root: Path | None = None
) -> DayResult:
    """Play one day in a checkout (`root`, or the current folder) and return its figures."""
    command = [bench, "run", str(site), day, "--why", why, *options]
    try:
        run = subprocess.run(
            command,
            cwd=root,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return _not_played("timed out", "")
    return read_output(run.stdout, run.stderr)


def read_output(output: str, errors: str = "") -> DayResult:
    """Parse the output of a run of one day."""
    row = ROW.search(output)
    if row is None:
        return _not_played((errors or output).strip()[:200] or "no output", output)
    late, failed = _count_requests(output)
    broken = BROKEN.search(output)
    return DayResult(
        worth=float(row["worth"]),
        late=late,
        failed=failed,
        calls=_number(CALLS, output),
        zone_gigabytes=_number(ZONE_BYTES, output),
        broken=broken[1].strip() if broken else "",
        fault="",
        output=output,
    )


def _not_played(reason: str, output: str) -> DayResult:
    return DayResult(0.0, 0, 0, 0.0, 0.0, "", f"not played: {reason}", output)


def _count_requests(output: str) -> tuple[int, int]:
    """Return the late and the failed or refused requests, summed over the table of classes."""
    table = output.partition("\nclass ")[2].partition("\n\n")[0]
    rows = [match for match in map(CLASS_ROW.match, table.splitlines()) if match]
    late = sum(int(row[2]) for row in rows)
    return late, sum(int(row[3]) + int(row[4]) for row in rows)


def _number(pattern: re.Pattern[str], output: str) -> float:
    found = pattern.search(output)
    return float(found[1]) if found else 0.0
