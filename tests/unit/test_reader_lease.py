"""A lease is held by one node at a time, also after lost answers and pauses."""

import itertools
import random
import unittest

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.protocol.commands import Command, ReadObject, StopWatch, WriteObject
from beamloom.protocol.events import (
    StoreChanged,
    StoreConflict,
    StoredObject,
    StoreFailed,
    StoreObjectRead,
    StoreWritten,
)
from beamloom.replication.configuration_replica import LISTING_DELAY_SECONDS, ConfigurationReplica
from beamloom.replication.reader_candidates import candidate_rank
from beamloom.replication.reader_election import ReaderElection
from beamloom.replication.reader_lease import HOLDING, ReaderLease

DURATION = 9.0
NODE = NodeId("node")


def make_lease(rank: int = 0) -> ReaderLease:
    lease = ReaderLease(0, NODE, DURATION, random.Random(1), itertools.count(1))
    lease.rank = rank
    return lease


def stored(revision: int, holder: str = "other", operation: str = "op") -> StoredObject:
    value = {"holder": holder, "operation": operation}
    return StoredObject("lease/reader/0", value, revision, 1)


def request(commands: list[Command], kind: type[Command]) -> Command:
    return next(command for command in commands if isinstance(command, kind))


def due(lease: ReaderLease, now: float) -> tuple[list[Command], float]:
    """Poll at the lease's timers until it sends a request to the store; return it and its time."""
    for _ in range(20):
        now = max(now, lease.next_timer() or now)
        commands = [
            item for item in lease.poll(now, True) if isinstance(item, ReadObject | WriteObject)
        ]
        if commands:
            return commands, now
    raise AssertionError("the lease sent no request")


def member(number: int, state: MemberState = MemberState.ALIVE) -> Member:
    name = NodeId(f"node-{number}") if number else NODE
    zone = Zone(f"zone-{number % 5}", "a" if number % 5 < 3 else "b")
    address = SocketAddress("127.0.0.1", 1)
    return Member(Machine(name, zone, address, address, address), state, 0)


def candidates(number: int, members: list[Member]) -> list[Member]:
    ranks = {candidate_rank(number, item.machine.node_id, members): item for item in members}
    return [ranks[rank] for rank in range(3) if rank in ranks]


class CandidatesTest(unittest.TestCase):
    def test_first_candidates_are_in_different_zones_of_both_regions(self) -> None:
        members = [member(number) for number in range(60)]
        zones = [candidates(number, members)[0].machine.zone for number in range(3)]
        self.assertEqual(len(set(zones)), 3)
        self.assertEqual({zone.region for zone in zones}, {"a", "b"})

    def test_next_zone_replaces_a_lost_one(self) -> None:
        members = [member(number) for number in range(60)]
        lost = candidates(0, members)[0].machine.zone
        left = [item for item in members if item.machine.zone != lost]
        self.assertEqual(len(candidates(0, left)), 3)

    def test_joining_nodes_are_candidates_only_if_no_node_is_alive(self) -> None:
        joining = [member(number, MemberState.JOINING) for number in range(60)]
        self.assertEqual(len(candidates(0, joining)), 3)
        self.assertEqual(candidates(0, [*joining, member(60)]), [member(60)])


class ReaderLeaseTest(unittest.TestCase):
    def acquire(self) -> tuple[ReaderLease, float]:
        lease = make_lease()
        (read,), now = due(lease, 0.0)
        lease.handle(StoreObjectRead(read.request_id, None), now)
        (write,), now = due(lease, now)
        self.assertEqual(write.expected_revision, 0)
        lease.handle(StoreWritten(write.request_id, 5), now)
        self.assertTrue(lease.holding)
        return lease, now

    def test_lease_that_is_not_renewed_is_acquired_only_after_its_duration(self) -> None:
        lease, now, first = make_lease(), 0.0, None
        while True:
            (command,), now = due(lease, now)
            if isinstance(command, WriteObject):
                break
            lease.handle(StoreObjectRead(command.request_id, stored(5)), now)
            first = now if first is None else first
        self.assertGreater(now - (first or 0.0), DURATION)
        self.assertEqual(command.expected_revision, 5)

    def test_renewed_lease_is_not_acquired(self) -> None:
        lease, now = make_lease(), 0.0
        for revision in range(5, 40):
            (command,), now = due(lease, now)
            self.assertIsInstance(command, ReadObject)
            lease.handle(StoreObjectRead(command.request_id, stored(revision)), now)

    def test_lost_answer_of_the_write_is_resolved_by_reading_back(self) -> None:
        for took_effect in (True, False):
            lease = make_lease()
            (read,), now = due(lease, 0.0)
            lease.handle(StoreObjectRead(read.request_id, None), now)
            (write,), sent_at = due(lease, now)
            lease.handle(StoreFailed(write.request_id, "lost"), sent_at + 1)
            (read,), now = due(lease, sent_at + 1)
            self.assertIsInstance(read, ReadObject)
            found = stored(7, "node", write.value["operation"]) if took_effect else None
            lease.handle(StoreObjectRead(read.request_id, found), now)
            self.assertEqual(lease.holding, took_effect)
            if took_effect:
                self.assertTrue(lease.check_expiry(sent_at + DURATION))

    def test_candidate_that_loses_a_race_does_not_hold_the_lease(self) -> None:
        lease = make_lease()
        (read,), now = due(lease, 0.0)
        lease.handle(StoreObjectRead(read.request_id, None), now)
        (write,), now = due(lease, now)
        lease.handle(StoreConflict(write.request_id, stored(5)), now)
        self.assertEqual(lease.state, "candidate")

    def test_holder_whose_renewals_fail_lapses_by_its_own_clock(self) -> None:
        lease, acquired_at = self.acquire()
        now = acquired_at
        while lease.state == HOLDING:
            self.assertLess(now, acquired_at + DURATION)
            now = lease.next_timer() or now
            for command in lease.poll(now, True):
                if isinstance(command, ReadObject | WriteObject):
                    lease.handle(StoreFailed(command.request_id, "down"), now)
        self.assertAlmostEqual(now, acquired_at + DURATION)


class PausedReaderTest(unittest.TestCase):
    def test_paused_reader_stops_before_it_handles_a_late_watch_answer(self) -> None:
        replica = ConfigurationReplica(NODE, random.Random(1), 0.0)
        replica.accept_listing(3, [], 0.0)
        replica.poll(LISTING_DELAY_SECONDS)
        ids = itertools.count(1)
        election = ReaderElection(
            NODE, replica, random.Random(1), ids, reader_count=1, lease_duration=DURATION
        )
        election.update_members([member(0)], 0.0)
        read = request(election.poll(0.0), ReadObject)
        election.handle(StoreObjectRead(read.request_id, None), 0.0)
        write = request(election.poll(0.0), WriteObject)
        commands = election.handle(StoreWritten(write.request_id, 4), 0.0)
        watch = commands[-1].request_id
        change = StoredObject("tenant/t", {}, 6, 6)
        after = election.handle(StoreChanged(watch, 6, (change,)), DURATION + 60.0)
        self.assertIsInstance(after[0], StopWatch)
        self.assertFalse(election.is_reader)
        self.assertEqual(replica.applied_revision, 3)
