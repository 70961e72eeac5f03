"""`beamloom simulate`: run one scenario on the virtual clock and check its invariants."""

from __future__ import annotations

import sys
from typing import Annotated, Literal

from cyclopts import App, Parameter
from cyclopts.validators import Number
from rich.console import Console

from beamloom.cli.exit_status import ExitStatus
from beamloom.simulation.baselines import Placement, core_factory
from beamloom.simulation.report import to_json, to_table
from beamloom.simulation.scenarios import SCENARIOS
from beamloom.simulation.simulation import RunOptions
from beamloom.simulation.simulation import simulate as run_simulation

MAXIMUM_NODES = 250
MAXIMUM_FLOWS = 1_000_000


def register(app: App) -> None:
    """Add the command."""
    app.command(simulate)


def _check_scenario(_: type, name: str) -> None:
    if name not in SCENARIOS:
        raise ValueError(f"unknown scenario {name!r}; give one of {', '.join(SCENARIOS)}")


def simulate(
    scenario: Annotated[str, Parameter(validator=_check_scenario)],
    /,
    *,
    seed: int = 1,
    nodes: Annotated[int, Parameter(validator=Number(gte=1, lte=MAXIMUM_NODES))] = 6,
    flows: Annotated[int, Parameter(validator=Number(gte=0, lte=MAXIMUM_FLOWS))] = 500,
    duration: Annotated[float, Parameter(validator=Number(gte=0))] = 0.0,
    placement: Placement = Placement.HOME,
    output_format: Annotated[Literal["table", "json"], Parameter(name="--format")] = "table",
) -> int:
    """Run a fleet through a scenario on a virtual clock and check its invariants.

    The same options and seed give the same run. Exit status: 1 when an invariant was violated or a
    goal was missed.

    Parameters
    ----------
    scenario
        steady, rolling-replacement, backend-drain, cold-start, balancer-crash, double-crash,
        zone-loss, region-split, store-outage, lost-answer, racing-operators, paused-lease,
        lying-load, noisy-tenant, upgrade or storm.
    seed
        Seed of all random draws of the run.
    nodes
        Number of balancers at the start.
    flows
        Number of long flows; single requests are sent as well.
    duration
        Virtual seconds; 0 selects the scenario's default.
    placement
        home is the product's placement; rendezvous and modulo are baselines without shared state.
    output_format
        A table, or one line of JSON for programs.

    """
    options = RunOptions(
        seed=seed,
        nodes=nodes,
        flows=flows,
        duration=duration,
        placement=placement.value,
        core_factory=core_factory(placement),
    )
    result = run_simulation(SCENARIOS[scenario], options)
    if output_format == "json":
        sys.stdout.write(to_json(result) + "\n")
    else:
        Console().print(to_table(result))
    return ExitStatus.SUCCESS if result.passed else ExitStatus.FAILED
