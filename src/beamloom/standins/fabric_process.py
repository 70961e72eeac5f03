"""Runs a fabric model on sockets: one for clients, one for balancers, and an HTTP endpoint.

`GET /balancers` answers `{"balancers": ["host:port", ...]}`; `PUT /balancers` takes the same.
"""

from __future__ import annotations

import asyncio
import json

from aiohttp import web

from beamloom.model.addresses import SocketAddress
from beamloom.standins.fabric_model import Delivery, FabricModel, FabricSide
from beamloom.standins.http_server import HttpServer
from beamloom.standins.udp_socket import PollTimer, UdpSocket

LOOPBACK = SocketAddress("127.0.0.1", 0)


class FabricProcess:
    """Runs one `FabricModel`."""

    def __init__(self, model: FabricModel) -> None:
        self.model = model
        self._clients: UdpSocket | None = None
        self._balancers: UdpSocket | None = None
        self._admin: HttpServer | None = None
        self._timer: PollTimer | None = None

    @property
    def client_address(self) -> SocketAddress:
        """Where clients send packets."""
        return _require_open(self._clients).address

    @property
    def balancer_address(self) -> SocketAddress:
        """Where balancers send answers, and the source of packets to balancers."""
        return _require_open(self._balancers).address

    @property
    def admin_address(self) -> SocketAddress | None:
        """Where the HTTP endpoint listens, or None without one."""
        return self._admin.address if self._admin else None

    async def start(
        self,
        client_address: SocketAddress = LOOPBACK,
        balancer_address: SocketAddress = LOOPBACK,
        admin_address: SocketAddress | None = None,
    ) -> None:
        """Bind the sockets; raises OSError and closes them all when an address is taken."""
        try:
            self._clients = await UdpSocket.open(client_address, self._receive_from_client)
            self._balancers = await UdpSocket.open(balancer_address, self._receive_from_balancer)
            if admin_address is not None:
                self._admin = await HttpServer.open(admin_address, self._routes())
        except OSError:
            await self.stop()
            raise
        self._timer = PollTimer(self.model.next_timer, self._poll)

    async def stop(self) -> None:
        """Close the sockets at once."""
        if self._timer is not None:
            self._timer.stop()
        for udp_socket in (self._clients, self._balancers):
            if udp_socket is not None:
                udp_socket.close()
        if self._admin is not None:
            await self._admin.close()

    def set_balancers(self, balancers: list[SocketAddress]) -> None:
        """Replace the list of balancers; it takes effect after the model's `list_lag`."""
        self.model.set_balancers(balancers, asyncio.get_running_loop().time())
        self._rearm()

    def _receive_from_client(self, data: bytes, source: SocketAddress) -> None:
        now = asyncio.get_running_loop().time()
        self._send(self.model.from_client(data, source, now))
        self._rearm()

    def _receive_from_balancer(self, data: bytes, source: SocketAddress) -> None:
        now = asyncio.get_running_loop().time()
        self._send(self.model.from_balancer(data, now))
        self._rearm()

    def _poll(self, now: float) -> None:
        self._send(self.model.poll(now))

    def _rearm(self) -> None:
        if self._timer is not None:
            self._timer.rearm()

    def _send(self, deliveries: list[Delivery]) -> None:
        for delivery in deliveries:
            to_clients = delivery.side is FabricSide.CLIENTS
            sender = self._clients if to_clients else self._balancers
            _require_open(sender).send(delivery.data, delivery.destination)

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get("/balancers", self._get_balancers),
            web.put("/balancers", self._put_balancers),
        ]

    async def _get_balancers(self, request: web.Request) -> web.Response:
        return web.json_response({"balancers": [str(item) for item in self.model.balancers]})

    async def _put_balancers(self, request: web.Request) -> web.Response:
        try:
            listed = json.loads(await request.read())["balancers"]
            self.set_balancers([SocketAddress.parse(item) for item in listed])
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            message = f'{error!r}; send {{"balancers": ["HOST:PORT", ...]}}'
            return web.json_response({"error": message}, status=400)
        return await self._get_balancers(request)


def _require_open(udp_socket: UdpSocket | None) -> UdpSocket:
    if udp_socket is None:
        raise RuntimeError("the fabric is not running; await start first")
    return udp_socket
