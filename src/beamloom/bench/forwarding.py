"""Compares the forwarding speed of a balancer with that of a bare asyncio UDP relay.

Batches of packets go to both in turn. Each batch is first written to the target's socket buffer;
only the time in which the target receives, routes and forwards it is counted. The sink is drained
between batches.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, cast

import dpkt
import numpy as np

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.model.contracts import Backend, Generation, ServiceContract, ServicePolicy
from beamloom.model.machines import Member, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.protocol.codec import KeyRing
from beamloom.routing.flow_table import FlowFlag, FlowTable
from beamloom.routing.hashing import FLOW_KEY_MASK
from beamloom.routing.ownership import JOIN_WAIT_SECONDS
from beamloom.runtime.balancer import BalancerProcess
from beamloom.runtime.machine_sockets import MachineSockets

LOOPBACK = "127.0.0.1"
ANY_PORT = 0
BATCH_PACKETS = 256
PAYLOAD = b"x" * 64
SERVICE_IP = "10.1.0.1"
SERVICE_PORT = 443
BACKEND_NUMBER = 7
IDLE_SECONDS = 3600.0
DECISION_ROUNDS = 100_000
DECISION_REPEATS = 5
BATCH_TIMEOUT_SECONDS = 10.0
IPV4_HEADER_SIZE = 20
DRAIN_BYTES = 2048
MICROSECONDS = 1e6
HASH_KEY = b"bench"


@dataclass(frozen=True, slots=True)
class ForwardingReport:
    """The result of one run; `ratio` is the rate of the balancer relative to the relay."""

    packets_per_second: float
    relay_packets_per_second: float
    ratio: float
    decision_microseconds: float
    bytes_per_flow: float
    flows: int


class _BatchCounter:
    """Counts the packets of a batch and signals when the last one was handled."""

    def __init__(self) -> None:
        self._remaining = 0
        self._done = asyncio.Event()

    def expect(self, packets: int) -> None:
        """Start a batch of this many packets."""
        self._remaining = packets
        self._done.clear()

    def count(self) -> None:
        """Count one handled packet."""
        self._remaining -= 1
        if not self._remaining:
            self._done.set()

    async def wait(self) -> None:
        """Wait for the last packet of the batch; raises TimeoutError if packets were lost."""
        await asyncio.wait_for(self._done.wait(), BATCH_TIMEOUT_SECONDS)


class _CountingBalancer(BalancerProcess):
    """A balancer that counts packets in the same way as the bare relay."""

    def __init__(self, core: NodeCore, sockets: MachineSockets, counter: _BatchCounter) -> None:
        super().__init__(core, sockets)
        self._counter = counter

    def _data_received(self, data: bytes, source: SocketAddress) -> None:
        super()._data_received(data, source)
        self._counter.count()


class _BareRelay(asyncio.DatagramProtocol):
    """Forwards each packet without further work, the lower limit for an asyncio program."""

    def __init__(self, destination: SocketAddress, counter: _BatchCounter) -> None:
        self._destination = destination
        self._counter = counter
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Forward one packet."""
        assert self._transport is not None
        self._transport.sendto(data, self._destination)
        self._counter.count()


class MeasurementError(Exception):
    """The sink lost packets of a batch, so the measured time is not valid."""

    def __init__(self, expected: int, received: int) -> None:
        super().__init__(
            f"the sink received {received} of {expected} packets of a batch: raise its buffer "
            "(net.core.rmem_max) or reduce other load, then measure again"
        )


def _batches(packets: Sequence[bytes]) -> list[Sequence[bytes]]:
    return [
        packets[start : start + BATCH_PACKETS] for start in range(0, len(packets), BATCH_PACKETS)
    ]


def make_packet(client_number: int) -> bytes:
    """Build a TCP packet of an open flow; each number is a different client address and port."""
    client = (0x0A80_0000 + (client_number >> 15)).to_bytes(4, "big")
    port = 1024 + (client_number & 0x7FFF)
    segment = dpkt.tcp.TCP(
        sport=port, dport=SERVICE_PORT, flags=dpkt.tcp.TH_ACK, seq=1, ack=1, data=PAYLOAD
    )
    packet = dpkt.ip.IP(
        src=client,
        dst=socket.inet_aton(SERVICE_IP),
        p=dpkt.ip.IP_PROTO_TCP,
        ttl=64,
        data=segment,
        len=IPV4_HEADER_SIZE + len(segment),
    )
    return bytes(packet)


def _contract(backend_address: SocketAddress) -> ServiceContract:
    backend = Backend("backend", BACKEND_NUMBER, backend_address, backend_address, "zone")
    return ServiceContract(
        "bench/service",
        1,
        "bench",
        VirtualAddress(SERVICE_IP, TransportProtocol.TCP, SERVICE_PORT),
        1,
        ServicePolicy(flow_idle_timeout=IDLE_SECONDS),
        (Generation(1, (backend,)),),
    )


