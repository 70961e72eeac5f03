"""`beamloom soak`: real token nodes under faults drawn by chance."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from cyclopts.validators import Number

from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_line
from beamloom.soak.run import SoakOptions, SoakResult, run_soak

MAXIMUM_NODES = 60
MAXIMUM_SECONDS = 3600.0
SHOWN_VIOLATIONS = 10


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
) -> ExitStatus:
    """Run token nodes as processes, let faults strike, and check promises from outside.

    The store, the proxies before it, endpoints, routers and clients are stand-ins on loopback
    addresses. The seed decides which faults strike and when; how processes run is not repeated
    exactly. Exit status 1: a promise was broken; the seed and the folder of logs are printed.

    Parameters
    ----------
    seed
        Left out, a fresh one is drawn.
    duration
        Seconds of traffic.
    nodes
        How many nodes run.
    folder
        Where settings and logs are kept; left out, a temporary folder that stays on failure.
    only
        Names of faults: no others strike, beside planned changes.

    """
    seed = random.SystemRandom().getrandbits(32) if seed is None else seed
    place = Path(tempfile.mkdtemp(prefix="beamloom-soak-")) if folder is None else folder
    place.mkdir(parents=True, exist_ok=True)
    options = SoakOptions(seed, duration, nodes, place, frozenset(only))
    result = asyncio.run(run_soak(options))
    _write(seed, place, result)
    return ExitStatus.FAILED if result.violations else ExitStatus.SUCCESS


def _write(seed: int, folder: Path, result: SoakResult) -> None:
    write_line(f"seed {seed}: {len(result.faults)} faults; flows: {_counts(result.flows)}")
    kinds = Counter(fault.split()[1] for fault in result.faults)
    write_line(f"kinds: {_counts(kinds)}")
    write_line(f"judged: {_counts(result.counters)}")
    if not result.violations:
        write_line("no promise was broken")
        return
    write_line(f"struck: {', '.join(result.faults)}")
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        write_line(f"{violation.at:.1f} {violation.rule}: {violation.detail}")
    write_line(f"{len(result.violations)} broken in all; logs are in {folder}")


def _counts(counter: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counter.items()))
