"""The flow table: columns of packed values and one dict from flow key to row.

A flow takes a dict entry, two ints and 29 bytes in the columns; `beamloom bench forwarding`
measures it. Rows of removed flows are reused. Times are seconds on the adapter's clock.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Iterator
from enum import IntFlag

import numpy as np

from beamloom.routing.hashing import PARTITION_COUNT, PARTITION_MASK

SWEEP_ROWS = 2048
DEADLINE_SIZE = 8
NEVER = float("inf")


class FlowFlag(IntFlag):
    """State of one flow's entry.

    `HOME` marks an entry of the flow's home; others are cached copies. `PAYLOAD_SENT` is also set
    if another node may have sent payload. `GUESSED` marks an entry that a home made for an unknown
    flow after a crash, at the flow's base backend. `HELD` marks a flow whose packets wait for its
    binding. `DEADLINE` marks a flow that its home ends at a deadline, so it takes no fast path;
    together with both `CLOSED` flags it marks a flow that was ended at its deadline.
    """

    HOME = 1
    PAYLOAD_SENT = 2
    CLIENT_CLOSED = 4
    BACKEND_CLOSED = 8
    REPLICATED = 16
    GUESSED = 32
    HELD = 64
    DEADLINE = 128


class FlowTable:
    """Entries of the flows known at this node.

    `deadline` is when an entry expires: at the end of its lease for a cached copy, otherwise after
    the idle timeout, or some seconds after both sides closed the flow. `created` is when the entry
    was last inserted or replaced.
    """

    def __init__(self) -> None:
        self.rows: dict[int, int] = {}
        self.backend = array("I")
        self.deadline = array("d")
        self.created = array("d")
        self.flags = array("B")
        self._keys = array("Q")
        self._free: list[int] = []
        self._cursor = 0

    def __len__(self) -> int:
        return len(self.rows)

    def insert(self, key: int, backend: int, flags: int, deadline: float, now: float) -> int:
        """Add or replace the entry of a flow and return its row."""
        row = self.rows.get(key)
        if row is None:
            row = self._new_row(key)
        self.backend[row] = backend
        self.deadline[row] = deadline
        self.created[row] = now
        self.flags[row] = flags
        return row

    def _new_row(self, key: int) -> int:
        if self._free:
            row = self._free.pop()
            self._keys[row] = key
        else:
            row = len(self._keys)
            self._keys.append(key)
            self.backend.append(0)
            self.deadline.append(0.0)
            self.created.append(0.0)
            self.flags.append(0)
        self.rows[key] = row
        return row

    def remove(self, key: int) -> None:
        """Remove the entry of a flow; unknown keys are ignored."""
        row = self.rows.pop(key, None)
        if row is not None:
            self._free.append(row)
            self.deadline[row] = NEVER

    def items(self) -> Iterator[tuple[int, int]]:
        """Iterate over (key, row) of every entry; the table must not change meanwhile."""
        return iter(self.rows.items())

    def rows_in(self, partitions: Iterable[int]) -> list[tuple[int, int]]:
        """Return (key, row) of every entry in the partitions, by one scan of the columns."""
        wanted = np.zeros(PARTITION_COUNT, dtype=np.bool_)
        wanted[list(partitions)] = True
        keys = np.array(self._keys, dtype=np.uint64)
        found = np.flatnonzero(wanted[keys & np.uint64(PARTITION_MASK)]).tolist()
        pairs = ((self._keys[row], row) for row in found)
        return [(key, row) for key, row in pairs if self.rows.get(key) == row]

    def keys_with_backends(self, numbers: Iterable[int]) -> list[int]:
        """Return the keys of the flows to these backends, by one scan of the columns."""
        column = np.array(self.backend, dtype=np.uint32)
        found = np.flatnonzero(np.isin(column, np.array(list(numbers), dtype=np.uint32)))
        return [self._keys[row] for row in found if self.rows.get(self._keys[row]) == row]

    def expired(self, now: float) -> list[int]:
        """Return the keys of expired entries among the next `SWEEP_ROWS` rows.

        Successive calls go through the table in turn and start again at its end.
        """
        count = len(self._keys)
        if not count:
            return []
        start = self._cursor if self._cursor < count else 0
        end = min(start + SWEEP_ROWS, count)
        self._cursor = end % count
        deadlines = np.frombuffer(self.deadline, dtype=np.float64, offset=start * DEADLINE_SIZE)
        due = np.flatnonzero(deadlines[: end - start] <= now) + start
        keys = [(self._keys[row], row) for row in due.tolist()]
        return [key for key, row in keys if self.rows.get(key) == row]
