"""Following one kind of object in a store: list it once, then watch from the list's revision.

Without I/O: `next_request` says what to ask, the other methods take what came of it. After a lost
history (the store answers that the revision is gone, or answers in a new era) everything is listed
again; what was believed before stays in force meanwhile. A store that tells no era may have been
restored whenever a call of it failed, and passed the known number since: it is listed then too. The
first list may be stale, as an interim; a fresh one, or a peer's view, follows. One that follows a
lost history must not be stale. A watch tells each version of
an object that has changed; where that is much, a list follows, which holds the newest only. Pauses
after failures are drawn with full jitter (Brooker 2015).
"""

from __future__ import annotations

import random
from typing import Generic, NamedTuple, TypeVar

from beamloom.model.store_revision import era_of, number_of, revision_in_era
from beamloom.replication.backoff import FullJitter
from beamloom.replication.reading_times import FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS
from beamloom.replication.store_view import NamedRecord, ObjectChange, StoreView

Record = TypeVar("Record")

LARGE_ANSWER_BYTES = 64 << 10
"""A watch that told so much is followed by a list, so that a burst of versions is read once."""
FEW_OBJECTS = 4
"""Where there are no more, a list costs no more than a change."""


class ListRequest(NamedTuple):
    """List the objects whose names come after `after`; an empty text begins at the first.

    A `stale` answer may be some seconds old; it costs the store little.
    """

    after: str
    stale: bool = False


class WatchRequest(NamedTuple):
    """Wait for changes after a revision."""

    revision: int


class ListPage(NamedTuple, Generic[Record]):
    """One page of a list; `last_name` is where the next page begins, if there is `more`.

    `unreadable` tells of objects that were left out, as they are not as they should be.
    """

    records: tuple[NamedRecord[Record], ...]
    more: bool
    revision: int
    last_name: str
    unreadable: tuple[str, ...] = ()


class ChangeBatch(NamedTuple, Generic[Record]):
    """What a watch told: the changes, and the revision to go on from.

    `unreadable` tells of objects that are not as they should be; they are told as gone.
    `size_bytes` is the length of the answer.
    """

    changes: tuple[ObjectChange[Record], ...]
    revision: int
    unreadable: tuple[str, ...] = ()
    size_bytes: int = 0


Changes = tuple[ObjectChange[Record], ...]


class OlderAnswerError(ValueError):
    """A store answered with less than it had told before, although its era has not risen."""

    def __init__(self, told: int, known: int) -> None:
        super().__init__(
            f"the answer ends at {number_of(told)} of era {era_of(told)}, {number_of(known)} of era"
            f" {era_of(known)} is known: the store lost changes without saying so; ask who runs it"
        )


class _Listing(Generic[Record]):
    """The pages of a list that have been read so far."""

    __slots__ = ("after", "asked_at", "known", "records", "revision")

    def __init__(self) -> None:
        self.records: list[NamedRecord[Record]] = []
        self.after = ""
        self.revision: int | None = None
        self.known: int | None = None
        self.asked_at = 0.0

    def move_to_era(self, era: int) -> None:
        """Count what has been read as of another era of the store."""
        assert self.revision is not None
        self.revision = revision_in_era(era, number_of(self.revision))
        self.records = [
            named._replace(revision=revision_in_era(era, number_of(named.revision)))
            for named in self.records
        ]


