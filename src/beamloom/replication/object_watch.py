"""Following one kind of object in a store: list it once, then watch from the list's revision.

Without I/O: `next_request` says what to ask, the other methods take what came of it. After a lost
history (the store answers that the revision is gone) everything is listed again; what was believed
before stays in force meanwhile. Pauses after failures are drawn with full jitter (Brooker 2015).
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from beamloom.replication.backoff import FullJitter
from beamloom.replication.reading_times import FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS
from beamloom.replication.store_view import NamedRecord, ObjectChange, StoreView

Record = TypeVar("Record")


@dataclass(frozen=True, slots=True)
class ListRequest:
    """List the objects whose names come after `after`; an empty text begins at the first."""

    after: str


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Wait for changes after a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ListPage(Generic[Record]):
    """One page of a list; `last_name` is where the next page begins, if there is `more`.

    `unreadable` tells of objects that were left out, as they are not as they should be.
    """

    records: tuple[NamedRecord[Record], ...]
    more: bool
    revision: int
    last_name: str
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeBatch(Generic[Record]):
    """What a watch told: the changes, and the revision to go on from.

    `unreadable` tells of changes that were left out: what was known of those objects stays.
    """

    changes: tuple[ObjectChange[Record], ...]
    revision: int
    unreadable: tuple[str, ...] = ()


Changes = tuple[ObjectChange[Record], ...]


@dataclass(slots=True)
class _Listing(Generic[Record]):
    records: list[NamedRecord[Record]] = field(default_factory=list)
    after: str = ""
    first_revision: int | None = None
    asked_at: float = 0.0


class ObjectWatch(Generic[Record]):
    """The state of one reader of one kind; what it reads goes into `view`."""

    def __init__(self, view: StoreView[Record], chance: random.Random) -> None:
        self.view = view
        self._pauses = FullJitter(FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS, chance)
        self._listing: _Listing[Record] = _Listing()
        self._history_lost = False

    @property
    def failures(self) -> int:
        """How many calls in a row had no usable answer."""
        return self._pauses.failures

    def next_request(self) -> ListRequest | WatchRequest:
        """Return what to ask the store now."""
        revision = self._watched_revision
        return ListRequest(self._listing.after) if revision is None else WatchRequest(revision)

    @property
    def must_list(self) -> bool:
        """Whether only a list can help: nothing is known, or the history is lost."""
        return self._watched_revision is None

    @property
    def _watched_revision(self) -> int | None:
        return None if self._history_lost else self.view.revision

    def take_page(self, page: ListPage[Record], asked_at: float) -> Changes[Record]:
        """Take one page; return what the whole list changes once its last page is there."""
        self._pauses.reset()
        listing = self._listing
        if listing.first_revision is None:
            listing.first_revision = page.revision
            listing.asked_at = asked_at
        listing.records.extend(page.records)
        if page.more and page.last_name != listing.after:
            listing.after = page.last_name
            return ()
        self._listing = _Listing()
        self._history_lost = False
        changes = self.view.replace(listing.records, listing.first_revision)
        self.view.confirm(listing.asked_at)
        return changes

    def take_changes(self, batch: ChangeBatch[Record], now: float) -> Changes[Record]:
        """Take what a watch told just now; the next watch goes on from there.

        An answer that was held up on its way makes `now` too late by at most the call's patience.
        """
        self._pauses.reset()
        changes = self.view.apply(batch.changes, batch.revision)
        self.view.confirm(now)
        return changes

    def take_lost_history(self) -> None:
        """Begin again with a list: the store no longer knows the view's revision."""
        self._pauses.reset()
        self._history_lost = True
        self._listing = _Listing()

    def take_failure(self) -> float:
        """Note a call without a usable answer; return the seconds to wait before the next."""
        return self._pauses.next_pause()
