"""What operators do on purpose in a scenario; each is noted for the oracle."""

from __future__ import annotations

from typing import Any

from beamloom.object_api.operator import AcceptedWrite
from beamloom.simulation.deployment import ServiceShape, Site
from beamloom.simulation.fleet import Fleet
from beamloom.simulation.observations import (
    AcceptedDrain,
    Observations,
    ObservedBackend,
    PlannedStop,
)


class Operations:
    """Planned changes to a running fleet."""

    def __init__(self, fleet: Fleet, seen: Observations) -> None:
        self._fleet = fleet
        self._seen = seen

    @property
    def drains(self) -> tuple[AcceptedDrain, ...]:
        """The drains that were accepted so far."""
        return tuple(self._seen.drains)

    def start_node(self) -> str:
        """Start one more balancer; returns its name."""
        return self._fleet.start_node().name

    def stop_node(self, name: str) -> None:
        """Stop a balancer as planned; one that no longer runs is left alone."""
        node = self._fleet.nodes[name]
        if not node.host.running or node.leaving:
            return
        self._seen.planned_stops.append(PlannedStop(name, self._fleet.clock.now))
        self._seen.life(name).ended_at = self._fleet.clock.now
        self._fleet.stop_node(name)

    def replace_node(self, name: str) -> None:
        """Start a balancer, and stop the named one when the new one has had time to join."""
        self.start_node()
        self._fleet.clock.call_later(JOIN_SECONDS, self.stop_node, name)

    def add_backend(self, site: Site, service: ServiceShape, cold_seconds: float = 0.0) -> str:
        """Start one more backend of a service; returns its id."""
        backend_id = self._fleet.add_backend(site, service, cold_seconds)
        truth = self._fleet.backends[backend_id].model.truth
        self._seen.backends.append(ObservedBackend(backend_id, service.service_id, truth))
        return backend_id

    def drain_backend(self, backend_id: str) -> None:
        """Tell the service that a backend is leaving."""
        backend = self._fleet.backends[backend_id]

        def accepted(write: AcceptedWrite) -> None:
            now = self._fleet.clock.now
            self._seen.drains.append(AcceptedDrain(backend_id, now))
            self._seen.planned_stops.append(PlannedStop(backend_id, now))
            backend.model.drain()

        self._fleet.operators.update(
            backend.placed.key, lambda value: {**value, "state": "draining"}, accepted
        )

    def change_setting(self, scope: str, name: str, setting: Any) -> None:  # noqa: ANN401
        """Set one value at `global`, `tenant/T` or `service/T/S`."""

        def change(value: dict[str, Any]) -> dict[str, Any]:
            return {**value, "values": {**value.get("values", {}), name: setting}}

        self._fleet.operators.update(f"settings/{scope}", change)


JOIN_SECONDS = 8.0
"""Seconds that a new balancer is given before the one it replaces stops."""
