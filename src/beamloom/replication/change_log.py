"""A bounded log of recent changes, from which peers that are behind are updated."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import cbor2

from beamloom.protocol.configuration_messages import ReplicatedChange, change_to_list

LOG_CAPACITY = 1024
PUSH_SIZE_LIMIT = 1150
"""Bytes of changes in one message, which leaves room for the envelope in a datagram."""


def encoded_size(change: ReplicatedChange) -> int:
    """Return the size of a change in a message, in bytes."""
    return len(cbor2.dumps(change_to_list(change)))


def fits_one_message(change: ReplicatedChange) -> bool:
    """Return whether a change can be pushed; a longer one is only sent in a snapshot."""
    return encoded_size(change) <= PUSH_SIZE_LIMIT


def pack_changes(changes: Iterable[ReplicatedChange]) -> list[list[ReplicatedChange]]:
    """Split changes, in order, into groups that fit one message each."""
    groups: list[list[ReplicatedChange]] = []
    remaining = 0
    for change in changes:
        size = encoded_size(change)
        if not groups or size > remaining:
            groups.append([])
            remaining = PUSH_SIZE_LIMIT
        groups[-1].append(change)
        remaining -= size
    return groups


class ChangeLog:
    """The last `LOG_CAPACITY` changes in revision order."""

    def __init__(self, capacity: int = LOG_CAPACITY) -> None:
        self._changes: deque[ReplicatedChange] = deque(maxlen=capacity)

    def __len__(self) -> int:
        """Return the number of changes in the log."""
        return len(self._changes)

    def append(self, change: ReplicatedChange) -> None:
        """Add the newest change."""
        self._changes.append(change)

    def clear(self) -> None:
        """Remove all changes, after a snapshot has replaced them."""
        self._changes.clear()

    def after(self, revision: int) -> list[ReplicatedChange] | None:
        """Return the changes after `revision`; None if the log does not contain them all."""
        newer: list[ReplicatedChange] = []
        for change in reversed(self._changes):
            if change.revision <= revision:
                break
            newer.append(change)
        newer.reverse()
        if newer and not newer[0].follows(revision):
            return None
        return newer
