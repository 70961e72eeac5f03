"""One run of one scenario, from its options to its result."""

from __future__ import annotations

from dataclasses import dataclass, replace

from beamloom.simulation.faults import FaultInjector
from beamloom.simulation.fleet import CoreFactory, Fleet, FleetOptions, product_core
from beamloom.simulation.observations import (
    AcceptedRevision,
    Observations,
    ObservedBackend,
    ObservedFlow,
    RevisionInForce,
)
from beamloom.simulation.operations import Operations
from beamloom.simulation.oracle import Violation, judge
from beamloom.simulation.report import (
    GoalOutcome,
    SimulationResult,
    control_summary,
    in_force_summary,
)
from beamloom.simulation.scenario import Scenario, ScenarioContext
from beamloom.simulation.workload import Workload, WorkloadOptions
from beamloom.standins.client_model import Outcome

STATUS_SECONDS = 0.5
"""How often operators look at which balancers serve."""
SETTLE_SECONDS = 10.0
"""How long the run goes on after its duration, so that what is in progress can end."""
REQUESTS_PER_FLOW = 0.01
"""Single requests per second for each long flow, up to `MAXIMUM_REQUESTS_PER_SECOND`."""
MAXIMUM_REQUESTS_PER_SECOND = 10.0
UPDATE_INTERVALS = (10.0, 30.0)
"""Shortest and longest time between two updates of one long flow, in seconds."""
UPDATES_PER_SECOND = 50.0
"""Updates of all long flows together, as far as the intervals allow: large fleets update less."""
MINIMUM_MEAN_FLOWS = 5.0
"""Open flows per backend below which a service's imbalance says nothing."""


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options of one run; zero for `duration` or `requests_per_second` means the default."""

    seed: int = 1
    nodes: int = 6
    flows: int = 500
    duration: float = 0.0
    placement: str = "home"
    core_factory: CoreFactory = product_core
    document_seconds: float = 0.005
    requests_per_second: float = 0.0


class Simulation:
    """Joins a fleet, its traffic, a scenario and what is observed of them."""

    def __init__(self, scenario: Scenario, options: RunOptions) -> None:
        self.scenario = scenario
        self.options = options
        self.duration = options.duration or scenario.duration
        self.seen = Observations()
        self.fleet = Fleet(
            FleetOptions(
                options.seed,
                scenario.sites,
                options.nodes,
                options.core_factory,
                options.document_seconds,
            )
        )
        self._known_revision = self.fleet.store.revision
        self._observe_fleet()
        faults = FaultInjector(self.fleet, self.seen)
        self._crashed_backends = faults.crashed_backends
        self.context = ScenarioContext(
            self.fleet,
            Operations(self.fleet, self.seen),
            faults,
            self._workload(),
            self.duration,
            self.fleet.random("scenario", scenario.name),
        )
        scenario.schedule(self.context)

    def _workload(self) -> Workload:
        flows = self.options.flows
        rate = min(flows * REQUESTS_PER_FLOW, MAXIMUM_REQUESTS_PER_SECOND)
        shortest, longest = UPDATE_INTERVALS
        options = WorkloadOptions(
            flows,
            update_interval=min(max(flows / UPDATES_PER_SECOND, shortest), longest),
            requests_per_second=self.options.requests_per_second or rate,
            duration=self.duration,
        )
        edges = list(self.fleet.edges.values())
        rng = self.fleet.random("workload")
        return Workload(self.fleet.clock, edges, options, rng, self.seen.flows.append)

    def _observe_fleet(self) -> None:
        for backend_id, backend in self.fleet.backends.items():
            service_id = backend.placed.service.service_id
            self.seen.backends.append(ObservedBackend(backend_id, service_id, backend.model.truth))
        self.fleet.store.add_listener(self._store_changed)
        self._look_at_nodes()

    def _store_changed(self) -> None:
        """Note what operators wrote; leases of balancers are no operator's business."""
        now = self.fleet.clock.now
        for stored in self.fleet.store.list_objects().objects:
            if stored.revision > self._known_revision and not stored.key.startswith("lease/"):
                self.seen.accepted.append(AcceptedRevision(stored.revision, now))
        self._known_revision = self.fleet.store.revision

    def _look_at_nodes(self) -> None:
        for name, node in self.fleet.nodes.items():
            life = self.seen.life(name)
            if life.serving_from is None and node.serves:
                life.serving_from = self.fleet.clock.now
        self.fleet.clock.call_later(STATUS_SECONDS, self._look_at_nodes)

    def run(self) -> SimulationResult:
        """Run to the end and judge what was seen."""
        self.fleet.clock.run_until(self.duration)
        imbalances = self._imbalances()
        self.fleet.clock.run_until(self.duration + SETTLE_SECONDS)
        return self._result(imbalances)

    def violations(self) -> list[Violation]:
        """Judge what was seen until now."""
        self.seen.ended_at = self.fleet.clock.now
        self.seen.in_force = [
            RevisionInForce(item.node, item.revision, item.time)
            for item in self.fleet.measurements.in_force
        ]
        return judge(self.seen)

    def _result(self, imbalances: list[float]) -> SimulationResult:
        violations = self.violations()
        measured = self.fleet.measurements
        flows = [flow for flow in self.seen.flows if flow.truth.established_at is not None]
        seconds = [
            max(time - accepted.time, 0.0)
            for accepted, _, time in self.seen.in_force_times()
            if time is not None
        ]
        result = SimulationResult(
            scenario=self.scenario.name,
            seed=self.options.seed,
            placement=self.options.placement,
            nodes=self.options.nodes,
            duration=self.duration,
            flows=len(flows),
            broken_flows=sum(self._broke(flow) for flow in flows),
            refused_flows=sum(flow.truth.outcome is Outcome.REFUSED for flow in self.seen.flows),
            imbalance=round(max(imbalances, default=1.0), 4),
            imbalance_services=len(imbalances),
            violations=tuple(violations),
            config_in_force_seconds=in_force_summary(seconds),
            control_bytes_per_second=control_summary(measured.control_windows()),
            goals=(),
            packets=measured.packets,
            digest=measured.digest,
        )
        return self._with_goals(result)

    def _with_goals(self, result: SimulationResult) -> SimulationResult:
        outcomes = [GoalOutcome(goal.name, goal.met(result)) for goal in self.scenario.goals]
        return replace(result, goals=tuple(outcomes))

    def _broke(self, flow: ObservedFlow) -> bool:
        """Whether a flow broke although its backend lives."""
        return flow.truth.broken and not self._crashed_backends.intersection(flow.truth.backends)

    def _imbalances(self) -> list[float]:
        """Return max/mean of open flows over active, living backends, by service with enough."""
        drained = {drain.backend_id for drain in self.seen.drains}
        counts: dict[str, list[int]] = {}
        for backend_id, backend in self.fleet.backends.items():
            if backend.host.running and backend_id not in drained:
                service_id = backend.placed.service.service_id
                counts.setdefault(service_id, []).append(backend.model.open_connections)
        means = {service_id: sum(found) / len(found) for service_id, found in counts.items()}
        return [
            max(counts[service_id]) / mean
            for service_id, mean in means.items()
            if mean >= MINIMUM_MEAN_FLOWS
        ]


def simulate(scenario: Scenario, options: RunOptions) -> SimulationResult:
    """Run a scenario and return its result."""
    return Simulation(scenario, options).run()
