"""Options of the scale run."""

from __future__ import annotations

from dataclasses import dataclass

IN_ZONE_DELAY = 0.0002
"""One-way delay within a zone that the simulated network applies, in seconds."""
BETWEEN_ZONES_DELAY = 0.0015
BETWEEN_REGIONS_DELAY = 0.040


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """Options of one run; times are virtual seconds, shares are 0 to 1.

    `flows_per_second` and `open_flows` apply to the whole fleet. The share `long_flow_share` of new
    flows is not closed; the others last `short_flow_seconds` on average. Requests to the share
    `never_repeat_share` of services may not be repeated. The first phase has `changes_per_day`, the
    second `compression` times as many. `failures` adds a third phase.
    """

    nodes: int = 560
    endpoints: int = 4_400
    services: int = 360
    flows_per_second: float = 30_000.0
    open_flows: int = 7_400_000
    changes_per_day: float = 1_400.0
    regions: int = 2
    zones: int = 5
    loss: float = 0.0
    duration: float = 30.0
    warm_up: float = 12.0
    compression: float = 40.0
    never_repeat_share: float = 0.1
    long_flow_share: float = 0.1
    short_flow_seconds: float = 0.5
    failures: bool = False
    seed: int = 1
