"""Membership messages: sizes, round trips, and rejection of malformed fields."""

import unittest
from dataclasses import replace

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.membership.dissemination import update_size
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import MemberState, NodeId
from beamloom.protocol.codec import message_from_list, message_to_list
from beamloom.protocol.errors import MalformedDatagramError, ProtocolError
from beamloom.protocol.membership_messages import (
    MAXIMUM_UPDATES,
    Gossip,
    MemberUpdate,
    Ping,
    StateDigest,
    decode_update,
)
from beamloom.protocol.messages import MESSAGE_TYPES
from tests.membership_harness import Fleet, machine

ANY_FIELD = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3) | st.binary(),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=8,
)
MEMBERSHIP_KINDS = [kind for kind in MESSAGE_TYPES if kind < 20]


class UpdateTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        accuser = NodeId("node-0002")
        for update in (
            MemberUpdate(NodeId("node-0001"), MemberState.ALIVE, 3),
            MemberUpdate(NodeId("node-0001"), MemberState.SUSPECT, 3, accuser),
            MemberUpdate(NodeId("node-0001"), MemberState.JOINING, 0, None, machine(1)),
        ):
            self.assertEqual(decode_update(list(update.encode())), update)

    def test_size_estimate_is_a_close_upper_bound(self) -> None:
        ipv6 = replace(machine(1), peer_address=SocketAddress("2001:db8::1", 65_535))
        for item in (None, machine(1), ipv6):
            update = MemberUpdate(NodeId("node-0001"), MemberState.ALIVE, 70_000, None, item)
            encoded = len(cbor2.dumps(update.encode()))
            self.assertLessEqual(encoded, update_size(update))
            self.assertLessEqual(update_size(update), encoded + 8)

    def test_malformed_updates_are_rejected(self) -> None:
        for parts in (
            None,
            [],
            ["a", 1],
            ["", 1, 0],
            ["a" * 65, 1, 0],
            ["a", 9, 0],
            ["a", True, 0],
            ["a", 1, -1],
            ["a", 1, 2**48],
            ["a", 1, 0, 7],
            ["a", 1, 0, "", ["zone", "region", b"123", 1, b"", 1, b"", 1]],
            ["a", 1, 0, "", ["zone", "region", b"1234", 0, b"", 1, b"", 1]],
            ["a", 1, 0, "", []],
        ):
            with self.subTest(parts=parts), self.assertRaises(MalformedDatagramError):
                decode_update(parts)

    def test_message_bounds(self) -> None:
        with self.assertRaises(MalformedDatagramError):
            Gossip([["a", 1, 0]] * (MAXIMUM_UPDATES + 1))
        with self.assertRaises(MalformedDatagramError):
            StateDigest([1, 2, 3])


class ArbitraryFieldsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.sampled_from(MEMBERSHIP_KINDS), st.lists(ANY_FIELD, max_size=4))
    def test_arbitrary_fields_raise_only_protocol_errors(
        self, kind: int, values: list[object]
    ) -> None:
        fleet = Fleet.settled(3, seed=1)
        core = fleet.cores[NodeId("node-0000")]
        try:
            message = message_from_list([kind, *values])
        except ProtocolError:
            return
        before = core.view.members
        core.handle_message(NodeId("node-0001"), message, 0.0)
        core.handle_message(NodeId("stranger"), message, 0.0)
        self.assertEqual(core.view.members.keys(), before.keys())

    def test_malformed_updates_are_counted_and_the_others_applied(self) -> None:
        fleet = Fleet.settled(3, seed=1)
        core = fleet.cores[NodeId("node-0000")]
        valid = MemberUpdate(NodeId("node-0002"), MemberState.LEAVING, 0).encode()
        ping = message_from_list(message_to_list(Ping(1, [7, ["x"], valid])))
        core.handle_message(NodeId("node-0001"), ping, 0.0)
        self.assertEqual(core.snapshot().counters.malformed_updates, 2)
        self.assertIs(core.view.members[NodeId("node-0002")].state, MemberState.LEAVING)


if __name__ == "__main__":
    unittest.main()
