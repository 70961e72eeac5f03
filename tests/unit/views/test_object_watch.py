"""Listing and watching one kind of object: several pages, lost history, restores, pauses."""

import random
import unittest

from beamloom.model.store_revision import revision_in_era
from beamloom.node.record_orders import BackendOrder
from beamloom.replication.object_watch import (
    FEW_OBJECTS,
    LARGE_ANSWER_BYTES,
    ChangeBatch,
    ListPage,
    ListRequest,
    ObjectWatch,
    OlderAnswerError,
    Question,
    WatchRequest,
)
from beamloom.replication.store_call_times import MAXIMUM_PAUSE_SECONDS
from beamloom.replication.store_view import NamedRecord, ObjectChange, StoreView
from beamloom.routing.tokens.records import BackendRecord, BackendState
from tests.unit.tokens.builders import backend


def page(names: str, more: bool, revision: int) -> ListPage[str]:
    records = tuple(NamedRecord(name, 1, name.upper()) for name in names)
    return ListPage(records, more, revision, names[-1:] if names else "")


class ObjectWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view: StoreView[str] = StoreView()
        self.watch: ObjectWatch[str] = ObjectWatch(self.view, random.Random(1))

    def begin_stale(self) -> None:
        """Create a watch whose first list may be stale."""
        self.watch = ObjectWatch(self.view, random.Random(1), stale_start=True)

    def test_the_first_list_may_be_stale_and_confirms_nothing(self) -> None:
        self.begin_stale()
        self.assertEqual(self.watch.next_request(), ListRequest("", stale=True))
        changes = self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        self.assertEqual([change.name for change in changes], ["a"])
        self.assertIsNone(self.view.confirmed_at)
        self.assertIsNone(self.view.revision)
        self.assertTrue(self.watch.holds_stale)
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        self.assertEqual(self.watch.handle_page(page("a", False, 12), asked_at=2.0), ())
        self.assertFalse(self.watch.holds_stale)
        self.assertEqual(self.view.confirmed_at, 2.0)
        self.assertEqual(self.watch.next_request(), WatchRequest(12))

    def test_a_fresh_list_corrects_a_stale_one(self) -> None:
        """A restored store may answer a stale list from the history that it lost."""
        self.begin_stale()
        self.watch.handle_page(page("ab", False, 30), asked_at=1.0)
        changes = self.watch.handle_page(page("bc", False, 21), asked_at=2.0)
        self.assertEqual(
            [(change.name, change.record) for change in changes], [("c", "C"), ("a", None)]
        )
        self.assertEqual(self.watch.next_request(), WatchRequest(21))

    def test_by_default_the_first_list_is_not_stale(self) -> None:
        watch: ObjectWatch[str] = ObjectWatch(self.view, random.Random(1))
        self.assertEqual(watch.next_request(), ListRequest(""))
        watch.handle_page(page("a", False, 10), asked_at=1.0)
        self.assertEqual(self.view.confirmed_at, 1.0)

    def test_an_empty_stale_list_is_rejected(self) -> None:
        self.begin_stale()
        self.watch.handle_page(page("", False, 0), asked_at=0.5)
        self.assertFalse(self.watch.holds_stale)
        self.assertTrue(self.watch.must_list)
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        self.watch.handle_page(page("", False, 3), asked_at=1.0)
        self.assertEqual(self.view.confirmed_at, 1.0)

    def test_stale_pages_of_replicas_at_different_revisions(self) -> None:
        self.begin_stale()
        self.watch.handle_page(page("ab", True, 14), asked_at=1.0)
        self.assertEqual(self.watch.next_request(), ListRequest("b", stale=True))
        changes = self.watch.handle_page(page("cd", False, 10), asked_at=1.1)
        self.assertEqual([change.name for change in changes], ["a", "b", "c", "d"])
        self.assertEqual(self.watch.next_request(), ListRequest(""))

    def test_it_lists_all_pages_and_watches_from_the_lowest_revision(self) -> None:
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        self.assertEqual(self.watch.handle_page(page("ab", True, 10), asked_at=1.0), ())
        self.assertTrue(self.watch.must_list)
        self.assertIsNone(self.view.revision)
        self.assertEqual(self.watch.next_request(), ListRequest("b"))
        changes = self.watch.handle_page(page("cd", False, 14), asked_at=1.1)
        self.assertEqual([change.name for change in changes], ["a", "b", "c", "d"])
        self.assertFalse(self.watch.must_list)
        self.assertEqual(self.watch.next_request(), WatchRequest(10))
        self.assertEqual(self.view.confirmed_at, 1.0)

    def test_it_continues_from_the_revision_of_a_watch(self) -> None:
        self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        removal = ChangeBatch((ObjectChange("a", 12, None),), 12)
        self.watch.handle_changes(removal, 10, given_at=2.0)
        self.assertEqual(self.watch.next_request(), WatchRequest(12))
        self.watch.handle_changes(ChangeBatch((), 12), 12, given_at=3.0)
        self.assertEqual(self.watch.next_request(), WatchRequest(12))
        self.assertEqual(self.view.confirmed_at, 3.0)

    def test_an_answer_that_peers_have_overtaken_changes_and_confirms_nothing(self) -> None:
        """Guards against a removed object that a held-up answer brings back."""
        self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        self.view.apply((ObjectChange("b", 11, "B"), ObjectChange("b", 12, None)), 12)
        held_up = ChangeBatch((ObjectChange("b", 11, "B"),), 11)
        self.assertEqual(self.watch.handle_changes(held_up, 10, given_at=3.0), ())
        self.assertEqual((len(self.view), self.view.revision, self.view.confirmed_at), (1, 12, 1.0))
        self.assertEqual(self.watch.next_request(), WatchRequest(12))

    def test_an_answer_beyond_a_removal_does_not_repeat_what_came_before_it(self) -> None:
        self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        self.view.apply((ObjectChange("b", 12, None),), 12)
        batch = ChangeBatch((ObjectChange("b", 11, "B"), ObjectChange("c", 13, "C")), 13)
        changes = self.watch.handle_changes(batch, 10, given_at=3.0)
        self.assertEqual([change.name for change in changes], ["c"])
        again = ChangeBatch((ObjectChange("b", 14, "B"),), 14)
        self.assertEqual(len(self.watch.handle_changes(again, 13, given_at=4.0)), 1)

    def test_freshness_counts_from_the_question(self) -> None:
        """Guards against a held-up answer that counts as a confirmation of when it arrives."""
        question = Question(WatchRequest(10), 5.0, 1.5, 0)
        changed = ChangeBatch((ObjectChange("b", 11, "B"),), 11)
        self.assertEqual(question.earliest_answer_time(changed, 7.0), 5.0)
        self.assertEqual(question.earliest_answer_time(ChangeBatch((), 10), 7.0), 6.5)
        self.assertEqual(question.earliest_answer_time(ChangeBatch((), 10), 6.0), 5.0)

    def test_it_continues_from_a_revision_learned_from_a_peer(self) -> None:
        self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        self.view.apply((ObjectChange("b", 25, "B"),), 30)
        self.assertEqual(self.watch.next_request(), WatchRequest(30))

    def test_after_a_lost_history_it_lists_again_and_keeps_the_view(self) -> None:
        self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        self.watch.handle_lost_history()
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        self.assertEqual(len(self.view), 1)
        changes = self.watch.handle_page(page("b", False, 30), asked_at=2.1)
        self.assertEqual(
            [(change.name, change.record) for change in changes], [("b", "B"), ("a", None)]
        )
        self.assertEqual(self.watch.next_request(), WatchRequest(30))

    def test_a_burst_of_large_versions_is_read_by_lists(self) -> None:
        """A watch returns every large version, so that the newest one arrives late."""
        self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        versions = (ObjectChange("a", 12, "A2"),)
        batch = ChangeBatch(versions, 12, (), LARGE_ANSWER_BYTES)
        self.watch.handle_changes(batch, 10, given_at=2.0)
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        newest = ListPage((NamedRecord("a", 30, "A9"),), False, 30, "a")
        self.assertEqual(len(self.watch.handle_page(newest, asked_at=2.4)), 1)
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        self.assertEqual(self.watch.handle_page(newest, asked_at=2.8), ())
        self.assertEqual(self.view.confirmed_at, 2.8)
        self.assertEqual(self.watch.next_request(), WatchRequest(30))

    def test_a_failed_watch_of_a_small_kind_is_followed_by_a_list(self) -> None:
        self.watch.handle_page(page("a", False, 10), asked_at=1.0)
        self.watch.handle_failure()
        self.assertEqual(self.watch.next_request(), ListRequest(""))

    def test_a_kind_of_many_objects_is_still_watched(self) -> None:
        names = "abcdefgh"[: FEW_OBJECTS + 1]
        self.watch.handle_page(page(names, False, 10), asked_at=1.0)
        change = (ObjectChange("a", 12, "A2"),)
        batch = ChangeBatch(change, 12, (), LARGE_ANSWER_BYTES)
        self.watch.handle_changes(batch, 10, given_at=2.0)
        self.assertEqual(self.watch.next_request(), WatchRequest(12))
        self.watch.handle_failure()
        self.assertEqual(self.watch.next_request(), WatchRequest(12))

    def test_pauses_are_drawn_from_zero_to_a_bound_that_doubles(self) -> None:
        pauses = [self.watch.handle_failure() for _ in range(200)]
        self.assertLessEqual(max(pauses), MAXIMUM_PAUSE_SECONDS)
        self.assertLess(min(pauses), 0.05)
        self.watch.handle_changes(ChangeBatch((), 1), 1, given_at=1.0)
        self.assertEqual(self.watch.failures, 0)

    def test_a_list_that_repeats_its_last_name_ends(self) -> None:
        self.watch.handle_page(page("a", True, 10), asked_at=1.0)
        self.watch.handle_page(page("a", True, 10), asked_at=1.1)
        self.assertFalse(self.watch.must_list)


