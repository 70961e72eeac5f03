"""Checks of backends that may be dead, and the effect of their outcomes on flows."""

import random
import unittest

from beamloom.node.token_core import TokenCore
from beamloom.protocol.view_messages import BackendsDown
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.flow_observer import QUIET_SECONDS
from beamloom.routing.tokens.liveness import (
    MAXIMUM_CONCURRENT_CHECKS,
    MAXIMUM_RECHECK_SECONDS,
    RECHECK_SECONDS,
    ZONE_DOWN_BACKENDS,
    CheckOutcome,
    LivenessChecks,
    Suspicion,
)
from beamloom.routing.tokens.packets import ForwardPacket, PacketKind, RefusalReason, ResetFlow
from beamloom.settings.mechanisms import ALL_MECHANISMS
from beamloom.simulation.tokens.deployment import SERVICES, ZONES
from beamloom.simulation.tokens.fleet import TokenFleet
from beamloom.standins.token_client import FlowPlan, FlowState
from tests.unit.tokens.builders import (
    ZONE,
    backend,
    make_core,
    make_router,
    opening,
    packet,
)

START = 10.0


class ChecksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.checks = LivenessChecks()
        self.begun: list[Backend] = []
        self.down: list[tuple[int, CheckOutcome]] = []
        self.up: list[int] = []
        self.checks.start_check = self.begun.append
        self.checks.on_down = lambda held, outcome, now: self.down.append(
            (held.record.identity, outcome)
        )
        self.checks.on_up = lambda held, now: self.up.append(held.record.identity)
        self.backend = Backend(backend(1), 1)

    def test_a_backend_is_checked_once_for_many_suspicions(self) -> None:
        for step in range(10):
            self.checks.suspect(self.backend, Suspicion.REPEATED_REQUEST, START + step * 0.01)
        self.assertEqual(self.begun, [self.backend])

    def test_checks_of_a_live_backend_become_less_frequent(self) -> None:
        now, starts = START, []
        while now < START + 10.0:
            self.checks.suspect(self.backend, Suspicion.QUIET_REQUEST, now)
            if self.begun:
                starts.append(now)
                self.begun.clear()
                self.checks.apply_outcome(self.backend, CheckOutcome.ALIVE, now)
            now += 0.1
        self.assertLessEqual(len(starts), 8)
        self.assertEqual(self.down, [])

    def test_silent_and_refused_checks_mark_a_backend_as_down(self) -> None:
        for number, outcome in ((1, CheckOutcome.SILENT), (2, CheckOutcome.REFUSED)):
            held = Backend(backend(number), 1)
            self.checks.suspect(held, Suspicion.UNANSWERED_OPENING, START)
            self.checks.apply_outcome(held, outcome, START + 0.3)
            self.assertEqual(held.down_since, START + 0.3)
        self.assertEqual(self.down, [(1, CheckOutcome.SILENT), (2, CheckOutcome.REFUSED)])

    def test_a_silent_check_with_a_sign_of_life_is_unclear(self) -> None:
        self.checks.suspect(self.backend, Suspicion.REPEATED_REQUEST, START)
        self.backend.last_alive_at = START + 0.1
        self.checks.apply_outcome(self.backend, CheckOutcome.SILENT, START + 0.3)
        self.assertEqual((self.down, self.backend.down_since), ([], None))

    def test_a_refused_check_of_a_backend_that_answered_since_is_unclear(self) -> None:
        """The check met the former process, and its successor has opened flows since."""
        self.checks.suspect(self.backend, Suspicion.REPEATED_REQUEST, START)
        self.backend.last_alive_at = START + 0.1
        self.checks.apply_outcome(self.backend, CheckOutcome.REFUSED, START + 0.2)
        self.assertEqual((self.down, self.backend.down_since), ([], None))

    def test_an_unclear_check_is_made_again(self) -> None:
        self.checks.suspect(self.backend, Suspicion.REPEATED_REQUEST, START)
        self.checks.apply_outcome(self.backend, CheckOutcome.UNCLEAR, START + 0.3)
        self.assertEqual(self.down, [])
        self.backend.open = 1
        self.checks.advance(START + 0.4)
        self.assertEqual(len(self.begun), 1)

    def test_unconfirmed_silence_ends_no_flow_and_is_checked_again(self) -> None:
        self.backend.open = 1
        self.checks.suspect(self.backend, Suspicion.QUIET_REQUEST, START)
        self.checks.apply_outcome(self.backend, CheckOutcome.UNCONFIRMED, START + 0.4)
        self.assertEqual((self.down, self.backend.down_since), ([], None))
        self.checks.advance(START + 0.4 + RECHECK_SECONDS)
        self.assertEqual(len(self.begun), 2)
        self.checks.apply_outcome(self.backend, CheckOutcome.SILENT, START + 1.2)
        self.assertEqual(self.down, [(1, CheckOutcome.SILENT)])

    def test_a_listed_backend_is_checked_until_it_is_up_again(self) -> None:
        self.checks.suspect(self.backend, Suspicion.REPEATED_REQUEST, START)
        self.checks.apply_outcome(self.backend, CheckOutcome.SILENT, START + 0.3)
        self.checks.advance(START + 0.3 + RECHECK_SECONDS)
        self.assertEqual(len(self.begun), 2)
        self.checks.apply_outcome(self.backend, CheckOutcome.ALIVE, START + 1.0)
        self.assertEqual((self.up, self.backend.down_since), ([1], None))
        self.checks.advance(START + 20.0)
        self.assertEqual(len(self.begun), 2)

    def test_a_gone_backend_that_is_alive_is_checked_while_flows_are_open(self) -> None:
        self.backend.gone_at = START
        self.backend.open = 2
        self.checks.suspect(self.backend, Suspicion.GONE, START)
        self.checks.apply_outcome(self.backend, CheckOutcome.ALIVE, START + 0.01)
        self.checks.advance(START + 0.1 + MAXIMUM_RECHECK_SECONDS)
        self.assertEqual(len(self.begun), 2)
        self.checks.apply_outcome(self.backend, CheckOutcome.ALIVE, START + 2.2)
        self.backend.open = 0
        self.checks.advance(START + 20.0)
        self.assertEqual(len(self.begun), 2)

    def test_a_backend_that_is_listed_again_is_checked_at_once(self) -> None:
        """A dead backend gets no flows, so nothing else would show that it is alive again."""
        self.backend.gone_at = START
        self.checks.suspect(self.backend, Suspicion.GONE, START)
        self.checks.apply_outcome(self.backend, CheckOutcome.SILENT, START + 0.2)
        self.checks.advance(START + 5.0)
        self.assertEqual(len(self.begun), 1)
        self.backend.gone_at = None
        self.checks.watch(self.backend, START + 6.0)
        self.assertEqual(len(self.begun), 2)
        self.checks.apply_outcome(self.backend, CheckOutcome.SILENT, START + 6.2)
        self.checks.advance(START + 6.3 + MAXIMUM_RECHECK_SECONDS)
        self.assertEqual(len(self.begun), 3)

    def test_the_number_of_concurrent_checks_is_limited(self) -> None:
        held = [Backend(backend(number), 1) for number in range(1, 30)]
        for one in held:
            self.checks.suspect(one, Suspicion.REPORTED, START)
        self.assertEqual(len(self.begun), MAXIMUM_CONCURRENT_CHECKS)
        while self.begun:
            self.checks.apply_outcome(self.begun.pop(0), CheckOutcome.SILENT, START + 0.3)
        self.assertEqual(len(self.down), len(held))

    def test_several_down_backends_cause_a_check_of_their_zone(self) -> None:
        held = [Backend(backend(number), 1) for number in range(1, 8)]
        held.append(Backend(backend(9, zone="east"), 1))
        for one in held[:ZONE_DOWN_BACKENDS]:
            self.checks.suspect(one, Suspicion.UNANSWERED_OPENING, START)
            self.checks.apply_outcome(one, CheckOutcome.REFUSED, START + 0.01)
            self.checks.check_zone(held, ZONE, START + 0.01)
        self.assertEqual({one.record.identity for one in self.begun}, set(range(1, 8)))


