"""The decision core of a token node: stalls, refusals by unconfirmed views, silent backends."""

import random
import unittest
from collections.abc import Callable

from beamloom.node.backend_failure_handler import PEER_SUSPICION_SECONDS
from beamloom.node.record_orders import MAXIMUM_MISSED_HEARTBEATS
from beamloom.node.token_core import (
    CONFIRMATION_TIMEOUT_SECONDS,
    LATE_SECONDS,
    STALL_THRESHOLD_SECONDS,
    TokenCore,
)
from beamloom.protocol.view_messages import ViewDigest
from beamloom.replication.object_watch import ChangeBatch, ListPage, ListRequest
from beamloom.replication.stop_turns import StopState
from beamloom.replication.store_call_times import store_call_times
from beamloom.replication.store_view import NamedRecord, ObjectChange
from beamloom.routing.tokens.held_copies import ANSWER_SECONDS
from beamloom.routing.tokens.packets import (
    ClientPacket,
    DropPacket,
    DropReason,
    ForwardPacket,
    HoldPacket,
    RefusalReason,
    ResetFlow,
    RouterCommand,
)
from beamloom.routing.tokens.placement import PlacementSettings
from beamloom.routing.tokens.records import BackendRecord
from beamloom.settings.mechanisms import ALL_MECHANISMS
from beamloom.settings.token_node import DEFAULT_HEARTBEAT_SECONDS
from beamloom.simulation.tokens.quiet_observer import QuietObserver
from tests.unit.tokens.builders import (
    KEY,
    OTHER_DESTINATION,
    ZONE,
    backend,
    configuration,
    make_core,
    new_core,
    opening,
)

START = 10.0
SOME = range(7, 13)
DRAIN_SECONDS = 3.0
"""How long after its removal a backend may get new flows, in the deployments with the least."""


class StallTest(unittest.TestCase):
    """After a stall, timers may run before the waiting packets are read."""

    def setUp(self) -> None:
        self.core = new_core()
        self.core.advance(START)

    def test_stall_is_returned_when_packets_are_read_before_timers(self) -> None:
        resumed_at = START + STALL_THRESHOLD_SECONDS + 0.5
        self.assertTrue(self.core.consume_stall(resumed_at))
        self.core.advance(resumed_at)
        self.assertFalse(self.core.consume_stall(resumed_at))

    def test_stall_is_returned_once_when_packets_are_read_after_timers(self) -> None:
        resumed_at = START + STALL_THRESHOLD_SECONDS + 0.5
        self.core.advance(resumed_at)
        self.assertTrue(self.core.consume_stall(resumed_at))
        self.assertFalse(self.core.consume_stall(resumed_at))

    def test_stall_is_over_for_packets_after_the_next_tick(self) -> None:
        resumed_at = START + STALL_THRESHOLD_SECONDS + 0.5
        self.core.advance(resumed_at)
        self.core.advance(resumed_at + 0.25)
        self.assertFalse(self.core.consume_stall(resumed_at + 0.3))

    def test_regular_ticks_are_no_stall(self) -> None:
        self.core.advance(START + 0.25)
        self.assertFalse(self.core.consume_stall(START + 0.3))


class CoreCase(unittest.TestCase):
    def setUp(self) -> None:
        self.core = new_core()
        self.core.set_secrets(KEY)
        self.list_backends(backend(1, "other"))
        named = NamedRecord("main", 2, configuration(1, "tracker"))
        page = ListPage((named,), False, 9, "main")
        changes = self.core.configuration_watch.handle_page(page, asked_at=START)
        self.core.apply_configuration(changes, START)

    def list_backends(self, *records: BackendRecord) -> None:
        named = tuple(NamedRecord(record.name, 3, record) for record in records)
        page = ListPage(named, False, 9, named[-1].name)
        changes = self.core.backend_watch.handle_page(page, asked_at=START)
        self.core.apply_backends(changes, START, START)

    def confirm(self, now: float) -> None:
        self.core.backend_watch.handle_changes(ChangeBatch((), 9), 9, now)
        self.core.apply_backends((), now, now)
        self.core.configuration_watch.handle_changes(ChangeBatch((), 9), 9, now)
        self.core.apply_configuration((), now, now)

    def open_flow(self, now: float, destination: bytes | None = None) -> RouterCommand:
        packet = opening(1) if destination is None else opening(1, destination=destination)
        return self.core.router.handle(packet, now)


