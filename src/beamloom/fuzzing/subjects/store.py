"""Operators' conditional writes under store faults against the store's own history."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from beamloom.fuzzing.errors import BrokenPromiseError
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
"""The field by which the oracle tells one write from another."""
QUIET_SECONDS = 120.0
"""How long the end of a run waits for writes in progress."""
Value = dict[str, Any]


@dataclass(slots=True)
class _Write:
    """One operator's write and what the operator was told."""

    number: int
    key: str
    deletes: bool
    accepted: AcceptedWrite | None = None
    refused: Exception | None = None


@dataclass(slots=True)
class _History:
    """Every change of the store in order, kept apart from the store's own."""

    marks: list[tuple[int, str, int | None]] = field(default_factory=list)

    def revisions_of(self, number: int) -> list[int]:
        """Return the revisions at which a write first took effect on an object.

        A deletion first writes its own id over the object, which keeps the mark of the write
        before: only a mark that the key did not show just before counts.
        """
        shown: dict[str, int | None] = {}
        found = []
        for revision, key, mark in self.marks:
            if mark == number and shown.get(key) != number:
                found.append(revision)
            shown[key] = mark
        return found


class StoreSubject:
    """Operators race while the store is down, slow or loses answers."""

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
        """What operators and the platform can do."""
        return {
            "create": partial(self._begin, "create"),
            "update": partial(self._begin, "update"),
            "delete": partial(self._begin, "delete"),
            "inject": self._inject,
            "let_time_pass": self._let_time_pass,
        }

    def finish(self) -> None:
        """End all faults, wait for every write and check that each operator was told."""
        self._store.inject(FaultPlan())
        self._let_time_pass(QUIET_SECONDS)
        for write in self._writes:
            if write.accepted is None and write.refused is None:
                raise BrokenPromiseError(f"write {write.number} of {write.key} never ended")

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
            self._history.marks.append((revision, key, None))
        for key, item in objects.items():
            if item.revision == revision:
                self._history.marks.append((revision, key, (item.value or {}).get(MARK)))
        self._present = set(objects)

    def _check(self, write: _Write) -> None:
        if isinstance(write.refused, Exception) and not isinstance(write.refused, PlatformError):
            raise write.refused
        if write.deletes:
            self._check_deletion(write)
            return
        revisions = self._history.revisions_of(write.number)
        told = write.accepted
        if len(revisions) > 1:
            raise BrokenPromiseError(f"write {write.number} took effect at {revisions}")
        if told is not None and revisions != [told.revision]:
            detail = f"told {told.revision}, took effect at {revisions}"
            raise BrokenPromiseError(f"write {write.number} was accepted: {detail}")
        unresolved = isinstance(write.refused, WriteUnresolvedError)
        if write.refused is not None and not unresolved and revisions:
            detail = f"{type(write.refused).__name__}, yet it took effect at {revisions}"
            raise BrokenPromiseError(f"write {write.number} was refused with {detail}")

    def _check_deletion(self, write: _Write) -> None:
        """Check that an accepted deletion is one in the history."""
        if write.accepted is not None:
            change = (write.accepted.revision, write.key, None)
            if change not in self._history.marks:
                raise BrokenPromiseError(f"deletion {write.number} is not in the history: {change}")
        elif isinstance(write.refused, ObjectNotFoundError):
            return
