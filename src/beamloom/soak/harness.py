"""The environment of a soak's nodes: store and proxies, endpoints, routers, clients and oracle.

Endpoints and clients are the models that the simulator uses, here on sockets.
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
from beamloom.runtime.bound_socket import bind_datagram_socket
from beamloom.settings.token_node import Endpoint
from beamloom.simulation.tokens.changes import zones_of
from beamloom.simulation.tokens.deployment import key_of, service_end, stable_hash
from beamloom.simulation.tokens.oracle import TokenOracle
from beamloom.soak.congestion import Congestion
from beamloom.soak.endpoint import SoakEndpoint
from beamloom.soak.nodes import PACKETS_PORT, STOP_SECONDS, NodeProcess, node_settings
from beamloom.soak.platform_side import SoakPlatform
from beamloom.soak.program import install_program
from beamloom.soak.proxy import ProxyFault, StoreProxy
from beamloom.standins.flow_packets import FlowEnd, FlowPacket, decode_forwarded, decode_packet
from beamloom.standins.token_client import FlowPlan, FlowState, TokenClientFlow

FIRST_NETWORK = 64
NETWORKS = 128
CLIENT_HOST_SUFFIX = ".2.1"
"""The end of the clients' address in a soak's network."""
STEP_SECONDS = 0.01
READINESS_INTERVAL_SECONDS = 0.5
RESTART_DELAY_SECONDS = 0.5
START_ALLOWANCE_SECONDS = 2.0
MINIMUM_STOPPED_SECONDS = 4.0
"""Minimum time between a planned stop and the start that follows it."""
MAXIMUM_DATAGRAM_BYTES = 4096
FORMER_FOLDER = "former"
DATAGRAM_SEED_OFFSET = 7
OTHER_ENDPOINT = "another endpoint"
BRIEF_CUTS = 4
BRIEF_CUT_SECONDS = (0.3, 2.0)
BRIEF_CUT_PAUSE_SECONDS = (0.1, 0.5)
"""What these cuts hold up arrives before calls time out, and the next cut begins soon after."""


class SoakHarness:
    """One deployment of real nodes; `start` is called first and `close` last.

    Each soak has a loopback network of its own, so that several can run at once. With
    `former_package`, the package of an older version, nodes run that version until `upgrade`, and
    the datagrams of endpoints are not disturbed, as it sends copies of an opening to two endpoints.
    Raises OSError if no network is free.
    """

    def __init__(
        self, folder: Path, nodes: int, seed: int, former_package: Path | None = None
    ) -> None:
        self.oracle = TokenOracle()
        self.nodes: dict[str, NodeProcess] = {}
        self.proxies: dict[str, StoreProxy] = {}
        self.flows: dict[FlowEnd, TokenClientFlow] = {}
        self.finished: list[TokenClientFlow] = []
        network, self._client_socket = _claim_network()
        self._network = network
        self._client_host = f"{network}{CLIENT_HOST_SUFFIX}"
        datagram_rng = None if former_package else random.Random(seed + DATAGRAM_SEED_OFFSET)
        self.congestion = Congestion(
            self._client_socket, (self._client_host, PACKETS_PORT), datagram_rng
        )
        self.platform = SoakPlatform(network, self.oracle, lambda: self.now, self.call_later)
        self._paused_until: dict[str, float] = {}
        self._folder = folder
        self._former_package = former_package
        self._node_count = nodes
        self._rng = random.Random(seed)
        self._next_port = 20_000
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def runs_former(self) -> bool:
        """Whether nodes of an older version run."""
        return self._former_package is not None

    @property
    def now(self) -> float:
        """The time of the event loop's clock in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start the store, endpoints and nodes; return when all nodes are ready."""
        self._program = await asyncio.to_thread(install_program, self._folder)
        self._first_program = self._program
        if self._former_package is not None:
            self._first_program = await asyncio.to_thread(
                install_program, self._folder / FORMER_FOLDER, self._former_package
            )
        await self.platform.start()
        for number in range(1, self._node_count + 1):
            await self._add_node(number)
        for coroutine in (self._step(), self._poll_readiness()):
            self.spawn(coroutine)
        while any(node.misses for node in self.nodes.values()):
            await asyncio.sleep(STEP_SECONDS)

    async def close(self) -> None:
        """End all tasks and processes, and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes.values():
            node.end()
        for proxy in self.proxies.values():
            await proxy.close()
        self._client_socket.close()
        await self.platform.close()

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine as a task until it ends or the harness is closed."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Report a task that failed: without it, a part of the soak would be missing unnoticed."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.oracle.report("soak", self.now, f"a background task failed: {task.exception()!r}")

    def call_later(self, seconds: float, callback: Callable[[], object]) -> None:
        """Call `callback` after `seconds`."""

        async def wait() -> None:
            await asyncio.sleep(seconds)
            callback()

        self.spawn(wait())

    def note_fault(self, name: str, seconds: float) -> None:
        """Record that a fault affects a node from now on, for `seconds`."""
        self.oracle.note_fault(name, self.now + seconds)

    def kill(self, name: str) -> None:
        """Kill a node and start it again."""
        self.note_fault(name, RESTART_DELAY_SECONDS + START_ALLOWANCE_SECONDS)
        self.nodes[name].send(signal.SIGKILL)
        self.call_later(RESTART_DELAY_SECONDS, self.nodes[name].start)

    def stop(self, name: str) -> None:
        """Stop a node as planned and start it again."""
        self.note_fault(name, STOP_SECONDS + START_ALLOWANCE_SECONDS)
        self.nodes[name].send(signal.SIGTERM)
        self.spawn(self._restart_after_stop(self.nodes[name]))

    def upgrade(self, name: str) -> None:
        """Stop a node as planned and start it with the present version."""
        self.nodes[name].program = self._program
        self.oracle.counters["upgrades"] += 1
        self.stop(name)

    async def _restart_after_stop(self, node: NodeProcess) -> None:
        """Start a stopped node once it has ended; report it if it does not end in time.

        It may have been killed and started again meanwhile. The bound counts from the end of a
        pause.
        """
        starts, stopped_at = node.starts, self.now
        await asyncio.sleep(MINIMUM_STOPPED_SECONDS)
        while node.running and node.starts == starts:
            began_at = max(stopped_at, self._paused_until.get(node.name, 0.0))
            if self.now > began_at + STOP_SECONDS + READINESS_INTERVAL_SECONDS:
                detail = f"{node.name} runs {STOP_SECONDS:g} s after SIGTERM"
                self.oracle.report("stop", self.now, detail)
                return
            await asyncio.sleep(STEP_SECONDS)
        node.start()

    def pause(self, name: str, seconds: float) -> None:
        """Pause the process of a node for `seconds`."""
        self.note_fault(name, seconds)
        self._paused_until[name] = max(self._paused_until.get(name, 0.0), self.now + seconds)
        self.nodes[name].send(signal.SIGSTOP)
        self.call_later(seconds, lambda: self.nodes[name].send(signal.SIGCONT))

    def inject_proxy_fault(self, name: str, fault: ProxyFault, seconds: float) -> None:
        """Apply a fault to a node's connections to the store for `seconds`."""
        self.note_fault(name, seconds)
        proxy = self.proxies[name]
        proxy.fault = fault
        if fault is ProxyFault.REFUSE:
            proxy.reset_connections()
        self.call_later(seconds, lambda: setattr(proxy, "fault", ProxyFault.NONE))

    async def cut_briefly(self, name: str, rng: random.Random) -> None:
        """Hold up a node's calls and answers several times, each time for a short while."""
        for _ in range(BRIEF_CUTS):
            seconds = rng.uniform(*BRIEF_CUT_SECONDS)
            self.inject_proxy_fault(name, ProxyFault.HOLD, seconds)
            await asyncio.sleep(seconds + rng.uniform(*BRIEF_CUT_PAUSE_SECONDS))

    def silence(self, name: str) -> None:
        """Silence the current connections of a node to the store for good."""
        self.note_fault(name, 0.0)
        self.proxies[name].silence_connections()

    def inject_host_fault(self, names: Collection[str], fault: str, seconds: float) -> None:
        """Apply a fault of the store to some nodes for `seconds`.

        `fault` names one of the sets of hosts in TokenStoreFaults.
        """
        for name in names:
            self.note_fault(name, seconds)
        self.platform.inject_host_fault(fault, [self.proxies[name].host for name in names], seconds)

    def open_flow(self, plan: FlowPlan) -> None:
        """Open a flow from a client to the address of a random service."""
        self._next_port = 20_000 + (self._next_port - 19_999) % 40_000
        source = FlowEnd(socket.inet_aton(self._client_host), self._next_port)
        number = self._rng.choice((1, 2))
        service = service_end(number)
        self.flows[source] = TokenClientFlow(source, service, plan, self.now)

    async def _add_node(self, number: int) -> None:
        name = f"node-{number}"
        proxy = self.proxies[name] = StoreProxy(
            (self.platform.store_host, self.platform.server.port)
        )
        await proxy.start(f"{self._network}.3.{number}")
        settings = node_settings(self._network, number, proxy.port)
        self.nodes[name] = NodeProcess(settings, self._folder, self._first_program)
        self.nodes[name].start()
        self.note_fault(name, START_ALLOWANCE_SECONDS)

    async def _poll_readiness(self) -> None:
        while True:
            nodes = list(self.nodes.values())
            checks = (asyncio.to_thread(node.is_ready) for node in nodes)
            for node, ready in zip(nodes, await asyncio.gather(*checks), strict=True):
                node.misses = 0 if ready else node.misses + 1
            await asyncio.sleep(READINESS_INTERVAL_SECONDS)

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
        self.congestion.apply_to(endpoint)
        endpoint.listener.accept()
        packets = endpoint.model.advance(now)
        for data, host in _drain_socket(endpoint.socket):
            forwarded = decode_forwarded(data)
            if forwarded is None:
                self.oracle.report(
                    "unasked", now, f"an undecodable datagram at {endpoint.record.name}"
                )
                continue
            identity, packet = forwarded
            self._check_arrival(endpoint, host, identity, packet)
            packets += endpoint.model.handle(identity, packet, now)
        for packet in packets:
            self.congestion.send(endpoint, packet.encode(signed=not packet.flags & FLAG_RST))

    def _check_arrival(
        self, endpoint: SoakEndpoint, host: str, identity: int, packet: FlowPacket
    ) -> None:
        if not packet.has_valid_checksum:
            detail = f"an altered packet at {endpoint.record.name}"
            self.oracle.report("unasked", self.now, detail)
        if packet.flags & FLAG_SYN and identity == endpoint.model.identity:
            key = key_of(packet.destination)
            node = self._node_at(host)
            self.oracle.check_opening(node, endpoint.record, key, self.now)
            self.platform.cold.check_opening(endpoint.record, packet.source, self.now, node)

    def _receive_at_clients(self) -> None:
        for data, host in _drain_socket(self._client_socket):
            packet = decode_packet(data)
            flow = None if packet is None else self.flows.get(packet.destination)
            if packet is None or flow is None or flow.ended:
                continue
            node = self._node_at(host)
            if packet.flags & FLAG_RST and (node or not self.runs_former):
                self._check_reset(flow, node or OTHER_ENDPOINT)
            first, count = flow.answers[:1], len(flow.answers)
            replies = flow.handle(packet, self.now)
            if len(flow.answers) > count and first:
                self.oracle.check_answer(first[0], flow.answers[-1], str(flow.source), self.now)
            for text in flow.mixed:
                self.oracle.report("mixed", self.now, text)
            self._send_to_nodes(replies)

    def _check_reset(self, flow: TokenClientFlow, sender: str) -> None:
        """Check a reset by a node, or by an endpoint, which resets only flows that it lacks."""
        if flow.state is FlowState.OPENING and sender == OTHER_ENDPOINT:
            return
        if flow.state is FlowState.OPENING:
            destination = key_of(flow.service)
            if self.platform.may_have_no_backend(destination):
                self.oracle.counters["refusals_for_cold"] += 1
                return
            zones = zones_of(self.platform, destination)
            self.oracle.check_refusal(sender, destination, self.now, zones)
        elif any(
            endpoint.alive and endpoint.model.holds(flow.source)
            for endpoint in self.platform.endpoints
        ):
            self.oracle.report("flow", self.now, f"{sender} reset {flow.source}")

    def _send_to_nodes(self, packets: list[FlowPacket]) -> None:
        for packet in packets:
            host = self._pick_host(packet.source)
            self._client_socket.sendto(packet.encode(), (host, PACKETS_PORT))

    def _pick_host(self, source: FlowEnd) -> str:
        hosts = [node.host for node in self.nodes.values() if node.misses < 2]
        hosts = hosts or [node.host for node in self.nodes.values()]
        return max(hosts, key=lambda host: stable_hash(f"{source}|{host}"))

    def _node_at(self, host: str) -> str:
        return next((node.name for node in self.nodes.values() if node.host == host), "")


def _claim_network() -> tuple[str, socket.socket]:
    """Return a loopback network that no other soak uses, and the clients' socket in it."""
    first = os.getpid() % NETWORKS
    for number in (*range(first, NETWORKS), *range(first)):
        network = f"127.{FIRST_NETWORK + number}"
        try:
            return network, bind_datagram_socket(
                Endpoint(f"{network}{CLIENT_HOST_SUFFIX}", PACKETS_PORT)
            )
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
    raise OSError(
        errno.EADDRINUSE, f"all {NETWORKS} loopback networks are in use: end other soaks first"
    )


def _drain_socket(bound: socket.socket) -> list[tuple[bytes, str]]:
    datagrams: list[tuple[bytes, str]] = []
    while True:
        try:
            data, source = bound.recvfrom(MAXIMUM_DATAGRAM_BYTES)
        except BlockingIOError:
            return datagrams
        except OSError:
            continue
        datagrams.append((data, str(source[0])))
