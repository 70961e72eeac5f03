"""A fleet agrees on one configuration despite loss, restarts, partitions and store failures."""

import unittest
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from beamloom.model.machines import NodeId
from beamloom.protocol.configuration_messages import SnapshotPartSent
from beamloom.protocol.messages import Message
from tests.replication_fleet import Fleet


def backend(number: int) -> dict[str, Any]:
    return {"address": f"10.0.0.{number % 250}:80", "weight": number, "operation": f"w{number}"}


def filled(fleet: Fleet, count: int = 30) -> Fleet:
    for number in range(count):
        fleet.store.write(f"backend/t/s{number % 3}/b{number % 7}", backend(number))
    return fleet


class FleetCase(unittest.TestCase):
    def settle(self, fleet: Fleet, seconds: float = 60.0) -> None:
        revision = max(
            (item.revision for item in fleet.store.history if item.key[:6] != "lease/"), default=0
        )
        self.assertTrue(
            fleet.run(seconds, lambda: fleet.level(revision)),
            "the nodes did not reach the revision in time",
        )
        fleet.check_states()

    def assert_same_histories(self, fleet: Fleet) -> None:
        replicas = [node.replica for node in fleet.nodes.values()]
        for replica in replicas:
            self.assertEqual(replica.backend_histories, replicas[0].backend_histories)


