"""A fleet of replicas on a virtual clock with a faulty network and a faulty store."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.protocol import commands as cmd
from beamloom.protocol import events as ev
from beamloom.protocol.codec import KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.messages import Message
from beamloom.replication.budget import NETWORK_HEADER_SIZE, ControlBudget, Destination
from beamloom.replication.configuration_replica import ConfigurationReplica
from beamloom.replication.configuration_state import is_replicated
from beamloom.replication.fleet_status import FleetStatus
from beamloom.replication.reader_election import ReaderElection

StoreCommand = cmd.ListStore | cmd.WatchStore | cmd.StopWatch | cmd.ReadObject | cmd.WriteObject

KEYS = KeyRing((b"k" * 32,))
ADDRESS = SocketAddress("127.0.0.1", 1)


class Store:
    """The platform's object API in memory: revisions, conditional writes and watches."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, ev.StoredObject] = {}
        self.history: list[ev.StoredObject] = []
        self.oldest = 0
        self.down = False
        self.lose_write_answers = 0
        self.requests = 0
        self.readers_seen: set[NodeId] = set()
        self.watches: dict[tuple[NodeId, int], Callable[[ev.Event], None]] = {}

    def write(self, key: str, value: dict[str, Any] | None) -> int:
        self.revision += 1
        old = self.objects.pop(key, None)
        created = old.created_revision if old else self.revision
        stored = ev.StoredObject(key, value, self.revision, created)
        if value is not None:
            self.objects[key] = stored
        self.history.append(stored)
        for (_, request), deliver in list(self.watches.items()):
            deliver(ev.StoreChanged(request, self.revision, (stored,)))
        return self.revision

    def at(self, revision: int) -> dict[str, ev.StoredObject]:
        """Return the replicated objects as of a revision, computed from the history."""
        state: dict[str, ev.StoredObject] = {}
        for stored in self.history:
            if stored.revision <= revision and is_replicated(stored.key):
                state.pop(stored.key, None)
                if stored.value is not None:
                    state[stored.key] = stored
        return state

    def compact(self) -> None:
        """Make old revisions unavailable to watches and end all watches, as a restart does."""
        self.oldest = self.revision
        for (_, request), deliver in list(self.watches.items()):
            deliver(ev.StoreFailed(request, "compacted", gone=True))
        self.watches.clear()

    def take_down(self) -> None:
        self.down = True
        for (_, request), deliver in list(self.watches.items()):
            deliver(ev.StoreFailed(request, "down"))
        self.watches.clear()

    def request(
        self, node: NodeId, command: StoreCommand, deliver: Callable[[ev.Event], None]
    ) -> None:
        self.requests += 1
        if isinstance(command, cmd.StopWatch):
            self.watches.pop((node, command.request_id), None)
            return
        if self.down:
            deliver(ev.StoreFailed(command.request_id, "down"))
            return
        self.readers_seen.add(node)
        deliver(self._answer(node, command, deliver))

    def _answer(
        self, node: NodeId, command: StoreCommand, deliver: Callable[[ev.Event], None]
    ) -> ev.Event:
        request = command.request_id
        match command:
            case cmd.ListStore():
                return ev.StoreListed(request, self.revision, tuple(self.objects.values()))
            case cmd.WatchStore(revision=revision):
                if revision < self.oldest:
                    return ev.StoreFailed(request, "too old", gone=True)
                self.watches[node, request] = deliver
                newer = tuple(item for item in self.history if item.revision > revision)
                return ev.StoreChanged(request, self.revision, newer)
            case cmd.ReadObject(key=key):
                return ev.StoreObjectRead(request, self.objects.get(key))
        return self._conditional_write(command)

    def _conditional_write(self, command: cmd.WriteObject) -> ev.Event:
        current = self.objects.get(command.key)
        if (current.revision if current else 0) != command.expected_revision:
            return ev.StoreConflict(command.request_id, current)
        revision = self.write(command.key, command.value)
        if self.lose_write_answers:
            self.lose_write_answers -= 1
            return ev.StoreFailed(command.request_id, "the answer was lost")
        return ev.StoreWritten(command.request_id, revision)


