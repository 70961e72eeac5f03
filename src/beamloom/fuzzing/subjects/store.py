"""Checks the outcomes of operators' writes under store faults against the store's changes."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from beamloom.fuzzing.errors import InvariantViolationError
from beamloom.object_api.errors import ObjectNotFoundError, PlatformError
from beamloom.object_api.operator import AcceptedWrite, OperatorWriter, WriteUnresolvedError
from beamloom.object_api.retry import Retrier, RetryPolicy
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.coroutines import run_coroutine, sleep
from beamloom.simulation.operators import SimulatedStoreClient
from beamloom.standins.platform_faults import FaultPlan
from beamloom.standins.platform_store import PlatformStore

KEYS = ("tenant/a", "tenant/b")
MARK = "mark"
"""The field that holds the number of the write, for the oracle."""
SETTLE_SECONDS = 120.0
"""Virtual time for writes in progress to end after the last step."""
Value = dict[str, Any]


@dataclass(slots=True)
class _Write:
    """One operator's write and its outcome; `refused` is the error of any write that failed."""

    number: int
    key: str
    deletes: bool
    accepted: AcceptedWrite | None = None
    refused: Exception | None = None


@dataclass(slots=True)
class _History:
    """Changes of the store in order as (revision, key, mark), recorded by a listener."""

    changes: list[tuple[int, str, int | None]] = field(default_factory=list)

    def revisions_of(self, number: int) -> list[int]:
        """Return the revisions at which a write took effect.

        A deletion first rewrites the object with its own operation id and keeps the mark of the
        earlier write. So a change counts only if the object had another mark before it.
        """
        current_marks: dict[str, int | None] = {}
        found = []
        for revision, key, mark in self.changes:
            if mark == number and current_marks.get(key) != number:
                found.append(revision)
            current_marks[key] = mark
        return found


class StoreSubject:
    """Operators write concurrently while the store is down, slow or loses answers."""

    def __init__(self) -> None:
        self._clock = VirtualClock()
        self._store = PlatformStore(random.Random(1))
        rng = random.Random(2)
        client = SimulatedStoreClient(self._store)
        self._writer = OperatorWriter(client, rng, Retrier(RetryPolicy(), rng, sleep))
        self._writes: list[_Write] = []
        self._history = _History()
        self._known_revision = 0
        self._present: set[str] = set()
        self._store.add_listener(self._store_changed)

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """Writes of operators, faults of the store, and the passing of time."""
        return {
            "create": partial(self._begin, "create"),
            "update": partial(self._begin, "update"),
            "delete": partial(self._begin, "delete"),
            "inject": self._inject,
            "let_time_pass": self._let_time_pass,
        }

    def finish(self) -> None:
        """End all faults, wait, and check that every write was accepted or refused."""
        self._store.inject(FaultPlan())
        self._let_time_pass(SETTLE_SECONDS)
        for write in self._writes:
            if write.accepted is None and write.refused is None:
                raise InvariantViolationError(f"write {write.number} of {write.key} did not end")

    def _begin(self, kind: str, key: int) -> None:
        write = _Write(len(self._writes), KEYS[key % len(KEYS)], kind == "delete")
        self._writes.append(write)
        value = {MARK: write.number}
        if kind == "create":
            coroutine = self._writer.create_object(write.key, value)
        elif kind == "update":
            coroutine = self._writer.update_object(write.key, lambda old: {**old, **value})
        else:
            coroutine = self._writer.delete_object(write.key)
        run_coroutine(
            self._clock,
            coroutine,
            partial(setattr, write, "accepted"),
            partial(setattr, write, "refused"),
        )

    def _inject(self, down: bool, delay: float, lost_answers: int) -> None:
        self._store.inject(FaultPlan(down=down, delay_seconds=delay, lost_answers=lost_answers))

    def _let_time_pass(self, seconds: float) -> None:
        self._clock.run_until(self._clock.now + seconds)
        for write in self._writes:
            self._check(write)

    def _store_changed(self) -> None:
        objects = {item.key: item for item in self._store.list_objects().objects}
        revision = self._store.revision
        if revision == self._known_revision:
            return
        self._known_revision = revision
        for key in self._present - objects.keys():
            self._history.changes.append((revision, key, None))
        for key, item in objects.items():
            if item.revision == revision:
                self._history.changes.append((revision, key, (item.value or {}).get(MARK)))
        self._present = set(objects)

    def _check(self, write: _Write) -> None:
        if isinstance(write.refused, Exception) and not isinstance(write.refused, PlatformError):
            raise write.refused
        if write.deletes:
            self._check_deletion(write)
            return
        revisions = self._history.revisions_of(write.number)
        accepted = write.accepted
        if len(revisions) > 1:
            raise InvariantViolationError(f"write {write.number} took effect at {revisions}")
        if accepted is not None and revisions != [accepted.revision]:
            detail = f"reported revision {accepted.revision}, but it took effect at {revisions}"
            raise InvariantViolationError(f"write {write.number} was accepted: {detail}")
        unresolved = isinstance(write.refused, WriteUnresolvedError)
        if write.refused is not None and not unresolved and revisions:
            detail = f"{type(write.refused).__name__}, but it took effect at {revisions}"
            raise InvariantViolationError(f"write {write.number} was refused with {detail}")

    def _check_deletion(self, write: _Write) -> None:
        """Check that an accepted deletion is in the history."""
        if write.accepted is not None:
            change = (write.accepted.revision, write.key, None)
            if change not in self._history.changes:
                raise InvariantViolationError(
                    f"deletion {write.number} is not in the history: {change}"
                )
        elif isinstance(write.refused, ObjectNotFoundError):
            return
