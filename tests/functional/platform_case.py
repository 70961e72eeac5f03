"""Base class of tests that run the platform's stand-in on a free loopback port."""

import asyncio
import math
import unittest
from collections.abc import Callable
from random import Random

from beamloom.model.addresses import SocketAddress
from beamloom.object_api.client import PlatformClient
from beamloom.object_api.options import PlatformOptions
from beamloom.object_api.retry import Retrier, RetryPolicy
from beamloom.standins.platform_machines import MachineDirectory, MachineListSettings
from beamloom.standins.platform_server import PlatformServer
from beamloom.standins.platform_store import PlatformStore

TOKEN = "test-token"
ANY_PORT = SocketAddress("127.0.0.1", 0)
HISTORY_LIMIT = 20
WATCH_LIMIT = 2
ATTEMPTS = 3


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a store, its server and a client.

    The client's retries do not wait but record their pauses; the server's sleeps end with `gate`.
    """

    async def asyncSetUp(self) -> None:
        # Debug mode reports slow callbacks on standard error, where tests check for errors.
        asyncio.get_running_loop().slow_callback_duration = math.inf
        self.pauses: list[float] = []
        self.on_pause: Callable[[], object] = lambda: None
        self.gate = asyncio.Event()
        machines = MachineDirectory(MachineListSettings(lag_seconds=0.0))
        self.store = PlatformStore(
            Random(1), history_limit=HISTORY_LIMIT, watch_limit=WATCH_LIMIT, machines=machines
        )
        self.server = PlatformServer(
            self.store, TOKEN, ANY_PORT, keepalive_seconds=0.05, sleep=self.wait_for_gate
        )
        self.address = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = await self.make_client()

    async def wait_for_gate(self, _: float) -> None:
        await self.gate.wait()

    async def pause(self, seconds: float) -> None:
        self.pauses.append(seconds)
        self.on_pause()

    def make_retrier(self) -> Retrier:
        return Retrier(RetryPolicy(attempts=ATTEMPTS, base_seconds=0.001), Random(1), self.pause)

    async def make_client(
        self,
        token: str = TOKEN,
        timeout: float = 5.0,
        silence: float = 5.0,
        scheme: str = "http",
    ) -> PlatformClient:
        options = PlatformOptions(f"{scheme}://{self.address}", token, timeout, silence)
        client = PlatformClient(options, self.make_retrier())
        await client.start()
        self.addAsyncCleanup(client.close)
        return client
