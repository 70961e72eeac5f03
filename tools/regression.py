"""Score the kept sites of the users' bench, and print each day beside the figure kept here.

A day that fell by more than NOISE_WORTH, a day or site without a kept figure, and a gate that
failed are told at the end; exit status 1 where a day fell or a gate failed. Figures are kept in
`tools/regression.json`; `--keep` writes those that were just measured.

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

KEPT = Path(__file__).with_suffix(".json")
NOISE_WORTH = 0.005
"""Runs of one seed differ by so much, as processor time is measured (docs/DECIDING.md)."""
JOBS = 4
DAY_ROW = re.compile(r"^(\S+) +\d+/\d+ +[\d.]+ +([\d.]+) ", re.MULTILINE)
GATE_PASSED = "GATE passed"
DRAWN = "fresh-"
"""Days that were drawn just now begin so; they have no figure to compare with."""

Figures = dict[str, dict[str, float]]


class DayChange(NamedTuple):
    """The worth of a day before and now; `before` is None where no figure is kept."""

    site: str
    day: str
    before: float | None
    now: float

    @property
    def fell(self) -> bool:
        """Whether the day is worth less by more than noise."""
        return self.before is not None and self.before - self.now > NOISE_WORTH

    @property
    def row(self) -> str:
        """A line of the printed table."""
        before = "-" if self.before is None else f"{self.before:.3f}"
        change = "" if self.before is None else f"{self.now - self.before:+.3f}"
        note = "  FELL" if self.fell else ""
        return f"{self.site:28} {self.day:14} {before:>6} {self.now:6.3f} {change}{note}"


def read_worths(output: str) -> dict[str, float]:
    """Return the worth of each day that a score's output tells."""
    return {match[1]: float(match[2]) for match in DAY_ROW.finditer(output)}


def compare(site: str, worths: Mapping[str, float], kept: Figures) -> list[DayChange]:
    """Return the days of a site with what is kept of them, in the order they were played."""
    before = kept.get(site, {})
    return [DayChange(site, day, before.get(day), worth) for day, worth in worths.items()]


def main() -> int:
    """Score, compare, print; return the exit status."""
    arguments = _parse_arguments()
    kept: Figures = json.loads(KEPT.read_text()) if KEPT.exists() else {}
    failures: list[str] = []
    for site in map(Path, arguments.sites):
        output = _score(arguments.bench, site, arguments.why)
        worths = read_worths(output)
        changes = compare(site.stem, worths, kept)
        print("\n".join(change.row for change in changes), flush=True)
        failures += [f"{change.site} {change.day} fell" for change in changes if change.fell]
        if GATE_PASSED not in output:
            failures.append(f"{site.stem}: gate not passed\n{output[-500:]}")
        if arguments.keep:
            standard = {day: worth for day, worth in worths.items() if not day.startswith(DRAWN)}
            kept[site.stem] = standard
    if arguments.keep:
        KEPT.write_text(json.dumps(kept, indent=1, sort_keys=True) + "\n")
    print("\n".join(failures) or "nothing fell")
    return 1 if failures else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--why", required=True)
    parser.add_argument("--keep", action="store_true", help="keep the figures measured now")
    return parser.parse_args()


def _score(bench: str, site: Path, why: str) -> str:
    command = [bench, "score", str(site), "--jobs", str(JOBS), "--why", why]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    return run.stdout + run.stderr


if __name__ == "__main__":
    sys.exit(main())
