"""Follows one kind of object in a store: lists it once, then watches from the list's revision.

It does no I/O: `next_request` returns the call to make, the other methods process its outcome.
After a lost history (the store answers that the revision is gone, or answers in a new era)
everything is listed again; until then the view stays in effect. A store that reports no era may
have been restored whenever a call failed, and may have passed the known number since, so a failure
is followed by a list too.

The first list may be stale, until a fresh list or a peer's view follows. A list that follows a lost
history must not be stale. A watch returns every version of a changed object; for a kind of few
objects, a large answer is followed by a list, which contains only the newest versions. Pauses
after failures are drawn with full jitter (Brooker 2015).
"""

from __future__ import annotations

import random
from typing import Any, Generic, NamedTuple, TypeVar

from beamloom.model.store_revision import era_of, number_of, revision_in_era
from beamloom.replication.backoff import FullJitter
from beamloom.replication.store_call_times import FIRST_PAUSE_SECONDS, MAXIMUM_PAUSE_SECONDS
from beamloom.replication.store_view import NamedRecord, ObjectChange, StoreView

Record = TypeVar("Record")

LARGE_ANSWER_BYTES = 64 << 10
"""A watch answer of this size is followed by a list, so that a burst of versions is read once."""
FEW_OBJECTS = 4
"""Only kinds of at most this many objects are listed after a large answer or a failed watch."""


class ListRequest(NamedTuple):
    """List the objects whose names come after `after`; an empty string begins at the first.

    A `stale` answer may be some seconds old, and is cheap for the store.
    """

    after: str
    stale: bool = False


class WatchRequest(NamedTuple):
    """Wait for changes after a revision."""

    revision: int


class ListPage(NamedTuple, Generic[Record]):
    """One page of a list; if there is `more`, the next page begins after `last_name`.

    `unreadable` describes invalid objects, which were left out.
    """

    records: tuple[NamedRecord[Record], ...]
    more: bool
    revision: int
    last_name: str
    unreadable: tuple[str, ...] = ()


class ChangeBatch(NamedTuple, Generic[Record]):
    """The answer to a watch: the changes, and the revision to continue from.

    `unreadable` describes invalid objects, which are reported as removed. `size_bytes` is the
    length of the answer. If it `is_cut`, changes are missing.
    """

    changes: tuple[ObjectChange[Record], ...]
    revision: int
    unreadable: tuple[str, ...] = ()
    size_bytes: int = 0
    is_cut: bool = False


Changes = tuple[ObjectChange[Record], ...]


class Question(NamedTuple):
    """A call to the store: when it was made, how long a watch may wait, and the view's era then.

    The era is assumed for an answer that states none.
    """

    request: ListRequest | WatchRequest
    asked_at: float
    wait_seconds: float
    era: int

    def earliest_answer_time(self, batch: ChangeBatch[Any], now: float) -> float:
        """Return a time before which the store has not given an answer that arrived at `now`.

        An answer may be held up on its way. One without changes was given after the wait.
        """
        waited_until = self.asked_at + self.wait_seconds
        is_empty = not batch.changes and not batch.unreadable
        return waited_until if is_empty and waited_until <= now else self.asked_at


class OlderAnswerError(ValueError):
    """A store answered with a lower revision than before, although it reports no new era."""

    def __init__(self, answered: int, known: int) -> None:
        super().__init__(
            f"the answer ends at revision {number_of(answered)} of era {era_of(answered)}, but"
            f" {number_of(known)} of era {era_of(known)} is known: the store lost changes without"
            " beginning a new era; contact its operator"
        )


class _Listing(Generic[Record]):
    """The pages of a list that have been read so far.

    `known_revision` is the view's when the first page was requested.
    """

    __slots__ = ("after", "asked_at", "known_revision", "records", "revision")

    def __init__(self) -> None:
        self.records: list[NamedRecord[Record]] = []
        self.after = ""
        self.revision: int | None = None
        self.known_revision: int | None = None
        self.asked_at = 0.0

    def move_to_era(self, era: int) -> None:
        """Assign what has been read to another era of the store."""
        assert self.revision is not None
        self.revision = revision_in_era(era, number_of(self.revision))
        self.records = [
            named._replace(revision=revision_in_era(era, number_of(named.revision)))
            for named in self.records
        ]


