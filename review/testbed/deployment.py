"""A small deployment like that of the site `vtl-suva`: three zones, two services, three routes."""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from review.testbed.client import ClientHost
from review.testbed.endpoint import Endpoint
from review.testbed.fleet import Fleet, Machine, find_ports
from review.testbed.packets import FlowKey
from review.testbed.record import Record
from review.testbed.store import Store
from review.testbed.store_link import StoreLink

ZONES = ("laucala", "walu-bay", "nabua")
CONTACT_SECONDS = 4.0
"""`contact-ms` of the site."""
ROUTE_ADDRESS = "127.0.9.1"
SAFE_PORT, DOWNLOAD_PORT, UNSAFE_PORT = 8443, 8444, 8080
TRACKER, LABELLER = "tracker", "labeller"
STORE_HOST = "127.0.4.1"
LINK_HOSTS = "127.0.5.{}"
ENDPOINT_HOSTS = "127.0.3.{}"
MAXIMUM_ENDPOINTS = 30
ENDPOINT_PORT_OFFSET = 17
STORE_PORT_OFFSET = 16

Pass = Callable[[Endpoint, bytes, str], bool]
"""Tells whether a datagram of an endpoint to the client at a host passes."""


class Deployment:
    """Store, nodes, endpoints and clients of one run; `passes` may drop what endpoints send."""

    def __init__(self, record: Record, *, machines_per_zone: int = 1) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="beamloom-review-")
        hosts = [f"127.0.1.{number + 1}" for number in range(machines_per_zone * len(ZONES))]
        clients = [f"127.0.2.{number + 1}" for number in range(len(ZONES))]
        links = [LINK_HOSTS.format(number + 1) for number in range(len(hosts))]
        backends = [ENDPOINT_HOSTS.format(number + 1) for number in range(MAXIMUM_ENDPOINTS)]
        self.port = find_ports([*hosts, *clients, *links, *backends, STORE_HOST], os.getpid())
        self.store = Store()
        self.store_address = (STORE_HOST, self.port + STORE_PORT_OFFSET)
        machines = [
            Machine(
                number + 1,
                ZONES[number % len(ZONES)],
                self.port,
                (links[number], self.port + STORE_PORT_OFFSET),
            )
            for number in range(len(hosts))
        ]
        self.links = [StoreLink(machine.store, self.store_address, record) for machine in machines]
        self.fleet = Fleet(machines, Path(self._folder.name), record)
        self.endpoints: list[Endpoint] = []
        self.clients = [
            ClientHost(host, self.port, self._router_of(zone), record)
            for host, zone in zip(clients, ZONES, strict=True)
        ]
        self.passes: Pass = lambda endpoint, data, host: True
        self.datagrams = 0
        self.dropped = 0
        self.version = 7
        self.configuration = _configuration(self.version)

    def _router_of(self, zone: str) -> Callable[[bytes, FlowKey], None]:
        return lambda data, key: self.fleet.route(data, key, zone)

    async def __aenter__(self) -> Deployment:
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def _start(self) -> None:
        """Start everything, and wait until the nodes are ready and in touch."""
        await self.store.start(*self.store_address)
        for link in self.links:
            await link.start()
        for zone in ZONES:
            for service in (TRACKER, TRACKER, LABELLER):
                await self.add_endpoint(service, zone)
        self.write_configuration()
        for client in self.clients:
            await client.start()
        await self.fleet.start_all()
        self.record.add("all nodes are ready")
        await asyncio.sleep(CONTACT_SECONDS + 1.0)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._end()

    async def _end(self) -> None:
        """End all processes and stand-ins."""
        await self.fleet.end_all()
        for endpoint in self.endpoints:
            endpoint.crash()
        for client in self.clients:
            client.close()
        for link in self.links:
            link.close()
        self.store.close()
        self._folder.cleanup()

    async def add_endpoint(
        self, service: str, zone: str, *, cold_seconds: float = 0.0, identity: int | None = None
    ) -> Endpoint:
        """Start an endpoint at an address of its own; it is slow for its first `cold_seconds`.

        Without an `identity`, which its id shows, it draws one.
        """
        host = ENDPOINT_HOSTS.format(len(self.endpoints) + 1)
        port = self.port + ENDPOINT_PORT_OFFSET
        endpoint = Endpoint(service, host, port, zone, self.store, self.record, identity=identity)
        endpoint.send = lambda data, client: self._send(endpoint, data, client)
        endpoint.warm_at = self.record.now + cold_seconds
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    def _send(self, endpoint: Endpoint, data: bytes, client: str) -> None:
        self.datagrams += 1
        if self.passes(endpoint, data, client):
            endpoint.send_datagram(data, (client, self.port))
        else:
            self.dropped += 1

    def write_configuration(self) -> int:
        """Write the configuration into the store; the answer is the acknowledgement."""
        return self.store.put("config", "main", self.configuration)

    def endpoint_of(self, key: FlowKey) -> Endpoint | None:
        """Return the endpoint at which a flow opened."""
        return next((one for one in self.endpoints if key in one.opened), None)

    def faults(self) -> list[str]:
        """Return what endpoints and clients got and may not get, and requests that ran twice."""
        faults = [fault for endpoint in self.endpoints for fault in endpoint.faults]
        faults += [fault for client in self.clients for fault in client.faults]
        runs: dict[str, int] = {}
        for endpoint in self.endpoints:
            for request, count in endpoint.runs.items():
                runs[request] = runs.get(request, 0) + count
        return faults + [f"request {name} ran twice" for name, count in runs.items() if count > 1]


def _configuration(version: int) -> dict[str, Any]:
    routes = [
        ("positions", SAFE_PORT, "safe", 2000, 120, 2, TRACKER),
        ("labels", DOWNLOAD_PORT, "download", 8000, 508, 2, LABELLER),
        ("scans", UNSAFE_PORT, "unsafe", 2500, 150, 1, TRACKER),
    ]
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "hostname": ROUTE_ADDRESS,
                "path-prefix": f"/{port}/",
                "type": kind,
                "timeout-ms": timeout,
                "target-latency-ms": target,
                "priority": priority,
                "service": service,
                "max-attempts": 2,
            }
            for name, port, kind, timeout, target, priority, service in routes
        ],
        "services": [
            {
                "name": service,
                "health-path": "/health",
                "max-conns": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for service in (TRACKER, LABELLER)
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
