"""The simulator's adapter of one decision core; see docs/design/core.md."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine
from beamloom.protocol.commands import (
    CheckBackend,
    Command,
    ListStore,
    LocalSocket,
    ReadObject,
    RecordTransition,
    SendControl,
    SendPacket,
    StopNode,
    StopWatch,
    WatchStore,
    WriteObject,
)
from beamloom.protocol.events import (
    BackendChecked,
    ControlDatagramReceived,
    Event,
    StopRequested,
    TimerExpired,
)
from beamloom.simulation.clock import LocalClock, ScheduledCall, VirtualClock
from beamloom.simulation.hosts import Host
from beamloom.simulation.measurements import Measurements
from beamloom.simulation.network import Network
from beamloom.simulation.store_link import StoreLink
from beamloom.standins.platform_store import PlatformStore

MINIMUM_TIMER_DELAY = 0.001
"""Minimum delay of a node's timer, in seconds of the virtual clock."""


class DecisionCore(Protocol):
    """Interface of `node.NodeCore` and of the baselines that the adapter uses."""

    @property
    def revision_in_force(self) -> int:
        """The revision up to which all changes are in force."""

    def start(self, now: float) -> list[Command]:
        """Start the core and return its first commands."""

    def packet_received(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Return where to forward a packet, or None."""

    @property
    def has_commands(self) -> bool:
        """Whether packets produced commands that `take_commands` returns."""

    def take_commands(self, now: float) -> list[Command]:
        """Return and remove the commands that packets produced."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle an event and return the resulting commands."""

    def next_timer(self) -> float | None:
        """Return the local time at which `TimerExpired` is due, or None."""

    @property
    def ready(self) -> bool:
        """Whether the node has a configuration in force."""


@dataclass(frozen=True, slots=True)
class NodeSurroundings:
    """Dependencies of a simulated node; `check_backend` passes its result to the callback."""

    clock: VirtualClock
    network: Network
    measurements: Measurements
    check_backend: Callable[[Host, CheckBackend, Callable[[BackendChecked], None]], None]


class SimulatedNode:
    """Passes events to one core, with its machine's local time, and executes its commands."""

    def __init__(
        self,
        core: DecisionCore,
        machine: Machine,
        host: Host,
        local_clock: LocalClock,
        surroundings: NodeSurroundings,
    ) -> None:
        self.core = core
        self.machine = machine
        self.host = host
        self.local_clock = local_clock
        self.leaving = False
        self.stopped = False
        self._surroundings = surroundings
        self._network = surroundings.network
        self._measurements = surroundings.measurements
        self._timer: ScheduledCall | None = None
        self._timer_at: float | None = None
        self._store_link: StoreLink | None = None

    @property
    def name(self) -> str:
        """The node's id."""
        return self.machine.node_id

    @property
    def serving(self) -> bool:
        """Whether the fabric's health check of this node passes."""
        running = self.host.running and not self.host.paused
        return running and not self.leaving and self.core.ready

    def start(self, store: PlatformStore, store_host: Host) -> None:
        """Register the machine with the platform, open the sockets and start the core."""
        machine = self.machine
        clock = self._surroundings.clock
        self._measurements.node_started(machine.node_id)
        store.machines.register(machine, clock.now)
        self._store_link = StoreLink(
            clock,
            self._network,
            store,
            store_host=store_host,
            node_host=self.host,
            deliver=self.handle,
        )
        self._network.attach(machine.data_address, self.host, self._data_received)
        self._network.attach(machine.peer_address, self.host, self._peer_received)
        self._network.attach(machine.control_address, self.host, self._control_received)
        self._execute(self.core.start(self.local_clock.now))

    def request_stop(self) -> None:
        """Begin the planned stop."""
        self.leaving = True
        self.host.deliver(self.handle, StopRequested())

    def crash(self) -> None:
        """Stop at once, without a planned stop."""
        self.host.crash()
        self._close()

    def handle(self, event: Event) -> None:
        """Pass one event to the core, unless the node has stopped."""
        if not self.stopped:
            self._execute(self.core.handle(event, self.local_clock.now))

    def _close(self) -> None:
        self.stopped = True
        if self._store_link is not None:
            self._store_link.close()
            self._store_link = None
        if self._timer is not None:
            self._timer.cancel()
        machine = self.machine
        for address in (machine.data_address, machine.peer_address, machine.control_address):
            self._network.detach(address)

    def _data_received(self, data: bytes, source: SocketAddress) -> None:
        self._packet_received(data, source, False)

    def _peer_received(self, data: bytes, source: SocketAddress) -> None:
        self._packet_received(data, source, True)

    def _packet_received(self, data: bytes, source: SocketAddress, from_peer: bool) -> None:
        now = self.local_clock.now
        destination = self.core.packet_received(data, source, from_peer, now)
        if destination is not None:
            self._measurements.packet_sent(self.name, destination, data)
            self._network.send(self.host, self.machine.data_address, destination, data)
        if self.core.has_commands:
            self._execute(self.core.take_commands(now))

    def _control_received(self, data: bytes, source: SocketAddress) -> None:
        self.handle(ControlDatagramReceived(data, source))

    def _execute(self, commands: Sequence[Command]) -> None:
        for command in commands:
            self._measurements.command(self.name, command)
            self._execute_one(command)
        if not self.stopped:
            self._measurements.configuration_in_force(self.name, self.core.revision_in_force)
            self._schedule_timer()

    def _execute_one(self, command: Command) -> None:
        match command:
            case SendPacket(local_socket, destination, data):
                source = self._address(local_socket)
                self._network.send(self.host, source, destination, data)
            case SendControl(destination, data):
                self._measurements.control_sent(self.name, len(data))
                source = self.machine.control_address
                self._network.send(self.host, source, destination, data)
            case ListStore() | WatchStore() | StopWatch() | ReadObject() | WriteObject():
                if self._store_link is not None:
                    self._store_link.execute(command)
            case CheckBackend():
                self._surroundings.check_backend(self.host, command, self.handle)
            case RecordTransition():
                pass
            case StopNode():
                self.host.running = False
                self._close()
            case _:
                raise TypeError(
                    f"the adapter does not support the command {type(command).__name__}"
                )

    def _address(self, local_socket: LocalSocket) -> SocketAddress:
        if local_socket is LocalSocket.DATA:
            return self.machine.data_address
        if local_socket is LocalSocket.PEER:
            return self.machine.peer_address
        return self.machine.control_address

    def _schedule_timer(self) -> None:
        due_at = self.core.next_timer()
        if due_at is None or (self._timer_at is not None and self._timer_at <= due_at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due_at
        delay = max(self.local_clock.delay_until(due_at), MINIMUM_TIMER_DELAY)
        clock = self._surroundings.clock
        self._timer = clock.call_later(delay, self.host.deliver, self._timer_expired)

    def _timer_expired(self) -> None:
        self._timer = None
        self._timer_at = None
        if self.stopped:
            return
        due_at = self.core.next_timer()
        if due_at is not None and due_at <= self.local_clock.now:
            self.handle(TimerExpired())
        else:
            self._schedule_timer()
