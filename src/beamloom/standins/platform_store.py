"""Sans-I/O model of the platform's object store, used by the HTTP stand-in and the simulator.

Each change increments the revision of the store, and the changed object carries the new revision.
Returned objects are shared; callers must not modify them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from copy import deepcopy
from itertools import islice
from random import Random
from typing import Any

from beamloom.object_api.errors import (
    StoreConflictError,
    StoreUnavailableError,
    TooManyReadersError,
    WatchGoneError,
)
from beamloom.object_api.wire import ChangeBatch, ObjectListing, ObjectReading
from beamloom.protocol.commands import ListStore, ReadObject, WriteObject
from beamloom.protocol.events import (
    Event,
    StoreConflict,
    StoredObject,
    StoreFailed,
    StoreListed,
    StoreObjectRead,
    StoreWritten,
)
from beamloom.standins.platform_faults import FaultDecision, FaultPlan, StoreFaults
from beamloom.standins.platform_machines import MachineDirectory

DEFAULT_HISTORY_LIMIT = 10_000
DEFAULT_WATCH_LIMIT = 8
WATCH_RETRY_AFTER_SECONDS = 1.0


class StoreWatch:
    """One open watch; changes up to `revision` have been delivered."""

    def __init__(self, revision: int, prefix: str) -> None:
        self.revision = revision
        self.prefix = prefix


class PlatformStore:
    """Objects with revisions, conditional writes, bounded history, watches and faults."""

    def __init__(
        self,
        rng: Random,
        *,
        history_limit: int = DEFAULT_HISTORY_LIMIT,
        watch_limit: int = DEFAULT_WATCH_LIMIT,
        machines: MachineDirectory | None = None,
    ) -> None:
        self.faults = StoreFaults(rng)
        self.machines = machines or MachineDirectory()
        self._watch_limit = watch_limit
        self._objects: dict[str, StoredObject] = {}
        self._history: deque[StoredObject] = deque(maxlen=history_limit)
        self._revision = 0
        self._watches: set[StoreWatch] = set()
        self._listeners: list[Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """The revision of the latest change; 0 before the first."""
        return self._revision

    @property
    def watch_count(self) -> int:
        """How many watches are open."""
        return len(self._watches)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of an object or of the fault plan."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Remove a listener added with `add_listener`."""
        self._listeners.remove(listener)

    def inject(self, plan: FaultPlan) -> None:
        """Replace the fault plan."""
        self.faults.inject(plan)
        self._notify()

    def list_objects(self, prefix: str = "") -> ObjectListing:
        """Return the objects whose keys start with `prefix`."""
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return ObjectListing(self._revision, tuple(self._objects[key] for key in keys))

    def read(self, key: str) -> ObjectReading:
        """Return one object, None if it does not exist, and the store's revision."""
        return ObjectReading(self._revision, self._objects.get(key))

    def write(self, key: str, value: dict[str, Any] | None, expected_revision: int) -> StoredObject:
        """Write, create (`expected_revision` 0) or delete (`value` None) one object.

        Raises StoreConflictError with the current object if its revision differs, and when asked to
        delete an object that does not exist.
        """
        current = self._objects.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise StoreConflictError(key, current)
        if current is None and value is None:
            raise StoreConflictError(key, None)
        self._revision += 1
        created = current.created_revision if current else self._revision
        stored = StoredObject(key, deepcopy(value), self._revision, created)
        self._record(stored)
        return stored

    def open_watch(self, revision: int, prefix: str = "") -> StoreWatch:
        """Open a watch for the changes after `revision`.

        Raises StoreUnavailableError, WatchGoneError (list again) or TooManyReadersError.
        """
        self._raise_if_down()
        self._check_history(revision)
        if len(self._watches) >= self._watch_limit:
            raise TooManyReadersError(WATCH_RETRY_AFTER_SECONDS)
        watch = StoreWatch(revision, prefix)
        self._watches.add(watch)
        return watch

    def take_changes(self, watch: StoreWatch) -> ChangeBatch:
        """Return the changes since the last call, possibly none.

        Raises StoreUnavailableError while the store is down, and WatchGoneError when the history
        no longer reaches back to the watch's revision.
        """
        self._raise_if_down()
        self._check_history(watch.revision)
        newest_changes = islice(reversed(self._history), self._revision - watch.revision)
        pending = reversed(tuple(newest_changes))
        changes = tuple(change for change in pending if change.key.startswith(watch.prefix))
        watch.revision = self._revision
        return ChangeBatch(self._revision, changes)

    def close_watch(self, watch: StoreWatch) -> None:
        """Close a watch; closing it twice is harmless."""
        self._watches.discard(watch)

    def answer(
        self, command: ListStore | ReadObject | WriteObject, decision: FaultDecision
    ) -> Event:
        """Execute a command of the decision core under `decision`; returns the resulting event.

        The caller gets the decision from `faults.decide` and waits for its delay before this call.
        """
        if decision.unavailable:
            return StoreFailed(command.request_id, str(StoreUnavailableError("injected fault")))
        event = self._run(command)
        if decision.lose_answer:
            return StoreFailed(command.request_id, "the answer was lost; read the object back")
        return event

    def _run(self, command: ListStore | ReadObject | WriteObject) -> Event:
        if isinstance(command, ListStore):
            listing = self.list_objects()
            return StoreListed(command.request_id, listing.revision, listing.objects)
        if isinstance(command, ReadObject):
            return StoreObjectRead(command.request_id, self.read(command.key).found)
        try:
            stored = self.write(command.key, command.value, command.expected_revision)
        except StoreConflictError as error:
            return StoreConflict(command.request_id, error.current)
        return StoreWritten(command.request_id, stored.revision)

    def _record(self, stored: StoredObject) -> None:
        if stored.value is None:
            del self._objects[stored.key]
        else:
            self._objects[stored.key] = stored
        self._history.append(stored)
        self._notify()

    def _raise_if_down(self) -> None:
        if self.faults.plan.down:
            raise StoreUnavailableError("injected fault")

    def _check_history(self, revision: int) -> None:
        oldest = self._revision - len(self._history)
        if not oldest <= revision <= self._revision:
            raise WatchGoneError(revision)

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()
