"""Fleet of membership cores in one process with a virtual clock, delay, loss, splits and pauses."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

from beamloom.membership import MembershipCore, MembershipSettings
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.protocol.codec import KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.membership_messages import MemberUpdate, StatePage

KEYS = KeyRing((b"k" * 32,))
ZONES = [Zone(f"zone-{n}", "suva" if n < 3 else "nairobi") for n in range(5)]
SAME_REGION_DELAY = 0.0015
CROSS_REGION_DELAY = 0.08
PAGE = 40


def machine(number: int) -> Machine:
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    addresses = [SocketAddress(host, port) for port in (7000, 7001, 7002)]
    return Machine(NodeId(f"node-{number:04d}"), ZONES[number % len(ZONES)], *addresses)


class Fleet:
    """Cores by node id, with simulated datagrams between them.

    `blocks(sender, receiver)` drops every datagram, `loss(sender, receiver)` is a probability.
    """

    def __init__(self, seed: int, settings: MembershipSettings | None = None) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.settings = settings or MembershipSettings()
        self.cores: dict[NodeId, MembershipCore] = {}
        self.machines: dict[NodeId, Machine] = {}
        self.blocks: Callable[[NodeId, NodeId], bool] = lambda sender, receiver: False
        self.loss: Callable[[NodeId, NodeId], float] = lambda sender, receiver: 0.0
        self.paused_until: dict[NodeId, float] = {}
        self.sent_bytes: dict[NodeId, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self.longest_datagram = 0
        self.largest_page_rate: dict[NodeId, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self._by_address: dict[SocketAddress, NodeId] = {}
        self._events: list[tuple[float, int, NodeId, bytes | None]] = []
        self._count = 0
        self._armed: dict[NodeId, float] = {}

    @classmethod
    def settled(cls, nodes: int, seed: int, settings: MembershipSettings | None = None) -> Fleet:
        """Return a fleet in which all nodes know each other, and announce themselves as alive."""
        fleet = cls(seed, settings)
        machines = [machine(number) for number in range(nodes)]
        updates = [
            MemberUpdate(item.node_id, MemberState.ALIVE, 0, None, item).encode()
            for item in machines
        ]
        for item in machines:
            fleet.add(item, [])
            core = fleet.cores[item.node_id]
            for first in range(0, nodes, PAGE):
                others = updates[first : first + PAGE]
                page = StatePage("", "", [u for u in others if u[0] != item.node_id])
                core.handle_message(item.node_id, page, fleet.now)
            fleet.do(item.node_id, core.become_alive(fleet.now))
        return fleet

    def add(self, item: Machine, seeds: list[Machine]) -> MembershipCore:
        addresses = [seed.control_address for seed in seeds]
        rng = random.Random(f"{self.rng.random()}{item.node_id}")
        core = MembershipCore(item, addresses, self.settings, rng)
        self.cores[item.node_id] = core
        self.machines[item.node_id] = item
        self._by_address[item.control_address] = item.node_id
        self.do(item.node_id, core.start(self.now))
        return core

    def crash(self, node_id: NodeId) -> None:
        del self.cores[node_id]

    def pause(self, node_id: NodeId, seconds: float) -> None:
        self.paused_until[node_id] = self.now + seconds

    def do(self, node_id: NodeId, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, SendMessage):
                self._send(node_id, command)
        self._arm(node_id)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, node_id, data = heapq.heappop(self._events)
            if data is None and self._armed.get(node_id) != self.now:
                continue
            resume = self.paused_until.get(node_id, 0.0)
            if resume > self.now:
                if data is None:
                    self._armed[node_id] = resume
                self._push(resume, node_id, data)
            elif node_id in self.cores:
                self._handle_event(node_id, data)
        self.now = end

    def states(self, subject: NodeId) -> dict[NodeId, MemberState | None]:
        """Return the state of a member in the list of each other node; None if not listed."""
        states = {}
        for node_id, core in self.cores.items():
            member = core.view.member(subject)
            if node_id != subject:
                states[node_id] = member.state if member else None
        return states

    def deaths_seen(self) -> int:
        """Return how many (node, running member) pairs record the member as dead."""
        return sum(
            state is MemberState.DEAD
            for subject in self.cores
            for state in self.states(subject).values()
        )

    def all_alive(self) -> bool:
        return all(
            state in {MemberState.ALIVE, MemberState.SUSPECT}
            for subject in self.cores
            for state in self.states(subject).values()
        )

    def _handle_event(self, node_id: NodeId, data: bytes | None) -> None:
        core = self.cores[node_id]
        if data is None:
            self._armed.pop(node_id, None)
            due = core.next_timer()
            self.do(node_id, core.poll(self.now) if due is not None and due <= self.now else [])
            return
        envelope = decode_datagram(KEYS, data)
        for message in envelope.messages:
            self.do(node_id, core.handle_message(envelope.sender, message, self.now))

    def _send(self, sender: NodeId, command: SendMessage) -> None:
        data = encode_datagram(KEYS, sender, self._count, int(self.now * 1000), [command.message])
        self.longest_datagram = max(self.longest_datagram, len(data))
        self.sent_bytes[sender][int(self.now)] += len(data)
        if isinstance(command.message, StatePage):
            self.largest_page_rate[sender][int(self.now)] += len(data)
        target = command.destination
        receiver = self._by_address.get(target) if isinstance(target, SocketAddress) else target
        if receiver is None or self.blocks(sender, receiver):
            return
        if self.rng.random() < self.loss(sender, receiver):
            return
        near = self.machines[sender].zone.region == self.machines[receiver].zone.region
        delay = (SAME_REGION_DELAY if near else CROSS_REGION_DELAY) * self.rng.uniform(1, 1.3)
        self._push(self.now + delay, receiver, data)

    def _arm(self, node_id: NodeId) -> None:
        due = self.cores[node_id].next_timer() if node_id in self.cores else None
        if due is None or self._armed.get(node_id, float("inf")) <= due:
            return
        self._armed[node_id] = max(due, self.now)
        self._push(self._armed[node_id], node_id, None)

    def _push(self, time: float, node_id: NodeId, data: bytes | None) -> None:
        self._count += 1
        heapq.heappush(self._events, (time, self._count, node_id, data))
