"""Forwarding of packets: the interface of routing to the node and its adapters.

The fast path (`fast_path.py`) forwards mid-flow IPv4 packets of flows that have an entry at this
node. All other packets are fully parsed and checked here. See docs/design/core.md and
docs/design/flows.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from beamloom.model.addresses import SocketAddress
from beamloom.model.contracts import ServiceContract
from beamloom.model.machines import Machine, Member, NodeId
from beamloom.protocol.commands import Command, LocalSocket, SendMessage, SendPacket
from beamloom.protocol.errors import ProtocolError
from beamloom.protocol.flow_messages import (
    BindAcknowledged,
    BindFlow,
    CacheAnswers,
    FlowRecord,
    check_record,
    unpack_records,
)
from beamloom.protocol.messages import Message
from beamloom.routing.cache_answers import CacheAnswerBatches, RelayedFlows
from beamloom.routing.explanation import FlowExplainer, FlowExplanation, RoutingSnapshot
from beamloom.routing.fast_path import FastPath
from beamloom.routing.flow_table import FlowFlag, FlowTable
from beamloom.routing.hashing import (
    PARTITION_MASK,
    flow_key,
    flow_seed,
    partition_of,
)
from beamloom.routing.home import Home, lease_seconds
from beamloom.routing.home_packets import ClientFlowPacket, HomePacketHandler
from beamloom.routing.hooks import RoutingHooks, permissive_hooks
from beamloom.routing.ownership import Acquired, Ownership
from beamloom.routing.packet import (
    PROTOCOL_TCP,
    PROTOCOL_UDP,
    TCP_RST,
    DropReason,
    FlowTuple,
    PacketError,
    PacketView,
    parse_packet,
    with_hop_limit_decremented,
)
from beamloom.routing.packet_buffers import HandoverBuffer
from beamloom.routing.replica_sender import ReplicaSender
from beamloom.routing.replicas import ReplicaStore
from beamloom.routing.services import RouteTable, ServiceRoute
from beamloom.routing.transfers import Transfers

TICK_SECONDS = 0.1
RELAY_HOP_LIMIT = 6
ANSWER_RELAY_HOP_LIMIT = 255

_PAYLOAD_SENT = int(FlowFlag.PAYLOAD_SENT)


class Forwarder:
    """The data path of one node.

    `gateways` are the fabric addresses that packets for clients are sent to. `hooks` give access
    to admission control, the building of refusal packets and backend health.
    """

    def __init__(
        self,
        machine: Machine,
        hash_key: bytes,
        gateways: Sequence[SocketAddress],
        hooks: RoutingHooks | None = None,
    ) -> None:
        self.machine = machine
        self.node_id: NodeId = machine.node_id
        self.hooks = hooks or permissive_hooks()
        self.routes = RouteTable()
        self.table = FlowTable()
        self.counters: Counter[str] = Counter()
        self.ownership = Ownership(self.node_id)
        self.replicas = ReplicaStore()
        self.home = Home(self.table, self.routes, self.ownership, self.hooks)
        self._sender = ReplicaSender(self.ownership, self.home)
        self._transfers = Transfers(
            self.ownership, self.home, self.replicas, self._sender, self._partition_acquired
        )
        self.home.listeners.extend((self._sender, self._transfers))
        self._handler = HomePacketHandler(
            self.home, self._sender, self._transfers, self.counters, self._gateway
        )
        self._handover_buffer = HandoverBuffer()
        self._flow_explainer = FlowExplainer(self.home, self.replicas)
        self._cache_answers = CacheAnswerBatches()
        self._relayed_flows = RelayedFlows()
        self._gateways = tuple(gateways)
        self._seeds = {
            protocol: flow_seed(hash_key, protocol) for protocol in (PROTOCOL_TCP, PROTOCOL_UDP)
        }
        self._look_up_fast = FastPath(self.table, self.routes, self._seeds).look_up
        self._peers: dict[SocketAddress, NodeId] = {}
        self._commands: list[Command] = []
        self._tick_due = 0.0
        self._reported_timer = 0.0
        self._timer_is_earlier = False
        self._leave_complete = False

    # -- configuration, membership and commands ------------------------------------------------

    def update_services(
        self, changed: Sequence[ServiceContract], removed: Sequence[int], now: float = 0.0
    ) -> None:
        """Apply configuration changes and forget flows of backends that these remove.

        `removed` holds service numbers.
        """
        removed_backends = self.routes.removed_backends(changed, removed)
        if removed_backends:
            for key in self.table.keys_with_backends(removed_backends):
                self.home.remove(key)
        self.routes.update(changed)
        for service_number in removed:
            self.routes.remove(service_number)

    def update_members(self, members: Sequence[Member], now: float) -> None:
        """Replace the member list and reassign partitions."""
        self._peers = {
            member.machine.peer_address: member.machine.node_id
            for member in members
            if member.machine.node_id != self.node_id
        }
        self._transfers.members_changed(self.ownership.update(members, now), now)

    def begin_leave(self, now: float) -> None:
        """Start to hand over every partition; `leave_complete` reports when that is done."""
        self.ownership.leaving = True
        self._transfers.members_changed(self.ownership.reassign(now), now)

    @property
    def leave_complete(self) -> bool:
        """Whether this node may stop: it is leaving, and no transfer or relaying is left to do."""
        return self._leave_complete

    def take_commands(self) -> list[Command]:
        """Return and clear the commands that forwarding has queued."""
        commands, self._commands = self._commands, []
        self._timer_is_earlier = False
        return commands

    @property
    def has_commands(self) -> bool:
        """Whether commands are queued or a packet made `next_timer` earlier than last returned."""
        return bool(self._commands) or self._timer_is_earlier

    # -- the hot path --------------------------------------------------------------------------

    def forward(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        """Return the address to send `data` to, unchanged.

        None if the packet is dropped, held back, or sent by a queued command instead.
        """
        if not from_peer:
            address = self._look_up_fast(data, now)
            if address is not None:
                return address
        try:
            return self._forward_checked(data, source, from_peer, now)
        except PacketError as error:
            self.counters[error.reason.value] += 1
            return None

    # -- every other packet --------------------------------------------------------------------

    def _forward_checked(
        self, data: bytes, source: SocketAddress, from_peer: bool, now: float
    ) -> SocketAddress | None:
        relay = self._relaying_node(source) if from_peer else None
        view = parse_packet(data)
        service = self.routes.by_destination.get(view.flow.destination_key)
        if service is not None:
            if relay is None:
                _count_packet(service)
            return self._forward_client_packet(data, view, service, relay, now)
        service = self.routes.by_destination.get(view.flow.source_key)
        if service is None:
            raise PacketError(DropReason.UNKNOWN_SERVICE)
        if relay is None and source not in service.senders:
            raise PacketError(DropReason.FOREIGN_SENDER)
        return self._forward_backend_packet(data, view, service, relay, now)

    def _relaying_node(self, source: SocketAddress) -> NodeId:
        relay = self._peers.get(source)
        if relay is None:
            raise PacketError(DropReason.UNKNOWN_PEER)
        return relay

    def _key(self, flow: FlowTuple) -> int:
        return flow_key(flow.hash_input, self._seeds[flow.protocol])

    def _forward_client_packet(
        self, data: bytes, view: PacketView, service: ServiceRoute, relay: NodeId | None, now: float
    ) -> SocketAddress | None:
        key = self._key(view.flow)
        partition = partition_of(key)
        decider = self.ownership.forward_targets[partition]
        if decider == self.node_id:
            return self._forward_as_home(ClientFlowPacket(key, data, view, service, relay), now)
        address = self._cached_address(key, view, service, relay, now)
        if address is not None:
            return address
        if relay is not None and relay == decider and partition not in self.ownership.handed_over:
            self._hold_until_handover(partition, data, relay)
        else:
            self._relay(data, decider, RELAY_HOP_LIMIT)
        return None

    def _cached_address(
        self, key: int, view: PacketView, service: ServiceRoute, relay: NodeId | None, now: float
    ) -> SocketAddress | None:
        """Return the cached backend, or None if the lease has expired or the home must decide.

        The home decides on packets that open or close a flow. A node that has just handed the
        partition over is an exception: it sends a retransmitted SYN to the backend of the first.
        """
        row = self.table.rows.get(key)
        if row is None:
            return None
        if view.closes_flow or (view.opens_flow and not self._may_place_retransmission(key, row)):
            self.table.remove(key)
            return None
        route = self.routes.backends.get(self.table.backend[row])
        if route is None or route.service is not service or self.table.deadline[row] <= now:
            return None
        return route.address

    def _may_place_retransmission(self, key: int, row: int) -> bool:
        closed = self.table.flags[row] & (FlowFlag.CLIENT_CLOSED | FlowFlag.BACKEND_CLOSED)
        ownership, partition = self.ownership, partition_of(key)
        return not closed and (partition in ownership.handed_over or partition in ownership.frozen)

    def _hold_until_handover(self, partition: int, data: bytes, relay: NodeId) -> None:
        """Buffer a packet that a frozen owner relayed until its HANDOVER arrives."""
        awaited = partition in self.ownership.awaited
        if not awaited or not self._handover_buffer.hold(partition, data, relay):
            raise PacketError(DropReason.HANDOVER_PENDING)

    def _partition_acquired(self, item: Acquired, now: float) -> None:
        """Forward the packets that were buffered until this partition was acquired."""
        for packet in self._handover_buffer.release(item.partition):
            member = self.ownership.members.get(packet.relay)
            if member is None:
                continue
            address = self.forward(packet.data, member.machine.peer_address, True, now)
            if address is not None:
                self._commands.append(SendPacket(LocalSocket.DATA, address, packet.data))

    def _relay(self, data: bytes, decider: NodeId | None, hop_limit: int) -> None:
        member = self.ownership.members.get(decider) if decider is not None else None
        if member is None or decider == self.node_id:
            raise PacketError(DropReason.NO_HOME)
        packet = with_hop_limit_decremented(data, hop_limit)
        self.counters["relayed"] += 1
        self._commands.append(SendPacket(LocalSocket.PEER, member.machine.peer_address, packet))

    def _forward_as_home(self, packet: ClientFlowPacket, now: float) -> SocketAddress | None:
        predecessor = self._handler.predecessor_for_relay(packet, now)
        if predecessor is not None:
            self._relay(packet.data, predecessor, RELAY_HOP_LIMIT)
            return None
        decision = self._handler.decide(packet, now)
        self._commands.extend(decision.commands)
        if decision.refusal is not None:
            self._send_to_client(packet.key, decision.refusal)
        if decision.drop is not None:
            raise PacketError(decision.drop)
        number = decision.backend_number
        if number is None:
            return None
        if packet.relay is not None and self._should_send_cache_answer(packet, packet.relay, now):
            self._handler.mark_payload_sent(packet.key)
            if self._cache_answers.put(packet.relay, FlowRecord(packet.key, number), now):
                self._timer_is_earlier = self._next_due() < self._reported_timer
        return self.routes.backends[number].address

    def _should_send_cache_answer(
        self, packet: ClientFlowPacket, relay: NodeId, now: float
    ) -> bool:
        """Whether the relaying node may cache the flow's backend and has relayed it before."""
        if packet.view.opens_flow or packet.view.closes_flow or packet.service.deadline:
            return False
        return self._relayed_flows.record(packet.key, relay, now)

    def _send_to_client(self, key: int, packet: bytes) -> None:
        self._commands.append(SendPacket(LocalSocket.DATA, self._gateway(key), packet))

    # -- packets of backends -------------------------------------------------------------------

    def _forward_backend_packet(
        self,
        data: bytes,
        view: PacketView,
        service: ServiceRoute,
        relay: NodeId | None,
        now: float,
    ) -> SocketAddress | None:
        key = self._key(view.flow.reversed())
        if view.payload_size:
            self._handler.answer_times.answered(key, now)
        if not view.closes_flow:
            return self._gateway(key)
        decider = self.ownership.forward_targets[partition_of(key)]
        if decider == self.node_id:
            decision = self._handler.handle_backend_close(key, view, service, now)
            self._commands.extend(decision.commands)
            return None if decision.suppress_answer else self._gateway(key)
        if decider is not None and decider != relay:
            self._relay(data, decider, ANSWER_RELAY_HOP_LIMIT)
            return None
        if view.tcp_flags & TCP_RST:
            raise PacketError(DropReason.HANDOVER_PENDING)
        return self._gateway(key)

    def _gateway(self, key: int) -> SocketAddress:
        return self._gateways[(key & PARTITION_MASK) % len(self._gateways)]

    # -- messages and timers -------------------------------------------------------------------

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Handle a message about flows and return commands; other messages are ignored."""
        try:
            match message:
                case CacheAnswers(packed_records):
                    self._handle_cache_answers(sender, packed_records, now)
                case BindFlow(key, number):
                    check_record(key, number)
                    self.replicas.put(sender, partition_of(key), key, number)
                    return [SendMessage(sender, BindAcknowledged(key, number))]
                case BindAcknowledged(key, number):
                    self._commands.extend(self._handler.binding_acknowledged(key, number, now))
                case _:
                    commands = self._transfers.handle(sender, message, now)
                    return commands + self.take_commands()
        except (ProtocolError, TypeError, OverflowError):
            self.counters["malformed_message"] += 1
        return self.take_commands()

    def _handle_cache_answers(self, sender: NodeId, packed_records: bytes, now: float) -> None:
        for record in unpack_records(packed_records):
            route = self.routes.backends.get(record.backend_number)
            if self.ownership.forward_targets[partition_of(record.key)] != sender or route is None:
                continue
            deadline = now + lease_seconds(route.service)
            self.table.insert(record.key, record.backend_number, _PAYLOAD_SENT, deadline, now)

    def poll(self, now: float) -> list[Command]:
        """Run what is due: cache answers, expiry of entries, transfers, replicas, deadlines."""
        commands = self._cache_answers.poll(now)
        if self._tick_due <= now:
            self._tick_due = now + TICK_SECONDS
            for key in self.table.expired(now):
                self.home.remove(key)
            commands.extend(self._transfers.poll(now))
            commands.extend(self._sender.poll(now))
            commands.extend(self._handler.poll(now))
            self._leave_complete = self.ownership.leaving and self._transfers.handover_complete(now)
        return commands + self.take_commands()

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
        self._reported_timer = self._next_due()
        return self._reported_timer

    def _next_due(self) -> float:
        return min(self._cache_answers.next_timer() or self._tick_due, self._tick_due)

    # -- explanations --------------------------------------------------------------------------

    def explain(self, flow: FlowTuple) -> FlowExplanation:
        """Return this node's state of a flow; `flow` is in the client-to-backend direction."""
        return self._flow_explainer.explain(self._key(flow), flow)

    def snapshot(self) -> RoutingSnapshot:
        """Return counts of this forwarder's state."""
        open_flows: dict[int, int] = {}
        for service in self.routes.by_service_number.values():
            open_flows.update(service.open_flows)
        return RoutingSnapshot(
            flows=len(self.table),
            partitions_owned=len(self.ownership.owned),
            partitions_awaited=len(self.ownership.awaited),
            partitions_frozen=len(self.ownership.frozen),
            exceptions=sum(len(found) for found in self.home.exceptions.values()),
            replicas_held=self.replicas.record_count,
            records_waiting=self._sender.streams.waiting_records,
            bindings_waiting=self._handler.bindings_waiting,
            deadlines=len(self.home.deadlines),
            open_flows=open_flows,
            counters=dict(self.counters),
        )


def _count_packet(service: ServiceRoute) -> None:
    if service.meter.blocked:
        raise PacketError(DropReason.PACKET_LIMIT)
    service.meter.packets += 1
