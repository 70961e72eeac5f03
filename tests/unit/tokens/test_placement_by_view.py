"""Placement of new flows by load and by the observed answers of backends."""

import unittest
from collections import Counter

from beamloom.routing.tokens.decisions import Decision, RequestStalled
from beamloom.routing.tokens.packets import ForwardPacket, PacketKind, ResetFlow
from beamloom.routing.tokens.placement import PlacementSettings
from beamloom.routing.tokens.records import RoutePart, RouteRecord, RoutingConfiguration
from beamloom.routing.tokens.router import TokenRouter
from tests.unit.tokens.builders import (
    DESTINATION,
    backend,
    forwarded_to,
    make_router,
    opening,
    packet,
)


def open_flow(router: TokenRouter, client: int, now: float) -> tuple[int, int]:
    """Open a flow and send its first packet; return the backend's identity and the token."""
    command = router.handle(opening(client), now)
    assert isinstance(command, ForwardPacket)
    router.handle(packet(client, token=command.token), now + 0.01)
    return command.identity, command.token


class BalanceTest(unittest.TestCase):
    def test_new_flows_go_to_the_backend_with_the_fewest(self) -> None:
        router = make_router(*(backend(number) for number in range(1, 5)))
        counts = Counter(open_flow(router, client, 1.0)[0] for client in range(40))
        self.assertEqual(set(counts.values()), {10})

    def test_a_backend_with_more_slots_gets_more(self) -> None:
        router = make_router(backend(1, slots=1), backend(2, slots=3))
        counts = Counter(forwarded_to(router.handle(opening(n), 1.0)) for n in range(40))
        self.assertEqual(counts[2], 30)

    def test_the_own_zone_is_preferred_until_it_is_busy(self) -> None:
        settings = PlacementSettings(other_zone_surcharge=1.25)
        router = make_router(backend(1), backend(2, zone="east"), settings=settings)
        chosen = [forwarded_to(router.handle(opening(n), 1.0)) for n in range(5)]
        self.assertEqual(chosen, [1, 1, 1, 2, 1])

    def test_a_request_under_way_counts_until_its_answer_is_acknowledged(self) -> None:
        router = make_router(backend(1), backend(2))
        identity, token = open_flow(router, 1, 1.0)
        other_identity, other_token = open_flow(router, 2, 1.0)
        self.assertNotEqual(identity, other_identity)
        router.handle(packet(1, token=token, data_length=100), 1.1)
        self.assertEqual(forwarded_to(router.handle(opening(3), 1.2)), other_identity)
        router.handle(packet(1, token=token, acknowledged=900), 1.3)
        router.handle(packet(2, token=other_token, data_length=100), 1.3)
        self.assertEqual(forwarded_to(router.handle(opening(4), 1.4)), identity)

    def test_ended_and_idle_flows_do_not_count(self) -> None:
        router = make_router(backend(1))
        _, token = open_flow(router, 1, 1.0)
        open_flow(router, 2, 1.0)
        router.handle(packet(1, PacketKind.END, token=token), 1.5)
        self.assertEqual(len(router.flows), 1)
        router.advance(now=40.0)
        self.assertEqual(len(router.flows), 0)
        held = router.backends.of_service("tracker")[0]
        self.assertEqual((held.pending, held.open, held.busy), (0, 0, 0))


class SplitTest(unittest.TestCase):
    def test_parts_get_their_shares_exactly(self) -> None:
        router = make_router(backend(1), backend(2, "labeller"))
        parts = (RoutePart("tracker", 90), RoutePart("labeller", 10))
        route = RouteRecord("route", DESTINATION, parts)
        router.activate(RoutingConfiguration(2, (route,)))
        counts = Counter(forwarded_to(router.handle(opening(n), 1.0)) for n in range(100))
        self.assertEqual(counts, {1: 90, 2: 10})

    def test_flows_of_a_part_without_backends_go_to_the_other(self) -> None:
        router = make_router(backend(1), services=("tracker", "labeller"))
        counts = Counter(forwarded_to(router.handle(opening(n), 1.0)) for n in range(10))
        self.assertEqual(counts, {1: 10})


