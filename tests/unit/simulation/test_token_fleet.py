"""The simulated token deployment: no violations under faults, and detection by the oracle."""

import unittest
from collections.abc import Callable
from unittest import mock

from beamloom.replication.store_view import StoreView
from beamloom.routing.tokens.backend_table import Backend, BackendTable
from beamloom.routing.tokens.packets import (
    ClientPacket,
    ForwardPacket,
    PacketKind,
    RefusalReason,
    ResetFlow,
    RouterCommand,
)
from beamloom.routing.tokens.route_table import RouteTable
from beamloom.routing.tokens.router import TokenRouter
from beamloom.routing.tokens.token import TokenCodec
from beamloom.simulation.tokens.deployment import ZONES
from beamloom.simulation.tokens.fleet import TokenFleet
from beamloom.simulation.tokens.run import TokenRunOptions, run_tokens
from beamloom.simulation.tokens.store_link import StoreFault
from beamloom.standins.token_client import FlowPlan, FlowState

FAULTLESS_SEEDS = range(1, 3)
FAULTY_SEEDS = range(100, 112)


class FaultsTest(unittest.TestCase):
    def test_run_without_faults_serves_every_flow(self) -> None:
        for seed in FAULTLESS_SEEDS:
            for steady in (True, False):
                result = run_tokens(TokenRunOptions(seed, faults=0, steady=steady, loss=0.0))
                self.assertEqual(result.violations, [])
                self.assertEqual(set(result.flows) - {"done", "answers", "unfinished"}, set())
                self.assertEqual(result.flows["unfinished"], 0)

    def test_no_violation_under_faults_with_either_kind_of_router(self) -> None:
        for seed in FAULTY_SEEDS:
            with self.subTest(seed=seed):
                options = TokenRunOptions(seed, faults=25, steady=seed % 2 == 0)
                result = run_tokens(options)
                self.assertEqual(result.violations, [])
                self.assertGreater(result.flows["done"], 0.9 * 600)

    def test_lost_late_and_repeated_opening_answers_break_no_flow(self) -> None:
        """Guards against a second backend that holds a flow half open and resets it later."""
        for seed in (100, 101):
            with self.subTest(seed=seed):
                options = TokenRunOptions(
                    seed, faults=12, loss=0.01, late=0.02, steady=seed % 2 == 0
                )
                result = run_tokens(options)
                self.assertEqual(result.violations, [])
                self.assertGreater(result.flows["done"], 0.9 * 600)

    def test_same_seed_gives_the_same_run(self) -> None:
        options = TokenRunOptions(5, faults=20)
        first, second = run_tokens(options), run_tokens(options)
        self.assertEqual(first, second)

    def test_open_flows_survive_a_kill_of_all_nodes(self) -> None:
        fleet = TokenFleet(seed=3)
        fleet.run(6.0)
        flows = [
            fleet.clients.open_flow(1, FlowPlan(requests=4, pause_seconds=1.0)) for _ in range(40)
        ]
        fleet.run(1.0)
        for name in list(fleet.nodes):
            fleet.kill_node(name)
        fleet.run(15.0)
        self.assertEqual({flow.state for flow in flows}, {FlowState.DONE})
        self.assertEqual({len(set(flow.answers)) for flow in flows}, {1})
        self.assertEqual(fleet.oracle.violations, [])

    def test_node_refused_by_the_store_receives_changes_from_peers(self) -> None:
        fleet = TokenFleet(seed=4)
        fleet.run(6.0)
        name = next(iter(fleet.nodes))
        fleet.refuse_node(name, 30.0)
        fleet.run(3.0)
        endpoint = fleet.running_endpoints("tracker")[0]
        fleet.drain_endpoint(endpoint)
        fleet.run(0.5)
        node = fleet.nodes[name]
        held = [
            backend
            for backend in node.core.router.backends.of_service("tracker")
            if backend.record.name == endpoint.record.name
        ]
        self.assertFalse(held[0].takes_flows)
        self.assertGreater(node.observer.counters["backend_peer"], 0)

    def test_all_nodes_apply_a_change_soon_after_a_silent_store(self) -> None:
        fleet = TokenFleet(seed=5)
        fleet.run(6.0)
        fleet.inject_store_fault(StoreFault.SILENT, 6.0)
        fleet.run(3.0)
        fleet.set_routes({key: frozenset({"labeller"}) for key in fleet.routes})
        fleet.run(3.0 + 2.5)
        versions = {node.core.router.routes.version for node in fleet.nodes.values()}
        self.assertEqual(versions, {fleet.version})

    def test_every_node_keeps_an_evacuation_when_the_readers_are_killed(self) -> None:
        for seed in range(3):
            fleet = TokenFleet(seed=seed, nodes=12, endpoints=18)
            fleet.run(6.0)
            zone = ZONES[seed]
            fleet.evacuate_zone(zone, 20.0)
            readers = [name for name, node in fleet.nodes.items() if node.core.role.reading]
            for name in readers:
                fleet.kill_node(name)
            for _ in range(100):
                fleet.clients.open_flow(1, FlowPlan(requests=1))
                fleet.run(0.1)
            self.assertEqual(fleet.oracle.violations, [])
            for name, node in fleet.nodes.items():
                assert node.core.evacuations is not None
                self.assertEqual(set(node.core.evacuations.evacuated_since), {zone}, name)

    def test_evacuation_survives_a_restart_of_all_nodes_and_a_lost_history(self) -> None:
        fleet = TokenFleet(seed=8, nodes=12, join_seconds=0.4)
        fleet.run(6.0)
        fleet.evacuate_zone(ZONES[0], 30.0)
        fleet.run(1.0)
        for name in list(fleet.nodes):
            fleet.kill_node(name)
        fleet.compact_store()
        fleet.run(4.0)
        for node in fleet.nodes.values():
            assert node.core.evacuations is not None
            self.assertEqual(set(node.core.evacuations.evacuated_since), {ZONES[0]})

    def test_store_calls_hardly_grow_with_the_fleet(self) -> None:
        calls = {}
        for nodes in (7, 40):
            fleet = TokenFleet(seed=6, nodes=nodes)
            fleet.run(10.0)
            before = fleet.link.calls
            fleet.run(30.0)
            calls[nodes] = fleet.link.calls - before
        self.assertLess(calls[7], 7 * 30)
        self.assertLess(calls[40], 1.5 * calls[7])


