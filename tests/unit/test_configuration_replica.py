"""A replica applies changes in the store's order, whatever the order of their arrival."""

import random
import unittest
from typing import Any

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import (
    ChangesPushed,
    ChangesRequested,
    ChangesUnavailable,
    ReplicatedChange,
    SnapshotOffered,
    SnapshotPartSent,
    SnapshotRequested,
    change_to_list,
)
from beamloom.protocol.events import StoredObject
from beamloom.protocol.messages import Message
from beamloom.replication.backend_history import HISTORY_LENGTH
from beamloom.replication.change_log import ChangeLog
from beamloom.replication.configuration_replica import LISTING_DELAY_SECONDS, ConfigurationReplica
from beamloom.replication.configuration_state import (
    ConfigurationState,
    SnapshotCorruptError,
    snapshot_digest,
)
from beamloom.replication.snapshot_fetch import SnapshotFetch
from beamloom.replication.snapshot_sender import SnapshotSender

PEER = NodeId("peer")
HONEST = NodeId("honest")


def stored(key: str, revision: int, value: dict[str, Any] | None = None) -> StoredObject:
    return StoredObject(key, {"n": revision} if value is None else value, revision, revision)


def step(previous: int, revision: int, key: str = "tenant/t") -> ReplicatedChange:
    return ReplicatedChange(previous, revision, (stored(key, revision),))


def pushed(*steps: ReplicatedChange, applied: int = 0) -> ChangesPushed:
    return ChangesPushed([change_to_list(item) for item in steps], applied)


def make_replica(name: str = "node") -> ConfigurationReplica:
    return ConfigurationReplica(NodeId(name), random.Random(1), 0.0)


def messages(commands: list[Command], kind: type[Message]) -> list[Message]:
    sent = [item.message for item in commands if isinstance(item, SendMessage)]
    return [message for message in sent if isinstance(message, kind)]


class ListingTest(unittest.TestCase):
    def test_listing_is_delayed_while_no_member_is_known(self) -> None:
        """A listing lacks earlier backend sets, so peers must get time to supply the changes."""
        replica = make_replica()
        replica.accept_listing(9, [stored("tenant/t", 9)], 0.0)
        replica.poll(LISTING_DELAY_SECONDS - 0.1)
        self.assertEqual(replica.applied_revision, 0)
        replica.poll(LISTING_DELAY_SECONDS)
        self.assertEqual(replica.applied_revision, 9)


class OrderTest(unittest.TestCase):
    def test_gap_is_pulled_from_the_sender_and_later_changes_are_held(self) -> None:
        replica = make_replica()
        replica.handle_message(PEER, pushed(step(0, 2)), 0.0)
        commands = replica.handle_message(PEER, pushed(step(5, 9), applied=9), 0.0)
        self.assertEqual(messages(commands, ChangesRequested), [ChangesRequested(2)])
        self.assertEqual(replica.applied_revision, 2)
        replica.handle_message(PEER, pushed(step(2, 5)), 0.1)
        self.assertEqual(replica.applied_revision, 9)
        self.assertEqual([item.revision for item in replica.take_applied_changes()], [2, 5, 9])

    def test_reordered_and_duplicate_changes_are_applied_once(self) -> None:
        replica = make_replica()
        order = [step(3, 4), step(1, 3), step(0, 1), step(1, 3), step(0, 1)]
        for item in order:
            replica.handle_message(PEER, pushed(item), 0.0)
        self.assertEqual([item.revision for item in replica.take_applied_changes()], [1, 3, 4])
        self.assertEqual(replica.snapshot().duplicate_changes, 2)

    def test_malformed_change_is_counted_and_ignored(self) -> None:
        replica = make_replica()
        for parts in ([], [1, 1, [], False], [0, 1, [["k", 3, 1, 1]], False], [0, 1, [7], 0]):
            replica.handle_message(PEER, ChangesPushed([parts], 0), 0.0)
        self.assertEqual(replica.snapshot().malformed_changes, 4)
        self.assertEqual(replica.applied_revision, 0)

    def test_leases_are_not_replicated_and_leave_no_gap(self) -> None:
        replica, other = make_replica(), make_replica("other")
        for item in (stored("tenant/t", 1), stored("lease/reader/0", 2), stored("tenant/t", 3)):
            replica.accept_change(item, 0.0)
        answer = replica.handle_message(PEER, ChangesRequested(1), 0.0)
        self.assertEqual(messages(answer, ChangesPushed), [pushed(step(1, 3), applied=3)])
        other.handle_message(PEER, pushed(step(0, 1), step(1, 3)), 0.0)
        self.assertEqual(dict(other.objects), dict(replica.objects))

    def test_change_from_a_listing_applies_only_to_the_revision_it_was_made_from(self) -> None:
        listing = ReplicatedChange(1, 9, (stored("tenant/t", 9),), from_listing=True)
        self.assertTrue(listing.follows(1))
        self.assertFalse(listing.follows(4))
        log = ChangeLog()
        log.append(step(0, 1))
        log.append(listing)
        self.assertEqual(log.after(0), [step(0, 1), listing])
        log.clear()
        log.append(listing)
        self.assertIsNone(log.after(0))

    def test_change_too_long_to_push_is_replicated_by_snapshot(self) -> None:
        replica = make_replica()
        value = {"values": {f"name-{n}": "x" * 50 for n in range(40)}}
        replica.accept_change(stored("settings/global", 1, value), 0.0)
        answer = replica.handle_message(PEER, ChangesRequested(0), 0.0)
        self.assertEqual(messages(answer, ChangesUnavailable), [ChangesUnavailable(1)])
        offers = replica.handle_message(PEER, SnapshotRequested(0, b""), 0.0)
        self.assertEqual(len(messages(offers, SnapshotOffered)), 1)


