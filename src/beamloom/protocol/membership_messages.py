"""Membership messages, kinds 1 to 19: probes, gossip, join and anti-entropy.

Member updates are sent as CBOR arrays `[node, state, incarnation, accuser, machine]`, in which the
last two are left out when empty. `MemberUpdate` is their typed form.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.protocol.errors import MalformedDatagramError
from beamloom.protocol.messages import Message, Priority, register_message

MAXIMUM_NAME_LENGTH = 64
MAXIMUM_NUMBER = 2**48
MAXIMUM_UPDATES = 64
MAXIMUM_REQUESTED_MEMBERS = 16
DIGEST_BUCKETS = 16
MACHINE_FIELDS = 8
UNTRACKED_PROBE = 0
"""Probe number of pings that are not tracked, sent for the updates in the acknowledgement."""

WireUpdate = Sequence[object]


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of a member; `accuser` is set for suspicions, `machine` in full entries."""

    node_id: NodeId
    state: MemberState
    incarnation: int
    accuser: NodeId | None = None
    machine: Machine | None = None

    def encode(self) -> tuple[object, ...]:
        """Return the wire form, without trailing empty fields."""
        head = (self.node_id, int(self.state), self.incarnation)
        if self.machine is not None:
            return (*head, self.accuser or "", encode_machine(self.machine))
        if self.accuser is not None:
            return (*head, self.accuser)
        return head


def decode_update(parts: object) -> MemberUpdate:
    """Read one wire update; raises MalformedDatagramError."""
    if not isinstance(parts, (list, tuple)) or len(parts) < 3:
        raise MalformedDatagramError("a member update is not an array of three fields or more")
    node_id = _name(parts[0])
    try:
        state = MemberState(_number(parts[1]))
    except ValueError as error:
        raise MalformedDatagramError(f"member state {parts[1]} is unknown; upgrade") from error
    incarnation = _number(parts[2])
    accuser = NodeId(_name(parts[3])) if len(parts) > 3 and parts[3] != "" else None
    machine = decode_machine(node_id, parts[4]) if len(parts) > 4 else None
    return MemberUpdate(NodeId(node_id), state, incarnation, accuser, machine)


def encode_machine(machine: Machine) -> tuple[object, ...]:
    """Return `(zone, region, host, port, host, port, host, port)`; a repeated host is empty."""
    data, peer, control = machine.data_address, machine.peer_address, machine.control_address
    return (
        machine.zone.name,
        machine.zone.region,
        _pack_host(data.host),
        data.port,
        b"" if peer.host == data.host else _pack_host(peer.host),
        peer.port,
        b"" if control.host == data.host else _pack_host(control.host),
        control.port,
    )


def decode_machine(node_id: str, parts: object) -> Machine:
    """Read the wire form of a machine; raises MalformedDatagramError."""
    if not isinstance(parts, (list, tuple)) or len(parts) < MACHINE_FIELDS:
        raise MalformedDatagramError("a machine is not an array of eight fields")
    zone = Zone(_name(parts[0]), _name(parts[1]))
    data = SocketAddress(_unpack_host(parts[2]), _port(parts[3]))
    peer_host = data.host if parts[4] == b"" else _unpack_host(parts[4])
    control_host = data.host if parts[6] == b"" else _unpack_host(parts[6])
    peer = SocketAddress(peer_host, _port(parts[5]))
    control = SocketAddress(control_host, _port(parts[7]))
    return Machine(NodeId(node_id), zone, data, peer, control)


def _pack_host(host: str) -> bytes:
    return ipaddress.ip_address(host).packed


def _unpack_host(value: object) -> str:
    if not isinstance(value, bytes) or len(value) not in {4, 16}:
        raise MalformedDatagramError("a host is not 4 or 16 bytes")
    return str(ipaddress.ip_address(value))


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAXIMUM_NAME_LENGTH:
        raise MalformedDatagramError(f"a name is not text of 1 to {MAXIMUM_NAME_LENGTH} characters")
    return value


