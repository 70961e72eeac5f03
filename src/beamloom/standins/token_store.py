"""Sans-I/O model of the platform's store: objects by kind, with one revision counter for all.

Contents are opaque here; platform/store_encoding.py encodes them.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

DEFAULT_PAGE_SIZE = 500
HISTORY_LIMIT = 10_000


class ConflictError(Exception):
    """An object of this name already exists; read it before the next attempt."""


class NoSuchObjectError(Exception):
    """No object has this name; create it first."""


class HistoryGoneError(Exception):
    """The history does not cover the changes after this revision; list the objects again."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `revision` is that of its last change."""

    name: str
    revision: int
    created_revision: int
    content: object


@dataclass(frozen=True, slots=True)
class StoredChange:
    """One change in the history; `gone` is true if the object was removed.

    `before` is the object before the change, None if it did not exist.
    """

    revision: int
    gone: bool
    stored: StoredObject
    before: StoredObject | None


class StoreCopy(NamedTuple):
    """A snapshot of the store at a revision: objects by kind and name."""

    revision: int
    objects: Mapping[str, Mapping[str, StoredObject]]


class TokenStore:
    """All objects; each change increments `revision`.

    Each restore from a copy increments `era`; only a restore loses acknowledged changes. Stale
    reads are `stale_read_lag` revisions old, within the limits of the history.
    """

    def __init__(self, page_size: int = DEFAULT_PAGE_SIZE) -> None:
        self.revision = 0
        self.era = 1
        self.stale_read_lag = 0
        self._page_size = page_size
        self._objects: dict[str, dict[str, StoredObject]] = defaultdict(dict)
        self._history: dict[str, list[StoredChange]] = defaultdict(list)
        self._history_start = 0

    def read(self, kind: str, name: str) -> StoredObject:
        """Return one object; raises NoSuchObjectError if it does not exist."""
        stored = self._objects[kind].get(name)
        if stored is None:
            raise NoSuchObjectError(f"{kind}/{name} does not exist")
        return stored

    def page(self, kind: str, after: str) -> tuple[list[StoredObject], bool]:
        """Return a page of the objects whose names sort after `after`, and whether more follow."""
        return self._page_of(self._objects[kind], after)

    def stale_page(self, kind: str, after: str) -> tuple[list[StoredObject], bool, int]:
        """Return a page as of `stale_read_lag` revisions ago, and the revision of the page."""
        revision = max(self._history_start, self.revision - self.stale_read_lag)
        return *self._page_of(self._objects_at(kind, revision), after), revision

    def _objects_at(self, kind: str, revision: int) -> dict[str, StoredObject]:
        objects = dict(self._objects[kind])
        for change in reversed(self._history[kind]):
            if change.revision <= revision:
                break
            objects.pop(change.stored.name, None)
            if change.before is not None:
                objects[change.before.name] = change.before
        return objects

    def _page_of(
        self, objects: dict[str, StoredObject], after: str
    ) -> tuple[list[StoredObject], bool]:
        names = sorted(name for name in objects if name > after)
        page_names = names[: self._page_size]
        return [objects[name] for name in page_names], len(names) > len(page_names)

    def changes_after(self, kind: str, revision: int) -> list[StoredChange]:
        """Return the changes of a kind after a revision.

        Raises HistoryGoneError for a revision that is older than the history or newer than the
        store, as clients can hold one after a restore.
        """
        if not self._history_start <= revision <= self.revision:
            raise HistoryGoneError(
                f"{revision} is outside the history from {self._history_start} to {self.revision}"
            )
        return [change for change in self._history[kind] if change.revision > revision]

    def create(self, kind: str, name: str, content: object) -> StoredObject:
        """Create an object; raises ConflictError if the name exists."""
        if name in self._objects[kind]:
            raise ConflictError(f"{kind}/{name} already exists")
        return self.put(kind, name, content)

    def put(self, kind: str, name: str, content: object) -> StoredObject:
        """Create or replace an object."""
        self.revision += 1
        before = self._objects[kind].get(name)
        created_revision = self.revision if before is None else before.created_revision
        stored = StoredObject(name, self.revision, created_revision, content)
        self._objects[kind][name] = stored
        self._record(kind, StoredChange(self.revision, False, stored, before))
        return stored

    def put_if_different(self, kind: str, name: str, content: object) -> bool:
        """Create or replace an object unless its content is equal; returns whether it wrote."""
        known = self._objects[kind].get(name)
        if known is not None and known.content == content:
            return False
        self.put(kind, name, content)
        return True

    def remove_if_present(self, kind: str, name: str) -> bool:
        """Remove an object if it exists; returns whether it did."""
        if name not in self._objects[kind]:
            return False
        self.remove(kind, name)
        return True

    def copy(self) -> StoreCopy:
        """Return a snapshot of the store."""
        objects = {kind: dict(objects) for kind, objects in self._objects.items()}
        return StoreCopy(self.revision, objects)

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy; later changes are lost and their revisions are assigned again.

        Watches can still start at revisions before the copy that the history covers.
        """
        self.era += 1
        self.revision = copy.revision
        self._objects.clear()
        for kind, objects in copy.objects.items():
            self._objects[kind].update(objects)
        for history in self._history.values():
            history[:] = [change for change in history if change.revision <= copy.revision]
        self._history_start = min(self._history_start, copy.revision)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; raises NoSuchObjectError if it does not exist."""
        stored = self.read(kind, name)
        self.revision += 1
        del self._objects[kind][name]
        self._record(kind, StoredChange(self.revision, True, stored, stored))

    def forget_history(self) -> None:
        """Compact the history; watches from earlier revisions raise HistoryGoneError."""
        self._history_start = self.revision
        self._history.clear()

    def _record(self, kind: str, change: StoredChange) -> None:
        history = self._history[kind]
        history.append(change)
        if len(history) > HISTORY_LIMIT:
            self._history_start = max(self._history_start, history.pop(0).revision)
