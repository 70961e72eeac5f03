"""Planned operations on a running fleet, recorded for the oracle."""

from __future__ import annotations

from typing import Any

from beamloom.object_api.operator import AcceptedWrite
from beamloom.simulation.deployment import ServiceSpec, Site
from beamloom.simulation.fleet import Fleet
from beamloom.simulation.observations import (
    AcceptedDrain,
    Observations,
    ObservedBackend,
    PlannedStop,
)


class Operations:
    """Starts, stops and changes parts of a running fleet as operators do."""

    def __init__(self, fleet: Fleet, observations: Observations) -> None:
        self._fleet = fleet
        self._observations = observations

    @property
    def drains(self) -> tuple[AcceptedDrain, ...]:
        """The drains that the store accepted so far."""
        return tuple(self._observations.drains)

    def start_node(self) -> str:
        """Start one more balancer and return its name."""
        return self._fleet.start_node().name

    def stop_node(self, name: str) -> None:
        """Begin the planned stop of a balancer, unless it does not run or is already leaving."""
        node = self._fleet.nodes[name]
        if not node.host.running or node.leaving:
            return
        self._observations.planned_stops.append(PlannedStop(name, self._fleet.clock.now))
        self._observations.lifetime(name).ended_at = self._fleet.clock.now
        self._fleet.stop_node(name)

    def replace_node(self, name: str) -> None:
        """Start a new balancer, and stop the named one `JOIN_SECONDS` later."""
        self.start_node()
        self._fleet.clock.call_later(JOIN_SECONDS, self.stop_node, name)

    def add_backend(self, site: Site, service: ServiceSpec, cold_seconds: float = 0.0) -> str:
        """Start one more backend of a service and return its id."""
        backend_id = self._fleet.add_backend(site, service, cold_seconds)
        truth = self._fleet.backends[backend_id].model.truth
        self._observations.backends.append(ObservedBackend(backend_id, service.service_id, truth))
        return backend_id

    def drain_backend(self, backend_id: str) -> None:
        """Set a backend to draining; the drain is recorded when the write is accepted."""
        backend = self._fleet.backends[backend_id]

        def accepted(write: AcceptedWrite) -> None:
            now = self._fleet.clock.now
            self._observations.drains.append(AcceptedDrain(backend_id, now))
            self._observations.planned_stops.append(PlannedStop(backend_id, now))
            backend.model.drain()

        self._fleet.operators.update(
            backend.placed.key, lambda value: {**value, "state": "draining"}, accepted
        )

    def change_setting(self, scope: str, name: str, setting: Any) -> None:  # noqa: ANN401
        """Change one setting of the scope `global`, `tenant/T` or `service/T/S`."""

        def change(value: dict[str, Any]) -> dict[str, Any]:
            return {**value, "values": {**value.get("values", {}), name: setting}}

        self._fleet.operators.update(f"settings/{scope}", change)


JOIN_SECONDS = 8.0
"""Seconds between the start of a new balancer and the stop of the one that it replaces."""
