import itertools
import random
import unittest

from beamloom.model.contracts import BackendOperatingStatus as Status
from beamloom.model.contracts import ServicePolicy
from beamloom.model.machines import NodeId
from beamloom.protocol.backend_messages import StatusBatch
from beamloom.protocol.codec import message_from_list, message_to_list
from beamloom.protocol.errors import MalformedDatagramError
from beamloom.protocol.events import BackendChecked
from beamloom.replication.backend_status.load_reports import NEUTRAL_CLASS
from beamloom.replication.backend_status.register import StatusReason, StatusRecord
from beamloom.replication.backend_status.watchers import BackendWatchers, UnknownBackendError
from tests.unit.backend_status.fleet import CheckAnswer, Fleet, healthy_answer, make_services

BACKEND = 101


def statuses(fleet: Fleet, number: int = BACKEND) -> set[Status]:
    return {node.status(number, fleet.now).status for node in fleet.nodes.values()}


def failing(*numbers: int, seen_by: set[str] | None = None) -> CheckAnswer:
    def answer(node_id: NodeId, number: int, now: float) -> BackendChecked | None:
        if number in numbers and (seen_by is None or node_id in seen_by):
            return None
        return BackendChecked(number, True, False, 0.5, 0.005)

    return answer


class StatusTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(9, make_services(3, 7))
        self.fleet.run(30.0)
        self.watchers = self.fleet.nodes[NodeId("node-0")].watchers(BACKEND)

    def test_failed_backend_is_offline_everywhere_and_returns_with_a_cold_start(self) -> None:
        self.assertEqual(statuses(self.fleet), {Status.ONLINE})
        self.fleet.checked = failing(BACKEND)
        self.fleet.run(14.0)
        self.assertEqual(statuses(self.fleet), {Status.OFFLINE})
        self.assertEqual(statuses(self.fleet, BACKEND + 1), {Status.ONLINE})
        self.fleet.checked = healthy_answer
        self.fleet.run(10.0)
        view = self.fleet.nodes[NodeId("node-0")].status(BACKEND, self.fleet.now)
        self.assertEqual(view.status, Status.ONLINE)
        self.assertLess(view.weight_factor, 0.5)
        self.assertIn("cold start", view.reason)
        self.fleet.run(30.0)
        view = self.fleet.nodes[NodeId("node-0")].status(BACKEND, self.fleet.now)
        self.assertEqual(view.weight_factor, 1.0)

    def test_silent_backend_is_offline_everywhere_within_ten_seconds(self) -> None:
        for number in (BACKEND, BACKEND + 9, BACKEND + 18):
            self.fleet.checked = failing(number)
            self.fleet.run(10.0)
            self.assertEqual(statuses(self.fleet, number), {Status.OFFLINE})

    def test_failed_check_is_repeated_soon_and_alone_changes_no_status(self) -> None:
        check_times: list[float] = []

        def fail_once(node_id: NodeId, number: int, now: float) -> BackendChecked | None:
            if (node_id, number) == (self.watchers[0], BACKEND):
                check_times.append(now)
                return BackendChecked(number, len(check_times) != 2, False, 0.5, 0.005)
            return healthy_answer(node_id, number, now)

        self.fleet.checked = fail_once
        self.fleet.run(12.0)
        gaps = [later - earlier for earlier, later in itertools.pairwise(check_times)]
        self.assertLess(gaps[1], 1.2)
        self.assertGreater(min(gaps[0], *gaps[2:]), 1.7)
        self.assertEqual(statuses(self.fleet), {Status.ONLINE})

    def test_failures_at_one_watcher_only_do_not_take_a_backend_offline(self) -> None:
        for watcher in self.watchers:
            self.fleet.checked = failing(BACKEND, seen_by={watcher})
            self.fleet.run(60.0)
            self.assertEqual(statuses(self.fleet), {Status.ONLINE})

    def test_one_watcher_suffices_when_the_other_is_silent(self) -> None:
        self.fleet.checked = failing(BACKEND)
        self.fleet.isolated = {self.watchers[0]}
        self.fleet.run(25.0)
        seen = {
            node.status(BACKEND, self.fleet.now).status
            for node_id, node in self.fleet.nodes.items()
            if node_id != self.watchers[0]
        }
        self.assertEqual(seen, {Status.OFFLINE})

    def test_isolated_watcher_suspects_a_local_fault_and_causes_no_false_status(self) -> None:
        self.fleet.isolated = {self.watchers[0]}
        self.fleet.run(60.0)
        self.assertTrue(self.fleet.nodes[self.watchers[0]].snapshot().suspects_local_fault)
        for number in (BACKEND, BACKEND + 1, BACKEND + 8):
            self.assertEqual(statuses(self.fleet, number), {Status.ONLINE})
        self.fleet.isolated = set()
        self.fleet.run(20.0)
        self.assertFalse(self.fleet.nodes[self.watchers[0]].snapshot().suspects_local_fault)
        self.assertEqual(statuses(self.fleet), {Status.ONLINE})

    def test_other_nodes_take_over_when_both_watchers_are_lost(self) -> None:
        for watcher in self.watchers:
            self.fleet.remove(watcher)
        self.fleet.checked = failing(BACKEND)
        self.fleet.run(16.0)
        self.assertEqual(statuses(self.fleet), {Status.OFFLINE})

    def test_shedding_backend_gets_no_weight(self) -> None:
        self.fleet.checked = lambda node, number, now: BackendChecked(
            number, True, number == BACKEND, 0.5, 0.005
        )
        self.fleet.run(12.0)
        self.assertEqual(statuses(self.fleet), {Status.SHEDDING})
        view = self.fleet.nodes[NodeId("node-0")].status(BACKEND, self.fleet.now)
        self.assertEqual(view.weight_factor, 0.0)

    def test_joining_node_receives_every_status_and_starts_no_cold_start(self) -> None:
        self.fleet.checked = failing(BACKEND)
        self.fleet.run(20.0)
        joined = self.fleet.add(50)
        self.fleet.run(20.0)
        self.assertEqual(joined.status(BACKEND, self.fleet.now).status, Status.OFFLINE)
        self.assertEqual(joined.status(BACKEND + 1, self.fleet.now).weight_factor, 1.0)
        for number in range(BACKEND + 1, BACKEND + 7):
            self.assertEqual(joined.status(number, self.fleet.now).status, Status.ONLINE)
        for node in self.fleet.nodes.values():
            self.assertEqual(dict(joined.records()), dict(node.records()))
        self.assertEqual([number for number, _ in joined.records()], [BACKEND])

    def test_new_fleet_considers_all_backends_online_without_records(self) -> None:
        for number in range(BACKEND, BACKEND + 7):
            self.assertEqual(statuses(self.fleet, number), {Status.ONLINE})
        self.assertEqual({node.snapshot().records for node in self.fleet.nodes.values()}, {0})

    def test_nodes_that_never_reached_a_peer_report_unknown(self) -> None:
        fleet = Fleet(3, make_services(1, 3))
        fleet.isolated = set(fleet.nodes)
        fleet.run(60.0)
        self.assertEqual(statuses(fleet), {Status.UNKNOWN})

    def test_backend_down_from_the_start_is_offline_everywhere(self) -> None:
        fleet = Fleet(9, make_services(3, 7), seed=2)
        fleet.checked = failing(BACKEND)
        fleet.run(14.0)
        self.assertEqual(statuses(fleet), {Status.OFFLINE})

    def test_backend_created_later_starts_cold(self) -> None:
        self.fleet.update_services(make_services(3, 7) + make_services(1, 2, first_number=500))
        self.fleet.run(8.0)
        view = self.fleet.nodes[NodeId("node-3")].status(501, self.fleet.now)
        self.assertEqual(view.status, Status.ONLINE)
        self.assertLess(view.weight_factor, 0.4)

    def test_records_of_deleted_backends_are_removed(self) -> None:
        self.fleet.checked = failing(BACKEND, BACKEND + 16)
        self.fleet.run(14.0)
        self.assertEqual(self.fleet.nodes[NodeId("node-0")].snapshot().records, 2)
        self.fleet.update_services(make_services(2, 7))
        self.fleet.run(5.0)
        with self.assertRaises(UnknownBackendError):
            self.fleet.nodes[NodeId("node-0")].status(BACKEND + 16, self.fleet.now)
        for node in self.fleet.nodes.values():
            self.assertEqual([number for number, _ in node.records()], [BACKEND])

    def test_refusals_pause_a_backend_at_this_home_only(self) -> None:
        home = self.fleet.nodes[NodeId("node-0")]
        for _ in range(3):
            home.observe_refusal(BACKEND, self.fleet.now)
        home.observe_refusal(99_999, self.fleet.now)
        self.assertEqual(home.status(BACKEND, self.fleet.now).weight_factor, 0.0)
        self.assertEqual(home.status(BACKEND, self.fleet.now + 6.0).weight_factor, 1.0)
        other = self.fleet.nodes[NodeId("node-1")]
        self.assertEqual(other.status(BACKEND, self.fleet.now).weight_factor, 1.0)

    def test_load_report_contradicted_by_answer_times_is_ignored(self) -> None:
        self.fleet.checked = lambda node, number, now: BackendChecked(
            number, True, False, (5.0 if number == BACKEND else 0.5) + now / 1e6, 0.005
        )
        self.fleet.run(300.0)
        home = self.fleet.nodes[NodeId("node-0")]
        self.assertEqual(home.status(BACKEND, self.fleet.now).weight_factor, 0.25)
        for step in range(30):
            for number in range(BACKEND, BACKEND + 7):
                home.observe_answer_time(number, 0.1, self.fleet.now + step / 10)
        self.fleet.run(5.0)
        view = home.status(BACKEND, self.fleet.now)
        self.assertEqual((view.weight_factor, "contradicts" in view.reason), (1.0, True))


