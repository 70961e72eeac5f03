"""Effects of the terms of a route on placement and on reports about backends."""

import random
import unittest

from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.packets import DropPacket, ForwardPacket, PacketKind, ResetFlow
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import (
    BackendState,
    RequestKind,
    RouteTerms,
    RoutingConfiguration,
)
from beamloom.settings.mechanisms import ALL_MECHANISMS
from beamloom.settings.token_node import ColdStartLimits
from tests.unit.tokens.builders import (
    KEY,
    OTHER_DESTINATION,
    ZONE,
    backend,
    forwarded_to,
    make_core,
    make_router,
    new_core,
    opening,
    packet,
    put_terms_in_force,
    two_priorities,
    with_terms,
)

NOW = 10.0
POST = RouteTerms(0.4, 2.5, 1, RequestKind.UNSAFE)
FEED = RouteTerms(0.4, 2.0, 2, RequestKind.SAFE)


def chosen_by(terms: RouteTerms, doubted: int, known: int = 6) -> set[int]:
    """Return the backends that flows get while the first `doubted` of them are doubted."""
    identities = set()
    for seed in range(40):
        router = make_router(*(backend(n) for n in range(1, known + 1)), seed=seed)
        router.activate(with_terms(2, terms))
        for held in router.backends.of_service("tracker")[:doubted]:
            held.mark_doubted(NOW + 1)
        identities.add(forwarded_to(router.handle(opening(1), NOW)))
    return identities


class DoubtTest(unittest.TestCase):
    def test_unrepeatable_requests_avoid_doubted_backends(self) -> None:
        self.assertEqual(chosen_by(POST, doubted=2), {3, 4, 5, 6})

    def test_repeatable_requests_do_not(self) -> None:
        self.assertEqual(chosen_by(FEED, doubted=2), {1, 2, 3, 4, 5, 6})

    def test_doubt_is_ignored_if_most_backends_are_doubted(self) -> None:
        self.assertEqual(chosen_by(POST, doubted=4), {1, 2, 3, 4, 5, 6})

    def test_another_zone_is_preferred_to_a_doubted_backend(self) -> None:
        router = make_router(backend(1), backend(2, zone="far"))
        router.backends.of_service("tracker")[0].mark_doubted(NOW + 1)
        self.assertEqual(forwarded_to(router.handle(opening(1), NOW)), 2)
        self.assertEqual(router.counters["doubted_spared"], 1)

    def test_doubt_ends(self) -> None:
        router = make_router(backend(1), backend(2, zone="far"))
        router.backends.of_service("tracker")[0].mark_doubted(NOW)
        self.assertEqual(forwarded_to(router.handle(opening(1), NOW + 0.1)), 1)


class OverdueTest(unittest.TestCase):
    """A backend takes a request, acknowledges it, and does not answer."""

    def setUp(self) -> None:
        self.core = make_core(ALL_MECHANISMS, *(backend(n) for n in range(1, 6)))
        self.core.join_peers("10.0.0.1", ())
        put_terms_in_force(self.core, POST)
        self.core.advance(NOW)
        command = self.core.router.handle(opening(1), NOW)
        assert isinstance(command, ForwardPacket)
        self.token = command.token
        held = self.core.router.flows.find(opening(1).flow)
        assert held is not None
        self.backend = held.backend
        self.send_request(NOW, sequence=1)

    def send_request(self, now: float, sequence: int) -> None:
        self.core.router.handle(packet(1, token=self.token, sequence=sequence, data_length=9), now)

    def test_it_is_doubted_after_a_fraction_of_the_objective(self) -> None:
        self.core.router.advance(NOW + 0.29)
        self.assertLess(self.backend.doubted_until, NOW)
        self.core.router.advance(NOW + 0.31)
        self.assertGreater(self.backend.doubted_until, NOW + 1)
        self.assertEqual(self.core.router.counters["answers_overdue"], 1)

    def test_its_flow_stays_open(self) -> None:
        self.core.router.advance(NOW + 0.31)
        command = self.core.router.handle(packet(1, token=self.token, data_length=9), NOW + 0.4)
        self.assertEqual(forwarded_to(command), self.backend.record.identity)

    def test_an_answer_in_time_causes_no_doubt(self) -> None:
        self.core.router.handle(packet(1, token=self.token, acknowledged=900), NOW + 0.2)
        self.core.router.advance(NOW + 0.5)
        self.assertLess(self.backend.doubted_until, NOW)

    def test_a_repeated_request_is_not_overdue(self) -> None:
        self.send_request(NOW + 0.2, sequence=1)
        self.core.router.advance(NOW + 0.5)
        self.assertEqual(self.core.router.counters["answers_overdue"], 0)

    def test_without_an_objective_no_answer_is_overdue(self) -> None:
        put_terms_in_force(self.core, RouteTerms())
        self.send_request(NOW + 0.1, sequence=2)
        self.core.router.advance(NOW + 5.0)
        self.assertEqual(self.core.router.counters["answers_overdue"], 0)

    def test_a_node_that_lags_reports_no_backend(self) -> None:
        self.core.advance(NOW + 0.9)
        self.assertEqual(self.core.router.counters["answers_overdue"], 0)

    def test_one_report_causes_doubt_and_a_confirmed_one_affects_all_flows(self) -> None:
        assert self.core.exchange is not None
        reports = self.core.exchange.reports
        self.core.router.advance(NOW + 0.31)
        self.assertLess(self.backend.failing_until, NOW)
        reports.on_failure_report(self.backend.record.name, NOW + 0.4)
        self.assertGreater(self.backend.doubted_until, NOW + 3)
        reports.on_failing(self.backend.record.name, NOW + 0.5, NOW + 0.5)
        self.assertGreater(self.backend.failing_until, NOW + 2)


