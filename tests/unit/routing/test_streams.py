"""Streams are bounded, ordered and coalesced; partition sets are packed without loss."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.machines import NodeId
from beamloom.protocol.codec import KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.errors import MalformedDatagramError
from beamloom.protocol.flow_messages import (
    PartitionMark,
    ReplicaRecords,
    SynchronizationBatch,
    unpack_records,
)
from beamloom.protocol.partition_sets import (
    MAXIMUM_PACKED_BYTES,
    pack_partitions,
    split_partitions,
    unpack_partitions,
)
from beamloom.routing.hashing import PARTITION_COUNT
from beamloom.routing.streams import PartitionMarkEntry, StreamSet

PEER = NodeId("peer")
BEGIN = PartitionMarkEntry(PartitionMark.BEGIN, 10**9)
COMPLETE = PartitionMarkEntry(PartitionMark.COMPLETE, 10**9)


def batches(commands: list[Command]) -> list[SynchronizationBatch]:
    found = []
    for command in commands:
        assert isinstance(command, SendMessage)
        assert isinstance(command.message, SynchronizationBatch)
        found.append(command.message)
    return found


class PartitionSetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.sets(st.integers(0, PARTITION_COUNT - 1), min_size=1, max_size=3000))
    def test_sets_are_packed_without_loss_and_within_the_limit(self, partitions: set[int]) -> None:
        packed = [pack_partitions(part) for part in split_partitions(partitions)]
        self.assertLessEqual(max(map(len, packed)), MAXIMUM_PACKED_BYTES)
        read = [item for part in packed for item in unpack_partitions(part, PARTITION_COUNT)]
        self.assertEqual(read, sorted(partitions))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=600))
    def test_arbitrary_bytes_are_unpacked_or_rejected(self, packed: bytes) -> None:
        try:
            partitions = unpack_partitions(packed, PARTITION_COUNT)
        except MalformedDatagramError:
            return
        self.assertTrue(all(0 <= item < PARTITION_COUNT for item in partitions))


class StreamTest(unittest.TestCase):
    def filled(self, partitions: int, records: int) -> StreamSet:
        streams = StreamSet(ReplicaRecords, 2)
        stream = streams.stream(PEER)
        for partition in range(0, 3 * partitions, 3):
            stream.openings[partition] = BEGIN
            stream.closings[partition] = COMPLETE
        for key in range(records):
            streams.put(PEER, 2**59 + key, 2**31 + key)
        return streams

    def drain(self, streams: StreamSet) -> list[SynchronizationBatch]:
        sent: list[SynchronizationBatch] = []
        while not streams.idle:
            new = batches(streams.flush(0.0))
            self.assertEqual(len(new), 1)
            sent.extend(new)
            streams.acknowledge(PEER, new[0].number)
        return sent

    def test_every_batch_fits_into_one_datagram(self) -> None:
        keys = KeyRing((b"key",))
        for message in self.drain(self.filled(5000, 1000)):
            data = encode_datagram(keys, NodeId("a-node-with-a-long-name"), 10**9, 10**9, [message])
            self.assertEqual(decode_datagram(keys, data).messages, (message,))

    def test_openings_go_before_records_and_closings_after(self) -> None:
        sent = self.drain(self.filled(5000, 1000))
        last_opening = max(index for index, batch in enumerate(sent) if batch.openings)
        with_records = [index for index, batch in enumerate(sent) if batch.packed_records]
        first_closing = min(index for index, batch in enumerate(sent) if batch.closings)
        self.assertLessEqual(last_opening, with_records[0])
        self.assertLessEqual(with_records[-1], first_closing)
        self.assertEqual(sum(len(unpack_records(batch.packed_records)) for batch in sent), 1000)

    def test_one_batch_to_a_peer_and_two_in_all_are_in_flight(self) -> None:
        streams = StreamSet(ReplicaRecords, 2)
        for name in ("a", "b", "c"):
            for key in range(500):
                streams.put(NodeId(name), key, 1)
        self.assertEqual(len(streams.flush(0.0)), 2)
        self.assertEqual(streams.flush(0.4), [])
        self.assertEqual(len(streams.flush(0.5)), 2)
        self.assertEqual(streams.flush(1.4), [])

    def test_records_of_one_flow_are_coalesced(self) -> None:
        streams = StreamSet(ReplicaRecords, 2)
        for number in (1, 2, 0):
            streams.put(PEER, 7, number)
        records = unpack_records(batches(streams.flush(0.0))[0].packed_records)
        self.assertEqual([(record.key, record.backend_number) for record in records], [(7, 0)])


if __name__ == "__main__":
    unittest.main()
