"""The demo's fleet on loopback: real balancers and stand-ins, each with its own sockets."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from beamloom.demo.tenants import DemoTenant
from beamloom.model.addresses import SocketAddress, VirtualAddress
from beamloom.model.contracts import BackendAdministrativeState
from beamloom.model.machines import Machine, NodeId
from beamloom.node.core import NodeCore
from beamloom.node.options import NodeOptions
from beamloom.object_api.adapter import StoreAdapter
from beamloom.object_api.client import PlatformClient
from beamloom.object_api.options import PlatformOptions
from beamloom.object_api.retry import Retrier, RetryPolicy
from beamloom.protocol.codec import KeyRing
from beamloom.runtime.balancer import BalancerProcess
from beamloom.runtime.health_checks import HealthChecks
from beamloom.runtime.machine_sockets import ANY_PORT, MachineSockets
from beamloom.settings.deployment import Deployment
from beamloom.standins.backend_model import BackendModel
from beamloom.standins.backend_process import BackendProcess
from beamloom.standins.fabric_model import FabricModel
from beamloom.standins.fabric_process import FabricProcess
from beamloom.standins.platform_server import PlatformServer
from beamloom.standins.platform_store import PlatformStore

LOOPBACK = "127.0.0.1"
ANY_ADDRESS = SocketAddress(LOOPBACK, ANY_PORT)
READY_TIMEOUT_SECONDS = 60.0
READY_POLL_SECONDS = 0.05
TOKEN = "demo-token"
FLEET_KEY = b"demo fleet key, for loopback only"


class FleetNotReadyError(Exception):
    """The balancers did not discover each other or load the configuration in time."""

    def __init__(self, expected: int) -> None:
        super().__init__(
            f"not all of {expected} balancers were ready within {READY_TIMEOUT_SECONDS:.0f} s; "
            "run fewer balancers or stop other work on this machine"
        )


@dataclass(slots=True)
class RunningBalancer:
    """One balancer and its resources; `started_at` is in the event loop's time."""

    machine: Machine
    process: BalancerProcess
    resources: AsyncExitStack
    started_at: float
    leaving: bool = False

    @property
    def core(self) -> NodeCore:
        """The balancer's decision core."""
        return self.process.core


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """Mean rate at which a balancer sent control traffic while it ran."""

    node_id: NodeId
    bytes_per_second: float


