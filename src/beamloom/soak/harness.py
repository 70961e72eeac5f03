"""Everything around the nodes of a soak: store and proxies, endpoints, routers, clients, oracle.

Endpoints and clients are the same models that the simulator uses, here on sockets.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path

from beamloom.platform.packet_layout import FLAG_RST, FLAG_SYN
from beamloom.runtime.bound_socket import bind_datagrams
from beamloom.settings.token_node import Endpoint, TokenNodeSettings
from beamloom.simulation.tokens.changes import zones_of
from beamloom.simulation.tokens.deployment import ZONES, key_of, service_end, stable_hash
from beamloom.simulation.tokens.oracle import EVACUATE_SECONDS, TokenOracle
from beamloom.soak.nodes import NodeProcess
from beamloom.soak.platform_side import (
    SoakEndpoint,
    SoakPlatform,
)
from beamloom.soak.proxy import ProxyFault, StoreProxy
from beamloom.standins.flow_packets import FlowEnd, FlowPacket, decode_forwarded, decode_packet
from beamloom.standins.token_client import FlowPlan, FlowState, TokenClientFlow

FIRST_NETWORK = 64
NETWORKS = 128
PACKETS_PORT = 19172
READINESS_PORT = 19167
PEER_PORT = 19720
STEP_SECONDS = 0.01
READINESS_PERIOD_SECONDS = 0.5
RESTART_SECONDS = 0.5
START_ALLOWANCE_SECONDS = 2.0
LARGEST_DATAGRAM = 4096


class SoakHarness:
    """One deployment of real nodes. `start` and `close` surround everything else.

    Each process of the soak has a loopback network of its own, so that several may run at once.
    """

    def __init__(self, folder: Path, nodes: int, seed: int) -> None:
        self.oracle = TokenOracle()
        self.nodes: dict[str, NodeProcess] = {}
        self.proxies: dict[str, StoreProxy] = {}
        self.flows: dict[FlowEnd, TokenClientFlow] = {}
        self.finished: list[TokenClientFlow] = []
        network = f"127.{FIRST_NETWORK + os.getpid() % NETWORKS}"
        self._network = network
        self._client_host = f"{network}.2.1"
        self.platform = SoakPlatform(network, self.oracle, lambda: self.now, self.later)
        self._folder = folder
        self._node_count = nodes
        self._chance = random.Random(seed)
        self._next_port = 20_000
        self._clients = bind_datagrams(Endpoint(self._client_host, PACKETS_PORT))
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """Seconds of the loop's clock."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start store, endpoints and nodes; return when all nodes are ready."""
        await self.platform.start()
        for number in range(1, self._node_count + 1):
            await self._add_node(number)
        for job in (self._step(), self._poll_readiness()):
            self.spawn(job)
        while any(node.misses for node in self.nodes.values()):
            await asyncio.sleep(STEP_SECONDS)

    async def close(self) -> None:
        """End what was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes.values():
            node.end()
        for proxy in self.proxies.values():
            await proxy.close()
        self._clients.close()
        await self.platform.close()

    def spawn(self, job: Coroutine[object, object, None]) -> None:
        """Run something beside the rest until it ends or the harness is closed."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def later(self, seconds: float, act: Callable[[], object]) -> None:
        """Do something later."""

        async def wait() -> None:
            await asyncio.sleep(seconds)
            act()

        self.spawn(wait())

    def note_disturbed(self, name: str, seconds: float) -> None:
        """Note that a node is disturbed from now on, for so long."""
        self.oracle.note_disturbed(name, self.now + seconds)

    def kill(self, name: str) -> None:
        """Kill a node; it starts again."""
        self.note_disturbed(name, RESTART_SECONDS + START_ALLOWANCE_SECONDS)
        self.nodes[name].send(signal.SIGKILL)
        self.later(RESTART_SECONDS, self.nodes[name].start)

    def stop(self, name: str) -> None:
        """Stop a node as planned; it starts again."""
        self.note_disturbed(name, 6.0 + START_ALLOWANCE_SECONDS)
        self.nodes[name].send(signal.SIGTERM)
        self.later(4.0, self.nodes[name].start)

    def pause(self, name: str, seconds: float) -> None:
        """Let a node stand still."""
        self.note_disturbed(name, seconds)
        self.nodes[name].send(signal.SIGSTOP)
        self.later(seconds, lambda: self.nodes[name].send(signal.SIGCONT))

    def disturb_way(self, name: str, fault: ProxyFault, seconds: float) -> None:
        """Let something befall a node's connections to the store."""
        self.note_disturbed(name, seconds)
        proxy = self.proxies[name]
        proxy.fault = fault
        if fault is ProxyFault.REFUSE:
            proxy.reset_connections()
        self.later(seconds, lambda: setattr(proxy, "fault", ProxyFault.NONE))

    def open_flow(self, plan: FlowPlan) -> None:
        """Let a client open a flow to one of the addresses."""
        self._next_port = 20_000 + (self._next_port - 19_999) % 40_000
        source = FlowEnd(socket.inet_aton(self._client_host), self._next_port)
        number = self._chance.choice((1, 2))
        service = service_end(number)
        self.flows[source] = TokenClientFlow(source, service, plan, self.now)

    async def _add_node(self, number: int) -> None:
        name, host = f"node-{number}", f"{self._network}.0.{number}"
        proxy = self.proxies[name] = StoreProxy(
            (self.platform.store_host, self.platform.server.port)
        )
        await proxy.start(f"{self._network}.3.{number}")
        settings = TokenNodeSettings(
            node=name,
            host=host,
            zone=ZONES[number % len(ZONES)],
            packets=Endpoint(host, PACKETS_PORT),
            readiness=Endpoint(host, READINESS_PORT),
            store=Endpoint(f"{self._network}.3.{number}", proxy.port),
            peer_port=PEER_PORT,
            metrics=None,
            seeds=tuple(f"{self._network}.0.{seed}" for seed in (1, 2, 3)),
            evacuate_seconds=EVACUATE_SECONDS,
            zones=ZONES,
        )
        self.nodes[name] = NodeProcess(settings, self._folder)
        self.nodes[name].start()
        self.note_disturbed(name, START_ALLOWANCE_SECONDS)

    async def _poll_readiness(self) -> None:
        while True:
            nodes = list(self.nodes.values())
            checks = (asyncio.to_thread(node.is_ready) for node in nodes)
            for node, ready in zip(nodes, await asyncio.gather(*checks), strict=True):
                node.misses = 0 if ready else node.misses + 1
            await asyncio.sleep(READINESS_PERIOD_SECONDS)

    async def _step(self) -> None:
        while True:
            now = self.now
            for source, flow in list(self.flows.items()):
                self._send_to_nodes(flow.advance(now))
                if flow.ended:
                    self.finished.append(self.flows.pop(source))
            for endpoint in self.platform.endpoints:
                if endpoint.alive:
                    self._serve(endpoint, now)
            self._receive_at_clients()
            await asyncio.sleep(STEP_SECONDS)

    def _serve(self, endpoint: SoakEndpoint, now: float) -> None:
        endpoint.listener.accept()
        packets = endpoint.model.advance(now)
        for data, host in _drain_socket(endpoint.socket):
            forwarded = decode_forwarded(data)
            if forwarded is None:
                self.oracle.report("unasked", now, f"no packet at {endpoint.record.name}")
                continue
            identity, packet = forwarded
            self._judge_arrival(endpoint, host, identity, packet)
            packets += endpoint.model.handle(identity, packet, now)
        for packet in packets:
            data = packet.encode(signed=not packet.flags & FLAG_RST)
            endpoint.socket.sendto(data, (self._client_host, PACKETS_PORT))

    def _judge_arrival(
        self, endpoint: SoakEndpoint, host: str, identity: int, packet: FlowPacket
    ) -> None:
        if not packet.is_intact:
            detail = f"an altered packet at {endpoint.record.name}"
            self.oracle.report("unasked", self.now, detail)
        if packet.flags & FLAG_SYN and identity == endpoint.model.identity:
            key = key_of(packet.destination)
            node = self._node_at(host)
            self.oracle.judge_opening(node, endpoint.record, key, self.now)

    def _receive_at_clients(self) -> None:
        for data, host in _drain_socket(self._clients):
            packet = decode_packet(data)
            flow = None if packet is None else self.flows.get(packet.destination)
            if packet is None or flow is None or flow.ended:
                continue
            node = self._node_at(host)
            if node and packet.flags & FLAG_RST:
                self._judge_reset(flow, node)
            first, count = flow.answers[:1], len(flow.answers)
            replies = flow.handle(packet, self.now)
            if len(flow.answers) > count and first:
                self.oracle.judge_answer(first[0], flow.answers[-1], str(flow.source), self.now)
            for text in flow.mixed:
                self.oracle.report("mixed", self.now, text)
            self._send_to_nodes(replies)

    def _judge_reset(self, flow: TokenClientFlow, node: str) -> None:
        if flow.state is FlowState.OPENING:
            destination = key_of(flow.service)
            zones = zones_of(self.platform, destination)
            self.oracle.judge_refusal(node, destination, self.now, zones)
        elif any(held.alive and held.model.holds(flow.source) for held in self.platform.endpoints):
            self.oracle.report("flow", self.now, f"{node} reset {flow.source}")

    def _send_to_nodes(self, packets: list[FlowPacket]) -> None:
        for packet in packets:
            host = self._pick_host(packet.source)
            self._clients.sendto(packet.encode(), (host, PACKETS_PORT))

    def _pick_host(self, source: FlowEnd) -> str:
        hosts = [node.host for node in self.nodes.values() if node.misses < 2]
        hosts = hosts or [node.host for node in self.nodes.values()]
        return max(hosts, key=lambda host: stable_hash(f"{source}|{host}"))

    def _node_at(self, host: str) -> str:
        return next((node.name for node in self.nodes.values() if node.host == host), "")


def _drain_socket(bound: socket.socket) -> list[tuple[bytes, str]]:
    datagrams: list[tuple[bytes, str]] = []
    while True:
        try:
            data, source = bound.recvfrom(LARGEST_DATAGRAM)
        except BlockingIOError:
            return datagrams
        except OSError:
            continue
        datagrams.append((data, str(source[0])))
