"""Measures the bytes of the view exchange in a simulated fleet, by node and message type.

    python -m tests.measurements.exchange_bytes NODES

The fleet has four zones and ten backends per node. One machine in eight has a link of 100 Mbit/s,
the others have 5 Mbit/s, and the link delays the datagrams of a node. Three phases are measured: no
changes; a third of the backends restart, with three changes each within 2 s; and all nodes and
backends restart. The printed rates are those of the busiest second of a node.
"""

import random
import sys
from collections import Counter
from heapq import heappush

from beamloom.model.machines import NodeId
from beamloom.protocol.codec import KeyRing, encode_datagram
from beamloom.replication.answer_budget import AnswerBudget
from beamloom.replication.store_view import NamedRecord
from beamloom.settings.capacity import Capacity
from beamloom.telemetry.histogram import BOUNDS_SECONDS, LatencyHistogram
from tests.unit.tokens.builders import backend
from tests.unit.views.exchange_network import Network, Node

KEYS = KeyRing((bytes(range(16)),))
HEADER_BYTES = 28
LARGE = Capacity(2.15, 100.0, 300.0, 4100.0)
SMALL = Capacity(0.116, 5.0, 152.0, 1024.0)
ZONES = ("north", "east", "south", "west")
MACHINES_PER_LARGE = 8
BACKENDS_PER_NODE = 10
BITS = 8
STEP_SECONDS = 0.1
EVENT_SECONDS = 2.0
MEASURED_SECONDS = 6.0
CHANGES_PER_RESTART = 3
SEEDS = 3
LONG_CATCH_UP_SECONDS = 0.25
LONG_INDEX = BOUNDS_SECONDS.index(LONG_CATCH_UP_SECONDS) + 1


