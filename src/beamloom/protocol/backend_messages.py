"""Messages of backend operating status: between the watchers of a backend, and among all nodes.

A status record is sent as two integers, `backend_number` and `value`; see
`replication/backend_status/register.py` for the layout of `value`. A field of the wrong type raises
ValueError.
"""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.model.contracts import BackendOperatingStatus
from beamloom.protocol.messages import Message, Priority, register_message

BUCKET_COUNT = 128
BUCKET_DIGEST_SIZE = 4
MAXIMUM_BATCH_RECORDS = 60
MAXIMUM_EXCEPTION_RECORDS = 90


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
    """The sender's records of backends that are offline or shedding, encoded as in `StatusBatch`.

    If not all of them fit, a random sample is sent and `complete` is False. The receiver merges
    newer records and sends back those that it has newer. With `wants_reply` and `complete` it adds
    its own records of such backends that the message lacks.
    """

    records: list[int]
    complete: bool
    wants_reply: bool

    def __post_init__(self) -> None:
        _require_records(self.records, MAXIMUM_EXCEPTION_RECORDS)


@register_message(65, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class WatcherOpinion(Message):
    """A backend's status as one of its two watchers observes it.

    `wants_answer` requests the status that the other watcher observes.
    """

    backend_number: int
    status: int
    wants_answer: bool

    def __post_init__(self) -> None:
        _require_integers("opinion", [self.backend_number, self.status])
        BackendOperatingStatus(self.status)


@register_message(66, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusDigest(Message):
    """Digests of the sender's records; a receiver with other digests answers.

    `exceptions` covers the backends that are offline or shedding; the answer is `StatusExceptions`.
    `root` covers all records, or is None if only the exceptions are compared; the answer is
    `StatusBuckets`.
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

    `fresh` records are pushed, and a receiver to which they are new pushes them on. Others answer a
    `StatusPull`.
    """

    records: list[int]
    fresh: bool

    def __post_init__(self) -> None:
        _require_records(self.records, MAXIMUM_BATCH_RECORDS)


@register_message(69, Priority.STATUS)
@dataclass(frozen=True, slots=True)
class StatusPull(Message):
    """Requests the records of these buckets; the receiver limits how many it sends."""

    buckets: list[int]

    def __post_init__(self) -> None:
        _require_integers("buckets", self.buckets)
        if not all(0 <= bucket < BUCKET_COUNT for bucket in self.buckets):
            raise ValueError(f"a bucket is not in 0..{BUCKET_COUNT - 1}")
