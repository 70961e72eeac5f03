"""Traffic of a scale run: packets that open flows, carry data and close flows.

The home of a flow receives an opening packet, a packet with payload and, unless the flow stays
open, a reset. Packets that a node serves from its own flow table are omitted.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Sequence
from heapq import heappop, heappush

from beamloom.bench.scale_deployment import SERVICE_PORT, service_address
from beamloom.bench.scale_nodes import HollowNode
from beamloom.bench.scale_options import ScaleOptions
from beamloom.model.machines import NodeId
from beamloom.routing.flow_table import FlowFlag
from beamloom.routing.hashing import flow_key, flow_seed, partition_of, slot_of
from beamloom.routing.packet import PROTOCOL_TCP, TCP_ACK, TCP_RST, TCP_SYN
from beamloom.routing.selection import Choice, PlacementReason
from beamloom.simulation.clock import VirtualClock
from beamloom.standins.packets import pack_address

FEED_SECONDS = 0.1
PAYLOAD_DELAY = 0.05
FIRST_PORT, LAST_PORT = 1024, 65_535
_IPV4 = struct.Struct("!BBHHHBBH4s4s")
_TCP = struct.Struct("!HHLLBBHHH")
PAYLOAD = b"x"


def tcp_packet(client: bytes, port: int, virtual_ip: bytes, flags: int, payload: bytes) -> bytes:
    """Return a TCP segment from a client to a service; checksums are left at zero."""
    total = _IPV4.size + _TCP.size + len(payload)
    header = _IPV4.pack(0x45, 0, total, 0, 0, 64, PROTOCOL_TCP, 0, client, virtual_ip)
    return header + _TCP.pack(port, SERVICE_PORT, 1, 1, 0x50, flags, 65_535, 0, 0) + payload


class FlowFeed:
    """Opens and closes flows at the rate of the options."""

    def __init__(
        self,
        clock: VirtualClock,
        nodes: dict[NodeId, HollowNode],
        options: ScaleOptions,
        hash_key: bytes,
        rng: random.Random,
    ) -> None:
        self.opened = 0
        self._clock = clock
        self._nodes = nodes
        self._options = options
        self._rng = rng
        self._seed = flow_seed(hash_key, PROTOCOL_TCP)
        self._virtual_ips = [pack_address(service_address(i)) for i in range(options.services)]
        self._due: list[tuple[float, int, bytes, int, bytes, int]] = []
        self._number = 0
        self._names: Sequence[NodeId] = ()
        self._carry = 0.0

    def start(self) -> None:
        """Start the traffic."""
        self._clock.call_later(0.0, self._feed)

    def _feed(self) -> None:
        self._names = [name for name, node in self._nodes.items() if node.host.running]
        self._carry += self._options.flows_per_second * FEED_SECONDS
        count = int(self._carry)
        self._carry -= count
        for _ in range(count):
            self._open()
        now = self._clock.now
        while self._due and self._due[0][0] <= now:
            _, _, client, port, virtual_ip, flags = heappop(self._due)
            self._send(client, port, virtual_ip, flags)
        self._clock.call_later(FEED_SECONDS, self._feed)

    def _open(self) -> None:
        rng = self._rng
        client, port = rng.randbytes(4), rng.randint(FIRST_PORT, LAST_PORT)
        virtual_ip = rng.choice(self._virtual_ips)
        self.opened += 1
        self._send(client, port, virtual_ip, TCP_SYN)
        self._schedule(PAYLOAD_DELAY, client, port, virtual_ip, TCP_ACK)
        if rng.random() >= self._options.long_flow_share:
            delay = 2 * self._options.short_flow_seconds * rng.random() + PAYLOAD_DELAY
            self._schedule(delay, client, port, virtual_ip, TCP_RST)

    def _schedule(
        self, delay: float, client: bytes, port: int, virtual_ip: bytes, flags: int
    ) -> None:
        self._number += 1
        entry = (self._clock.now + delay, self._number, client, port, virtual_ip, flags)
        heappush(self._due, entry)

    def _send(self, client: bytes, port: int, virtual_ip: bytes, flags: int) -> None:
        """Send a packet to the flow's home according to the view of a random node."""
        relay = self._nodes[self._rng.choice(self._names)]
        ports = struct.pack("!HH", port, SERVICE_PORT)
        partition = partition_of(flow_key(client + virtual_ip + ports, self._seed))
        home = relay.core.core.forwarder.ownership.forward_targets[partition]
        if home is None or home not in self._nodes:
            return
        payload = PAYLOAD if flags == TCP_ACK else b""
        data = tcp_packet(client, port, virtual_ip, flags, payload)
        if home == relay.name:
            relay.take_packet(data, relay.machine.data_address, from_peer=False)
        else:
            self._nodes[home].take_packet(data, relay.machine.peer_address, from_peer=True)


def fill_flow_tables(
    nodes: Sequence[HollowNode], options: ScaleOptions, rng: random.Random, now: float
) -> None:
    """Add the initially open flows at their homes.

    Flows of services with requests that may not be repeated are omitted, as all of their replicas
    would be sent at once.
    """
    per_node = options.open_flows // max(options.nodes, 1)
    for node in nodes:
        home = node.core.core.forwarder.home
        partitions = sorted(home.ownership.owned)
        routes = [
            route
            for _, route in sorted(home.routes.by_service_number.items())
            if route.contract.policy.request_repeat.value != "never"
        ]
        if not partitions or not routes:
            continue
        for _ in range(per_node):
            key = (rng.getrandbits(46) << 14) | rng.choice(partitions)
            service = rng.choice(routes)
            number = service.current_table.first[slot_of(key)]
            choice = Choice(number, PlacementReason.BASE_GENERATION)
            home.insert(key, choice, service, FlowFlag.PAYLOAD_SENT, now)