class SuspicionTest(unittest.TestCase):
    """Observations that make a node check a backend."""

    def setUp(self) -> None:
        self.router = make_router(backend(1))
        self.suspicions: list[Suspicion] = []
        self.router.flows.on_suspicion = lambda held, why, now: self.suspicions.append(why)
        command = self.router.handle(opening(1), START)
        assert isinstance(command, ForwardPacket)
        self.token = command.token

    def send_request(self, now: float, sequence: int = 1) -> None:
        data = packet(1, token=self.token, sequence=sequence, data_length=9)
        self.router.handle(data, now)

    def test_an_opening_without_an_answer(self) -> None:
        self.router.advance(START + 0.2)
        self.assertEqual(self.suspicions, [Suspicion.UNANSWERED_OPENING])

    def test_a_request_that_is_repeated(self) -> None:
        self.send_request(START + 0.01)
        self.assertEqual(self.suspicions, [])
        self.send_request(START + 0.21)
        self.assertEqual(self.suspicions, [Suspicion.REPEATED_REQUEST])

    def test_a_request_that_neither_gets_an_answer_nor_is_repeated(self) -> None:
        self.send_request(START + 0.01)
        self.router.advance(START + 0.02 + QUIET_SECONDS)
        self.assertEqual(self.suspicions, [Suspicion.QUIET_REQUEST])

    def test_an_answer_prevents_a_suspicion(self) -> None:
        self.send_request(START + 0.01)
        self.router.handle(packet(1, token=self.token, acknowledged=900), START + 0.05)
        self.router.advance(START + 1.0)
        self.assertEqual(self.suspicions, [])


class EndingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = make_router(backend(1), backend(2, port=9000))
        self.tokens = {}
        for client in (1, 2, 3, 4):
            command = self.router.handle(opening(client), START)
            assert isinstance(command, ForwardPacket)
            self.tokens[client] = command
            opened = packet(client, token=command.token, acknowledged=70 + client)
            self.router.handle(opened, START + 0.01)

    def clients_at(self, identity: int) -> list[int]:
        return [client for client, at in self.tokens.items() if at.identity == identity]

    def held(self, identity: int) -> Backend:
        found = self.router.backends.find(backend(identity).name)
        assert found is not None
        return found

    def test_open_flows_of_a_dead_backend_are_reset_idle_ones_too(self) -> None:
        count = self.router.end_flows(self.held(1), RefusalReason.BACKEND_DOWN)
        self.assertEqual(count, 2)
        expected = {(packet(client).flow, 70 + client) for client in self.clients_at(1)}
        self.assertEqual({(reset.flow, reset.sequence) for reset in self.router.resets}, expected)
        self.assertEqual(self.held(1).open, 0)
        self.assertEqual(self.held(2).open, 2)

    def test_flows_of_a_backend_whose_address_was_reassigned_are_reset_at_once(self) -> None:
        self.router.backends.update(backend(7, "other", port=8001), 50, START + 5.0)
        self.assertEqual(len(self.router.resets), 2)
        self.assertEqual(
            {reset.reason for reset in self.router.resets}, {RefusalReason.BACKEND_ENDED}
        )

    def test_a_packet_for_a_dead_backend_is_answered_by_any_node(self) -> None:
        client = self.clients_at(1)[0]
        self.held(1).down_since = self.held(1).flows_lost_until = START + 1.0
        data = packet(client, token=self.tokens[client].token, data_length=9, acknowledged=5)
        command = self.router.handle(data, START + 1.1)
        assert isinstance(command, ResetFlow)
        self.assertEqual((command.reason, command.sequence), (RefusalReason.BACKEND_DOWN, 5))

    def test_a_flow_that_opens_at_a_backend_found_dead_is_not_reset(self) -> None:
        router = make_router(backend(1))
        held = next(iter(router.backends.all()))
        held.down_since = held.flows_lost_until = START
        for client, other_node in ((1, False), (2, True)):
            command = router.handle(opening(client), START + 0.1)
            assert isinstance(command, ForwardPacket)
            if other_node:
                router.flows.forget(packet(client).flow)
            for step in range(3):
                data = packet(client, token=command.token, sequence=step, data_length=9)
                forwarded = router.handle(data, START + 0.2 + step)
                self.assertIsInstance(forwarded, ForwardPacket)

    def test_a_dead_backend_gets_new_flows_only_where_no_other_is_left(self) -> None:
        self.held(1).down_since = START
        for client in range(20, 30):
            command = self.router.handle(opening(client), START + 1.0)
            assert isinstance(command, ForwardPacket)
            self.assertEqual(command.identity, 2)
        self.router.backends.remove(backend(2).name, START + 1.0)
        self.assertIsInstance(self.router.handle(opening(40), START + 1.0), ForwardPacket)


