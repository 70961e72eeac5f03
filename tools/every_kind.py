"""Play a day with each kind of fault or planned change on a site of the users' bench.

Each day has one event twice and is written to a temporary folder, so that no file of the users
enters the repository. `--variant` derives another deployment from the site, such as one with
another hash, one zone or fewer slots (`site_variants.py`). The bench writes its journal entries as
usual. A table with the worth and verdict of each day is printed.

    .venv/bin/python tools/every_kind.py BENCH SITE.toml --why "..."
"""

from __future__ import annotations

import argparse
import random
import re
import sys
import tempfile
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from bench_runs import DayResult, play
from site_variants import VARIANTS, derive_site

FIRST_AT_SECONDS = 4.0
SECOND_AT_SECONDS = 14.0
PARALLEL_RUNS = 4
SMALL_VARIANT = re.compile(r"^small = .*$", re.MULTILINE)
"""The line of a site file that describes the small variant of a day, equal for all its days."""
FAILED_DAYS = Path("target/every-kind")
PLANNED_KINDS = {
    "release",
    "scale_out",
    "scale_in",
    "roll_term",
    "add_nodes",
    "config_change",
    "hup",
}
PLANNED_KINDS |= {"config_storm", "big_config", "evacuate"}
PLACES_KINDS = {"evacuate"}
"""Kinds that need a site with the contract `places`."""

EVENTS = """
srv_crash share=0.3 for_s=5
srv_crash share=0.3 for_s=5 how="dark"
srv_crash share=0.3 how="gone"
srv_crash share=1.0 for_s=4 how="all"
srv_slow share=0.3 x=5 for_s=6
srv_grey share=0.15 x=0.45 for_s=6 how="errors"
srv_grey share=0.15 x=0.45 for_s=6 how="mute"
srv_grey share=0.15 x=0.45 for_s=6 how="hang"
srv_flap share=0.1 gap_s=1.4 for_s=6
release share=0.6 gap_s=1
release share=1.0 x=3 gap_s=0.5
replace_with_reuse share=0.3
replace_with_reuse share=0.3 how="drain"
replace_with_reuse share=0.3 how="dark"
scale_out share=0.4 gap_s=1
scale_in share=0.3
scale_in share=0.3 how="spot"
node_kill share=0.3
node_kill share=0.3 how="power" for_s=4
node_kill on="core" count=1 how="leader race drain"
node_kill on="core" count=1 how="meet drain" for_s=3
node_kill on="core" count=1 how="turn hard" for_s=3
node_kill on="core" count=1 how="seed power" for_s=4
node_kill on="core" count=1 how="reader" for_s=4
node_slow share=0.3 x=6 for_s=6
node_freeze share=0.3 for_s=4
node_freeze on="core" count=1 for_s=4 how="leader"
roll_term share=1.0 x=1 gap_s=1
roll_term share=0.5 x=2 gap_s=1.3 how="busy"
roll_term share=0.4 gap_s=1.3 how="remove"
herd_kill share=0.6 for_s=2
herd_kill share=0.6 for_s=2 how="power"
herd_kill share=1.0 for_s=2 on="core"
herd_kill for_s=2 on="core" how="off"
add_nodes share=1.0
clock_step share=0.5 x=2400 for_s=6 how="back"
clock_step share=0.5 x=2400 for_s=6 how="ahead"
hup share=0.8 gap_s=0.5
core_cut count=1 for_s=5.5 how="leader refuse"
core_cut count=1 for_s=5.5 how="race drain hard all"
core_cut count=1 for_s=4 how="leader race"
core_cut count=1 for_s=5 how="one_way"
core_cut count=2 for_s=5 how="near"
core_cut count=1 for_s=5 how="seeds"
core_cut count=1 for_s=5 how="both"
core_cut count=1 for_s=5 how="lure"
core_cut count=1 for_s=5 how="relieve"
core_cut count=1 for_s=5 how="split"
core_cut count=1 for_s=5 how="reset"
node_cut share=0.3 for_s=6
node_cut share=0.3 for_s=6 how="all"
node_cut share=0.3 for_s=6 how="servers"
node_cut share=0.3 for_s=6 how="reset"
node_cut share=0.3 for_s=6 how="meet drain"
platform_down for_s=5 how="silent"
platform_down for_s=5 how="busy"
platform_down for_s=5 how="reset"
platform_down for_s=5 how="silent lapse"
platform_down for_s=5 how="busy lapse"
platform_down for_s=5 how="reset lapse"
platform_down share=0.33 for_s=6 how="nodes"
platform_down share=0.33 for_s=6 how="nodes busy"
platform_down share=0.33 for_s=6 how="nodes many"
platform_down share=0.33 for_s=6 how="nodes reset"
platform_down share=0.5 for_s=6 how="nodes leader busy"
platform_down share=0.33 for_s=8 how="nodes busy revoke meet"
platform_slow x=80 for_s=5
platform_lost x=0.5 for_s=5
platform_lost x=0.5 for_s=5 how="late"
platform_compact x=5 for_s=10
platform_compact x=5 for_s=10 how="drain"
config_change how="route"
config_change how="timeout"
config_change how="idle"
config_change how="weights"
config_storm for_s=4 gap_s=0.2
big_config count=400
after_ack_kill for_s=3
after_ack_kill for_s=3 how="kill"
after_ack_kill for_s=3 how="timed"
reset_conns share=0.5 x=0.8
shift share=0.5 for_s=6
burst x=1.8 for_s=4
srv_lying_health share=0.15 for_s=6 how="errors"
srv_lying_health share=0.15 for_s=6 how="bad"
srv_grey share=0.15 x=0.45 for_s=6 how="shed"
srv_grey share=0.15 x=0.45 for_s=6 how="busy"
srv_grey share=0.15 x=0.45 for_s=6 how="reset"
srv_grey share=0.15 x=9 for_s=6 how="slow"
srv_cut share=0.3 for_s=5
srv_cut share=0.3 for_s=5 how="fronts"
srv_cut share=0.3 for_s=5 how="some lossy"
srv_cut share=0.3 for_s=5 how="one_way"
srv_cut share=0.3 for_s=5 how="reborn"
node_cut share=0.3 for_s=5 how="servers reborn"
zone_cut for_s=5
zone_cut for_s=5 how="refuse"
zone_loss
one_way for_s=5
one_way for_s=5 how="all"
one_way for_s=5 how="all in"
lossy x=0.04 for_s=6
cold_return for_s=5
cold_return for_s=5 how="dark"
evacuate for_s=8
evacuate for_s=7 how="warm"
""".strip().splitlines()