class LastAnswerTest(unittest.TestCase):
    def test_a_short_answer_that_ends_its_flow_is_reported(self) -> None:
        router = make_router(backend(1))
        reported: list[Backend] = []
        router.flows.on_short_answer = lambda held, now: reported.append(held)
        for client in range(40):
            command = router.handle(opening(client), NOW)
            assert isinstance(command, ForwardPacket)
            router.handle(packet(client, token=command.token, data_length=9), NOW)
            size = 210 if client == 39 else 1000
            end = packet(client, PacketKind.END, token=command.token, acknowledged=size)
            router.handle(end, NOW + 0.1)
        self.assertEqual(len(reported), 1)


class PriorityTest(unittest.TestCase):
    def test_a_burst_leaves_room_for_the_highest_priority(self) -> None:
        router = make_router(*(backend(n) for n in range(1, 5)))
        router.activate(two_priorities(2))
        for client in range(4):
            router.handle(opening(client), NOW)
        busy = [held.pending for held in router.backends.of_service("tracker")]
        self.assertEqual(busy, [1, 1, 1, 1])
        router.handle(opening(9, destination=OTHER_DESTINATION), NOW)
        busy = [held.pending for held in router.backends.of_service("tracker")]
        self.assertEqual(max(busy), 2)

    def test_no_priority_is_starved(self) -> None:
        """With random backends, a flow gets one under any terms if it does under the best ones."""
        rng = random.Random(5)
        for _ in range(2000):
            held = [random_backend(number, rng) for number in range(rng.randrange(6))]
            placement = Placement(ZONE, PlacementSettings(), random.Random(1))
            placement.reserving_services = frozenset({"tracker"})
            plain = placement.choose(held, NOW, RouteTerms(priority=0))
            for priority in range(4):
                for kind in RequestKind:
                    terms = RouteTerms(0.4, 1.0, priority, kind)
                    chosen = placement.choose(held, NOW, terms)
                    self.assertEqual(chosen is None, plain is None)

    def test_a_lower_priority_keeps_all_its_flows_under_a_burst_of_the_highest(self) -> None:
        router = make_router(*(backend(n) for n in range(1, 4)))
        router.activate(two_priorities(2))
        for client in range(300):
            router.handle(opening(client, destination=OTHER_DESTINATION), NOW)
            self.assertIsInstance(router.handle(opening(1000 + client), NOW), ForwardPacket)


class TimelyRefusalTest(unittest.TestCase):
    """All backends are cold, and one may take the flow a moment later."""

    def answer(self, terms: RouteTerms, copies: int = 0) -> object:
        core = new_core(cold_starts=ColdStartLimits(1.0, 0.0))
        core.set_secrets(KEY)
        core.router.activate(with_terms(1, terms))
        core.router.may_refuse = True
        core.router.backends.update(backend(1, warm_up=5.0), 1, NOW)
        return type(core.router.handle(opening(1, copies), NOW))

    def test_a_client_that_does_not_wait_for_its_copy_is_refused(self) -> None:
        self.assertIs(self.answer(RouteTerms(timeout_seconds=0.2)), ResetFlow)

    def test_a_client_that_waits_for_its_copy_is_not_refused(self) -> None:
        self.assertIs(self.answer(RouteTerms(timeout_seconds=2.0)), DropPacket)
        self.assertIs(self.answer(RouteTerms()), DropPacket)

    def test_a_copy_is_not_refused_as_its_flow_may_be_open(self) -> None:
        self.assertIs(self.answer(RouteTerms(timeout_seconds=0.2), copies=1), DropPacket)


def random_backend(number: int, rng: random.Random) -> Backend:
    """Return a backend in any state that matters to placement."""
    state = rng.choice([BackendState.READY, BackendState.READY, BackendState.DRAINING])
    zone = rng.choice([ZONE, "far"])
    held = Backend(backend(number, state=state, zone=zone, slots=rng.randrange(1, 4)), 1)
    held.pending, held.busy = rng.randrange(4), rng.randrange(4)
    held.doubted_until = rng.choice([0.0, NOW + 1])
    held.failing_until = rng.choice([0.0, 0.0, NOW + 1])
    held.suspect_until = rng.choice([0.0, 0.0, NOW + 1])
    held.down_since = rng.choice([None, None, NOW - 1])
    held.gone_at = rng.choice([None, None, NOW - 1, NOW - 9])
    return held


class VersionTest(unittest.TestCase):
    def test_placement_follows_the_terms_in_force(self) -> None:
        router = make_router(backend(1), backend(2, zone="far"))
        router.activate(with_terms(2, FEED))
        router.backends.of_service("tracker")[0].mark_doubted(NOW + 1)
        self.assertEqual(forwarded_to(router.handle(opening(1), NOW)), 1)
        router.activate(with_terms(3, POST))
        self.assertEqual(forwarded_to(router.handle(opening(2), NOW)), 2)
        router.activate(with_terms(2, FEED))
        self.assertEqual(forwarded_to(router.handle(opening(3), NOW)), 2)

    def test_a_reserve_ends_with_its_route(self) -> None:
        router = make_router(backend(1))
        router.activate(two_priorities(2))
        kept = two_priorities(3).routes[:1]
        router.activate(RoutingConfiguration(3, kept))
        for client in range(2):
            router.handle(opening(client), NOW)
        self.assertEqual(router.counters["reserve_kept"], 0)


if __name__ == "__main__":
    unittest.main()
