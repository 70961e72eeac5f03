"""Messages about flows: cached answers, replicas, transfers of partitions, bindings.

Flow records are packed as 12 bytes each: the 8-byte flow key and the 4-byte backend number, or
`ENDED` if the flow has ended. Partition sets are packed by `protocol/partition_sets.py`.
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
    """The backend of one flow."""

    key: int
    backend_number: int


class PartitionMark(IntEnum):
    """State of a whole partition, sent in a batch with the partition's base revision.

    BEGIN: all records of the partition follow. COMPLETE: all were sent; flows without a record have
    ended. HANDOVER: the receiver owns the partition from now on. PUSHED: the sender held replicas
    of a home that died and has sent all of them.
    """

    BEGIN = 0
    COMPLETE = 1
    HANDOVER = 2
    PUSHED = 3


class OwnershipStatus(IntEnum):
    """Ownership of a requested partition, as the answering node knows it.

    OWNER: it owns the partition itself. ELSEWHERE: another reachable node may own it. NOBODY: no
    reachable node is known to own it. NEWCOMER: it joined too recently to know.
    """

    OWNER = 0
    ELSEWHERE = 1
    NOBODY = 2
    NEWCOMER = 3


def pack_records(records: Iterable[FlowRecord]) -> bytes:
    """Return the records as bytes, 12 each."""
    return b"".join(RECORD.pack(record.key, record.backend_number) for record in records)


def unpack_records(packed: bytes) -> list[FlowRecord]:
    """Read packed records; raises MalformedDatagramError unless they are 12 bytes each."""
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
    """Backends of flows, leased by their home to a relaying node; see routing/flow_table.py."""

    packed_records: bytes


@dataclass(frozen=True, slots=True)
class SynchronizationBatch(Message):
    """One numbered batch of a stream, applied in this order: openings, records, closings.

    `openings` and `closings` are lists of `[mark, base revision, packed partitions]`.
    """

    number: int
    openings: list[list[object]]
    packed_records: bytes
    closings: list[list[object]]


@register_message(41, Priority.REPLICA)
@dataclass(frozen=True, slots=True)
class ReplicaRecords(SynchronizationBatch):
    """Exceptions and base revisions, sent by a home to a replica holder."""


@register_message(42, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferRecords(SynchronizationBatch):
    """Partitions handed over by their owner, or replicas of a dead home pushed by their holder."""


@register_message(43, Priority.REPLICA)
@dataclass(frozen=True, slots=True)
class ReplicaAcknowledged(Message):
    """The replica holder has received the batch `number`."""

    number: int


@register_message(44, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferAcknowledged(Message):
    """The batch `number` is received, or refused as the receiver is leaving (`accepted` False)."""

    number: int
    accepted: bool


@register_message(45, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferRequest(Message):
    """Requests the transfer of partitions: the sender is their home, the receiver may own them."""

    packed_partitions: bytes


@register_message(46, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class TransferAnswer(Message):
    """Answers a `TransferRequest`: `status` is an OwnershipStatus; `owner` is set for ELSEWHERE."""

    status: int
    packed_partitions: bytes
    owner: NodeId


@register_message(47, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class BindFlow(Message):
    """Binds a flow with a non-repeatable request to a backend, before its first packet is sent."""

    key: int
    backend_number: int


@register_message(48, Priority.TRANSFER)
@dataclass(frozen=True, slots=True)
class BindAcknowledged(Message):
    """The replica holder has stored the binding."""

    key: int
    backend_number: int
