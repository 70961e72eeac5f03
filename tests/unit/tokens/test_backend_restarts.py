"""Backends that restart under their name, and records with the address of another backend."""

import unittest

from beamloom.model.store_revision import revision_in_era
from beamloom.node.backend_failure_handler import BackendFailureHandler
from beamloom.node.record_orders import BackendOrder
from beamloom.node.token_core import TokenCore
from beamloom.replication.store_view import NamedRecord, ObjectChange
from beamloom.routing.tokens.backend_table import BackendTable
from beamloom.routing.tokens.liveness import CheckOutcome
from beamloom.routing.tokens.packets import ForwardPacket, PacketKind, ResetFlow
from beamloom.routing.tokens.records import BackendRecord, BackendState, ServiceWarmUp
from beamloom.settings.mechanisms import ALL_MECHANISMS
from beamloom.simulation.tokens.quiet_observer import QuietObserver
from tests.unit.tokens.builders import (
    KEY,
    ZONE,
    backend,
    configuration,
    make_router,
    new_core,
    opening,
    packet,
)

NOW = 100.0


def restarted(record: BackendRecord, **fields: object) -> BackendRecord:
    return record._replace(born_at=record.born_at + 1000, sequence=1, **fields)


class RestartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = BackendTable()
        self.first = backend(1)._replace(born_at=5000, sequence=8)
        self.table.update(self.first, 1, NOW)

    def test_observations_of_the_earlier_incarnation_do_not_apply(self) -> None:
        earlier = self.table.find(self.first.name)
        assert earlier is not None
        earlier.pending, earlier.open, earlier.busy, earlier.failures = 3, 9, 4, 5
        earlier.suspect_until = earlier.failing_until = earlier.doubted_until = NOW + 50.0
        earlier.down_since = NOW
        self.assertTrue(self.table.update(restarted(self.first), 2, NOW + 1.0))
        current = self.table.find(self.first.name)
        assert current is not None
        self.assertIsNot(current, earlier)
        self.assertTrue(earlier.removed)
        self.assertEqual(
            (current.pending, current.open, current.busy, current.failures), (0, 0, 0, 0)
        )
        self.assertLess(
            max(current.suspect_until, current.failing_until, current.doubted_until), NOW
        )
        self.assertIsNone(current.down_since)
        self.assertEqual(len(self.table), 1)

    def test_a_drained_backend_takes_flows_after_a_restart(self) -> None:
        self.table.update(self.first._replace(state=BackendState.DRAINING), 2, NOW)
        self.table.update(restarted(self.first), 3, NOW)
        found = self.table.find(self.first.name)
        assert found is not None
        self.assertTrue(found.takes_flows)

    def test_its_address_may_change(self) -> None:
        self.table.update(restarted(self.first, host="127.0.0.9"), 2, NOW)
        self.table.update(backend(7, port=self.first.port), 3, NOW)
        found = self.table.find(self.first.name)
        assert found is not None
        self.assertFalse(found.ended)

    def test_reports_from_before_the_restart_are_ignored(self) -> None:
        for number in range(2, 8):
            self.table.update(backend(number), number, NOW)
        self.table.update(restarted(self.first), 9, NOW + 1.0)
        name = self.first.name
        self.assertIsNone(self.table.suspect(name, NOW + 0.5, NOW + 3.0))
        self.assertIsNone(self.table.note_failing(name, NOW + 0.5, NOW + 1.1, NOW + 3.0))
        self.assertIsNotNone(self.table.suspect(name, NOW + 1.2, NOW + 3.2))
        self.assertIsNotNone(self.table.note_failing(name, NOW + 1.2, NOW + 1.3, NOW + 3.2))

    def test_a_repeated_write_is_not_a_restart(self) -> None:
        earlier = self.table.find(self.first.name)
        self.assertFalse(self.table.update(self.first._replace(sequence=9), 2, NOW))
        self.assertIs(self.table.find(self.first.name), earlier)


class EarlierFlowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.core = new_core()
        self.core.set_secrets(KEY)
        self.first = backend(1)._replace(born_at=5000)
        self.put(1, self.first)
        self.core.apply_configuration(
            self.core.configuration.replace(
                [NamedRecord("main", 1, configuration(1, "tracker"))], 1
            ),
            NOW,
        )
        self.core.backends.confirm(NOW)
        self.core.configuration.confirm(NOW)
        self.core.advance(NOW)
        command = self.core.router.handle(opening(1), NOW)
        assert isinstance(command, ForwardPacket)
        self.token = command.token
        self.send(NOW + 0.01, sequence=1)

    def put(self, revision: int, record: BackendRecord) -> None:
        if self.core.backends.revision is None:
            changes = self.core.backends.replace(
                [NamedRecord(record.name, revision, record)], revision
            )
        else:
            change = ObjectChange(record.name, revision, record)
            changes = self.core.backends.apply([change], revision)
        self.core.apply_backends(changes, NOW)

    def send(self, now: float, sequence: int) -> object:
        sent = packet(1, PacketKind.DATA, token=self.token, sequence=sequence, data_length=90)
        return self.core.router.handle(sent, now)

    def test_their_packets_are_forwarded_and_not_counted(self) -> None:
        self.put(2, restarted(self.first))
        for turn in range(4):
            command = self.send(NOW + 1.0 + turn, sequence=2)
            self.assertIsInstance(command, ForwardPacket)
        self.core.router.advance(NOW + 6.0)
        current = self.core.router.backends.find(self.first.name)
        assert current is not None
        self.assertEqual(
            (current.open, current.busy, current.stalled, current.suspect_until), (0, 0, 0, 0.0)
        )

    def test_they_are_not_reset_as_they_may_be_open_at_the_new_incarnation(self) -> None:
        self.put(2, restarted(self.first))
        self.assertEqual(list(self.core.router.resets), [])

    def test_a_check_of_the_earlier_incarnation_is_ignored(self) -> None:
        earlier = self.core.router.backends.find(self.first.name)
        assert earlier is not None
        self.put(2, restarted(self.first))
        self.core.checks.apply_outcome(earlier, CheckOutcome.REFUSED, NOW + 1.0)
        current = self.core.router.backends.find(self.first.name)
        assert current is not None
        self.assertIsNone(current.down_since)

    def test_a_new_opening_is_forwarded(self) -> None:
        self.put(2, restarted(self.first))
        command = self.core.router.handle(opening(1), NOW + 1.0)
        self.assertIsInstance(command, ForwardPacket)


class ForeignEntryTest(unittest.TestCase):
    """A record of a service outside the configuration may contain any address."""

    def make_core(self, *records: BackendRecord) -> TokenCore:
        core = new_core()
        core.set_secrets(KEY)
        named = [
            NamedRecord(record.name, number, record) for number, record in enumerate(records, 1)
        ]
        core.apply_backends(core.backends.replace(named, len(records)), NOW)
        main = NamedRecord("main", 1, configuration(1, "tracker"))
        core.apply_configuration(core.configuration.replace([main], 1), NOW)
        return core

    def test_it_does_not_claim_the_address_of_a_live_backend(self) -> None:
        own, foreign = backend(1), backend(9, "unheard-of", port=backend(1).port)
        core = self.make_core(own, foreign)
        found = core.router.backends.find(own.name)
        assert found is not None
        self.assertTrue(found.takes_flows)
        command = core.router.handle(opening(1), NOW)
        self.assertNotIsInstance(command, ResetFlow)

    def test_a_later_backend_of_a_configured_service_does(self) -> None:
        own, later = backend(1), backend(9, port=backend(1).port)
        core = self.make_core(own, later)
        found = core.router.backends.find(own.name)
        assert found is not None
        self.assertTrue(found.ended)


