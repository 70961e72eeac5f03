"""Hypothesis state machines made of a subject's actions; every failing run is recorded."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Any, ClassVar

from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from beamloom.fuzzing.steps import Failure, Step, SubjectFactory, describe_error
from beamloom.fuzzing.strategies import BEGIN, Actions

UNLIMITED = 1_000_000


class BudgetSpent(BaseException):
    """Ends a search from inside; no `Exception`, so that hypothesis lets it through."""


class Recorder:
    """What a search has seen: how many runs, and the shortest failing one."""

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
        self.shrink_runs = UNLIMITED
        self.runs = 0
        self.spent = False
        self.shortest: Failure | None = None
        self._clock = clock

    def begin_run(self) -> None:
        """Count a run; raises BudgetSpent when the runs for shrinking are used up."""
        self.check_budget()
        self.runs += 1
        if self.shortest is not None:
            self.shrink_runs -= 1
            if self.shrink_runs < 0:
                self._end()

    def check_budget(self) -> None:
        """Raise BudgetSpent when the deadline has passed."""
        if self.deadline is not None and self._clock() >= self.deadline:
            self._end()

    def _end(self) -> None:
        self.spent = True
        raise BudgetSpent

    def record(self, steps: list[Step], error: Exception) -> None:
        """Keep a failing run when it is shorter than those before.

        From the first one on, `shrink_seconds` are left to shorten it.
        """
        if self.shortest is None and self.deadline is not None:
            self.deadline = self._clock() + self.shrink_seconds
        failure = Failure(self.subject_name, tuple(steps), describe_error(error))
        if self.shortest is None or _size(failure) <= _size(self.shortest):
            self.shortest = failure


def _size(failure: Failure) -> tuple[int, int]:
    return len(failure.steps), len(failure.token)


class SubjectMachine(RuleBasedStateMachine):
    """One run: a new subject and the steps done to it so far."""

    recorder: ClassVar[Recorder]

    def __init__(self) -> None:
        super().__init__()
        self.recorder.begin_run()
        self._subject = self.recorder.make_subject()
        self._steps: list[Step] = []
        self._failed = False

    def do(self, action: str, arguments: Mapping[str, Any]) -> None:
        """Carry out one step."""
        self.recorder.check_budget()
        self._steps.append(Step(action, dict(arguments)))
        self._guard(lambda: self._subject.actions[action](**arguments))

    def teardown(self) -> None:
        """End the run; what fails here fails the run."""
        if not self._failed:
            self._guard(self._subject.finish)

    def _guard(self, call: Callable[[], object]) -> None:
        try:
            call()
        except Exception as error:
            self._failed = True
            self.recorder.record(self._steps, error)
            raise


def make_machine(recorder: Recorder, actions: Actions) -> type[SubjectMachine]:
    """Return a state machine with one rule for each action."""
    namespace: dict[str, Any] = {"recorder": recorder}
    for action, arguments in actions.items():
        drawn: dict[str, Any] = dict(arguments)
        decorate: Any = initialize if action == BEGIN else rule
        namespace[action] = decorate(**drawn)(_make_rule(action))
    return type("FuzzingMachine", (SubjectMachine,), namespace)


def _make_rule(action: str) -> Callable[..., None]:
    def run(self: SubjectMachine, **arguments: object) -> None:
        self.do(action, arguments)

    run.__name__ = run.__qualname__ = action
    return run
