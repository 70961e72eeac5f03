"""Datagram codec: round trips, key rotation, unknown kinds, and rejection of invalid datagrams."""

import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.machines import NodeId
from beamloom.protocol.codec import KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.errors import AuthenticationError, OversizedDatagramError, ProtocolError
from beamloom.protocol.messages import MESSAGE_TYPES, Message, Priority, register_message

OLD_KEY, NEW_KEY = b"old" * 8, b"new" * 8
SENDER = NodeId("node-1")


@register_message(9001, Priority.CACHE)
@dataclass(frozen=True, slots=True)
class Sample(Message):
    number: int
    text: str = "default"


class CodecTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        keys = KeyRing((NEW_KEY,))
        datagram = encode_datagram(keys, SENDER, 7, 1000, [Sample(1, "a"), Sample(2)])
        envelope = decode_datagram(keys, datagram)
        self.assertEqual(envelope.messages, (Sample(1, "a"), Sample(2)))
        self.assertEqual((envelope.sender, envelope.sequence), (SENDER, 7))

    def test_rotation_accepts_both_keys(self) -> None:
        datagram = encode_datagram(KeyRing((OLD_KEY,)), SENDER, 1, 0, [Sample(1)])
        decode_datagram(KeyRing((NEW_KEY, OLD_KEY)), datagram)
        with self.assertRaises(AuthenticationError):
            decode_datagram(KeyRing((NEW_KEY,)), datagram)

    def test_unknown_kind_is_ignored_and_counted(self) -> None:
        keys = KeyRing((NEW_KEY,))
        datagram = encode_datagram(keys, SENDER, 1, 0, [Sample(1), Sample(2)])
        entry = MESSAGE_TYPES.pop(9001)
        try:
            envelope = decode_datagram(keys, datagram)
        finally:
            MESSAGE_TYPES[9001] = entry
        self.assertEqual((envelope.messages, envelope.unknown_messages), ((), 2))

    def test_oversized_datagrams_are_rejected_by_sender_and_receiver(self) -> None:
        keys = KeyRing((NEW_KEY,))
        with self.assertRaises(OversizedDatagramError):
            encode_datagram(keys, SENDER, 1, 0, [Sample(1, "x" * 2000)])
        with self.assertRaises(OversizedDatagramError):
            decode_datagram(keys, b"x" * 2000)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_protocol_errors(self, body: bytes) -> None:
        keys = KeyRing((NEW_KEY,))
        for datagram in (body, body + keys.sign(body)):
            with self.assertRaises(ProtocolError):
                decode_datagram(keys, datagram)
