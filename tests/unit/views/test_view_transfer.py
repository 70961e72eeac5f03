"""Splitting, compressing and reassembling deltas."""

import random
import unittest

from beamloom.node.view_codecs import ConfigurationCodec
from beamloom.protocol.view_messages import ViewPart
from beamloom.replication.store_view import NamedRecord, StoreView
from beamloom.replication.view_transfer import PART_BYTES, Reassembly, pack, split
from beamloom.routing.tokens.configuration_history import ConfigurationHistory
from beamloom.routing.tokens.records import RoutingConfiguration
from tests.unit.tokens.builders import many_routes


class TransferTest(unittest.TestCase):
    def test_a_delta_of_many_parts_is_compressed(self) -> None:
        data = b"the same again and again" * 1000
        parts = split(0, 7, pack(data))
        self.assertLess(len(parts), 3)
        reassembly = Reassembly()
        whole = [reassembly.take("10.0.0.1", part, now=1.0) for part in parts]
        self.assertEqual(whole[-1], data)

    def test_invalid_compressed_data_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            Reassembly().take("10.0.0.1", ViewPart(0, 1, 0, 1, b"\xffnonsense"), 1.0)

    def test_parts_are_reassembled_in_any_order(self) -> None:
        data = random.Random(2).randbytes(10240)
        parts = split(0, 7, pack(data))
        self.assertEqual(len(parts), -(-len(data) // PART_BYTES))
        reassembly = Reassembly()
        random.Random(1).shuffle(parts)
        whole = [reassembly.take("10.0.0.1", part, now=1.0) for part in parts]
        self.assertEqual(whole[-1], data)
        self.assertEqual(set(whole[:-1]), {None})

    def test_parts_with_invalid_numbers_are_ignored(self) -> None:
        reassembly = Reassembly()
        for part, parts in ((5, 5), (-1, 2), (0, 1 << 20)):
            self.assertIsNone(reassembly.take("h", ViewPart(0, 1, part, parts, b"x"), 1.0))

    def test_memory_is_bounded(self) -> None:
        reassembly = Reassembly()
        for transfer in range(100):
            reassembly.take("h", ViewPart(0, transfer, 0, 2, b"x"), now=1.0)
        self.assertIsNone(reassembly.take("h", ViewPart(0, 0, 1, 2, b"y"), now=1.0))

    def test_a_configuration_of_many_routes_round_trips(self) -> None:
        view: StoreView[RoutingConfiguration] = StoreView()
        view.replace([NamedRecord("main", 3, many_routes(7, 400))], 3)
        delta = view.since(-1)
        assert delta is not None
        codec = ConfigurationCodec(ConfigurationHistory())
        self.assertEqual(codec.decode(codec.encode(delta, -1)), delta)
