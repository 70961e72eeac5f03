"""Following one kind of object in a store: list it once, then watch from the list's revision.

Without I/O: `next_request` says what to ask, the other methods take what came of it. After a lost
history (the store answers that the revision is gone) everything is listed again; what was believed
before stays in force meanwhile. Pauses after failures are drawn with full jitter (Brooker 2015).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Record = TypeVar("Record")

FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8
"""A node must hear again within 4 s of the store's return, lists of several pages included."""


@dataclass(frozen=True, slots=True)
class ListRequest:
    """List the objects whose names come after `after`; an empty text begins at the first."""

    after: str


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Wait for changes after a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class NamedRecord(Generic[Record]):
    """An object as read: its name, the revision of its last change, and its content."""

    name: str
    revision: int
    record: Record


@dataclass(frozen=True, slots=True)
class ListPage(Generic[Record]):
    """One page of a list; `last_name` is where the next page begins, if there is `more`."""

    records: tuple[NamedRecord[Record], ...]
    more: bool
    revision: int
    last_name: str


@dataclass(frozen=True, slots=True)
class ObjectChange(Generic[Record]):
    """A changed object; `record` is None where the object has gone."""

    name: str
    revision: int
    record: Record | None


@dataclass(frozen=True, slots=True)
class ChangeBatch(Generic[Record]):
    """What a watch told: the changes, and the revision to go on from."""

    changes: tuple[ObjectChange[Record], ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WholeList(Generic[Record]):
    """Everything there is at a revision: objects that are not in it do not exist."""

    records: tuple[NamedRecord[Record], ...]
    revision: int


@dataclass(slots=True)
class _Listing(Generic[Record]):
    records: list[NamedRecord[Record]] = field(default_factory=list)
    after: str = ""
    first_revision: int | None = None


class ObjectWatch(Generic[Record]):
    """The state of one reader of one kind. `confirmed_at` is when the store last answered it."""

    def __init__(self, chance: random.Random) -> None:
        self.revision: int | None = None
        self.confirmed_at: float | None = None
        self.failures = 0
        self._chance = chance
        self._listing: _Listing[Record] = _Listing()
        self._listed = False

    @property
    def listed(self) -> bool:
        """Whether a whole list has been read since the start."""
        return self._listed

    def next_request(self) -> ListRequest | WatchRequest:
        """Return what to ask the store now."""
        if self.revision is None:
            return ListRequest(self._listing.after)
        return WatchRequest(self.revision)

    def take_page(self, page: ListPage[Record], now: float) -> WholeList[Record] | None:
        """Take one page; return the whole list once its last page is there."""
        self._note_answer(now)
        listing = self._listing
        listing.records.extend(page.records)
        if listing.first_revision is None:
            listing.first_revision = page.revision
        if page.more and page.last_name != listing.after:
            listing.after = page.last_name
            return None
        self.revision = listing.first_revision
        self._listing = _Listing()
        self._listed = True
        return WholeList(tuple(listing.records), self.revision)

    def take_changes(self, batch: ChangeBatch[Record], now: float) -> None:
        """Take what a watch told; the next watch goes on from there."""
        self._note_answer(now)
        if self.revision is None or batch.revision > self.revision:
            self.revision = batch.revision

    def take_lost_history(self, now: float) -> None:
        """Begin again with a list: the store no longer knows the watch's revision."""
        self._note_answer(now)
        self.revision = None
        self._listing = _Listing()

    def take_failure(self) -> float:
        """Note a call without a usable answer; return the seconds to wait before the next."""
        self.failures += 1
        longest = min(LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2 ** min(self.failures, 8))
        return self._chance.uniform(0.0, longest)

    def _note_answer(self, now: float) -> None:
        self.failures = 0
        self.confirmed_at = now
