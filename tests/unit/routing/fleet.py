"""A fleet of forwarders connected by a message queue, on a virtual clock."""

from __future__ import annotations

import heapq
import random
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.model.contracts import (
    Backend,
    BackendAdministrativeState,
    Generation,
    ServiceContract,
    ServicePolicy,
)
from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.protocol.commands import Command, LocalSocket, SendMessage, SendPacket
from beamloom.protocol.messages import Message
from beamloom.replication.budget import ControlBudget
from beamloom.routing.forwarder import Forwarder
from beamloom.routing.hooks import RoutingHooks
from beamloom.routing.packet import FlowTuple

SYN, ACK, FIN, RST = 2, 16, 17, 4
TICK = 0.05
SERVICE_IP = "10.9.0.1"
GATEWAY = SocketAddress("127.0.0.9", 9)
PORT = 443


def tcp(
    client: int, flags: int, payload: bytes = b"", port: int = PORT, sequence: int = 1
) -> bytes:
    """Build a TCP packet of a client, with checksums of 0."""
    segment = struct.pack("!HHIIBBHHH", 1000, port, sequence, 1, 0x50, flags, 100, 0, 0) + payload
    return _ip(client, 6, segment)


def udp(client: int, payload: bytes = b"q", port: int = PORT) -> bytes:
    return _ip(client, 17, struct.pack("!HHHH", 1000, port, 8 + len(payload), 0) + payload)


def _ip(client: int, protocol: int, body: bytes) -> bytes:
    source, destination = _address(client), VirtualAddress(SERVICE_IP, 6, 1).packed_ip
    head = struct.pack("!BBHHHBBH", 0x45, 0, 20 + len(body), 0, 0, 64, protocol, 0)
    return head + source + destination + body


def answer(client: int, flags: int, port: int = PORT, payload: bytes = b"") -> bytes:
    """Build a TCP packet from the service to a client."""
    segment = struct.pack("!HHIIBBHHH", port, 1000, 1, 1, 0x50, flags, 100, 0, 0) + payload
    head = struct.pack("!BBHHHBBH", 0x45, 0, 20 + len(segment), 0, 0, 64, 6, 0)
    return head + VirtualAddress(SERVICE_IP, 6, 1).packed_ip + _address(client) + segment


def _address(client: int) -> bytes:
    return (0x0A000000 + client).to_bytes(4, "big")


def flow_tuple(client: int, protocol: int = 6, port: int = PORT) -> FlowTuple:
    packet = tcp(client, ACK, port=port)
    return FlowTuple(packet[12:16], packet[16:20], protocol, packet[20:24])


def backend(number: int, draining: bool = False) -> Backend:
    address = SocketAddress("127.0.1.1", 2000 + number)
    state = BackendAdministrativeState.DRAINING if draining else BackendAdministrativeState.ACTIVE
    return Backend(f"b{number}", number, address, address, "zone", 100, state)


def service(
    generations: Sequence[Sequence[Backend]],
    protocol: TransportProtocol = TransportProtocol.TCP,
    policy: ServicePolicy | None = None,
    number: int = 1,
) -> ServiceContract:
    made = tuple(Generation(10 * (n + 1), tuple(group)) for n, group in enumerate(generations))
    address = VirtualAddress(SERVICE_IP, protocol, PORT if number == 1 else PORT + number)
    effective = policy or ServicePolicy()
    return ServiceContract(
        f"tenant/{number}", number, "tenant", address, made[-1].revision, effective, made
    )


def machine(number: int, zones: int = 3) -> Machine:
    sockets = [SocketAddress("127.0.0.1", 10 * number + offset) for offset in range(3)]
    return Machine(NodeId(f"n{number}"), Zone(f"z{number % zones}", "r"), *sockets)


