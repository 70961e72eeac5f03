"""Runs one scenario and computes its result."""

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
from beamloom.simulation.oracle import Violation, find_violations
from beamloom.simulation.report import (
    GoalOutcome,
    SimulationResult,
    control_summary,
    in_force_summary,
)
from beamloom.simulation.scenario import Scenario, ScenarioContext
from beamloom.simulation.workload import Workload, WorkloadOptions
from beamloom.standins.client_model import Outcome

STATUS_POLL_SECONDS = 0.5
"""Interval at which it is recorded which balancers serve."""
SETTLE_SECONDS = 10.0
"""Seconds that a run continues after its duration, to let requests in progress end."""
REQUESTS_PER_FLOW = 0.01
"""Single requests per second for each stream, up to `MAXIMUM_REQUESTS_PER_SECOND` in all."""
MAXIMUM_REQUESTS_PER_SECOND = 10.0
UPDATE_INTERVALS = (10.0, 30.0)
"""Minimum and maximum interval between the updates of one stream, in seconds."""
UPDATES_PER_SECOND = 50.0
"""Target rate of the updates of all streams together, within the limits of the interval."""
MINIMUM_MEAN_FLOWS = 5.0
"""Mean of open flows per backend below which no imbalance is computed for a service."""


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
    """A fleet with its traffic, its scenario and the observations of the run."""

    def __init__(self, scenario: Scenario, options: RunOptions) -> None:
        self.scenario = scenario
        self.options = options
        self.duration = options.duration or scenario.duration
        self.observations = Observations()
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
        self._start_observing()
        faults = FaultInjector(self.fleet, self.observations)
        self._crashed_backends = faults.crashed_backends
        self.context = ScenarioContext(
            self.fleet,
            Operations(self.fleet, self.observations),
            faults,
            self._create_workload(),
            self.duration,
            self.fleet.new_rng("scenario", scenario.name),
        )
        scenario.schedule(self.context)

    def _create_workload(self) -> Workload:
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
        rng = self.fleet.new_rng("workload")
        return Workload(self.fleet.clock, edges, options, rng, self.observations.flows.append)

    def _start_observing(self) -> None:
        for backend_id, backend in self.fleet.backends.items():
            service_id = backend.placed.service.service_id
            self.observations.backends.append(
                ObservedBackend(backend_id, service_id, backend.model.truth)
            )
        self.fleet.store.add_listener(self._store_changed)
        self._record_serving_nodes()

    def _store_changed(self) -> None:
        """Record what operators wrote; balancers' leases, the keys in `lease/`, are skipped."""
        now = self.fleet.clock.now
        for stored in self.fleet.store.list_objects().objects:
            if stored.revision > self._known_revision and not stored.key.startswith("lease/"):
                self.observations.accepted.append(AcceptedRevision(stored.revision, now))
        self._known_revision = self.fleet.store.revision

    def _record_serving_nodes(self) -> None:
        for name, node in self.fleet.nodes.items():
            lifetime = self.observations.lifetime(name)
            if lifetime.serving_from is None and node.serving:
                lifetime.serving_from = self.fleet.clock.now
        self.fleet.clock.call_later(STATUS_POLL_SECONDS, self._record_serving_nodes)

    def run(self) -> SimulationResult:
        """Run to the end and return the result."""
        self.fleet.clock.run_until(self.duration)
        imbalances = self._imbalances()
        self.fleet.clock.run_until(self.duration + SETTLE_SECONDS)
        return self._build_result(imbalances)

    def violations(self) -> list[Violation]:
        """Return the violations of what was observed so far."""
        self.observations.ended_at = self.fleet.clock.now
        self.observations.in_force = [
            RevisionInForce(item.node, item.revision, item.time)
            for item in self.fleet.measurements.in_force
        ]
        return find_violations(self.observations)

    def _build_result(self, imbalances: list[float]) -> SimulationResult:
        violations = self.violations()
        measured = self.fleet.measurements
        flows = [flow for flow in self.observations.flows if flow.truth.established_at is not None]
        seconds = [
            max(time - accepted.time, 0.0)
            for accepted, _, time in self.observations.in_force_times()
            if time is not None
        ]
        result = SimulationResult(
            scenario=self.scenario.name,
            seed=self.options.seed,
            placement=self.options.placement,
            nodes=self.options.nodes,
            duration=self.duration,
            flows=len(flows),
            broken_flows=sum(self._counts_as_broken(flow) for flow in flows),
            refused_flows=sum(
                flow.truth.outcome is Outcome.REFUSED for flow in self.observations.flows
            ),
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

    def _counts_as_broken(self, flow: ObservedFlow) -> bool:
        """Whether a flow broke and none of its backends crashed."""
        return flow.truth.broken and not self._crashed_backends.intersection(flow.truth.backends)

    def _imbalances(self) -> list[float]:
        """Return max/mean of open flows per backend, for each service with enough flows.

        Crashed and draining backends are left out.
        """
        drained = {drain.backend_id for drain in self.observations.drains}
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
