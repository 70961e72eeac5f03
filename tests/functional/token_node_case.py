"""Base class of tests that run token nodes as processes against stand-ins of the platform."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping
from pathlib import Path

from beamloom.platform import store_encoding
from beamloom.platform.packet_layout import FLAG_RST
from beamloom.platform.store_objects import BACKENDS_KIND, CONFIGURATION_KIND
from beamloom.routing.tokens.records import (
    BackendRecord,
    BackendState,
    RoutePart,
    RouteRecord,
    RoutingConfiguration,
)
from beamloom.soak.program import NodeProgram, install_program
from beamloom.standins.flow_packets import (
    FlowEnd,
    FlowPacket,
    decode_forwarded,
    decode_packet,
)
from beamloom.standins.listener import Listener
from beamloom.standins.token_client import FlowPlan, TokenClientFlow
from beamloom.standins.token_endpoint import TokenEndpoint
from beamloom.standins.token_store import TokenStore
from beamloom.standins.token_store_server import TokenStoreServer
from tests.functional.silent_proxy import SilentProxy

PACKETS_PORT = 18172
READINESS_PORT = 18167
METRICS_PORT = 18464
PEER_PORT = 18720
SERVICE = FlowEnd(bytes((198, 18, 0, 1)), 443)
DESTINATION = SERVICE.address + SERVICE.port.to_bytes(2, "big")
STEP_SECONDS = 0.01


class EndpointProcess:
    """An endpoint model on a UDP socket; its answers are sent directly to the client's address."""

    def __init__(self, host: str, model: TokenEndpoint) -> None:
        self.model = model
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((host, 0))
        self.address = self.socket.getsockname()
        self.listener = Listener(*self.address)

    def close(self) -> None:
        self.socket.close()
        self.listener.close()

    def step(self) -> None:
        self.listener.accept()
        packets = self.model.advance(time.monotonic())
        while True:
            try:
                data = self.socket.recv(4096)
            except BlockingIOError:
                break
            forwarded = decode_forwarded(data)
            if forwarded is not None:
                packets += self.model.handle(*forwarded, time.monotonic())
        for packet in packets:
            client = ".".join(str(byte) for byte in packet.destination.address)
            signed = not packet.flags & FLAG_RST
            self.socket.sendto(packet.encode(signed=signed), (client, PACKETS_PORT))


class TokenNodeCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store; `start_node` starts nodes on loopback addresses of `network`."""

    network = "127.61.0"
    program: tuple[str, ...] = ()
    """Arguments of the interpreter; without any, nodes are installed and run as deployed.

    Other ways load modules that a deployed node does not have, which hides faults.
    """
    deployed: NodeProgram
    bounds: Mapping[str, int] = {}
    """The `[bounds]` of the nodes' settings, in ms; defaults apply to those not given."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.deployed = install_program(Path(folder))

    async def asyncSetUp(self) -> None:
        self.store = TokenStoreServer(TokenStore())
        await self.store.start(f"{self.network}.200")
        self.addAsyncCleanup(self.store.close)
        self.store_port = self.store.port
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.endpoints: list[EndpointProcess] = []
        self.nodes: dict[str, subprocess.Popen[bytes]] = {}
        self.client_host = f"{self.network}.100"
        self.client_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client_socket.setblocking(False)
        self.client_socket.bind((self.client_host, PACKETS_PORT))
        self.addCleanup(self.client_socket.close)
        self.sequence = 0

    async def start_store_proxy(self) -> SilentProxy:
        """Start a proxy that nodes started from now on use for the store; return it."""
        proxy = SilentProxy((f"{self.network}.200", self.store.port))
        await proxy.start(f"{self.network}.200")
        self.addAsyncCleanup(proxy.close)
        self.store_port = proxy.port
        return proxy

    def add_endpoint(self, number: int, service: str = "tracker") -> EndpointProcess:
        name = f"i-{number:08x}"
        endpoint = EndpointProcess(f"{self.network}.{150 + number}", TokenEndpoint(name, number))
        self.addCleanup(endpoint.close)
        self.endpoints.append(endpoint)
        self.announce(endpoint, service, BackendState.READY)
        return endpoint

    def announce(self, endpoint: EndpointProcess, service: str, state: BackendState) -> None:
        host, port = endpoint.address
        name, identity = endpoint.model.name, endpoint.model.identity
        record = BackendRecord(name, identity, service, host, port, "west", 2, state)
        self.sequence += 1
        content = store_encoding.encode_backend(record._replace(sequence=self.sequence))
        self.store.store.put(BACKENDS_KIND, name, content)
        self.store.note_change()

    def configure(self, version: int, *services: str) -> None:
        parts = tuple(RoutePart(service, 1.0) for service in services)
        routes = (RouteRecord("route", DESTINATION, parts),) if services else ()
        content = store_encoding.encode_configuration(RoutingConfiguration(version, routes))
        self.store.store.put(CONFIGURATION_KIND, "main", content)
        self.store.note_change()

    def write_settings(self, number: int) -> Path:
        host = f"{self.network}.{number}"
        path = self.folder / f"node-{number}.toml"
        bounds = "\n".join(f"{name} = {value}" for name, value in self.bounds.items())
        bounds = f"[bounds]\n{bounds}" if bounds else ""
        path.write_text(
            f"""
node-name = "node-{number}"
role = "balancer"
ip = "{host}"
zone = "west"
port-range = [{PEER_PORT}, {PEER_PORT + 10}]
seeds = ["{self.network}.1:1", "{self.network}.2:1"]
[bind-addrs]
datagram-addr = "{host}:{PACKETS_PORT}"
readiness = "{host}:{READINESS_PORT}"
[platform]
address = "{self.network}.200:{self.store_port}"
{bounds}
"""
        )
        return path

    def start_node(
        self, number: int, environment: Mapping[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        path = self.write_settings(number)
        log = (self.folder / f"node-{number}.log").open("wb")
        self.addCleanup(log.close)
        node = subprocess.Popen(
            [sys.executable, *(self.program or self.deployed.command[1:])],
            env={
                **(os.environ if self.program else self.deployed.environment),
                "BEAMLOOM_CONFIG": str(path),
                "BEAMLOOM_METRICS_PORT": str(METRICS_PORT),
                **(environment or {}),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.nodes[f"node-{number}"] = node
        self.addCleanup(self.end_node, node)
        return node

    def end_node(self, node: subprocess.Popen[bytes]) -> None:
        if node.poll() is None:
            node.kill()
        node.wait()

    def lines(self, number: int) -> list[dict[str, object]]:
        """Return the complete lines of a node's log.

        A long write becomes visible page by page, so the last line may be incomplete.
        """
        text = (self.folder / f"node-{number}.log").read_text()
        whole, _, _ = text.rpartition("\n")
        return [json.loads(line) for line in whole.splitlines()]

    async def get(self, number: int, port: int, path: str) -> tuple[int, str]:
        url = f"http://{self.network}.{number}:{port}{path}"

        def fetch() -> tuple[int, str]:
            try:
                with urllib.request.urlopen(url, timeout=2.0) as answer:
                    return answer.status, answer.read().decode()
            except urllib.error.HTTPError as error:
                return error.code, ""
            except OSError:
                return 0, ""

        return await asyncio.to_thread(fetch)

    async def readiness(self, number: int) -> int:
        return (await self.get(number, READINESS_PORT, "/beamloom/readiness"))[0]

    async def wait_until_ready(self, number: int, status: int = 200, seconds: float = 8.0) -> None:
        end = time.monotonic() + seconds
        while await self.readiness(number) != status:
            self.assertLess(time.monotonic(), end, self.logs())
            await asyncio.sleep(0.05)

    async def wait_until(self, holds: Callable[[], bool], seconds: float, what: str = "") -> None:
        """Poll a condition until it holds; nodes write their logs a few times a second."""
        end = time.monotonic() + seconds
        while not holds():
            self.assertLess(time.monotonic(), end, f"{what}: {self.logs()}")
            await asyncio.sleep(0.05)

    async def wait_for_line(self, number: int, event: str, seconds: float = 3.0) -> None:
        """Wait until a node has logged an event."""

        def is_written() -> bool:
            return event in [line["event"] for line in self.lines(number)]

        await self.wait_until(is_written, seconds, f"no {event}")

    def logs(self) -> str:
        return "\n".join(path.read_text() for path in sorted(self.folder.glob("*.log")))

    async def play(self, number: int, flows: list[TokenClientFlow], seconds: float = 8.0) -> None:
        """Send the flows through a node until all have ended."""
        end = time.monotonic() + seconds
        while not all(flow.ended for flow in flows):
            self.assertLess(time.monotonic(), end, self.logs())
            for flow in flows:
                self.send(number, flow.advance(time.monotonic()))
            for endpoint in self.endpoints:
                endpoint.step()
            self.receive(number, flows)
            await asyncio.sleep(STEP_SECONDS)

    def new_flow(self, port: int, plan: FlowPlan | None = None) -> TokenClientFlow:
        address = bytes(int(part) for part in self.client_host.split("."))
        source = FlowEnd(address, port)
        return TokenClientFlow(
            source, SERVICE, plan or FlowPlan(pause_seconds=0.1), time.monotonic()
        )

    def send(self, number: int, packets: list[FlowPacket]) -> None:
        for packet in packets:
            node = (f"{self.network}.{number}", PACKETS_PORT)
            self.client_socket.sendto(packet.encode(), node)

    def receive(self, number: int, flows: list[TokenClientFlow]) -> None:
        by_source = {flow.source: flow for flow in flows}
        while True:
            try:
                data = self.client_socket.recv(4096)
            except BlockingIOError:
                return
            packet = decode_packet(data)
            assert packet is not None
            flow = by_source.get(packet.destination)
            if flow is not None:
                self.send(number, flow.handle(packet, time.monotonic()))

    def stop(self, node: subprocess.Popen[bytes]) -> None:
        node.send_signal(signal.SIGTERM)
