"""Scenario of random operations and faults at random times."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from beamloom.simulation.deployment import VAKATALE
from beamloom.simulation.network import PathCondition
from beamloom.simulation.scenario import CONTROL_BUDGET, Scenario, ScenarioContext
from beamloom.simulation.scenarios.platform import SCOPES, SETTING
from beamloom.standins.backend_health import HealthFaults
from beamloom.standins.platform_faults import FaultPlan

TRACKER = VAKATALE.services[0]
EVENT_COUNTS = (6, 14)
"""Minimum and maximum number of random events."""
MINIMUM_NODES = 3
"""Number of running balancers at or below which none is stopped or crashed."""
MAXIMUM_DRIFT = 0.01
"""Largest deviation of a clock's rate from 1."""

Action = Callable[[ScenarioContext], object]


def _crash(context: ScenarioContext) -> None:
    if len(context.fleet.running_nodes()) > MINIMUM_NODES:
        context.faults.crash_node(context.random_node())


def _stop(context: ScenarioContext) -> None:
    if len(context.fleet.running_nodes()) > MINIMUM_NODES:
        context.operations.stop_node(context.random_node())


def _pause(context: ScenarioContext) -> None:
    context.faults.pause_node(context.random_node(), context.rng.uniform(0.5, 30.0))


def _slow(context: ScenarioContext) -> None:
    context.faults.slow_node(context.random_node(), 0.005, context.rng.uniform(5.0, 20.0))


def _isolate(context: ScenarioContext) -> None:
    context.faults.isolate_node(context.random_node(), context.rng.uniform(1.0, 30.0))


def _block_inbound(context: ScenarioContext) -> None:
    context.faults.deafen_node(context.random_node(), context.rng.uniform(1.0, 30.0))


def _degrade_network(context: ScenarioContext) -> None:
    condition = PathCondition(loss=0.02, duplication=0.02, reordering=0.05, jitter=0.002)
    context.faults.disturb_network(condition, context.rng.uniform(5.0, 30.0))


def _drift(context: ScenarioContext) -> None:
    rate = 1.0 + context.rng.uniform(-MAXIMUM_DRIFT, MAXIMUM_DRIFT)
    context.faults.set_clock_rate(context.random_node(), rate)


def _stop_store(context: ScenarioContext) -> None:
    context.faults.disturb_store(FaultPlan(down=True), context.rng.uniform(5.0, 40.0))


def _slow_store(context: ScenarioContext) -> None:
    context.faults.disturb_store(FaultPlan(delay_seconds=2.0), context.rng.uniform(5.0, 30.0))


def _lose_answers(context: ScenarioContext) -> None:
    context.faults.disturb_store(FaultPlan(lost_answer_probability=0.5), 20.0)


def _misreport_load(context: ScenarioContext) -> None:
    index = context.rng.randint(1, TRACKER.backend_count)
    context.faults.inject_health_faults(f"{TRACKER.name}-{index}", HealthFaults(load=0.0))


def _change_setting(context: ScenarioContext) -> None:
    bound = round(context.rng.uniform(0.02, 0.3), 3)
    context.operations.change_setting(context.rng.choice(SCOPES[1:]), SETTING, bound)


def _drain(context: ScenarioContext) -> None:
    drained = {drain.backend_id for drain in context.operations.drains}
    names = [f"{TRACKER.name}-{index}" for index in range(1, TRACKER.backend_count + 1)]
    remaining = [name for name in names if name not in drained]
    if len(remaining) > 2:
        context.operations.drain_backend(context.rng.choice(remaining))


def _add_backend(context: ScenarioContext) -> None:
    context.operations.add_backend(VAKATALE, TRACKER, context.rng.choice((0.0, 20.0)))


def _start(context: ScenarioContext) -> None:
    context.operations.start_node()


ACTIONS: tuple[Action, ...] = (
    _crash,
    _stop,
    _start,
    _start,
    _pause,
    _slow,
    _isolate,
    _block_inbound,
    _degrade_network,
    _drift,
    _stop_store,
    _slow_store,
    _lose_answers,
    _misreport_load,
    _change_setting,
    _drain,
    _add_backend,
)


def _storm(context: ScenarioContext) -> None:
    for _ in range(context.rng.randint(*EVENT_COUNTS)):
        action = context.rng.choice(ACTIONS)
        share = context.rng.uniform(0.12, 0.85)
        for _ in range(context.rng.choice((1, 1, 1, 2))):
            context.at(share, partial(action, context))


STORM = Scenario(
    "storm",
    "Random operations and faults at random times, some of them twice at once.",
    _storm,
    (CONTROL_BUDGET,),
    duration=180.0,
)
