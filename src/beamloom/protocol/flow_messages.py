"""Messages about flows: answers for caching, replicas, transfers of partitions, bindings.

Flow records are packed as 12 bytes each: the 8-byte flow key and the 4-byte backend number, or
`ENDED` where the flow is over. Partition sets are packed by `protocol/partition_sets.py`.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from beamloom.model.machines import NodeId
from beamloom.protocol.errors import MalformedDatagramError
from beamloom.protocol.messages import Message, Priority, register_message

RECORD = struct.Struct("!QI")
RECORDS_PER_MESSAGE = 100
ENDED = 0


@dataclass(frozen=True, slots=True)
class FlowRecord:
    """Where one flow goes."""

    key: int
    backend_number: int


class PartitionMark(IntEnum):
    """What a batch says of whole partitions, each with its base revision.

    BEGIN: all records of the partition follow. COMPLETE: they have been sent; what was not among
    them has ended. HANDOVER: the receiver owns the partition from here on. PUSHED: the sender held
    replicas of a home that died, and these were all.
    """

    BEGIN = 0
    COMPLETE = 1
    HANDOVER = 2
    PUSHED = 3


class OwnershipStatus(IntEnum):
    """How a node stands to a partition that another asks for.

    NOBODY: no living node owns it, says one that would know. NEWCOMER: this node cannot tell.
    """

    OWNER = 0
    ELSEWHERE = 1
    NOBODY = 2
    NEWCOMER = 3


def pack_records(records: Iterable[FlowRecord]) -> bytes:
    """Return the records as bytes, 12 each."""
    return b"".join(RECORD.pack(record.key, record.backend_number) for record in records)


def unpack_records(packed: bytes) -> list[FlowRecord]:
    """Read packed records; raises MalformedDatagramError when the length is odd."""
    if not isinstance(packed, bytes) or len(packed) % RECORD.size:
        raise MalformedDatagramError("flow records are not a multiple of 12 bytes")
    return [FlowRecord(key, number) for key, number in RECORD.iter_unpack(packed)]


def check_record(key: object, backend_number: object) -> None:
    """Raise MalformedDatagramError unless both numbers fit into a record."""
    fits = isinstance(key, int) and 0 <= key < 1 << 64
    if not fits or not isinstance(backend_number, int) or not 0 <= backend_number < 1 << 32:
        raise MalformedDatagramError("a flow key or backend number is out of range")


@register_message(40, Priority.CACHE)
@dataclass(frozen=True, slots=True)
class CacheAnswers(Message):
    """The home tells a relaying node where flows go; a lease, see routing/flow_table.py."""

    packed_records: bytes


@dataclass(frozen=True, slots=True)
class SynchronizationBatch(Message):
    """One numbered batch of a stream; taken in this order: openings, records, closings.

    `openings` and `closings` are lists of `[mark, base revision, packed partitions]`.
    """

    number: int
    openings: list[list[object]]
    packed_records: bytes
    closings: list[list[object]]


@register_message(41, Priority.REPLICA)
@dataclass(frozen=True, slots=True)
class ReplicaRecords(SynchronizationBatch):
    """A home tells a replica holder of exceptions and bases."""


@register_message(42, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferRecords(SynchronizationBatch):
    """An owner hands partitions over, or a replica holder pushes what it has of a dead home."""


@register_message(43, Priority.REPLICA)
@dataclass(frozen=True, slots=True)
class ReplicaAcknowledged(Message):
    """The replica holder has taken the batch `number`."""

    number: int


@register_message(44, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferAcknowledged(Message):
    """The receiver has taken the batch `number`, or never will (`accepted` false: it leaves)."""

    number: int
    accepted: bool


@register_message(45, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferRequest(Message):
    """The sender believes that it is home of these partitions and that the receiver owns them."""

    packed_partitions: bytes


@register_message(46, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferAnswer(Message):
    """Answer to `TransferRequest`: `status` is an OwnershipStatus; `owner` is set for ELSEWHERE."""

    status: int
    packed_partitions: bytes
    owner: NodeId


@register_message(47, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class BindFlow(Message):
    """The home binds a flow whose request may not be repeated before its first packet leaves."""

    key: int
    backend_number: int


@register_message(48, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class BindAcknowledged(Message):
    """The replica holder has noted the binding."""

    key: int
    backend_number: int
