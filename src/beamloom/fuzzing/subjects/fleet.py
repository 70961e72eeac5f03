"""Checks a simulated fleet under operations and faults with the simulator's oracle."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from beamloom.fuzzing.errors import InvariantViolationError
from beamloom.simulation.deployment import VAKATALE
from beamloom.simulation.fleet import CoreFactory, product_core
from beamloom.simulation.network import PathCondition
from beamloom.simulation.scenario import Scenario, ScenarioContext
from beamloom.simulation.scenarios.platform import SCOPES, SETTING
from beamloom.simulation.simulation import SETTLE_SECONDS, RunOptions, Simulation
from beamloom.simulation.traffic import ClientEdge
from beamloom.standins.platform_faults import FaultPlan

READY_SECONDS = 3.0
"""Virtual time for a new fleet to load its configuration before the first step."""
MINIMUM_NODES = 2
"""A balancer is stopped or crashed only while more than this many are running."""
MINIMUM_BACKENDS = 2
"""A backend is drained only while more than this many of its service have no accepted drain."""
RACING_OPERATORS = 3
"""Number of operators that change one setting at the same time."""


def _schedule_nothing(context: ScenarioContext) -> None:
    """Schedule nothing, as the steps trigger all operations and faults."""


class FleetSubject:
    """A fleet that the first step starts; later steps name nodes and backends by index."""

    def __init__(self, core_factory: CoreFactory = product_core) -> None:
        self._core_factory = core_factory
        self._simulation: Simulation | None = None
        self._faults_enabled = True

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """Requests of clients, operations, and faults of nodes, the network and the store."""
        return {
            "begin": self._begin,
            "let_time_pass": self._let_time_pass,
            "open_streams": self._open_streams,
            "send_requests": self._send_requests,
            "start_node": self._start_node,
            "stop_node": self._stop_node,
            "crash_node": partial(self._inject_fault, self._crash_node),
            "pause_node": partial(self._inject_fault, self._pause_node),
            "isolate_node": partial(self._inject_fault, self._isolate_node),
            "deafen_node": partial(self._inject_fault, self._deafen_node),
            "lose_datagrams": partial(self._inject_fault, self._lose_datagrams),
            "drain_backend": self._drain_backend,
            "add_backend": self._add_backend,
            "change_setting": self._change_setting,
            "race_operators": self._race_operators,
            "stop_store": self._stop_store,
            "slow_store": self._slow_store,
            "lose_store_answers": self._lose_store_answers,
        }

    def finish(self) -> None:
        """Let requests in progress end, and check the invariants a last time."""
        if self._simulation is not None:
            self._let_time_pass(SETTLE_SECONDS)

    @property
    def _active_simulation(self) -> Simulation:
        """The simulation; a default one is started if no `begin` came first."""
        if self._simulation is None:
            self._begin(1, MINIMUM_NODES, failures=True)
        assert self._simulation is not None
        return self._simulation

    @property
    def _context(self) -> ScenarioContext:
        return self._active_simulation.context

    def _begin(self, seed: int, nodes: int, failures: bool) -> None:
        """Start the fleet.

        Without `failures`, steps that cause faults of nodes or the network do nothing, so that no
        fault excuses a broken flow.
        """
        self._faults_enabled = failures
        scenario = Scenario(
            "fuzz", "Operations and faults of the fuzzing steps.", _schedule_nothing
        )
        options = RunOptions(seed=seed, nodes=nodes, flows=0, core_factory=self._core_factory)
        self._simulation = Simulation(scenario, options)
        self._let_time_pass(READY_SECONDS)

    def _let_time_pass(self, seconds: float) -> None:
        clock = self._active_simulation.fleet.clock
        clock.run_until(clock.now + seconds)
        violations = self._active_simulation.violations()
        if violations:
            first = violations[0]
            raise InvariantViolationError(
                f"{first.invariant} at {first.time:.3f} s, {first.subject}: {first.detail} "
                f"({len(violations)} in all)"
            )

    def _inject_fault(self, fault: Callable[..., None], **arguments: Any) -> None:  # noqa: ANN401
        if self._faults_enabled:
            fault(**arguments)

    # -- clients -------------------------------------------------------------------------------

    def _edge(self) -> ClientEdge:
        return self._context.fleet.edges[VAKATALE.region]

    def _open_streams(self, service: int, count: int) -> None:
        for _ in range(count):
            self._context.workload.open_stream(self._edge(), VAKATALE.services[service])

    def _send_requests(self, service: int, count: int) -> None:
        for _ in range(count):
            self._context.workload.send_request(self._edge(), VAKATALE.services[service])

    # -- balancers -----------------------------------------------------------------------------

    def _node_name(self, index: int) -> str:
        running = self._context.fleet.running_nodes()
        return running[index % len(running)].name

    def _may_remove_node(self) -> bool:
        return len(self._context.fleet.running_nodes()) > MINIMUM_NODES

    def _start_node(self) -> None:
        self._context.operations.start_node()

    def _stop_node(self, node: int) -> None:
        if self._may_remove_node():
            self._context.operations.stop_node(self._node_name(node))

    def _crash_node(self, node: int) -> None:
        if self._may_remove_node():
            self._context.faults.crash_node(self._node_name(node))

    def _pause_node(self, node: int, seconds: float) -> None:
        self._context.faults.pause_node(self._node_name(node), seconds)

    def _isolate_node(self, node: int, seconds: float) -> None:
        self._context.faults.isolate_node(self._node_name(node), seconds)

    def _deafen_node(self, node: int, seconds: float) -> None:
        self._context.faults.deafen_node(self._node_name(node), seconds)

    def _lose_datagrams(self, loss: float, seconds: float) -> None:
        condition = PathCondition(loss=loss, duplication=loss, reordering=loss, jitter=0.002)
        self._context.faults.disturb_network(condition, seconds)

    # -- operators -----------------------------------------------------------------------------

    def _drain_backend(self, service: int, backend: int) -> None:
        chosen = VAKATALE.services[service]
        drained = {drain.backend_id for drain in self._context.operations.drains}
        undrained = [
            name
            for name, placed in self._context.fleet.backends.items()
            if placed.placed.service == chosen and name not in drained
        ]
        if len(undrained) > MINIMUM_BACKENDS:
            self._context.operations.drain_backend(undrained[backend % len(undrained)])

    def _add_backend(self, service: int, cold_seconds: float) -> None:
        self._context.operations.add_backend(VAKATALE, VAKATALE.services[service], cold_seconds)

    def _change_setting(self, scope: int, bound: float) -> None:
        self._context.operations.change_setting(SCOPES[1:][scope], SETTING, bound)

    def _race_operators(self, scope: int, bound: float) -> None:
        for operator in range(RACING_OPERATORS):
            self._change_setting(scope, round(bound + operator / 100, 3))

    # -- the platform --------------------------------------------------------------------------

    def _stop_store(self, seconds: float) -> None:
        self._context.faults.disturb_store(FaultPlan(down=True), seconds)

    def _slow_store(self, delay: float, seconds: float) -> None:
        self._context.faults.disturb_store(FaultPlan(delay_seconds=delay), seconds)

    def _lose_store_answers(self, seconds: float) -> None:
        self._context.faults.disturb_store(FaultPlan(lost_answer_probability=0.5), seconds)
