"""Revisions of a store that may be restored from an older copy.

A restored store reuses change numbers, so that a number alone does not order changes; the store
raises its era with each restore. A revision holds both in one integer, with the era in the high
bits, so that revisions compare correctly across restores.
"""

NUMBER_BITS = 48
"""Bits of the number; enough for 20,000 changes a second over 400 years."""
_NUMBER_MASK = (1 << NUMBER_BITS) - 1
UNKNOWN_ERA = 0
"""Era of a store, or a peer of an earlier release, that reports none; below every reported era."""


def revision_in_era(era: int, number: int) -> int:
    """Return the revision of a change number in an era."""
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's change number of a revision."""
    return revision & _NUMBER_MASK
