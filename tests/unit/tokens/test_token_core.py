"""What a node does by what it knows, and by how sure it is of it."""

import random
import unittest

from beamloom.node.backend_judge import SUSPECT_BY_PEERS_SECONDS
from beamloom.node.token_core import (
    LATE_SECONDS,
    LONGEST_DOUBT_SECONDS,
    LONGEST_STALL_SECONDS,
    TokenCore,
)
from beamloom.protocol.view_messages import ViewDigest
from beamloom.replication.object_watch import ChangeBatch, ListPage, ListRequest
from beamloom.replication.reading_times import reading_times
from beamloom.replication.store_view import NamedRecord
from beamloom.routing.tokens.packets import (
    DropPacket,
    DropReason,
    ForwardPacket,
    RefusalReason,
    ResetFlow,
    RouterCommand,
)
from beamloom.routing.tokens.records import BackendRecord
from beamloom.simulation.tokens.quiet_observer import QuietObserver
from tests.unit.tokens.builders import (
    KEY,
    OTHER_DESTINATION,
    ZONE,
    backend,
    configuration,
    new_core,
    opening,
)

START = 10.0
SOME = range(7, 13)


class StallTest(unittest.TestCase):
    """Found by a functional test that failed once: timers may run before the packets are read."""

    def setUp(self) -> None:
        self.core = new_core()
        self.core.advance(START)

    def test_a_stall_is_taken_once_by_packets_that_are_read_first(self) -> None:
        woken = START + LONGEST_STALL_SECONDS + 0.5
        self.assertTrue(self.core.take_stall(woken))
        self.core.advance(woken)
        self.assertFalse(self.core.take_stall(woken))

    def test_a_stall_is_taken_by_packets_that_are_read_after_a_timer(self) -> None:
        woken = START + LONGEST_STALL_SECONDS + 0.5
        self.core.advance(woken)
        self.assertTrue(self.core.take_stall(woken))
        self.assertFalse(self.core.take_stall(woken))

    def test_packets_that_come_later_have_not_waited(self) -> None:
        woken = START + LONGEST_STALL_SECONDS + 0.5
        self.core.advance(woken)
        self.core.advance(woken + 0.25)
        self.assertFalse(self.core.take_stall(woken + 0.3))

    def test_a_node_that_runs_has_not_stalled(self) -> None:
        self.core.advance(START + 0.25)
        self.assertFalse(self.core.take_stall(START + 0.3))


class CoreCase(unittest.TestCase):
    def setUp(self) -> None:
        self.core = new_core()
        self.core.use_key(KEY)
        self.list_backends(backend(1, "other"))
        named = NamedRecord("main", 2, configuration(1, "tracker"))
        page = ListPage((named,), False, 9, "main")
        changes = self.core.configuration_watch.take_page(page, asked_at=START)
        self.core.take_configuration(changes, START)

    def list_backends(self, *records: BackendRecord) -> None:
        named = tuple(NamedRecord(record.name, 3, record) for record in records)
        page = ListPage(named, False, 9, named[-1].name)
        changes = self.core.backend_watch.take_page(page, asked_at=START)
        self.core.take_backends(changes, START)

    def confirm(self, now: float) -> None:
        self.core.backend_watch.take_changes(ChangeBatch((), 9), now)
        self.core.take_backends((), now)
        self.core.configuration_watch.take_changes(ChangeBatch((), 9), now)
        self.core.take_configuration((), now)

    def open_flow(self, now: float, destination: bytes | None = None) -> RouterCommand:
        packet = opening(1) if destination is None else opening(1, destination=destination)
        return self.core.router.handle(packet, now)


class StartTest(unittest.TestCase):
    def test_backends_are_never_read_from_a_stale_list(self) -> None:
        """Found by comparing days: after an outage such a list holds a few backends only."""
        times, observer = reading_times(), QuietObserver()
        core = TokenCore(ZONE, "5-node", "main", observer, chance=random.Random(1), times=times)
        self.assertEqual(core.backend_watch.next_request(), ListRequest(""))
        self.assertEqual(core.configuration_watch.next_request(), ListRequest("", stale=True))