class DayEvent(NamedTuple):
    """One line of EVENTS, a fault or a planned change."""

    text: str

    @property
    def kind(self) -> str:
        """The name of the kind in the bench."""
        return self.text.split()[0]

    @property
    def label(self) -> str:
        """The name in the printed table and in file names."""
        return re.sub(r"[^a-z0-9.]+", "-", self.text).strip("-")

    def table(self, at: float) -> str:
        """Return the TOML inline table of the event at this second of the day."""
        fields = re.findall(r'(\w+)=("[^"]*"|[\d.]+)', self.text)
        entries = "".join(f", {name} = {value}" for name, value in fields)
        return f'{{ at = {at}, kind = "{self.kind}"{entries} }}'


class Outcome(NamedTuple):
    """A row of the printed table."""

    label: str
    worth: str
    verdict: str


def main() -> int:
    """Play the days and print the table; return 1 if a day failed."""
    arguments = _parse_arguments()
    site = Path(arguments.site)
    with tempfile.TemporaryDirectory(prefix="every-kind-") as folder:
        path = derive_site(site, Path(folder), arguments.variant)
        if arguments.standard:
            return _print_table(arguments, site, _play_standard_days(arguments, path))
        selected = [event for event in _allowed_events(site) if arguments.only in event.text]
        if arguments.pairs:
            rng = random.Random(arguments.seed)
            days = list(_random_pairs(path, selected, arguments.pairs, rng))
        else:
            days = [(event.label, _repeat_event(path, event)) for event in selected]
        with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
            jobs = [
                pool.submit(_play, arguments, path, Path(folder), label, text)
                for label, text in days
            ]
            outcomes = [job.result() for job in jobs]
    return _print_table(arguments, site, outcomes)


def _allowed_events(site: Path) -> list[DayEvent]:
    """Return the events that the contracts of the site allow."""
    has_places = "places" in tomllib.loads(site.read_text())["contracts"]
    events = [DayEvent(line) for line in EVENTS]
    return [event for event in events if has_places or event.kind not in PLACES_KINDS]


def _play_standard_days(arguments: argparse.Namespace, site: Path) -> list[Outcome]:
    names = [day["name"] for day in tomllib.loads(site.read_text())["day"]]
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        return list(pool.map(lambda name: _play_standard(arguments, site, name), names))


