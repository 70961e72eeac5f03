"""Tokens: the same on each node with the key, bound to one flow and one backend."""

import unittest

from beamloom.routing.tokens.backend_table import BackendTable
from beamloom.routing.tokens.token import (
    NO_TOKEN,
    TokenCodec,
    bucket_of_identity,
    bucket_of_token,
)
from tests.unit.tokens.builders import KEY, backend, flow_id

LARGEST_FLEET = 4400


class TokenCodecTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = TokenCodec(KEY)
        self.table = BackendTable()
        for number in range(1, 200):
            self.table.update(backend(number), number, now=0.0)

    def find(self, client: int, token: int, codec: TokenCodec | None = None) -> int | None:
        candidates = self.table.candidates(token)
        found = (codec or self.codec).find(flow_id(client), token, candidates)
        return None if found is None else found.record.identity

    def test_any_node_with_the_key_decodes_a_token(self) -> None:
        for identity in (1, 77, 199):
            token = TokenCodec(KEY).mint(flow_id(5), identity)
            self.assertEqual(self.find(5, token), identity)

    def test_a_token_of_another_flow_is_not_decoded(self) -> None:
        token = self.codec.mint(flow_id(5), 77)
        self.assertIsNone(self.find(6, token))

    def test_a_token_under_another_key_is_not_decoded(self) -> None:
        token = TokenCodec(bytes(16)).mint(flow_id(5), 77)
        self.assertIsNone(self.find(5, token))

    def test_forged_tokens_are_rarely_decoded(self) -> None:
        bucket = bucket_of_identity(77) << 20
        decoded = [proof for proof in range(0, 20_000) if self.find(5, bucket | proof) is not None]
        self.assertLessEqual(len(decoded), 2)

    def test_a_token_never_equals_no_token(self) -> None:
        tokens = {self.codec.mint(flow_id(client), 1) for client in range(2000)}
        self.assertNotIn(NO_TOKEN, tokens)

    def test_identities_of_64_bits_have_tokens(self) -> None:
        identity = 0xF1234567_89ABCDEF
        token = self.codec.mint(flow_id(1), identity)
        self.assertEqual(bucket_of_token(token), bucket_of_identity(identity))

    def test_buckets_of_the_largest_fleet_stay_small(self) -> None:
        sizes: dict[int, int] = {}
        for number in range(LARGEST_FLEET):
            bucket = bucket_of_identity(0x7F3A91C2 + 7919 * number)
            sizes[bucket] = sizes.get(bucket, 0) + 1
        self.assertLessEqual(max(sizes.values()), 8)
