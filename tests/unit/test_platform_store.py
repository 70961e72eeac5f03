"""Conflicts, watches, faults and machine list of the store model, and a comparison with a dict."""

import unittest
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, NodeId
from beamloom.model.zones import Zone
from beamloom.object_api.errors import (
    StoreConflictError,
    StoreUnavailableError,
    TooManyReadersError,
    WatchGoneError,
)
from beamloom.protocol.commands import ListStore, WriteObject
from beamloom.protocol.events import (
    StoreConflict,
    StoredObject,
    StoreFailed,
    StoreListed,
    StoreWritten,
)
from beamloom.standins.platform_faults import FaultDecision, FaultPlan
from beamloom.standins.platform_machines import MachineDirectory, MachineListSettings
from beamloom.standins.platform_store import PlatformStore

KEYS = st.sampled_from(["tenant/a", "tenant/b", "service/a/web"])
HISTORY_LIMIT = 5
ADDRESS = SocketAddress("127.0.0.1", 1)


def machine(name: str) -> Machine:
    return Machine(NodeId(name), Zone("z1", "r1"), ADDRESS, ADDRESS, ADDRESS)


class PlatformStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = PlatformStore(Random(1), history_limit=2, watch_limit=1)

    def test_write_at_another_revision_conflicts_and_returns_the_current_object(self) -> None:
        self.store.write("tenant/a", {"n": 1}, 0)
        current = self.store.write("tenant/a", {"n": 2}, 1)
        for expected in (0, 1, 3):
            with self.assertRaises(StoreConflictError) as caught:
                self.store.write("tenant/a", {"n": 3}, expected)
            self.assertEqual(caught.exception.current, current)

    def test_deleting_a_missing_object_conflicts(self) -> None:
        with self.assertRaises(StoreConflictError):
            self.store.write("tenant/a", None, 0)
        self.assertEqual(self.store.revision, 0)

    def test_watch_from_a_compacted_or_future_revision_raises_watch_gone(self) -> None:
        for number in range(4):
            self.store.write("tenant/a", {}, number)
        for revision in (0, 1, 5):
            with self.assertRaises(WatchGoneError):
                self.store.open_watch(revision)
        self.assertEqual(self.store.watch_count, 0)

    def test_watch_behind_the_history_raises_watch_gone(self) -> None:
        watch = self.store.open_watch(0)
        for number in range(3):
            self.store.write("tenant/a", {}, number)
        with self.assertRaises(WatchGoneError):
            self.store.take_changes(watch)

    def test_closing_a_watch_makes_room_for_another(self) -> None:
        watch = self.store.open_watch(0)
        with self.assertRaises(TooManyReadersError):
            self.store.open_watch(0)
        self.store.close_watch(watch)
        self.store.open_watch(0)

    def test_watches_and_requests_fail_while_the_store_is_down(self) -> None:
        watch = self.store.open_watch(0)
        self.store.inject(FaultPlan(down=True))
        with self.assertRaises(StoreUnavailableError):
            self.store.take_changes(watch)
        self.assertTrue(self.store.faults.decide(is_write=False).unavailable)

    def test_lost_answers_are_counted_and_affect_only_writes(self) -> None:
        self.store.inject(FaultPlan(lost_answers=1))
        self.assertFalse(self.store.faults.decide(is_write=False).lose_answer)
        drawn = [self.store.faults.decide(is_write=True).lose_answer for _ in range(3)]
        self.assertEqual(drawn, [True, False, False])

    def test_commands_return_the_events_of_the_core(self) -> None:
        write = WriteObject(7, "tenant/a", {}, 0)
        lost = self.store.answer(write, FaultDecision(lose_answer=True))
        self.assertIsInstance(lost, StoreFailed)
        current = StoredObject("tenant/a", {}, 1, 1)
        no_fault = FaultDecision()
        self.assertEqual(self.store.answer(write, no_fault), StoreConflict(7, current))
        self.assertEqual(self.store.answer(ListStore(8), no_fault), StoreListed(8, 1, (current,)))
        rewrite = WriteObject(9, "tenant/a", {"n": 1}, 1)
        refused = self.store.answer(rewrite, FaultDecision(unavailable=True))
        self.assertIsInstance(refused, StoreFailed)
        self.assertEqual(self.store.answer(rewrite, no_fault), StoreWritten(9, 2))


class MachineDirectoryTest(unittest.TestCase):
    def test_list_lags_for_registration_and_leaving_and_drops_expired_machines(self) -> None:
        directory = MachineDirectory(MachineListSettings(lag_seconds=2, expiry_seconds=10))
        directory.register(machine("n1"), 0.0)
        self.assertEqual(directory.listing(1.0).live, ())
        self.assertEqual(directory.listing(2.0).live, (machine("n1"),))
        directory.leave(NodeId("n1"), 5.0)
        self.assertEqual(directory.listing(6.9).live, (machine("n1"),))
        self.assertEqual(directory.listing(7.0).leaving, (machine("n1"),))
        self.assertEqual(directory.listing(12.1).leaving, ())
        self.assertFalse(directory.heartbeat(NodeId("n1"), 13.0))


class StoreMachine(RuleBasedStateMachine):
    """A dict of objects and a list of all changes are the oracle."""

    def __init__(self) -> None:
        super().__init__()
        self.store = PlatformStore(Random(1), history_limit=HISTORY_LIMIT, watch_limit=1)
        self.objects: dict[str, StoredObject] = {}
        self.changes: list[StoredObject] = []
        self.watch = self.store.open_watch(0)
        self.taken = 0

    @rule(
        key=KEYS,
        number=st.integers(),
        delete=st.booleans(),
        expected=st.none() | st.integers(0, 9),
    )
    def write(self, key: str, number: int, delete: bool, expected: int | None) -> None:
        current = self.objects.get(key)
        actual = current.revision if current else 0
        expected = actual if expected is None else expected
        value = None if delete else {"n": number}
        if expected != actual or (delete and current is None):
            with unittest.TestCase().assertRaises(StoreConflictError) as caught:
                self.store.write(key, value, expected)
            assert caught.exception.current == current
            return
        revision = len(self.changes) + 1
        created = current.created_revision if current else revision
        stored = StoredObject(key, value, revision, created)
        assert self.store.write(key, value, expected) == stored
        self.changes.append(stored)
        if delete:
            del self.objects[key]
        else:
            self.objects[key] = stored

    @rule()
    def take(self) -> None:
        if self.taken < len(self.changes) - HISTORY_LIMIT:
            with unittest.TestCase().assertRaises(WatchGoneError):
                self.store.take_changes(self.watch)
            self.store.close_watch(self.watch)
            self.watch = self.store.open_watch(len(self.changes))
        else:
            batch = self.store.take_changes(self.watch)
            assert list(batch.changes) == self.changes[self.taken :]
            assert batch.revision == len(self.changes)
        self.taken = len(self.changes)

    @invariant()
    def lists_what_the_dict_holds(self) -> None:
        listing = self.store.list_objects()
        assert {item.key: item for item in listing.objects} == self.objects
        assert listing.revision == len(self.changes)


StoreMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
StoreMachineTest = StoreMachine.TestCase
