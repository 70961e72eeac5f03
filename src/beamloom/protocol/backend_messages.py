"""Messages about the operating status of backends: between their watchers, and to every node.

A status record travels as two integers, `backend_number` and `value`; what `value` holds is said
in `replication/backend_status/register.py`. A field of the wrong type raises ValueError.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.protocol.messages import Message, Priority, register_message
from beamloom.world.contracts import BackendOperatingStatus

BUCKET_COUNT = 128
BUCKET_DIGEST_SIZE = 4
MAXIMUM_BATCH_RECORDS = 60


def _require_integers(name: str, values: object) -> None:
    if not isinstance(values, list | tuple) or not all(type(value) is int for value in values):
        raise ValueError(f"{name} is not a list of integers")


@register_message(65, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class WatcherOpinion(Message):
    """What one watcher of a backend observes of it; `wants_answer` asks for the other's opinion."""

    backend_number: int
    status: int
    wants_answer: bool

    def __post_init__(self) -> None:
        _require_integers("opinion", [self.backend_number, self.status])
        BackendOperatingStatus(self.status)


@register_message(66, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusDigest(Message):
    """The digest of all the sender's records; a receiver whose own differs sends its buckets."""

    root: int

    def __post_init__(self) -> None:
        _require_integers("root", [self.root])


@register_message(67, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusBuckets(Message):
    """`BUCKET_COUNT` digests of `BUCKET_DIGEST_SIZE` bytes: a bucket is `number % BUCKET_COUNT`."""

    digests: bytes

    def __post_init__(self) -> None:
        expected = BUCKET_COUNT * BUCKET_DIGEST_SIZE
        if not isinstance(self.digests, bytes) or len(self.digests) != expected:
            raise ValueError(f"bucket digests are not {expected} bytes")


@register_message(68, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusBatch(Message):
    """Records as a flat list `[number, value, number, value, ...]`.

    `fresh` records are news that a receiver passes on once; others answer a `StatusPull`.
    """

    records: list[int]
    fresh: bool

    def __post_init__(self) -> None:
        _require_integers("records", self.records)
        if len(self.records) % 2 or len(self.records) > 2 * MAXIMUM_BATCH_RECORDS:
            raise ValueError(f"records are not pairs, or more than {MAXIMUM_BATCH_RECORDS}")


@register_message(69, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusPull(Message):
    """Asks for every record of these buckets."""

    buckets: list[int]

    def __post_init__(self) -> None:
        _require_integers("buckets", self.buckets)
        if not all(0 <= bucket < BUCKET_COUNT for bucket in self.buckets):
            raise ValueError(f"a bucket is not in 0..{BUCKET_COUNT - 1}")
