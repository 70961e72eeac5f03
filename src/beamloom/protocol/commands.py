"""Commands: the actions that the decision core requests from its adapter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.messages import Message


class LocalSocket(Enum):
    """The node's sockets that datagrams are sent from."""

    DATA = "data"
    PEER = "peer"
    CONTROL = "control"


@dataclass(frozen=True, slots=True)
class Command:
    """Base of every command."""


@dataclass(frozen=True, slots=True)
class SendPacket(Command):
    """Send an IP packet as one UDP datagram."""

    local_socket: LocalSocket
    destination: SocketAddress
    data: bytes


@dataclass(frozen=True, slots=True)
class SendControl(Command):
    """Send an encoded control datagram, which is already charged to the control budget."""

    destination: SocketAddress
    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage(Command):
    """Send a message within the control budget; used inside the core only.

    `destination` is a member, or a control address of a node that is not a member yet.
    """

    destination: NodeId | SocketAddress
    message: Message


@dataclass(frozen=True, slots=True)
class ListStore(Command):
    """Read every object; answered by `StoreListed` or `StoreFailed`."""

    request_id: int


@dataclass(frozen=True, slots=True)
class WatchStore(Command):
    """Watch for changes after `revision`; answered by `StoreChanged` until `StoreFailed`."""

    request_id: int
    revision: int


@dataclass(frozen=True, slots=True)
class StopWatch(Command):
    """End a watch."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReadObject(Command):
    """Read one object; answered by `StoreObjectRead` or `StoreFailed`."""

    request_id: int
    key: str


@dataclass(frozen=True, slots=True)
class WriteObject(Command):
    """Write one object if its revision is still `expected_revision` (0: it must not exist).

    Answered by `StoreWritten`, `StoreConflict` or `StoreFailed`. After `StoreFailed` the write may
    have taken effect.
    """

    request_id: int
    key: str
    value: dict[str, Any] | None
    expected_revision: int


@dataclass(frozen=True, slots=True)
class CheckBackend(Command):
    """Request a backend's health endpoint; answered by `BackendChecked`."""

    backend_number: int
    health_address: SocketAddress


@dataclass(frozen=True, slots=True)
class RecordTransition(Command):
    """Log a state transition."""

    subject: str
    before: str
    after: str
    reason: str


@dataclass(frozen=True, slots=True)
class StopNode(Command):
    """The planned stop is over and the process may end; `complete` is False if it was cut short."""

    complete: bool
    reason: str