class AddressAcrossErasTest(unittest.TestCase):
    def test_a_record_of_a_restored_store_does_not_end_a_live_backend(self) -> None:
        """The restored copy lists the earlier owner of the address, and not yet the present one."""
        table = BackendTable()
        live, earlier = backend(2, port=8001), backend(1, port=8001)
        table.update(live, revision_in_era(1, 30), NOW)
        table.update(earlier, revision_in_era(2, 20), NOW)
        found = table.find(live.name)
        assert found is not None
        self.assertFalse(found.ended)
        table.update(live, revision_in_era(2, 21), NOW + 1.0)
        self.assertTrue(found.takes_flows)

    def test_the_backend_that_started_later_has_the_address(self) -> None:
        table = BackendTable()
        live = backend(2, port=8001)._replace(born_at=9000)
        table.update(live, revision_in_era(1, 30), NOW)
        table.update(backend(1, port=8001)._replace(born_at=4000), revision_in_era(2, 20), NOW)
        found, earlier = table.find(live.name), table.find(backend(1).name)
        assert found is not None
        assert earlier is not None
        self.assertEqual((found.ended, earlier.ended), (False, True))


class FormerOwnerTest(unittest.TestCase):
    """A restored store lists the earlier owner of an address again, beside the present one.

    Guards against applying the earlier owner's record at the revision of the whole view instead of
    its own: it then seemed to be the later owner, and flows of the live backend were reset.
    """

    def test_the_former_owner_does_not_end_the_live_backend(self) -> None:
        earlier = backend(1, port=8001)._replace(state=BackendState.DRAINING, sequence=9)
        live = backend(2, port=8001)
        core = new_core()
        core.router.backends.set_services(frozenset(), NOW)
        self.list(core, revision_in_era(1, 30), self.named(1, 10, earlier))
        self.apply(core, 1, 31, live)
        self.remove(core, 1, 32, earlier)
        core.router.backends.set_services(frozenset({"tracker"}), NOW)
        self.list(core, revision_in_era(2, 20), self.named(2, 10, earlier))
        self.apply(core, 2, 21, live)
        self.apply(core, 2, 22, backend(3))
        core.advance(NOW)
        core.advance(NOW + BackendOrder().retention_seconds + 0.25)
        self.assertFalse(core.backends.has_retained_records)
        found = core.router.backends.find(live.name)
        assert found is not None
        self.assertFalse(found.ended)
        self.assertTrue(found.takes_flows)

    def list(self, core: TokenCore, revision: int, named: NamedRecord[BackendRecord]) -> None:
        core.apply_backends(core.backends.replace([named], revision), NOW)

    def named(self, era: int, number: int, record: BackendRecord) -> NamedRecord[BackendRecord]:
        return NamedRecord(record.name, revision_in_era(era, number), record)

    def apply(self, core: TokenCore, era: int, number: int, record: BackendRecord) -> None:
        change = ObjectChange(record.name, revision_in_era(era, number), record)
        core.apply_backends(core.backends.apply([change], change.revision), NOW)

    def remove(self, core: TokenCore, era: int, number: int, record: BackendRecord) -> None:
        change = ObjectChange[BackendRecord](record.name, revision_in_era(era, number), None)
        core.apply_backends(core.backends.apply([change], change.revision), NOW)


class UnreportedRestartTest(unittest.TestCase):
    """A backend that refused connections and can be reached again has restarted."""

    def setUp(self) -> None:
        self.router = make_router()
        self.failures = BackendFailureHandler(self.router, QuietObserver(), ALL_MECHANISMS)
        self.router.backends.set_warm_ups([ServiceWarmUp("tracker", 4.0, 10.0)])
        self.router.backends.update(backend(1), 1, NOW)
        held = self.router.backends.find(backend(1).name)
        assert held is not None
        self.held = held

    def check(self, outcome: CheckOutcome, now: float) -> None:
        self.failures.checks.apply_outcome(self.held, outcome, now)

    def test_it_is_presumed_cold_before_its_record_arrives(self) -> None:
        self.check(CheckOutcome.REFUSED, NOW)
        self.check(CheckOutcome.ALIVE, NOW + 1.0)
        self.assertEqual(self.held.cold_until, NOW + 5.0)

    def test_a_backend_that_was_only_unreachable_is_not(self) -> None:
        self.check(CheckOutcome.SILENT, NOW)
        self.check(CheckOutcome.ALIVE, NOW + 1.0)
        self.assertLess(self.held.cold_until, NOW)

    def test_its_new_record_ends_the_presumption(self) -> None:
        self.check(CheckOutcome.REFUSED, NOW)
        self.check(CheckOutcome.ALIVE, NOW + 1.0)
        self.router.backends.update(restarted(backend(1)), 2, NOW + 1.2)
        found = self.router.backends.find(backend(1).name)
        assert found is not None
        self.assertLess(found.cold_until, NOW)