class SnapshotTest(unittest.TestCase):
    def state(self, revisions: int = 200) -> ConfigurationState:
        state, rng = ConfigurationState(), random.Random(3)
        for revision in range(1, revisions + 1):
            key = f"backend/t/s{rng.randrange(3)}/b{rng.randrange(6)}"
            item = StoredObject(key, {"operation": rng.randbytes(30)}, revision, revision)
            if key in state.objects and rng.random() < 0.3:
                item = StoredObject(key, None, revision, revision)
            state.apply(ReplicatedChange(revision - 1, revision, (item,)))
        return state

    def test_decoded_snapshot_has_the_same_objects_and_histories(self) -> None:
        state = self.state()
        data = state.encode()
        loaded = ConfigurationState.decode(data, snapshot_digest(data))
        self.assertEqual(loaded.objects, state.objects)
        self.assertEqual(loaded.backend_histories, state.backend_histories)
        self.assertEqual(loaded.encode(), data)
        history = loaded.backend_histories["t/s0"]
        self.assertEqual(len(history), HISTORY_LENGTH)
        current = {key: item for key, item in state.objects.items() if "/s0/" in key}
        self.assertEqual({item.key: item for item in history[-1].objects}, current)

    def test_altered_and_truncated_snapshots_are_rejected(self) -> None:
        data = self.state().encode()
        digest = snapshot_digest(data)
        for altered in (data[:-1], data[:40] + b"!" + data[41:], b""):
            with self.assertRaises(SnapshotCorruptError):
                ConfigurationState.decode(altered, digest)
            with self.assertRaises(SnapshotCorruptError):
                ConfigurationState.decode(altered, snapshot_digest(altered))

    def test_offer_is_newer_than_the_requested_revision(self) -> None:
        state, sender = self.state(20), SnapshotSender()
        old = sender.offer(state, 0, b"", 0)
        state.apply(step(20, 21))
        self.assertEqual(sender.offer(state, 0, b"", 0), old)
        self.assertEqual(sender.offer(state, 20, b"", 0).revision, 21)
        self.assertEqual(sender.offer(state, 20, old.digest, 0), old)

    def test_fetch_restarts_without_the_peer_that_sent_a_tampered_part(self) -> None:
        state, sender = self.state(400), SnapshotSender()
        fetch = SnapshotFetch(0, random.Random(1), 0.0)
        offer = sender.offer(state, 0, b"", 0)
        self.assertGreater(offer.part_count, 1)
        name, now = (offer.revision, offer.digest), 0.0
        for peer, tampered in ((PEER, True), (HONEST, False)):
            commands = fetch.request_offers([PEER, HONEST])
            asked = {item.destination for item in commands if isinstance(item, SendMessage)}
            self.assertEqual(asked, {PEER, HONEST} if tampered else {HONEST})
            fetch.offered(peer, offer, now)
            fetch.poll([PEER, HONEST], now := now + 1.0)
            loaded = None
            sender.request(peer, name, range(offer.part_count), now)
            for _ in range(offer.part_count):
                (command,) = sender.poll(now := now + 1.0)
                assert isinstance(command, SendMessage)
                part = command.message
                assert isinstance(part, SnapshotPartSent)
                data = bytes(len(part.data)) if tampered and part.index == 1 else part.data
                part = SnapshotPartSent(part.revision, part.digest, part.index, data)
                loaded, _ = fetch.received(peer, part, now)
            self.assertEqual(loaded is None, tampered)
        self.assertEqual(fetch.corrupt_snapshots, 1)
        assert loaded is not None
        self.assertEqual(loaded.backend_histories, state.backend_histories)
