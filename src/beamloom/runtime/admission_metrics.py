"""Metrics of tenants at one node: their usage, limits and refused flows."""

from __future__ import annotations

import math
from collections.abc import Iterator

from beamloom.admission.limits import TenantAdmissionStatus
from beamloom.node.core import NodeCore
from beamloom.telemetry.counters import Metric, MetricKind, Sample, labelled_metric

TENANT_LABEL = "tenant"


def read_tenant_metrics(core: NodeCore) -> Iterator[Metric]:
    """Yield the metrics of every tenant, and the refused retries of every service."""
    tenants = core.admission.snapshot()
    open_flows = {name: float(status.open_flows) for name, status in tenants.items()}
    entries = {name: float(status.table_entries) for name, status in tenants.items()}
    admitted = {name: float(status.admitted) for name, status in tenants.items()}
    yield _gauge("tenant_open_flows", "Flows open at this home.", open_flows)
    yield _gauge("tenant_table_entries", "Entries of the flow table.", entries)
    yield labelled_metric(
        "tenant_flows_admitted",
        MetricKind.COUNTER,
        "New flows admitted here.",
        TENANT_LABEL,
        admitted,
    )
    yield _refusals(tenants)
    yield from _limits(core, tenants)
    yield from _packets(core)
    refused = {name: float(count) for name, count in core.gate.retries_refused().items()}
    yield labelled_metric(
        "retries_refused",
        MetricKind.COUNTER,
        "Refused openings that the retry budget did not let go to a second backend.",
        "service",
        refused,
    )


def _limits(core: NodeCore, tenants: dict[str, TenantAdmissionStatus]) -> Iterator[Metric]:
    rates = {
        name: status.flow_rate for name, status in tenants.items() if status.flow_rate != math.inf
    }
    quotas = {
        name: float(status.open_flow_quota)
        for name, status in tenants.items()
        if core.admission.account(name).limits.open_flows
    }
    yield _gauge("tenant_flow_rate", "New flows a second allowed here.", rates)
    yield _gauge("tenant_open_flow_quota", "Open flows allowed here.", quotas)


def _packets(core: NodeCore) -> Iterator[Metric]:
    meters = core.forwarder.routes.meters
    packets = {name: float(meter.packets) for name, meter in meters.items()}
    blocked = {name: float(meter.blocked) for name, meter in meters.items()}
    yield labelled_metric(
        "tenant_packets",
        MetricKind.COUNTER,
        "Packets of clients taken here.",
        TENANT_LABEL,
        packets,
    )
    yield _gauge("tenant_blocked", "Whether the tenant is over its packets now.", blocked)


def _refusals(tenants: dict[str, TenantAdmissionStatus]) -> Metric:
    samples = tuple(
        Sample(float(count), (name, decision.value))
        for name, status in sorted(tenants.items())
        for decision, count in status.refused.items()
    )
    help_text = "New flows refused here, by the limit."
    return Metric(
        "tenant_flows_refused", MetricKind.COUNTER, help_text, samples, (TENANT_LABEL, "decision")
    )


def _gauge(name: str, help_text: str, values: dict[str, float]) -> Metric:
    return labelled_metric(name, MetricKind.GAUGE, help_text, TENANT_LABEL, values)
