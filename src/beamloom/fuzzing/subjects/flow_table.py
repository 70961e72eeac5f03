"""Checks the flow table against a dict."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from beamloom.fuzzing.errors import InvariantViolationError
from beamloom.routing.flow_table import SWEEP_ROWS, FlowTable
from beamloom.routing.hashing import PARTITION_MASK


@dataclass(frozen=True, slots=True)
class _Entry:
    backend: int
    flags: int
    deadline: float
    created: float


class FlowTableSubject:
    """Inserts, removes, expires and scans flows, and compares all entries after each change."""

    def __init__(self) -> None:
        self._table = FlowTable()
        self._model: dict[int, _Entry] = {}

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """The operations of the table."""
        return {
            "insert": self._insert,
            "remove": self._remove,
            "expire": self._expire,
            "scan_partition": self._scan_partition,
            "scan_backend": self._scan_backend,
        }

    def finish(self) -> None:
        """Compare all entries."""
        self._compare()

    def _insert(self, key: int, backend: int, flags: int, deadline: float, now: float) -> None:
        self._table.insert(key, backend, flags, deadline, now)
        self._model[key] = _Entry(backend, flags, deadline, now)
        self._compare()

    def _remove(self, key: int) -> None:
        self._table.remove(key)
        self._model.pop(key, None)
        self._compare()

    def _expire(self, now: float) -> None:
        """Remove the expired entries; they are checked while one sweep can cover the table."""
        expired = self._table.expired(now)
        due = {key for key, entry in self._model.items() if entry.deadline <= now}
        if len(self._model) < SWEEP_ROWS:
            _check_equal("expired", sorted(due), sorted(expired))
        for key in expired:
            self._remove(key)

    def _scan_partition(self, partition: int) -> None:
        found = sorted(key for key, _ in self._table.rows_in([partition]))
        expected = sorted(key for key in self._model if key & PARTITION_MASK == partition)
        _check_equal("rows of a partition", expected, found)

    def _scan_backend(self, backend: int) -> None:
        found = sorted(self._table.keys_with_backends([backend]))
        expected = sorted(key for key, entry in self._model.items() if entry.backend == backend)
        _check_equal("flows of a backend", expected, found)

    def _compare(self) -> None:
        table = self._table
        found = {
            key: _Entry(
                table.backend[row], table.flags[row], table.deadline[row], table.created[row]
            )
            for key, row in table.items()
        }
        _check_equal("entries", self._model, found)
        _check_equal("length", len(self._model), len(table))


def _check_equal(what: str, expected: object, found: object) -> None:
    if expected != found:
        raise InvariantViolationError(f"{what}: expected {expected!r}, found {found!r}")
