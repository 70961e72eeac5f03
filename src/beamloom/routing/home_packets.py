"""Handling of packets at a flow's home: place, bind, refuse, retry on another backend.

See docs/design/requests.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, LocalSocket, SendPacket
from beamloom.routing.answer_times import AnswerTimes
from beamloom.routing.bindings import Bindings, ReleasedFlow
from beamloom.routing.deadline_enforcer import DeadlineEnforcer
from beamloom.routing.flow_table import FlowFlag
from beamloom.routing.hashing import partition_of
from beamloom.routing.home import BOTH_CLOSED, Home
from beamloom.routing.ownership import Acquisition
from beamloom.routing.packet import PROTOCOL_TCP, TCP_RST, DropReason, PacketView
from beamloom.routing.packet_buffers import OpeningPacketBuffer
from beamloom.routing.placement import NO_CANDIDATE
from beamloom.routing.replica_sender import ReplicaSender
from beamloom.routing.selection import Choice, PlacementReason
from beamloom.routing.services import ServiceRoute
from beamloom.routing.transfers import Transfers

REPLICA_PUSH_SECONDS = 3.0
BINDING_RECOVERY_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class ClientFlowPacket:
    """A client's packet with its flow key and service; `relay` is the node that relayed it."""

    key: int
    data: bytes
    view: PacketView
    service: ServiceRoute
    relay: NodeId | None


@dataclass(frozen=True, slots=True)
class Decision:
    """The outcome for one packet.

    `backend_number` is where a client's packet goes. `drop` is the reason to drop it, and `refusal`
    a packet to send to the client. If none of the three is set, a client's packet is held until
    its flow is bound. `suppress_answer` says not to forward a backend's packet to the client.
    """

    backend_number: int | None = None
    commands: tuple[Command, ...] = ()
    refusal: bytes | None = None
    drop: DropReason | None = None
    suppress_answer: bool = False