class CoreTest(unittest.TestCase):
    def test_a_flow_of_a_backend_found_dead_long_ago_waits_for_another_check(self) -> None:
        """A backend that is no longer listed is not checked again by itself."""
        core, begun = make_core_with_flow(), []
        core.checks.start_check = begun.append
        core.apply_backends(core.backends.replace([], 12), START + 1.0)
        core.checks.apply_outcome(begun[0], CheckOutcome.SILENT, START + 1.2)
        self.assertEqual(len(core.router.resets), 1)
        core.router.resets.clear()
        assert core.router.codec is not None
        token = core.router.codec.mint(packet(2).flow, begun[0].record.identity)
        for at in (30.0, 30.2):
            data = packet(2, token=token, sequence=1, data_length=9)
            self.assertIsInstance(core.router.handle(data, START + at), ForwardPacket)
        self.assertEqual(len(begun), 2)
        self.assertEqual(len(core.router.resets), 0)
        core.checks.apply_outcome(begun[1], CheckOutcome.REFUSED, START + 30.3)
        self.assertEqual(len(core.router.resets), 1)

    def test_a_report_of_a_peer_alone_ends_no_flow(self) -> None:
        core = make_core_with_flow()
        held = core.router.backends.find(backend(1).name)
        assert held is not None
        begun: list[Backend] = []
        core.checks.start_check = begun.append
        core.join_peers("10.0.0.1", ())
        core.handle_message("10.0.0.2", BackendsDown([backend(1).name]), START + 0.5)
        self.assertEqual((len(core.router.resets), begun), (0, [held]))
        core.checks.apply_outcome(held, CheckOutcome.SILENT, START + 1.0)
        self.assertEqual(len(core.router.resets), 1)

    def test_a_gone_backend_is_checked_where_flows_are_open(self) -> None:
        core = make_core_with_flow()
        begun: list[Backend] = []
        core.checks.start_check = begun.append
        changes = core.backends.replace([], 12)
        core.apply_backends(changes, START + 1.0)
        self.assertEqual([held.record.identity for held in begun], [1])


class ReferencesTest(unittest.TestCase):
    def test_references_were_alive_last_and_are_in_other_zones_if_possible(self) -> None:
        records = [backend(number, zone=zone) for number, zone in enumerate("aabbcc", 1)]
        core = make_core(ALL_MECHANISMS, *records, backend(7, zone="d"))
        held = {one.record.identity: one for one in core.router.backends.all()}
        for identity, alive_at in ((1, 9.0), (2, 8.0), (3, 5.0), (4, 6.0), (5, 4.0), (6, 7.0)):
            held[identity].last_alive_at = alive_at
        held[7].down_since = START
        found = core.checks.find_references(held[1])
        self.assertEqual([one.record.identity for one in found], [6, 4, 2])
        for identity in (3, 4, 5, 6):
            held[identity].down_since = START
        found = core.checks.find_references(held[1])
        self.assertEqual([one.record.identity for one in found], [2])


