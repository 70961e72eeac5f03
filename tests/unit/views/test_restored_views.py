"""Views after the store was restored from an older copy.

A node retains newer records for a limited time, and views converge on the new era's revisions.
"""

import unittest

from beamloom.model.store_revision import era_of, number_of, revision_in_era
from beamloom.node.record_orders import (
    BackendOrder,
    ConfigurationOrder,
    EvacuationOrder,
)
from beamloom.replication.record_order import UNMARKED
from beamloom.replication.retention_timer import RetentionTimer
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


def states(changes: tuple[ObjectChange[BackendRecord], ...]) -> list[tuple[str, str | None]]:
    """Return the names of changed backends with their states; None for a removed one."""
    return [
        (change.name, None if change.record is None else change.record.state.value)
        for change in changes
    ]


class RetainedBackendsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.order = BackendOrder(heartbeat_seconds=1.0)
        self.view = StoreView(self.order)
        self.settled: list[tuple[str, str | None]] = []
        self.retention = RetentionTimer(
            self.view, lambda changes, now: self.settled.extend(states(changes))
        )
        self.ready = backend(1)._replace(sequence=4)
        self.draining = self.ready._replace(state=BackendState.DRAINING, sequence=9)
        self.other = backend(2)._replace(sequence=4)

    def list(self, era: int, number: int, *records: BackendRecord) -> list[tuple[str, str | None]]:
        revision = revision_in_era(era, number)
        named = [NamedRecord(record.name, revision, record) for record in records]
        return states(self.view.replace(named, revision))

    def test_a_draining_state_missing_from_the_copy_is_retained(self) -> None:
        self.list(1, 30, self.draining, self.other)
        self.assertEqual(self.list(2, 20, self.ready, self.other), [])
        self.assertTrue(self.view.has_retained_records)

    def test_a_write_after_the_restore_takes_effect_at_once(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        again = ObjectChange(self.ready.name, revision_in_era(2, 21), self.draining)
        self.assertEqual(self.view.apply([again], revision_in_era(2, 21)), ())
        self.assertFalse(self.view.has_retained_records)
        gone = ObjectChange(self.ready.name, revision_in_era(2, 22), None)
        self.assertEqual(
            states(self.view.apply([gone], revision_in_era(2, 22))), [(self.ready.name, None)]
        )

    def test_a_record_that_is_not_repeated_is_given_up(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        self.retention.advance(100.0)
        self.retention.advance(100.0 + self.order.retention_seconds - 0.01)
        self.assertEqual(self.settled, [])
        self.retention.advance(100.0 + self.order.retention_seconds)
        self.assertEqual(self.settled, [(self.ready.name, "ready")])
        self.assertFalse(self.view.has_retained_records)

    def test_another_restore_restarts_the_retention_time(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        self.retention.advance(100.0)
        self.assertEqual(self.list(3, 18, self.ready), [])
        self.retention.advance(103.0)
        self.retention.advance(103.0 + self.order.retention_seconds - 0.01)
        self.assertEqual(self.settled, [])

    def test_a_removed_backend_in_the_copy_is_used_only_after_the_retention_time(self) -> None:
        self.list(1, 30, self.ready, self.other)
        self.list(1, 31, self.other)
        self.assertEqual(self.list(2, 20, self.ready, self.other), [])
        self.retention.advance(0.0)
        self.retention.advance(self.order.retention_seconds)
        self.assertEqual(self.settled, [(self.ready.name, "ready")])

    def test_a_removed_backend_that_leaves_the_copy_is_never_used(self) -> None:
        self.list(1, 30, self.ready, self.other)
        self.list(1, 31, self.other)
        self.list(2, 20, self.ready, self.other)
        gone = ObjectChange(self.ready.name, revision_in_era(2, 21), None)
        self.assertEqual(self.view.apply([gone], revision_in_era(2, 21)), ())

    def test_a_restarted_backend_is_used_at_once(self) -> None:
        self.list(1, 30, self.ready._replace(born_at=5))
        self.list(1, 31)
        restarted = self.ready._replace(born_at=8, sequence=1)
        self.assertEqual(self.list(2, 20, restarted), [(restarted.name, "ready")])

    def test_a_backend_missing_from_the_copy_is_removed(self) -> None:
        self.list(1, 30, self.ready, self.other)
        self.assertEqual(self.list(2, 20, self.other), [(self.ready.name, None)])

    def test_an_earlier_incarnation_in_the_copy_is_ignored(self) -> None:
        restarted = self.ready._replace(born_at=8, sequence=1)
        former = self.draining._replace(born_at=5, sequence=90)
        self.list(1, 30, restarted)
        self.assertEqual(self.list(2, 20, former), [])

    def test_within_an_era_the_last_write_wins(self) -> None:
        self.list(1, 30, self.draining)
        change = ObjectChange(self.ready.name, revision_in_era(1, 31), self.ready)
        self.assertEqual(
            states(self.view.apply([change], change.revision)), [(self.ready.name, "ready")]
        )

    def test_an_equivalent_write_is_no_change(self) -> None:
        self.list(1, 30, self.ready)
        self.assertEqual(self.list(1, 31, self.ready._replace(sequence=70)), [])

    def test_deltas_contain_the_stores_records(self) -> None:
        self.list(1, 30, self.draining)
        self.list(2, 20, self.ready)
        delta = self.view.since(revision_in_era(1, 30))
        assert delta is not None
        self.assertEqual(states(delta.changes), [(self.ready.name, "ready")])


class RetainedConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view: StoreView[RoutingConfiguration] = StoreView(ConfigurationOrder())
        self.list(1, 30, 21)

    def list(self, era: int, number: int, *versions: int) -> tuple[object, ...]:
        revision = revision_in_era(era, number)
        named = [NamedRecord("main", revision, configuration(version, "a")) for version in versions]
        return self.view.replace(named, revision)

    def sent_version(self) -> int:
        delta = self.view.since(0)
        assert delta is not None
        assert delta.changes[0].record is not None
        return delta.changes[0].record.version

    def test_an_older_version_in_the_copy_is_neither_taken_nor_sent(self) -> None:
        self.assertEqual(self.list(2, 20, 19), ())
        self.assertEqual(self.sent_version(), 21)

    def test_a_copy_without_a_configuration_removes_none(self) -> None:
        self.assertEqual(self.list(2, 20), ())
        self.assertEqual(self.sent_version(), 21)

    def test_a_repeated_version_is_no_change_and_a_higher_one_is(self) -> None:
        self.list(2, 20, 19)
        for number, version, changed in ((21, 21, 0), (22, 24, 1), (23, 22, 0)):
            change = ObjectChange("main", revision_in_era(2, number), configuration(version, "a"))
            self.assertEqual(len(self.view.apply([change], change.revision)), changed)
        self.assertEqual(self.sent_version(), 24)

    def test_a_removed_or_unreadable_configuration_stays_in_force(self) -> None:
        change: ObjectChange[RoutingConfiguration] = ObjectChange(
            "main", revision_in_era(1, 31), None
        )
        self.assertEqual(self.view.apply([change], change.revision), ())
        self.assertEqual(self.sent_version(), 21)


class NewerRecordsTest(unittest.TestCase):
    """A node that started after a restore, and a peer at the same revision with a newer record."""

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

    def test_marks_show_which_view_is_newer(self) -> None:
        self.assertEqual((self.late.mark, self.peer.mark), (19, 21))
        backends: StoreView[BackendRecord] = StoreView(BackendOrder())
        backends.replace([NamedRecord("a", 4, backend(1))], 4)
        self.assertEqual(backends.mark, UNMARKED)

    def test_the_newer_version_is_taken_at_the_same_revision(self) -> None:
        merged = self.late.merge(self.whole(self.peer))
        assert merged is not None
        self.assertEqual([change.record and change.record.version for change in merged], [21])
        self.assertEqual((self.late.revision, self.late.mark), (self.peer.revision, 21))

    def test_an_older_version_is_not_taken(self) -> None:
        self.assertIsNone(self.peer.merge(self.whole(self.late)))
        self.assertEqual(self.peer.mark, 21)

    def test_backends_at_the_same_revision_are_not_taken(self) -> None:
        view: StoreView[BackendRecord] = StoreView(BackendOrder())
        view.replace([NamedRecord("a", 4, backend(1))], 4)
        change = ObjectChange("a", 4, backend(1)._replace(sequence=9))
        self.assertIsNone(view.merge(ViewDelta(EVERYTHING, 4, (change,))))


class RetainedEvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.order = EvacuationOrder()
        self.view: StoreView[ZoneEvacuation] = StoreView(self.order)
        self.settled: list[tuple[str, bool]] = []
        self.retention = RetentionTimer(self.view, self.settle)

    def settle(self, changes: tuple[ObjectChange[ZoneEvacuation], ...], _now: float) -> None:
        self.settled += [(change.name, change.record is not None) for change in changes]

    def list(self, era: int, number: int, *zones: str) -> list[str]:
        revision = revision_in_era(era, number)
        named = [NamedRecord(zone, revision, ZoneEvacuation(zone)) for zone in zones]
        return [change.name for change in self.view.replace(named, revision)]

    def test_an_evacuation_is_retained_for_a_limited_time(self) -> None:
        self.list(1, 30, "west")
        self.assertEqual(self.list(2, 20), [])
        self.retention.advance(0.0)
        self.retention.advance(self.order.retention_seconds)
        self.assertEqual(self.settled, [("west", False)])

    def test_a_removed_evacuation_in_the_copy_has_no_effect(self) -> None:
        self.list(1, 30, "west")
        self.list(1, 31)
        self.assertEqual(self.list(2, 20, "west"), [])
        removed: ObjectChange[ZoneEvacuation] = ObjectChange("west", revision_in_era(2, 21), None)
        self.assertEqual(self.view.apply([removed], removed.revision), ())
        self.retention.advance(0.0)
        self.retention.advance(self.order.retention_seconds)
        self.assertEqual(self.settled, [])


class ExchangeTest(unittest.TestCase):
    """Views that one node reads in a new era replace those of all other nodes."""

    def setUp(self) -> None:
        self.network = Network(5, seed=3)
        self.network.run(2.0)
        self.first, *self.others = self.network.nodes.values()
        self.network.learn(self.first, backend(1), backend(2), revision=revision_in_era(1, 90))
        self.network.run(2.0)

    def restore(self, *records: BackendRecord, number: int) -> None:
        """Make the first node list a restored store."""
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
            self.assertEqual(node.changed_names[-1], draining.name)

    def test_a_node_that_was_partitioned_leaves_the_former_era(self) -> None:
        late = self.others[0]
        self.network.partitioned.add(late.host)
        self.restore(backend(2), number=40)
        self.assertEqual(era_of(late.view.revision or 0), 1)
        self.network.partitioned.clear()
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
    def test_era_and_number_round_trip(self) -> None:
        revision = revision_in_era(7, 1_234)
        self.assertEqual((era_of(revision), number_of(revision)), (7, 1_234))
        self.assertGreater(revision_in_era(2, 0), revision_in_era(1, 1 << 47))
