"""What the platform is to the nodes of a soak: its store, its endpoints, its operators."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from beamloom.platform import store_encoding
from beamloom.platform.store_objects import (
    BACKENDS_KIND,
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATIONS_KIND,
)
from beamloom.routing.tokens.records import BackendRecord, BackendState
from beamloom.simulation.tokens.deployment import (
    SERVICES,
    Routes,
    configuration_of,
    endpoint_record,
    first_routes,
)
from beamloom.simulation.tokens.oracle import APPLY_SECONDS, TokenOracle
from beamloom.simulation.tokens.store_restores import HEARTBEATS_SECONDS
from beamloom.soak.cold_openings import WARM_UP_SECONDS, WARM_UPS, ColdOpenings
from beamloom.soak.endpoint import SoakEndpoint
from beamloom.standins.token_endpoint import TokenEndpoint
from beamloom.standins.token_store import TokenStore
from beamloom.standins.token_store_server import TokenStoreFaults, TokenStoreServer
from beamloom.units import MILLISECONDS

ENDPOINT_PORT = 19080
FIRST_ENDPOINT_NETWORK = 16
HOSTS_OF_A_NETWORK = 250
FIRST_ENDPOINTS = 8
SERVE_ON_SECONDS = 8.0
"""Long enough to see a node that goes on sending new flows, which it may for 3 s."""
REUSE_SECONDS = 2.0
STALE_BEHIND = 6
"""Revisions of the store by which stale reads are behind."""


class SoakPlatform:
    """Store, endpoints and configuration; `later` does something after so many seconds."""

    def __init__(
        self,
        network: str,
        oracle: TokenOracle,
        now: Callable[[], float],
        later: Callable[[float, Callable[[], object]], None],
    ) -> None:
        self.server = TokenStoreServer(TokenStore())
        self.server.store.stale_behind = STALE_BEHIND
        self.endpoints: list[SoakEndpoint] = []
        self.configuration: dict[str, Any] = {}
        self.evacuated: set[str] = set()
        self.routes: dict[bytes, frozenset[str]] = {}
        self.store_host = f"{network}.4.1"
        self._network = network
        self._oracle = oracle
        self._now = now
        self._later = later
        self.cold = ColdOpenings(oracle)
        self._strokes: Counter[str] = Counter()
        self._away_until: dict[str, float] = {}
        self._host_strokes: Counter[tuple[str, str]] = Counter()
        self._version = 0
        self._sequences: Counter[tuple[str, int]] = Counter()
        self._next_identity = 0x1000

    async def start(self) -> None:
        """Start the store and the first endpoints, and write a configuration."""
        await self.server.start(self.store_host)
        for number in range(FIRST_ENDPOINTS):
            self.add_endpoint(SERVICES[0] if number % 4 else SERVICES[1], cold=False)
        self.set_routes(first_routes())

    async def close(self) -> None:
        """End store and endpoints."""
        for endpoint in self.endpoints:
            endpoint.close()
        await self.server.close()

    def disturb_store(self, fault: str, value: object, seconds: float) -> None:
        """Set one of the store's faults for a while; it ends with the last stroke of its kind."""
        self._oracle.note_store_disturbed(self._now() + seconds)
        self._strokes[fault] += 1
        setattr(self.server.faults, fault, value)
        self._later(seconds, lambda: self._end_stroke(fault))

    def _end_stroke(self, fault: str) -> None:
        self._strokes[fault] -= 1
        if not self._strokes[fault]:
            setattr(self.server.faults, fault, getattr(TokenStoreFaults(), fault))

    def disturb_hosts(self, fault: str, hosts: Iterable[str], seconds: float) -> None:
        """Let the store treat some hosts badly for a while, and serve the others.

        `fault` names one of the sets of hosts of its faults.
        """
        treated: set[str] = getattr(self.server.faults, fault)
        for host in hosts:
            self._host_strokes[fault, host] += 1
            treated.add(host)
            self._later(seconds, partial(self._end_host_stroke, fault, host))

    def _end_host_stroke(self, fault: str, host: str) -> None:
        self._host_strokes[fault, host] -= 1
        if not self._host_strokes[fault, host]:
            getattr(self.server.faults, fault).discard(host)

    def add_endpoint(
        self, service: str, address: tuple[str, int] | None = None, *, cold: bool | None = None
    ) -> None:
        """Start an endpoint and announce it; unless told, every other one starts cold.

        Those that are told to be warm are there before any node.
        """
        self._next_identity += 1
        identity = self._next_identity
        record = endpoint_record(identity, service, address or self._free_address())
        record = record._replace(born_at=_unix_milliseconds())
        endpoint = SoakEndpoint(TokenEndpoint(record.name, identity), record)
        self.endpoints.append(endpoint)
        if cold is not False:
            self._away_until[record.name] = self._now() + APPLY_SECONDS
        if identity % 2 == 0 if cold is None else cold:
            self._turn_cold(endpoint)
        else:
            self.announce(record)

    def _free_address(self) -> tuple[str, int]:
        network, host = divmod(len(self.endpoints), HOSTS_OF_A_NETWORK)
        return (f"{self._network}.{FIRST_ENDPOINT_NETWORK + network}.{host + 1}", ENDPOINT_PORT)

    def _turn_cold(self, endpoint: SoakEndpoint) -> None:
        """Let an endpoint be cold from now on and say so, and say later that it is not."""
        self.cold.note_cold(endpoint.record.name, self._now())
        self._change_record(endpoint, endpoint.record._replace(warm_up_seconds=WARM_UP_SECONDS))
        self._later(WARM_UP_SECONDS, lambda: self._warm_up(endpoint))

    def _warm_up(self, endpoint: SoakEndpoint) -> None:
        leaves = not endpoint.alive or endpoint.model.draining
        if leaves or self.cold.is_cold(endpoint.record.name, self._now()):
            return
        self._change_record(endpoint, endpoint.record._replace(warm_up_seconds=0.0))

    def _change_record(self, endpoint: SoakEndpoint, record: BackendRecord) -> None:
        endpoint.record = record
        self.announce(record)

    def running_endpoints(self, service: str) -> list[SoakEndpoint]:
        """Return those of a service that run and do not leave."""
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.alive and not endpoint.model.draining and endpoint.record.service == service
        ]

    def drain_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Let an endpoint leave: it says so, serves on and ends."""
        endpoint.model.draining = True
        self._change_record(endpoint, endpoint.record._replace(state=BackendState.DRAINING))
        self._oracle.note_left(endpoint.record.name, self._now())
        self._later(SERVE_ON_SECONDS, lambda: self._end_endpoint(endpoint))

    def release(self, service: str) -> None:
        """Replace all endpoints of a service at once by ones that start cold."""
        for endpoint in self.running_endpoints(service):
            self.add_endpoint(service, cold=True)
            self.drain_endpoint(endpoint)

    def crash_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Let an endpoint die without a word."""
        endpoint.end()
        self._later(HEARTBEATS_SECONDS, lambda: self.forget_entry(endpoint))

    def restart_endpoint(self, endpoint: SoakEndpoint, down_seconds: float) -> None:
        """Let an endpoint end and start anew under its name: it knows nothing of before."""
        endpoint.end()
        endpoint.started_anew = True
        self._away_until[endpoint.record.name] = self._now() + down_seconds + APPLY_SECONDS
        self._later(down_seconds, lambda: self._start_anew(endpoint.record))

    def _start_anew(self, former: BackendRecord) -> None:
        record = former._replace(
            state=BackendState.READY, born_at=_unix_milliseconds(), warm_up_seconds=0.0
        )
        endpoint = SoakEndpoint(TokenEndpoint(record.name, record.identity), record)
        self.endpoints.append(endpoint)
        self._oracle.left_at.pop(record.name, None)
        self._turn_cold(endpoint)
        self.cold.note_started_anew(record.name, self._now())

    def reuse_address(self, endpoint: SoakEndpoint, service: str) -> None:
        """Let an endpoint leave and its address pass to another service."""
        self.drain_endpoint(endpoint)
        address = (endpoint.record.host, endpoint.record.port)
        wait = SERVE_ON_SECONDS + REUSE_SECONDS
        self._later(wait, lambda: self._take_over(address, service))

    def _take_over(self, address: tuple[str, int], service: str) -> None:
        """Start an endpoint at an address, unless its former owner has started anew there."""
        if not any(held.alive and held.record.address == address for held in self.endpoints):
            self.add_endpoint(service, address)

    def set_routes(self, routes: Routes) -> None:
        """Write a configuration."""
        self._version += 1
        self.routes = dict(routes)
        configuration = configuration_of(self._version, routes, WARM_UPS)
        content = store_encoding.encode_configuration(configuration)
        self.configuration = content
        self.server.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, content)
        self.server.note_change()
        self._oracle.note_routes(self.routes, self._now())

    def evacuate_zone(self, zone: str, seconds: float) -> None:
        """Ask that a zone gets no new flows, unless that is asked already; take it back later.

        Its endpoints are cold then.
        """
        if zone in self._oracle.evacuated_at:
            return
        self.evacuated.add(zone)
        self.server.store.put(EVACUATIONS_KIND, zone, {})
        self.server.note_change()
        self._oracle.note_evacuated(zone, self._now())
        self._later(seconds, lambda: self._take_back(zone))

    def _take_back(self, zone: str) -> None:
        for endpoint in self.endpoints:
            if endpoint.alive and not endpoint.model.draining and endpoint.record.zone == zone:
                self._turn_cold(endpoint)
        self.evacuated.discard(zone)
        self.server.store.remove_if_there(EVACUATIONS_KIND, zone)
        self.server.note_change()
        self._oracle.note_taken_back(zone, self._now())

    def note_seeming_return(self, zone: str) -> None:
        """Note that nodes hear of a zone's return that a restored store had shown as evacuated.

        They take its endpoints for cold then, as they must after any return.
        """
        self._oracle.note_taken_back(zone, self._now())
        for endpoint in self.endpoints:
            if endpoint.record.zone == zone:
                self.cold.note_may_seem_cold(endpoint.record.name, self._now())

    def serves_nobody(self, destination: bytes) -> bool:
        """Whether nodes may know no endpoint that could take a destination's new flows now.

        They may yet go by the configuration before a change. Each endpoint is in a zone that may be
        held for evacuated, or may be held for cold, or not be heard of yet, as it has just started,
        or started anew.
        """
        may_be_in_force = self._oracle.may_be_in_force(destination, self._now())
        return any(self._may_know_none(services) for services in may_be_in_force)

    def _may_know_none(self, services: Iterable[str]) -> bool:
        now = self._now()
        usable = [
            endpoint.record
            for service in services
            for endpoint in self.running_endpoints(service)
            if not self._oracle.may_be_evacuated(endpoint.record.zone, now)
        ]
        away = {name for name, until in self._away_until.items() if now < until}
        if away and all(record.name in away for record in usable):
            return True
        usable = [record for record in usable if record.name not in away]
        return self.cold.may_all_seem_cold((record.name for record in usable), now)

    def encode(self, record: BackendRecord) -> dict[str, Any]:
        """Return the next entry of an endpoint."""
        self._sequences[record.name, record.born_at] += 1
        sequence = self._sequences[record.name, record.born_at]
        return store_encoding.encode_backend(record._replace(sequence=sequence))

    def announce(self, record: BackendRecord) -> None:
        """Let an endpoint write its entry."""
        self.server.store.put(BACKENDS_KIND, record.name, self.encode(record))
        self.server.note_change()

    def _end_endpoint(self, endpoint: SoakEndpoint) -> None:
        if endpoint.alive:
            endpoint.end()
        self.forget_entry(endpoint)

    def forget_entry(self, endpoint: SoakEndpoint) -> None:
        """Remove the entry of an endpoint that has ended, unless it has started anew since."""
        if endpoint.started_anew:
            return
        self.server.store.remove_if_there(BACKENDS_KIND, endpoint.record.name)
        self.server.note_change()
        self._oracle.note_left(endpoint.record.name, self._now())


def _unix_milliseconds() -> int:
    return int(time.time() * MILLISECONDS)
