"""What befalls endpoints and routes, drawn by chance: the same in the simulation and the soak."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from beamloom.routing.tokens.records import BackendRecord
from beamloom.simulation.tokens.deployment import SERVICES, ZONES, Routes

FEWEST_LEFT = 2
EVACUATION_SECONDS = 8.0
"""Longer than a zone may take to be rid of new flows, so that a late one is seen."""
EndpointType = TypeVar("EndpointType")
RecordedEndpoint = TypeVar("RecordedEndpoint", bound="HasRecord")


class HasRecord(Protocol):
    """An endpoint with its record in the store."""

    record: BackendRecord


class ChangeableDeployment(Protocol[EndpointType]):
    """A deployment whose endpoints and routes can be changed."""

    routes: dict[bytes, frozenset[str]]

    def running_endpoints(self, service: str) -> list[EndpointType]:
        """Return those of a service that run and do not leave."""

    def add_endpoint(self, service: str) -> object:
        """Start an endpoint."""

    def drain_endpoint(self, endpoint: EndpointType) -> None:
        """Let an endpoint leave: it says so, serves on for a while, and ends."""

    def crash_endpoint(self, endpoint: EndpointType) -> None:
        """Let an endpoint die without a word."""

    def reuse_address(self, endpoint: EndpointType, service: str) -> None:
        """Let an endpoint leave and its address pass to another service."""

    def set_routes(self, routes: Routes) -> None:
        """Write a configuration."""

    def evacuate_zone(self, zone: str, seconds: float) -> None:
        """Ask that a zone gets no new flows, and take it back after a while."""


def zones_of(
    deployment: ChangeableDeployment[RecordedEndpoint], destination: bytes
) -> frozenset[str]:
    """Return the zones of the endpoints that a destination's new flows may get."""
    return frozenset(
        endpoint.record.zone
        for service in deployment.routes.get(destination, ())
        for endpoint in deployment.running_endpoints(service)
    )


class DeploymentChanges(Generic[EndpointType]):
    """The changes by name."""

    def __init__(
        self, deployment: ChangeableDeployment[EndpointType], chance: random.Random
    ) -> None:
        self._deployment = deployment
        self._chance = chance
        self.kinds: dict[str, Callable[[], None]] = {
            "drain": lambda: self._replace(deployment.drain_endpoint),
            "crash": lambda: self._replace(deployment.crash_endpoint),
            "reuse": self._reuse,
            "route": self._change_routes,
            "evacuate": lambda: deployment.evacuate_zone(
                self._chance.choice(ZONES), EVACUATION_SECONDS
            ),
        }

    def _replace(self, end: Callable[[EndpointType], None]) -> None:
        service = self._chance.choice(SERVICES)
        running = self._deployment.running_endpoints(service)
        if not running:
            return
        self._deployment.add_endpoint(service)
        end(self._chance.choice(running))

    def _reuse(self) -> None:
        running = self._deployment.running_endpoints(SERVICES[0])
        if len(running) > FEWEST_LEFT:
            self._deployment.reuse_address(self._chance.choice(running), SERVICES[1])

    def _change_routes(self) -> None:
        keys = self._deployment.routes
        self._deployment.set_routes(
            {key: frozenset({self._chance.choice(SERVICES)}) for key in keys}
        )