class RecordTest(unittest.TestCase):
    def test_records_are_ordered_by_epoch_then_by_first_watcher(self) -> None:
        def value(epoch: int, first: bool, status: Status) -> int:
            return StatusRecord(epoch, first, StatusReason.NONE, NEUTRAL_CLASS, status).encode()

        self.assertGreater(value(3, False, Status.ONLINE), value(2, True, Status.OFFLINE))
        self.assertGreater(value(2, True, Status.ONLINE), value(2, False, Status.OFFLINE))

    def test_malformed_messages_are_rejected_by_the_codec(self) -> None:
        good = message_to_list(StatusBatch([1, 2], True))
        self.assertEqual(message_from_list(good), StatusBatch([1, 2], True))
        for bad in (
            [68, [1], True],
            [68, ["a", 1], True],
            [67, b"short"],
            [69, [128]],
            [65, 1, 9, True],
        ):
            with self.subTest(bad=bad), self.assertRaises(MalformedDatagramError):
                message_from_list(bad)

    def test_records_of_unknown_backends_are_counted_but_not_stored(self) -> None:
        node = BackendWatchers(NodeId("n"), random.Random(1), 0.0)
        node.update_backends(make_services(1, 2, ServicePolicy()), 0.0)
        node.handle_message(NodeId("m"), StatusBatch([7, 1 << 20, BACKEND, -5], True), 0.0)
        self.assertEqual((node.snapshot().unknown_records, node.snapshot().records), (1, 0))


if __name__ == "__main__":
    unittest.main()