class RefusalsTest(CoreCase):
    def assert_dropped_in_doubt(self, command: RouterCommand) -> None:
        assert isinstance(command, DropPacket), command
        self.assertIs(command.reason, DropReason.UNCONFIRMED_VIEW)

    def test_by_a_stale_list_alone_nothing_is_refused(self) -> None:
        """Found on a day that ended with the store down and all machines without power."""
        self.assertTrue(self.core.complete)
        self.assert_dropped_in_doubt(self.open_flow(START))
        self.assert_dropped_in_doubt(self.open_flow(START, OTHER_DESTINATION))

    def test_by_confirmed_views_refusals_go_out_at_once(self) -> None:
        self.confirm(START + 0.2)
        command = self.open_flow(START + 0.2)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_BACKEND)
        command = self.open_flow(START + 0.2, OTHER_DESTINATION)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_ROUTE)

    def test_a_doubt_does_not_last(self) -> None:
        self.core.advance(START + 0.1)
        self.assert_dropped_in_doubt(self.open_flow(START + 0.2))
        self.core.advance(START + 0.1 + LONGEST_DOUBT_SECONDS)
        self.assertIsInstance(self.open_flow(START + 2.2), ResetFlow)

    def test_what_is_known_is_served_meanwhile(self) -> None:
        self.list_backends(backend(7))
        self.assertIsInstance(self.open_flow(START), ForwardPacket)

    def test_a_node_that_stood_still_doubts_again(self) -> None:
        self.confirm(START + 0.2)
        self.core.advance(START + 0.3)
        self.core.advance(START + 8.0)
        self.assert_dropped_in_doubt(self.open_flow(START + 8.0))


class SilentBackendsTest(CoreCase):
    def setUp(self) -> None:
        super().setUp()
        self.client = 0
        self.list_backends(*(backend(number) for number in SOME))
        self.confirm(START + 0.1)
        self.core.join_peers("10.0.0.1", ())

    def digest(self, *reporters: str) -> ViewDigest:
        name = backend(7).name
        return ViewDigest([], [], [], "", [(name, reporter, 0) for reporter in reporters])

    def identities(self, now: float) -> set[int]:
        found = set()
        self.client += 10
        for client in range(self.client, self.client + 8):
            command = self.core.router.handle(opening(client), now)
            assert isinstance(command, ForwardPacket)
            found.add(command.identity)
        return found

    def test_a_backend_that_two_other_nodes_found_silent_is_passed_over(self) -> None:
        self.core.handle_message("10.0.0.2", self.digest("a", "b"), START + 1.0)
        self.assertEqual(self.identities(START + 1.1), set(SOME) - {7})
        later = START + 1.0 + SUSPECT_BY_PEERS_SECONDS
        self.assertIn(7, self.identities(later + 0.1))

    def test_one_node_is_not_enough(self) -> None:
        self.core.handle_message("10.0.0.2", self.digest("a"), START + 1.0)
        self.assertEqual(self.identities(START + 1.1), set(SOME))

    def test_what_has_answered_here_since_is_not_passed_over(self) -> None:
        record = self.core.router.backends.of_service("tracker")[0]
        record.answered_at = START + 2.0
        self.core.handle_message("10.0.0.2", self.digest("a", "b"), START + 1.0)
        self.assertEqual(self.identities(START + 1.1), set(SOME))

    def test_never_more_than_a_third_of_a_service(self) -> None:
        """Found on a grown site: reports of slow nodes left a few backends to take all flows."""
        entries = [(backend(number).name, who, 0) for number in SOME for who in "ab"]
        self.core.handle_message("10.0.0.2", ViewDigest([], [], [], "", entries), START + 1.0)
        self.assertEqual(len(self.identities(START + 1.1)), 4)

    def test_a_node_that_lags_blames_nobody(self) -> None:
        self.core.handle_message("10.0.0.2", ViewDigest([], [], []), START + 1.0)
        self.core.advance(START + 1.0)
        self.core.router.handle(opening(1), START + 1.0)
        self.core.advance(START + 1.0 + LATE_SECONDS + 0.2)
        told = [send.message for send in self.core.take_sends()]
        self.assertEqual([m.silent for m in told if isinstance(m, ViewDigest) and m.silent], [])

    def test_an_opening_without_an_answer_is_told_to_others(self) -> None:
        self.core.handle_message("10.0.0.2", ViewDigest([], [], []), START + 1.0)
        self.core.take_sends()
        self.core.advance(START + 1.0)
        command = self.core.router.handle(opening(1), START + 1.0)
        assert isinstance(command, ForwardPacket)
        self.core.advance(START + 1.25)
        told = [send.message for send in self.core.take_sends()]
        digests = [message for message in told if isinstance(message, ViewDigest)]
        silent = [entry[0] for digest in digests for entry in digest.silent]
        self.assertIn(f"i-{command.identity:08x}", silent)


if __name__ == "__main__":
    unittest.main()
