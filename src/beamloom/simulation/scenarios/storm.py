"""The storm: operations and faults drawn at random, at any moment, together or twice."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from beamloom.simulation.deployment import VAKATALE
from beamloom.simulation.network import PathCondition
from beamloom.simulation.scenario import CONTROL_BUDGET, Scenario, World
from beamloom.simulation.scenarios.platform import SCOPES, SETTING
from beamloom.standins.backend_health import HealthFaults
from beamloom.standins.platform_faults import FaultPlan

TRACKER = VAKATALE.services[0]
EVENT_COUNTS = (6, 14)
MINIMUM_NODES = 3
"""The storm stops or crashes no balancer when as few as these are left."""
MAXIMUM_DRIFT = 0.01

Act = Callable[[World], object]


def _crash(world: World) -> None:
    if len(world.fleet.running_nodes()) > MINIMUM_NODES:
        world.faults.crash_node(world.any_node())


def _stop(world: World) -> None:
    if len(world.fleet.running_nodes()) > MINIMUM_NODES:
        world.operations.stop_node(world.any_node())


def _pause(world: World) -> None:
    world.faults.pause_node(world.any_node(), world.random.uniform(0.5, 30.0))


def _slow(world: World) -> None:
    world.faults.slow_node(world.any_node(), 0.005, world.random.uniform(5.0, 20.0))


def _isolate(world: World) -> None:
    world.faults.isolate_node(world.any_node(), world.random.uniform(1.0, 30.0))


def _deafen(world: World) -> None:
    world.faults.deafen_node(world.any_node(), world.random.uniform(1.0, 30.0))


def _disturb(world: World) -> None:
    condition = PathCondition(loss=0.02, duplication=0.02, reordering=0.05, jitter=0.002)
    world.faults.disturb_network(condition, world.random.uniform(5.0, 30.0))


def _drift(world: World) -> None:
    rate = 1.0 + world.random.uniform(-MAXIMUM_DRIFT, MAXIMUM_DRIFT)
    world.faults.drift_clock(world.any_node(), rate)


def _lose_store(world: World) -> None:
    world.faults.disturb_store(FaultPlan(down=True), world.random.uniform(5.0, 40.0))


def _slow_store(world: World) -> None:
    world.faults.disturb_store(FaultPlan(delay_seconds=2.0), world.random.uniform(5.0, 30.0))


def _lose_answers(world: World) -> None:
    world.faults.disturb_store(FaultPlan(lost_answer_probability=0.5), 20.0)


def _mislead(world: World) -> None:
    index = world.random.randint(1, TRACKER.backend_count)
    world.faults.mislead_health(f"{TRACKER.name}-{index}", HealthFaults(load=0.0))


def _change_setting(world: World) -> None:
    bound = round(world.random.uniform(0.02, 0.3), 3)
    world.operations.change_setting(world.random.choice(SCOPES[1:]), SETTING, bound)


def _drain(world: World) -> None:
    drained = {drain.backend_id for drain in world.operations.drains}
    names = [f"{TRACKER.name}-{index}" for index in range(1, TRACKER.backend_count + 1)]
    remaining = [name for name in names if name not in drained]
    if len(remaining) > 2:
        world.operations.drain_backend(world.random.choice(remaining))


def _add_backend(world: World) -> None:
    world.operations.add_backend(VAKATALE, TRACKER, world.random.choice((0.0, 20.0)))


def _start(world: World) -> None:
    world.operations.start_node()


ACTS: tuple[Act, ...] = (
    _crash,
    _stop,
    _start,
    _start,
    _pause,
    _slow,
    _isolate,
    _deafen,
    _disturb,
    _drift,
    _lose_store,
    _slow_store,
    _lose_answers,
    _mislead,
    _change_setting,
    _drain,
    _add_backend,
)


def _storm(world: World) -> None:
    for _ in range(world.random.randint(*EVENT_COUNTS)):
        act = world.random.choice(ACTS)
        share = world.random.uniform(0.12, 0.85)
        for _ in range(world.random.choice((1, 1, 1, 2))):
            world.at(share, partial(act, world))


STORM = Scenario(
    "storm",
    "Any operation and any fault at any moment, together or twice.",
    _storm,
    (CONTROL_BUDGET,),
    duration=180.0,
)
