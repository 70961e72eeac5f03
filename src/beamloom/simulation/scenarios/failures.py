"""Scenarios with crashes and network partitions."""

from __future__ import annotations

from functools import partial

from beamloom.simulation.deployment import PLATFORM_ZONE, TAIRI, VAKATALE
from beamloom.simulation.scenario import (
    CONTROL_BUDGET,
    NO_BROKEN_FLOW,
    Scenario,
    ScenarioContext,
    broken_share_at_most,
)

TRACKER = VAKATALE.services[0]
CRASH_GOALS = (broken_share_at_most(0.0001), CONTROL_BUDGET)


def _crash_random_node(context: ScenarioContext) -> None:
    context.faults.crash_node(context.random_node())


def _balancer_crash(context: ScenarioContext) -> None:
    context.at(0.4, partial(context.operations.add_backend, VAKATALE, TRACKER))
    context.fleet.clock.call_at(
        0.4 * context.duration + 1.0, partial(context.operations.drain_backend, "tracker-2")
    )
    context.fleet.clock.call_at(0.4 * context.duration + 1.5, partial(_crash_random_node, context))


def _double_crash(context: ScenarioContext) -> None:
    context.at(0.3, partial(context.operations.drain_backend, "tracker-2"))
    for _ in range(2):
        context.at(0.4, partial(_crash_random_node, context))
    context.at(0.5, context.operations.start_node)
    context.at(0.55, context.operations.start_node)


def _zone_loss(context: ScenarioContext) -> None:
    zone = context.rng.choice(VAKATALE.zone_names)
    context.at(0.3, partial(context.operations.drain_backend, "tracker-2"))
    context.at(0.4, partial(context.faults.crash_zone, zone))


def _region_split(context: ScenarioContext) -> None:
    length = 0.3 * context.duration
    split = context.faults.split_regions
    context.at(0.4, partial(split, TAIRI.region, VAKATALE.region, PLATFORM_ZONE, length))
    context.at(0.5, partial(context.operations.drain_backend, "tracker-2"))
    context.at(0.8, partial(context.operations.drain_backend, "bay-desk-2"))


BALANCER_CRASH = Scenario(
    "balancer-crash",
    "One balancer crashes while a backend is added and another drained.",
    _balancer_crash,
    CRASH_GOALS,
)
DOUBLE_CRASH = Scenario(
    "double-crash", "Two balancers crash at the same moment.", _double_crash, CRASH_GOALS
)
ZONE_LOSS = Scenario(
    "zone-loss",
    "A whole zone is lost, with its balancers and backends.",
    _zone_loss,
    (broken_share_at_most(0.001), CONTROL_BUDGET),
)
REGION_SPLIT = Scenario(
    "region-split",
    "Two regions are partitioned, one of them also from the platform, for 30% of the run.",
    _region_split,
    (NO_BROKEN_FLOW, CONTROL_BUDGET),
    sites=(VAKATALE, TAIRI),
    duration=180.0,
)
