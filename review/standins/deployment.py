"""A small deployment on loopback, laid out like the site vtl-suva: 7 nodes in 3 zones."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.client import ClientHost
from standins.endpoint import HEARTBEAT_SECONDS, Endpoint, FlowKey
from standins.fleet import Fleet, Node, Ports
from standins.record import Record
from standins.store import Store, to_json

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LIMIT_SECONDS = 110.0
READY_SECONDS = 20.0
NODES = {"laucala": 3, "walu-bay": 2, "nabua": 2}
ZONES = tuple(NODES)
TRACKER = ("198.18.0.1", 8443)
LABELLER = ("198.18.0.2", 8443)
ROUTES = {TRACKER: ("tracker", "unsafe"), LABELLER: ("labeller", "unsafe")}
DEADLINE_MS = 4000


class Deployment:
    """Store, endpoints, nodes, routers and clients of one run."""

    def __init__(self, record: Record, root: Path, folder: Path) -> None:
        self.record, self.root = record, root
        self.network, self.ports = _free_network()
        self.store = Store()
        self.endpoints: list[Endpoint] = []
        self.clients: list[ClientHost] = []
        self._version = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._next_host = 0
        self._next_identity = random.randrange(0x1000_0000, 0x7000_0000)
        numbered = [zone for zone, count in NODES.items() for _ in range(count)]
        self.fleet = Fleet(
            record,
            [
                Node(record, root, folder, f"front-{zone}-{number}", self._host(0, number), zone)
                for number, zone in enumerate(numbered, 1)
            ],
            self.ports,
        )

    def _host(self, part: int, number: int) -> str:
        return f"{self.network}.{part}.{number}"

    async def start(self) -> bool:
        """Start everything; return whether all nodes are in use in time."""
        port = await self.store.start(self._host(4, 1))
        Endpoint.client_port = self.ports.packets
        for service in ("tracker", "labeller"):
            for zone in ZONES:
                await self.add_endpoint(service, zone)
        self.write_configuration()
        seeds = [self.fleet.nodes[number].host for number in (0, 3, 5)]
        for node in self.fleet.nodes:
            node.write_settings(self.ports, ZONES, seeds, f"{self._host(4, 1)}:{port}")
        for number, zone in enumerate(ZONES, 1):
            route = self.fleet.router(zone)
            address = self._host(2, number)
            self.clients.append(ClientHost(self.record, zone, address, self.ports.packets, route))
        self.fleet.start()
        return await self.fleet.wait_until_ready(READY_SECONDS)

    def close(self) -> None:
        """End all processes that were started, and close all sockets."""
        for task in self._tasks:
            task.cancel()
        self.fleet.close()
        for endpoint in self.endpoints:
            endpoint.end()
        for client in self.clients:
            client.close()
        self.store.close()

    async def add_endpoint(self, service: str, zone: str) -> Endpoint:
        """Start an endpoint at an address of its own."""
        self._next_host += 1
        self._next_identity += 1
        endpoint = Endpoint(
            self.store,
            self.record,
            f"i-{self._next_identity:08x}",
            service,
            self._host(8, self._next_host),
            zone,
        )
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.record.line(
            "endpoint-started",
            endpoint=endpoint.name,
            service=service,
            address=f"{endpoint.host}:{endpoint.port}",
            zone=zone,
        )
        return endpoint

    def write_as_another_writer(self, name: str, entry: bytes, seconds: float) -> None:
        """Write an entry, again at each heartbeat, and remove it at the end."""
        self.record.line("another-writer", name=name, entry=entry[:300])
        self._tasks.append(asyncio.create_task(self._keep_entry(name, entry, seconds)))

    async def _keep_entry(self, name: str, entry: bytes, seconds: float) -> None:
        end = self.record.now() + seconds
        changes = True
        while self.record.now() < end:
            self.store.put("servers", name, entry, changes=changes)
            changes = False
            await asyncio.sleep(HEARTBEAT_SECONDS)
        self.store.remove("servers", name)
        self.record.line("another-writers-entry-gone", name=name)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that have not ended."""
        return [one for one in self.endpoints if one.service == service and one.ended_at is None]

    def holder_of(self, key: FlowKey) -> Endpoint | None:
        """Return the living endpoint at which a flow is open, or None."""
        for endpoint in self.endpoints:
            flow = endpoint.flows.get(key)
            if endpoint.ended_at is None and flow is not None and flow.is_open:
                return endpoint
        return None

    def write_configuration(self) -> None:
        """Write the next version of the configuration, as the operator does."""
        self._version += 3
        routes: list[dict[str, Any]] = [
            {
                "name": f"r-{service}",
                "hostname": address,
                "path-prefix": f"/{port}/",
                "type": kind,
                "timeout-ms": DEADLINE_MS,
                "target-latency-ms": 150,
                "priority": 2,
                "service": service,
                "max-attempts": 2,
            }
            for (address, port), (service, kind) in ROUTES.items()
        ]
        services = [
            {"name": name, "health-path": "/health", "max-conns": 2000}
            for name in ("tracker", "labeller")
        ]
        limits = {"idle-timeout-ms": 15000}
        document = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("config", "main", to_json(document))
        self.record.line("configuration", version=self._version)


def _free_network() -> tuple[str, Ports]:
    """Return a loopback network that nobody uses, and free port numbers."""
    for _ in range(50):
        network = f"127.{random.randrange(64, 190)}"
        first = random.randrange(20_000, 30_000, 50)
        ports = Ports(first, first + 1, first + 2, first + 10)
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            probe.bind((f"{network}.0.1", ports.packets))
        except OSError:
            continue
        finally:
            probe.close()
        return network, ports
    raise OSError("no loopback network is free")


def run_case(folder: Path, case: Callable[[Deployment, bool], Awaitable[int]]) -> int:
    """Run a case against a deployment; return the exit status of `run.sh`."""
    root = folder.resolve().parents[1]
    if not (root / "target" / "deps" / "beamloom").is_dir():
        print("target/deps is missing: run `sh deploy/build.sh` first", file=sys.stderr)
        return COULD_NOT_RUN
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends the processes, too
    record = Record(folder / "record.txt")
    record.line("begin", case=folder.name, trouble=trouble)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(_run(record, root, Path(temporary), case, trouble))
    except Exception as error:
        record.line("could-not-run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        status = COULD_NOT_RUN
    record.line("end", status=status)
    record.close()
    return status


async def _run(
    record: Record,
    root: Path,
    temporary: Path,
    case: Callable[[Deployment, bool], Awaitable[int]],
    trouble: bool,
) -> int:
    deployment = Deployment(record, root, temporary)
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            if not await deployment.start():
                record.line("could-not-run", reason="the nodes were not ready in time")
                return COULD_NOT_RUN
            return await case(deployment, trouble)
    finally:
        deployment.close()
