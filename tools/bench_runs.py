"""One day of the users' bench: played, and its printed figures read. For the tools beside it."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path
from typing import NamedTuple

MAXIMUM_RUN_SECONDS = 600
ROW = re.compile(r"^\S+ +\d+/\d+ +(?P<score>[\d.]+) +(?P<worth>[\d.]+) ", re.MULTILINE)
BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else|$)", re.MULTILINE)
CLASS_ROW = re.compile(r"^\S+ +(\d+) +\d+ +(\d+) +(\d+) +(\d+) +\d+ +[\d.]+ +[\d.]+ +[\d.]+$")
CALLS = re.compile(r"([\d.]+) cloud calls")
ZONE_BYTES = re.compile(r"([\d.]+) GB between zones")


class DayResult(NamedTuple):
    """What the bench printed of one day; `broken` names rules, `fault` says why it was not played.

    `late` and `failed` count requests, `calls` those to the store, `zone_gigabytes` what went
    between zones.
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
    def kept(self) -> bool:
        """Whether the day was played and no rule broken."""
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
            timeout=MAXIMUM_RUN_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return _not_played("timed out", "")
    return read_output(run.stdout, run.stderr)


def read_output(output: str, errors: str = "") -> DayResult:
    """Return the figures that the bench printed of a day."""
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
    """Return late and failed (or refused) requests, from the table of kinds of request."""
    table = output.partition("\nclass ")[2].partition("\n\n")[0]
    rows = [match for match in map(CLASS_ROW.match, table.splitlines()) if match]
    late = sum(int(row[2]) for row in rows)
    return late, sum(int(row[3]) + int(row[4]) for row in rows)


def _number(pattern: re.Pattern[str], output: str) -> float:
    found = pattern.search(output)
    return float(found[1]) if found else 0.0