def _number(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < MAXIMUM_NUMBER:
        raise MalformedDatagramError("a number is not an integer from 0 to 2**48 - 1")
    return value


def _port(value: object) -> int:
    port = _number(value)
    if not 0 < port < 65_536:
        raise MalformedDatagramError(f"port {port} is out of range")
    return port


def _sequence(value: object, longest: int) -> Sequence[object]:
    if not isinstance(value, (list, tuple)) or len(value) > longest:
        raise MalformedDatagramError(f"a field is not an array of at most {longest} items")
    return value


@register_message(1, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """Requests an acknowledgement of `probe`, a number chosen by the sender."""

    probe: int
    updates: Sequence[WireUpdate] = ()

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when a field has the wrong type."""
        _number(self.probe)
        _sequence(self.updates, MAXIMUM_UPDATES)


@register_message(2, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class Acknowledge(Message):
    """Answers a ping, or reports to the sender of a `PingRequest` that the target answered."""

    probe: int
    updates: Sequence[WireUpdate] = ()

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when a field has the wrong type."""
        _number(self.probe)
        _sequence(self.updates, MAXIMUM_UPDATES)


@register_message(3, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class PingRequest(Message):
    """Requests that a helper ping `target` and report the answer with the number `probe`."""

    probe: int
    target: str
    updates: Sequence[WireUpdate] = ()

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when a field has the wrong type."""
        _number(self.probe)
        _name(self.target)
        _sequence(self.updates, MAXIMUM_UPDATES)


@register_message(4, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class NegativeAcknowledge(Message):
    """A helper is reachable, but got no answer from the target of `probe` in time (Lifeguard)."""

    probe: int

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when the field has the wrong type."""
        _number(self.probe)


@register_message(5, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class Gossip(Message):
    """Member updates that are sent without a probe."""

    updates: Sequence[WireUpdate]

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when the field has the wrong type."""
        _sequence(self.updates, MAXIMUM_UPDATES)


@register_message(6, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class JoinRequest(Message):
    """Requests to join, with the sender's own entry; answered by the first `StatePage`."""

    update: WireUpdate

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when the update is not one, or lacks its machine."""
        if decode_update(self.update).machine is None:
            raise MalformedDatagramError("a join request lacks its machine")


@register_message(7, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class StateRequest(Message):
    """Requests the members whose ids sort after `cursor`; answered by a `StatePage`."""

    cursor: str

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when the field has the wrong type."""
        if self.cursor != "":
            _name(self.cursor)


@register_message(8, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class StatePage(Message):
    """Part of a node's member list; `next_cursor` is empty on the last part."""

    cursor: str
    next_cursor: str
    updates: Sequence[WireUpdate]

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when a field has the wrong type."""
        for cursor in (self.cursor, self.next_cursor):
            if cursor != "":
                _name(cursor)
        _sequence(self.updates, MAXIMUM_UPDATES)


@register_message(9, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class StateDigest(Message):
    """Anti-entropy: one digest of the reachable members of each bucket."""

    buckets: Sequence[int]

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when the field has the wrong shape."""
        if len(_sequence(self.buckets, DIGEST_BUCKETS)) != DIGEST_BUCKETS:
            raise MalformedDatagramError(f"a digest does not have {DIGEST_BUCKETS} buckets")
        for bucket in self.buckets:
            _number(bucket)


@register_message(10, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class MemberRequest(Message):
    """Requests the full entries of members that the sender does not know."""

    node_ids: Sequence[str]

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when the field has the wrong shape."""
        for node_id in _sequence(self.node_ids, MAXIMUM_REQUESTED_MEMBERS):
            _name(node_id)


@register_message(11, Priority.MEMBERSHIP)
@dataclass(frozen=True, slots=True)
class StateExchange(Message):
    """Anti-entropy: entries of one bucket; `wants_reply` requests those newer at the receiver."""

    bucket: int
    wants_reply: bool
    updates: Sequence[WireUpdate]

    def __post_init__(self) -> None:
        """Raise MalformedDatagramError when a field has the wrong type."""
        if _number(self.bucket) >= DIGEST_BUCKETS:
            raise MalformedDatagramError(f"bucket {self.bucket} is out of range")
        if not isinstance(self.wants_reply, bool):
            raise MalformedDatagramError("wants_reply is not a boolean")
        _sequence(self.updates, MAXIMUM_UPDATES)
