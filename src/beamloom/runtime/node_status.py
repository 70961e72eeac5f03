"""JSON objects for the admin API: the state of a node, its settings, flows and backends."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from beamloom.model.contracts import (
    Backend,
    BackendAdministrativeState,
    BackendOperatingStatus,
    ServiceContract,
)
from beamloom.node.core import NodeCore
from beamloom.replication.fleet_status import InForceReport
from beamloom.routing.packet import FlowTuple
from beamloom.settings.errors import SettingsError
from beamloom.settings.stored_objects import ObjectKey, ObjectKind
from beamloom.settings.tree import Scope
from beamloom.settings.validation import find_declaration

JsonObject = dict[str, Any]


class UnknownBackendError(SettingsError):
    """The service is not in force, or has no such backend in force."""


def node_status(core: NodeCore) -> JsonObject:
    """Return a summary of the node's own state."""
    machine = core.options.machine
    configuration = core.configuration.configuration
    return {
        "node": machine.node_id,
        "zone": machine.zone.name,
        "region": machine.zone.region,
        "ready": core.ready,
        "revision_in_force": core.revision_in_force,
        "reader": core.election.is_reader,
        "members": _members(core),
        "services": len(configuration.services),
        "routing": _routing(core),
        "control": _control(core),
        "problems": [
            {"key": problem.key, "revision": problem.revision, "error": str(problem.error)}
            for problem in configuration.problems
        ],
    }


def _members(core: NodeCore) -> dict[str, list[str]]:
    by_state: dict[str, list[str]] = {}
    for node_id, member in sorted(core.membership.view.members.items()):
        by_state.setdefault(member.state.name.lower(), []).append(node_id)
    return by_state


def _routing(core: NodeCore) -> JsonObject:
    snapshot = asdict(core.forwarder.snapshot())
    del snapshot["counters"], snapshot["open_flows"]
    return snapshot


def _control(core: NodeCore) -> JsonObject:
    snapshot = core.channel.snapshot()
    return {
        "bytes_per_second_allowed": core.options.control_bytes_per_second,
        "bytes_sent": snapshot.sent_bytes,
        "bytes_available": round(snapshot.available_bytes),
        "queued_bytes": sum(item.queued_bytes for item in snapshot.priorities.values()),
        "delayed_messages": sum(item.delayed_messages for item in snapshot.priorities.values()),
    }


def in_force_status(core: NodeCore, revision: int, report: InForceReport) -> JsonObject:
    """Return where a revision is in force; `everywhere` requires a report from every member."""
    everywhere = core.ready and not report.not_in_force
    return {
        "revision": revision,
        "everywhere": everywhere,
        "members_in_force": report.count_in_force,
        "members_known": report.count_known,
        "not_in_force": list(report.not_in_force),
    }


def explain_setting(core: NodeCore, name: str, at: str) -> JsonObject:
    """Return the value of a setting at a scope, and its origin; raises SettingsError."""
    scope = Scope.parse(at)
    declaration = find_declaration(name)
    effective = core.configuration.configuration.effective_setting(scope, name)
    return {
        "setting": name,
        "at": str(scope),
        "value": effective.value,
        "unit": declaration.unit,
        "level": effective.level,
        "set_by": effective.scope_key or None,
        "since_revision": effective.since_revision,
        "revision_in_force_here": core.revision_in_force,
    }


def explain_flow(core: NodeCore, flow: FlowTuple, now: float) -> JsonObject:
    """Return this node's state of a flow; `age_seconds` is counted from when it learned of it."""
    known = core.forwarder.explain(flow)
    return {
        "node": core.options.machine.node_id,
        "service": known.service_id,
        "partition": known.partition,
        "role": known.role.value,
        "decided_by": known.decider,
        "backend": known.backend_id,
        "reason": None if known.reason is None else known.reason.name.lower(),
        "age_seconds": None if known.since is None else round(now - known.since, 3),
        "is_exception": known.is_exception,
        "base_revision": known.base_revision,
        "lease_seconds_left": (
            None if known.lease_end is None else round(known.lease_end - now, 3)
        ),
        "deadline_seconds_left": (
            None if known.deadline is None else round(known.deadline - now, 3)
        ),
        "ended_at_deadline": known.ended_at_deadline,
    }


def explain_backend(core: NodeCore, name: str, now: float) -> JsonObject:
    """Return whether backend `TENANT/SERVICE/BACKEND` gets new flows, and why.

    Raises SettingsError.
    """
    key = ObjectKey.parse(f"{ObjectKind.BACKEND}/{name}")
    service_name, backend_id = "/".join(key.names[:2]), key.names[2]
    service = core.configuration.configuration.services.get(service_name)
    if service is None:
        reason = f"service {service_name} is not in force on this node"
        raise UnknownBackendError(reason, "look at the problems in `beamloom status`")
    backend = next((item for item in service.backends if item.backend_id == backend_id), None)
    if backend is None:
        reason = f"service {service_name} has no backend {backend_id} in force"
        raise UnknownBackendError(reason, "check the name with `beamloom backend list`")
    return {"backend": name, **_backend_state(service, backend), **_new_flows(core, backend, now)}


def _backend_state(service: ServiceContract, backend: Backend) -> JsonObject:
    return {
        "address": str(backend.data_address),
        "health": str(backend.health_address),
        "zone": backend.zone,
        "weight": backend.weight,
        "administrative_state": backend.state.value,
        "generation": service.current_generation.revision,
        "generations_known": [
            generation.revision
            for generation in service.generations
            if any(item.backend_number == backend.backend_number for item in generation.backends)
        ],
    }


def _new_flows(core: NodeCore, backend: Backend, now: float) -> JsonObject:
    """Return the observed status and whether the backend gets new flows.

    Draining or a weight of 0, as set by the operator, takes precedence over the observed status.
    """
    view = core.watchers.status(backend.backend_number, now)
    observed = {
        "operating_status": view.status.name.lower(),
        "weight_factor": round(view.weight_factor, 3),
        "status_age_seconds": round(now - view.since, 3),
        "watchers": list(core.watchers.watchers(backend.backend_number)),
    }
    if backend.state is BackendAdministrativeState.DRAINING:
        return {**observed, "new_flows": False, "reason": "an operator drains it"}
    if backend.weight == 0:
        return {**observed, "new_flows": False, "reason": "its weight is 0"}
    refused = view.status in {BackendOperatingStatus.OFFLINE, BackendOperatingStatus.SHEDDING}
    return {**observed, "new_flows": not refused, "reason": view.reason}


def backend_objects(core: NodeCore, now: float) -> list[JsonObject]:
    """Return the state of every backend in force, sorted by service name."""
    rows: list[JsonObject] = []
    for name, service in sorted(core.configuration.configuration.services.items()):
        for backend in service.backends:
            state = _backend_state(service, backend) | _new_flows(core, backend, now)
            rows.append({"backend": f"{name}/{backend.backend_id}", **state})
    return rows