class EndOfWarmUpTest(unittest.TestCase):
    """Guards against a warm-up that continues after a record without one."""

    def setUp(self) -> None:
        self.table = BackendTable()
        self.table.set_warm_ups([ServiceWarmUp("tracker", 4.0, 10.0)])
        self.table.update(backend(1, warm_up=4.0), 1, NOW)

    def cold_until(self) -> float:
        found = self.table.find(backend(1).name)
        assert found is not None
        return found.cold_until

    def test_a_record_without_warm_up_ends_it(self) -> None:
        self.assertEqual(self.cold_until(), NOW + 4.0)
        self.table.update(backend(1), 2, NOW + 0.8)
        self.assertLess(self.cold_until(), NOW)

    def test_a_record_does_not_end_it_if_the_return_revision_is_unknown(self) -> None:
        self.table.update(backend(1), 2, NOW + 0.8)
        self.table.evacuate(frozenset({ZONE}), NOW + 1.0)
        self.table.evacuate(frozenset(), NOW + 2.0)
        self.table.update(backend(1, slots=3), 3, NOW + 2.5)
        self.assertEqual(self.cold_until(), NOW + 6.0)

    def end_evacuation(self, revision: int) -> None:
        self.table.evacuate(frozenset({ZONE}), NOW + 1.0)
        self.table.evacuate(frozenset(), NOW + 2.0, {ZONE: revision})

    def test_a_record_written_after_an_evacuation_ends_it(self) -> None:
        """The store numbers changes of all kinds in one order, so revisions can be compared."""
        self.table.update(backend(1), 2, NOW + 0.8)
        self.end_evacuation(7)
        self.assertEqual(self.cold_until(), NOW + 6.0)
        self.table.update(backend(1, slots=3), 8, NOW + 2.5)
        self.assertLess(self.cold_until(), NOW)

    def test_such_a_record_may_arrive_before_the_evacuation_ends(self) -> None:
        self.table.update(backend(1), 8, NOW + 0.8)
        self.end_evacuation(7)
        self.assertLess(self.cold_until(), NOW)

    def test_a_record_written_before_the_end_of_an_evacuation_does_not(self) -> None:
        self.end_evacuation(7)
        self.table.update(backend(1, slots=3), 6, NOW + 2.5)
        self.assertEqual(self.cold_until(), NOW + 6.0)

    def test_a_record_of_another_era_does_not(self) -> None:
        self.table.update(backend(1), 2, NOW + 0.8)
        self.end_evacuation(revision_in_era(1, 7))
        self.table.update(backend(1, slots=3), revision_in_era(2, 8), NOW + 2.5)
        self.assertEqual(self.cold_until(), NOW + 6.0)

    def test_a_warm_up_reported_after_an_evacuation_applies(self) -> None:
        self.table.update(backend(1), 2, NOW + 0.8)
        self.end_evacuation(7)
        self.table.update(backend(1, warm_up=4.0), 8, NOW + 3.0)
        self.assertEqual(self.cold_until(), NOW + 7.0)

    def test_a_repeated_warm_up_report_starts_a_new_warm_up(self) -> None:
        """Guards against ignoring a repeated report, which sent a cold backend too many flows."""
        self.table.update(backend(1, warm_up=4.0)._replace(sequence=2), 2, NOW + 3.0)
        self.assertEqual(self.cold_until(), NOW + 7.0)
