"""How records of one kind are ordered where the store's revisions do not decide.

Within an era of the store its revisions order all changes. Across eras they do not: the copy from
which a store was restored may contain older records than a node holds, lack objects, and contain
objects that had been removed. Writers repeat their records within a time that depends on the kind.
Until then a node retains the records that are newer by their own marks, such as a sequence number.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

Record = TypeVar("Record")

UNMARKED = -1
"""Stands for a missing mark; lower than every mark."""


class RecordOrder(ABC, Generic[Record]):
    """The order of the records of one kind.

    A record that is newer than a restored store's is retained for `retention_seconds`; by then its
    writer has repeated it, or it is obsolete. With None it is kept for good, in any era, as the
    records' own marks always decide. With `retains_missing`, objects that the restored store lacks
    are retained too; where records are kept for good, so are removed and unreadable ones.
    """

    retention_seconds: float | None
    retains_missing: bool

    @abstractmethod
    def is_older(self, incoming: Record, known: Record) -> bool:
        """Whether the store's record of an object is older than the known one."""

    def is_same(self, incoming: Record, known: Record) -> bool:
        """Whether two records of an object are equivalent."""
        return incoming == known

    def mark(self, _record: Record) -> int:
        """Return the number that orders a record; UNMARKED if marks do not always decide."""
        return UNMARKED

    def is_recreated(self, _incoming: Record, _removed: Record) -> bool:
        """Whether a removed object that a restored store lists was certainly created again."""
        return False


class UnorderedRecords(RecordOrder[Record]):
    """The order of records without marks: the store's records take effect at once."""

    retention_seconds = 0.0
    retains_missing = False

    def is_older(self, _incoming: Record, _known: Record) -> bool:
        """Return False: without marks no record is known to be older."""
        return False

    def is_recreated(self, _incoming: Record, _removed: Record) -> bool:
        """Return True: every object that the store lists exists."""
        return True