@dataclass
class Node:
    node_id: NodeId
    zone: Zone
    replica: ConfigurationReplica
    election: ReaderElection
    status: FleetStatus
    budget: ControlBudget
    sequence: itertools.count[int] = field(default_factory=itertools.count)
    wake_at: float = float("inf")
    paused: bool = False
    highest: int = 0
    cpu: float = 0.0
    deferred: list[Callable[[], None]] = field(default_factory=list)


class Fleet:
    """Nodes, links and the store; `run` advances virtual time in seconds."""

    def __init__(
        self,
        count: int,
        *,
        loss: float = 0.0,
        delays: tuple[float, float] = (0.00025, 0.00025),
        zones: int = 5,
        seed: int = 1,
        lease_duration: float = 10.0,
        measure_cpu: bool = False,
    ) -> None:
        self.now = 0.0
        self.loss = loss
        self.delays = delays
        self.lease_duration = lease_duration
        self.measure_cpu = measure_cpu
        self.rng = random.Random(seed)
        self.store = Store()
        self.cut: set[NodeId] = set()
        self.store_cut: set[NodeId] = set()
        self.tamper: Callable[[NodeId, Message], Message] | None = None
        self.sent: dict[NodeId, list[tuple[float, int]]] = {}
        self.in_force_at: dict[int, dict[NodeId, float]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._zones = [Zone(f"zone-{n}", "a" if n < 3 else "b") for n in range(zones)]
        self.nodes: dict[NodeId, Node] = {}
        for number in range(count):
            self.add(NodeId(f"node-{number:04d}"), number)
        self.announce()

    def add(self, node_id: NodeId, number: int = 0) -> Node:
        rng = random.Random(f"{node_id}/{self.rng.random()}")
        replica = ConfigurationReplica(node_id, rng, self.now)
        node = Node(
            node_id,
            self._zones[number % len(self._zones)],
            replica,
            ReaderElection(
                node_id, replica, rng, itertools.count(1), lease_duration=self.lease_duration
            ),
            FleetStatus(node_id, lambda: replica.applied_revision, rng, self.now),
            ControlBudget(node_id, self.now),
        )
        self.nodes[node_id] = node
        self.sent.setdefault(node_id, [])
        return node

    def restart(self, node_id: NodeId) -> Node:
        self.store.watches = {k: v for k, v in self.store.watches.items() if k[0] != node_id}
        node = self.add(node_id, self._zones.index(self.nodes[node_id].zone))
        self.announce()
        return node

    def members(self) -> list[Member]:
        return [
            Member(Machine(n.node_id, n.zone, ADDRESS, ADDRESS, ADDRESS), MemberState.ALIVE, 0)
            for n in self.nodes.values()
        ]

    def announce(self) -> None:
        members = self.members()
        for node in self.nodes.values():
            node.replica.update_members(members, self.now)
            node.status.update_members(members, self.now)
            self.do(node, lambda n=node: n.election.update_members(members, self.now))

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            if until is not None and until():
                return True
            self.now, _, action = heapq.heappop(self._events)
            action()
        if until is not None and until():
            return True
        self.now = end
        return False

    def do(self, node: Node, step: Callable[[], list[cmd.Command]]) -> None:
        """Run a step of a node, carry out its commands and set its next timer."""
        if self.nodes.get(node.node_id) is not node:
            return
        if node.paused:
            node.deferred.append(lambda: self.do(node, step))
            return
        started = time.process_time() if self.measure_cpu else 0.0
        pending = step()
        pending += node.replica.poll(self.now)
        pending += node.status.poll(self.now)
        pending += node.election.poll(self.now)
        self._record_revision(node)
        store_commands: list[StoreCommand] = []
        for command in pending:
            if isinstance(command, cmd.SendMessage):
                node.budget.submit(command, self.now)
            elif isinstance(command, StoreCommand):
                store_commands.append(command)
        datagrams = [
            (batch.destination, self._encode(node, batch.messages))
            for batch in node.budget.release(self.now)
        ]
        if self.measure_cpu:
            node.cpu += time.process_time() - started
        for destination, data in datagrams:
            self._transmit(node, destination, data)
        for command in store_commands:
            self._call_store(node, command)
        self._set_timer(node)

    def _encode(self, node: Node, messages: Sequence[Message]) -> bytes:
        if self.tamper is not None:
            messages = [self.tamper(node.node_id, message) for message in messages]
        return encode_datagram(
            KEYS, node.node_id, next(node.sequence), int(self.now * 1000), messages
        )

    def _record_revision(self, node: Node) -> None:
        applied = node.replica.applied_revision
        if applied < node.highest:
            raise AssertionError(f"{node.node_id} fell from {node.highest} to {applied}")
        if applied > node.highest:
            node.highest = applied
            node.status.revision_applied(self.now)
            for revision, nodes in self.in_force_at.items():
                if applied >= revision:
                    nodes.setdefault(node.node_id, self.now)

    def _transmit(self, node: Node, destination: Destination, data: bytes) -> None:
        self.sent[node.node_id].append((self.now, len(data) + NETWORK_HEADER_SIZE))
        target = self.nodes.get(destination)
        if target is None or self.rng.random() < self.loss:
            return
        if (node.node_id in self.cut) != (destination in self.cut):
            return
        near, far = self.delays
        delay = near if node.zone.region == target.zone.region else far
        self.schedule(delay * self.rng.uniform(0.9, 1.3), lambda: self._arrive(target, data))

    def _arrive(self, target: Node, data: bytes) -> None:
        self.do(target, lambda: self._receive(target, data))

    def _receive(self, target: Node, data: bytes) -> list[cmd.Command]:
        envelope = decode_datagram(KEYS, data)
        result: list[cmd.Command] = []
        for message in envelope.messages:
            result += target.replica.handle_message(envelope.sender, message, self.now)
            result += target.election.handle_message(envelope.sender, message, self.now)
            result += target.status.handle_message(envelope.sender, message, self.now)
        return result

    def _call_store(self, node: Node, command: StoreCommand) -> None:
        def deliver(event: ev.Event) -> None:
            self.schedule(
                0.002, lambda: self.do(node, lambda: node.election.handle(event, self.now))
            )

        if node.node_id in self.store_cut:
            self.schedule(1.0, lambda: deliver(ev.StoreFailed(command.request_id, "cut off")))
            return
        self.schedule(0.002, lambda: self.store.request(node.node_id, command, deliver))

    def _set_timer(self, node: Node) -> None:
        timers = [
            node.replica.next_timer(),
            node.election.next_timer(),
            node.status.next_timer(),
            node.budget.next_timer(),
        ]
        wake_at = max(min(item for item in timers if item is not None), self.now + 1e-4)
        if self.now < node.wake_at <= wake_at:
            return
        node.wake_at = wake_at
        self.schedule(wake_at - self.now, lambda: self._wake(node, wake_at))

    def _wake(self, node: Node, wake_at: float) -> None:
        if node.wake_at == wake_at:
            node.wake_at = float("inf")
            self.do(node, list)

    def pause(self, node_id: NodeId) -> None:
        self.nodes[node_id].paused = True

    def resume(self, node_id: NodeId) -> None:
        node = self.nodes[node_id]
        node.paused = False
        held, node.deferred = node.deferred, []
        for action in held:
            action()

    def readers(self) -> list[NodeId]:
        return [name for name, node in self.nodes.items() if node.election.is_reader]

    def level(self, revision: int) -> bool:
        """Whether every node is ready and has `revision` in force."""
        return all(
            node.replica.ready and node.replica.applied_revision >= revision
            for node in self.nodes.values()
        )

    def check_states(self) -> None:
        """Compare every node with the store at the revision that the node applied."""
        known: dict[int, dict[str, ev.StoredObject]] = {}
        for name, node in self.nodes.items():
            revision = node.replica.applied_revision
            expected = known.setdefault(revision, self.store.at(revision))
            if dict(node.replica.objects) != expected:
                raise AssertionError(f"{name} differs from the store at revision {revision}")

    def write_tracked(self, key: str, value: dict[str, Any] | None) -> int:
        """Write to the store and record when each node has the change in force."""
        self.in_force_at[self.store.revision + 1] = {}
        return self.store.write(key, value)
