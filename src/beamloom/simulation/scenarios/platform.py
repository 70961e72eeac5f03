"""Scenarios with faults of the platform's store, concurrent writes or a paused lease holder."""

from __future__ import annotations

from functools import partial

from beamloom.protocol.events import StoredObject
from beamloom.simulation.scenario import CONTROL_BUDGET, NO_BROKEN_FLOW, Scenario, ScenarioContext
from beamloom.standins.platform_faults import FaultPlan

SETTING = "placement.imbalance_bound"
SCOPES = ("global", "tenant/vakatale", "service/vakatale/tracker")
LEASE_PREFIX = "lease/reader/"
GOALS = (NO_BROKEN_FLOW, CONTROL_BUDGET)


def _store_outage(context: ScenarioContext) -> None:
    down = partial(context.faults.disturb_store, FaultPlan(down=True), 0.5 * context.duration)
    context.at(0.2, partial(context.operations.drain_backend, "tracker-1"))
    context.at(0.25, down)
    context.at(0.4, partial(context.operations.drain_backend, "tracker-2"))
    context.at(0.45, partial(context.operations.replace_node, "node-2"))
    context.at(0.8, partial(context.operations.drain_backend, "tracker-3"))


def _lost_answer(context: ScenarioContext) -> None:
    losing = FaultPlan(lost_answer_probability=0.5)
    context.at(0.2, partial(context.faults.disturb_store, losing, 0.6 * context.duration))
    for index in range(12):
        scope = SCOPES[1 + index % 2]
        change = partial(context.operations.change_setting, scope, SETTING, 0.05 + index / 100)
        context.at(0.2 + 0.05 * index, change)
    context.at(0.5, partial(context.operations.drain_backend, "labeller-1"))


def _racing_operators(context: ScenarioContext) -> None:
    for index in range(10):
        for operator in range(3):
            bound = 0.05 + (index * 3 + operator) / 200
            change = partial(context.operations.change_setting, SCOPES[2], SETTING, bound)
            context.at(0.2 + 0.06 * index, change)
    context.at(0.5, partial(context.operations.drain_backend, "tracker-1"))
    context.at(0.5, partial(context.operations.drain_backend, "tracker-1"))


def _paused_lease(context: ScenarioContext) -> None:
    context.at(0.3, partial(_pause_reader, context, 0.3 * context.duration))
    for share in (0.35, 0.5, 0.59):
        context.at(
            share, partial(context.operations.change_setting, SCOPES[1], SETTING, share / 10)
        )
    context.at(0.45, partial(context.operations.drain_backend, "tracker-1"))


def _pause_reader(context: ScenarioContext, duration: float) -> None:
    """Pause a random balancer that holds a lease, or any balancer if none does."""
    leases = context.fleet.store.list_objects(LEASE_PREFIX).objects
    holders = [name for name in map(_lease_holder, leases) if name in context.fleet.nodes]
    name = context.rng.choice(holders) if holders else context.random_node()
    context.faults.pause_node(name, duration)


def _lease_holder(lease: StoredObject) -> str:
    return str((lease.value or {}).get("holder", ""))


STORE_OUTAGE = Scenario(
    "store-outage",
    "The store is down for half of the run; a balancer is replaced meanwhile.",
    _store_outage,
    GOALS,
    duration=180.0,
)
LOST_ANSWER = Scenario(
    "lost-answer",
    "The answers to half of the writes are lost, for 60% of the run.",
    _lost_answer,
    GOALS,
)
RACING_OPERATORS = Scenario(
    "racing-operators",
    "Three operators change one setting at the same time.",
    _racing_operators,
    GOALS,
)
PAUSED_LEASE = Scenario(
    "paused-lease",
    "A balancer that holds a lease is paused for 30% of the run.",
    _paused_lease,
    GOALS,
)