class ReplicationTest(FleetCase):
    def test_empty_fleet_starts_from_the_store_alone(self) -> None:
        fleet = filled(Fleet(12))
        fleet.store.take_down()
        fleet.run(20.0)
        self.assertFalse(any(node.replica.ready for node in fleet.nodes.values()))
        fleet.store.down = False
        self.settle(fleet)
        self.assertLessEqual(len(fleet.readers()), 3)

    def test_ten_percent_loss(self) -> None:
        fleet = filled(Fleet(40, loss=0.1, delays=(0.0015, 0.04)))
        self.settle(fleet)
        for number in range(60):
            fleet.store.write(f"backend/t/s{number % 3}/b{number % 7}", backend(number))
            fleet.run(0.5)
        self.settle(fleet, 4.0)
        self.assert_same_histories(fleet)

    def test_a_burst_beyond_the_budget_is_delayed_and_complete(self) -> None:
        fleet = filled(Fleet(40, loss=0.1, delays=(0.0015, 0.04)))
        self.settle(fleet)
        for number in range(60):
            fleet.store.write(f"backend/t/s{number % 3}/b{number % 7}", backend(number))
            fleet.run(0.05)
        self.settle(fleet, 30.0)
        self.assert_same_histories(fleet)

    def test_restart_of_each_node_one_by_one_keeps_revision_and_histories(self) -> None:
        fleet = filled(Fleet(8, lease_duration=3.0))
        self.settle(fleet)
        for number, name in enumerate(list(fleet.nodes)):
            node = fleet.restart(name)
            before = fleet.store.write("backend/t/s1/b1", backend(number))
            fleet.run(30.0, lambda node=node: node.replica.ready)
            self.assertGreaterEqual(node.replica.applied_revision + 1, before)
            self.settle(fleet)
        self.assert_same_histories(fleet)

    def test_store_down_and_back(self) -> None:
        fleet = filled(Fleet(10, lease_duration=3.0))
        self.settle(fleet)
        fleet.store.take_down()
        requests = fleet.store.requests
        fleet.run(600.0)
        self.assertEqual(fleet.readers(), [])
        self.assertLess(fleet.store.requests - requests, 600 * 3)
        fleet.store.down = False
        fleet.store.write("tenant/t", {})
        self.settle(fleet)

    def test_watch_too_old_lists_again(self) -> None:
        fleet = filled(Fleet(10, lease_duration=3.0))
        self.settle(fleet)
        fleet.store.take_down()
        fleet.run(10.0)
        fleet.store.write("backend/t/s1/b1", None)
        fleet.store.write("backend/t/s1/b2", backend(99))
        fleet.store.compact()
        fleet.store.down = False
        self.settle(fleet)
        self.assertGreater(sum(n.election.snapshot().listings for n in fleet.nodes.values()), 0)
        self.assert_same_histories(fleet)

    def test_a_healed_partition_converges_to_the_newer_state(self) -> None:
        fleet = filled(Fleet(20))
        self.settle(fleet)
        names = list(fleet.nodes)
        fleet.cut = set(names[:10])
        fleet.store_cut = set(names[:10])
        fleet.run(40.0)
        for number in range(40):
            fleet.store.write(f"backend/t/s{number % 3}/b9", backend(number))
        fleet.run(40.0)
        fleet.check_states()
        fleet.cut, fleet.store_cut = set(), set()
        self.settle(fleet, 5.0)
        self.assert_same_histories(fleet)

    def test_tampered_snapshot_parts_are_rejected(self) -> None:
        fleet = filled(Fleet(20))
        for number in range(1100):
            fleet.store.write(f"tenant/t{number}", {"operation": f"{number * 7919:x}"})
        tampering_node = next(iter(fleet.nodes))

        def tamper(sender: NodeId, message: Message) -> Message:
            if sender != tampering_node or not isinstance(message, SnapshotPartSent):
                return message
            data = bytes(len(message.data))
            return SnapshotPartSent(message.revision, message.digest, message.index, data)

        fleet.tamper = tamper
        self.settle(fleet, 300.0)
        followers = [
            name
            for name, node in fleet.nodes.items()
            if all(lease.rank is None for lease in node.election.snapshot().leases)
        ]
        joiner = fleet.restart(followers[0])
        self.settle(fleet, 300.0)
        self.assertGreater(joiner.replica.snapshot().snapshots_loaded, 0)
        corrupt = sum(n.replica.snapshot().corrupt_snapshots for n in fleet.nodes.values())
        self.assertGreater(corrupt, 0)

    def test_a_fleet_with_an_empty_store_elects_readers(self) -> None:
        fleet = Fleet(6)
        fleet.run(20.0)
        self.assertTrue(all(node.replica.ready for node in fleet.nodes.values()))
        fleet.store.write("tenant/first", {})
        self.settle(fleet, 5.0)

    def test_restarted_readers_cause_no_snapshot_transfers(self) -> None:
        fleet = filled(Fleet(8))
        self.settle(fleet)
        fleet.run(10.0)
        for name in fleet.readers():
            others = [node for other, node in fleet.nodes.items() if other != name]
            before = [node.replica.snapshot().snapshots_loaded for node in others]
            fleet.restart(name)
            self.settle(fleet)
            fleet.run(30.0)
            after = [node.replica.snapshot().snapshots_loaded for node in others]
            self.assertEqual(after, before)

    def test_a_change_too_large_to_push_arrives_despite_an_older_snapshot(self) -> None:
        fleet = filled(Fleet(6))
        for number in range(1100):
            fleet.store.write(f"tenant/t{number}", {})
        self.settle(fleet, 120.0)
        for number in range(300):
            fleet.store.write(f"tenant/t{number}", {})
            fleet.run(0.1)
        self.settle(fleet)
        fleet.restart(list(fleet.nodes)[5])
        self.settle(fleet)
        value = {"values": {f"name-{number}": "x" * 50 for number in range(40)}}
        fleet.store.write("settings/global", value)
        fleet.store.write("tenant/after", {})
        self.settle(fleet, 60.0)

    def test_control_traffic_stays_in_budget_while_nodes_join(self) -> None:
        fleet = filled(Fleet(12), 400)
        self.settle(fleet)
        for number in range(600):
            fleet.store.write(f"tenant/t{number}", {"operation": f"{number * 7919:x}"})
            fleet.run(0.02)
        for name in list(fleet.nodes)[:4]:
            fleet.restart(name)
        self.settle(fleet, 120.0)
        for sent in fleet.sent.values():
            for start, _ in sent[::10]:
                window = sum(size for moment, size in sent if start <= moment <= start + 10)
                self.assertLessEqual(window, 40_960)


class ReaderElectionTest(FleetCase):
    def test_few_nodes_access_the_store(self) -> None:
        fleet = filled(Fleet(80))
        fleet.run(120.0)
        self.assertEqual(len(fleet.readers()), 3)
        self.assertLessEqual(len(fleet.store.readers_seen), 9)

    def test_paused_readers_are_replaced_and_stop_reading_when_resumed(self) -> None:
        fleet = filled(Fleet(12, lease_duration=3.0))
        self.settle(fleet)
        fleet.run(10.0)
        paused = fleet.readers()
        for name in paused:
            fleet.pause(name)
        fleet.run(30.0)
        self.assertGreater(len(set(fleet.readers()) - set(paused)), 0)
        revision = fleet.store.write("tenant/t", {})
        fleet.run(5.0)
        others = [node for name, node in fleet.nodes.items() if name not in paused]
        self.assertTrue(all(node.replica.applied_revision >= revision for node in others))
        for name in paused:
            fleet.resume(name)
        self.assertFalse(set(fleet.readers()) & set(paused))
        self.settle(fleet, 5.0)

    def test_lost_answers_to_lease_writes(self) -> None:
        fleet = filled(Fleet(12, lease_duration=3.0))
        fleet.store.lose_write_answers = 20
        self.settle(fleet)
        fleet.run(60.0)
        self.assertEqual(len(fleet.readers()), 3)


