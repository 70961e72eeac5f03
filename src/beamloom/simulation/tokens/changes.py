"""Random changes of endpoints and routes, shared by the simulation and the soak."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from beamloom.routing.tokens.records import BackendRecord
from beamloom.simulation.tokens.deployment import SERVICES, ZONES, Routes

MINIMUM_REMAINING_ENDPOINTS = 2
EVACUATION_SECONDS = 8.0
"""Longer than the bound for evacuations, so that a new flow after it is detected."""
EndpointType = TypeVar("EndpointType")
RecordedEndpoint = TypeVar("RecordedEndpoint", bound="HasRecord")


class HasRecord(Protocol):
    """An endpoint with its record in the store."""

    record: BackendRecord


class ChangeableDeployment(Protocol[EndpointType]):
    """A deployment whose endpoints and routes can be changed."""

    routes: dict[bytes, frozenset[str]]

    def running_endpoints(self, service: str) -> list[EndpointType]:
        """Return the endpoints of a service that run and are not draining."""

    def add_endpoint(self, service: str) -> object:
        """Start an endpoint."""

    def drain_endpoint(self, endpoint: EndpointType) -> None:
        """Announce an endpoint as draining and stop it some time later."""

    def crash_endpoint(self, endpoint: EndpointType) -> None:
        """Stop an endpoint without announcing it."""

    def reuse_address(self, endpoint: EndpointType, service: str) -> None:
        """Drain an endpoint and later start one of another service at its address."""

    def set_routes(self, routes: Routes) -> None:
        """Write a configuration with these routes."""

    def evacuate_zone(self, zone: str, seconds: float) -> None:
        """Evacuate a zone for `seconds`: it must get no new flows."""


def zones_of(
    deployment: ChangeableDeployment[RecordedEndpoint], destination: bytes
) -> frozenset[str]:
    """Return the zones of the running endpoints to which a destination is routed."""
    return frozenset(
        endpoint.record.zone
        for service in deployment.routes.get(destination, ())
        for endpoint in deployment.running_endpoints(service)
    )


class DeploymentChanges(Generic[EndpointType]):
    """Random changes of a deployment; `kinds` maps their names to functions that make one."""

    def __init__(self, deployment: ChangeableDeployment[EndpointType], rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self.kinds: dict[str, Callable[[], None]] = {
            "drain": lambda: self._replace_endpoint(deployment.drain_endpoint),
            "crash": lambda: self._replace_endpoint(deployment.crash_endpoint),
            "reuse": self._reuse_address,
            "route": self._change_routes,
            "evacuate": lambda: deployment.evacuate_zone(
                self._rng.choice(ZONES), EVACUATION_SECONDS
            ),
        }

    def _replace_endpoint(self, stop_endpoint: Callable[[EndpointType], None]) -> None:
        service = self._rng.choice(SERVICES)
        running = self._deployment.running_endpoints(service)
        if not running:
            return
        self._deployment.add_endpoint(service)
        stop_endpoint(self._rng.choice(running))

    def _reuse_address(self) -> None:
        running = self._deployment.running_endpoints(SERVICES[0])
        if len(running) > MINIMUM_REMAINING_ENDPOINTS:
            self._deployment.reuse_address(self._rng.choice(running), SERVICES[1])

    def _change_routes(self) -> None:
        keys = self._deployment.routes
        self._deployment.set_routes({key: frozenset({self._rng.choice(SERVICES)}) for key in keys})
