"""The asyncio adapter that runs one decision core on UDP sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import structlog

from beamloom.model.addresses import SocketAddress
from beamloom.node.core import NodeCore
from beamloom.protocol.commands import (
    Command,
    LocalSocket,
    RecordTransition,
    SendControl,
    SendPacket,
    StopNode,
)
from beamloom.protocol.events import ControlDatagramReceived, Event, StopRequested, TimerExpired
from beamloom.runtime.errors import BrokenComponentError
from beamloom.runtime.faults import FaultRecorder, FaultSource
from beamloom.runtime.machine_sockets import MachineSockets

CommandHandler = Callable[[Command], bool]


class BalancerProcess:
    """Runs one balancer: passes events to the core and executes its commands.

    `extra_handlers` are tried in turn for commands that this adapter does not execute; each returns
    whether it executed the command. `stopped` is set when the node has stopped; `failure` is then
    the error that stopped it, or None after a planned stop. runtime/faults.py describes how
    exceptions of the core are handled.
    """

    def __init__(self, core: NodeCore, sockets: MachineSockets) -> None:
        self.core = core
        self.stopped = asyncio.Event()
        self.stop_complete = False
        self.failure: BrokenComponentError | None = None
        self.faults = FaultRecorder(core.options.machine.node_id)
        self.extra_handlers: list[CommandHandler] = []
        self._sockets = {
            LocalSocket.DATA: sockets.data,
            LocalSocket.PEER: sockets.peer,
            LocalSocket.CONTROL: sockets.control,
        }
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float | None = None
        self._log = structlog.get_logger().bind(node=core.options.machine.node_id)

    @property
    def unsent_datagrams(self) -> dict[LocalSocket, int]:
        """Number of datagrams that the kernel refused to send, by socket."""
        return {local: datagram_socket.unsent for local, datagram_socket in self._sockets.items()}

    def start(self) -> None:
        """Listen on the three sockets and start the core."""
        self._sockets[LocalSocket.DATA].listen(self._data_received)
        self._sockets[LocalSocket.PEER].listen(self._peer_received)
        self._sockets[LocalSocket.CONTROL].listen(self._control_received)
        self._execute_all(self.core.start(self._now()))

    def deliver(self, event: Event) -> None:
        """Pass an event to the core and execute its commands; an exception stops the node."""
        if self.failure is not None:
            return
        try:
            self._execute_all(self.core.handle(event, self._now()))
        except Exception as error:
            self._fail(error)

    def query_in_force(self, revision: int) -> None:
        """Start to collect where a revision is in force; see `core.fleet_status.in_force`."""
        try:
            self._execute_all(self.core.query_in_force(revision, self._now()))
        except Exception as error:
            self._fail(error)

    def request_stop(self) -> None:
        """Begin a planned stop; `stopped` is set once it is complete."""
        self.deliver(StopRequested())

    def close(self) -> None:
        """Close the sockets and cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
        for datagram_socket in self._sockets.values():
            datagram_socket.close()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _data_received(self, data: bytes, source: SocketAddress) -> None:
        self._packet_received(data, source, from_peer=False)

    def _peer_received(self, data: bytes, source: SocketAddress) -> None:
        self._packet_received(data, source, from_peer=True)

    def _packet_received(self, data: bytes, source: SocketAddress, from_peer: bool) -> None:
        core = self.core
        try:
            destination = core.packet_received(data, source, from_peer, self._now())
            if destination is not None:
                self._sockets[LocalSocket.DATA].send(data, destination)
            if core.has_commands:
                self._execute_all(core.take_commands(self._now()))
        except Exception as error:
            self.faults.record(FaultSource.PACKET, error)

    def _control_received(self, data: bytes, source: SocketAddress) -> None:
        try:
            event = ControlDatagramReceived(data, source)
            self._execute_all(self.core.handle(event, self._now()))
        except Exception as error:
            self.faults.record(FaultSource.CONTROL_DATAGRAM, error)

    def _fail(self, error: Exception) -> None:
        self.failure = self.faults.record_broken(error)
        self.stopped.set()

    def _execute_all(self, commands: Sequence[Command]) -> None:
        for command in commands:
            self._execute(command)
        self._set_timer()

    def _execute(self, command: Command) -> None:
        match command:
            case SendPacket(local_socket, destination, data):
                self._sockets[local_socket].send(data, destination)
            case SendControl(destination, data):
                self._sockets[LocalSocket.CONTROL].send(data, destination)
            case RecordTransition(subject, before, after, reason):
                self._log.info(
                    "state_changed", subject=subject, before=before, after=after, reason=reason
                )
            case StopNode(complete):
                self.stop_complete = complete
                self.stopped.set()
            case _:
                any(handle(command) for handle in self.extra_handlers)

    def _set_timer(self) -> None:
        due_at = self.core.next_timer()
        if due_at == self._timer_at and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = None
        if due_at is not None:
            self._timer = asyncio.get_running_loop().call_at(due_at, self._timer_expired)

    def _timer_expired(self) -> None:
        self._timer = None
        self.deliver(TimerExpired())
