"""A node's replica of one kind of object: every change up to a revision of the store.

A view is filled from the store or from peers. It contains all changes up to its revision, so the
view with the higher revision supersedes the other, and a view's revision never decreases. Removed
objects are kept as tombstones, so that a peer which is a little behind gets the removals.

A store that was restored from an older copy continues in a new era, which makes its revisions
higher although its records may be older (`store_revision.py`). Records that a node holds and that
are newer than the copy are retained until their writers have written again (`record_order.py`).
Deltas for peers contain the store's records, as each peer decides itself what to retain; only
records that are kept for good are sent in place of the store's.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

from beamloom.model.store_revision import era_of
from beamloom.replication.record_order import UNMARKED, RecordOrder, UnorderedRecords

Record = TypeVar("Record")

TOMBSTONES_KEPT = 4096
EVERYTHING = -1
"""`since` of a delta that contains all objects."""


class NamedRecord(NamedTuple, Generic[Record]):
    """An object as read from the store, with the revision of its last change."""

    name: str
    revision: int
    record: Record


class ObjectChange(NamedTuple, Generic[Record]):
    """A changed object; `record` is None if the object was removed."""

    name: str
    revision: int
    record: Record | None


class ViewDelta(NamedTuple, Generic[Record]):
    """All changes after `since` up to `upto`; with `since` EVERYTHING, all existing objects."""

    since: int
    upto: int
    changes: tuple[ObjectChange[Record], ...]


class StoreView(Generic[Record]):
    """One node's view of one kind; `order` compares records across eras of the store.

    `revision` is None before the first complete list. `confirmed_at` is the latest time (seconds of
    the monotonic clock) at which the store is known to have had no change beyond `revision`.
    """

    def __init__(self, order: RecordOrder[Record] | None = None) -> None:
        self.order: RecordOrder[Record] = UnorderedRecords() if order is None else order
        self.revision: int | None = None
        self.confirmed_at: float | None = None
        self._stored: dict[str, NamedRecord[Record]] = {}
        self._tombstones: dict[str, int] = {}
        self._removed_records: dict[str, Record] = {}
        self._retained: dict[str, Record | None] = {}
        self._tombstone_floor = 0

    def __len__(self) -> int:
        return len(self._stored)

    @property
    def has_retained_records(self) -> bool:
        """Whether records are retained that are newer than those of the restored store."""
        return bool(self._retained)

    @property
    def mark(self) -> int:
        """The highest mark of the records; UNMARKED if none, or if marks do not always decide."""
        if self.order.retention_seconds is not None:
            return UNMARKED
        marks = (self.order.mark(named.record) for named in self._stored.values())
        return max(marks, default=UNMARKED)

    def age(self, now: float) -> float | None:
        """Return the seconds since the view was last confirmed; None if it never was."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def confirm(self, at: float) -> bool:
        """Record that the view was current at a time; return whether `confirmed_at` rose."""
        if self.confirmed_at is not None and at <= self.confirmed_at:
            return False
        self.confirmed_at = at
        return True

    def load_unconfirmed(
        self, records: Iterable[NamedRecord[Record]]
    ) -> tuple[ObjectChange[Record], ...]:
        """Load a list that may be stale and return the changes; ignored once a revision is known.

        The view gets no revision from it. The list may be of an era that has ended, which a stale
        answer does not report; a watch or a peer's delta from that revision would skip changes.
        """
        if self.revision is not None:
            return ()
        listed = {named.name: named for named in records}
        changes = [self._as_change(named) for named in listed.values() if self._is_change(named)]
        self._stored = listed
        return tuple(changes)

    def contradicts(self, records: Iterable[NamedRecord[Record]], revision: int) -> bool:
        """Whether a list at or beyond the view's revision belongs to another history.

        It does if an object last changed up to the view's revision differs from the stored one, or
        if the list is at the view's revision and lacks a stored object.
        """
        assert self.revision is not None
        names = set()
        for named in records:
            names.add(named.name)
            if named.revision <= self.revision and not self._holds_same(named):
                return True
        return revision == self.revision and bool(self._stored.keys() - names)

    def _holds_same(self, named: NamedRecord[Record]) -> bool:
        """Whether the view stores an object with the same record and revision."""
        known = self._stored.get(named.name)
        if known is None or known.revision != named.revision:
            return False
        return self.order.is_same(named.record, known.record)

    def replace(
        self, records: Iterable[NamedRecord[Record]], revision: int
    ) -> tuple[ObjectChange[Record], ...]:
        """Replace the contents by a complete list; return the changes. An older list is ignored."""
        if self.revision is not None and revision < self.revision:
            return ()
        listed = {named.name: named for named in records}
        if self.order.retention_seconds is None:
            self._keep_newer_records(listed, revision)
        restored = self.revision is not None and era_of(revision) != era_of(self.revision)
        retained = self._records_to_retain(listed) if restored or self._retained else {}
        changes = [
            self._as_change(named)
            for named in listed.values()
            if named.name not in retained and self._is_change(named)
        ]
        missing = [
            name for name in self._current_records() if name not in listed and name not in retained
        ]
        changes += [ObjectChange(name, revision, None) for name in missing]
        self._remember_removed(missing)
        self._retained = retained
        self._stored = listed
        self._tombstones = {}
        self._tombstone_floor = revision
        self.revision = revision
        return tuple(changes)

    def release_retained(self) -> tuple[ObjectChange[Record], ...]:
        """Give up all retained records for what the store holds; return the changes."""
        assert self.revision is not None
        names = list(self._retained)
        self._remember_removed(name for name in names if name not in self._stored)
        retained, self._retained = self._retained, {}
        changes = []
        for name in names:
            named = self._stored.get(name)
            stored = None if named is None else named.record
            if stored != retained[name]:
                # Not the view's revision: it may be later than the object's last change.
                at = self.revision if named is None else named.revision
                changes.append(ObjectChange(name, at, stored))
        return tuple(changes)

    def apply(
        self, changes: Iterable[ObjectChange[Record]], revision: int
    ) -> tuple[ObjectChange[Record], ...]:
        """Apply changes of a history up to `revision`; return those that had an effect.

        Objects changed up to the view's revision are contained in it, or have been removed since.
        """
        known = EVERYTHING if self.revision is None else self.revision
        applied = [
            change
            for change in changes
            if (change.record is None or change.revision > known)
            and self._apply_one(change, revision)
        ]
        if self.revision is None or revision > self.revision:
            self.revision = revision
        self._prune_tombstones()
        return tuple(applied)

    def since(self, revision: int) -> ViewDelta[Record] | None:
        """Return what a peer at a revision lacks; None if this view is not ahead of it."""
        if self.revision is None or revision >= self.revision:
            return None
        if revision < self._tombstone_floor:
            changes = [self._as_change(named) for named in self._stored.values()]
            return ViewDelta(EVERYTHING, self.revision, tuple(changes))
        changes = [
            self._as_change(named) for named in self._stored.values() if named.revision > revision
        ]
        changes += [
            ObjectChange(name, at, None) for name, at in self._tombstones.items() if at > revision
        ]
        return ViewDelta(revision, self.revision, tuple(changes))

    def merge(self, delta: ViewDelta[Record]) -> tuple[ObjectChange[Record], ...] | None:
        """Merge a peer's delta; return the changes, or None if it is outdated or leaves a gap."""
        own = EVERYTHING if self.revision is None else self.revision
        if delta.upto <= own:
            return self._merge_newer_records(delta) if delta.since == EVERYTHING else None
        if delta.since == EVERYTHING:
            records = [
                NamedRecord(change.name, change.revision, change.record)
                for change in delta.changes
                if change.record is not None
            ]
            return self.replace(records, delta.upto)
        if delta.since > own or self.revision is None:
            return None
        return self.apply(delta.changes, delta.upto)

    def _merge_newer_records(
        self, delta: ViewDelta[Record]
    ) -> tuple[ObjectChange[Record], ...] | None:
        """Merge newer records of a peer that is not ahead, if the records' marks always decide.

        A node that starts after a restore reads the older copy; its peers may hold newer records.
        """
        if self.order.retention_seconds is not None or self.revision is None:
            return None
        merged = []
        for name, _, record in delta.changes:
            known = self._stored.get(name)
            if record is None or (known and not self.order.is_older(known.record, record)):
                continue
            at = known.revision if known else self.revision
            self._stored[name] = NamedRecord(name, at, record)
            merged.append(ObjectChange(name, at, record))
        return tuple(merged) or None

    def _keep_newer_records(self, listed: dict[str, NamedRecord[Record]], revision: int) -> None:
        """Put this view's newer records into a list, and those missing from it if they are kept."""
        for name, known in self._stored.items():
            incoming = listed.get(name)
            if incoming is None:
                if self.order.retains_missing:
                    listed[name] = known._replace(revision=revision)
            elif self.order.is_older(incoming.record, known.record):
                listed[name] = incoming._replace(record=known.record)

    def _records_to_retain(
        self, listed: dict[str, NamedRecord[Record]]
    ) -> dict[str, Record | None]:
        """Return what to retain after a restore of the store; None stands for a removed object."""
        retained: dict[str, Record | None] = {}
        current = self._current_records()
        for name, known in current.items():
            incoming = listed.get(name)
            is_missing = incoming is None and self.order.retains_missing
            if is_missing or (incoming is not None and self.order.is_older(incoming.record, known)):
                retained[name] = known
        for name, incoming in listed.items():
            removed = self._removed_records.get(name)
            if removed is None or name in current:
                continue
            if not self.order.is_recreated(incoming.record, removed):
                retained[name] = None
        return retained

    def _current_records(self) -> dict[str, Record]:
        """Return the records in effect: those of the store, overridden by the retained ones."""
        records = {name: named.record for name, named in self._stored.items()}
        for name, record in self._retained.items():
            if record is None:
                records.pop(name, None)
            else:
                records[name] = record
        return records

    def _current_record(self, name: str) -> Record | None:
        if name in self._retained:
            return self._retained[name]
        named = self._stored.get(name)
        return None if named is None else named.record

    def _is_change(self, named: NamedRecord[Record]) -> bool:
        known = self._current_record(named.name)
        return known is None or not self.order.is_same(named.record, known)

    def _apply_one(self, change: ObjectChange[Record], revision: int) -> bool:
        """Apply one change; return whether it had an effect.

        Pages of a list may contain records newer than its revision; older changes are ignored.
        """
        known = self._stored.get(change.name)
        if change.record is None:
            is_older = known is not None and known.revision > change.revision
            if is_older or (self.order.retention_seconds is None and self.order.retains_missing):
                return False
            return self._remove(change, revision)
        if known is not None and known.revision >= change.revision:
            return False
        self._tombstones.pop(change.name, None)
        record = change.record
        if known is not None and self._is_outdated(record, known.record):
            record = known.record
        named = NamedRecord(change.name, change.revision, record)
        is_change = self._is_change(named)
        self._stored[change.name] = named
        self._retained.pop(change.name, None)
        self._removed_records.pop(change.name, None)
        return is_change

    def _remove(self, change: ObjectChange[Record], revision: int) -> bool:
        """Remove an object; return whether it was in effect."""
        self._tombstones.pop(change.name, None)
        self._tombstones[change.name] = max(change.revision, revision)
        current = self._current_record(change.name)
        self._remember_removed([change.name])
        self._retained.pop(change.name, None)
        self._stored.pop(change.name, None)
        return current is not None

    def _is_outdated(self, record: Record, known: Record) -> bool:
        """Whether the known record is newer by marks that always decide."""
        return self.order.retention_seconds is None and self.order.is_older(record, known)

    def _remember_removed(self, names: Iterable[str]) -> None:
        """Remember the last record of removed objects, which a restored store may list again."""
        for name in names:
            record = self._current_record(name)
            if record is not None:
                self._removed_records.pop(name, None)
                self._removed_records[name] = record
        while len(self._removed_records) > TOMBSTONES_KEPT:
            del self._removed_records[next(iter(self._removed_records))]

    def _prune_tombstones(self) -> None:
        while len(self._tombstones) > TOMBSTONES_KEPT:
            name = next(iter(self._tombstones))
            self._tombstone_floor = max(self._tombstone_floor, self._tombstones.pop(name))

    def _as_change(self, named: NamedRecord[Record]) -> ObjectChange[Record]:
        return ObjectChange(named.name, named.revision, named.record)
