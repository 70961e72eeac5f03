"""Reliable, ordered streams of flow records to peers, with one batch in flight for each peer.

Queued items are coalesced by flow key and by partition, so a burst takes memory here instead of
the control budget. At most `maximum_in_flight` batches of about `BATCH_BYTES` are unacknowledged at
any time. A batch is resent after 0.5 s, then at intervals that double up to 4 s. A batch is sent
only after the previous one was acknowledged, so the receiver handles them in order and can ignore
numbers it has already handled.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.errors import MalformedDatagramError
from beamloom.protocol.flow_messages import (
    RECORD,
    FlowRecord,
    PartitionMark,
    SynchronizationBatch,
    pack_records,
)
from beamloom.protocol.partition_sets import (
    MAXIMUM_PACKED_BYTES,
    pack_partitions,
    split_partitions,
    unpack_partitions,
)
from beamloom.routing.hashing import PARTITION_COUNT

BATCH_BYTES = 1050
GROUP_OVERHEAD = 16
FIRST_RESEND_SECONDS = 0.5
LAST_RESEND_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class PartitionMarkEntry:
    """A partition's mark in a batch, with the partition's base revision."""

    mark: PartitionMark
    base: int


@dataclass(slots=True)
class InFlightBatch:
    """An unacknowledged batch; `closed` holds the partitions with a closing mark in it."""

    message: SynchronizationBatch
    closed: dict[int, PartitionMarkEntry]
    resend_at: float
    resend_interval_seconds: float = FIRST_RESEND_SECONDS


@dataclass(slots=True)
class PeerStream:
    """Items queued for one peer; all openings are sent first, then all records, then closings.

    The receiver would discard a record that arrived before the opening mark of its partition: at
    the closing mark it drops every record that was not sent again since the opening mark.
    """

    openings: dict[int, PartitionMarkEntry] = field(default_factory=dict)
    records: dict[int, int] = field(default_factory=dict)
    closings: dict[int, PartitionMarkEntry] = field(default_factory=dict)
    in_flight: InFlightBatch | None = None

    @property
    def waiting(self) -> bool:
        """Whether there are items that are not in a batch yet."""
        return bool(self.openings or self.records or self.closings)


class StreamSet:
    """Streams of one message class to all peers.

    `on_closing` is called with the peer and the partitions that a new batch is about to close.
    """

    def __init__(
        self,
        message_type: type[SynchronizationBatch],
        maximum_in_flight: int,
        on_closing: Callable[[NodeId, dict[int, PartitionMarkEntry]], None] | None = None,
    ) -> None:
        self._message_type = message_type
        self._maximum_in_flight = maximum_in_flight
        self._on_closing = on_closing
        self._streams: dict[NodeId, PeerStream] = {}
        self._numbers: dict[NodeId, int] = {}

    def stream(self, peer: NodeId) -> PeerStream:
        """Return the stream to a peer; it is created on first use."""
        return self._streams.setdefault(peer, PeerStream())

    def put(self, peer: NodeId, key: int, backend_number: int) -> None:
        """Queue one record, replacing a queued one of the same flow."""
        self.stream(peer).records[key] = backend_number

    def forget(self, peer: NodeId) -> None:
        """Drop everything queued or in flight for a peer."""
        self._streams.pop(peer, None)

    @property
    def idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return not any(item.waiting or item.in_flight for item in self._streams.values())

    @property
    def waiting_records(self) -> int:
        """The number of queued records, without those in flight."""
        return sum(len(item.records) for item in self._streams.values())

    def acknowledge(self, peer: NodeId, number: int) -> dict[int, PartitionMarkEntry]:
        """Handle an acknowledgement; returns the partitions that the batch closed.

        Empty if the batch is not the one in flight.
        """
        stream = self._streams.get(peer)
        if stream is None or stream.in_flight is None or stream.in_flight.message.number != number:
            return {}
        closed = stream.in_flight.closed
        stream.in_flight = None
        return closed

    def flush(self, now: float) -> list[Command]:
        """Return overdue batches to resend, and new batches up to the limit in flight."""
        commands: list[Command] = []
        batches_in_flight = sum(item.in_flight is not None for item in self._streams.values())
        for peer, stream in list(self._streams.items()):
            if stream.in_flight is not None:
                commands.extend(_resend(peer, stream.in_flight, now))
            elif stream.waiting and batches_in_flight < self._maximum_in_flight:
                commands.append(SendMessage(peer, self._next_batch(peer, stream, now)))
                batches_in_flight += 1
                self._streams[peer] = self._streams.pop(peer)
        return commands

    def _next_batch(self, peer: NodeId, stream: PeerStream, now: float) -> SynchronizationBatch:
        opened = _take_group(stream.openings)
        openings, used = _encode_group(opened)
        record_limit = 0 if stream.openings else (BATCH_BYTES - used) // RECORD.size
        keys = list(stream.records)[:record_limit]
        records = pack_records(FlowRecord(key, stream.records.pop(key)) for key in keys)
        closed: dict[int, PartitionMarkEntry] = {}
        remaining = BATCH_BYTES - used - len(records)
        if not stream.records and not stream.openings and remaining >= MAXIMUM_PACKED_BYTES:
            closed = _take_group(stream.closings)
        number = self._numbers.get(peer, 0) + 1
        self._numbers[peer] = number
        message = self._message_type(number, openings, records, _encode_group(closed)[0])
        stream.in_flight = InFlightBatch(message, closed, now + FIRST_RESEND_SECONDS)
        if closed and self._on_closing is not None:
            self._on_closing(peer, closed)
        return message


def _resend(peer: NodeId, batch: InFlightBatch, now: float) -> Iterable[Command]:
    if batch.resend_at > now:
        return ()
    batch.resend_interval_seconds = min(2 * batch.resend_interval_seconds, LAST_RESEND_SECONDS)
    batch.resend_at = now + batch.resend_interval_seconds
    return (SendMessage(peer, batch.message),)


def _take_group(notes: dict[int, PartitionMarkEntry]) -> dict[int, PartitionMarkEntry]:
    """Remove and return the partitions that share the oldest mark and base, up to one set."""
    if not notes:
        return {}
    note = next(iter(notes.values()))
    same = [partition for partition, other in notes.items() if other == note]
    part = next(split_partitions(same))
    return {partition: notes.pop(partition) for partition in part}


def _encode_group(group: dict[int, PartitionMarkEntry]) -> tuple[list[list[object]], int]:
    """Return the wire form of a group and its approximate size in bytes."""
    if not group:
        return [], 0
    note = next(iter(group.values()))
    packed = pack_partitions(sorted(group))
    return [[int(note.mark), note.base, packed]], len(packed) + GROUP_OVERHEAD


def parse_partition_marks(groups: object) -> list[tuple[int, PartitionMarkEntry]]:
    """Parse marked groups of partitions; raises MalformedDatagramError."""
    if not isinstance(groups, list):
        raise MalformedDatagramError("partition marks are not a list")
    notes: list[tuple[int, PartitionMarkEntry]] = []
    for group in groups:
        if not isinstance(group, list) or len(group) != 3 or not isinstance(group[1], int):
            raise MalformedDatagramError("a group of partitions is not [mark, base, partitions]")
        try:
            note = PartitionMarkEntry(PartitionMark(group[0]), group[1])
        except ValueError as error:
            raise MalformedDatagramError(f"unknown partition mark {group[0]!r}") from error
        notes.extend((item, note) for item in unpack_partitions(group[2], PARTITION_COUNT))
    return notes
