"""The newest status record of each backend: a last-writer-wins register with a digest per bucket.

A record is encoded as one integer, its `value`, and the greater value is the newer record. From the
highest bits down it holds the epoch, whether the first watcher wrote it, reason, weight class and
status.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

import xxhash

from beamloom.model.contracts import BackendOperatingStatus
from beamloom.protocol.backend_messages import BUCKET_COUNT, BUCKET_DIGEST_SIZE
from beamloom.replication.backend_status.load_reports import NEUTRAL_CLASS

STATUS_BITS = 2
CLASS_BITS = 3
REASON_BITS = 3
CLASS_SHIFT = STATUS_BITS
REASON_SHIFT = CLASS_SHIFT + CLASS_BITS
RANK_SHIFT = REASON_SHIFT + REASON_BITS
EPOCH_SHIFT = RANK_SHIFT + 1
MAXIMUM_VALUE = (1 << 63) - 1
DIGEST_MASK = (1 << (8 * BUCKET_DIGEST_SIZE)) - 1
_RECORD = struct.Struct("!QQ")
_BUCKETS = struct.Struct(f"!{BUCKET_COUNT}I")


class StatusReason(IntEnum):
    """Why a watcher wrote a record; the encoding has room for eight reasons."""

    NONE = 0
    CHECKS_PASSED = 1
    CHECKS_FAILED = 2
    CHECKS_FAILED_OTHER_WATCHER_SILENT = 3
    SHEDDING_REPORTED = 4
    LOAD_REPORTED = 5
    LOAD_REPORT_FROZEN = 6


class StatusRecord(NamedTuple):
    """A decoded record; at the same epoch, the first watcher's record replaces the second's."""

    epoch: int
    by_first_watcher: bool
    reason: StatusReason
    weight_class: int
    status: BackendOperatingStatus

    def encode(self) -> int:
        """Return the record's value."""
        value = self.epoch << EPOCH_SHIFT | self.by_first_watcher << RANK_SHIFT
        value |= self.reason << REASON_SHIFT | self.weight_class << CLASS_SHIFT
        return value | self.status


def assumed_online_record() -> StatusRecord:
    """Return the record that stands for a missing one: online, with the neutral weight class."""
    return StatusRecord(0, False, StatusReason.NONE, NEUTRAL_CLASS, BackendOperatingStatus.ONLINE)


def decode_record(value: int) -> StatusRecord:
    """Return the record of a value; a reason that this version does not know becomes NONE."""
    reason = value >> REASON_SHIFT & ((1 << REASON_BITS) - 1)
    return StatusRecord(
        epoch=value >> EPOCH_SHIFT,
        by_first_watcher=bool(value >> RANK_SHIFT & 1),
        reason=StatusReason(reason) if reason in _REASONS else StatusReason.NONE,
        weight_class=value >> CLASS_SHIFT & ((1 << CLASS_BITS) - 1),
        status=BackendOperatingStatus(value & ((1 << STATUS_BITS) - 1)),
    )


def _digest(backend_number: int, value: int) -> int:
    return xxhash.xxh3_64_intdigest(_RECORD.pack(backend_number, value))


_REASONS = frozenset(StatusReason)
_EXCEPTION_STATUSES = frozenset({BackendOperatingStatus.OFFLINE, BackendOperatingStatus.SHEDDING})


class StatusRegister:
    """Values by backend number.

    `exceptions` are the values of backends that are offline or shedding. Their digest is separate,
    so that nodes can compare them more often than all records.
    """

    def __init__(self) -> None:
        self._values: dict[int, int] = {}
        self._buckets: list[set[int]] = [set() for _ in range(BUCKET_COUNT)]
        self._digests = [0] * BUCKET_COUNT
        self.root = 0
        self.exceptions: dict[int, int] = {}
        self.exceptions_root = 0

    def __len__(self) -> int:
        """Return the number of backends that have a record."""
        return len(self._values)

    def value(self, backend_number: int) -> int:
        """Return a backend's value, 0 if it has none."""
        return self._values.get(backend_number, 0)

    def items(self) -> Iterator[tuple[int, int]]:
        """Return every (number, value) pair."""
        return iter(self._values.items())

    def apply(self, backend_number: int, value: int) -> bool:
        """Store a valid value that is newer than the current one; return whether it was."""
        before = self._values.get(backend_number, 0)
        if not before < value <= MAXIMUM_VALUE:
            return False
        if before:
            self._toggle_digest(backend_number, before)
        self._update_exceptions(backend_number, value)
        self._values[backend_number] = value
        self._buckets[backend_number % BUCKET_COUNT].add(backend_number)
        self._toggle_digest(backend_number, value)
        return True

    def remove(self, backend_number: int) -> None:
        """Remove a backend's record, if any."""
        value = self._values.pop(backend_number, None)
        if value is not None:
            self._buckets[backend_number % BUCKET_COUNT].discard(backend_number)
            self._toggle_digest(backend_number, value)
            self._update_exceptions(backend_number, 0)

    def bucket_digests(self) -> bytes:
        """Return the digests of all buckets in wire format."""
        return _BUCKETS.pack(*(digest & DIGEST_MASK for digest in self._digests))

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digest differs from the one in `digests`, in wire format."""
        others = _BUCKETS.unpack(digests)
        own = self._digests
        return [index for index, digest in enumerate(others) if own[index] & DIGEST_MASK != digest]

    def bucket_records(self, buckets: Iterable[int]) -> list[tuple[int, int]]:
        """Return every (number, value) pair of the given buckets."""
        values = self._values
        return [(number, values[number]) for bucket in buckets for number in self._buckets[bucket]]

    def _update_exceptions(self, backend_number: int, value: int) -> None:
        before = self.exceptions.pop(backend_number, None)
        if before is not None:
            self.exceptions_root ^= _digest(backend_number, before)
        if decode_record(value).status in _EXCEPTION_STATUSES:
            self.exceptions[backend_number] = value
            self.exceptions_root ^= _digest(backend_number, value)

    def _toggle_digest(self, backend_number: int, value: int) -> None:
        digest = _digest(backend_number, value)
        self._digests[backend_number % BUCKET_COUNT] ^= digest
        self.root ^= digest
