"""Messages about the operating status of backends: between their watchers, and to every node.

A status record travels as two integers, `backend_number` and `value`; what `value` holds is said
in `replication/backend_status/register.py`. A field of the wrong type raises ValueError.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.contracts import BackendOperatingStatus
from beamloom.protocol.messages import Message, Priority, register_message

BUCKET_COUNT = 128
BUCKET_DIGEST_SIZE = 4
MAXIMUM_BATCH_RECORDS = 60
MAXIMUM_RECORDS_OF_REPAIR = 90


def _require_integers(name: str, values: object) -> None:
    if not isinstance(values, list | tuple) or not all(type(value) is int for value in values):
        raise ValueError(f"{name} is not a list of integers")


def _require_records(values: list[int], maximum: int) -> None:
    _require_integers("records", values)
    if len(values) % 2 or len(values) > 2 * maximum:
        raise ValueError(f"records are not pairs, or more than {maximum}")


@register_message(64, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusExceptions(Message):
    """The sender's records of backends that are offline or shedding, as `StatusBatch` has them.

    Where they do not all fit, they are a random part, and `complete` is False. The receiver takes
    what is newer; when `wants_reply`, it sends back what it knows better.
    """

    records: list[int]
    complete: bool
    wants_reply: bool

    def __post_init__(self) -> None:
        _require_records(self.records, MAXIMUM_RECORDS_OF_REPAIR)


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
    """Digests of the sender's records; a receiver whose own differ answers.

    `exceptions` covers the backends that are offline or shedding; a receiver that differs sends its
    `StatusExceptions`. `root` covers all records, None when it is not to be compared this time; a
    receiver that differs sends its `StatusBuckets`.
    """

    exceptions: int
    root: int | None

    def __post_init__(self) -> None:
        _require_integers("digest", [self.exceptions])
        if self.root is not None:
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
        _require_records(self.records, MAXIMUM_BATCH_RECORDS)


@register_message(69, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusPull(Message):
    """Asks for every record of these buckets."""

    buckets: list[int]

    def __post_init__(self) -> None:
        _require_integers("buckets", self.buckets)
        if not all(0 <= bucket < BUCKET_COUNT for bucket in self.buckets):
            raise ValueError(f"a bucket is not in 0..{BUCKET_COUNT - 1}")
