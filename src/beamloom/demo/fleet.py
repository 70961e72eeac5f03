"""The loopback fleet: stand-ins and real balancers, each on sockets of its own."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.platform.adapter import StoreAdapter
from beamloom.platform.client import PlatformClient
from beamloom.platform.options import PlatformOptions
from beamloom.platform.retry import Retrier, RetryPolicy
from beamloom.protocol.codec import KeyRing
from beamloom.runtime.balancer import BalancerProcess
from beamloom.runtime.machine_sockets import ANY_PORT, MachineSockets
from beamloom.settings.deployment import Deployment
from beamloom.standins.backend_model import BackendModel
from beamloom.standins.backend_process import BackendProcess
from beamloom.standins.fabric_model import FabricModel
from beamloom.standins.fabric_process import FabricProcess
from beamloom.standins.platform_server import PlatformServer
from beamloom.standins.platform_store import PlatformStore
from beamloom.world.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.world.machines import Machine, NodeId

LOOPBACK = "127.0.0.1"
ANY_ADDRESS = SocketAddress(LOOPBACK, ANY_PORT)
READY_TIMEOUT_SECONDS = 30.0
READY_CHECK_SECONDS = 0.05
TOKEN = "demo-token"
FLEET_KEY = b"demo fleet key, for loopback only"


class FleetNotReadyError(Exception):
    """The balancers did not find each other or the configuration in time."""

    def __init__(self, expected: int) -> None:
        super().__init__(
            f"not all of {expected} balancers were ready within {READY_TIMEOUT_SECONDS:.0f} s; "
            "run fewer balancers or stop other work on this machine"
        )


@dataclass(slots=True)
class RunningBalancer:
    """One balancer of the demo with what belongs to it."""

    machine: Machine
    process: BalancerProcess
    client: PlatformClient
    adapter: StoreAdapter


class LoopbackFleet:
    """Starts and stops everything; `async with` it.

    Raises OSError when the machine has no ports left.
    """

    def __init__(self, deployment: Deployment, balancers: int, seed: int = 1) -> None:
        self.deployment = deployment
        self.store = PlatformStore(random.Random(f"{seed}/store"))
        self.fabric = FabricProcess(FabricModel(random.Random(f"{seed}/fabric")))
        self.balancers: dict[NodeId, RunningBalancer] = {}
        self.backends: dict[str, BackendProcess] = {}
        self._balancer_count = balancers
        self._seed = seed
        self._stack = AsyncExitStack()
        self._platform_address = ANY_ADDRESS

    async def __aenter__(self) -> LoopbackFleet:
        """Start platform, backends, fabric and balancers, in this order."""
        async with AsyncExitStack() as stack:
            await self._start_platform(stack)
            await self._start_backends(stack)
            self._create_objects()
            await self.fabric.start()
            stack.push_async_callback(self.fabric.stop)
            await self._start_balancers(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop everything that was started."""
        await self._stack.aclose()

    @property
    def virtual_addresses(self) -> dict[str, VirtualAddress]:
        """The virtual address of each service, by the service's name."""
        return {
            service.name: VirtualAddress(
                service.ip, TransportProtocol[service.protocol.upper()], service.port
            )
            for tenant in self.deployment.tenants
            for service in tenant.services
        }

    async def _start_platform(self, stack: AsyncExitStack) -> None:
        server = PlatformServer(self.store, TOKEN, ANY_ADDRESS)
        self._platform_address = await server.start()
        stack.push_async_callback(server.stop)

    async def _start_backends(self, stack: AsyncExitStack) -> None:
        for tenant in self.deployment.tenants:
            for service in tenant.services:
                for backend in service.backends:
                    key = f"backend/{tenant.name}/{service.name}/{backend.name}"
                    await self._start_backend(stack, key, self.virtual_addresses[service.name])

    async def _start_backend(
        self, stack: AsyncExitStack, key: str, service: VirtualAddress
    ) -> None:
        chance = random.Random(f"{self._seed}/{key}")
        process = BackendProcess(BackendModel(key, service, chance), chance)
        await process.start(ANY_ADDRESS, ANY_ADDRESS)
        stack.push_async_callback(process.stop)
        self.backends[key] = process

    def _create_objects(self) -> None:
        for key, value in self.deployment.to_objects():
            self.store.write(key, self._with_bound_addresses(key, value), 0)

    def _with_bound_addresses(self, key: str, value: dict[str, Any]) -> dict[str, Any]:
        process = self.backends.get(key)
        if process is None:
            return value
        addresses = {"address": process.data_address, "health": process.health_address}
        return value | {name: str(address) for name, address in addresses.items()}

    async def _start_balancers(self, stack: AsyncExitStack) -> None:
        zones = self.deployment.zones
        sockets = [MachineSockets.bind_any(LOOPBACK) for _ in range(self._balancer_count)]
        machines = [
            opened.machine(NodeId(f"balancer-{number}"), zones[number % len(zones)])
            for number, opened in enumerate(sockets)
        ]
        seeds = tuple(machine.control_address for machine in machines)
        for opened, machine in zip(sockets, machines, strict=True):
            await self._start_balancer(stack, opened, machine, seeds)
        await self._wait_until_ready()
        self.fabric.set_balancers([machine.data_address for machine in machines])

    async def _start_balancer(
        self,
        stack: AsyncExitStack,
        sockets: MachineSockets,
        machine: Machine,
        seeds: tuple[SocketAddress, ...],
    ) -> None:
        keys = KeyRing((FLEET_KEY,))
        gateways = (self.fabric.balancer_address,)
        options = NodeOptions(machine, seeds, keys, FLEET_KEY, gateways, self._seed)
        core = NodeCore(options, asyncio.get_running_loop().time())
        client = PlatformClient(
            PlatformOptions(f"http://{self._platform_address}", TOKEN),
            Retrier(RetryPolicy(), random.Random(f"{self._seed}/{machine.node_id}")),
        )
        await client.start()
        stack.push_async_callback(client.close)
        process = BalancerProcess(core, sockets)
        adapter = StoreAdapter(client, process.deliver)
        process.extra_handlers.append(adapter.execute)
        stack.push_async_callback(adapter.close)
        stack.callback(process.close)
        process.start()
        self.balancers[machine.node_id] = RunningBalancer(machine, process, client, adapter)

    async def _wait_until_ready(self) -> None:
        """Wait until every balancer has the configuration and knows every other one."""
        expected = len(self.balancers)
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while not all(self._is_ready(item, expected) for item in self.balancers.values()):
                    await asyncio.sleep(READY_CHECK_SECONDS)
        except TimeoutError as error:
            raise FleetNotReadyError(expected) from error

    @staticmethod
    def _is_ready(balancer: RunningBalancer, expected: int) -> bool:
        core = balancer.process.core
        homes = sum(1 for _ in core.membership.view.may_be_home())
        return core.ready and homes == expected