class ObjectWatch(Generic[Record]):
    """The state of one reader of one kind; what it reads goes into `view`.

    With `stale_start` the first list may be stale. An empty one is believed only if the kind
    `may_be_empty`; `found_nothing` tells that it was not.
    """

    def __init__(
        self,
        view: StoreView[Record],
        chance: random.Random,
        *,
        stale_start: bool = False,
        may_be_empty: bool = False,
    ) -> None:
        self._may_be_empty = may_be_empty
        self.view = view
        self._pauses = FullJitter(FIRST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS, chance)
        self._listing: _Listing[Record] = _Listing()
        self._history_lost = False
        self._may_be_stale = stale_start
        self._prefers_list = False
        self._tells_era = True
        self._may_be_restored = False
        self.found_nothing = False
        self._holds_stale = False

    @property
    def failures(self) -> int:
        """How many calls in a row had no usable answer."""
        return self._pauses.failures

    def next_request(self) -> ListRequest | WatchRequest:
        """Return what to ask the store now."""
        revision = self._watched_revision
        if revision is not None and not self._prefers_list and not self._may_be_restored:
            return WatchRequest(revision)
        if not self._listing.after:
            self._listing.known = self.view.revision
        return ListRequest(self._listing.after, self._may_be_stale)

    @property
    def records_read(self) -> int:
        """How many objects are known, or stand on the pages read so far of a first list."""
        return len(self.view) or len(self._listing.records)

    @property
    def must_list(self) -> bool:
        """Whether only a list can help: nothing is known, or the history is lost."""
        return self._watched_revision is None

    @property
    def holds_stale(self) -> bool:
        """Whether a stale list is all that is known: only a fresh one tells how far that is."""
        return self._holds_stale and self.view.revision is None

    @property
    def _watched_revision(self) -> int | None:
        return None if self._history_lost else self.view.revision

    def take_page(
        self, page: ListPage[Record], asked_at: float, *, tells_era: bool = True
    ) -> Changes[Record]:
        """Take one page; return what the whole list changes once its last page is there.

        Pages of two eras are of two histories: the list begins again. Raises OlderAnswerError where
        the store tells an era, and yet less than was known when the list was asked for. Where it
        tells none, that shows that it was restored, and the list is taken as of the next era.
        """
        listing = self._listing
        if listing.revision is None:
            listing.revision = page.revision
            listing.asked_at = asked_at
        elif era_of(listing.revision) != era_of(page.revision):
            self._listing = _Listing()
            return ()
        listing.revision = min(listing.revision, page.revision)
        listing.records.extend(page.records)
        if page.more and page.last_name != listing.after:
            listing.after = page.last_name
            self._pauses.reset()
            return ()
        self._listing = _Listing()
        if self._may_be_stale:
            self._pauses.reset()
            return self._take_stale(listing.records)
        self._tells_era = tells_era
        if listing.known is not None and listing.revision < listing.known and tells_era:
            raise OlderAnswerError(listing.revision, listing.known)
        if not tells_era and self._shows_restore(listing):
            listing.move_to_era(era_of(self.view.revision or 0) + 1)
        self._pauses.reset()
        return self._take_list(listing.records, listing.revision, listing.asked_at)

    def _shows_restore(self, listing: _Listing[Record]) -> bool:
        """Whether a list can only be that of a restored store, which does not tell its era.

        It ends below what the store had told before, or goes on from another history.
        """
        assert listing.revision is not None
        known = self.view.revision
        if known is None:
            return False
        if listing.known is not None and listing.revision < listing.known:
            return True
        if listing.revision < known:
            return False
        return self.view.contradicts(listing.records, listing.revision)

    def _take_stale(self, records: list[NamedRecord[Record]]) -> Changes[Record]:
        self._may_be_stale = False
        if not records and not self._may_be_empty:
            self.found_nothing = True
            return ()
        self._holds_stale = True
        return self.view.load_unconfirmed(records)

    def _take_list(
        self, records: list[NamedRecord[Record]], revision: int, asked_at: float
    ) -> Changes[Record]:
        """Take a whole list, unless peers have told more while it was under way."""
        self._history_lost = self._may_be_restored = False
        if self.view.revision is not None and revision < self.view.revision:
            return ()
        changes = self.view.replace(records, revision)
        self._prefers_list = self._prefers_list and bool(changes)
        self.view.confirm(asked_at)
        return changes

    def take_changes(
        self, batch: ChangeBatch[Record], now: float, *, tells_era: bool = True
    ) -> Changes[Record]:
        """Take what a watch told just now; the next watch goes on from there.

        An answer that was held up on its way makes `now` too late by at most the call's patience.
        In a later era than the view's, it tells nothing of the changes before its first: the store
        gives numbers out again, so that it may well have the one that was asked from. Raises
        OlderAnswerError where it comes from an era that is over.
        """
        self._tells_era = tells_era
        known = self.view.revision
        if known is not None and era_of(batch.revision) < era_of(known):
            raise OlderAnswerError(batch.revision, known)
        if known is not None and era_of(batch.revision) > era_of(known):
            self.take_lost_history()
            return ()
        self._pauses.reset()
        changes = self.view.apply(batch.changes, batch.revision)
        self._prefers_list = self._is_small and batch.size_bytes >= LARGE_ANSWER_BYTES
        self.view.confirm(now)
        return changes

    def take_lost_history(self) -> None:
        """Begin again with a list: the store no longer knows the view's revision."""
        self._pauses.reset()
        self._history_lost = True
        self._may_be_stale = False
        self._listing = _Listing()

    def take_failure(self, shared_pause_seconds: float = 0.0) -> float:
        """Note a call without a usable answer; return the seconds to wait before the next.

        A watch may have failed because it had too much to tell.
        """
        self._prefers_list = self._is_small
        self._may_be_restored = not self._tells_era
        return self._pauses.next_pause(shared_pause_seconds)

    @property
    def _is_small(self) -> bool:
        return 0 < len(self.view) <= FEW_OBJECTS
