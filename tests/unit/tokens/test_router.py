"""Decisions of the token router for single packets."""

import unittest

from beamloom.routing.tokens.decisions import (
    Decision,
    FlowPlaced,
    FlowRefused,
    OpeningUnanswered,
    PacketDropped,
)
from beamloom.routing.tokens.packets import (
    DropPacket,
    DropReason,
    ForwardPacket,
    PacketKind,
    RefusalReason,
    ResetFlow,
)
from beamloom.routing.tokens.records import BackendState
from beamloom.routing.tokens.router import FIRST_COPY_SECONDS
from beamloom.routing.tokens.token import NO_TOKEN, TokenCodec
from beamloom.runtime.token_node import MAXIMUM_OPENING_WAIT_SECONDS
from tests.unit.tokens.builders import (
    KEY,
    OTHER_DESTINATION,
    backend,
    configuration,
    flow_id,
    forwarded_to,
    make_router,
    opening,
    packet,
)


class OpeningsTest(unittest.TestCase):
    def test_an_opening_goes_to_a_backend_with_its_token(self) -> None:
        command = make_router(backend(7)).handle(opening(1), now=1.0)
        assert isinstance(command, ForwardPacket)
        self.assertEqual(command.identity, 7)
        self.assertEqual(command.address, ("127.0.0.1", 8007))
        self.assertNotEqual(command.token, NO_TOKEN)

    def test_without_a_route_it_is_refused_at_once(self) -> None:
        command = make_router(backend(7)).handle(opening(1, destination=OTHER_DESTINATION), now=1.0)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_ROUTE)

    def test_without_a_backend_it_is_refused_at_once(self) -> None:
        command = make_router().handle(opening(1), now=1.0)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.NO_BACKEND)

    def test_a_copy_without_a_backend_is_dropped_as_its_flow_may_be_open(self) -> None:
        command = make_router().handle(opening(1, copies=2), now=1.0)
        assert isinstance(command, DropPacket)
        self.assertIs(command.reason, DropReason.NO_BACKEND_FOR_COPY)

    def test_while_flows_move_only_a_second_copy_opens_one_without_the_original(self) -> None:
        """Guards against a second backend after the routers have chosen another node."""
        router = make_router(backend(7))
        self.assertEqual(forwarded_to(router.handle(opening(2, copies=1), now=1.2)), 7)
        router.flows_move_until = 3.0
        command = router.handle(opening(1, copies=1), now=1.2)
        assert isinstance(command, DropPacket)
        self.assertIs(command.reason, DropReason.COPY_WITHOUT_ORIGINAL)
        self.assertEqual(forwarded_to(router.handle(opening(1, copies=2), now=1.6)), 7)

    def test_an_opening_that_waited_for_a_start_is_older_than_no_copy(self) -> None:
        """Guards against an original that is forwarded after its copy went to another node."""
        self.assertLess(MAXIMUM_OPENING_WAIT_SECONDS, FIRST_COPY_SECONDS)
        router = make_router(backend(7))
        router.flows_move_until = 3.0
        router.note_late_opening(opening(1), now=1.0)
        self.assertEqual(router.counters["dropped_late_opening"], 1)
        self.assertEqual(forwarded_to(router.handle(opening(1, copies=1), now=1.2)), 7)

    def test_a_copy_of_an_opening_that_this_node_dropped_opens_a_flow(self) -> None:
        router = make_router()
        router.may_refuse = False
        router.flows_move_until = 3.0
        self.assertIsInstance(router.handle(opening(1), now=1.0), DropPacket)
        router.backends.update(backend(7), 1, now=1.1)
        self.assertEqual(forwarded_to(router.handle(opening(1, copies=1), now=1.2)), 7)

    def test_all_copies_go_to_one_backend(self) -> None:
        """Guards against a second backend that resets the open flow after a late answer."""
        router = make_router(*(backend(number) for number in range(1, 9)))
        commands = [
            router.handle(opening(1, copies), now=1.0 + seconds)
            for copies, seconds in enumerate((0.0, 0.2, 0.6))
        ]
        self.assertEqual(len({forwarded_to(command) for command in commands}), 1)

    def test_a_copy_is_dropped_if_its_backend_may_open_no_more_flows(self) -> None:
        """The backend may have got the first packet, so that no other one may get the copy."""
        router = make_router(backend(7))
        router.handle(opening(1), now=1.0)
        router.backends.update(backend(8), 2, now=1.1)
        router.backends.update(backend(7, state=BackendState.DRAINING), 3, now=1.1)
        command = router.handle(opening(1, copies=1), now=1.2)
        assert isinstance(command, DropPacket)
        self.assertIs(command.reason, DropReason.NO_BACKEND_FOR_COPY)

    def test_a_copy_goes_to_another_backend_if_the_process_of_the_first_has_ended(self) -> None:
        for was_refused in (True, False):
            with self.subTest(was_refused=was_refused):
                router = make_router(backend(7))
                router.handle(opening(1), now=1.0)
                router.backends.update(backend(8), 2, now=1.0)
                dead = router.backends.of_service("tracker")[0]
                dead.was_refused, dead.down_since, dead.flows_lost_until = was_refused, 1.1, 1.06
                command = router.handle(opening(1, copies=1), now=1.2)
                self.assertEqual(forwarded_to(command), 8 if was_refused else 7)

    def test_an_opening_after_a_check_is_not_lost(self) -> None:
        router = make_router(backend(7))
        restarted = router.backends.of_service("tracker")[0]
        restarted.was_refused, restarted.flows_lost_until = True, 0.9
        router.handle(opening(1), now=1.0)
        router.backends.update(backend(8), 2, now=1.0)
        self.assertEqual(forwarded_to(router.handle(opening(1, copies=1), now=1.2)), 7)

    def test_copies_that_arrive_together_go_to_one_backend(self) -> None:
        """Guards against answers of two backends, after which a client used the wrong token."""
        router = make_router(backend(7), backend(8))
        first = router.handle(opening(1), now=1.0)
        second = router.handle(opening(1, copies=1), now=1.001)
        assert isinstance(first, ForwardPacket)
        assert isinstance(second, ForwardPacket)
        self.assertEqual((first.identity, first.token), (second.identity, second.token))

    def test_a_late_copy_of_an_open_flow_stays_with_its_backend(self) -> None:
        router = make_router(backend(7), backend(8))
        command = router.handle(opening(1), now=1.0)
        assert isinstance(command, ForwardPacket)
        router.handle(packet(1, token=command.token), now=1.1)
        late = router.handle(opening(1, copies=1), now=1.2)
        assert isinstance(late, ForwardPacket)
        self.assertEqual((late.identity, late.token), (command.identity, command.token))

    def test_draining_and_gone_backends_get_no_openings(self) -> None:
        router = make_router(backend(7), backend(8, state=BackendState.DRAINING), backend(9))
        router.backends.remove(backend(9).name, now=1.0)
        for client in range(20):
            self.assertEqual(forwarded_to(router.handle(opening(client), now=1.1)), 7)

    def test_without_the_key_nothing_is_forwarded(self) -> None:
        router = make_router(backend(7))
        router.codec = None
        command = router.handle(opening(1), now=1.0)
        assert isinstance(command, DropPacket)
        self.assertIs(command.reason, DropReason.NO_KEY)


class OpenFlowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = [backend(number) for number in range(1, 9)]
        self.router = make_router(*self.records)
        command = self.router.handle(opening(1), now=1.0)
        assert isinstance(command, ForwardPacket)
        self.identity, self.token = command.identity, command.token

    def test_the_token_of_a_second_answer_does_not_move_it(self) -> None:
        """Guards against a copy that another node sent to a second backend, which answers late."""
        other = next(record.identity for record in self.records if record.identity != self.identity)
        second = TokenCodec(KEY).mint(flow_id(1), other)
        for acknowledged in (0xFFFF_FF00, 0x200):
            self.router.handle(packet(1, token=self.token, acknowledged=acknowledged), now=2.0)
            later = (acknowledged + 600) % (1 << 32)
            command = self.router.handle(packet(1, token=second, acknowledged=later), now=2.5)
            assert isinstance(command, ForwardPacket)
            self.assertEqual((command.identity, command.token), (self.identity, self.token))

    def test_a_packet_of_another_handshake_follows_its_token(self) -> None:
        other = next(record.identity for record in self.records if record.identity != self.identity)
        second = TokenCodec(KEY).mint(flow_id(1), other)
        self.router.handle(packet(1, token=self.token, acknowledged=7), now=2.0)
        command = self.router.handle(packet(1, token=second, acknowledged=1 << 30), now=2.5)
        self.assertEqual(forwarded_to(command), other)

    def test_its_packets_stay_with_the_backend(self) -> None:
        for kind in (PacketKind.DATA, PacketKind.END):
            command = self.router.handle(packet(1, kind, token=self.token), now=2.0)
            assert isinstance(command, ForwardPacket)
            self.assertEqual((command.identity, command.token), (self.identity, NO_TOKEN))

    def test_a_node_that_has_just_started_forwards_them_too(self) -> None:
        other = make_router(*self.records)
        command = other.handle(packet(1, token=self.token), now=0.1)
        self.assertEqual(forwarded_to(command), self.identity)

    def test_a_route_change_moves_no_open_flow_even_at_a_new_node(self) -> None:
        """Guards against dropping valid tokens at nodes that started after the change."""
        labellers = [backend(number, "labeller") for number in range(20, 24)]
        fresh = make_router(*self.records, *labellers, services=("labeller",), version=9)
        command = fresh.handle(packet(1, token=self.token), now=0.1)
        self.assertEqual(forwarded_to(command), self.identity)

    def test_a_draining_or_gone_backend_keeps_its_flows(self) -> None:
        record = next(record for record in self.records if record.identity == self.identity)
        draining = backend(record.identity, state=BackendState.DRAINING)
        self.router.backends.update(draining, 50, now=2.0)
        self.assertEqual(
            forwarded_to(self.router.handle(packet(1, token=self.token), now=2.1)), self.identity
        )
        self.router.backends.remove(record.name, now=3.0)
        self.assertEqual(
            forwarded_to(self.router.handle(packet(1, token=self.token), now=50.0)), self.identity
        )

    def test_a_packet_to_a_reassigned_address_is_answered_with_a_reset(self) -> None:
        """Guards against clients that wait for a crashed backend with a successor."""
        self.router.handle(packet(1, token=self.token), now=1.5)
        successor = backend(99, "labeller", port=8000 + self.identity)
        self.router.backends.update(successor, 60, now=2.0)
        again = packet(1, token=self.token, acknowledged=4711, data_length=9)
        command = self.router.handle(again, now=2.1)
        assert isinstance(command, ResetFlow)
        self.assertIs(command.reason, RefusalReason.BACKEND_ENDED)
        self.assertEqual(command.sequence, 4711)
        for client in range(50, 80):
            self.assertNotEqual(
                forwarded_to(self.router.handle(opening(client), now=2.2)), self.identity
            )

    def test_of_two_incarnations_in_one_list_the_later_one_has_the_address(self) -> None:
        """A list contains a crashed backend until it has missed three heartbeats, in any order."""
        for first, second in ((5, 9), (9, 5)):
            router = make_router()
            router.backends.update(backend(1, port=8001), first, now=0.0)
            router.backends.update(backend(2, port=8001), second, now=0.0)
            later = 2 if second > first else 1
            for client in range(10):
                self.assertEqual(forwarded_to(router.handle(opening(client), now=0.1)), later)

    def test_forged_and_missing_tokens_are_dropped_and_never_reset(self) -> None:
        forged = self.router.handle(packet(1, token=self.token ^ 1), now=2.0)
        borrowed = self.router.handle(packet(2, token=self.token), now=2.0)
        missing = self.router.handle(packet(1), now=2.0)
        for command, reason in (
            (forged, DropReason.UNKNOWN_TOKEN),
            (borrowed, DropReason.UNKNOWN_TOKEN),
            (missing, DropReason.NO_TOKEN),
        ):
            assert isinstance(command, DropPacket)
            self.assertIs(command.reason, reason)
        self.assertEqual(self.router.counters["dropped_unknown_token"], 2)
        self.assertEqual(self.router.counters["dropped_no_token"], 1)


class DecisionsTest(unittest.TestCase):
    def test_openings_refusals_drops_and_missing_answers_are_reported(self) -> None:
        decisions: list[Decision] = []
        router = make_router(backend(7), decisions=decisions)
        router.handle(opening(1), now=1.0)
        router.handle(opening(2, destination=OTHER_DESTINATION), now=1.0)
        router.handle(packet(3, token=5), now=1.0)
        router.advance(now=2.0)
        self.assertEqual(
            [type(decision) for decision in decisions],
            [FlowPlaced, FlowRefused, PacketDropped, OpeningUnanswered],
        )
        placed = decisions[0]
        assert isinstance(placed, FlowPlaced)
        self.assertEqual((placed.backend, placed.version, placed.candidates), ("i-00000007", 1, 1))

    def test_the_version_never_decreases(self) -> None:
        router = make_router(backend(7), version=5)
        self.assertFalse(router.activate(configuration(4, "labeller")))
        self.assertFalse(router.activate(configuration(5, "labeller")))
        self.assertEqual(router.routes.version, 5)
        self.assertTrue(router.activate(configuration(6, "labeller")))
