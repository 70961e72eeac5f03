"""Base class of tests that run balancers and the platform's stand-in in one event loop."""

import asyncio
import io
import tempfile
from collections.abc import Callable
from pathlib import Path

import aiohttp
import structlog

from beamloom.model.addresses import SocketAddress
from beamloom.runtime.node_process import NodeProcess
from beamloom.settings.node_file import load_node_settings
from beamloom.telemetry.log_format import LogFormat
from beamloom.telemetry.logs import configure_logs
from tests.functional.platform_case import TOKEN, PlatformTestCase

ADMIN_TOKEN = "admin-token"
FLEET_KEY = bytes(range(32))
FREE_ADDRESS = "127.0.0.1:0"
TIMEOUT_SECONDS = 20.0
SETTINGS = """
[node]
id = "{node}"
region = "suva"
zone = "laucala"
data_address = "{data}"
peer_address = "127.0.0.1:0"
control_address = "127.0.0.1:0"
admin_address = "{admin}"

[platform]
url = "{platform}"
token_file = "platform.token"

[fleet]
key_files = {keys}
hash_key_file = "hash.key"
seeds = {seeds}

[fabric]
gateways = ["127.0.0.1:9"]

[admin]
token_file = "admin.token"

[[zones]]
name = "laucala"
region = "suva"
"""


class NodeTestCase(PlatformTestCase):
    """Provides a folder of settings, key and token files; closes nodes after each test."""

    key_files: tuple[str, ...] = ("fleet.key",)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.log_output = io.StringIO()
        configure_logs(LogFormat.JSON, self.log_output)
        self.addCleanup(structlog.reset_defaults)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        for name, content in (
            ("platform.token", TOKEN.encode() + b"\n"),
            ("admin.token", ADMIN_TOKEN.encode() + b"\n"),
            ("fleet.key", FLEET_KEY),
            ("hash.key", FLEET_KEY[::-1]),
        ):
            (self.folder / name).write_bytes(content)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)

    def write_settings(
        self,
        node: str,
        *,
        data: str = FREE_ADDRESS,
        admin: str = FREE_ADDRESS,
        seeds: tuple[SocketAddress, ...] = (),
        platform: str | None = None,
    ) -> Path:
        path = self.folder / f"{node}.toml"
        text = SETTINGS.format(
            node=node,
            data=data,
            admin=admin,
            keys=list(self.key_files),
            seeds=[str(seed) for seed in seeds],
            platform=platform or f"http://{self.address}",
        )
        path.write_text(text.replace("'", '"'))
        return path

    def make_node(self, path: Path) -> NodeProcess:
        node = NodeProcess(load_node_settings(path), path.parent)
        self.addAsyncCleanup(node.close)
        return node

    async def start_node(self, node: str, *seeds: SocketAddress) -> NodeProcess:
        process = self.make_node(self.write_settings(node, seeds=seeds))
        await process.start()
        return process

    async def start_two(self) -> tuple[NodeProcess, NodeProcess]:
        first = await self.start_node("one")
        second = await self.start_node("two", control_address(first))
        await self.eventually(lambda: first.readiness().ready and second.readiness().ready)
        await self.eventually(lambda: home_count(first) == home_count(second) == 2)
        return first, second

    async def wait_in_force(self, node: NodeProcess, revision: int) -> None:
        await self.eventually(lambda: node.balancer.core.revision_in_force >= revision)

    async def get(
        self, node: NodeProcess, path: str, token: str | None = ADMIN_TOKEN
    ) -> tuple[int, str]:
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        async with self.http.get(f"http://{node.admin_address}{path}", headers=headers) as answer:
            return answer.status, await answer.text()

    async def eventually(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)


def control_address(node: NodeProcess) -> SocketAddress:
    return node.balancer.core.options.machine.control_address


def home_count(node: NodeProcess) -> int:
    return sum(1 for _ in node.balancer.core.membership.view.may_be_home())
