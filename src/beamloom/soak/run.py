"""One soak: traffic and faults drawn by chance from a seed, and what came of it."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from beamloom.simulation.tokens.changes import DeploymentChanges
from beamloom.simulation.tokens.oracle import Violation
from beamloom.soak.harness import SoakHarness
from beamloom.soak.proxy import ProxyFault
from beamloom.standins.token_client import FlowPlan

OPENING_PERIOD_SECONDS = 0.05
LONGEST_FAULT_PAUSE_SECONDS = 4.0
SHARE_OF_CHANGES = 0.4
CHANGES = ("drain", "reuse", "route", "evacuate")
"""Planned changes, which nodes must follow in time; they disturb nobody."""
QUIET_END_SECONDS = 10.0
SETTLE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """One soak; `folder` takes the nodes' settings and logs."""

    seed: int
    duration: float
    nodes: int
    folder: Path


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What became of the flows, which faults struck when, and which promises broke."""

    flows: Counter[str]
    faults: list[str]
    violations: list[Violation]
    counters: Counter[str]


class SoakFaults:
    """The faults by name; each acts on a harness."""

    def __init__(self, harness: SoakHarness, chance: random.Random) -> None:
        self.struck: list[str] = []
        self._harness = harness
        self._chance = chance
        self._began = harness.now
        way = self._disturb_way
        store = harness.platform.disturb_store
        self._kinds: dict[str, Callable[[], None]] = {
            "kill": lambda: harness.kill(self._node()),
            "kill_all": self._kill_all,
            "stop": lambda: harness.stop(self._node()),
            "pause": lambda: harness.pause(self._node(), 4.0),
            "reload": lambda: harness.nodes[self._node()].send(signal.SIGHUP),
            "way_refused": lambda: way(ProxyFault.REFUSE),
            "way_cut": lambda: way(ProxyFault.CUT),
            "way_cut_answers": lambda: way(ProxyFault.CUT_ANSWERS),
            "way_delayed": lambda: way(ProxyFault.DELAY),
            "way_reset": self._reset_way,
            "store_unavailable": lambda: store("unavailable", True, 4.0),
            "store_silent": lambda: store("silent", True, 4.0),
            "store_throttled": lambda: store("throttled", True, 3.0),
            "store_slow": lambda: store("delay_seconds", 0.3, 4.0),
            "compaction": harness.platform.server.store.forget_history,
            **DeploymentChanges(harness.platform, chance).kinds,
        }

    def strike(self) -> None:
        """Let one fault strike now."""
        names = CHANGES if self._chance.random() < SHARE_OF_CHANGES else sorted(self._kinds)
        name = self._chance.choice(names)
        self.struck.append(f"{self._harness.now - self._began:.1f} {name}")
        self._kinds[name]()

    def _node(self) -> str:
        return self._chance.choice(sorted(self._harness.nodes))

    def _kill_all(self) -> None:
        for name in self._harness.nodes:
            self._harness.kill(name)

    def _disturb_way(self, fault: ProxyFault) -> None:
        self._harness.disturb_way(self._node(), fault, 4.0)

    def _reset_way(self) -> None:
        name = self._node()
        self._harness.note_disturbed(name, 0.0)
        self._harness.proxies[name].reset_connections()


async def run_soak(options: SoakOptions) -> SoakResult:
    """Play one soak to its end; everything that it started is ended then."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    chance = random.Random(options.seed)
    harness = SoakHarness(options.folder, options.nodes, options.seed)
    try:
        await harness.start()
        faults = SoakFaults(harness, chance)
        await _play(harness, faults, chance, options.duration)
        return _result(harness, faults)
    finally:
        await harness.close()


async def _play(
    harness: SoakHarness, faults: SoakFaults, chance: random.Random, duration: float
) -> None:
    end = harness.now + duration
    last_fault = end - QUIET_END_SECONDS
    next_fault = harness.now + SETTLE_SECONDS
    while harness.now < end:
        plan = FlowPlan(requests=chance.randrange(1, 6), rest_seconds=chance.uniform(0.2, 3.0))
        harness.open_flow(plan)
        if next_fault <= harness.now < last_fault:
            faults.strike()
            next_fault = harness.now + chance.uniform(0.3, LONGEST_FAULT_PAUSE_SECONDS)
        await asyncio.sleep(OPENING_PERIOD_SECONDS)
    await asyncio.sleep(QUIET_END_SECONDS / 2)


def _result(harness: SoakHarness, faults: SoakFaults) -> SoakResult:
    flows = Counter(flow.state.value for flow in harness.finished)
    flows["answers"] = sum(len(flow.answers) for flow in harness.finished)
    for node in harness.nodes.values():
        status = node.exit_status
        if status is not None:
            detail = f"{node.name} does not run: exit status {status}"
            harness.oracle.report("process", harness.now, detail)
        elif node.misses:
            detail = f"{node.name} is not ready {QUIET_END_SECONDS:g} s after the last fault"
            harness.oracle.report("recovery", harness.now, detail)
    return SoakResult(flows, faults.struck, harness.oracle.violations, harness.oracle.counters)
