"""Scenarios about load: cold backends, false reports, and a tenant out of bounds."""

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
LIMIT = "limit.new_flows_per_second"
COLD_SECONDS = 30.0
LATE_STREAMS = 210
"""Long flows that open in `lying-load` once reports have had their effect on weights."""
HONEST_LOAD = 0.9
"""What honest backends report in `lying-load`, as a share of their slots."""
NOISY_FLOWS_PER_SECOND = 50
NOISY_SECONDS = 30


def _cold_start(context: ScenarioContext) -> None:
    add = partial(context.operations.add_backend, VAKATALE, TRACKER, COLD_SECONDS)
    context.at(0.3, add)
    context.at(0.5, add)


def _lying_load(context: ScenarioContext) -> None:
    """Freeze one report at idle and let another claim it, while honest ones tell of real load.

    The simulated requests hardly load a backend, so what honest reports would say is given.
    """
    frozen = HealthFaults(frozen=True)
    idle = HealthFaults(load=0.0)
    busy = HealthFaults(load=HONEST_LOAD)
    for index in range(3, TRACKER.backend_count + 1):
        context.at(0.0, partial(context.faults.mislead_health, f"tracker-{index}", busy))
    context.at(0.0, partial(context.faults.mislead_health, "tracker-1", frozen))
    context.at(0.0, partial(context.faults.mislead_health, "tracker-2", idle))
    edge, service = context.workload.target("vakatale")
    for number in range(LATE_STREAMS):
        share = 0.4 + 0.5 * number / LATE_STREAMS
        context.at(share, partial(context.workload.open_stream, edge, service))


def _noisy_tenant(context: ScenarioContext) -> None:
    limit = (LIMIT, NOISY_FLOWS_PER_SECOND / 10)
    context.at(0.1, partial(context.operations.change_setting, "tenant/tairi", *limit))
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
    "Two of seven backends report a frozen and a false load.",
    _lying_load,
    (NO_BROKEN_FLOW, imbalance_at_most(1.25), CONTROL_BUDGET),
)
NOISY_TENANT = Scenario(
    "noisy-tenant",
    "One tenant opens ten times the flows that it may.",
    _noisy_tenant,
    (NO_BROKEN_FLOW, CONTROL_BUDGET),
    sites=(VAKATALE, TAIRI),
)
