"""Nodes that exchange views over a network that delays and loses datagrams, for tests."""

import random
from heapq import heappop, heappush

from beamloom.node.view_codecs import BACKEND_CODEC, ConfigurationCodec
from beamloom.protocol.messages import Message
from beamloom.protocol.view_messages import ViewPart
from beamloom.replication.peer_table import PeerTable
from beamloom.replication.reader_duty import ReaderRole
from beamloom.replication.reading_times import store_call_times
from beamloom.replication.shared_view import SharedView
from beamloom.replication.store_view import NamedRecord, ObjectChange, StoreView
from beamloom.replication.view_exchange import ViewExchange
from beamloom.routing.tokens.configuration_history import ConfigurationHistory
from beamloom.routing.tokens.records import BackendRecord, RoutingConfiguration

STEP_SECONDS = 0.05
DELAY_SECONDS = 0.003
LATE_SECONDS = store_call_times().late_seconds
MAXIMUM_HOPS = 8
"""Bounds the error of a confirmation's age, which does not include the time in transit."""


class Node:
    def __init__(self, host: str, seeds: list[str], rng: random.Random) -> None:
        self.host = host
        self.view: StoreView[BackendRecord] = StoreView()
        self.configuration: StoreView[RoutingConfiguration] = StoreView()
        self.history = ConfigurationHistory()
        self.changed_names: list[str] = []
        views = (
            SharedView(self.view, BACKEND_CODEC, self.take, late_seconds=LATE_SECONDS),
            SharedView(
                self.configuration,
                ConfigurationCodec(self.history),
                self.apply_configuration,
                late_seconds=LATE_SECONDS,
            ),
        )
        peers = PeerTable(host, seeds, rng)
        self.exchange = ViewExchange(views, peers, ReaderRole(host, rng, store_call_times()), rng)

    def take(self, changes: tuple[ObjectChange[BackendRecord], ...]) -> None:
        self.changed_names += [change.name for change in changes]

    def apply_configuration(self, changes: tuple[ObjectChange[RoutingConfiguration], ...]) -> None:
        for change in changes:
            assert change.record is not None
            self.history.note(change.record)


class Network:
    """Nodes on a virtual clock; a datagram arrives after `delay` seconds or is lost."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.delay = DELAY_SECONDS
        self.now = 0.0
        self.sent = 0
        self.part_bytes = 0
        hosts = [f"10.0.{number // 250}.{number % 250 + 1}" for number in range(count)]
        self.nodes = {host: Node(host, hosts[:3], self.rng) for host in hosts}
        self._in_transit: list[tuple[float, int, str, str, Message]] = []
        self.partitioned: set[str] = set()
        self.extra_delay: dict[str, float] = {}
        """Additional delay of the messages of a host, in seconds."""

    def flush(self, node: Node) -> None:
        for send in node.exchange.take_sends():
            self.sent += 1
            if isinstance(send.message, ViewPart):
                self.part_bytes += len(send.message.data)
            if self.rng.random() < self.loss or {node.host, send.host} & self.partitioned:
                continue
            due = self.now + self.delay + self.extra_delay.get(node.host, 0.0)
            heappush(self._in_transit, (due, self.sent, node.host, send.host, send.message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        step = self.now
        while self.now < end:
            step += STEP_SECONDS
            while self._in_transit and self._in_transit[0][0] <= step:
                self.now, _, source, target, message = heappop(self._in_transit)
                if target in self.nodes:
                    self.nodes[target].exchange.handle(source, message, self.now)
                    self.flush(self.nodes[target])
            self.now = step
            for node in self.nodes.values():
                node.exchange.advance(self.now)
                self.flush(node)

    def learn(self, node: Node, *records: BackendRecord, revision: int) -> None:
        """Apply records to a node as if read from the store."""
        changes = tuple(ObjectChange(record.name, revision, record) for record in records)
        if node.view.revision is None:
            named = [NamedRecord(record.name, revision, record) for record in records]
            node.view.replace(named, revision)
        else:
            node.view.apply(changes, revision)
        node.view.confirm(self.now)
        node.exchange.announce(self.now)
        self.flush(node)

    def configure(self, node: Node, record: RoutingConfiguration, revision: int) -> None:
        """Apply a configuration to a node as if read from the store."""
        change = ObjectChange("main", revision, record)
        if node.configuration.revision is None:
            node.configuration.replace([NamedRecord("main", revision, record)], revision)
        else:
            node.configuration.apply([change], revision)
        node.apply_configuration((change,))
        node.exchange.announce(self.now)
        self.flush(node)

    def versions(self) -> set[int]:
        """Return the set of versions that nodes hold; 0 stands for none."""
        held = [node.history.newest_version for node in self.nodes.values()]
        found = [
            None if revision is None else node.history.find(revision)
            for node, revision in zip(self.nodes.values(), held, strict=True)
        ]
        return {0 if record is None else record.version for record in found}

    def share_at(self, revision: int) -> float:
        reached = sum(node.view.revision == revision for node in self.nodes.values())
        return reached / len(self.nodes)
