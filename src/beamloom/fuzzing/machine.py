"""Builds hypothesis state machines from the actions of a subject, and records failing runs."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Any, ClassVar

from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from beamloom.fuzzing.steps import Failure, Step, SubjectFactory, describe_error
from beamloom.fuzzing.strategies import BEGIN, Actions

UNLIMITED_RUNS = 1_000_000


class BudgetExhausted(BaseException):
    """Ends a search; not an `Exception`, so hypothesis does not treat it as a failed run."""


class Recorder:
    """Counts the runs of a search, keeps the shortest failing one and enforces the limits.

    `deadline` is a time of `clock`; without it, time is not limited. `shrink_runs` limits the runs
    that follow the first failure, `shrink_seconds` their time if there is a deadline.
    """

    def __init__(
        self,
        subject_name: str,
        make_subject: SubjectFactory,
        deadline: float | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.subject_name = subject_name
        self.make_subject = make_subject
        self.deadline = deadline
        self.shrink_seconds = 0.0
        self.shrink_runs = UNLIMITED_RUNS
        self.runs = 0
        self.budget_exhausted = False
        self.shortest: Failure | None = None
        self._clock = clock

    def begin_run(self) -> None:
        """Count a run; raises BudgetExhausted after the deadline or the last run for shrinking."""
        self.check_budget()
        self.runs += 1
        if self.shortest is not None:
            self.shrink_runs -= 1
            if self.shrink_runs < 0:
                self._end_search()

    def check_budget(self) -> None:
        """Raise BudgetExhausted when the deadline has passed."""
        if self.deadline is not None and self._clock() >= self.deadline:
            self._end_search()

    def _end_search(self) -> None:
        self.budget_exhausted = True
        raise BudgetExhausted

    def record(self, steps: list[Step], error: Exception) -> None:
        """Keep a failing run unless an earlier one is shorter.

        The first one moves the deadline to `shrink_seconds` from now.
        """
        if self.shortest is None and self.deadline is not None:
            self.deadline = self._clock() + self.shrink_seconds
        failure = Failure(self.subject_name, tuple(steps), describe_error(error))
        if self.shortest is None or _size(failure) <= _size(self.shortest):
            self.shortest = failure


def _size(failure: Failure) -> tuple[int, int]:
    return len(failure.steps), len(failure.token)


class SubjectMachine(RuleBasedStateMachine):
    """One run: a new subject and the steps executed on it so far."""

    recorder: ClassVar[Recorder]

    def __init__(self) -> None:
        super().__init__()
        self.recorder.begin_run()
        self._subject = self.recorder.make_subject()
        self._steps: list[Step] = []
        self._failed = False

    def execute(self, action: str, arguments: Mapping[str, Any]) -> None:
        """Execute one step."""
        self.recorder.check_budget()
        self._steps.append(Step(action, dict(arguments)))
        self._run_and_record(lambda: self._subject.actions[action](**arguments))

    def teardown(self) -> None:
        """Finish the subject, unless a step failed; an error fails the run."""
        if not self._failed:
            self._run_and_record(self._subject.finish)

    def _run_and_record(self, call: Callable[[], object]) -> None:
        try:
            call()
        except Exception as error:
            self._failed = True
            self.recorder.record(self._steps, error)
            raise


def make_machine(recorder: Recorder, actions: Actions) -> type[SubjectMachine]:
    """Return a state machine with one rule for each action; `BEGIN` becomes its initial rule."""
    namespace: dict[str, Any] = {"recorder": recorder}
    for action, arguments in actions.items():
        drawn: dict[str, Any] = dict(arguments)
        decorate: Any = initialize if action == BEGIN else rule
        namespace[action] = decorate(**drawn)(_make_rule(action))
    return type("FuzzingMachine", (SubjectMachine,), namespace)


def _make_rule(action: str) -> Callable[..., None]:
    def run(self: SubjectMachine, **arguments: object) -> None:
        self.execute(action, arguments)

    run.__name__ = run.__qualname__ = action
    return run