class RestoredStoreTest(unittest.TestCase):
    """A store that was restored from an older copy continues in a new era."""

    def setUp(self) -> None:
        self.view: StoreView[str] = StoreView()
        self.watch: ObjectWatch[str] = ObjectWatch(self.view, random.Random(1))
        self.take_list("ab", era=1, number=30)

    def take_list(self, names: str, *, era: int, number: int) -> list[str]:
        """Apply a complete list; return the names of the changed objects."""
        self.watch.next_request()
        changes = self.watch.handle_page(page(names, False, revision_in_era(era, number)), 1.0)
        return [change.name for change in changes]

    def test_a_lower_number_of_a_new_era_is_a_higher_revision(self) -> None:
        self.watch.handle_lost_history()
        self.assertEqual(self.take_list("bc", era=2, number=21), ["c", "a"])
        self.assertEqual(self.view.revision, revision_in_era(2, 21))
        self.assertEqual(self.watch.next_request(), WatchRequest(revision_in_era(2, 21)))

    def test_a_watch_answer_of_a_new_era_is_followed_by_a_list(self) -> None:
        """The store may have passed the watched number, and a watch omits changes below it."""
        change = ObjectChange("c", revision_in_era(2, 31), "C")
        batch = ChangeBatch((change,), revision_in_era(2, 31))
        watched = revision_in_era(1, 30)
        self.assertEqual(self.watch.handle_changes(batch, watched, given_at=9.0), ())
        self.assertEqual(self.view.confirmed_at, 1.0)
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        self.assertEqual(self.take_list("c", era=2, number=31), ["c", "a", "b"])

    def test_an_answer_of_a_former_era_changes_and_confirms_nothing(self) -> None:
        self.take_list("bc", era=2, number=21)
        batch = ChangeBatch(
            (ObjectChange("b", revision_in_era(1, 31), None),), revision_in_era(1, 31)
        )
        with self.assertRaises(OlderAnswerError):
            self.watch.handle_changes(batch, revision_in_era(1, 30), given_at=9.0)
        self.assertEqual((self.view.confirmed_at, len(self.view)), (1.0, 2))

    def test_a_list_with_pages_of_two_eras_starts_over(self) -> None:
        self.watch.handle_lost_history()
        self.watch.handle_page(page("ab", True, revision_in_era(1, 33)), 2.0)
        self.assertEqual(self.watch.next_request(), ListRequest("b"))
        self.watch.handle_page(page("cd", False, revision_in_era(2, 20)), 2.1)
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        self.assertEqual(self.take_list("cd", era=2, number=20), ["c", "d", "a", "b"])

    def test_a_lower_revision_in_the_same_era_is_a_failure(self) -> None:
        self.watch.handle_lost_history()
        for failures in range(1, 4):
            with self.assertRaises(OlderAnswerError):
                self.take_list("a", era=1, number=21)
            self.watch.handle_failure()
            self.assertEqual(self.watch.failures, failures)
        self.assertEqual(
            (self.view.revision, self.view.confirmed_at), (revision_in_era(1, 30), 1.0)
        )

    def test_a_list_older_than_a_peers_delta_is_ignored(self) -> None:
        self.watch.handle_lost_history()
        self.watch.next_request()
        self.view.apply((), revision_in_era(1, 40))
        self.assertEqual(self.watch.handle_page(page("a", False, revision_in_era(1, 35)), 2.0), ())
        self.assertEqual((len(self.view), self.view.confirmed_at), (2, 1.0))
        self.assertEqual(self.watch.next_request(), WatchRequest(revision_in_era(1, 40)))


