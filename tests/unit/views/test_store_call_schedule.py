"""When a node calls the store for a kind of object, and for which purpose."""

import random
import unittest

from beamloom.replication.object_watch import ChangeBatch, ListPage, ObjectWatch
from beamloom.replication.reader_role import (
    MAXIMUM_START_DELAY_SECONDS,
    READER_DISCOVERY_SECONDS,
    ReaderRole,
)
from beamloom.replication.store_call_schedule import (
    STALE_WITHOUT_READERS_SECONDS,
    CallPurpose,
    StoreCallSchedule,
)
from beamloom.replication.store_call_times import (
    MAXIMUM_PAUSE_SECONDS,
    STALE_SPREAD_SECONDS,
    store_call_times,
)
from beamloom.replication.store_view import NamedRecord, ObjectChange, StoreView


class StoreCallScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        rng = random.Random(1)
        self.view: StoreView[str] = StoreView()
        self.watch: ObjectWatch[str] = ObjectWatch(self.view, rng, stale_start=True)
        self.times = store_call_times()
        self.role = ReaderRole("5", rng, self.times)
        self.schedule = StoreCallSchedule(self.watch, self.role, rng)

    def take_list(self, now: float) -> None:
        self.watch.handle_page(ListPage((NamedRecord("a", 1, "A"),), False, 10, "a"), asked_at=now)
        self.schedule.note_answer(now, changes=False)

    def test_after_a_stale_list_it_waits_for_changes_from_peers(self) -> None:
        self.assertTrue(self.schedule.must_ask(1.0))
        self.take_list(1.0)
        self.assertFalse(self.schedule.must_ask(1.0 + self.times.unconfirmed_seconds - 0.01))
        latest = 1.0 + self.times.unconfirmed_seconds + STALE_SPREAD_SECONDS
        self.assertTrue(self.schedule.must_ask(latest))

    def test_after_an_empty_stale_list_it_waits_for_a_list_from_peers(self) -> None:
        self.watch.handle_page(ListPage((), False, 3, ""), asked_at=1.0)
        self.schedule.note_answer(1.0, changes=False)
        self.assertFalse(self.schedule.must_ask(1.0))
        self.assertFalse(self.schedule.must_ask(1.0 + self.times.unconfirmed_seconds - 0.01))
        latest = 1.0 + self.times.unconfirmed_seconds + STALE_SPREAD_SECONDS
        self.assertTrue(self.schedule.must_ask(latest))

    def test_a_reader_lists_at_once(self) -> None:
        self.watch.handle_page(ListPage((), False, 3, ""), asked_at=1.0)
        self.role.reading = True
        self.assertTrue(self.schedule.must_ask(1.0))

    def test_without_a_known_reader_a_view_becomes_stale_sooner(self) -> None:
        """After a start of all nodes, backends would be missing for the whole staleness."""
        self.take_list(1.0)
        self.watch.handle_changes(ChangeBatch((), 12), 10, given_at=2.0)
        self.schedule.note_answer(2.0, changes=False)
        self.role.advance(0.0)
        self.role.advance(READER_DISCOVERY_SECONDS + MAXIMUM_START_DELAY_SECONDS)
        self.role.reading = False
        self.assertFalse(self.schedule.must_ask(2.0 + STALE_WITHOUT_READERS_SECONDS - 0.01))
        latest = 2.0 + STALE_WITHOUT_READERS_SECONDS + STALE_SPREAD_SECONDS
        self.assertTrue(self.schedule.must_ask(latest))
        self.role.note_reader("1", 2.5)
        self.assertFalse(self.schedule.must_ask(2.0 + self.times.stale_seconds - 0.01))

    def test_a_node_that_just_joined_does_not_ask_sooner(self) -> None:
        """After a start of all nodes, each would ask and become a reader."""
        self.take_list(1.0)
        self.watch.handle_changes(ChangeBatch((), 12), 10, given_at=2.0)
        self.schedule.note_answer(2.0, changes=False)
        self.role.advance(2.0, joined=False)
        self.assertFalse(self.schedule.must_ask(2.0 + self.times.stale_seconds - 0.01))
        self.role.advance(3.0, joined=True)
        self.assertFalse(self.schedule.must_ask(2.0 + self.times.stale_seconds - 0.01))
        self.assertTrue(
            self.schedule.must_ask(2.0 + self.times.stale_seconds + STALE_SPREAD_SECONDS)
        )

    def test_a_node_asks_at_once_after_a_stall(self) -> None:
        self.take_list(1.0)
        self.schedule.discard_confirmation()
        self.assertTrue(self.schedule.must_ask(1.01))

    def test_a_new_readers_first_watch_does_not_wait(self) -> None:
        """All nodes would become readers while the first reader's watch waits."""
        self.role.reading = True
        self.assertEqual(self.schedule.wait_seconds(1.0), 0.0)
        self.role.note_answer(2.0)
        self.assertEqual(self.schedule.wait_seconds(2.0), self.times.wait_seconds)
        self.role.advance(2.1 + self.times.silence_seconds)
        self.assertEqual(self.schedule.wait_seconds(2.1 + self.times.silence_seconds), 0.0)

    def test_the_pause_after_changes_shortens_the_watch(self) -> None:
        self.role.reading = True
        self.role.note_answer(1.0)
        self.assertEqual(self.schedule.wait_seconds(1.0), self.times.wait_seconds)
        change = ChangeBatch((ObjectChange("b", 12, "B"),), 12)
        self.watch.handle_changes(change, 10, given_at=2.0)
        pause = self.schedule.note_answer(2.0, changes=True)
        self.assertGreater(pause, 0.1)
        wait = self.schedule.wait_seconds(2.0 + pause)
        self.assertLessEqual(pause + wait, self.times.wait_seconds)
        self.assertEqual(self.schedule.note_answer(3.0, changes=False), 0.0)

    def test_a_watch_after_a_late_answer_waits_for_what_is_left(self) -> None:
        """The next answer then comes before the view that others got is stale."""
        self.role.reading = True
        self.role.note_answer(2.0)
        self.watch.handle_changes(ChangeBatch((ObjectChange("b", 12, "B"),), 12), 10, given_at=2.0)
        left = self.schedule.wait_seconds(3.0)
        self.assertAlmostEqual(left, self.times.wait_seconds - 1.0)
        self.assertEqual(self.schedule.wait_seconds(2.0 + 2 * self.times.wait_seconds), 0.0)

    def test_pauses_between_failing_calls_grow_with_the_fleet(self) -> None:
        self.take_list(1.0)
        self.assertLess(self.schedule.note_failure(2.0), MAXIMUM_PAUSE_SECONDS)
        self.role.peer_count = 200
        pauses = [self.schedule.note_failure(3.0) for _ in range(20)]
        self.assertGreaterEqual(min(pauses), self.times.outage_pause_seconds / 2)
        self.assertLessEqual(max(pauses), self.times.outage_pause_seconds)

    def test_nodes_without_a_list_and_readers_retry_soon(self) -> None:
        self.role.peer_count = 200
        self.assertLess(self.schedule.note_failure(1.0), MAXIMUM_PAUSE_SECONDS)
        self.take_list(1.0)
        self.role.reading = True
        self.role.note_answer(1.0)
        self.assertLess(self.schedule.note_failure(2.0), MAXIMUM_PAUSE_SECONDS)

    def test_each_call_has_a_purpose(self) -> None:
        self.assertIs(self.schedule.purpose, CallPurpose.START)
        self.take_list(1.0)
        self.assertIs(self.schedule.purpose, CallPurpose.CONFIRMATION)
        self.role.reading = True
        self.assertIs(self.schedule.purpose, CallPurpose.READER)
        self.take_list(1.5)
        self.watch.handle_lost_history()
        self.assertIs(self.schedule.purpose, CallPurpose.HISTORY_LOST)
        self.schedule.note_failure(2.0)
        self.assertIs(self.schedule.purpose, CallPurpose.RETRY)

    def test_two_readers_share_the_kinds_and_a_single_one_reads_all(self) -> None:
        self.role.reading = True
        self.assertEqual([self.role.reads(kind) for kind in (0, 1)], [True, True])
        self.role.note_reader("7", 0.0)
        self.assertEqual([self.role.reads(kind) for kind in (0, 1)], [True, False])
        self.role.note_reader("3", 0.0)
        self.assertEqual([self.role.reads(kind) for kind in (0, 1)], [False, True])
        self.role.advance(self.times.silence_seconds + 0.1)
        self.assertEqual([self.role.reads(kind) for kind in (0, 1)], [True, True])

    def test_a_reader_of_other_kinds_asks_before_the_view_is_stale(self) -> None:
        self.take_list(1.0)
        self.watch.handle_changes(ChangeBatch((), 12), 10, given_at=2.0)
        self.schedule.note_answer(2.0, changes=False)
        self.role.reading = True
        self.role.note_reader("3", 2.0)
        self.role.note_reader("2", 2.0)
        self.assertFalse(self.schedule.must_ask(2.0 + self.times.wait_seconds))
        self.assertTrue(self.schedule.must_ask(2.01 + self.times.overdue_seconds))
        self.assertLess(self.times.overdue_seconds, self.times.stale_seconds)
        self.assertEqual(self.schedule.wait_seconds(2.01 + self.times.overdue_seconds), 0.0)


if __name__ == "__main__":
    unittest.main()
