"""`beamloom fuzz`: stateful fuzzing for a given time, and replay of the failures found."""

from __future__ import annotations

from importlib.util import find_spec
from typing import TYPE_CHECKING, Annotated

from cyclopts import App, Parameter
from cyclopts.validators import Number

from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_line
from beamloom.fuzzing.catalogue import SubjectName, replay
from beamloom.fuzzing.errors import HypothesisMissingError

if TYPE_CHECKING:
    from beamloom.fuzzing.steps import Failure

DEFAULT_BUDGET = 60.0


def register(app: App) -> None:
    """Add the command."""
    app.command(fuzz)


def fuzz(
    *,
    seed: Annotated[int, Parameter(validator=Number(gte=0))] = 1,
    budget: Annotated[float, Parameter(validator=Number(gt=0))] = DEFAULT_BUDGET,
    machine: SubjectName = SubjectName.FLEET,
    replay: str = "",
) -> int:
    """Search for steps that violate an invariant, shrink them and print how to replay them.

    Exit status: 1 when a failure was found or, with --replay, reproduced.

    Parameters
    ----------
    seed
        Seed of the first round; each further round uses the next number.
    budget
        Seconds to search; shrinking a failure then takes up to three quarters of that time more.
    machine
        The subject to fuzz.
    replay
        A token printed by an earlier search; only its steps run, without hypothesis.

    """
    if replay:
        return _replay(replay)
    return _search(machine, seed, budget)


def _search(machine: SubjectName, seed: int, budget: float) -> int:
    if find_spec("hypothesis") is None:
        raise HypothesisMissingError
    from beamloom.fuzzing.search import search

    result = search(machine, seed, budget)
    write_line(f"{machine}: {result.runs} runs in {result.rounds} rounds from seed {seed}")
    if result.failure is None:
        write_line("no failure found")
        return ExitStatus.SUCCESS
    write_failure(result.failure)
    return ExitStatus.FAILED


def _replay(token: str) -> int:
    failure = replay(token)
    if failure is None:
        write_line("the steps pass")
        return ExitStatus.SUCCESS
    write_failure(failure)
    return ExitStatus.FAILED


def write_failure(failure: Failure) -> None:
    """Print a failure, its steps and the command line that replays it."""
    write_line(f"{failure.subject} failed: {failure.error}")
    for number, step in enumerate(failure.steps, start=1):
        write_line(f"  {number}. {step}")
    write_line(f"replay: beamloom fuzz --replay {failure.token}")
