"""`beamloom soak`: token node processes under random faults."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from itertools import islice
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from cyclopts.validators import Number

from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_line
from beamloom.soak.run import SoakOptions, SoakResult, run_soak
from beamloom.soak.violation_logs import lines_of_violations

MAXIMUM_NODES = 60
MAXIMUM_SECONDS = 3600.0
SHOWN_VIOLATIONS = 10
SHOWN_LINES = 40


def register(app: App) -> None:
    """Add the command."""
    app.command(soak)


def soak(
    *,
    seed: int | None = None,
    duration: Annotated[float, Parameter(validator=Number(gt=20, lte=MAXIMUM_SECONDS))] = 60.0,
    nodes: Annotated[int, Parameter(validator=Number(gte=1, lte=MAXIMUM_NODES))] = 5,
    folder: Path | None = None,
    only: tuple[str, ...] = (),
    congest: bool = False,
    former: Path | None = None,
) -> ExitStatus:
    """Run token nodes as processes, inject faults, and check the invariants from outside.

    The store, the proxies in front of it, endpoints, routers and clients are stand-ins on loopback
    addresses. Faults are drawn at random from the seed, but a run also depends on the timing of the
    processes, so a seed does not reproduce it exactly. Exit status: 1 when an invariant was
    violated; the seed and the folder of logs are printed.

    Parameters
    ----------
    seed
        By default a random one.
    duration
        Seconds of traffic.
    nodes
        Number of nodes.
    folder
        Folder for settings and logs; by default a new temporary folder.
    only
        Kinds of faults to inject; planned changes are made as well.
    congest
        Delay the endpoints' answers and leave checks unanswered, again and again.
    former
        Source folder of an older version, which contains the package `beamloom`. Nodes run it at
        first and are replaced by this version one after the other.

    """
    seed = random.SystemRandom().getrandbits(32) if seed is None else seed
    run_folder = Path(tempfile.mkdtemp(prefix="beamloom-soak-")) if folder is None else folder
    run_folder.mkdir(parents=True, exist_ok=True)
    package = None if former is None else former / "beamloom"
    options = SoakOptions(
        seed,
        duration,
        nodes,
        run_folder,
        frozenset(only),
        congests=congest,
        former_package=package,
    )
    result = asyncio.run(run_soak(options))
    _write(seed, run_folder, result)
    return ExitStatus.FAILED if result.violations else ExitStatus.SUCCESS


def _write(seed: int, folder: Path, result: SoakResult) -> None:
    write_line(f"seed {seed}: {len(result.faults)} faults; flows: {_counts(result.flows)}")
    kinds = Counter(fault.split()[1] for fault in result.faults)
    write_line(f"kinds: {_counts(kinds)}")
    write_line(f"checked: {_counts(result.counters)}")
    if not result.violations:
        write_line("no violations")
        return
    write_line(f"faults: {', '.join(result.faults)}")
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        write_line(f"{violation.at:.1f} {violation.rule}: {violation.detail}")
    for line in islice(lines_of_violations(result.violations, folder), SHOWN_LINES):
        write_line(line)
    write_line(f"{len(result.violations)} violations in total; logs are in {folder}")


def _counts(counter: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counter.items()))
