"""Clients, fabric edges and backends: the models of `standins` on the simulated network."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from beamloom.model.addresses import SocketAddress
from beamloom.protocol.commands import CheckBackend
from beamloom.protocol.events import BackendChecked
from beamloom.simulation.clock import ScheduledCall, VirtualClock
from beamloom.simulation.deployment import DATA_PORT, BackendLocation, Site
from beamloom.simulation.hosts import Host
from beamloom.simulation.network import Network
from beamloom.standins.application import Request, RequestKind
from beamloom.standins.backend_model import BackendModel, BackendOptions, ServiceTime
from beamloom.standins.client_host import ClientHost
from beamloom.standins.client_model import ClientFlow
from beamloom.standins.fabric_model import FabricModel

CHECK_TIMEOUT = 1.0
"""Seconds after which a health check without an answer fails."""
UPDATE_SHARE = 0.1
"""Service time of an update as a share of that of a document."""
CHECK_SECONDS = 0.0005
"""Processing time of a backend in the reported duration of a health check, in seconds."""


def uniform_service_time(document_seconds: float) -> ServiceTime:
    """Return a uniform distribution of service times, which needs no logarithm of the C library."""

    def draw(request: Request, rng: random.Random) -> float:
        document = request.kind is RequestKind.DOCUMENT
        mean = document_seconds if document else document_seconds * UPDATE_SHARE
        return mean * 2 * rng.random()

    return draw


class PollTimer:
    """Calls `poll` when the time that `next_timer` returns has come."""

    def __init__(
        self,
        clock: VirtualClock,
        host: Host,
        next_timer: Callable[[], float | None],
        poll: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._host = host
        self._next_timer = next_timer
        self._poll = poll
        self._scheduled: ScheduledCall | None = None
        self._at: float | None = None

    def schedule(self) -> None:
        """Schedule the next poll from `next_timer`, unless one is scheduled no later."""
        due_at = self._next_timer()
        if due_at is None or (self._at is not None and self._at <= due_at):
            return
        if self._scheduled is not None:
            self._scheduled.cancel()
        self._at = due_at
        self._scheduled = self._clock.call_at(due_at, self._host.deliver, self._expire)

    def _expire(self) -> None:
        self._scheduled = None
        self._at = None
        due_at = self._next_timer()
        if due_at is not None and due_at <= self._clock.now:
            self._poll()
        self.schedule()


class ClientEdge:
    """The clients of one site and the fabric edge that distributes their packets to balancers."""

    def __init__(
        self, clock: VirtualClock, network: Network, site: Site, rng: random.Random
    ) -> None:
        self.site = site
        self.host = Host(clock, f"clients-{site.region}", site.client_zone)
        self.fabric_address = SocketAddress(f"10.{site.network_number}.250.1", DATA_PORT)
        self.clients = ClientHost()
        self.fabric = FabricModel(rng)
        self._clock = clock
        self._network = network
        self._timer = PollTimer(clock, self.host, self.clients.next_timer, self._poll)
        network.attach(self.fabric_address, self.host, self._answer_received)

    def start(self, flow: ClientFlow) -> None:
        """Open a flow."""
        self._send(self.clients.start(flow, self._clock.now))

    def cancel(self, flow: ClientFlow) -> None:
        """Cancel a flow."""
        self._send(self.clients.cancel(flow, self._clock.now))

    def _answer_received(self, data: bytes, source: SocketAddress) -> None:
        now = self._clock.now
        for delivery in self.fabric.from_balancer(data, now):
            self._send(self.clients.receive(delivery.data, now))

    def _poll(self) -> None:
        self._send(self.clients.poll(self._clock.now))

    def _send(self, packets: Sequence[bytes]) -> None:
        now = self._clock.now
        for packet in packets:
            for delivery in self.fabric.from_client(packet, self.fabric_address, now):
                self._network.send(
                    self.host, self.fabric_address, delivery.destination, delivery.data
                )
        self._timer.schedule()


class SimulatedBackend:
    """One backend and its host; it sends answers to random balancers of its site's fabric."""

    def __init__(
        self,
        clock: VirtualClock,
        network: Network,
        placed: BackendLocation,
        *,
        edge: ClientEdge,
        rng: random.Random,
        options: BackendOptions,
    ) -> None:
        self.placed = placed
        self.host = Host(clock, placed.backend_id, placed.zone)
        self.model = BackendModel(
            placed.backend_id,
            placed.service.virtual_address,
            rng,
            clock.now,
            options,
        )
        self._clock = clock
        self._network = network
        self._edge = edge
        self._rng = rng
        self._timer = PollTimer(clock, self.host, self.model.next_timer, self._poll)
        network.attach(placed.data_address, self.host, self._received)

    def crash(self) -> None:
        """Crash the host and close its socket."""
        self.host.crash()
        self._network.detach(self.placed.data_address)

    def check(self, command: CheckBackend) -> BackendChecked:
        """Return the result of a health check, with a duration of zero."""
        health = self.model.health(self._clock.now)
        return BackendChecked(
            command.backend_number, health.healthy, health.shedding, health.load, 0.0
        )

    def _received(self, data: bytes, source: SocketAddress) -> None:
        self._send(self.model.receive(data, self._clock.now))

    def _poll(self) -> None:
        self._send(self.model.poll(self._clock.now))

    def _send(self, packets: Sequence[bytes]) -> None:
        balancers = self._edge.fabric.balancers
        for packet in packets:
            if balancers:
                destination = self._rng.choice(balancers)
                source = self.placed.data_address
                self._network.send(self.host, source, destination, packet)
        self._timer.schedule()


class HealthChecks:
    """Executes the health checks of nodes at backends."""

    def __init__(self, clock: VirtualClock, network: Network) -> None:
        self._clock = clock
        self._network = network
        self._backends: dict[SocketAddress, SimulatedBackend] = {}

    def add(self, backend: SimulatedBackend) -> None:
        """Register a backend's health endpoint."""
        self._backends[backend.placed.health_address] = backend

    def check(
        self, host: Host, command: CheckBackend, deliver: Callable[[BackendChecked], None]
    ) -> None:
        """Check a backend for the node on `host` and pass the result to `deliver`."""
        backend = self._backends.get(command.health_address)
        delay = None if backend is None else self._network.delay_between(host, backend.host)
        if backend is None or delay is None or backend.host.paused:
            failed = BackendChecked(command.backend_number, False, False, 0.0, CHECK_TIMEOUT)
            self._clock.call_later(CHECK_TIMEOUT, host.deliver, deliver, failed)
            return
        self._clock.call_later(delay, self._answer, backend, command, host, deliver, delay)

    def _answer(
        self,
        backend: SimulatedBackend,
        command: CheckBackend,
        host: Host,
        deliver: Callable[[BackendChecked], None],
        delay: float,
    ) -> None:
        checked = backend.check(command)
        seconds = 2 * delay + CHECK_SECONDS
        answer = BackendChecked(
            checked.backend_number, checked.healthy, checked.shedding, checked.load, seconds
        )
        self._clock.call_later(delay, host.deliver, deliver, answer)
