"""The flow table against a plain dict."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from beamloom.fuzzing.errors import BrokenPromiseError
from beamloom.routing.flow_table import SWEEP_ROWS, FlowTable
from beamloom.routing.hashing import PARTITION_MASK


@dataclass(frozen=True, slots=True)
class _Entry:
    backend: int
    flags: int
    deadline: float
    created: float


class FlowTableSubject:
    """Inserts, removes, expires and scans flows; keys are few, so that rows are reused."""

    def __init__(self) -> None:
        self._table = FlowTable()
        self._model: dict[int, _Entry] = {}

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """What can be done to the table."""
        return {
            "insert": self._insert,
            "remove": self._remove,
            "expire": self._expire,
            "scan_partition": self._scan_partition,
            "scan_backend": self._scan_backend,
        }

    def finish(self) -> None:
        """Compare every entry."""
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
        """Take out what has expired; one sweep sees the whole table while it is small."""
        expired = self._table.expired(now)
        due = {key for key, entry in self._model.items() if entry.deadline <= now}
        if len(self._model) < SWEEP_ROWS:
            _expect("expired", sorted(due), sorted(expired))
        for key in expired:
            self._remove(key)

    def _scan_partition(self, partition: int) -> None:
        found = sorted(key for key, _ in self._table.rows_in([partition]))
        wanted = sorted(key for key in self._model if key & PARTITION_MASK == partition)
        _expect("rows of a partition", wanted, found)

    def _scan_backend(self, backend: int) -> None:
        found = sorted(self._table.keys_with_backends([backend]))
        wanted = sorted(key for key, entry in self._model.items() if entry.backend == backend)
        _expect("flows of a backend", wanted, found)

    def _compare(self) -> None:
        table = self._table
        found = {
            key: _Entry(
                table.backend[row], table.flags[row], table.deadline[row], table.created[row]
            )
            for key, row in table.items()
        }
        _expect("entries", self._model, found)
        _expect("length", len(self._model), len(table))


def _expect(what: str, wanted: object, found: object) -> None:
    if wanted != found:
        raise BrokenPromiseError(f"{what}: expected {wanted!r}, found {found!r}")
