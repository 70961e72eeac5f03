"""Scenarios of load: cold backends, false load reports and a tenant above its limit."""

from __future__ import annotations

from functools import partial

from beamloom.simulation.deployment import TAIRI, VAKATALE
from beamloom.simulation.scenario import (
    CONTROL_BUDGET,
    NO_BROKEN_FLOW,
    Scenario,
    ScenarioContext,
    imbalance_at_most,
)
from beamloom.standins.backend_health import HealthFaults

TRACKER = VAKATALE.services[0]
RATE_LIMIT_SETTING = "limit.new_flows_per_second"
COLD_SECONDS = 30.0
LATE_STREAMS = 210
"""Streams that are opened in `lying-load` after load reports have changed the weights."""
BUSY_LOAD = 0.9
"""Load that the other backends report in `lying-load`, as a share of their slots."""
NOISY_FLOWS_PER_SECOND = 50
NOISY_SECONDS = 30


def _cold_start(context: ScenarioContext) -> None:
    add = partial(context.operations.add_backend, VAKATALE, TRACKER, COLD_SECONDS)
    context.at(0.3, add)
    context.at(0.5, add)


def _lying_load(context: ScenarioContext) -> None:
    """Make one backend report a frozen load, one report no load and the others `BUSY_LOAD`.

    The load of the others is injected, as the simulated requests use little capacity.
    """
    frozen = HealthFaults(frozen=True)
    idle = HealthFaults(load=0.0)
    busy = HealthFaults(load=BUSY_LOAD)
    for index in range(3, TRACKER.backend_count + 1):
        context.at(0.0, partial(context.faults.inject_health_faults, f"tracker-{index}", busy))
    context.at(0.0, partial(context.faults.inject_health_faults, "tracker-1", frozen))
    context.at(0.0, partial(context.faults.inject_health_faults, "tracker-2", idle))
    edge, service = context.workload.target("vakatale")
    for number in range(LATE_STREAMS):
        share = 0.4 + 0.5 * number / LATE_STREAMS
        context.at(share, partial(context.workload.open_stream, edge, service))


def _noisy_tenant(context: ScenarioContext) -> None:
    setting = (RATE_LIMIT_SETTING, NOISY_FLOWS_PER_SECOND / 10)
    context.at(0.1, partial(context.operations.change_setting, "tenant/tairi", *setting))
    edge, service = context.workload.target("tairi")
    start = 0.3 * context.duration
    for number in range(NOISY_FLOWS_PER_SECOND * NOISY_SECONDS):
        time = start + number / NOISY_FLOWS_PER_SECOND
        context.fleet.clock.call_at(time, partial(context.workload.send_request, edge, service))


COLD_START = Scenario(
    "cold-start", "Two cold backends join a service.", _cold_start, (NO_BROKEN_FLOW, CONTROL_BUDGET)
)
LYING_LOAD = Scenario(
    "lying-load",
    "One of seven backends reports a frozen load, another a false one.",
    _lying_load,
    (NO_BROKEN_FLOW, imbalance_at_most(1.25), CONTROL_BUDGET),
)
NOISY_TENANT = Scenario(
    "noisy-tenant",
    "One tenant opens flows at ten times its limit.",
    _noisy_tenant,
    (NO_BROKEN_FLOW, CONTROL_BUDGET),
    sites=(VAKATALE, TAIRI),
)
