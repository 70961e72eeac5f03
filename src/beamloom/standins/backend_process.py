"""Runs a backend model on sockets: packets over UDP, health and faults over HTTP.

`GET /health` answers `{"healthy", "shedding", "draining", "load"}`. `POST /faults` takes the fields
of `HealthFaults`, `POST /drain` takes `{"draining": true}`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import asdict

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from beamloom.model.addresses import SocketAddress
from beamloom.standins.backend_health import HealthFaults
from beamloom.standins.backend_model import BackendModel
from beamloom.standins.http_server import HttpServer
from beamloom.standins.udp_socket import PollTimer, UdpSocket


class DrainRequest(BaseModel):
    """The body of `POST /drain`."""

    model_config = ConfigDict(extra="forbid")

    draining: bool = True


class FaultsRequest(BaseModel):
    """The body of `POST /faults`; the fields are those of `HealthFaults`."""

    model_config = ConfigDict(extra="forbid")

    lag: float = Field(default=0.0, ge=0.0)
    frozen: bool = False
    load: float | None = None
    healthy: bool | None = None


class BackendProcess:
    """Runs one `BackendModel` and sends each packet to a random one of `balancers`.

    Without `balancers`, packets go to the sender of the latest packet.
    """

    def __init__(
        self,
        model: BackendModel,
        rng: random.Random,
        balancers: Sequence[SocketAddress] = (),
    ) -> None:
        self.model = model
        self.balancers = list(balancers)
        self._rng = rng
        self._latest_sender: SocketAddress | None = None
        self._socket: UdpSocket | None = None
        self._health: HttpServer | None = None
        self._timer: PollTimer | None = None
        self._idle = asyncio.Event()

    @property
    def data_address(self) -> SocketAddress:
        """Where balancers send packets."""
        if self._socket is None:
            raise RuntimeError("the backend is not running; await start first")
        return self._socket.address

    @property
    def health_address(self) -> SocketAddress:
        """Where the health endpoint listens."""
        if self._health is None:
            raise RuntimeError("the backend is not running; await start first")
        return self._health.address

    async def start(self, data_address: SocketAddress, health_address: SocketAddress) -> None:
        """Bind both sockets; raises OSError when an address is taken."""
        self._health = await HttpServer.open(health_address, self._routes())
        try:
            self._socket = await UdpSocket.open(data_address, self._receive)
        except OSError:
            await self._health.close()
            raise
        self._timer = PollTimer(self.model.next_timer, self._poll)

    async def wait_idle(self) -> None:
        """Wait until no connection is open and no request is running or queued."""
        self._update_idle()
        await self._idle.wait()

    async def stop(self) -> None:
        """Close both sockets at once.

        For a graceful stop, call `model.drain()` and await `wait_idle()` first.
        """
        if self._timer is not None:
            self._timer.stop()
        if self._socket is not None:
            self._socket.close()
        if self._health is not None:
            await self._health.close()

    def _receive(self, data: bytes, source: SocketAddress) -> None:
        self._latest_sender = source
        self._send(self.model.receive(data, asyncio.get_running_loop().time()))
        if self._timer is not None:
            self._timer.rearm()

    def _poll(self, now: float) -> None:
        self._send(self.model.poll(now))

    def _send(self, packets: list[bytes]) -> None:
        for data in packets:
            balancer = self._rng.choice(self.balancers) if self.balancers else None
            destination = balancer or self._latest_sender
            if destination is not None and self._socket is not None:
                self._socket.send(data, destination)
        self._update_idle()

    def _update_idle(self) -> None:
        if self.model.open_connections or self.model.busy:
            self._idle.clear()
        else:
            self._idle.set()

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get("/health", self._get_health),
            web.post("/faults", self._post_faults),
            web.post("/drain", self._post_drain),
        ]

    async def _get_health(self, request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        return web.json_response(asdict(self.model.health(now)))

    async def _post_faults(self, request: web.Request) -> web.Response:
        try:
            body = FaultsRequest.model_validate_json(await request.read())
        except ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        self.model.health_reporter.faults = HealthFaults(**body.model_dump())
        return web.json_response(body.model_dump())

    async def _post_drain(self, request: web.Request) -> web.Response:
        try:
            body = DrainRequest.model_validate_json(await request.read() or b"{}")
        except ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        self.model.drain(body.draining)
        return web.json_response(body.model_dump())
