"""`beamloom fuzz`: stateful fuzzing that goes on where CI stops, and replay of what it found."""

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
    """Search for steps that break what must hold, shrink them and print how to replay them.

    The exit status is 1 when a failure was found, or came again when replayed.

    Parameters
    ----------
    seed
        Where the search begins; each round takes the next number.
    budget
        Seconds to search; a failure is then shrunk for up to three quarters as long again.
    machine
        What is searched.
    replay
        A token that an earlier search printed: runs just these steps, without hypothesis.

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
        write_line("nothing found")
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
    """Write a failure, its steps and the command line that replays it."""
    write_line(f"{failure.subject} failed: {failure.error}")
    for number, step in enumerate(failure.steps, start=1):
        write_line(f"  {number}. {step}")
    write_line(f"replay: beamloom fuzz --replay {failure.token}")
