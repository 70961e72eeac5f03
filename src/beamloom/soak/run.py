"""Runs one soak: traffic and faults drawn from a seed, and the results."""

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

OPENING_INTERVAL_SECONDS = 0.05
MAXIMUM_FAULT_INTERVAL_SECONDS = 4.0
QUIET_END_SECONDS = 10.0
SETTLE_SECONDS = 5.0
MAXIMUM_PLATFORM_INTERVAL_SECONDS = 8.0
"""A restore and the writes after it take up to 7 s. In a soak of 45 s, as in the tests, there is
time for each of the platform's faults.
"""
SIGNALS_SEED_OFFSET = 3
"""Added to the soak's seed; 1 and 2 are added for the platform's faults."""
CONGESTION_SEED_OFFSET = 4
UPGRADE_SEED_OFFSET = 5
LONG_FLOWS = 6
LONG_FLOW_REQUESTS = 40
MAXIMUM_REQUEST_PAUSE_SECONDS = 0.8
"""Flows with many requests, which may outlast their endpoint and the nodes on their path."""


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of one soak; `folder` takes the nodes' settings and logs.

    With `kinds`, only faults of these names are injected, besides planned changes. Without `kinds`,
    `injects_platform_faults` adds faults of the platform, and bursts of signals; `congests` adds
    congestion. With `former_package`, the package of an older version, nodes run that version first
    and are replaced one after the other.
    """

    seed: int
    duration: float
    nodes: int
    folder: Path
    kinds: frozenset[str] = frozenset()
    injects_platform_faults: bool = True
    congests: bool = False
    former_package: Path | None = None


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Counts of flows by final state, injected faults with their times, and violations.

    Times are in seconds since the start of traffic.
    """

    flows: Counter[str]
    faults: list[str]
    violations: list[Violation]
    counters: Counter[str]


async def run_soak(options: SoakOptions) -> SoakResult:
    """Run one soak; everything that it started has ended on return."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    rng = random.Random(options.seed)
    harness = SoakHarness(options.folder, options.nodes, options.seed, options.former_package)
    try:
        await harness.start()
        faults = SoakFaults(harness, rng, options.kinds, seed=options.seed)
        if options.injects_platform_faults and not options.kinds:
            harness.spawn(_inject_platform_faults(harness, faults, options))
            bursts = SignalBursts(harness, random.Random(options.seed + SIGNALS_SEED_OFFSET))
            harness.spawn(bursts.run(harness.now + options.duration - QUIET_END_SECONDS))
        if options.congests:
            congestion_rng = random.Random(options.seed + CONGESTION_SEED_OFFSET)
            seconds = options.duration - QUIET_END_SECONDS
            harness.spawn(harness.congestion.run(congestion_rng, seconds))
        if options.former_package is not None:
            harness.spawn(_upgrade_nodes(harness, options))
        await _run_traffic(harness, faults, rng, options.duration)
        return _collect_result(harness, faults)
    finally:
        await harness.close()


async def _run_traffic(
    harness: SoakHarness, faults: SoakFaults, rng: random.Random, duration: float
) -> None:
    end = harness.now + duration
    last_fault = end - QUIET_END_SECONDS
    next_fault = harness.now + SETTLE_SECONDS
    while harness.now < end:
        plan = FlowPlan(requests=rng.randrange(1, 6), pause_seconds=rng.uniform(0.2, 3.0))
        harness.open_flow(plan)
        if next_fault <= harness.now < last_fault:
            faults.inject()
            next_fault = harness.now + rng.uniform(0.3, MAXIMUM_FAULT_INTERVAL_SECONDS)
        await asyncio.sleep(OPENING_INTERVAL_SECONDS)
    await asyncio.sleep(QUIET_END_SECONDS / 2)


async def _inject_platform_faults(
    harness: SoakHarness, faults: SoakFaults, options: SoakOptions
) -> None:
    """Inject faults of the platform until shortly before the end, with long flows beside each."""
    rng = random.Random(options.seed + 2)
    last_fault = harness.now + options.duration - QUIET_END_SECONDS - SERIES_SECONDS
    await asyncio.sleep(SETTLE_SECONDS)
    while harness.now < last_fault:
        faults.inject_platform_fault()
        for _ in range(LONG_FLOWS):
            harness.open_flow(
                FlowPlan(LONG_FLOW_REQUESTS, rng.uniform(0.1, MAXIMUM_REQUEST_PAUSE_SECONDS))
            )
        await asyncio.sleep(rng.uniform(1.0, MAXIMUM_PLATFORM_INTERVAL_SECONDS))


async def _upgrade_nodes(harness: SoakHarness, options: SoakOptions) -> None:
    """Replace the nodes in a random order; both versions run for most of the soak."""
    rng = random.Random(options.seed + UPGRADE_SEED_OFFSET)
    names = sorted(harness.nodes)
    rng.shuffle(names)
    interval = (options.duration - SETTLE_SECONDS - QUIET_END_SECONDS) / len(names)
    await asyncio.sleep(SETTLE_SECONDS)
    for name in names:
        await asyncio.sleep(rng.uniform(0.0, interval))
        harness.upgrade(name)


def _collect_result(harness: SoakHarness, faults: SoakFaults) -> SoakResult:
    flows = Counter(flow.state.value for flow in harness.finished)
    flows["answers"] = sum(len(flow.answers) for flow in harness.finished)
    for node in harness.nodes.values():
        if node.own_ends:
            detail = f"{node.name} ended {node.own_ends} times with an error"
            harness.oracle.report("process", harness.now, detail)
        status = node.exit_status
        if status is not None:
            detail = f"{node.name} does not run: exit status {status}; last {node.last_signal}"
            harness.oracle.report("process", harness.now, detail)
        elif node.misses:
            detail = f"{node.name} is not ready {QUIET_END_SECONDS:g} s after the last fault"
            harness.oracle.report("recovery", harness.now, detail)
    violations = [
        dataclasses.replace(violation, at=violation.at - faults.started_at)
        for violation in harness.oracle.violations
    ]
    return SoakResult(flows, faults.injected, violations, harness.oracle.counters)
