"""Runs of the simulated deployment: traffic, random faults and the results."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from beamloom.simulation.tokens.changes import DeploymentChanges
from beamloom.simulation.tokens.deployment import ZONES
from beamloom.simulation.tokens.fleet import TokenFleet
from beamloom.simulation.tokens.oracle import Violation
from beamloom.simulation.tokens.store_link import StoreFault
from beamloom.standins.token_client import FlowPlan, FlowState

SETTLE_SECONDS = 6.0
QUIET_END_SECONDS = 10.0
OPENING_INTERVAL_SECONDS = 0.1
BRIEF_CUTS = 4
BRIEF_CUT_SECONDS = (0.3, 2.0)
BRIEF_CUT_PAUSE_SECONDS = (0.1, 0.5)


@dataclass(frozen=True, slots=True)
class TokenRunOptions:
    """Options of one run, with `faults` faults at random times.

    ClientSide documents `steady`, `loss` and `late`. In addition, the store is restored from an
    older copy `restores` times. Without `reports_era` its answers do not carry its era.
    """

    seed: int
    duration: float = 60.0
    faults: int = 12
    nodes: int = 7
    steady: bool = True
    loss: float = 0.001
    late: float = 0.0
    restores: int = 0
    reports_era: bool = True


@dataclass(frozen=True, slots=True)
class TokenRunResult:
    """Counts of flows by final state, injected faults with their times, and violations."""

    flows: Counter[str]
    faults: list[str]
    violations: list[Violation]
    store_calls: int
    counters: Counter[str]


class FaultSchedule:
    """Injects random faults into a fleet; `injected` lists them with their times."""

    def __init__(self, fleet: TokenFleet, rng: random.Random) -> None:
        self.injected: list[str] = []
        self._fleet = fleet
        self._rng = rng
        self._kinds: dict[str, Callable[[], None]] = {
            "kill": lambda: fleet.kill_node(self._pick_node()),
            "stop": lambda: fleet.stop_node(self._pick_node()),
            "freeze": lambda: fleet.freeze_node(self._pick_node(), 4.0),
            "brief_cuts": self._cut_briefly,
            "cut_from_store": lambda: fleet.cut_from_store(self._pick_node(), 5.0),
            "refused_by_store": lambda: fleet.refuse_node(self._pick_node(), 6.0),
            "cut_from_peers": lambda: fleet.cut_from_peers(self._pick_node(), 5.0),
            "kill_half": self._kill_half,
            "add_node": self._add_node,
            "store_silent": lambda: fleet.inject_store_fault(StoreFault.SILENT, 4.0),
            "store_refuses": lambda: fleet.inject_store_fault(StoreFault.REFUSES, 4.0),
            "compaction": fleet.compact_store,
            **DeploymentChanges(fleet, rng).kinds,
        }

    def inject(self) -> None:
        """Inject one random fault now."""
        name = self._rng.choice(sorted(self._kinds))
        self.injected.append(f"{self._fleet.clock.now:.2f} {name}")
        self._kinds[name]()

    def _pick_node(self) -> str:
        running = [
            name for name, node in self._fleet.nodes.items() if node.alive and not node.stopping
        ]
        return self._rng.choice(sorted(running or self._fleet.nodes))

    def _cut_briefly(self) -> None:
        """Cut a node from the store several times, so that answers arrive late but in time."""
        name, delay = self._pick_node(), 0.0
        for _ in range(BRIEF_CUTS):
            seconds = self._rng.uniform(*BRIEF_CUT_SECONDS)
            self._fleet.clock.call_later(delay, self._cut_if_running, name, seconds)
            delay += seconds + self._rng.uniform(*BRIEF_CUT_PAUSE_SECONDS)

    def _cut_if_running(self, name: str, seconds: float) -> None:
        if name in self._fleet.nodes:
            self._fleet.cut_from_store(name, seconds)

    def _add_node(self) -> None:
        self._fleet.add_node(self._rng.choice(ZONES))

    def _kill_half(self) -> None:
        names = sorted(self._fleet.nodes)
        for name in self._rng.sample(names, len(names) // 2):
            self._fleet.kill_node(name)


def run_tokens(options: TokenRunOptions) -> TokenRunResult:
    """Execute one run; the same options give the same result."""
    fleet = TokenFleet(
        options.seed,
        nodes=options.nodes,
        steady=options.steady,
        loss=options.loss,
        late=options.late,
    )
    fleet.link.reports_era = options.reports_era
    rng = random.Random(options.seed + 1)
    schedule = FaultSchedule(fleet, rng)
    fleet.run(SETTLE_SECONDS)
    end = fleet.clock.now + options.duration
    for _ in range(options.faults):
        fleet.clock.call_later(
            rng.uniform(0.0, max(0.0, options.duration - QUIET_END_SECONDS)), schedule.inject
        )
    _schedule_restores(fleet, options, schedule)
    while fleet.clock.now < end:
        plan = FlowPlan(requests=rng.randrange(1, 6), pause_seconds=rng.uniform(0.2, 3.0))
        fleet.clients.open_flow(rng.choice((1, 2)), plan)
        fleet.run(OPENING_INTERVAL_SECONDS)
    fleet.run(QUIET_END_SECONDS)
    flows = Counter(flow.state.value for flow in fleet.clients.finished)
    flows["answers"] = sum(len(flow.answers) for flow in fleet.clients.finished)
    flows["unfinished"] = sum(
        flow.state is not FlowState.DONE for flow in fleet.clients.flows.values()
    )
    violations = fleet.oracle.violations
    return TokenRunResult(
        flows, schedule.injected, violations, fleet.link.calls, fleet.oracle.counters
    )


def _schedule_restores(
    fleet: TokenFleet, options: TokenRunOptions, schedule: FaultSchedule
) -> None:
    """Schedule restores with a generator of their own, so that the other faults stay the same."""
    if not options.restores:
        return
    rng = random.Random(options.seed + 2)
    restores = fleet.make_restorable(rng)

    def restore() -> None:
        schedule.injected.append(f"{fleet.clock.now:.2f} store_restored")
        restores.restore_at_random()

    for _ in range(options.restores):
        fleet.clock.call_later(
            rng.uniform(0.0, max(0.0, options.duration - QUIET_END_SECONDS)), restore
        )