def _any_backend(
    _codec: TokenCodec, flow: bytes, _token: int, candidates: list[Backend]
) -> Backend | None:
    return candidates[0] if candidates else None


class BrokenCoresTest(unittest.TestCase):
    """Each patched core violates one rule on purpose; the oracle must report it."""

    def run_and_collect_rules(self, seeds: range, faults: int = 25) -> set[str]:
        results = [run_tokens(TokenRunOptions(seed, faults=faults)) for seed in seeds]
        return {violation.rule for result in results for violation in result.violations}

    def test_reset_of_an_open_flow_is_reported(self) -> None:
        original = TokenRouter.handle

        def reset_unknown(router: TokenRouter, packet: ClientPacket, now: float) -> RouterCommand:
            command = original(router, packet, now)
            acknowledges = packet.kind is PacketKind.DATA and not packet.data_length
            if isinstance(command, ForwardPacket) and acknowledges and packet.flow[5] == 7:
                return ResetFlow(packet.flow, RefusalReason.NO_BACKEND)
            return command

        with mock.patch.object(TokenRouter, "handle", reset_unknown):
            self.assertIn("flow", self.run_and_collect_rules(range(1, 2), faults=0))

    def test_ignored_drains_are_reported(self) -> None:
        with mock.patch.object(BackendTable, "remove", lambda *_, **__: None):
            original = BackendTable.update

            def only_ready(table: BackendTable, record: object, revision: int, now: float) -> bool:
                if record.state.value == "draining":  # type: ignore[attr-defined]
                    return False
                return original(table, record, revision, now)  # type: ignore[arg-type]

            with mock.patch.object(BackendTable, "update", only_ready):
                self.assertIn("drain", self.run_and_collect_rules(range(100, 108)))

    def test_outdated_configuration_is_reported(self) -> None:
        original = RouteTable.activate

        def only_first(table: RouteTable, configuration: object) -> bool:
            return table.version < 0 and original(table, configuration)  # type: ignore[arg-type]

        with mock.patch.object(RouteTable, "activate", only_first):
            self.assertIn("configuration", self.run_and_collect_rules(range(100, 104)))

    def test_ignored_evacuation_is_reported(self) -> None:
        with mock.patch.object(BackendTable, "evacuate", lambda *_: None):
            self.assertIn("evacuation", self.run_and_collect_rules(range(100, 104)))

    def test_refusals_despite_a_route_are_reported(self) -> None:
        def refuse(_router: TokenRouter, packet: ClientPacket, *_: object) -> RouterCommand:
            return ResetFlow(packet.flow, RefusalReason.NO_ROUTE)

        with mock.patch.object(TokenRouter, "_open", refuse):
            self.assertIn("configuration", self.run_and_collect_rules(range(1, 2), faults=0))

    def test_altered_packets_are_reported(self) -> None:
        from beamloom.platform import packet_layout

        original: Callable[[ForwardPacket], bytes] = packet_layout.encode_forward

        def alter(command: ForwardPacket) -> bytes:
            data = original(command)
            return data[:-1] + b"!" if command.packet.data_length else data

        with mock.patch.object(packet_layout, "encode_forward", alter):
            self.assertIn("unasked", self.run_and_collect_rules(range(1, 2), faults=0))

    def test_view_that_discards_changes_is_reported(self) -> None:
        original = StoreView.apply

        def discard_changes(
            view: StoreView[object], changes: object, revision: int
        ) -> tuple[object, ...]:
            original(view, (), revision)
            return ()

        with mock.patch.object(StoreView, "apply", discard_changes):
            rules = self.run_and_collect_rules(range(100, 104))
        self.assertTrue(rules & {"drain", "configuration"})
