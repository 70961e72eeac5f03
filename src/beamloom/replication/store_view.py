"""What a node knows of one kind of object: every change up to a revision of the store.

A view comes from the store or from peers; as both tell all changes up to a revision, the view with
the higher revision is always the better one, and no view ever goes back. Removed objects are kept
for a while as tombstones, so that a peer which is a little behind can be told of them.

A store that was restored from an older copy counts on in a new era, so that its list is the better
view although it holds older words and fewer changes (`store_revision.py`). What a node knows to be
newer than that copy it keeps until the writers have written again (`record_order.py`); peers are
told what the store says, as each of them knows for itself what to keep.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

from beamloom.model.store_revision import era_of
from beamloom.replication.record_order import UNMARKED, NoOrder, RecordOrder

Record = TypeVar("Record")

TOMBSTONES_KEPT = 4096
EVERYTHING = -1
"""`since` of a delta that holds all there is."""


class NamedRecord(NamedTuple, Generic[Record]):
    """An object as read: its name, the revision of its last change, and its content."""

    name: str
    revision: int
    record: Record


class ObjectChange(NamedTuple, Generic[Record]):
    """A changed object; `record` is None where the object has gone."""

    name: str
    revision: int
    record: Record | None


class ViewDelta(NamedTuple, Generic[Record]):
    """All changes after `since` up to `upto`; with `since` EVERYTHING, all objects there are."""

    since: int
    upto: int
    changes: tuple[ObjectChange[Record], ...]


class StoreView(Generic[Record]):
    """One node's view of one kind, whose writers' words have an `order`.

    `revision` is None before the first whole view. `confirmed_at` is the latest moment (seconds of
    the steady clock) at which the store is known to have had no change beyond `revision`.
    """

    def __init__(self, order: RecordOrder[Record] | None = None) -> None:
        self.order: RecordOrder[Record] = NoOrder() if order is None else order
        self.revision: int | None = None
        self.confirmed_at: float | None = None
        self._present: dict[str, NamedRecord[Record]] = {}
        self._gone: dict[str, int] = {}
        self._ended: dict[str, Record] = {}
        self._kept: dict[str, Record | None] = {}
        self._floor = 0

    def __len__(self) -> int:
        return len(self._present)

    @property
    def keeps_words(self) -> bool:
        """Whether a newer word is held than the store's, which was restored."""
        return bool(self._kept)

    @property
    def mark(self) -> int:
        """The highest mark of what is known; UNMARKED where there is none."""
        if self.order.settle_seconds is not None:
            return UNMARKED
        marks = (self.order.mark(named.record) for named in self._present.values())
        return max(marks, default=UNMARKED)

    def age(self, now: float) -> float | None:
        """Return how long ago the view was known to be current, in seconds; None: never."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def confirm(self, at: float) -> bool:
        """Note that the view was current at a moment; return whether that is news."""
        if self.confirmed_at is not None and at <= self.confirmed_at:
            return False
        self.confirmed_at = at
        return True

    def take_unconfirmed(
        self, records: Iterable[NamedRecord[Record]]
    ) -> tuple[ObjectChange[Record], ...]:
        """Take a list that may be old, until a whole view is there; return what it tells.

        It gives the view no revision: its number may be one of an era whose end the store does not
        tell on a stale answer, and a watch from there, or a peer's difference, would leave out what
        was changed in between.
        """
        if self.revision is not None:
            return ()
        listed = {named.name: named for named in records}
        changes = [self._as_change(named) for named in listed.values() if self._is_news(named)]
        self._present = listed
        return tuple(changes)

    def contradicts(self, records: Iterable[NamedRecord[Record]], revision: int) -> bool:
        """Whether a list that is at least as far as the view tells another history than it.

        What was last changed up to the view's revision must be there, and be known as it is.
        """
        assert self.revision is not None
        names = set()
        for named in records:
            names.add(named.name)
            if named.revision <= self.revision and not self._knows(named):
                return True
        return revision == self.revision and bool(self._present.keys() - names)

    def _knows(self, named: NamedRecord[Record]) -> bool:
        """Whether an object is known as it is told, with the revision of its last change."""
        known = self._present.get(named.name)
        if known is None or known.revision != named.revision:
            return False
        return self.order.is_same(named.record, known.record)

    def replace(
        self, records: Iterable[NamedRecord[Record]], revision: int
    ) -> tuple[ObjectChange[Record], ...]:
        """Take a whole list; return what differs from before. An older list changes nothing."""
        if self.revision is not None and revision < self.revision:
            return ()
        listed = {named.name: named for named in records}
        if self.order.settle_seconds is None:
            self._put_newest(listed, revision)
        restored = self.revision is not None and era_of(revision) != era_of(self.revision)
        kept = self._words_to_keep(listed) if restored or self._kept else {}
        changes = [
            self._as_change(named)
            for named in listed.values()
            if named.name not in kept and self._is_news(named)
        ]
        missing = [name for name in self._believed() if name not in listed and name not in kept]
        changes += [ObjectChange(name, revision, None) for name in missing]
        self._note_ended(missing)
        self._kept = kept
        self._present = listed
        self._gone = {}
        self._floor = revision
        self.revision = revision
        return tuple(changes)

    def settle(self) -> tuple[ObjectChange[Record], ...]:
        """Believe the store where its writers have not repeated a word; return what changes."""
        assert self.revision is not None
        names = list(self._kept)
        self._note_ended(name for name in names if name not in self._present)
        kept, self._kept = self._kept, {}
        changes = []
        for name in names:
            named = self._present.get(name)
            told = None if named is None else named.record
            if told != kept[name]:
                # At its own revision: the view's would make it later than what came after it.
                at = self.revision if named is None else named.revision
                changes.append(ObjectChange(name, at, told))
        return tuple(changes)

    def apply(
        self, changes: Iterable[ObjectChange[Record]], revision: int
    ) -> tuple[ObjectChange[Record], ...]:
        """Take changes that follow the view's revision; return those that were news."""
        news = [change for change in changes if self._apply_one(change, revision)]
        if self.revision is None or revision > self.revision:
            self.revision = revision
        self._forget_tombstones()
        return tuple(news)

    def since(self, revision: int) -> ViewDelta[Record] | None:
        """Return what a peer at a revision lacks; None where this view is no further."""
        if self.revision is None or revision >= self.revision:
            return None
        if revision < self._floor:
            changes = [self._as_change(named) for named in self._present.values()]
            return ViewDelta(EVERYTHING, self.revision, tuple(changes))
        changes = [
            self._as_change(named) for named in self._present.values() if named.revision > revision
        ]
        changes += [
            ObjectChange(name, at, None) for name, at in self._gone.items() if at > revision
        ]
        return ViewDelta(revision, self.revision, tuple(changes))

    def merge(self, delta: ViewDelta[Record]) -> tuple[ObjectChange[Record], ...] | None:
        """Take a peer's delta; return the news, or None where it does not fit this view."""
        mine = EVERYTHING if self.revision is None else self.revision
        if delta.upto <= mine:
            return self._take_newer_words(delta) if delta.since == EVERYTHING else None
        if delta.since == EVERYTHING:
            records = [
                NamedRecord(change.name, change.revision, change.record)
                for change in delta.changes
                if change.record is not None
            ]
            return self.replace(records, delta.upto)
        if delta.since > mine or self.revision is None:
            return None
        return self.apply(delta.changes, delta.upto)

    def _take_newer_words(
        self, delta: ViewDelta[Record]
    ) -> tuple[ObjectChange[Record], ...] | None:
        """Take what a peer that is no further knows to be newer, by marks that always decide.

        The store came back without it, and this node has heard of the store only since.
        """
        if self.order.settle_seconds is not None or self.revision is None:
            return None
        news = []
        for name, _, record in delta.changes:
            known = self._present.get(name)
            if record is None or (known and not self.order.is_older(known.record, record)):
                continue
            at = known.revision if known else self.revision
            self._present[name] = NamedRecord(name, at, record)
            news.append(ObjectChange(name, at, record))
        return tuple(news) or None

    def _put_newest(self, listed: dict[str, NamedRecord[Record]], revision: int) -> None:
        """Put into a list what is known to be newer, and what it lacks, for good."""
        for name, known in self._present.items():
            told = listed.get(name)
            if told is None:
                if self.order.keeps_missing:
                    listed[name] = known._replace(revision=revision)
            elif self.order.is_older(told.record, known.record):
                listed[name] = told._replace(record=known.record)

    def _words_to_keep(self, listed: dict[str, NamedRecord[Record]]) -> dict[str, Record | None]:
        """Return which words hold on against a restored store's list; None: the object has gone."""
        kept: dict[str, Record | None] = {}
        believed = self._believed()
        for name, known in believed.items():
            told = listed.get(name)
            lacks = told is None and self.order.keeps_missing
            if lacks or (told is not None and self.order.is_older(told.record, known)):
                kept[name] = known
        for name, told in listed.items():
            ended = self._ended.get(name)
            if ended is None or name in believed:
                continue
            if not self.order.is_new_life(told.record, ended):
                kept[name] = None
        return kept

    def _believed(self) -> dict[str, Record]:
        """Return what this node goes by: the store's words, but for those that are kept."""
        believed = {name: named.record for name, named in self._present.items()}
        for name, record in self._kept.items():
            if record is None:
                believed.pop(name, None)
            else:
                believed[name] = record
        return believed

    def _believed_record(self, name: str) -> Record | None:
        if name in self._kept:
            return self._kept[name]
        named = self._present.get(name)
        return None if named is None else named.record

    def _is_news(self, named: NamedRecord[Record]) -> bool:
        known = self._believed_record(named.name)
        return known is None or not self.order.is_same(named.record, known)

    def _apply_one(self, change: ObjectChange[Record], revision: int) -> bool:
        """Take one change; changes older than what a list of several pages told are left out."""
        known = self._present.get(change.name)
        if change.record is None:
            is_older = known is not None and known.revision > change.revision
            if is_older or (self.order.settle_seconds is None and self.order.keeps_missing):
                return False
            return self._remove(change, revision)
        if known is not None and known.revision >= change.revision:
            return False
        self._gone.pop(change.name, None)
        record = change.record
        if known is not None and self._is_outdated(record, known.record):
            record = known.record
        named = NamedRecord(change.name, change.revision, record)
        news = self._is_news(named)
        self._present[change.name] = named
        self._kept.pop(change.name, None)
        self._ended.pop(change.name, None)
        return news

    def _remove(self, change: ObjectChange[Record], revision: int) -> bool:
        """Take that an object has gone; return whether that is news."""
        self._gone.pop(change.name, None)
        self._gone[change.name] = max(change.revision, revision)
        believed = self._believed_record(change.name)
        self._note_ended([change.name])
        self._kept.pop(change.name, None)
        self._present.pop(change.name, None)
        return believed is not None

    def _is_outdated(self, record: Record, known: Record) -> bool:
        """Whether a record's own marks always decide, and show that the known one is newer."""
        return self.order.settle_seconds is None and self.order.is_older(record, known)

    def _note_ended(self, names: Iterable[str]) -> None:
        """Remember the last word of objects that have gone: a restored store may hold them."""
        for name in names:
            record = self._believed_record(name)
            if record is not None:
                self._ended.pop(name, None)
                self._ended[name] = record
        while len(self._ended) > TOMBSTONES_KEPT:
            del self._ended[next(iter(self._ended))]

    def _forget_tombstones(self) -> None:
        while len(self._gone) > TOMBSTONES_KEPT:
            name = next(iter(self._gone))
            self._floor = max(self._floor, self._gone.pop(name))

    def _as_change(self, named: NamedRecord[Record]) -> ObjectChange[Record]:
        return ObjectChange(named.name, named.revision, named.record)
