"""Reliable, ordered streams of flow records to peers, one batch in flight for each peer.

What waits is coalesced by flow key and by partition, so a burst costs memory here and not the
control budget. At most `maximum_in_flight` batches of at most `BATCH_BYTES` are unacknowledged at
any time; a batch is resent after 0.5 s, doubling up to 4 s. Since a batch leaves only when the one
before it was acknowledged, the receiver takes them in order and ignores numbers it has seen.
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
class PartitionNote:
    """A mark for one partition with its base revision."""

    mark: PartitionMark
    base: int


@dataclass(slots=True)
class InFlightBatch:
    """A batch that is not acknowledged yet; `closed` holds the partitions it closes."""

    message: SynchronizationBatch
    closed: dict[int, PartitionNote]
    resend_at: float
    resend_interval: float = FIRST_RESEND_SECONDS


@dataclass(slots=True)
class PeerStream:
    """What waits for one peer: all openings leave first, then all records, then the closings.

    A record that overtook the opening of its partition would count as not repeated.
    """

    openings: dict[int, PartitionNote] = field(default_factory=dict)
    records: dict[int, int] = field(default_factory=dict)
    closings: dict[int, PartitionNote] = field(default_factory=dict)
    in_flight: InFlightBatch | None = None

    @property
    def waiting(self) -> bool:
        """Whether there is anything that no batch has carried yet."""
        return bool(self.openings or self.records or self.closings)


class StreamSet:
    """Streams of one message class to all peers; `closing` is told what a new batch closes."""

    def __init__(
        self,
        message_type: type[SynchronizationBatch],
        maximum_in_flight: int,
        on_closings_sent: Callable[[NodeId, dict[int, PartitionNote]], None] | None = None,
    ) -> None:
        self._message_type = message_type
        self._maximum_in_flight = maximum_in_flight
        self._on_closings_sent = on_closings_sent
        self._streams: dict[NodeId, PeerStream] = {}
        self._numbers: dict[NodeId, int] = {}

    def stream(self, peer: NodeId) -> PeerStream:
        """Return the stream to a peer, made when first asked for."""
        return self._streams.setdefault(peer, PeerStream())

    def put(self, peer: NodeId, key: int, backend_number: int) -> None:
        """Queue one record; a later one for the same flow replaces it."""
        self.stream(peer).records[key] = backend_number

    def forget(self, peer: NodeId) -> None:
        """Drop everything for a peer that no longer answers."""
        self._streams.pop(peer, None)

    @property
    def idle(self) -> bool:
        """Whether nothing waits and nothing is unacknowledged."""
        return not any(item.waiting or item.in_flight for item in self._streams.values())

    @property
    def waiting_records(self) -> int:
        """How many records no batch has carried yet."""
        return sum(len(item.records) for item in self._streams.values())

    def acknowledge(self, peer: NodeId, number: int) -> dict[int, PartitionNote]:
        """Take an acknowledgement and return what that batch closed; empty for an old one."""
        stream = self._streams.get(peer)
        if stream is None or stream.in_flight is None or stream.in_flight.message.number != number:
            return {}
        closed = stream.in_flight.closed
        stream.in_flight = None
        return closed

    def flush(self, now: float) -> list[Command]:
        """Resend what is overdue and send new batches while the bound allows."""
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
        closed: dict[int, PartitionNote] = {}
        remaining = BATCH_BYTES - used - len(records)
        if not stream.records and not stream.openings and remaining >= MAXIMUM_PACKED_BYTES:
            closed = _take_group(stream.closings)
        number = self._numbers.get(peer, 0) + 1
        self._numbers[peer] = number
        message = self._message_type(number, openings, records, _encode_group(closed)[0])
        stream.in_flight = InFlightBatch(message, closed, now + FIRST_RESEND_SECONDS)
        if closed and self._on_closings_sent is not None:
            self._on_closings_sent(peer, closed)
        return message


def _resend(peer: NodeId, flight: InFlightBatch, now: float) -> Iterable[Command]:
    if flight.resend_at > now:
        return ()
    flight.resend_interval = min(2 * flight.resend_interval, LAST_RESEND_SECONDS)
    flight.resend_at = now + flight.resend_interval
    return (SendMessage(peer, flight.message),)


def _take_group(notes: dict[int, PartitionNote]) -> dict[int, PartitionNote]:
    """Remove and return partitions that share the oldest note, as many as pack into one set."""
    if not notes:
        return {}
    note = next(iter(notes.values()))
    same = [partition for partition, other in notes.items() if other == note]
    part = next(split_partitions(same))
    return {partition: notes.pop(partition) for partition in part}


def _encode_group(group: dict[int, PartitionNote]) -> tuple[list[list[object]], int]:
    """Return the wire form of a group and about how many bytes it takes."""
    if not group:
        return [], 0
    note = next(iter(group.values()))
    packed = pack_partitions(sorted(group))
    return [[int(note.mark), note.base, packed]], len(packed) + GROUP_OVERHEAD


def read_notes(groups: object) -> list[tuple[int, PartitionNote]]:
    """Read marked groups of partitions; raises MalformedDatagramError."""
    if not isinstance(groups, list):
        raise MalformedDatagramError("partition notes are not a list")
    notes: list[tuple[int, PartitionNote]] = []
    for group in groups:
        if not isinstance(group, list) or len(group) != 3 or not isinstance(group[1], int):
            raise MalformedDatagramError("a partition note is not [mark, base, partitions]")
        try:
            note = PartitionNote(PartitionMark(group[0]), group[1])
        except ValueError as error:
            raise MalformedDatagramError(f"a partition note has mark {group[0]!r}") from error
        notes.extend((item, note) for item in unpack_partitions(group[2], PARTITION_COUNT))
    return notes
