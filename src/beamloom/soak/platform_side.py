"""The platform in a soak: store, endpoints, and changes by operators."""

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
    initial_routes,
)
from beamloom.simulation.tokens.oracle import APPLY_SECONDS, TokenOracle
from beamloom.simulation.tokens.store_restores import HEARTBEAT_TIMEOUT_SECONDS
from beamloom.soak.cold_openings import WARM_UP_SECONDS, WARM_UPS, ColdOpenings
from beamloom.soak.endpoint import SoakEndpoint
from beamloom.standins.token_endpoint import TokenEndpoint
from beamloom.standins.token_store import TokenStore
from beamloom.standins.token_store_server import TokenStoreFaults, TokenStoreServer
from beamloom.units import MILLISECONDS

ENDPOINT_PORT = 19080
FIRST_ENDPOINT_NETWORK = 16
HOSTS_PER_NETWORK = 250
INITIAL_ENDPOINTS = 8
DRAIN_DURATION_SECONDS = 8.0
"""Long enough to detect a node that still sends new flows after the 3 s that it may."""
REUSE_DELAY_SECONDS = 2.0
STALE_READ_LAG = 6
"""Number of revisions by which stale reads of the store lag."""


class SoakPlatform:
    """Store, endpoints and configuration; `call_later` calls a function after some seconds."""

    def __init__(
        self,
        network: str,
        oracle: TokenOracle,
        now: Callable[[], float],
        call_later: Callable[[float, Callable[[], object]], None],
    ) -> None:
        self.server = TokenStoreServer(TokenStore())
        self.server.store.stale_read_lag = STALE_READ_LAG
        self.endpoints: list[SoakEndpoint] = []
        self.configuration: dict[str, Any] = {}
        self.evacuated: set[str] = set()
        self.routes: dict[bytes, frozenset[str]] = {}
        self.store_host = f"{network}.4.1"
        self._network = network
        self._oracle = oracle
        self._now = now
        self._call_later = call_later
        self.cold = ColdOpenings(oracle)
        self._active_faults: Counter[str] = Counter()
        self._possibly_unknown_until: dict[str, float] = {}
        self._active_host_faults: Counter[tuple[str, str]] = Counter()
        self._version = 0
        self._sequences: Counter[tuple[str, int]] = Counter()
        self._next_identity = 0x1000

    async def start(self) -> None:
        """Start the store and the first endpoints, and write a configuration."""
        await self.server.start(self.store_host)
        for number in range(INITIAL_ENDPOINTS):
            self.add_endpoint(SERVICES[0] if number % 4 else SERVICES[1], cold=False)
        self.set_routes(initial_routes())

    async def close(self) -> None:
        """Close the endpoints and the store."""
        for endpoint in self.endpoints:
            endpoint.close()
        await self.server.close()

    def inject_store_fault(self, fault: str, value: object, seconds: float) -> None:
        """Set a fault of the store for `seconds`; overlapping ones of a kind end with the last."""
        self._oracle.note_store_fault(self._now() + seconds)
        self._active_faults[fault] += 1
        setattr(self.server.faults, fault, value)
        self._call_later(seconds, lambda: self._end_store_fault(fault))

    def _end_store_fault(self, fault: str) -> None:
        self._active_faults[fault] -= 1
        if not self._active_faults[fault]:
            setattr(self.server.faults, fault, getattr(TokenStoreFaults(), fault))

    def inject_host_fault(self, fault: str, hosts: Iterable[str], seconds: float) -> None:
        """Apply a fault of the store to some hosts for `seconds`, and serve the others.

        `fault` names one of the sets of hosts in TokenStoreFaults.
        """
        affected: set[str] = getattr(self.server.faults, fault)
        for host in hosts:
            self._active_host_faults[fault, host] += 1
            affected.add(host)
            self._call_later(seconds, partial(self._end_host_fault, fault, host))

    def _end_host_fault(self, fault: str, host: str) -> None:
        self._active_host_faults[fault, host] -= 1
        if not self._active_host_faults[fault, host]:
            getattr(self.server.faults, fault).discard(host)

    def add_endpoint(
        self, service: str, address: tuple[str, int] | None = None, *, cold: bool | None = None
    ) -> None:
        """Start an endpoint and announce it; if `cold` is None, every second one starts cold.

        Endpoints with `cold` False must be started before the nodes, which then all know them.
        """
        self._next_identity += 1
        identity = self._next_identity
        record = endpoint_record(identity, service, address or self._free_address())
        record = record._replace(born_at=_unix_milliseconds())
        endpoint = SoakEndpoint(TokenEndpoint(record.name, identity), record)
        self.endpoints.append(endpoint)
        if cold is not False:
            self._possibly_unknown_until[record.name] = self._now() + APPLY_SECONDS
        if identity % 2 == 0 if cold is None else cold:
            self._begin_warm_up(endpoint)
        else:
            self.announce(record)

    def _free_address(self) -> tuple[str, int]:
        network, host = divmod(len(self.endpoints), HOSTS_PER_NETWORK)
        return (f"{self._network}.{FIRST_ENDPOINT_NETWORK + network}.{host + 1}", ENDPOINT_PORT)

    def _begin_warm_up(self, endpoint: SoakEndpoint) -> None:
        """Announce an endpoint as cold now, and as warm after WARM_UP_SECONDS."""
        self.cold.note_cold(endpoint.record.name, self._now())
        self._change_record(endpoint, endpoint.record._replace(warm_up_seconds=WARM_UP_SECONDS))
        self._call_later(WARM_UP_SECONDS, lambda: self._end_warm_up(endpoint))

    def _end_warm_up(self, endpoint: SoakEndpoint) -> None:
        stopped = not endpoint.alive or endpoint.model.draining
        if stopped or self.cold.is_cold(endpoint.record.name, self._now()):
            return
        self._change_record(endpoint, endpoint.record._replace(warm_up_seconds=0.0))

    def _change_record(self, endpoint: SoakEndpoint, record: BackendRecord) -> None:
        endpoint.record = record
        self.announce(record)

    def running_endpoints(self, service: str) -> list[SoakEndpoint]:
        """Return the endpoints of a service that run and are not draining."""
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.alive and not endpoint.model.draining and endpoint.record.service == service
        ]

    def drain_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Announce an endpoint as draining, and stop it after DRAIN_DURATION_SECONDS."""
        endpoint.model.draining = True
        self._change_record(endpoint, endpoint.record._replace(state=BackendState.DRAINING))
        self._oracle.note_withdrawn(endpoint.record.name, self._now())
        self._call_later(DRAIN_DURATION_SECONDS, lambda: self._stop_endpoint(endpoint))

    def release(self, service: str) -> None:
        """Replace all endpoints of a service at once by new ones that start cold."""
        for endpoint in self.running_endpoints(service):
            self.add_endpoint(service, cold=True)
            self.drain_endpoint(endpoint)

    def crash_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Stop an endpoint unannounced; its entry is removed after three missed heartbeats."""
        endpoint.stop()
        self._call_later(HEARTBEAT_TIMEOUT_SECONDS, lambda: self.remove_entry(endpoint))

    def restart_endpoint(self, endpoint: SoakEndpoint, down_seconds: float) -> None:
        """Stop an endpoint and start it again under its name, without its former flows."""
        endpoint.stop()
        endpoint.restarted = True
        self._possibly_unknown_until[endpoint.record.name] = (
            self._now() + down_seconds + APPLY_SECONDS
        )
        self._call_later(down_seconds, lambda: self._start_again(endpoint.record))

    def _start_again(self, former: BackendRecord) -> None:
        record = former._replace(
            state=BackendState.READY, born_at=_unix_milliseconds(), warm_up_seconds=0.0
        )
        endpoint = SoakEndpoint(TokenEndpoint(record.name, record.identity), record)
        self.endpoints.append(endpoint)
        self._oracle.withdrawn_at.pop(record.name, None)
        self._begin_warm_up(endpoint)
        self.cold.note_restarted(record.name, self._now())

    def reuse_address(self, endpoint: SoakEndpoint, service: str) -> None:
        """Drain an endpoint and later start one of another service at its address."""
        self.drain_endpoint(endpoint)
        address = (endpoint.record.host, endpoint.record.port)
        delay = DRAIN_DURATION_SECONDS + REUSE_DELAY_SECONDS
        self._call_later(delay, lambda: self._reassign_address(address, service))

    def _reassign_address(self, address: tuple[str, int], service: str) -> None:
        """Start an endpoint at an address, unless another one runs there after a restart."""
        if not any(
            endpoint.alive and endpoint.record.address == address for endpoint in self.endpoints
        ):
            self.add_endpoint(service, address)

    def set_routes(self, routes: Routes) -> None:
        """Write a configuration with these routes."""
        self._version += 1
        self.routes = dict(routes)
        configuration = configuration_of(self._version, routes, WARM_UPS)
        content = store_encoding.encode_configuration(configuration)
        self.configuration = content
        self.server.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, content)
        self.server.note_change()
        self._oracle.note_routes(self.routes, self._now())

    def evacuate_zone(self, zone: str, seconds: float) -> None:
        """Evacuate a zone for `seconds`, unless it is evacuated already.

        Its endpoints are cold at the end of the evacuation.
        """
        if zone in self._oracle.evacuated_at:
            return
        self.evacuated.add(zone)
        self.server.store.put(EVACUATIONS_KIND, zone, {})
        self.server.note_change()
        self._oracle.note_evacuation_began(zone, self._now())
        self._call_later(seconds, lambda: self._end_evacuation(zone))

    def _end_evacuation(self, zone: str) -> None:
        for endpoint in self.endpoints:
            if endpoint.alive and not endpoint.model.draining and endpoint.record.zone == zone:
                self._begin_warm_up(endpoint)
        self.evacuated.discard(zone)
        self.server.store.remove_if_present(EVACUATIONS_KIND, zone)
        self.server.note_change()
        self._oracle.note_evacuation_ended(zone, self._now())

    def note_stale_evacuation_ended(self, zone: str) -> None:
        """Record the end of an evacuation that only a restored store still listed.

        Nodes treat the zone's endpoints as cold then, as after any evacuation.
        """
        self._oracle.note_evacuation_ended(zone, self._now())
        for endpoint in self.endpoints:
            if endpoint.record.zone == zone:
                self.cold.note_presumed_cold(endpoint.record.name, self._now())

    def may_have_no_backend(self, destination: bytes) -> bool:
        """Whether nodes may know no endpoint that can take a destination's new flows now.

        This holds if in one of the configurations that may be in force, nodes may consider each
        endpoint's zone evacuated, treat the endpoint as cold, or not know it yet after a start.
        """
        possible_services = self._oracle.possible_services(destination, self._now())
        return any(self._may_have_no_usable_backend(services) for services in possible_services)

    def _may_have_no_usable_backend(self, services: Iterable[str]) -> bool:
        now = self._now()
        usable = [
            endpoint.record
            for service in services
            for endpoint in self.running_endpoints(service)
            if not self._oracle.may_be_evacuated(endpoint.record.zone, now)
        ]
        possibly_unknown = {
            name for name, until in self._possibly_unknown_until.items() if now < until
        }
        if possibly_unknown and all(record.name in possibly_unknown for record in usable):
            return True
        usable = [record for record in usable if record.name not in possibly_unknown]
        return self.cold.may_all_be_presumed_cold((record.name for record in usable), now)

    def encode(self, record: BackendRecord) -> dict[str, Any]:
        """Return the entry of an endpoint with its next sequence number."""
        self._sequences[record.name, record.born_at] += 1
        sequence = self._sequences[record.name, record.born_at]
        return store_encoding.encode_backend(record._replace(sequence=sequence))

    def announce(self, record: BackendRecord) -> None:
        """Write the entry of an endpoint to the store."""
        self.server.store.put(BACKENDS_KIND, record.name, self.encode(record))
        self.server.note_change()

    def _stop_endpoint(self, endpoint: SoakEndpoint) -> None:
        if endpoint.alive:
            endpoint.stop()
        self.remove_entry(endpoint)

    def remove_entry(self, endpoint: SoakEndpoint) -> None:
        """Remove the entry of an endpoint that has ended, unless it was restarted."""
        if endpoint.restarted:
            return
        self.server.store.remove_if_present(BACKENDS_KIND, endpoint.record.name)
        self.server.note_change()
        self._oracle.note_withdrawn(endpoint.record.name, self._now())


def _unix_milliseconds() -> int:
    return int(time.time() * MILLISECONDS)