class LoopbackFleet:
    """Context manager that starts and stops balancers and stand-ins.

    Starting raises OSError if sockets cannot be bound, and FleetNotReadyError.
    """

    def __init__(
        self,
        deployment: Deployment,
        tenants: Sequence[DemoTenant],
        balancers: int,
        seed: int = 1,
    ) -> None:
        self.deployment = deployment
        self.tenants = tuple(tenants)
        self.store = PlatformStore(random.Random(f"{seed}/store"))
        self.fabric = FabricProcess(FabricModel(random.Random(f"{seed}/fabric")))
        self.balancers: dict[NodeId, RunningBalancer] = {}
        self.backends: dict[str, BackendProcess] = {}
        self.control_traffic: list[ControlTraffic] = []
        self._balancer_count = balancers
        self._balancer_numbers = itertools.count()
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
            stack.push_async_callback(self._close_balancers)
            await self._start_first_balancers()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop everything that was started."""
        await self._stack.aclose()

    # -- stand-ins -----------------------------------------------------------------------------

    async def _start_platform(self, stack: AsyncExitStack) -> None:
        server = PlatformServer(self.store, TOKEN, ANY_ADDRESS)
        self._platform_address = await server.start()
        stack.push_async_callback(server.stop)

    async def _start_backends(self, stack: AsyncExitStack) -> None:
        addresses = {tenant.name: tenant.services for tenant in self.tenants}
        for tenant in self.deployment.tenants:
            for service in tenant.services:
                for backend in service.backends:
                    key = f"backend/{tenant.name}/{service.name}/{backend.name}"
                    await self._start_backend(stack, key, addresses[tenant.name][service.name])

    async def _start_backend(
        self, stack: AsyncExitStack, key: str, service: VirtualAddress
    ) -> None:
        rng = random.Random(f"{self._seed}/{key}")
        process = BackendProcess(BackendModel(key, service, rng), rng)
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

    def drain_backend(self) -> str:
        """Drain the first backend as an operator would, and return its key."""
        key = next(iter(self.backends))
        found = self.store.read(key).found
        assert found is not None
        state = BackendAdministrativeState.DRAINING.value
        self.store.write(key, {**(found.value or {}), "state": state}, found.revision)
        self.backends[key].model.drain()
        return key

    # -- balancers -----------------------------------------------------------------------------

    async def _start_first_balancers(self) -> None:
        sockets = [MachineSockets.bind_any(LOOPBACK) for _ in range(self._balancer_count)]
        seeds = tuple(opened.control.address for opened in sockets)
        for opened in sockets:
            await self._start_balancer(opened, seeds)
        await self._wait_until_ready()
        self._update_fabric()

    async def start_balancer(self) -> NodeId:
        """Start one more balancer, wait until it is ready, and add it to the fabric."""
        seeds = tuple(item.machine.control_address for item in self.balancers.values())
        balancer = await self._start_balancer(MachineSockets.bind_any(LOOPBACK), seeds)
        await self._wait_until_ready()
        self._update_fabric()
        return balancer.machine.node_id

    async def stop_balancer(self, node_id: NodeId) -> None:
        """Remove a balancer from the fabric, and stop it as planned."""
        balancer = self.balancers[node_id]
        balancer.leaving = True
        self._update_fabric()
        balancer.process.request_stop()
        await balancer.process.stopped.wait()
        await self._close_balancer(balancer)

    def _update_fabric(self) -> None:
        """Set the balancers that the fabric and, for their answers, the backends send to."""
        addresses = [
            balancer.machine.data_address
            for balancer in self.balancers.values()
            if not balancer.leaving
        ]
        self.fabric.set_balancers(addresses)
        for backend in self.backends.values():
            backend.balancers = list(addresses)

    async def _start_balancer(
        self, sockets: MachineSockets, seeds: tuple[SocketAddress, ...]
    ) -> RunningBalancer:
        number = next(self._balancer_numbers)
        zones = self.deployment.zones
        machine = sockets.machine(NodeId(f"balancer-{number + 1}"), zones[number % len(zones)])
        now = asyncio.get_running_loop().time()
        gateways = (self.fabric.balancer_address,)
        keys = KeyRing((FLEET_KEY,))
        options = NodeOptions(machine, seeds, keys, FLEET_KEY, gateways, self._seed)
        process = BalancerProcess(NodeCore(options, now), sockets)
        async with AsyncExitStack() as resources:
            await self._attach_store_and_checks(resources, process, machine)
            process.start()
            balancer = RunningBalancer(machine, process, resources.pop_all(), now)
        self.balancers[machine.node_id] = balancer
        return balancer

    async def _attach_store_and_checks(
        self, resources: AsyncExitStack, process: BalancerProcess, machine: Machine
    ) -> None:
        """Attach a store client and health checks to a balancer."""
        rng = random.Random(f"{self._seed}/{machine.node_id}")
        client = PlatformClient(
            PlatformOptions(f"http://{self._platform_address}", TOKEN),
            Retrier(RetryPolicy(), rng),
        )
        await client.start()
        resources.push_async_callback(client.close)
        adapter = StoreAdapter(client, process.deliver)
        resources.push_async_callback(adapter.close)
        checks = HealthChecks(process.deliver)
        resources.push_async_callback(checks.close)
        resources.callback(process.close)
        process.extra_handlers.extend((adapter.execute, checks.execute))

    async def _wait_until_ready(self) -> None:
        """Wait until every balancer is ready and sees as many possible homes as balancers run."""
        expected = len(self.balancers)
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while not all(self._has_joined(item, expected) for item in self.balancers.values()):
                    await asyncio.sleep(READY_POLL_SECONDS)
        except TimeoutError as error:
            raise FleetNotReadyError(expected) from error

    @staticmethod
    def _has_joined(balancer: RunningBalancer, expected: int) -> bool:
        homes = sum(1 for _ in balancer.core.membership.view.may_be_home())
        return balancer.core.ready and homes >= expected

    async def _close_balancers(self) -> None:
        for balancer in list(self.balancers.values()):
            await self._close_balancer(balancer)

    async def _close_balancer(self, balancer: RunningBalancer) -> None:
        del self.balancers[balancer.machine.node_id]
        uptime = asyncio.get_running_loop().time() - balancer.started_at
        sent = balancer.core.channel.snapshot().sent_bytes
        traffic = ControlTraffic(balancer.machine.node_id, sent / uptime if uptime else 0.0)
        self.control_traffic.append(traffic)
        await balancer.resources.aclose()