class FleetStatusTest(FleetCase):
    def test_silent_member_counts_as_not_in_force(self) -> None:
        fleet = filled(Fleet(60, loss=0.1))
        self.settle(fleet)
        names = list(fleet.nodes)
        silent = next(name for name in names[1:] if name not in fleet.readers())
        fleet.cut = {silent}
        revision = fleet.store.write("tenant/t", {})
        fleet.run(4.0)
        requester = fleet.nodes[names[0]]
        fleet.do(requester, lambda: requester.status.ask(revision, fleet.now))
        fleet.run(2.0)
        report = requester.status.in_force(revision)
        self.assertEqual((report.count_in_force, report.not_in_force), (59, (silent,)))

    def test_reported_nodes_have_the_revision(self) -> None:
        fleet = filled(Fleet(60, loss=0.3))
        self.settle(fleet)
        revision = fleet.store.write("tenant/t", {})
        requester = next(iter(fleet.nodes.values()))
        fleet.do(requester, lambda: requester.status.ask(revision, fleet.now))
        for _ in range(200):
            fleet.run(0.02)
            reported = set(fleet.nodes) - set(requester.status.in_force(revision).not_in_force)
            actual = {n for n, x in fleet.nodes.items() if x.replica.applied_revision >= revision}
            self.assertLessEqual(reported, actual)


class ReplicationMachine(RuleBasedStateMachine):
    """Any faults in any order: revisions never fall, and each state is the store's own."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = filled(Fleet(5, zones=2, loss=0.1, lease_duration=2.0), 8)
        self.names = list(self.fleet.nodes)
        self.count = 0

    @rule(key=st.integers(0, 9), delete=st.booleans(), count=st.integers(1, 5))
    def write(self, key: int, delete: bool, count: int) -> None:
        for _ in range(count):
            self.count += 1
            value = None if delete else backend(self.count)
            self.fleet.store.write(f"backend/t/s{key % 2}/b{key}", value)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 8.0]))
    def advance(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(number=st.integers(0, 4))
    def restart(self, number: int) -> None:
        self.fleet.restart(self.names[number])

    @rule(number=st.integers(0, 4))
    def pause_or_resume(self, number: int) -> None:
        name = self.names[number]
        if self.fleet.nodes[name].paused:
            self.fleet.resume(name)
        else:
            self.fleet.pause(name)

    @rule(cut=st.sets(st.integers(0, 4), max_size=3), store=st.booleans())
    def partition(self, cut: set[int], store: bool) -> None:
        self.fleet.cut = {self.names[number] for number in cut}
        self.fleet.store_cut = self.fleet.cut if store else set()

    @rule(kind=st.sampled_from(["down", "up", "compact", "lost"]))
    def disturb_store(self, kind: str) -> None:
        if kind == "down":
            self.fleet.store.take_down()
        elif kind == "compact":
            self.fleet.store.compact()
        elif kind == "lost":
            self.fleet.store.lose_write_answers += 2
        else:
            self.fleet.store.down = False

    @invariant()
    def states_equal_the_store(self) -> None:
        self.fleet.check_states()

    def teardown(self) -> None:
        fleet = self.fleet
        fleet.cut, fleet.store_cut, fleet.store.down, fleet.loss = set(), set(), False, 0.0
        for name in self.names:
            fleet.resume(name)
        fleet.store.write("tenant/last", {})
        last = fleet.store.revision
        assert fleet.run(120.0, lambda: fleet.level(last)), "the fleet does not heal"
        fleet.check_states()


ReplicationMachineTest = ReplicationMachine.TestCase
ReplicationMachineTest.settings = settings(
    derandomize=True, max_examples=25, stateful_step_count=20, deadline=None
)