@dataclass
class Fleet:
    """Forwarders, packets and messages in transit, and packets sent to backends and clients.

    With `bytes_per_second`, each node sends its messages through a control budget of that rate.
    """

    seed: int = 1
    loss: float = 0.0
    duplication: float = 0.0
    hooks: RoutingHooks | None = None
    bytes_per_second: int | None = None
    now: float = 100.0
    nodes: dict[NodeId, Forwarder] = field(default_factory=dict)
    members: dict[NodeId, Member] = field(default_factory=dict)
    contracts: dict[int, ServiceContract] = field(default_factory=dict)
    arrived: list[tuple[SocketAddress, bytes]] = field(default_factory=list)
    sent_messages: list[tuple[NodeId, Message]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._queue: list[tuple[float, int, NodeId, object, object]] = []
        self._order = 0
        self._budgets: dict[NodeId, ControlBudget] = {}

    # -- members -----------------------------------------------------------------------------

    def add(self, *numbers: int, update_members: bool = True) -> None:
        for number in numbers:
            made = machine(number)
            forwarder = Forwarder(made, b"key", (GATEWAY,), self.hooks)
            forwarder.update_services(list(self.contracts.values()), [], self.now)
            self.nodes[made.node_id] = forwarder
            if self.bytes_per_second is not None:
                budget = ControlBudget(made.node_id, self.now, self.bytes_per_second)
                self._budgets[made.node_id] = budget
            self.members[made.node_id] = Member(made, MemberState.ALIVE, 0)
        if update_members:
            self.update_member_lists()

    def update_member_lists(
        self, only: Iterable[NodeId] | None = None, without: Iterable[NodeId] = ()
    ) -> None:
        """Send the member list, except members in `without`, to all nodes or to those in `only`."""
        lacking = set(without)
        members = [item for key, item in self.members.items() if key not in lacking]
        for node_id in list(self.nodes) if only is None else only:
            if node_id in self.nodes:
                self.nodes[node_id].update_members(members, self.now)

    def set_state(self, node_id: NodeId, state: MemberState) -> None:
        self.members[node_id] = Member(self.members[node_id].machine, state, 1)

    def crash(self, *node_ids: NodeId, update_members: bool = True) -> None:
        for node_id in node_ids:
            del self.nodes[node_id]
            self.set_state(node_id, MemberState.DEAD)
        if update_members:
            self.update_member_lists()

    def leave(self, node_id: NodeId, limit: float = 60.0) -> bool:
        """Stop a node as planned; returns whether it completed its leave within `limit` seconds."""
        self.nodes[node_id].begin_leave(self.now)
        self.set_state(node_id, MemberState.LEAVING)
        self.update_member_lists()
        end = self.now + limit
        while not self.nodes[node_id].leave_complete and self.now < end:
            self.run(0.5)
        complete = self.nodes[node_id].leave_complete
        del self.nodes[node_id]
        self.set_state(node_id, MemberState.LEFT)
        self.update_member_lists()
        return complete

    def configure(self, *contracts: ServiceContract) -> None:
        for contract in contracts:
            self.contracts[contract.service_number] = contract
        for node in self.nodes.values():
            node.update_services(contracts, [], self.now)

    # -- the network -------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Advance the clock in ticks; deliver what is due and poll every node in each tick."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK
            self._deliver_due()
            for node_id, node in list(self.nodes.items()):
                self._carry_out(node_id, node.poll(self.now))
                self._release(node_id)
        self._deliver_due()

    def _deliver_due(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            _, _, target, sender, content = heapq.heappop(self._queue)
            node = self.nodes.get(target)
            if node is None:
                continue
            if isinstance(content, Message):
                commands = node.handle_message(NodeId(str(sender)), content, self.now)
                self._carry_out(target, commands)
            elif isinstance(content, bytes) and isinstance(sender, SocketAddress):
                self._receive(node, content, sender, from_peer=True)

    def _receive(
        self, node: Forwarder, data: bytes, source: SocketAddress, from_peer: bool
    ) -> None:
        address = node.forward(data, source, from_peer, self.now)
        if address is not None:
            self.arrived.append((address, data))
        self._carry_out(node.node_id, node.take_commands())

    def _carry_out(self, sender: NodeId, commands: Sequence[Command]) -> None:
        for command in commands:
            if isinstance(command, SendMessage):
                self.sent_messages.append((sender, command.message))
                self._submit(sender, command)
            elif isinstance(command, SendPacket) and command.local_socket is LocalSocket.PEER:
                self._post_packet(sender, command)
            elif isinstance(command, SendPacket):
                self.arrived.append((command.destination, command.data))

    def _submit(self, sender: NodeId, command: SendMessage) -> None:
        budget = self._budgets.get(sender)
        if budget is None:
            self._post(NodeId(str(command.destination)), sender, command.message)
            return
        budget.submit(command, self.now)
        self._release(sender)

    def _release(self, sender: NodeId) -> None:
        budget = self._budgets.get(sender)
        for batch in budget.release(self.now) if budget is not None else ():
            for message in batch.messages:
                self._post(NodeId(str(batch.destination)), sender, message)

    def _post_packet(self, sender: NodeId, command: SendPacket) -> None:
        source = self.members[sender].machine.peer_address
        for node_id, member in self.members.items():
            if member.machine.peer_address == command.destination:
                self._enqueue(0.0, node_id, source, command.data)

    def _post(self, target: NodeId, sender: NodeId, message: Message) -> None:
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                delay = self.rng.choice((0.01, 0.01, 0.02, 0.2 if self.loss else 0.02))
                self._enqueue(delay, target, sender, message)

    def _enqueue(self, delay: float, target: NodeId, sender: object, content: object) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, target, sender, content))

    # -- flows -------------------------------------------------------------------------------

    def send(self, data: bytes, node_id: NodeId | None = None) -> SocketAddress | None:
        """Send a client's packet to a node; returns where it, or its relayed copy, was sent."""
        chosen = node_id or self.rng.choice(sorted(self.nodes))
        start = len(self.arrived)
        self._receive(self.nodes[chosen], data, GATEWAY, from_peer=False)
        self._deliver_due()
        body = data[20:]
        found = [address for address, packet in self.arrived[start:] if packet[20:] == body]
        return found[-1] if found else None

    def answer(self, data: bytes, backend_address: SocketAddress) -> list[SocketAddress]:
        """Send a backend's packet to a random node; returns where packets were sent in response."""
        start = len(self.arrived)
        chosen = self.rng.choice(sorted(self.nodes))
        self._receive(self.nodes[chosen], data, backend_address, from_peer=False)
        self._deliver_due()
        return [address for address, _ in self.arrived[start:]]

    def open(self, client: int, tries: int = 20) -> SocketAddress:
        """Send a SYN each second until one reaches a backend; returns the backend's address."""
        for _ in range(tries):
            address = self.send(tcp(client, SYN))
            if address is not None:
                return address
            self.run(1.0)
        raise AssertionError(f"flow {client} could not be opened")

    def reach(self, client: int, tries: int = 20) -> SocketAddress | None:
        """Send payload until it reaches a backend; None if it does not within `tries`."""
        for _ in range(tries):
            address = self.send(tcp(client, ACK, b"x"))
            if address is not None:
                return address
            self.run(0.5)
        return None

    def owners(self, partition: int) -> list[NodeId]:
        return [
            node_id for node_id, node in self.nodes.items() if partition in node.ownership.owned
        ]