class ObjectWatch(Generic[Record]):
    """The list and watch state of one kind; the objects read are stored in `view`.

    With `stale_start` the first list may be stale. An empty stale list is accepted only if the kind
    `may_be_empty`; otherwise it is dropped and `rejected_empty_list` is set.
    """

    def __init__(
        self,
        view: StoreView[Record],
        rng: random.Random,
        *,
        stale_start: bool = False,
        may_be_empty: bool = False,
    ) -> None:
        self._may_be_empty = may_be_empty
        self.view = view
        self._pauses = FullJitter(FIRST_PAUSE_SECONDS, MAXIMUM_PAUSE_SECONDS, rng)
        self._listing: _Listing[Record] = _Listing()
        self._history_lost = False
        self._stale_allowed = stale_start
        self._prefers_list = False
        self._reports_era = True
        self._may_be_restored = False
        self.rejected_empty_list = False
        self._has_stale_list = False

    @property
    def failures(self) -> int:
        """The number of consecutive calls without a usable answer."""
        return self._pauses.failures

    def next_request(self) -> ListRequest | WatchRequest:
        """Return the next request to the store."""
        revision = self._watched_revision
        if revision is not None and not self._prefers_list and not self._may_be_restored:
            return WatchRequest(revision)
        if not self._listing.after:
            self._listing.known_revision = self.view.revision
        return ListRequest(self._listing.after, self._stale_allowed)

    @property
    def records_read(self) -> int:
        """The number of objects in the view, or in the pages of a first list read so far."""
        return len(self.view) or len(self._listing.records)

    @property
    def must_list(self) -> bool:
        """Whether a list is needed, as the view has no revision or the history is lost."""
        return self._watched_revision is None

    @property
    def holds_stale(self) -> bool:
        """Whether a stale list is all that was read, so that the view has no revision yet."""
        return self._has_stale_list and self.view.revision is None

    @property
    def _watched_revision(self) -> int | None:
        return None if self._history_lost else self.view.revision

    def handle_page(
        self, page: ListPage[Record], asked_at: float, *, reports_era: bool = True
    ) -> Changes[Record]:
        """Add one page; return the changes of the whole list after its last page.

        A page of another era than the first belongs to another history, and the list starts over.
        If the list ends below the revision known when it was requested, a store that reports its
        era has lost changes, and OlderAnswerError is raised. A store that reports none has been
        restored, and the list is assigned to the next era.
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
        if self._stale_allowed:
            self._pauses.reset()
            return self._apply_stale_list(listing.records)
        self._reports_era = reports_era
        if (
            listing.known_revision is not None
            and listing.revision < listing.known_revision
            and reports_era
        ):
            raise OlderAnswerError(listing.revision, listing.known_revision)
        if not reports_era and self._implies_restore(listing):
            listing.move_to_era(era_of(self.view.revision or 0) + 1)
        self._pauses.reset()
        return self._apply_list(listing.records, listing.revision, listing.asked_at)

    def _implies_restore(self, listing: _Listing[Record]) -> bool:
        """Whether a list of a store that reports no era can only come from a restored store.

        It ends below the revision known when it was requested, or contradicts the view's history.
        """
        assert listing.revision is not None
        known = self.view.revision
        if known is None:
            return False
        if listing.known_revision is not None and listing.revision < listing.known_revision:
            return True
        if listing.revision < known:
            return False
        return self.view.contradicts(listing.records, listing.revision)

    def _apply_stale_list(self, records: list[NamedRecord[Record]]) -> Changes[Record]:
        self._stale_allowed = False
        if not records and not self._may_be_empty:
            self.rejected_empty_list = True
            return ()
        self._has_stale_list = True
        return self.view.load_unconfirmed(records)

    def _apply_list(
        self, records: list[NamedRecord[Record]], revision: int, asked_at: float
    ) -> Changes[Record]:
        """Apply a complete list, unless peers brought the view to a higher revision meanwhile."""
        self._history_lost = self._may_be_restored = False
        if self.view.revision is not None and revision < self.view.revision:
            return ()
        changes = self.view.replace(records, revision)
        self._prefers_list = self._prefers_list and bool(changes)
        self.view.confirm(asked_at)
        return changes

    def handle_changes(
        self,
        batch: ChangeBatch[Record],
        watched: int,
        given_at: float,
        *,
        reports_era: bool = True,
    ) -> Changes[Record]:
        """Apply the answer to a watch from a revision; the next one continues from its revision.

        `given_at` is a time before which the store has not given the answer. Peers may have brought
        the view to a higher revision since; then the answer changes and confirms nothing. An answer
        of a later era than the view's is discarded and a list follows: numbers are reused in the
        new era, so changes below the watched number would be missing. A list follows one that is
        cut, too. Raises OlderAnswerError if the answer is of a former era, or ends below the
        watched revision although the store reports its era. A store that reports none may have been
        restored then.
        """
        self._reports_era = reports_era
        known = self.view.revision
        if known is not None and era_of(batch.revision) < era_of(known):
            raise OlderAnswerError(batch.revision, known)
        if known is not None and era_of(batch.revision) > era_of(known):
            self.handle_lost_history()
            return ()
        if batch.is_cut:
            self.handle_lost_history()
            return ()
        if batch.revision < watched:
            if reports_era:
                raise OlderAnswerError(batch.revision, watched)
            self._may_be_restored = True
            return ()
        self._pauses.reset()
        self._prefers_list = self._is_small and batch.size_bytes >= LARGE_ANSWER_BYTES
        if known is not None and batch.revision < known:
            return ()
        changes = self.view.apply(batch.changes, batch.revision)
        self.view.confirm(given_at)
        return changes

    def handle_lost_history(self) -> None:
        """List everything again, as the store no longer has the view's revision."""
        self._pauses.reset()
        self._history_lost = True
        self._stale_allowed = False
        self._listing = _Listing()

    def handle_failure(self, shared_pause_seconds: float = 0.0) -> float:
        """Record a call without a usable answer; return the seconds to wait before the next.

        A watch may have failed because its answer was too large, so a small kind is listed next.
        """
        self._prefers_list = self._is_small
        self._may_be_restored = not self._reports_era
        return self._pauses.next_pause(shared_pause_seconds)

    @property
    def _is_small(self) -> bool:
        return 0 < len(self.view) <= FEW_OBJECTS
