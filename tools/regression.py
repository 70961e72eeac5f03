"""Score sites of the users' bench and compare the worth of each day with a stored baseline.

The exit status is 1 if a day fell by more than NOISE_WORTH or a gate failed; these are listed at
the end. A day without a baseline is shown with `-`. The baseline is in `tools/regression.json`;
`--keep` stores the figures of this run.

    python3 tools/regression.py BENCH SITE.toml... --why "..."
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

BASELINE_FILE = Path(__file__).with_suffix(".json")
NOISE_WORTH = 0.005
"""Difference between runs with the same seed, since the bench charges measured processor time."""
JOBS = 4
DAY_ROW = re.compile(r"^(\S+) +\d+/\d+ +[\d.]+ +([\d.]+) ", re.MULTILINE)
GATE_PASSED = "GATE passed"
FRESH_PREFIX = "fresh-"
"""Prefix of days that the bench draws at random for each run, which have no baseline."""

WorthsBySite = dict[str, dict[str, float]]


class DayChange(NamedTuple):
    """The worth of a day in the baseline and now; `before` is None without a baseline."""

    site: str
    day: str
    before: float | None
    now: float

    @property
    def fell(self) -> bool:
        """Whether the worth fell by more than NOISE_WORTH."""
        return self.before is not None and self.before - self.now > NOISE_WORTH

    @property
    def row(self) -> str:
        """The line of the printed table."""
        before = "-" if self.before is None else f"{self.before:.3f}"
        change = "" if self.before is None else f"{self.now - self.before:+.3f}"
        note = "  FELL" if self.fell else ""
        return f"{self.site:28} {self.day:14} {before:>6} {self.now:6.3f} {change}{note}"


def read_worths(output: str) -> dict[str, float]:
    """Return the worth by day from the output of the bench's `score` command."""
    return {match[1]: float(match[2]) for match in DAY_ROW.finditer(output)}


def compare(site: str, worths: Mapping[str, float], baseline: WorthsBySite) -> list[DayChange]:
    """Pair the days of a site with their baseline, in the order of `worths`."""
    before = baseline.get(site, {})
    return [DayChange(site, day, before.get(day), worth) for day, worth in worths.items()]


def main() -> int:
    """Print the comparison; return the exit status."""
    arguments = _parse_arguments()
    baseline: WorthsBySite = json.loads(BASELINE_FILE.read_text()) if BASELINE_FILE.exists() else {}
    failures: list[str] = []
    for site in map(Path, arguments.sites):
        output = _score(arguments.bench, site, arguments.why)
        worths = read_worths(output)
        changes = compare(site.stem, worths, baseline)
        print("\n".join(change.row for change in changes), flush=True)
        failures += [f"{change.site} {change.day} fell" for change in changes if change.fell]
        if GATE_PASSED not in output:
            failures.append(f"{site.stem}: gate not passed\n{output[-500:]}")
        if arguments.keep:
            site_days = {
                day: worth for day, worth in worths.items() if not day.startswith(FRESH_PREFIX)
            }
            baseline[site.stem] = site_days
    if arguments.keep:
        BASELINE_FILE.write_text(json.dumps(baseline, indent=1, sort_keys=True) + "\n")
    print("\n".join(failures) or "nothing fell")
    return 1 if failures else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--why", required=True)
    parser.add_argument(
        "--keep", action="store_true", help="store the figures of this run as baseline"
    )
    return parser.parse_args()


def _score(bench: str, site: Path, why: str) -> str:
    command = [bench, "score", str(site), "--jobs", str(JOBS), "--why", why]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    return run.stdout + run.stderr


if __name__ == "__main__":
    sys.exit(main())
