"""Forwarding: where one packet goes, and what the home of a flow decides.

The fast path serves mid-flow IPv4 packets of flows with an entry at this node; everything else
takes the slow path, which parses with every check. See docs/design/core.md.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Callable, Sequence

import xxhash

from beamloom.protocol.commands import Command, LocalSocket, SendMessage, SendPacket
from beamloom.protocol.flow_messages import (
    RECORDS_PER_MESSAGE,
    CacheAnswers,
    FlowRecord,
    pack_records,
    unpack_records,
)
from beamloom.protocol.messages import Message
from beamloom.routing.flow_table import FlowFlag, FlowTable
from beamloom.routing.hashing import (
    FLOW_KEY_MASK,
    PARTITION_MASK,
    flow_key,
    flow_seed,
    partition_of,
    slot_of,
)
from beamloom.routing.packet import (
    PROTOCOL_TCP,
    PROTOCOL_UDP,
    TCP_FIN,
    TCP_RST,
    TCP_SYN,
    DropReason,
    FlowTuple,
    PacketError,
    PacketView,
    parse_packet,
    with_hop_limit_decremented,
)
from beamloom.routing.partitions import PartitionMap
from beamloom.routing.selection import choose_backend
from beamloom.routing.services import RouteTable, ServiceRoute
from beamloom.world.addresses import SocketAddress
from beamloom.world.contracts import ServiceContract
from beamloom.world.machines import Machine, Member, NodeId

CACHE_LEASE_SECONDS = 30.0
CLOSED_SECONDS = 10.0
ANSWER_BATCH_SECONDS = 0.2
SWEEP_SECONDS = 0.1
IPV4_FAST_SIZE = 40
IPV4_NO_OPTIONS = 0x45
FRAGMENT_BITS = 0x3FFF
TCP_FLAGS_AT = 33
TCP_CONTROL_FLAGS = TCP_SYN | TCP_FIN | TCP_RST

_FAST_HEADER = struct.Struct("!BxHxxHBBxx12s")
_HOME = int(FlowFlag.HOME)


class Forwarder:
    """The data path of one node.

    `gateways` are the fabric addresses that answers are sent to.
    """

    def __init__(
        self, machine: Machine, hash_key: bytes, gateways: Sequence[SocketAddress]
    ) -> None:
        self.machine = machine
        self.node_id: NodeId = machine.node_id
        self.routes = RouteTable()
        self.table = FlowTable()
        self.partitions = PartitionMap(())
        self.counters: Counter[str] = Counter()
        self._gateways = tuple(gateways)
        self._seeds = {
            protocol: flow_seed(hash_key, protocol) for protocol in (PROTOCOL_TCP, PROTOCOL_UDP)
        }
        self._homes: list[NodeId | None] = self.partitions.homes_by_partition()
        self._members: dict[NodeId, Member] = {}
        self._peers: dict[SocketAddress, NodeId] = {}
        self._commands: list[Command] = []
        self._answers: dict[NodeId, list[FlowRecord]] = {}
        self._answers_due: float | None = None
        self._sweep_due = 0.0

    # -- what the node tells -------------------------------------------------------------------

    def update_services(self, changed: Sequence[ServiceContract], removed: Sequence[int]) -> None:
        """Put configuration changes in force; `removed` holds service numbers."""
        self.routes.update(changed)
        for service_number in removed:
            self.routes.remove(service_number)

    def update_members(self, members: Sequence[Member], now: float) -> None:
        """Take over a new member list and reassign partitions."""
        self._members = {member.machine.node_id: member for member in members}
        self._peers = {
            member.machine.peer_address: member.machine.node_id
            for member in members
            if member.machine.node_id != self.node_id
        }
        homes = [member.machine for member in members if member.may_be_home]
        self.partitions = PartitionMap(homes)
        self._homes = self.partitions.homes_by_partition()

    def take_commands(self) -> list[Command]:
        """Return and clear what forwarding asked for besides the answered address."""
        commands, self._commands = self._commands, []
        return commands

    @property
    def has_commands(self) -> bool:
        """Whether `take_commands` would return anything."""
        return bool(self._commands)

    # -- the hot path --------------------------------------------------------------------------

    def forward(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Return where to send these bytes, or None when they are dropped or were changed."""
        if len(data) >= IPV4_FAST_SIZE and data[0] == IPV4_NO_OPTIONS and not from_peer:
            address = self._forward_fast(data, now)
            if address is not None:
                return address
        try:
            return self._forward_checked(data, source, from_peer, now)
        except PacketError as error:
            self.counters[error.reason.value] += 1
            return None

    def _forward_fast(self, data: bytes, now: float) -> SocketAddress | None:
        _, total, fragment, hop_limit, protocol, hash_input = _FAST_HEADER.unpack_from(data)
        seed = self._seeds.get(protocol)
        if seed is None or total != len(data) or fragment & FRAGMENT_BITS or not hop_limit:
            return None
        if protocol == PROTOCOL_TCP and data[TCP_FLAGS_AT] & TCP_CONTROL_FLAGS:
            return None
        table = self.table
        row = table.rows.get(xxhash.xxh3_64_intdigest(hash_input, seed) & FLOW_KEY_MASK)
        route = None if row is None else self.routes.backends.get(table.backend[row])
        if row is None or route is None:
            return None
        service = route.service
        if service.destination_key != hash_input[4:8] + hash_input[10:12] + data[9:10]:
            return None
        if table.flags[row] & _HOME:
            table.deadline[row] = now + service.contract.policy.flow_idle_timeout
        elif table.deadline[row] <= now:
            return None
        return route.address

    # -- every other packet --------------------------------------------------------------------

    def _forward_checked(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        relay = self._relaying_node(source) if from_peer else None
        view = parse_packet(data)
        service = self.routes.by_destination.get(view.flow.destination_key)
        if service is not None:
            return self._forward_request(data, view, service, relay, now)
        service = self.routes.by_destination.get(view.flow.source_key)
        if service is None:
            raise PacketError(DropReason.UNKNOWN_SERVICE)
        if relay is None and source not in service.senders:
            raise PacketError(DropReason.FOREIGN_SENDER)
        return self._forward_answer(data, view, relay, now)

    def _relaying_node(self, source: SocketAddress) -> NodeId:
        relay = self._peers.get(source)
        if relay is None:
            raise PacketError(DropReason.UNKNOWN_PEER)
        return relay

    def _key(self, flow: FlowTuple) -> int:
        return flow_key(flow.hash_input, self._seeds[flow.protocol])

    def _forward_request(
        self, data: bytes, view: PacketView, service: ServiceRoute, relay: NodeId | None, now: float
    ) -> SocketAddress | None:
        key = self._key(view.flow)
        home = self._homes[partition_of(key)]
        if home == self.node_id:
            return self._decide_as_home(key, view, service, relay, now)
        address = self._address_by_cache(key, view, service, now)
        if address is None:
            self._relay(data, home)
        return address

    def _address_by_cache(
        self, key: int, view: PacketView, service: ServiceRoute, now: float
    ) -> SocketAddress | None:
        """Return the cached backend unless the home must see the packet or the lease is over."""
        row = self.table.rows.get(key)
        if row is None:
            return None
        if view.opens_flow or view.closes_flow:
            self.table.remove(key)
            return None
        route = self.routes.backends.get(self.table.backend[row])
        if route is None or route.service is not service or self.table.deadline[row] <= now:
            return None
        return route.address

    def _relay(self, data: bytes, home: NodeId | None) -> None:
        member = self._members.get(home) if home is not None else None
        if member is None:
            raise PacketError(DropReason.NO_HOME)
        self.counters["relayed"] += 1
        packet = with_hop_limit_decremented(data)
        self._commands.append(SendPacket(LocalSocket.PEER, member.machine.peer_address, packet))

    # -- the home's decisions ------------------------------------------------------------------

    def _decide_as_home(
        self, key: int, view: PacketView, service: ServiceRoute, relay: NodeId | None, now: float
    ) -> SocketAddress:
        row = self.table.rows.get(key)
        if row is not None and (self._is_over(row) and view.opens_flow):
            self._forget(key)
            row = None
        if row is None or not self._belongs(row, service):
            row = self._place(key, view, service, now)
        self._note_progress(row, view, service, now)
        number = self.table.backend[row]
        if relay is not None and not view.closes_flow:
            self._queue_answer(relay, FlowRecord(key, number), now)
        return self.routes.backends[number].address

    def _is_over(self, row: int) -> bool:
        return bool(self.table.flags[row] & (FlowFlag.CLIENT_CLOSED | FlowFlag.BACKEND_CLOSED))

    def _belongs(self, row: int, service: ServiceRoute) -> bool:
        route = self.routes.backends.get(self.table.backend[row])
        return route is not None and route.service is service

    def _place(self, key: int, view: PacketView, service: ServiceRoute, now: float) -> int:
        """Choose a backend for a flow without an entry and enter it; raises PacketError."""
        if view.flow.protocol == PROTOCOL_TCP and not view.opens_flow:
            number = service.current_table.first[slot_of(key)]
        else:
            number = choose_backend(service, slot_of(key), self.routes)
            self.counters["flows_placed"] += 1
        if not self.routes.has_backend(number):
            raise PacketError(DropReason.NO_BACKEND)
        service.open_flows[number] = service.open_flows.get(number, 0) + 1
        deadline = now + service.contract.policy.flow_idle_timeout
        return self.table.insert(key, number, _HOME, deadline, now)

    def _note_progress(self, row: int, view: PacketView, service: ServiceRoute, now: float) -> None:
        table = self.table
        if view.payload_size:
            table.flags[row] |= FlowFlag.PAYLOAD_SENT
        table.deadline[row] = now + service.contract.policy.flow_idle_timeout
        if view.closes_flow:
            self._note_closing(row, view, FlowFlag.CLIENT_CLOSED, now)

    def _note_closing(self, row: int, view: PacketView, side: FlowFlag, now: float) -> None:
        both = FlowFlag.CLIENT_CLOSED | FlowFlag.BACKEND_CLOSED
        self.table.flags[row] |= both if view.tcp_flags & TCP_RST else side
        if self.table.flags[row] & both == both:
            self.table.deadline[row] = now + CLOSED_SECONDS

    def _forget(self, key: int) -> None:
        row = self.table.rows.get(key)
        if row is None:
            return
        if self.table.flags[row] & _HOME:
            route = self.routes.backends.get(self.table.backend[row])
            if route is not None:
                route.service.open_flows[self.table.backend[row]] -= 1
        self.table.remove(key)

    # -- answers -------------------------------------------------------------------------------

    def _forward_answer(
        self, data: bytes, view: PacketView, relay: NodeId | None, now: float
    ) -> SocketAddress | None:
        key = self._key(view.flow.reversed())
        if view.closes_flow:
            home = self._homes[partition_of(key)]
            if home == self.node_id:
                row = self.table.rows.get(key)
                if row is not None:
                    self._note_closing(row, view, FlowFlag.BACKEND_CLOSED, now)
            elif relay is None:
                self._relay(data, home)
                return None
        return self._gateway(key)

    def _gateway(self, key: int) -> SocketAddress:
        return self._gateways[(key & PARTITION_MASK) % len(self._gateways)]

    # -- messages and timers -------------------------------------------------------------------

    def _queue_answer(self, relay: NodeId, record: FlowRecord, now: float) -> None:
        self._answers.setdefault(relay, []).append(record)
        if self._answers_due is None:
            self._answers_due = now + ANSWER_BATCH_SECONDS

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Take one message about flows; kinds of other components are ignored."""
        handlers: dict[type[Message], Callable[[NodeId, Message, float], None]] = {
            CacheAnswers: self._take_cache_answers,
        }
        handler = handlers.get(type(message))
        if handler is not None:
            handler(sender, message, now)
        return []

    def _take_cache_answers(self, sender: NodeId, message: Message, now: float) -> None:
        assert isinstance(message, CacheAnswers)
        for record in unpack_records(message.packed_records):
            if self._homes[partition_of(record.key)] != sender:
                continue
            if self.routes.has_backend(record.backend_number):
                deadline = now + CACHE_LEASE_SECONDS
                self.table.insert(record.key, record.backend_number, 0, deadline, now)

    def poll(self, now: float) -> list[Command]:
        """Send due answers and forget flows that ended or fell silent."""
        commands: list[Command] = []
        if self._answers_due is not None and self._answers_due <= now:
            commands.extend(self._flush_answers())
        if self._sweep_due <= now:
            self._sweep_due = now + SWEEP_SECONDS
            for key in self.table.expired(now):
                self._forget(key)
        return commands

    def _flush_answers(self) -> list[Command]:
        commands: list[Command] = []
        for relay, records in self._answers.items():
            for start in range(0, len(records), RECORDS_PER_MESSAGE):
                part = records[start : start + RECORDS_PER_MESSAGE]
                commands.append(SendMessage(relay, CacheAnswers(pack_records(part))))
        self._answers = {}
        self._answers_due = None
        return commands

    def next_timer(self) -> float | None:
        """Return when `poll` has something to do."""
        if self._answers_due is None:
            return self._sweep_due
        return min(self._answers_due, self._sweep_due)