class ForwardingBench:
    """Holds the balancer, the relay and the sink of one run."""

    def __init__(self, flows: int) -> None:
        self._flows = flows
        self._sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sink.bind((LOOPBACK, ANY_PORT))
        self._sink.setblocking(False)
        self._sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        self._source = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sockets = MachineSockets.bind_any(LOOPBACK)
        machine = self._machine = self._sockets.machine(NodeId("bench"), Zone("zone", "region"))
        options = NodeOptions(
            machine, (), KeyRing((HASH_KEY,)), HASH_KEY, (self._sink_address,), seed=1
        )
        self.core = NodeCore(options, now=0.0)
        self._counter = _BatchCounter()
        self._process = _CountingBalancer(self.core, self._sockets, self._counter)
        step = max(1, flows // (BATCH_PACKETS * 64))
        self._packets = [make_packet(number) for number in range(0, flows, step)]

    @property
    def _sink_address(self) -> SocketAddress:
        return SocketAddress(*self._sink.getsockname())

    async def run(self, seconds: float) -> ForwardingReport:
        """Measure for about `seconds` of counted time on each side."""
        self._process.start()
        self._fill_table()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _BareRelay(self._sink_address, self._counter),
            local_addr=(LOOPBACK, ANY_PORT),
        )
        relay_address = SocketAddress(*transport.get_extra_info("sockname"))
        batches = itertools.cycle(_batches(self._packets))
        balancer_seconds = relay_seconds = 0.0
        sent = 0
        while min(balancer_seconds, relay_seconds) < seconds:
            batch = next(batches)
            balancer_seconds += await self._time_batch(batch, self._sockets.data.address)
            relay_seconds += await self._time_batch(batch, relay_address)
            sent += len(batch)
        transport.close()
        self._process.close()
        decision = self._decision_microseconds()
        return ForwardingReport(
            round(sent / balancer_seconds),
            round(sent / relay_seconds),
            round(relay_seconds / balancer_seconds, 3),
            round(decision, 3),
            round(measure_bytes_per_flow(self._flows), 1),
            self._flows,
        )

    def _fill_table(self) -> None:
        """Open every flow by passing a packet of it to the core."""
        forwarder = self.core.forwarder
        now = asyncio.get_running_loop().time()
        forwarder.update_services([_contract(self._sink_address)], [])
        members = [Member(self._machine, MemberState.ALIVE, 0)]
        forwarder.update_members(members, now)
        forwarder.update_members(members, now + 2 * JOIN_WAIT_SECONDS)
        for number in range(self._flows):
            self.core.packet_received(make_packet(number), self._sink_address, False, now)

    async def measure_decision(self) -> float:
        """Return the processor time of a routing decision without sockets, in microseconds.

        It is the minimum of several means, since other load on the machine can only increase them.
        """
        self._fill_table()
        clock = time.process_time
        return min(self._decision_microseconds(clock) for _ in range(DECISION_REPEATS))

    def close(self) -> None:
        """Close the sockets of a bench that was not run."""
        self._sink.close()
        self._source.close()
        for item in (self._sockets.data, self._sockets.peer, self._sockets.control):
            item.close()

    async def _time_batch(self, batch: Sequence[bytes], target: SocketAddress) -> float:
        """Write a batch to the target's socket; return the seconds until it was forwarded."""
        self._counter.expect(len(batch))
        for packet in batch:
            self._source.sendto(packet, target)
        started = time.perf_counter()
        await self._counter.wait()
        elapsed = time.perf_counter() - started
        self._drain_sink(len(batch))
        return elapsed

    def _drain_sink(self, expected: int) -> None:
        """Read the batch from the sink; raises MeasurementError if packets are missing."""
        for received in range(expected):
            try:
                self._sink.recv(DRAIN_BYTES)
            except BlockingIOError as error:
                raise MeasurementError(expected, received) from error

    def _decision_microseconds(self, clock: Callable[[], float] = time.perf_counter) -> float:
        """Return the mean time of a routing decision, without sockets."""
        now = asyncio.get_running_loop().time()
        packets = itertools.islice(itertools.cycle(self._packets), DECISION_ROUNDS)
        decide, source = self.core.packet_received, self._sink_address
        started = clock()
        for packet in packets:
            decide(packet, source, False, now)
        return (clock() - started) / DECISION_ROUNDS * MICROSECONDS


def measure_bytes_per_flow(flows: int) -> float:
    """Return the memory per entry of a flow table with this many flows, in bytes."""
    generator = np.random.default_rng(seed=1)
    keys = generator.integers(0, FLOW_KEY_MASK, size=flows, dtype=np.uint64)
    tracemalloc.start()
    table = FlowTable()
    for key in keys:
        table.insert(int(key), BACKEND_NUMBER, FlowFlag.HOME, IDLE_SECONDS, 0.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / flows


async def bench_forwarding(flows: int, seconds: float) -> ForwardingReport:
    """Run the whole measurement; raises MeasurementError if the sink lost packets."""
    return await ForwardingBench(flows).run(seconds)


async def measure_decision(flows: int) -> float:
    """Return the processor time of a decision with this many open flows, in microseconds."""
    bench = ForwardingBench(flows)
    try:
        return await bench.measure_decision()
    finally:
        bench.close()
