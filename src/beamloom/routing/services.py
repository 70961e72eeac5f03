"""Services and backends, indexed for forwarding."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from beamloom.model.addresses import SocketAddress, TransportProtocol
from beamloom.model.contracts import Backend, Generation, RepeatPolicy, ServiceContract
from beamloom.routing.hooks import TrafficMeter
from beamloom.routing.placement import NO_CANDIDATE, PlacementTable, build_placement_table


@dataclass(slots=True)
class ServiceRoute:
    """One service: its contract, the tables of its generations and its backends' addresses.

    Tables are built on first use; `open_flows` counts, by backend number, the flows that this node
    is home of; `meter` is the tenant's. The fields from `idle_timeout` to `protocol` repeat parts
    of the contract for the hot path; `deadline` is in seconds, 0 for none.
    """

    contract: ServiceContract
    destination_key: bytes
    senders: frozenset[SocketAddress]
    open_flows: dict[int, int] = field(default_factory=dict)
    meter: TrafficMeter = field(default_factory=TrafficMeter)
    idle_timeout: float = 0.0
    deadline: float = 0.0
    ip_bytes: bytes = b""
    port_bytes: bytes = b""
    protocol: int = 0
    _tables: dict[int, PlacementTable] = field(default_factory=dict)

    def table(self, generation: Generation) -> PlacementTable:
        """Return the placement table of one of the service's generations."""
        table = self._tables.get(generation.revision)
        if table is None:
            table = build_placement_table(generation)
            self._tables[generation.revision] = table
        return table

    @property
    def requires_binding(self) -> bool:
        """Whether a flow must be bound at a replica before its first packet is sent.

        TCP needs no binding: a backend without the connection answers a misrouted segment with a
        reset and does not process it (RFC 9293, 3.10.7.1). A datagram would be processed again.
        """
        never = self.contract.policy.request_repeat is RepeatPolicy.NEVER
        return never and self.contract.virtual_address.protocol is TransportProtocol.UDP

    @property
    def current_table(self) -> PlacementTable:
        """The table that decides new flows."""
        return self.table(self.contract.current_generation)

    def generation_at(self, revision: int) -> Generation:
        """Return the newest generation not newer than `revision`, or the oldest one kept."""
        generations = self.contract.generations
        for generation in reversed(generations):
            if generation.revision <= revision:
                return generation
        return generations[0]

    def backend_at(self, revision: int, slot: int) -> int:
        """Return the backend on which the generation in force at `revision` places a slot."""
        return self.table(self.generation_at(revision)).first[slot]


@dataclass(slots=True)
class BackendRoute:
    """One backend as the hot path needs it."""

    backend: Backend
    address: SocketAddress
    service: ServiceRoute


class RouteTable:
    """All services and backends in force at this node."""

    def __init__(self) -> None:
        self.by_destination: dict[bytes, ServiceRoute] = {}
        self.by_service_number: dict[int, ServiceRoute] = {}
        self.backends: dict[int, BackendRoute] = {}
        self.meters: dict[str, TrafficMeter] = {}
        self.revision = 0

    def removed_backends(
        self, changed: Iterable[ServiceContract], removed: Iterable[int]
    ) -> set[int]:
        """Return the numbers of the current backends that these changes would remove."""
        lost: set[int] = set()
        for contract in changed:
            lost |= self._numbers_of(contract.service_number)
            lost -= {backend.backend_number for backend in contract.backends}
        for service_number in removed:
            lost |= self._numbers_of(service_number)
        return lost

    def _numbers_of(self, service_number: int) -> set[int]:
        route = self.by_service_number.get(service_number)
        if route is None:
            return set()
        return {backend.backend_number for backend in route.contract.backends}

    def update(self, contracts: Iterable[ServiceContract]) -> None:
        """Add new services and replace changed ones."""
        for contract in contracts:
            self._put(contract)

    def _put(self, contract: ServiceContract) -> None:
        route = ServiceRoute(contract, _destination_key(contract), _senders(contract))
        route.protocol = int(contract.virtual_address.protocol)
        route.ip_bytes = contract.virtual_address.packed_ip
        route.port_bytes = contract.virtual_address.port.to_bytes(2, "big")
        route.idle_timeout = contract.policy.flow_idle_timeout
        if contract.virtual_address.protocol is TransportProtocol.TCP:
            route.deadline = contract.policy.request_deadline
        route.meter = self.meters.setdefault(contract.tenant, TrafficMeter())
        self.revision = max(self.revision, contract.current_generation.revision)
        previous = self.by_service_number.get(contract.service_number)
        if previous is not None:
            route.open_flows = previous.open_flows
            route._tables = _kept_tables(previous, contract)
            self.by_destination.pop(previous.destination_key, None)
            self._forget_backends(previous)
        self.by_service_number[contract.service_number] = route
        self.by_destination[route.destination_key] = route
        for backend in contract.backends:
            self.backends[backend.backend_number] = BackendRoute(
                backend, backend.data_address, route
            )

    def remove(self, service_number: int) -> None:
        """Remove a service; unknown numbers are ignored."""
        route = self.by_service_number.pop(service_number, None)
        if route is None:
            return
        self.by_destination.pop(route.destination_key, None)
        self._forget_backends(route)

    def _forget_backends(self, route: ServiceRoute) -> None:
        for backend in route.contract.backends:
            self.backends.pop(backend.backend_number, None)

    def has_backend(self, number: int) -> bool:
        """Whether a candidate number is that of a current backend."""
        return number != NO_CANDIDATE and number in self.backends


def _senders(contract: ServiceContract) -> frozenset[SocketAddress]:
    return frozenset(backend.data_address for backend in contract.backends)


def _destination_key(contract: ServiceContract) -> bytes:
    address = contract.virtual_address
    return address.packed_ip + address.port.to_bytes(2, "big") + bytes((address.protocol,))


def _kept_tables(previous: ServiceRoute, contract: ServiceContract) -> dict[int, PlacementTable]:
    kept: Mapping[int, Generation] = {item.revision: item for item in contract.generations}
    return {revision: table for revision, table in previous._tables.items() if revision in kept}
