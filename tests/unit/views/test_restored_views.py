"""What holds where the store came back from an older copy, and for how long: views and exchange.

A node keeps what it knows to be newer than the copy, and gives it up once writers must have written
again. What one node has read in a new era all others take, however far they were before.
"""

import unittest

from beamloom.model.store_revision import era_of, number_of, revision_in_era
from beamloom.node.record_orders import (
    BackendOrder,
    ConfigurationOrder,
    EvacuationOrder,
)
from beamloom.replication.kept_words import KeptWords
from beamloom.replication.record_order import UNMARKED
from beamloom.replication.store_view import (
    EVERYTHING,
    NamedRecord,
    ObjectChange,
    StoreView,
    ViewDelta,
)
from beamloom.routing.tokens.records import (
    BackendRecord,
    BackendState,
    RoutingConfiguration,
    ZoneEvacuation,
)
from tests.unit.tokens.builders import backend, configuration
from tests.unit.views.exchange_network import Network


def told(changes: tuple[ObjectChange[BackendRecord], ...]) -> list[tuple[str, str | None]]:
    """Return names with the states that changes tell; None: gone."""
    return [
        (change.name, None if change.record is None else change.record.state.value)
        for change in changes
    ]


class BackendWordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.order = BackendOrder(heartbeat_seconds=1.0)
        self.view = StoreView(self.order)
        self.settled: list[tuple[str, str | None]] = []
        self.kept = KeptWords(self.view, lambda changes, now: self.settled.extend(told(changes)))
        self.ready = backend(1)._replace(sequence=4)
        self.draining = self.ready._replace(state=BackendState.DRAINING, sequence=9)
        self.other = backend(2)._replace(sequence=4)

    def list(self, era: int, number: int, *records: BackendRecord) -> list[tuple[str, str | None]]:
        revision = revision_in_era(era, number)
        named = [NamedRecord(record.name, revision, record) for record in records]
        return told(self.view.replace(named, revision))

    def test_a_draining_that_the_copy_does_not_know_holds(self) -> None:
        self.list(1, 30, self.draining, self.other)
        self.assertEqual(self.list(2, 20, self.ready, self.other), [])
        self.assertTrue(self.view.keeps_words)

    def test_what_its_writer_says_then_holds_at_once(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        again = ObjectChange(self.ready.name, revision_in_era(2, 21), self.draining)
        self.assertEqual(self.view.apply([again], revision_in_era(2, 21)), ())
        self.assertFalse(self.view.keeps_words)
        gone = ObjectChange(self.ready.name, revision_in_era(2, 22), None)
        self.assertEqual(
            told(self.view.apply([gone], revision_in_era(2, 22))), [(self.ready.name, None)]
        )

    def test_what_nobody_repeats_is_as_the_store_says_in_the_end(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        self.kept.advance(100.0)
        self.kept.advance(100.0 + self.order.settle_seconds - 0.01)
        self.assertEqual(self.settled, [])
        self.kept.advance(100.0 + self.order.settle_seconds)
        self.assertEqual(self.settled, [(self.ready.name, "ready")])
        self.assertFalse(self.view.keeps_words)

    def test_another_restore_gives_writers_their_time_anew(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        self.kept.advance(100.0)
        self.assertEqual(self.list(3, 18, self.ready), [])
        self.kept.advance(103.0)
        self.kept.advance(103.0 + self.order.settle_seconds - 0.01)
        self.assertEqual(self.settled, [])

    def test_one_that_has_gone_and_is_in_the_copy_is_not_used_before_it_must_live(self) -> None:
        self.list(1, 30, self.ready, self.other)
        self.list(1, 31, self.other)
        self.assertEqual(self.list(2, 20, self.ready, self.other), [])
        self.kept.advance(0.0)
        self.kept.advance(self.order.settle_seconds)
        self.assertEqual(self.settled, [(self.ready.name, "ready")])

    def test_one_that_has_gone_and_goes_from_the_copy_is_never_used(self) -> None:
        self.list(1, 30, self.ready, self.other)
        self.list(1, 31, self.other)
        self.list(2, 20, self.ready, self.other)
        gone = ObjectChange(self.ready.name, revision_in_era(2, 21), None)
        self.assertEqual(self.view.apply([gone], revision_in_era(2, 21)), ())

    def test_one_that_started_anew_is_used_at_once(self) -> None:
        self.list(1, 30, self.ready._replace(born_at=5))
        self.list(1, 31)
        anew = self.ready._replace(born_at=8, sequence=1)
        self.assertEqual(self.list(2, 20, anew), [(anew.name, "ready")])

    def test_one_that_the_copy_lacks_has_gone(self) -> None:
        self.list(1, 30, self.ready, self.other)
        self.assertEqual(self.list(2, 20, self.other), [(self.ready.name, None)])

    def test_the_copy_does_not_undo_a_new_start(self) -> None:
        anew = self.ready._replace(born_at=8, sequence=1)
        former = self.draining._replace(born_at=5, sequence=90)
        self.list(1, 30, anew)
        self.assertEqual(self.list(2, 20, former), [])

    def test_within_an_era_the_last_writer_holds(self) -> None:
        self.list(1, 30, self.draining)
        change = ObjectChange(self.ready.name, revision_in_era(1, 31), self.ready)
        self.assertEqual(
            told(self.view.apply([change], change.revision)), [(self.ready.name, "ready")]
        )

    def test_writing_the_same_again_is_no_news(self) -> None:
        self.list(1, 30, self.ready)
        self.assertEqual(self.list(1, 31, self.ready._replace(sequence=70)), [])

    def test_peers_are_told_what_the_store_says(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        delta = self.view.since(revision_in_era(1, 30))
        assert delta is not None
        self.assertEqual(told(delta.changes), [(self.ready.name, "ready")])


class ConfigurationWordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view: StoreView[RoutingConfiguration] = StoreView(ConfigurationOrder())
        self.list(1, 30, 21)

    def list(self, era: int, number: int, *versions: int) -> tuple[object, ...]:
        revision = revision_in_era(era, number)
        named = [NamedRecord("main", revision, configuration(version, "a")) for version in versions]
        return self.view.replace(named, revision)

    def version_told(self) -> int:
        delta = self.view.since(0)
        assert delta is not None
        assert delta.changes[0].record is not None
        return delta.changes[0].record.version

    def test_an_older_version_of_the_copy_is_never_taken_nor_told(self) -> None:
        self.assertEqual(self.list(2, 20, 19), ())
        self.assertEqual(self.version_told(), 21)

    def test_a_copy_without_any_takes_none_away(self) -> None:
        self.assertEqual(self.list(2, 20), ())
        self.assertEqual(self.version_told(), 21)

    def test_the_operators_repetition_is_no_news_and_their_next_word_is(self) -> None:
        self.list(2, 20, 19)
        for number, version, news in ((21, 21, 0), (22, 24, 1), (23, 22, 0)):
            change = ObjectChange("main", revision_in_era(2, number), configuration(version, "a"))
            self.assertEqual(len(self.view.apply([change], change.revision)), news)
        self.assertEqual(self.version_told(), 24)

    def test_what_is_removed_or_unreadable_leaves_it_in_force(self) -> None:
        change: ObjectChange[RoutingConfiguration] = ObjectChange(
            "main", revision_in_era(1, 31), None
        )
        self.assertEqual(self.view.apply([change], change.revision), ())
        self.assertEqual(self.version_told(), 21)


class NewerWordsTest(unittest.TestCase):
    """A node that started after a restore, and a peer at the same revision that knows better."""

    def setUp(self) -> None:
        self.late: StoreView[RoutingConfiguration] = StoreView(ConfigurationOrder())
        self.peer: StoreView[RoutingConfiguration] = StoreView(ConfigurationOrder())
        for era, view, version in ((1, self.peer, 21), (2, self.peer, 19), (2, self.late, 19)):
            revision = revision_in_era(era, 20)
            view.replace([NamedRecord("main", revision, configuration(version, "a"))], revision)

    def whole(self, view: StoreView[RoutingConfiguration]) -> ViewDelta[RoutingConfiguration]:
        delta = view.since(EVERYTHING)
        assert delta is not None
        return delta

    def test_marks_tell_who_knows_more(self) -> None:
        self.assertEqual((self.late.mark, self.peer.mark), (19, 21))
        backends: StoreView[BackendRecord] = StoreView(BackendOrder())
        backends.replace([NamedRecord("a", 4, backend(1))], 4)
        self.assertEqual(backends.mark, UNMARKED)

    def test_the_newer_version_is_taken_at_the_same_revision(self) -> None:
        news = self.late.merge(self.whole(self.peer))
        assert news is not None
        self.assertEqual([change.record and change.record.version for change in news], [21])
        self.assertEqual((self.late.revision, self.late.mark), (self.peer.revision, 21))

    def test_an_older_one_is_not(self) -> None:
        self.assertIsNone(self.peer.merge(self.whole(self.late)))
        self.assertEqual(self.peer.mark, 21)

    def test_backends_are_not_taken_so(self) -> None:
        view: StoreView[BackendRecord] = StoreView(BackendOrder())
        view.replace([NamedRecord("a", 4, backend(1))], 4)
        change = ObjectChange("a", 4, backend(1)._replace(sequence=9))
        self.assertIsNone(view.merge(ViewDelta(EVERYTHING, 4, (change,))))


class EvacuationWordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.order = EvacuationOrder()
        self.view: StoreView[ZoneEvacuation] = StoreView(self.order)
        self.settled: list[tuple[str, bool]] = []
        self.kept = KeptWords(self.view, self.settle)

    def settle(self, changes: tuple[ObjectChange[ZoneEvacuation], ...], _now: float) -> None:
        self.settled += [(change.name, change.record is not None) for change in changes]

    def list(self, era: int, number: int, *zones: str) -> list[str]:
        revision = revision_in_era(era, number)
        named = [NamedRecord(zone, revision, ZoneEvacuation(zone)) for zone in zones]
        return [change.name for change in self.view.replace(named, revision)]

    def test_a_zone_stays_evacuated_until_operators_must_have_asked_again(self) -> None:
        self.list(1, 30, "west")
        self.assertEqual(self.list(2, 20), [])
        self.kept.advance(0.0)
        self.kept.advance(self.order.settle_seconds)
        self.assertEqual(self.settled, [("west", False)])

    def test_a_zone_that_was_taken_back_is_not_evacuated_by_the_copy(self) -> None:
        self.list(1, 30, "west")
        self.list(1, 31)
        self.assertEqual(self.list(2, 20, "west"), [])
        removed: ObjectChange[ZoneEvacuation] = ObjectChange("west", revision_in_era(2, 21), None)
        self.assertEqual(self.view.apply([removed], removed.revision), ())
        self.kept.advance(0.0)
        self.kept.advance(self.order.settle_seconds)
        self.assertEqual(self.settled, [])


class ExchangeTest(unittest.TestCase):
    """What one node has read in a new era, all others take, however far they were before."""

    def setUp(self) -> None:
        self.network = Network(5, seed=3)
        self.network.run(2.0)
        self.first, *self.others = self.network.nodes.values()
        self.network.learn(self.first, backend(1), backend(2), revision=revision_in_era(1, 90))
        self.network.run(2.0)

    def restore(self, *records: BackendRecord, number: int) -> None:
        """Let the first node list a restored store."""
        revision = revision_in_era(2, number)
        named = [NamedRecord(record.name, revision, record) for record in records]
        self.first.view.replace(named, revision)
        self.first.view.confirm(self.network.now)
        self.first.exchange.announce(self.network.now)
        self.network.flush(self.first)
        self.network.run(1.0)

    def test_a_lower_number_of_a_later_era_reaches_all(self) -> None:
        self.restore(backend(2), backend(3), number=40)
        for node in self.others:
            self.assertEqual(node.view.revision, revision_in_era(2, 40))
            self.assertEqual(len(node.view), 2)

    def test_a_change_below_the_number_that_was_known_reaches_all(self) -> None:
        self.restore(backend(2), number=40)
        draining = backend(2, state=BackendState.DRAINING)
        self.network.learn(self.first, draining, revision=revision_in_era(2, 41))
        self.network.run(1.0)
        for node in self.others:
            self.assertEqual(node.heard[-1], draining.name)

    def test_one_that_was_cut_off_meanwhile_neither_holds_nor_spreads_the_former_era(self) -> None:
        late = self.others[0]
        self.network.cut.add(late.host)
        self.restore(backend(2), number=40)
        self.assertEqual(era_of(late.view.revision or 0), 1)
        self.network.cut.clear()
        self.network.run(3.0)
        found = {node.view.revision for node in self.network.nodes.values()}
        self.assertEqual(found, {revision_in_era(2, 40)})

    def test_an_old_confirmation_does_not_confirm_the_new_era(self) -> None:
        late = self.others[0]
        late.view.confirm(self.network.now + 50.0)
        self.restore(backend(2), number=90)
        for node in (self.first, *self.others[1:]):
            self.assertLess(node.view.confirmed_at or 0.0, self.network.now + 1.0)


class RevisionTest(unittest.TestCase):
    def test_there_and_back(self) -> None:
        revision = revision_in_era(7, 1_234)
        self.assertEqual((era_of(revision), number_of(revision)), (7, 1_234))
        self.assertGreater(revision_in_era(2, 0), revision_in_era(1, 1 << 47))
