"""A small scale run gives the same protocol figures for the same seed."""

import unittest
from dataclasses import replace

from beamloom.bench.scale import bench_scale
from beamloom.bench.scale_options import ScaleOptions
from beamloom.bench.scale_report import PhaseFigures

SMALL = ScaleOptions(
    nodes=12,
    endpoints=24,
    services=4,
    flows_per_second=40.0,
    open_flows=240,
    duration=5.0,
    warm_up=3.0,
    compression=40.0,
)


def protocol_figures(phase: PhaseFigures) -> object:
    """Return the figures that must not depend on the speed of the machine."""
    roles = [replace(role, control_cpu_percent=role.sent_bytes_per_second) for role in phase.roles]
    return (
        roles,
        phase.worst_sender,
        phase.byte_shares,
        phase.in_force_seconds,
        phase.never_in_force,
        phase.flows_opened,
        phase.queued_control_bytes,
    )


class ScaleBenchTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_protocol_figures(self) -> None:
        first = bench_scale(SMALL, with_single_core=False)
        second = bench_scale(SMALL, with_single_core=False)
        self.assertEqual(
            [protocol_figures(phase) for phase in first.phases],
            [protocol_figures(phase) for phase in second.phases],
        )
        steady, changes = first.phases
        self.assertGreater(steady.flows_opened, 0)
        self.assertGreater(changes.changes, 0)
        self.assertIsNotNone(changes.in_force_seconds)
        self.assertEqual(changes.never_in_force, 0)
        self.assertEqual(sum(role.nodes for role in steady.roles), 12)


if __name__ == "__main__":
    unittest.main()