def _print_table(arguments: argparse.Namespace, site: Path, outcomes: list[Outcome]) -> int:
    for outcome in outcomes:
        print(f"{outcome.label:60} {outcome.worth:>7}  {outcome.verdict}")
    broken = sum(outcome.verdict != "kept" for outcome in outcomes)
    print(f"{len(outcomes)} days on {site.stem} ({arguments.variant}), {broken} not kept")
    return 1 if broken else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--why", required=True)
    parser.add_argument("--variant", choices=sorted(VARIANTS), default="as-is")
    parser.add_argument("--only", default="", help="events whose line contains this")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--standard", action="store_true", help="play the site's own days instead of kinds"
    )
    parser.add_argument(
        "--small", action="store_true", help="play the small variants of the days of a large site"
    )
    parser.add_argument(
        "--pairs", type=int, default=0, help="play this many random pairs of events instead"
    )
    return parser.parse_args()


def _repeat_event(site: Path, event: DayEvent) -> str:
    return _format_day(site, ((event, FIRST_AT_SECONDS), (event, SECOND_AT_SECONDS)))


def _format_day(site: Path, timed_events: tuple[tuple[DayEvent, float], ...]) -> str:
    """Return the TOML text of a day with events at the given seconds."""
    plan, faults = [], []
    for event, at in timed_events:
        (plan if event.kind in PLANNED_KINDS else faults).append(event.table(at))
    plan.append('{ at = 24.0, kind = "config_change", how = "route" }')
    days = tomllib.loads(site.read_text())["day"]
    quiet_day = next(day for day in days if day["slot"] == "quiet")
    small = SMALL_VARIANT.search(site.read_text())
    return "\n".join(
        [
            'name = "own"',
            'slot = "trouble"',
            f"seed = {quiet_day['seed']}",
            "one = 1.0",
            "zero = 0.5",
            "wall = 2.0",
            "light = false",
            "labels = []",
            f"plan = [{', '.join(plan)}]",
            f"faults = [{', '.join(faults)}]",
            small[0] if small else "",
        ]
    )


def _random_pairs(
    site: Path, events: list[DayEvent], count: int, rng: random.Random
) -> Iterator[tuple[str, str]]:
    """Yield days with two random events, one within 3 s of the other, then in reverse order."""
    for _ in range(count):
        first, second = rng.sample(events, 2)
        second_at = round(FIRST_AT_SECONDS + rng.uniform(0.0, 3.0), 2)
        fourth_at = round(SECOND_AT_SECONDS + rng.uniform(0.0, 3.0), 2)
        timed_events = (
            (first, FIRST_AT_SECONDS),
            (second, second_at),
            (second, SECOND_AT_SECONDS),
            (first, fourth_at),
        )
        yield f"{first.label}--{second.label}", _format_day(site, timed_events)


def _play(
    arguments: argparse.Namespace, site: Path, folder: Path, label: str, text: str
) -> Outcome:
    day = folder / f"{label}.toml"
    day.write_text(text)
    why = f"{arguments.why}: {label}"
    options = ["--small"] if arguments.small else []
    result = play(arguments.bench, site, str(day), why, "--seed", str(arguments.seed), *options)
    return _make_outcome(arguments, site, label, result, text)


def _play_standard(arguments: argparse.Namespace, site: Path, name: str) -> Outcome:
    why = f"{arguments.why}: {name} of {site.stem} ({arguments.variant})"
    return _make_outcome(arguments, site, name, play(arguments.bench, site, name, why), "")


def _make_outcome(
    arguments: argparse.Namespace, site: Path, label: str, result: DayResult, text: str
) -> Outcome:
    """Return a row of the table; save the day and the output if a rule was broken."""
    if result.fault:
        return Outcome(label, "-", result.fault)
    if result.passed:
        return Outcome(label, f"{result.worth:.3f}", "kept")
    FAILED_DAYS.mkdir(parents=True, exist_ok=True)
    name = f"{site.stem}-{arguments.variant}-{arguments.seed}-{label}"
    (FAILED_DAYS / f"{name}.toml").write_text(text)
    (FAILED_DAYS / f"{name}.txt").write_text(result.output)
    return Outcome(label, f"{result.worth:.3f}", f"BROKEN {result.broken} (see {name})")


if __name__ == "__main__":
    sys.exit(main())