class CountingNetwork(Network):
    """A network with a link capacity per host; counts bytes by second, host and message type."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(count, seed)
        self.bytes: Counter[tuple[int, str, str]] = Counter()
        self.capacity: dict[str, Capacity] = {}
        self.free_at: dict[str, float] = {}
        for number, host in enumerate(self.nodes):
            self.capacity[host] = (
                LARGE if number % MACHINES_PER_LARGE == MACHINES_PER_LARGE - 1 else SMALL
            )
            self.configure_node(self.nodes[host], number)

    def configure_node(self, node: Node, number: int) -> None:
        node.exchange.peers.zone = ZONES[number % len(ZONES)]
        node.exchange.peers.capacity = self.capacity[node.host]
        node.exchange.pulls.budget = AnswerBudget(self.capacity[node.host])

    def restart_all(self) -> None:
        """Replace every node by one without state."""
        hosts = list(self.nodes)
        for number, host in enumerate(hosts):
            self.nodes[host] = Node(host, hosts[:SEEDS], self.rng)
            self.configure_node(self.nodes[host], number)

    def flush(self, node: Node) -> None:
        rate = self.capacity[node.host].link_megabits * 1e6 / BITS
        for send in node.exchange.take_sends():
            self.sent += 1
            data = encode_datagram(KEYS, NodeId("5-0011aabb"), self.sent, 10**7, [send.message])
            size = len(data) + HEADER_BYTES
            starts_at = max(self.now, self.free_at.get(node.host, 0.0))
            self.free_at[node.host] = starts_at + size / rate
            kind = type(send.message).__name__
            self.bytes[int(starts_at), node.host, kind] += size
            due = self.free_at[node.host] + self.delay
            heappush(self._in_transit, (due, self.sent, node.host, send.host, send.message))


def report(name: str, network: CountingNetwork, since: float) -> None:
    rates: Counter[tuple[int, str]] = Counter()
    for (second, host, _), size in network.bytes.items():
        if second >= int(since):
            rates[second, host] += size
    (second, busiest), most = rates.most_common(1)[0]
    by_host = sorted(max(rates[at, host] for at, h in rates if h == host) for host in network.nodes)
    kinds = {
        kind: size
        for (at, host, kind), size in network.bytes.items()
        if (at, host) == (second, busiest)
    }
    total: Counter[str] = Counter()
    for (at, _, kind), size in network.bytes.items():
        if at >= int(since):
            total[kind] += size
    link = network.capacity[busiest].link_megabits * 1e6 / BITS
    newest = max(node.view.revision or 0 for node in network.nodes.values())
    role = "seed" if busiest in list(network.nodes)[:SEEDS] else "no seed"
    each = {kind: size // len(network.nodes) for kind, size in total.items()}
    print(f"{name}: middle {by_host[len(by_host) // 2] / 1000:.1f} kB/s")
    print(f"  busiest {most / 1000:.1f} kB/s, {most / link:.1%} of its link, {role}: {kinds}")
    print(f"  busiest by share of the link: {busiest_share(network, rates)}")
    print(f"  catch-up: {catch_up(network)}")
    print(f"  bytes a node: {each}; newest known by {network.share_at(newest):.1%}")


def catch_up(network: CountingNetwork) -> str:
    """Describe the catch-up times since the last call: the mean and the number of long ones."""
    found = [node.exchange.pulls.catch_up_seconds for node in network.nodes.values()]
    total = sum(len(times) for times in found)
    long = sum(sum(times.counts[LONG_INDEX:]) for times in found)
    seconds = sum(times.total_seconds for times in found) / max(1, total)
    for node in network.nodes.values():
        node.exchange.pulls.catch_up_seconds = LatencyHistogram()
    return f"mean {seconds:.3f} s, {long} of {total} above {LONG_CATCH_UP_SECONDS} s"


def busiest_share(network: CountingNetwork, rates: Counter[tuple[int, str]]) -> str:
    shares = {
        (at, host): rate / (network.capacity[host].link_megabits * 1e6 / BITS)
        for (at, host), rate in rates.items()
    }
    second, busiest = max(shares, key=lambda key: shares[key])
    kinds = {
        kind: size
        for (at, host, kind), size in network.bytes.items()
        if (at, host) == (second, busiest)
    }
    return f"{shares[second, busiest]:.1%} {busiest} in second {second} {kinds}"


def learn_many(
    network: CountingNetwork, readers: list[Node], numbers: list[int], revision: int
) -> None:
    records = [backend(number, f"s-{number % 40}", warm_up=revision % 7) for number in numbers]
    for reader in readers:
        network.learn(reader, *records, revision=revision)


def main(count: int) -> None:
    network = CountingNetwork(count, seed=5)
    numbers = list(range(1, BACKENDS_PER_NODE * count + 1))
    readers = list(network.nodes.values())[MACHINES_PER_LARGE - 1 :: MACHINES_PER_LARGE][:1]
    network.run(15.0)
    learn_many(network, readers, numbers, 10)
    network.run(15.0)
    quiet = network.now
    network.run(5.0)
    report("quiet", network, quiet + 1)
    cold = numbers[::3]
    since = network.now
    change_in_steps(network, readers, cold, revision=100)
    network.run(MEASURED_SECONDS - EVENT_SECONDS)
    report("cold zone", network, since)
    since = network.now
    listed = dict(readers[0].view._stored)
    revision = readers[0].view.revision or 0
    network.restart_all()
    for node in network.nodes.values():
        node.view.replace(
            [NamedRecord(name, held.revision, held.record) for name, held in listed.items()],
            revision,
        )
        node.view.confirm(network.now)
    readers = [network.nodes[readers[0].host]]
    change_in_steps(network, readers, numbers, revision=revision + 100)
    network.run(MEASURED_SECONDS - EVENT_SECONDS)
    report("start of all", network, since)


def change_in_steps(
    network: CountingNetwork, readers: list[Node], numbers: list[int], revision: int
) -> None:
    steps = round(EVENT_SECONDS / STEP_SECONDS)
    rng = random.Random(7)
    events = [
        (rng.randrange(steps), number) for number in numbers for _ in range(CHANGES_PER_RESTART)
    ]
    for step in range(steps):
        changed = sorted({number for at, number in events if at == step})
        revision += len(changed) + 1
        if changed:
            learn_many(network, readers, changed, revision)
        network.run(STEP_SECONDS)


if __name__ == "__main__":
    main(int(sys.argv[1]))
