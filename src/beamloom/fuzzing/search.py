"""Searches with hypothesis for steps that make a subject fail."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import hypothesis
from hypothesis import HealthCheck, Phase, Verbosity
from hypothesis.stateful import get_state_machine_test

from beamloom.fuzzing.catalogue import SUBJECTS, SubjectName
from beamloom.fuzzing.machine import UNLIMITED_RUNS, BudgetExhausted, Recorder, make_machine
from beamloom.fuzzing.shortening import shorten
from beamloom.fuzzing.steps import Failure, SubjectFactory
from beamloom.fuzzing.strategies import STRATEGIES

SHRINK_FRACTION = 0.25
"""Time for hypothesis to shrink a failure, as a fraction of the search's budget."""
SHORTEN_FRACTION = 0.5
"""Time for `shorten` after that, as a fraction of the search's budget."""


@dataclass(frozen=True, slots=True)
class SearchSize:
    """Limits of one round: its runs, the steps of a run, and the runs for shrinking a failure."""

    runs: int
    steps: int
    shrink_runs: int = UNLIMITED_RUNS


SIZES: dict[SubjectName, SearchSize] = {
    SubjectName.FLEET: SearchSize(10, 20),
    SubjectName.SETTINGS: SearchSize(100, 30),
    SubjectName.STORE: SearchSize(100, 30),
    SubjectName.FLOW_TABLE: SearchSize(100, 50),
    SubjectName.TOKEN_ROUTER: SearchSize(200, 50),
    SubjectName.CODEC: SearchSize(200, 50),
}


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The numbers of rounds and runs of a search, and the shortest failing run if there is one."""

    rounds: int
    runs: int
    failure: Failure | None


def search(
    name: SubjectName,
    seed: int,
    budget_seconds: float,
    make_subject: SubjectFactory | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> SearchResult:
    """Search in rounds until the budget is used up or a failure is found and shrunk.

    Each round takes the next seed. Shrinking and shortening a failure may exceed the budget by
    SHRINK_FRACTION and SHORTEN_FRACTION of it. `make_subject` replaces the factory in `SUBJECTS`.
    """
    deadline = clock() + budget_seconds
    recorder = Recorder(name, make_subject or SUBJECTS[name], deadline, clock)
    rounds = 0
    while recorder.shortest is None and clock() < deadline:
        _run_round(recorder, seed + rounds, SIZES[name], budget_seconds * SHRINK_FRACTION)
        rounds += 1
    shortest = recorder.shortest
    if shortest is not None:
        end = clock() + budget_seconds * SHORTEN_FRACTION
        shortest = shorten(shortest, recorder.make_subject, lambda: clock() >= end)
    return SearchResult(rounds, recorder.runs, shortest)


def search_fixed(
    name: SubjectName, size: SearchSize, make_subject: SubjectFactory | None = None
) -> SearchResult:
    """Search one round with a fixed seed and without time limits, so that it is reproducible."""
    recorder = Recorder(name, make_subject or SUBJECTS[name])
    _run_round(recorder, 0, size, 0.0)
    return SearchResult(1, recorder.runs, recorder.shortest)


def _run_round(recorder: Recorder, seed: int, size: SearchSize, shrink_seconds: float) -> None:
    recorder.shrink_seconds = shrink_seconds
    recorder.shrink_runs = size.shrink_runs
    machine = make_machine(recorder, STRATEGIES[SubjectName(recorder.subject_name)])
    settings = hypothesis.settings(
        max_examples=size.runs,
        stateful_step_count=size.steps,
        derandomize=recorder.deadline is None,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
        print_blob=False,
        verbosity=Verbosity.quiet,
    )
    run = hypothesis.seed(seed)(get_state_machine_test(machine, settings=settings))
    try:
        run()
    except BudgetExhausted:
        return
    except Exception:
        if recorder.shortest is None and not recorder.budget_exhausted:
            raise
