"""A bounded log of recent changes, from which a peer that lags is brought up to date."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import cbor2

from beamloom.protocol.configuration_messages import ReplicatedChange, change_to_list

LOG_CAPACITY = 1024
PUSH_SIZE_LIMIT = 1150
"""Bytes of changes in one message, which leaves room for the envelope in a datagram."""


def encoded_size(change: ReplicatedChange) -> int:
    """Return how many bytes a change takes in a message."""
    return len(cbor2.dumps(change_to_list(change)))


def fits_one_message(change: ReplicatedChange) -> bool:
    """Return whether a change can be pushed at all; a longer one travels by snapshot."""
    return encoded_size(change) <= PUSH_SIZE_LIMIT


def pack_changes(changes: Iterable[ReplicatedChange]) -> list[list[ReplicatedChange]]:
    """Split changes, in order, into groups that fit one message each."""
    groups: list[list[ReplicatedChange]] = []
    room = 0
    for change in changes:
        size = encoded_size(change)
        if not groups or size > room:
            groups.append([])
            room = PUSH_SIZE_LIMIT
        groups[-1].append(change)
        room -= size
    return groups


class ChangeLog:
    """The last `LOG_CAPACITY` changes in revision order."""

    def __init__(self, capacity: int = LOG_CAPACITY) -> None:
        self._changes: deque[ReplicatedChange] = deque(maxlen=capacity)

    def __len__(self) -> int:
        """Return how many changes are kept."""
        return len(self._changes)

    def append(self, change: ReplicatedChange) -> None:
        """Add the newest change."""
        self._changes.append(change)

    def clear(self) -> None:
        """Forget every change, when a snapshot took their place."""
        self._changes.clear()

    def after(self, revision: int) -> list[ReplicatedChange] | None:
        """Return the changes that follow `revision`; None when the log does not hold them all."""
        newer: list[ReplicatedChange] = []
        for change in reversed(self._changes):
            if change.revision <= revision:
                break
            newer.append(change)
        newer.reverse()
        if newer and not newer[0].follows(revision):
            return None
        return newer
