"""Measure the effect of disabling each mechanism of the token path on days of the users' bench.

The runs use a separate worktree of the current commit under `target/ablation`, so uncommitted
changes are not measured. The journal entries that the bench writes there are copied to this tree.
By default the bench does not charge processor time, which makes runs with the same seed mostly
repeatable; `--cpu` charges it, as the users' own runs do.

    python3 tools/ablation.py BENCH SITE... --seeds 2 --why "..."
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))
sys.path.insert(0, str(ROOT / "tools"))

from bench_runs import DayResult, play  # noqa: E402

from beamloom.settings.mechanisms import MECHANISMS_VARIABLE, Mechanisms  # noqa: E402

NONE_DISABLED = "(nothing)"
CHECKOUT = ROOT / "target" / "ablation"
PARALLEL_RUNS = 4
STANDARD_SEED = 0


class Case(NamedTuple):
    """One day of one site with one seed; STANDARD_SEED selects the day's own seed."""

    site: Path
    day: str
    seed: int


class SiteMeans(NamedTuple):
    """Means over the days of one site, and the broken rules of these days."""

    worth: float
    late: float
    failed: float
    calls: float
    zone_megabytes: float
    broken: str


def main() -> int:
    """Print the table; return 1 if a day failed with every mechanism enabled."""
    arguments = _parse_arguments()
    sites = [Path(site).resolve() for site in arguments.sites]
    cases = list(_cases(sites, arguments))
    _make_checkout()
    broken = False
    baseline: dict[Path, SiteMeans] = {}
    print("| site | off | worth | change | late | failed | calls | MB between zones | broken |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |", flush=True)
    for name in _mechanisms_to_disable(arguments.only):
        _disable_mechanism(name)
        results = _play_all(cases, name, arguments)
        for site in sites:
            mean = _mean(results, site)
            baseline.setdefault(site, mean)
            broken |= name == NONE_DISABLED and bool(mean.broken)
            print(_row(site, name, mean, baseline[site]), flush=True)
    _copy_journal()
    return 1 if broken else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=lambda text: str(Path(text).resolve()))
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--why", required=True)
    parser.add_argument(
        "--seeds", type=int, default=1, help="seeds per day: its own, then 2, 3, ..."
    )
    parser.add_argument("--days", default="", help="comma-separated names; all by default")
    parser.add_argument(
        "--day-file",
        action="append",
        default=[],
        help="file of a day to play instead of the site's days; may be repeated",
    )
    parser.add_argument("--only", default="", help="comma-separated mechanisms; all by default")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    return parser.parse_args()


def _cases(sites: list[Path], arguments: argparse.Namespace) -> Iterator[Case]:
    selected_days = set(filter(None, arguments.days.split(",")))
    files = [str(Path(file).resolve()) for file in arguments.day_file]
    for site in sites:
        site_days = [day["name"] for day in tomllib.loads(site.read_text())["day"]]
        names = files or [name for name in site_days if not selected_days or name in selected_days]
        for name in names:
            for seed in (STANDARD_SEED, *range(2, arguments.seeds + 1)):
                yield Case(site, name, seed)


def _mechanisms_to_disable(only: str) -> tuple[str, ...]:
    names = tuple(filter(None, only.split(","))) or Mechanisms._fields
    return (NONE_DISABLED, *names)


def _make_checkout() -> None:
    if CHECKOUT.exists():
        _git("worktree", "remove", "--force", str(CHECKOUT))
    _git("worktree", "add", "--quiet", "--detach", str(CHECKOUT), "HEAD")


def _git(*arguments: str) -> None:
    subprocess.run(["git", *arguments], cwd=ROOT, check=True)


def _disable_mechanism(name: str) -> None:
    """Disable the mechanism in the checkout's deploy file; the next build includes the change."""
    text = (ROOT / "deploy/system.toml").read_text()
    if name != NONE_DISABLED:
        text = text.replace("env = { ", f'env = {{ {MECHANISMS_VARIABLE} = "{name}", ')
    (CHECKOUT / "deploy/system.toml").write_text(text)


def _play_all(
    cases: list[Case], name: str, arguments: argparse.Namespace
) -> list[tuple[Case, DayResult]]:
    subprocess.run([arguments.bench, "build"], cwd=CHECKOUT, check=True, capture_output=True)

    def play_case(case: Case) -> tuple[Case, DayResult]:
        options = [] if case.seed == STANDARD_SEED else ["--seed", str(case.seed)]
        options += [] if arguments.cpu else ["--no-cpu"]
        why = f"{arguments.why}: off {name}"
        return case, play(arguments.bench, case.site, case.day, why, *options, root=CHECKOUT)

    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        return list(pool.map(play_case, cases))


def _mean(results: list[tuple[Case, DayResult]], site: Path) -> SiteMeans:
    days = [(case, result) for case, result in results if case.site == site]
    played = [result for _, result in days if not result.fault] or [days[0][1]]
    faults = [
        f"{case.day}/{case.seed}: {result.broken or result.fault}"
        for case, result in days
        if not result.passed
    ]
    count = len(played)
    return SiteMeans(
        worth=sum(result.worth for result in played) / count,
        late=sum(result.late for result in played) / count,
        failed=sum(result.failed for result in played) / count,
        calls=sum(result.calls for result in played) / count,
        zone_megabytes=1000 * sum(result.zone_gigabytes for result in played) / count,
        broken="; ".join(faults),
    )


def _row(site: Path, name: str, mean: SiteMeans, baseline: SiteMeans) -> str:
    cells = (
        site.stem,
        name,
        f"{mean.worth:.4f}",
        f"{mean.worth - baseline.worth:+.4f}",
        f"{mean.late:.0f}",
        f"{mean.failed:.0f}",
        f"{mean.calls:.0f}",
        f"{mean.zone_megabytes:.1f}",
        mean.broken or "-",
    )
    return f"| {' | '.join(cells)} |"


def _copy_journal() -> None:
    shutil.copytree(CHECKOUT / "journal", ROOT / "journal", dirs_exist_ok=True)


if __name__ == "__main__":
    sys.exit(main())
