"""One soak: traffic and faults drawn by chance from a seed, and what came of it."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from beamloom.simulation.tokens.oracle import Violation
from beamloom.soak.faults import SERIES_SECONDS, SoakFaults
from beamloom.soak.harness import SoakHarness
from beamloom.soak.signal_bursts import SignalBursts
from beamloom.standins.token_client import FlowPlan

OPENING_PERIOD_SECONDS = 0.05
LONGEST_FAULT_PAUSE_SECONDS = 4.0
QUIET_END_SECONDS = 10.0
SETTLE_SECONDS = 5.0
LONGEST_PLATFORM_PAUSE_SECONDS = 8.0
"""A store is back, and its writers have written again, after seven seconds at most. Within the
traffic of the shortest soak that tests play, 45 s, each of the platform's faults strikes.
"""
SIGNALS_SEED = 3
"""Added to a soak's own, as 1 and 2 are for the platform's faults."""
LONG_FLOWS = 6
LONG_REQUESTS = 40
LONGEST_REST_SECONDS = 0.8
"""Clients that ask again and again until the backend, and each node on their way, is gone."""


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """One soak; `folder` takes the nodes' settings and logs.

    Only faults of these kinds strike where `kinds` are named; planned changes always do. With
    `strikes_platform` the platform's own faults strike besides, each in a series with others.
    """

    seed: int
    duration: float
    nodes: int
    folder: Path
    kinds: frozenset[str] = frozenset()
    strikes_platform: bool = True


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What became of the flows, which faults struck when, and which promises broke.

    Times are in seconds since the first traffic.
    """

    flows: Counter[str]
    faults: list[str]
    violations: list[Violation]
    counters: Counter[str]


async def run_soak(options: SoakOptions) -> SoakResult:
    """Play one soak to its end; everything that it started is ended then."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    chance = random.Random(options.seed)
    harness = SoakHarness(options.folder, options.nodes, options.seed)
    try:
        await harness.start()
        faults = SoakFaults(harness, chance, options.kinds, seed=options.seed)
        if options.strikes_platform and not options.kinds:
            harness.spawn(_strike_platform(harness, faults, options))
            bursts = SignalBursts(harness, random.Random(options.seed + SIGNALS_SEED))
            harness.spawn(bursts.run(harness.now + options.duration - QUIET_END_SECONDS))
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


async def _strike_platform(harness: SoakHarness, faults: SoakFaults, options: SoakOptions) -> None:
    """Let the platform's own faults strike, and clients that stay for long ask on meanwhile."""
    chance = random.Random(options.seed + 2)
    last_fault = harness.now + options.duration - QUIET_END_SECONDS - SERIES_SECONDS
    await asyncio.sleep(SETTLE_SECONDS)
    while harness.now < last_fault:
        faults.strike_platform()
        for _ in range(LONG_FLOWS):
            harness.open_flow(FlowPlan(LONG_REQUESTS, chance.uniform(0.1, LONGEST_REST_SECONDS)))
        await asyncio.sleep(chance.uniform(1.0, LONGEST_PLATFORM_PAUSE_SECONDS))


def _result(harness: SoakHarness, faults: SoakFaults) -> SoakResult:
    flows = Counter(flow.state.value for flow in harness.finished)
    flows["answers"] = sum(len(flow.answers) for flow in harness.finished)
    for node in harness.nodes.values():
        status = node.exit_status
        if status is not None:
            detail = f"{node.name} does not run: exit status {status}; last {node.last_signal}"
            harness.oracle.report("process", harness.now, detail)
        elif node.misses:
            detail = f"{node.name} is not ready {QUIET_END_SECONDS:g} s after the last fault"
            harness.oracle.report("recovery", harness.now, detail)
    violations = [
        dataclasses.replace(violation, at=violation.at - faults.began_at)
        for violation in harness.oracle.violations
    ]
    return SoakResult(flows, faults.struck, violations, harness.oracle.counters)
