"""Commands: everything that the decision core asks of its adapter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.messages import Message


class LocalSocket(Enum):
    """Which of the node's sockets a datagram leaves from."""

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
    """Send an encoded control datagram; it has been charged to the budget already."""

    destination: SocketAddress
    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage(Command):
    """Inside the core only: a component asks for a message to be sent, budget permitting.

    `destination` is a member, or a control address for a node that is not a member yet.
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

    Answered by `StoreWritten`, `StoreConflict` or `StoreFailed` (which may mean: it took effect).
    """

    request_id: int
    key: str
    value: dict[str, Any] | None
    expected_revision: int


@dataclass(frozen=True, slots=True)
class CheckBackend(Command):
    """Ask a backend's health endpoint; answered by `BackendChecked`."""

    backend_number: int
    health_address: SocketAddress


@dataclass(frozen=True, slots=True)
class RecordTransition(Command):
    """Write one log line for a change of state and keep it for explanations."""

    subject: str
    before: str
    after: str
    reason: str


@dataclass(frozen=True, slots=True)
class StopNode(Command):
    """The planned stop is complete; the process may end."""

    complete: bool
    reason: str
