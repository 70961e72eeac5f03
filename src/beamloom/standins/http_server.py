"""HTTP server for the administration and health endpoints of the stand-ins."""

from __future__ import annotations

from collections.abc import Iterable

from aiohttp import web

from beamloom.model.addresses import SocketAddress


class HttpServer:
    """An aiohttp server for a fixed set of routes."""

    def __init__(self, runner: web.AppRunner) -> None:
        self._runner = runner

    @classmethod
    async def open(cls, address: SocketAddress, routes: Iterable[web.RouteDef]) -> HttpServer:
        """Listen (port 0: any free port); raises OSError when the address is taken."""
        application = web.Application()
        application.add_routes(routes)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        try:
            await web.TCPSite(runner, address.host, address.port).start()
        except OSError:
            await runner.cleanup()
            raise
        return cls(runner)

    @property
    def address(self) -> SocketAddress:
        """Where the server listens."""
        host, port = self._runner.addresses[0][:2]
        return SocketAddress(host, port)

    async def close(self) -> None:
        """Stop listening and end open connections."""
        await self._runner.cleanup()
