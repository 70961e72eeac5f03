"""`beamloom simulate-tokens`: token nodes on the virtual clock under random faults."""

from __future__ import annotations

from dataclasses import replace
from typing import Annotated

from cyclopts import App, Parameter
from cyclopts.validators import Number
from rich.console import Console
from rich.table import Table

from beamloom.cli.exit_status import ExitStatus
from beamloom.simulation.tokens.run import TokenRunOptions, TokenRunResult, run_tokens

MAXIMUM_NODES = 300
MAXIMUM_FAULTS = 1000
SHOWN_VIOLATIONS = 10


def register(app: App) -> None:
    """Add the command."""
    app.command(simulate_tokens)


def simulate_tokens(
    *,
    seed: int = 1,
    seeds: Annotated[int, Parameter(validator=Number(gte=1))] = 1,
    duration: Annotated[float, Parameter(validator=Number(gt=0))] = 60.0,
    faults: Annotated[int, Parameter(validator=Number(gte=0, lte=MAXIMUM_FAULTS))] = 12,
    nodes: Annotated[int, Parameter(validator=Number(gte=1, lte=MAXIMUM_NODES))] = 7,
    steady: bool = True,
    restores: Annotated[int, Parameter(validator=Number(gte=0, lte=MAXIMUM_FAULTS))] = 2,
    loss: Annotated[float, Parameter(validator=Number(gte=0, lte=1))] = 0.001,
    late: Annotated[float, Parameter(validator=Number(gte=0, lte=1))] = 0.001,
) -> int:
    """Simulate nodes that route by tokens under random faults, and check the invariants.

    The same options and seed give the same run. Exit status: 1 when an invariant was violated.

    Parameters
    ----------
    seed
        Seed of all random draws of the first run.
    seeds
        Number of runs, with consecutive seeds.
    duration
        Virtual seconds of traffic.
    faults
        Number of random faults per run, besides the restores.
    nodes
        Number of nodes at the start.
    steady
        When a node joins or leaves, routers move only its flows; with --no-steady nearly all.
    restores
        Number of times that the store is restored from an older copy.
    loss
        Probability that a packet is lost.
    late
        Probability that a datagram to a client or between nodes is delayed or arrives twice.

    """
    table = Table("seed", "done", "other outcomes", "answers", "store calls", "violations")
    options = TokenRunOptions(
        seed, duration, faults, nodes, steady, loss=loss, late=late, restores=restores
    )
    results = [
        (number, run_tokens(replace(options, seed=number))) for number in range(seed, seed + seeds)
    ]
    for number, result in results:
        _add_row(table, number, result)
    console = Console()
    console.print(table)
    failed = [(number, result) for number, result in results if result.violations]
    for number, result in failed:
        console.print(f"seed {number} faults: {', '.join(result.faults)}")
        for violation in result.violations[:SHOWN_VIOLATIONS]:
            console.print(f"  {violation.at:.2f} {violation.rule}: {violation.detail}")
    return ExitStatus.FAILED if failed else ExitStatus.SUCCESS


def _add_row(table: Table, seed: int, result: TokenRunResult) -> None:
    ends = {"done", "answers", "unfinished"}
    others = sum(count for name, count in result.flows.items() if name not in ends)
    table.add_row(
        str(seed),
        str(result.flows["done"]),
        str(others),
        str(result.flows["answers"]),
        str(result.store_calls),
        str(len(result.violations)),
    )
