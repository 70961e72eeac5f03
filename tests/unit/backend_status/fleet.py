"""An in-memory fleet of `BackendWatchers` on virtual time, for tests and measurements."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import cbor2

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.model.contracts import Backend, Generation, ServiceContract, ServicePolicy
from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.protocol.codec import message_to_list
from beamloom.protocol.commands import CheckBackend, Command, SendMessage
from beamloom.protocol.events import BackendChecked
from beamloom.replication.backend_status.watchers import BackendWatchers

DATAGRAM_OVERHEAD = 16 + 32
CheckAnswer = Callable[[NodeId, int, float], BackendChecked | None]
ADDRESS = SocketAddress("127.0.0.1", 9)


def make_member(index: int, zones: int = 3, state: MemberState = MemberState.ALIVE) -> Member:
    zone = Zone(f"zone-{index % zones}", "region")
    machine = Machine(NodeId(f"node-{index}"), zone, ADDRESS, ADDRESS, ADDRESS)
    return Member(machine, state, 0)


def make_services(
    services: int, each: int, policy: ServicePolicy | None = None, first_number: int = 100
) -> list[ServiceContract]:
    return [
        _make_service(index, each, policy or ServicePolicy(), first_number)
        for index in range(services)
    ]


def _make_service(index: int, each: int, policy: ServicePolicy, first: int) -> ServiceContract:
    start = first + index * (each + 1)
    backends = tuple(
        Backend(f"t/s{index}/b{item}", start + 1 + item, ADDRESS, ADDRESS, f"zone-{item % 3}")
        for item in range(each)
    )
    address = VirtualAddress("198.51.100.1", TransportProtocol.TCP, index + 1)
    return ServiceContract(
        f"t/s{index}", start, "t", address, 1, policy, (Generation(1, backends),)
    )


class Fleet:
    """Nodes on a lossy network; `checked(node, backend, now)` answers a check unless None."""

    def __init__(self, nodes: int, services: list[ServiceContract], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.services = services
        self.now = 0.0
        self.loss = 0.0
        self.delay = 0.002
        self.checked: CheckAnswer = healthy_answer
        self.nodes: dict[NodeId, BackendWatchers] = {}
        self.members: dict[NodeId, Member] = {}
        self.isolated: set[NodeId] = set()
        self.sent_bytes: Counter[NodeId] = Counter()
        self.sent_messages: Counter[str] = Counter()
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._timers: dict[NodeId, float] = {}
        for index in range(nodes):
            self.add(index, announce=False)
        self.update_members()

    def add(self, index: int, *, announce: bool = True) -> BackendWatchers:
        member = make_member(index)
        node_id = member.machine.node_id
        watchers = BackendWatchers(node_id, random.Random(self.rng.random()), self.now)
        watchers.update_backends(self.services, self.now)
        self.nodes[node_id] = watchers
        self.members[node_id] = member
        if announce:
            self.update_members()
        return watchers

    def remove(self, node_id: NodeId) -> None:
        del self.nodes[node_id], self.members[node_id]
        self.update_members()

    def update_members(self) -> None:
        members = list(self.members.values())
        for node_id, watchers in self.nodes.items():
            watchers.update_members(members, self.now)
            self._schedule_poll(node_id)

    def update_services(self, services: list[ServiceContract]) -> None:
        self.services = services
        for node_id, watchers in self.nodes.items():
            watchers.update_backends(services, self.now)
            self._schedule_poll(node_id)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def execute(self, node_id: NodeId, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SendMessage):
                self._send(node_id, command)
            elif isinstance(command, CheckBackend):
                self._check(node_id, command.backend_number)
        self._schedule_poll(node_id)

    def _send(self, sender: NodeId, command: SendMessage) -> None:
        message = command.message
        size = len(cbor2.dumps(message_to_list(message))) + DATAGRAM_OVERHEAD
        self.sent_bytes[sender] += size
        self.sent_messages[type(message).__name__] += 1
        target = command.destination
        if sender in self.isolated or target in self.isolated or self.rng.random() < self.loss:
            return

        def deliver() -> None:
            node = self.nodes.get(target)
            if node is not None:
                self.execute(target, node.handle_message(sender, message, self.now))

        self._schedule(self.now + self.delay, deliver)

    def _check(self, node_id: NodeId, backend_number: int) -> None:
        answer = None
        if node_id not in self.isolated:
            answer = self.checked(node_id, backend_number, self.now)
        if answer is None:
            return

        def deliver() -> None:
            node = self.nodes.get(node_id)
            if node is not None:
                self.execute(node_id, node.backend_checked(answer, self.now))

        self._schedule(self.now + 0.005, deliver)

    def _schedule_poll(self, node_id: NodeId) -> None:
        node = self.nodes.get(node_id)
        due = node.next_timer() if node is not None else None
        scheduled_at = self._timers.get(node_id)
        if due is None or (scheduled_at is not None and self.now <= scheduled_at <= due):
            return
        self._timers[node_id] = due

        def fire() -> None:
            if self._timers.get(node_id) != due or node_id not in self.nodes:
                return
            del self._timers[node_id]
            self.execute(node_id, self.nodes[node_id].poll(self.now))

        self._schedule(max(self.now, due), fire)

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._sequence), action))


def healthy_answer(node_id: NodeId, backend_number: int, now: float) -> BackendChecked:
    return BackendChecked(backend_number, True, False, 0.5, 0.005)