class MovedFlowsTest(unittest.TestCase):
    def run_core(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.core.advance(self.now)

    def handle(self, packet: ClientPacket) -> RouterCommand:
        """Return the command for a packet, also if it is held first, as no peer answers."""
        command = self.core.router.handle(packet, self.now)
        if not isinstance(command, HoldPacket):
            return command
        self.core.router.advance(self.now + ANSWER_SECONDS)
        return self.core.router.late_commands.popleft()

    def test_first_copies_are_dropped_after_each_change_of_the_nodes(self) -> None:
        """Guards against a second backend for a flow that routers have moved to this node."""
        self.now, self.core = START, make_core(ALL_MECHANISMS, backend(1))
        self.core.join_peers("10.0.0.1", ())
        new, stopping = (
            ViewDigest([], [], [], ZONE, [], int(state)) for state in (0, StopState.AWAY)
        )
        changes: tuple[Callable[[], object], ...] = (
            lambda: None,
            lambda: self.core.handle_message("10.0.0.2", new, self.now),
            lambda: self.core.handle_message("10.0.0.2", stopping, self.now),
            lambda: self.core.advance(self.now + STALL_THRESHOLD_SECONDS + 0.1),
        )
        for number, change in enumerate(changes):
            with self.subTest(change=number):
                change()
                self.run_core(2.0)
                self.assertIsInstance(self.handle(opening(number, 1)), DropPacket)
                self.run_core(2.0)
                self.assertIsInstance(self.handle(opening(10 + number, 1)), ForwardPacket)


class GoneBackendTest(CoreCase):
    """A service's only backend goes without draining; the store did not confirm the view lately."""

    def learn_of_removal(self, confirmed_at: float, now: float) -> None:
        self.list_backends(backend(7))
        self.confirm(confirmed_at)
        self.core.advance(confirmed_at + 0.25)
        gone = ObjectChange(backend(7).name, 10, None)
        changes = self.core.backend_watch.handle_changes(ChangeBatch((gone,), 10), 9, now)
        self.core.apply_backends(changes, now, now)

    def takes_flows(self, now: float) -> bool:
        client = round(now * 100)
        return isinstance(self.core.router.handle(opening(client), now), ForwardPacket)

    def test_it_gets_no_flow_when_it_may_have_left_for_the_time_to_drain(self) -> None:
        """Guards against a grace that begins only when the node learns of the removal."""
        confirmed_at = START + 1.0
        self.learn_of_removal(confirmed_at, now=confirmed_at + 2.3)
        self.assertTrue(self.takes_flows(confirmed_at + 2.4))
        self.assertFalse(self.takes_flows(confirmed_at + DRAIN_SECONDS - 0.2))

    def test_the_grace_is_whole_where_the_node_learns_at_once(self) -> None:
        grace = PlacementSettings().gone_grace_seconds
        self.learn_of_removal(confirmed_at=START + 1.0, now=START + 1.3)
        self.assertTrue(self.takes_flows(START + 1.3 + grace - 0.1))
        self.assertFalse(self.takes_flows(START + 1.3 + grace))

    def test_the_grace_is_whole_after_an_outage_in_which_entries_time_out(self) -> None:
        grace = PlacementSettings().gone_grace_seconds
        learned_at = START + 1.0 + MAXIMUM_MISSED_HEARTBEATS * DEFAULT_HEARTBEAT_SECONDS
        self.learn_of_removal(confirmed_at=START + 1.0, now=learned_at)
        self.assertTrue(self.takes_flows(learned_at + grace - 0.1))
        self.assertFalse(self.takes_flows(learned_at + grace))


class StartTest(unittest.TestCase):
    def test_first_list_of_backends_is_not_stale(self) -> None:
        """After a store outage a stale list may hold only a few of the backends."""
        times, observer = store_call_times(), QuietObserver()
        core = TokenCore(ZONE, "5-node", "main", observer, rng=random.Random(1), times=times)
        self.assertEqual(core.backend_watch.next_request(), ListRequest(""))
        self.assertEqual(core.configuration_watch.next_request(), ListRequest("", stale=True))


class RefusalsTest(CoreCase):
    def assert_dropped_unconfirmed(self, command: RouterCommand) -> None:
        assert isinstance(command, DropPacket), command
        self.assertIs(command.reason, DropReason.UNCONFIRMED_VIEW)

    def test_nothing_is_refused_by_a_stale_list_alone(self) -> None:
        """What a stale list lacks may exist: openings are dropped and not reset."""
        self.assertTrue(self.core.complete)
        self.assert_dropped_unconfirmed(self.open_flow(START))
        self.assert_dropped_unconfirmed(self.open_flow(START, OTHER_DESTINATION))

    def test_confirmed_views_refuse_at_once(self) -> None:
        self.confirm(START + 0.2)
        command = self.open_flow(START + 0.2)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_BACKEND)
        command = self.open_flow(START + 0.2, OTHER_DESTINATION)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_ROUTE)

    def test_flows_are_refused_after_the_confirmation_timeout(self) -> None:
        self.core.advance(START + 0.1)
        self.assert_dropped_unconfirmed(self.open_flow(START + 0.2))
        self.core.advance(START + 0.1 + CONFIRMATION_TIMEOUT_SECONDS)
        self.assertIsInstance(self.open_flow(START + 2.2), ResetFlow)

    def test_known_backends_are_used_before_confirmation(self) -> None:
        self.list_backends(backend(7))
        self.assertIsInstance(self.open_flow(START), ForwardPacket)

    def test_stall_requires_a_new_confirmation(self) -> None:
        self.confirm(START + 0.2)
        self.core.advance(START + 0.3)
        self.core.advance(START + 8.0)
        self.assert_dropped_unconfirmed(self.open_flow(START + 8.0))


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

    def test_backend_reported_silent_by_two_nodes_is_excluded(self) -> None:
        self.core.handle_message("10.0.0.2", self.digest("a", "b"), START + 1.0)
        self.assertEqual(self.identities(START + 1.1), set(SOME) - {7})
        later = START + 1.0 + PEER_SUSPICION_SECONDS
        self.assertIn(7, self.identities(later + 0.1))

    def test_report_of_one_node_excludes_nothing(self) -> None:
        self.core.handle_message("10.0.0.2", self.digest("a"), START + 1.0)
        self.assertEqual(self.identities(START + 1.1), set(SOME))

    def test_backend_that_answered_since_is_not_excluded(self) -> None:
        record = self.core.router.backends.of_service("tracker")[0]
        record.answered_at = START + 2.0
        self.core.handle_message("10.0.0.2", self.digest("a", "b"), START + 1.0)
        self.assertEqual(self.identities(START + 1.1), set(SOME))

    def test_at_most_a_third_of_a_service_is_excluded(self) -> None:
        """False reports must not concentrate all flows on a few backends."""
        entries = [(backend(number).name, who, 0) for number in SOME for who in "ab"]
        self.core.handle_message("10.0.0.2", ViewDigest([], [], [], "", entries), START + 1.0)
        self.assertEqual(len(self.identities(START + 1.1)), 4)

    def test_late_node_reports_no_silent_backend(self) -> None:
        self.core.handle_message("10.0.0.2", ViewDigest([], [], []), START + 1.0)
        self.core.advance(START + 1.0)
        self.core.router.handle(opening(1), START + 1.0)
        self.core.advance(START + 1.0 + LATE_SECONDS + 0.2)
        sent = [send.message for send in self.core.take_sends()]
        self.assertEqual([m.silent for m in sent if isinstance(m, ViewDigest) and m.silent], [])

    def test_unanswered_opening_is_reported_to_peers(self) -> None:
        self.core.handle_message("10.0.0.2", ViewDigest([], [], []), START + 1.0)
        self.core.take_sends()
        self.core.advance(START + 1.0)
        command = self.core.router.handle(opening(1), START + 1.0)
        assert isinstance(command, ForwardPacket)
        self.core.advance(START + 1.25)
        sent = [send.message for send in self.core.take_sends()]
        digests = [message for message in sent if isinstance(message, ViewDigest)]
        silent = [entry[0] for digest in digests for entry in digest.silent]
        self.assertIn(f"i-{command.identity:08x}", silent)


if __name__ == "__main__":
    unittest.main()
