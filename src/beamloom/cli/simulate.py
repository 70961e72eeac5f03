"""`beamloom simulate`: one scenario on the virtual clock, judged by the oracle."""

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
        raise ValueError(f"no scenario {name!r}; give one of {', '.join(SCENARIOS)}")


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
    """Run a fleet through a scenario on a virtual clock and check what must always hold.

    The same seed gives the same run to the byte. The exit status is 1 when something that must
    always hold was violated or a goal was missed.

    Parameters
    ----------
    scenario
        steady, rolling-replacement, backend-drain, cold-start, balancer-crash, double-crash,
        zone-loss, region-split, store-outage, lost-answer, racing-operators, paused-lease,
        lying-load, noisy-tenant, upgrade or storm.
    seed
        Decides every random draw of the run.
    nodes
        How many balancers the fleet begins with.
    flows
        How many long flows are opened; single requests come besides.
    duration
        Virtual seconds; 0 takes the scenario's own duration.
    placement
        home is the product; rendezvous and modulo are baselines without shared state.
    output_format
        A table for people or one line of JSON for programs.

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