def make_core_with_flow() -> TokenCore:
    """Return a core with one open flow, at backend 1."""
    core = make_core(ALL_MECHANISMS, backend(1))
    command = core.router.handle(opening(1), START)
    assert isinstance(command, ForwardPacket)
    core.router.handle(packet(1, PacketKind.DATA, token=command.token), START + 0.01)
    return core


class FleetTest(unittest.TestCase):
    """Simulated fleets reset the flows of dead backends in time, and no others."""

    def run_outage(self, seed: int, *, dark: bool) -> TokenFleet:
        fleet = TokenFleet(seed, nodes=12, endpoints=24)
        fleet.run(6.0)
        plan = FlowPlan(requests=40, pause_seconds=0.3, deadline_seconds=3.0)
        for _ in range(120):
            fleet.clients.open_flow(1, plan)
            fleet.run(0.02)
        for endpoint in fleet.running_endpoints(SERVICES[0]):
            if endpoint.record.zone == ZONES[seed % 3]:
                fleet.crash_endpoint(endpoint)
                endpoint.dark = dark
        fleet.run(1.5)
        return fleet

    def test_clients_of_a_dead_zone_are_reset_within_1_5_seconds(self) -> None:
        for seed in range(3):
            for dark in (True, False):
                with self.subTest(seed=seed, dark=dark):
                    fleet = self.run_outage(seed, dark=dark)
                    dead = [one for one in fleet.endpoints.values() if not one.alive]
                    waiting = [
                        flow
                        for flow in fleet.clients.flows.values()
                        if any(one.model.holds(flow.source) for one in dead)
                    ]
                    self.assertEqual(waiting, [])
                    reset = [
                        flow for flow in fleet.clients.finished if flow.state is FlowState.RESET
                    ]
                    self.assertGreater(len(reset), 20)
                    self.assertEqual(fleet.oracle.violations, [])

    def test_flows_opened_at_restarted_backends_outlast_checks_of_the_former(self) -> None:
        """Nodes that leave hand such flows to nodes whose check met the former process."""
        for seed in (25, 26):
            with self.subTest(seed=seed):
                rng, fleet = random.Random(seed), TokenFleet(seed, nodes=5)
                fleet.run(6.0)
                for step in range(200):
                    plan = FlowPlan(rng.randrange(1, 8), rng.uniform(0.1, 0.8))
                    fleet.clients.open_flow(1, plan)
                    if step % 100 == 60:
                        fleet.suspend_store(3.0)
                        for endpoint in fleet.running_endpoints(SERVICES[0]):
                            fleet.restart_endpoint(endpoint, rng.uniform(0.0, 1.5))
                    if step % 15 == 10:
                        leave = rng.choice((fleet.kill_node, fleet.stop_node))
                        leave(rng.choice(sorted(fleet.nodes)))
                    fleet.run(0.05)
                self.assertEqual(fleet.oracle.violations, [])

    def test_a_node_without_peers_and_store_resets_no_flow(self) -> None:
        fleet = TokenFleet(9, nodes=7)
        fleet.run(6.0)
        for _ in range(60):
            fleet.clients.open_flow(1, FlowPlan(requests=10, pause_seconds=0.5))
            fleet.run(0.02)
        name = next(iter(fleet.nodes))
        fleet.cut_from_store(name, 6.0)
        fleet.cut_from_peers(name, 6.0)
        fleet.freeze_node(name, 3.0)
        fleet.run(10.0)
        self.assertEqual(fleet.oracle.violations, [])
        self.assertEqual([f for f in fleet.clients.finished if f.state is FlowState.RESET], [])

    def test_a_congested_node_resets_no_flow_of_a_living_backend(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = TokenFleet(seed, nodes=7)
                fleet.run(6.0)
                for _ in range(100):
                    fleet.clients.open_flow(1, FlowPlan(requests=20, pause_seconds=0.3))
                    fleet.run(0.02)
                for name in list(fleet.nodes)[:3]:
                    fleet.congest_node(name, delay=0.8, seconds=2.0)
                fleet.run(6.0)
                self.assertEqual(fleet.oracle.violations, [])