class SilentBackendTest(unittest.TestCase):
    def test_a_backend_that_does_not_answer_is_avoided_and_tried_later(self) -> None:
        router = make_router(backend(1), backend(2))
        silent = router.backends.of_service("tracker")[0]
        for client in range(30):
            now = client * 0.1
            command = router.handle(opening(client), now)
            assert isinstance(command, ForwardPacket)
            if command.identity != silent.record.identity:
                router.handle(packet(client, token=command.token), now + 0.01)
            router.advance(now + 0.05)
        self.assertGreaterEqual(silent.failures, 3)
        during = silent.suspect_until - 0.05
        self.assertGreater(during, 2.9)
        chosen = {forwarded_to(router.handle(opening(100 + n), during)) for n in range(6)}
        self.assertEqual(chosen, {2})
        after = silent.suspect_until + 5.0
        later = [forwarded_to(router.handle(opening(200 + n), after)) for n in range(6)]
        self.assertIn(1, later)

    def test_each_failure_doubles_the_suspicion_up_to_a_limit(self) -> None:
        router = make_router(backend(1))
        held = router.backends.of_service("tracker")[0]
        lengths = []
        for client in range(8):
            now = client * 20.0
            router.handle(opening(client), now)
            router.advance(now + 1.0)
            lengths.append(held.suspect_until - now - 1.0)
        self.assertLess(lengths[0], 0.0)
        self.assertEqual([round(length) for length in lengths[1:]], [1, 2, 4, 8, 8, 8, 8])

    def test_repeated_requests_make_a_backend_suspect(self) -> None:
        """Guards against flows that wait for a crashed backend unnoticed."""
        decisions: list[Decision] = []
        router = make_router(backend(1), decisions=decisions)
        held = router.backends.of_service("tracker")[0]
        tokens = [open_flow(router, client, 1.0)[1] for client in range(2)]
        for now in (2.0, 2.2, 2.6):
            for client, token in enumerate(tokens):
                again = packet(client, token=token, sequence=9, data_length=50)
                router.handle(again, now)
        stalls = [decision for decision in decisions if isinstance(decision, RequestStalled)]
        self.assertEqual([(stall.repeats, stall.stalled) for stall in stalls], [(2, 1), (2, 2)])
        self.assertAlmostEqual(stalls[0].seconds, 0.6)
        self.assertGreater(held.suspect_until, 2.6)
        for client, token in enumerate(tokens):
            router.handle(packet(client, token=token, sequence=59, acknowledged=700), 2.7)
        self.assertEqual((held.stalled, held.busy), (0, 0))

    def test_late_answers_extend_the_opening_timeout(self) -> None:
        router = make_router(backend(1))
        held = router.backends.of_service("tracker")[0]
        for client in range(10):
            began = client * 1.0
            command = router.handle(opening(client), began)
            assert isinstance(command, ForwardPacket)
            router.advance(began + 0.25)
            router.handle(packet(client, token=command.token), began + 0.3)
        self.assertAlmostEqual(router.flows.opening_timeout_seconds, 0.6)
        self.assertEqual((held.failures, held.pending, held.open), (0, 0, 10))
        command = router.handle(opening(50), 11.0)
        router.advance(11.3)
        self.assertEqual((held.failures, held.pending), (0, 1))

    def test_an_answer_ends_the_suspicion(self) -> None:
        router = make_router(backend(1))
        for client in range(3):
            router.handle(opening(client), 1.0)
        router.advance(2.0)
        held = router.backends.of_service("tracker")[0]
        self.assertGreater(held.suspect_until, 2.0)
        open_flow(router, 50, 2.1)
        self.assertEqual((held.failures, held.suspect_until), (0, 0.0))

    def test_a_gone_backend_that_has_certainly_ended_is_not_used(self) -> None:
        """Guards against openings that wait for a backend which is known to be dead."""
        router = make_router(backend(1))
        router.backends.remove(backend(1).name, now=10.0)
        held = router.backends.of_service("tracker")[0]
        for field, value in (("down_since", 10.1), ("ended", True)):
            with self.subTest(field=field):
                before = getattr(held, field)
                setattr(held, field, value)
                self.assertIsInstance(router.handle(opening(1), 10.5), ResetFlow)
                setattr(held, field, before)

    def test_a_service_without_listed_backends_is_used_for_the_grace_time(self) -> None:
        """The store sometimes loses live backends, which then write their records again."""
        router = make_router(backend(1), backend(2))
        for record in (backend(1), backend(2)):
            router.backends.remove(record.name, now=10.0)
        self.assertIn(forwarded_to(router.handle(opening(1), 10.5)), (1, 2))
        grace = PlacementSettings().gone_grace_seconds
        command = router.handle(opening(2), 10.0 + grace)
        self.assertNotIsInstance(command, ForwardPacket)