class HomePacketHandler:
    """Handles packets of flows whose partition this node owns."""

    def __init__(
        self,
        home: Home,
        sender: ReplicaSender,
        transfers: Transfers,
        counters: Counter[str],
        gateway: Callable[[int], SocketAddress],
    ) -> None:
        self._home = home
        self._table = home.table
        self._routes = home.routes
        self._hooks = home.hooks
        self._sender = sender
        self._transfers = transfers
        self._counters = counters
        self._bindings = Bindings()
        self._opening_packets = OpeningPacketBuffer()
        self.answer_times = AnswerTimes(home.hooks.health)
        self._deadlines = DeadlineEnforcer(home, gateway, counters)

    @property
    def bindings_waiting(self) -> int:
        """The number of flows that wait for a replica holder to acknowledge their binding."""
        return len(self._bindings)

    def predecessor_for_relay(self, packet: ClientFlowPacket, now: float) -> NodeId | None:
        """Return the partition's former owner if it may already have placed this new flow."""
        owned = self._home.ownership.owned[partition_of(packet.key)]
        former = owned.predecessor
        if not packet.view.opens_flow or owned.grace_until <= now or former == packet.relay:
            return None
        if self._home.home_row(packet.key, packet.service, now) is not None:
            return None
        return former if self._home.ownership.is_reachable(former) else None

    # -- packets of clients ----------------------------------------------------------------------

    def decide(self, packet: ClientFlowPacket, now: float) -> Decision:
        """Return the outcome for one packet of a client and update its flow's entry."""
        key, view = packet.key, packet.view
        row = self._home.home_row(key, packet.service, now)
        if row is not None and view.opens_flow and self._is_closing(row):
            self._home.remove(key)
            row = None
        if row is None:
            if view.is_error:
                return Decision(drop=DropReason.UNKNOWN_FLOW)
            return self._place(packet, now)
        if self._table.flags[row] & FlowFlag.HELD:
            held = self._bindings.hold(key, packet.data)
            return Decision(drop=None if held else DropReason.UNKNOWN_BINDING)
        if view.is_error:
            return Decision(self._table.backend[row])
        if self._deadlines.has_ended(row) and not view.tcp_flags & TCP_RST:
            resets = tuple(self._deadlines.resets(key, row, packet.data))
            return Decision(commands=resets, drop=DropReason.DEADLINE_PASSED)
        self._record_client_packet(packet, row, now)
        return Decision(self._table.backend[row])

    def _is_closing(self, row: int) -> bool:
        return bool(self._table.flags[row] & BOTH_CLOSED)

    def _place(self, packet: ClientFlowPacket, now: float) -> Decision:
        if packet.view.flow.protocol == PROTOCOL_TCP:
            if packet.view.opens_flow:
                return self._place_new(packet, now)
            return self._place_at_base(packet, now)
        if self._binding_may_be_lost(packet, now):
            return Decision(drop=DropReason.UNKNOWN_BINDING)
        base = self._current_base_backend(packet)
        partition = partition_of(packet.key)
        if base is None or self._home.has_every_live_flow(packet.service, partition, now):
            return self._place_new(packet, now)
        self._hooks.admission.flow_taken_over(packet.service.contract)
        return self._enter(packet, Choice(base, PlacementReason.BASE_GENERATION), now)

    def _current_base_backend(self, packet: ClientFlowPacket) -> int | None:
        number = self._home.base_backend(packet.service, packet.key)
        return number if self._routes.has_backend(number) else None

    def _place_at_base(self, packet: ClientFlowPacket, now: float) -> Decision:
        """Add an entry for an unknown TCP flow that is already open, at its base backend.

        After the crash of the former home this backend may be wrong. It then has no such
        connection and answers with a reset, so no request is executed twice.
        """
        number = self._current_base_backend(packet)
        if number is None:
            return Decision(drop=DropReason.NO_BACKEND)
        owned = self._home.ownership.owned[partition_of(packet.key)]
        flags = FlowFlag.PAYLOAD_SENT
        if owned.acquisition is Acquisition.CRASH:
            flags |= FlowFlag.GUESSED
        self._hooks.admission.flow_taken_over(packet.service.contract)
        choice = Choice(number, PlacementReason.BASE_GENERATION)
        row = self._home.insert(packet.key, choice, packet.service, flags, now)
        self._counters["flows_by_base"] += 1
        self._record_client_packet(packet, row, now)
        return Decision(number)

    def _binding_may_be_lost(self, packet: ClientFlowPacket, now: float) -> bool:
        policy = packet.service.contract.policy
        if not packet.service.requires_binding:
            return False
        partition = partition_of(packet.key)
        owned = self._home.ownership.owned[partition]
        wait = policy.request_deadline or BINDING_RECOVERY_SECONDS
        if owned.acquisition is not Acquisition.CRASH or now - owned.since >= wait:
            return False
        return not self._transfers.has_all_bindings(partition)

    def _place_new(self, packet: ClientFlowPacket, now: float) -> Decision:
        contract = packet.service.contract
        admission = self._hooks.admission.admit_flow(contract, now)
        if not admission.admitted:
            refusal = self._hooks.refusals.build(packet.data, admission.retry_after, False)
            return Decision(refusal=refusal, drop=DropReason.REFUSED)
        choice = self._home.choose(packet.key, packet.service, now)
        if choice.backend_number == NO_CANDIDATE:
            self._hooks.admission.flow_ended(contract)
            refusal = self._hooks.refusals.build(packet.data, admission.retry_after, True)
            return Decision(refusal=refusal, drop=DropReason.NO_BACKEND)
        self._counters["flows_placed"] += 1
        return self._enter(packet, choice, now)

    def _enter(self, packet: ClientFlowPacket, choice: Choice, now: float) -> Decision:
        """Add an entry for an admitted flow; forward its packet, or hold it until it is bound."""
        key, service, view = packet.key, packet.service, packet.view
        commands = self._bind(key, choice.backend_number, service, now)
        if commands is None:
            self._hooks.admission.flow_ended(service.contract)
            return Decision(drop=DropReason.UNKNOWN_BINDING)
        flags = FlowFlag.HELD if commands else FlowFlag(0)
        row = self._home.insert(key, choice, service, flags, now)
        self._record_client_packet(packet, row, now)
        if view.opens_flow and not view.payload_size:
            self._opening_packets.keep(key, packet.data)
        if commands:
            self._bindings.hold(key, packet.data)
            return Decision(commands=tuple(commands))
        return Decision(choice.backend_number)

    def _bind(
        self, key: int, number: int, service: ServiceRoute, now: float
    ) -> list[Command] | None:
        """Return commands that start a binding if the service requires one.

        None if the limit of held flows is reached.
        """
        if not service.requires_binding:
            return []
        holders = self._sender.holders(partition_of(key))
        if not holders:
            return []
        if self._bindings.full:
            return None
        return self._bindings.begin(key, number, holders, now)

    def binding_acknowledged(self, key: int, number: int, now: float) -> list[Command]:
        """Return commands that send the packets held for a flow that is now bound."""
        released = self._bindings.acknowledged(key, number)
        return [] if released is None else self._release(released)

    def _release(self, released: ReleasedFlow) -> list[Command]:
        row = self._table.rows.get(released.key)
        route = self._routes.backends.get(released.backend_number)
        if row is None or route is None or not self._table.flags[row] & FlowFlag.HELD:
            return []
        self._table.flags[row] &= ~FlowFlag.HELD & 0xFF
        self._table.flags[row] |= FlowFlag.REPLICATED
        return [SendPacket(LocalSocket.DATA, route.address, packet) for packet in released.packets]

    def _record_client_packet(self, packet: ClientFlowPacket, row: int, now: float) -> None:
        table, view = self._table, packet.view
        if view.payload_size:
            if not table.flags[row] & (FlowFlag.PAYLOAD_SENT | FlowFlag.HELD):
                self.answer_times.payload_sent(packet.key, table.backend[row], now)
            table.flags[row] |= FlowFlag.PAYLOAD_SENT
        if not view.opens_flow:
            self._opening_packets.take(packet.key)
        if not self._home.is_over(row):
            table.deadline[row] = now + packet.service.idle_timeout
        if table.flags[row] & FlowFlag.DEADLINE:
            flow_deadline = self._home.deadlines.get(packet.key)
            if flow_deadline is not None:
                flow_deadline.record_packet(packet.data, view)
        if view.closes_flow:
            self._record_close(packet.key, row, view, FlowFlag.CLIENT_CLOSED, now)

    def _record_close(
        self, key: int, row: int, view: PacketView, side: FlowFlag, now: float
    ) -> None:
        sides = BOTH_CLOSED if view.tcp_flags & TCP_RST else side
        if self._home.close(row, sides, now):
            self._home.cancel_deadline(key, row)

    def mark_payload_sent(self, key: int) -> None:
        """Record that payload may have been sent: another node now caches the flow's backend."""
        row = self._table.rows.get(key)
        if row is not None:
            self._table.flags[row] |= FlowFlag.PAYLOAD_SENT
            self._opening_packets.take(key)

    # -- packets of backends ---------------------------------------------------------------------

    def handle_backend_close(
        self, key: int, view: PacketView, service: ServiceRoute, now: float
    ) -> Decision:
        """Handle a FIN or RST of a backend; a refused new flow may be retried on another one."""
        row = self._home.home_row(key, service, now)
        if row is None:
            return Decision()
        if view.tcp_flags & TCP_RST:
            if self._guess_may_be_corrected(key, row, now):
                return Decision(suppress_answer=True)
            opening = self._opening_packets.take(key)
            if opening is not None:
                self._hooks.health.observe_refusal(self._table.backend[row], now)
            retried = self._retry_on_another_backend(key, row, service, opening, now)
            if retried is not None:
                return retried
        self._record_close(key, row, view, FlowFlag.BACKEND_CLOSED, now)
        return Decision()

    def _guess_may_be_corrected(self, key: int, row: int, now: float) -> bool:
        """Whether a replica holder may still push the right backend of a guessed entry."""
        owned = self._home.ownership.owned[partition_of(key)]
        guessed = self._table.flags[row] & FlowFlag.GUESSED
        return bool(guessed) and now - owned.since < REPLICA_PUSH_SECONDS

    def _retry_on_another_backend(
        self, key: int, row: int, service: ServiceRoute, opening: bytes | None, now: float
    ) -> Decision | None:
        """Move a flow to another backend, at most once, if its client has sent only `opening`."""
        flags = self._table.flags[row]
        if flags & (FlowFlag.PAYLOAD_SENT | FlowFlag.HELD) or self._deadlines.has_ended(row):
            return None
        choice = self._home.choose(key, service, now, excluded=self._table.backend[row])
        if not opening or choice.backend_number == NO_CANDIDATE:
            return None
        if not self._hooks.admission.take_retry(service.contract, now):
            return None
        number = choice.backend_number
        bind_commands = self._bind(key, number, service, now)
        if bind_commands is None:
            return None
        self._hooks.admission.flow_taken_over(service.contract)
        flags = FlowFlag.HELD if bind_commands else FlowFlag(0)
        retried = Choice(number, PlacementReason.RETRIED_AFTER_REFUSAL)
        self._home.insert(key, retried, service, flags, now)
        self._opening_packets.keep(key, b"")
        self._counters["flows_offered_again"] += 1
        if bind_commands:
            self._bindings.hold(key, opening)
            return Decision(commands=tuple(bind_commands), suppress_answer=True)
        address = self._routes.backends[number].address
        resent = SendPacket(LocalSocket.DATA, address, opening)
        return Decision(commands=(resent,), suppress_answer=True)

    def poll(self, now: float) -> list[Command]:
        """Retry or release bindings without an acknowledgement; end flows past their deadline."""
        commands, released = self._bindings.poll(now)
        for flow in released:
            self._counters["bound_alone"] += 1
            commands.extend(self._release(flow))
        return commands + self._deadlines.poll(now)
