"""What the writers of a kind of object tell of the order of their words.

Within an era of the store its revisions order all changes. Across two they do not: the copy that a
store came back from may hold older words than a node knows, lack objects, and hold some that had
gone. Their writers repeat what they wrote, within a time that depends on the kind. Until then a
node holds on to what it knows, as a record's own marks tell that it is newer.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

Record = TypeVar("Record")

UNMARKED = -1
"""In place of a mark, and below all of them."""


class RecordOrder(ABC, Generic[Record]):
    """The order of the words of one kind's writers.

    A word that is newer than the copy's is kept for `settle_seconds`; by then its writer has
    repeated it, or it no longer holds. With None it is kept for good, in any era: then a record's
    own marks always decide. With `keeps_missing`, so is an object that the copy lacks, or, where
    words are kept for good, one whose removal the store tells or that it holds unreadable.
    """

    settle_seconds: float | None
    keeps_missing: bool

    @abstractmethod
    def is_older(self, told: Record, known: Record) -> bool:
        """Whether the store's word of an object is older than the known one."""

    def is_same(self, told: Record, known: Record) -> bool:
        """Whether two words of an object tell the same."""
        return told == known

    def mark(self, _record: Record) -> int:
        """Return how far a record is by its own marks; UNMARKED where these do not decide."""
        return UNMARKED

    def is_new_life(self, _told: Record, _ended: Record) -> bool:
        """Whether an object that had gone, and that a copy holds, was surely made anew since."""
        return False


class NoOrder(RecordOrder[Record]):
    """Of writers who tell nothing: what the store says holds at once."""

    settle_seconds = 0.0
    keeps_missing = False

    def is_older(self, _told: Record, _known: Record) -> bool:
        """Nothing is known to be older."""
        return False

    def is_new_life(self, _told: Record, _ended: Record) -> bool:
        """Whatever the store holds is there."""
        return True
