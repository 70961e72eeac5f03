"""Benchmark of a whole fleet of simulated nodes in one process, with figures by role.

The nodes run the real cores. Each call of a core is timed by the processor time of the thread.
Automatic garbage collection is disabled during a phase, as one heap holds all nodes.
"""

from __future__ import annotations

import gc
import time
from dataclasses import dataclass

from beamloom.bench.scale_failures import FailurePlan
from beamloom.bench.scale_fleet import HASH_KEY, HollowFleet
from beamloom.bench.scale_nodes import HollowNode
from beamloom.bench.scale_options import ScaleOptions
from beamloom.bench.scale_report import (
    NodeFigures,
    PhaseFigures,
    node_figures,
    role_figures,
    spread,
)
from beamloom.bench.scale_sharing import shared_structures
from beamloom.bench.scale_single import SingleCoreFigures, measure_single_core
from beamloom.bench.scale_traffic import FlowFeed, fill_flow_tables
from beamloom.model.machines import NodeId
from beamloom.protocol.messages import Priority

SECONDS_PER_DAY = 86_400
SETTLE_SECONDS = 5.0
MEBIBYTE = 1 << 20
FAILURE_SECONDS_AT_LEAST = 40.0


@dataclass(frozen=True, slots=True)
class ScaleReport:
    """The result of one run; `resident_mib_per_node` is the growth of the peak memory per node."""

    options: ScaleOptions
    build_wall_seconds: float
    resident_mib_per_node: float
    phases: tuple[PhaseFigures, ...]
    single_core: SingleCoreFigures | None


class ScaleRun:
    """Builds the fleet, warms it up and measures the phases one after another."""

    def __init__(self, options: ScaleOptions) -> None:
        self.options = options
        self.fleet = HollowFleet(options)
        self.feed = FlowFeed(
            self.fleet.clock, self.fleet.nodes, options, HASH_KEY, self.fleet.random("flows")
        )

    def run(self, *, with_single_core: bool = True) -> ScaleReport:
        """Run all phases."""
        started = time.perf_counter()
        with shared_structures():
            self.fleet.build()
            rng = self.fleet.random("open flows")
            fill_flow_tables(list(self.fleet.nodes.values()), self.options, rng, 0.0)
            self.feed.start()
            built = time.perf_counter() - started
            self.fleet.clock.run_until(self.options.warm_up)
            phases = [self._phase("steady", 1.0), self._phase("changes", self.options.compression)]
            if self.options.failures:
                plan = FailurePlan(self.fleet, self.fleet.random("failures"))
                phases.append(self._phase("failures", self.options.compression, plan))
        single = measure_single_core(self.options) if with_single_core else None
        resident = self.fleet.bytes_per_node / MEBIBYTE
        return ScaleReport(self.options, round(built, 1), round(resident, 2), tuple(phases), single)

    def _phase(
        self, name: str, compression: float, plan: FailurePlan | None = None
    ) -> PhaseFigures:
        fleet, clock = self.fleet, self.fleet.clock
        start, wall = clock.now, time.perf_counter()
        seconds = self.options.duration
        if plan is not None:
            seconds = max(seconds, FAILURE_SECONDS_AT_LEAST)
        self._reset()
        opened, dropped = self.feed.opened, self._dropped()
        self._schedule_changes(seconds, compression)
        if plan is not None:
            plan.schedule(seconds)
        gc.collect()
        gc.freeze()
        gc.disable()
        try:
            clock.run_until(start + seconds)
        finally:
            gc.enable()
        figures = self._figures(start, clock.now)
        opened, dropped = self.feed.opened - opened, self._dropped() - dropped
        fleet.samples.enabled = False
        if any(item.time >= start for item in fleet.changes.accepted):
            clock.run_until(clock.now + SETTLE_SECONDS)
        in_force, missing = fleet.changes.seconds_in_force(start, start + seconds, fleet.ended)
        cost = fleet.samples.codec_cost()
        notice = fleet.crashes.seconds
        return PhaseFigures(
            phase=name,
            seconds=seconds,
            wall_seconds=round(time.perf_counter() - wall, 1),
            roles=role_figures(figures),
            worst_sender=max(figures, key=lambda item: item.largest_window_sent).node,
            worst_cpu_node=max(figures, key=lambda item: item.control_cpu_percent).node,
            codec_cpu_percent=spread(
                [
                    1e-4
                    * (
                        item.sent_datagrams * cost.encode_microseconds
                        + item.received_datagrams * cost.decode_microseconds
                    )
                    for item in figures
                ]
            ),
            encode_microseconds=round(cost.encode_microseconds, 1),
            decode_microseconds=round(cost.decode_microseconds, 1),
            byte_shares=fleet.samples.byte_shares(),
            changes=sum(start <= item.time < start + seconds for item in fleet.changes.accepted),
            in_force_seconds=spread(in_force) if in_force else None,
            never_in_force=missing,
            crash_notice_seconds=spread(notice, 2) if notice else None,
            crashes_unnoticed=fleet.crashes.unnoticed,
            flows_opened=opened,
            queued_control_bytes=spread([self._queued(node) for node in fleet.running()], 0),
            dropped_cache_messages=dropped,
            events=plan.figures() if plan is not None else {},
        )

    def _reset(self) -> None:
        for node in self.fleet.nodes.values():
            node.core.meter.reset()
        self.fleet.samples.clear()
        self.fleet.samples.enabled = True

    def _figures(self, start: float, end: float) -> list[NodeFigures]:
        return [node_figures(node, start, end) for node in self.fleet.running()]

    def _schedule_changes(self, seconds: float, compression: float) -> None:
        interval = SECONDS_PER_DAY / (self.options.changes_per_day * compression)
        for number in range(int(seconds / interval)):
            self.fleet.clock.call_later((number + 0.5) * interval, self.fleet.change_backend)

    def _queued(self, node: HollowNode) -> float:
        queues = node.core.core.channel.snapshot().priorities
        return float(sum(item.queued_bytes for item in queues.values()))

    def _dropped(self) -> int:
        running: dict[NodeId, HollowNode] = self.fleet.nodes
        return sum(
            node.core.core.channel.snapshot().priorities[Priority.CACHE].dropped_messages
            for node in running.values()
        )


def bench_scale(options: ScaleOptions, *, with_single_core: bool = True) -> ScaleReport:
    """Run the benchmark; hundreds of nodes take minutes and gigabytes."""
    return ScaleRun(options).run(with_single_core=with_single_core)
