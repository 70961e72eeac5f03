"""Dropping steps that a failure does not need.

Hypothesis shrinks the draws, which takes many runs; where a run takes seconds, leaving out one
step at a time makes more of the same time. Source: Zeller and Hildebrandt, "Simplifying and
isolating failure-inducing input" (2002), with single steps only.
"""

from __future__ import annotations

from collections.abc import Callable

from beamloom.fuzzing.steps import Failure, SubjectFactory, run_steps

FIRST_DROPPABLE = 1
"""The first step stays: where a subject has to begin, that is how."""
ERROR_WORDS = 2
"""How many words of an error's text tell its kind: the type and the broken promise."""


def shorten(
    failure: Failure, make_subject: SubjectFactory, out_of_time: Callable[[], bool]
) -> Failure:
    """Return a failure of the same kind without steps that can be left out, the last tried first.

    Stops early when `out_of_time` says so, which is asked before each run.
    """
    shortest = failure
    index = len(failure.steps) - 1
    while index >= FIRST_DROPPABLE and not out_of_time():
        steps = shortest.steps[:index] + shortest.steps[index + 1 :]
        found = run_steps(failure.subject, make_subject, steps)
        if found is not None and _kind(found) == _kind(failure):
            shortest = found
        index = min(index, len(shortest.steps)) - 1
    return shortest


def _kind(failure: Failure) -> list[str]:
    return failure.error.split()[:ERROR_WORDS]
