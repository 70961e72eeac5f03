"""Malformed responses raise only MalformedAnswerError; retry delays stay within their limits."""

import unittest
from contextlib import suppress
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.object_api import wire
from beamloom.object_api.errors import MalformedAnswerError
from beamloom.object_api.retry import Retrier, RetryPolicy

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
NAMES = st.sampled_from(
    ["revision", "object", "objects", "changes", "key", "value", "live", "node_id", "zone"]
)
JSON_BODIES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=6),
    max_leaves=12,
)
READERS = (
    wire.listing_from_json,
    wire.reading_from_json,
    wire.batch_from_json,
    wire.machines_from_json,
    wire.object_from_json,
)


class WireTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=500, deadline=None)
    @given(JSON_BODIES)
    def test_arbitrary_bodies_raise_only_malformed_answer(self, body: object) -> None:
        for reader in READERS:
            with suppress(MalformedAnswerError):
                wire.decode(reader, body)

    def test_invalid_revisions_are_rejected(self) -> None:
        for revision in (float("inf"), 1.5, -1, None, "x", [1]):
            with self.assertRaises(MalformedAnswerError):
                wire.decode(wire.batch_from_json, {"revision": revision, "changes": []})


class RetryTest(unittest.TestCase):
    def test_delays_are_bounded_in_number_and_length(self) -> None:
        policy = RetryPolicy(attempts=6, base_seconds=1.0, cap_seconds=4.0)
        for seed in range(50):
            delays = list(Retrier(policy, Random(seed)).delays())
            self.assertEqual(len(delays), 5)
            for delay, ceiling in zip(delays, (1, 2, 4, 4, 4), strict=True):
                self.assertTrue(0 <= delay <= ceiling)
