"""The platform's store for trials, without I/O: objects by kind, one counter of revisions.

Contents are opaque here; platform/store_encoding.py gives them their form.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

DEFAULT_PAGE_SIZE = 500
DEFAULT_HISTORY = 10_000


class ConflictError(Exception):
    """The object is there already, or at another revision; read it again and decide anew."""


class NoSuchObjectError(Exception):
    """There is no object of this name; create it first."""


class HistoryGoneError(Exception):
    """The changes after this revision are forgotten; list the objects again."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `revision` is that of its last change, `made` that of its creation."""

    name: str
    revision: int
    made: int
    content: object


@dataclass(frozen=True, slots=True)
class StoredChange:
    """One change in the history; `gone` where the object was removed."""

    revision: int
    gone: bool
    stored: StoredObject


class TokenStore:
    """All objects; each change raises `revision` by one."""

    def __init__(self, page_size: int = DEFAULT_PAGE_SIZE) -> None:
        self.revision = 0
        self._page_size = page_size
        self._objects: dict[str, dict[str, StoredObject]] = defaultdict(dict)
        self._history: dict[str, list[StoredChange]] = defaultdict(list)
        self._floor = 0

    def read(self, kind: str, name: str) -> StoredObject:
        """Return one object; raises NoSuchObjectError."""
        stored = self._objects[kind].get(name)
        if stored is None:
            raise NoSuchObjectError(f"{kind}/{name}")
        return stored

    def page(self, kind: str, after: str) -> tuple[list[StoredObject], bool]:
        """Return the objects whose names follow `after`, and whether there are more."""
        names = sorted(name for name in self._objects[kind] if name > after)
        wanted = names[: self._page_size]
        return [self._objects[kind][name] for name in wanted], len(names) > len(wanted)

    def changes_after(self, kind: str, revision: int) -> list[StoredChange]:
        """Return the changes of a kind after a revision; raises HistoryGoneError."""
        if revision < self._floor:
            raise HistoryGoneError(f"{revision} is before {self._floor}")
        return [change for change in self._history[kind] if change.revision > revision]

    def create(self, kind: str, name: str, content: object) -> StoredObject:
        """Make an object; raises ConflictError where there is one of this name."""
        if name in self._objects[kind]:
            raise ConflictError(f"{kind}/{name} is there")
        return self.put(kind, name, content)

    def put(self, kind: str, name: str, content: object) -> StoredObject:
        """Make or replace an object."""
        self.revision += 1
        before = self._objects[kind].get(name)
        made = self.revision if before is None else before.made
        stored = StoredObject(name, self.revision, made, content)
        self._objects[kind][name] = stored
        self._note(kind, StoredChange(self.revision, False, stored))
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; raises NoSuchObjectError."""
        stored = self.read(kind, name)
        self.revision += 1
        del self._objects[kind][name]
        self._note(kind, StoredChange(self.revision, True, stored))

    def forget_history(self) -> None:
        """Compact: watches from before now will be told that their history is gone."""
        self._floor = self.revision
        self._history.clear()

    def _note(self, kind: str, change: StoredChange) -> None:
        history = self._history[kind]
        history.append(change)
        if len(history) > DEFAULT_HISTORY:
            self._floor = max(self._floor, history.pop(0).revision)