class UnreportedEraTest(unittest.TestCase):
    """A store that was restored and reports no era."""

    def setUp(self) -> None:
        self.view: StoreView[BackendRecord] = StoreView(BackendOrder())
        self.watch: ObjectWatch[BackendRecord] = ObjectWatch(self.view, random.Random(1))
        self.ready = backend(1)._replace(sequence=4)
        self.draining = self.ready._replace(state=BackendState.DRAINING, sequence=9)
        self.take_list(30, self.draining, backend(2))

    def take_list(self, number: int, *records: BackendRecord) -> list[str]:
        self.watch.next_request()
        named = tuple(NamedRecord(record.name, number, record) for record in records)
        page = ListPage(named, False, number, records[-1].name)
        changes = self.watch.handle_page(page, 1.0, reports_era=False)
        return [change.name for change in changes]

    def test_a_list_below_the_known_revision_starts_the_next_era(self) -> None:
        self.watch.handle_lost_history()
        changed = self.take_list(20, self.ready, backend(3))
        self.assertEqual(changed, [backend(3).name, backend(2).name])
        self.assertEqual(self.view.revision, revision_in_era(1, 20))
        self.assertTrue(self.view.has_retained_records)
        self.assertEqual(self.watch.next_request(), WatchRequest(revision_in_era(1, 20)))

    def test_after_a_failed_call_it_is_listed(self) -> None:
        """The store may have passed the known number, and a watch omits changes below it."""
        self.watch.handle_failure()
        self.assertEqual(self.watch.next_request(), ListRequest(""))
        changed = self.take_list(33, self.draining, backend(3))
        self.assertEqual(changed, [backend(3).name, backend(2).name])
        self.assertEqual(self.view.revision, 33)
        self.assertEqual(self.take_list(33, self.draining, backend(3)), [])
        self.assertEqual(self.watch.next_request(), WatchRequest(33))

    def test_another_history_up_to_the_known_number_starts_the_next_era(self) -> None:
        """At the same number in the same era, peers would not take the restored records."""
        for revision, records in (
            (30, (self.ready, backend(2))),
            (33, (self.ready, backend(2))),
            (30, (self.draining,)),
            (33, (self.draining, backend(2), backend(3))),
        ):
            with self.subTest(revision=revision, records=records):
                self.setUp()
                self.watch.handle_failure()
                named = tuple(NamedRecord(record.name, 29, record) for record in records)
                page = ListPage(named, False, revision, "")
                self.watch.next_request()
                self.watch.handle_page(page, 1.0, reports_era=False)
                self.assertEqual(self.view.revision, revision_in_era(1, revision))

    def test_the_same_history_stays_in_its_era(self) -> None:
        self.watch.handle_failure()
        self.assertEqual(self.take_list(30, self.draining, backend(2)), [])
        self.assertEqual(self.view.revision, 30)

    def test_a_list_older_than_a_peers_delta_starts_no_era(self) -> None:
        self.watch.next_request()
        changed = ObjectChange(self.ready.name, 40, self.draining._replace(sequence=12))
        self.view.apply([changed], 40)
        named = NamedRecord(self.ready.name, 30, self.draining)
        self.watch.handle_failure()
        self.watch.handle_page(ListPage((named,), False, 35, named.name), 1.0, reports_era=False)
        self.assertEqual(self.view.revision, 40)

    def test_a_store_that_reports_its_era_is_still_watched(self) -> None:
        self.watch.handle_changes(ChangeBatch((), 31), 30, given_at=2.0, reports_era=True)
        self.watch.handle_lost_history()
        self.watch.handle_page(ListPage((), False, 33, ""), 3.0)
        self.watch.handle_failure()
        self.assertEqual(self.watch.next_request(), WatchRequest(33))
