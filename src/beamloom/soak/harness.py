"""Everything around the nodes of a soak: store and proxies, endpoints, routers, clients, oracle.

Endpoints and clients are the same models that the simulator uses, here on sockets.
"""

from __future__ import annotations

import asyncio
import errno
import os
import random
import signal
import socket
from collections.abc import Callable, Collection, Coroutine
from pathlib import Path

from beamloom.platform.packet_layout import FLAG_RST, FLAG_SYN
from beamloom.runtime.bound_socket import bind_datagrams
from beamloom.settings.token_node import Endpoint
from beamloom.simulation.tokens.changes import zones_of
from beamloom.simulation.tokens.deployment import key_of, service_end, stable_hash
from beamloom.simulation.tokens.oracle import TokenOracle
from beamloom.soak.endpoint import SoakEndpoint
from beamloom.soak.nodes import PACKETS_PORT, STOP_SECONDS, NodeProcess, node_settings
from beamloom.soak.platform_side import SoakPlatform
from beamloom.soak.program import install_program
from beamloom.soak.proxy import ProxyFault, StoreProxy
from beamloom.standins.flow_packets import FlowEnd, FlowPacket, decode_forwarded, decode_packet
from beamloom.standins.token_client import FlowPlan, FlowState, TokenClientFlow

FIRST_NETWORK = 64
NETWORKS = 128
CLIENTS = ".2.1"
"""The clients' host in a soak's network."""
STEP_SECONDS = 0.01
READINESS_PERIOD_SECONDS = 0.5
RESTART_SECONDS = 0.5
START_ALLOWANCE_SECONDS = 2.0
STOPPED_AGAIN_SECONDS = 4.0
"""How long a node that is stopped as planned stays away at least."""
LARGEST_DATAGRAM = 4096


class SoakHarness:
    """One deployment of real nodes. `start` and `close` surround everything else.

    Each soak has a loopback network of its own, so that several may run at once. Raises OSError
    where none is free.
    """

    def __init__(self, folder: Path, nodes: int, seed: int) -> None:
        self.oracle = TokenOracle()
        self.nodes: dict[str, NodeProcess] = {}
        self.proxies: dict[str, StoreProxy] = {}
        self.flows: dict[FlowEnd, TokenClientFlow] = {}
        self.finished: list[TokenClientFlow] = []
        network, self._clients = _claim_network()
        self._network = network
        self._client_host = f"{network}{CLIENTS}"
        self.platform = SoakPlatform(network, self.oracle, lambda: self.now, self.later)
        self._paused_until: dict[str, float] = {}
        self._folder = folder
        self._node_count = nodes
        self._chance = random.Random(seed)
        self._next_port = 20_000
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """Seconds of the loop's clock."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start store, endpoints and nodes; return when all nodes are ready."""
        self._program = await asyncio.to_thread(install_program, self._folder)
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
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """Forget a task; one that failed would leave the rest of a soak without its faults."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.oracle.report("soak", self.now, f"a fault could not act: {task.exception()!r}")

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
        self.note_disturbed(name, STOP_SECONDS + START_ALLOWANCE_SECONDS)
        self.nodes[name].send(signal.SIGTERM)
        self.spawn(self._start_again(self.nodes[name]))

    async def _start_again(self, node: NodeProcess) -> None:
        """Start a node that was stopped, as soon as it has ended; it has a bound for that.

        It may have been killed and started anew meanwhile, or stand still.
        """
        starts, stopped_at = node.starts, self.now
        await asyncio.sleep(STOPPED_AGAIN_SECONDS)
        while node.running and node.starts == starts:
            began_at = max(stopped_at, self._paused_until.get(node.name, 0.0))
            if self.now > began_at + STOP_SECONDS + READINESS_PERIOD_SECONDS:
                detail = f"{node.name} runs {STOP_SECONDS:g} s after SIGTERM"
                self.oracle.report("stop", self.now, detail)
                return
            await asyncio.sleep(STEP_SECONDS)
        node.start()

    def pause(self, name: str, seconds: float) -> None:
        """Let a node stand still."""
        self.note_disturbed(name, seconds)
        self._paused_until[name] = max(self._paused_until.get(name, 0.0), self.now + seconds)
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

    def silence(self, name: str) -> None:
        """Let a node's connections to the store of this moment be silent for good."""
        self.note_disturbed(name, 0.0)
        self.proxies[name].silence_connections()

    def turn_away(self, names: Collection[str], fault: str, seconds: float) -> None:
        """Let the store treat some nodes badly (a fault's set of hosts) and serve the others."""
        for name in names:
            self.note_disturbed(name, seconds)
        self.platform.disturb_hosts(fault, [self.proxies[name].host for name in names], seconds)

    def open_flow(self, plan: FlowPlan) -> None:
        """Let a client open a flow to one of the addresses."""
        self._next_port = 20_000 + (self._next_port - 19_999) % 40_000
        source = FlowEnd(socket.inet_aton(self._client_host), self._next_port)
        number = self._chance.choice((1, 2))
        service = service_end(number)
        self.flows[source] = TokenClientFlow(source, service, plan, self.now)

    async def _add_node(self, number: int) -> None:
        name = f"node-{number}"
        proxy = self.proxies[name] = StoreProxy(
            (self.platform.store_host, self.platform.server.port)
        )
        await proxy.start(f"{self._network}.3.{number}")
        settings = node_settings(self._network, number, proxy.port)
        self.nodes[name] = NodeProcess(settings, self._folder, self._program)
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
            self.platform.cold.judge(endpoint.record, packet.source, self.now, node)

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
            if self.platform.serves_nobody(destination):
                self.oracle.counters["refusals_for_cold"] += 1
                return
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


def _claim_network() -> tuple[str, socket.socket]:
    """Return a loopback network that no other soak has, and the clients' socket in it."""
    first = os.getpid() % NETWORKS
    for number in (*range(first, NETWORKS), *range(first)):
        network = f"127.{FIRST_NETWORK + number}"
        try:
            return network, bind_datagrams(Endpoint(f"{network}{CLIENTS}", PACKETS_PORT))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, f"all {NETWORKS} networks are taken: end some soaks")


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
