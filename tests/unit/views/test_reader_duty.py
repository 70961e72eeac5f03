"""Choosing the few nodes that read the store, and replacing those that fail."""

import random
import unittest

from beamloom.replication.reader_duty import (
    MAXIMUM_JOIN_SECONDS,
    MAXIMUM_START_DELAY_SECONDS,
    READER_DISCOVERY_SECONDS,
    TARGET_READERS,
    ReaderRole,
    reader_id_of,
)
from beamloom.replication.reading_times import (
    CALL_TIMEOUT_SECONDS,
    MAXIMUM_PAUSE_SECONDS,
    STALE_SPREAD_SECONDS,
    store_call_times,
)

STEP_SECONDS = 0.25
DELAY_SECONDS = 0.01


class Fleet:
    """Nodes that learn of every live reader at each step."""

    def __init__(self, count: int, seed: int) -> None:
        rng = random.Random(seed)
        self.now = 0.0
        self.roles = {
            f"{number:04x}": ReaderRole(f"{number:04x}", rng, store_call_times())
            for number in range(count)
        }

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for role in self.roles.values():
                role.advance(self.now)
            for name in self.readers:
                self.roles[name].note_answer(self.now)
                for role in self.roles.values():
                    role.note_reader(name, self.now - DELAY_SECONDS)

    @property
    def readers(self) -> list[str]:
        return [name for name, role in self.roles.items() if role.reading]


class ReaderRoleTest(unittest.TestCase):
    def test_times_keep_their_bounds(self) -> None:
        for bound, contact in ((3.0, 4.0), (2.5, 4.0), (2.0, 3.0), (10.0, 20.0), (1.5, 2.5)):
            with self.subTest(bound=bound, contact=contact):
                times = store_call_times(bound, contact)
                self.assertGreater(times.silence_seconds, times.wait_seconds)
                self.assertGreater(times.stale_seconds, times.wait_seconds)
                latest = times.stale_seconds + STALE_SPREAD_SECONDS + CALL_TIMEOUT_SECONDS
                self.assertLessEqual(latest, bound + 1e-9)
                hanging = times.wait_seconds + 2 * CALL_TIMEOUT_SECONDS + MAXIMUM_PAUSE_SECONDS
                self.assertLessEqual(hanging, contact + 1e-9)

    def test_a_fleet_converges_on_the_target(self) -> None:
        for count in (2, 3, 10, 100):
            with self.subTest(nodes=count):
                fleet = Fleet(count, seed=count)
                fleet.run(5.0)
                self.assertEqual(len(fleet.readers), TARGET_READERS)

    def test_a_single_node_reads(self) -> None:
        fleet = Fleet(1, seed=1)
        fleet.run(READER_DISCOVERY_SECONDS + MAXIMUM_START_DELAY_SECONDS + 2 * STEP_SECONDS)
        self.assertEqual(len(fleet.readers), 1)

    def test_lost_readers_are_replaced(self) -> None:
        fleet = Fleet(10, seed=3)
        fleet.run(5.0)
        for name in fleet.readers:
            del fleet.roles[name]
        fleet.run(
            store_call_times().silence_seconds + MAXIMUM_START_DELAY_SECONDS + 3 * STEP_SECONDS
        )
        self.assertGreaterEqual(len(fleet.readers), 1)
        fleet.run(5.0)
        self.assertEqual(len(fleet.readers), TARGET_READERS)

    def test_extra_readers_step_down(self) -> None:
        fleet = Fleet(10, seed=4)
        for role in fleet.roles.values():
            role.reading = True
        fleet.run(3.0)
        self.assertEqual(len(fleet.readers), TARGET_READERS)

    def test_a_node_that_called_the_store_once_is_no_reader(self) -> None:
        """Such a node must not keep others from becoming readers."""
        role = ReaderRole("5", random.Random(1), store_call_times())
        role.note_answer(10.0)
        self.assertEqual(role.recent(10.1), {})

    def test_an_outdated_report_does_not_age_a_reader(self) -> None:
        role = ReaderRole("5", random.Random(1), store_call_times())
        role.note_reader("1", 10.0)
        role.note_reader("1", 9.0)
        self.assertEqual(role.recent(10.5), {"1": 10.0})

    def test_a_starting_node_listens_before_it_reads(self) -> None:
        """Starting nodes must not become readers briefly in a fleet that has readers."""
        fleet = Fleet(10, seed=5)
        fleet.run(5.0)
        starting = ReaderRole("0000x", random.Random(2), store_call_times())
        moment = fleet.now
        while fleet.now < moment + READER_DISCOVERY_SECONDS - STEP_SECONDS:
            fleet.run(STEP_SECONDS)
            self.assertFalse(starting.advance(fleet.now))

    def test_a_node_that_has_not_joined_waits_before_it_reads(self) -> None:
        """The listening time must not pass before a node can receive digests."""
        role = ReaderRole("5", random.Random(3), store_call_times())
        now = 1.0
        while now < 1.0 + MAXIMUM_JOIN_SECONDS:
            self.assertFalse(role.advance(now, joined=False))
            now += STEP_SECONDS
        while not role.reading:
            role.advance(now, joined=False)
            now += STEP_SECONDS
        latest = MAXIMUM_JOIN_SECONDS + READER_DISCOVERY_SECONDS + MAXIMUM_START_DELAY_SECONDS
        self.assertLess(now, 1.0 + latest + 3 * STEP_SECONDS)

    def test_a_former_reader_does_not_count_itself(self) -> None:
        times = store_call_times()
        role = ReaderRole("5", random.Random(1), times)
        role.reading = True
        role.note_answer(1.0)
        role.note_reader("1", -1.0)
        role.note_reader("2", 1.0)
        role.advance(1.1)
        self.assertFalse(role.reading)
        now = 1.1
        while not role.reading:
            now += STEP_SECONDS
            role.note_reader("2", now)
            role.advance(now)
        self.assertLess(now, 1.0 + times.silence_seconds)

    def test_note_reader_is_true_for_new_readers_with_lowest_ids(self) -> None:
        role = ReaderRole("5", random.Random(1), store_call_times())
        results = [role.note_reader(name, 1.0) for name in ("7", "7", "3", "9", "1")]
        self.assertEqual(results, [True, False, True, False, True])


class RankTest(unittest.TestCase):
    def test_machines_with_more_capacity_have_lower_ids(self) -> None:
        large = reader_id_of(2.15, 200.0, "ffff")
        middle = reader_id_of(0.5, 100.0, "0000")
        slow_link = reader_id_of(2.15, 5.0, "0000")
        slow_processor = reader_id_of(0.05, 1000.0, "0000")
        self.assertLess(large, middle)
        self.assertLess(middle, slow_link)
        self.assertEqual(slow_link, slow_processor)
        self.assertEqual(len(reader_id_of(1e9, 1e9, "ffff")), len(slow_link))

    def test_machines_with_more_capacity_become_readers(self) -> None:
        """The weakest machines must not become readers beside stronger ones."""
        fleet = Fleet(30, seed=6)
        rng = random.Random(7)
        names = [reader_id_of(0.07, 10.0, f"{number:04x}") for number in range(26)]
        names += [reader_id_of(2.0, 200.0, f"{number:04x}") for number in range(4)]
        fleet.roles = {name: ReaderRole(name, rng, store_call_times()) for name in names}
        fleet.run(10.0)
        self.assertEqual({name[0] for name in fleet.readers}, {names[-1][0]})
        for name in fleet.readers:
            del fleet.roles[name]
        fleet.run(10.0)
        self.assertEqual({name[0] for name in fleet.readers}, {names[-1][0]})
