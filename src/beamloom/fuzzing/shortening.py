"""Removes steps that a failure does not need.

Hypothesis shrinks drawn values, which takes many runs. If a run takes seconds, removing single
steps shortens a failure more in the same time. This is delta debugging restricted to single steps;
see Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input" (2002).
"""

from __future__ import annotations

from collections.abc import Callable

from beamloom.fuzzing.steps import Failure, SubjectFactory, run_steps

FIRST_REMOVABLE = 1
"""Index of the first removable step; step 0 may be `begin`, which must come first."""
KIND_WORDS = 2
"""Number of leading words that failures of one kind share: error type, first word of message."""


def shorten(
    failure: Failure, make_subject: SubjectFactory, out_of_time: Callable[[], bool]
) -> Failure:
    """Return a failure of the same kind without the steps that it does not need.

    Tries to remove each remaining step once, from the last to the second. Stops early if
    `out_of_time`, which is called before each run, returns True.
    """
    shortest = failure
    index = len(failure.steps) - 1
    while index >= FIRST_REMOVABLE and not out_of_time():
        steps = shortest.steps[:index] + shortest.steps[index + 1 :]
        found = run_steps(failure.subject, make_subject, steps)
        if found is not None and _kind(found) == _kind(failure):
            shortest = found
        index = min(index, len(shortest.steps)) - 1
    return shortest


def _kind(failure: Failure) -> list[str]:
    return failure.error.split()[:KIND_WORDS]
