"""Fabric, backends and clients on real sockets, with stateless forwarders in place of balancers."""

import asyncio
import random
import unittest
from collections.abc import Callable, Coroutine

import aiohttp

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.standins.backend_model import BackendModel, BackendOptions
from beamloom.standins.backend_process import BackendProcess
from beamloom.standins.client_model import Outcome
from beamloom.standins.client_process import ClientProcess
from beamloom.standins.client_request import RequestFlow, RequestOptions, UdpRequestFlow
from beamloom.standins.fabric_model import FabricModel, FabricOptions
from beamloom.standins.fabric_process import FabricProcess
from beamloom.standins.load import run_load
from beamloom.standins.load_profiles import ProfileName
from beamloom.standins.packets import Packet, parse_packet
from beamloom.standins.udp_socket import UdpSocket

ANY_PORT = SocketAddress("127.0.0.1", 0)
TRACKER = VirtualAddress("10.0.0.1", TransportProtocol.TCP, 443)
LABELLER = VirtualAddress("fd00::1", TransportProtocol.TCP, 443)
RESOLVER = VirtualAddress("10.0.0.3", TransportProtocol.UDP, 53)
TEST_TIMEOUT_SECONDS = 60.0


class Forwarder:
    """Forwards requests to a backend chosen by the client's port, and answers to the fabric."""

    def __init__(self) -> None:
        self.backends: dict[SocketAddress, list[SocketAddress]] = {}
        self.fabric = ANY_PORT
        self.socket: UdpSocket | None = None

    def forward(self, data: bytes, source: SocketAddress) -> None:
        packet = parse_packet(data)
        assert isinstance(packet, Packet) and self.socket is not None
        targets = self.backends.get(packet.destination, [self.fabric])
        self.socket.send(data, targets[packet.source.port % len(targets)])


class Fleet:
    """A fabric, two forwarders and backends, on free ports."""

    def __init__(self, fabric_options: FabricOptions | None = None) -> None:
        self.fabric = FabricProcess(FabricModel(random.Random(1), fabric_options))
        self.forwarders = [Forwarder(), Forwarder()]
        self.backends: list[BackendProcess] = []

    async def start(self, services: dict[VirtualAddress, int]) -> None:
        await self.fabric.start()
        for forwarder in self.forwarders:
            forwarder.socket = await UdpSocket.open(ANY_PORT, forwarder.forward)
            forwarder.fabric = self.fabric.balancer_address
        addresses = [item.socket.address for item in self.forwarders if item.socket]
        self.fabric.set_balancers(addresses)
        for service, endpoints in services.items():
            for number in range(endpoints):
                await self.add_backend(f"{service.ip}/{number}", service, addresses)

    async def add_backend(
        self, name: str, service: VirtualAddress, balancers: list[SocketAddress]
    ) -> None:
        model = BackendModel(name, service, random.Random(name), 0.0, BackendOptions())
        backend = BackendProcess(model, random.Random(2), balancers)
        await backend.start(ANY_PORT, ANY_PORT)
        self.backends.append(backend)
        for forwarder in self.forwarders:
            key = SocketAddress(service.ip, service.port)
            forwarder.backends.setdefault(key, []).append(backend.data_address)

    async def stop(self) -> None:
        for backend in self.backends:
            await backend.stop()
        for forwarder in self.forwarders:
            if forwarder.socket:
                forwarder.socket.close()
        await self.fabric.stop()


def with_fleet(
    services: dict[VirtualAddress, int],
    test: Callable[[Fleet], Coroutine[None, None, None]],
    fabric_options: FabricOptions | None = None,
) -> None:
    async def run() -> None:
        fleet = Fleet(fabric_options)
        await fleet.start(services)
        try:
            await asyncio.wait_for(test(fleet), TEST_TIMEOUT_SECONDS)
        finally:
            await fleet.stop()

    asyncio.run(run())


class StandinsOnSocketsTest(unittest.TestCase):
    def test_requests_complete_through_a_fabric_with_loss_duplication_and_reordering(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            client = ClientProcess(fleet.fabric.client_address)
            await client.open()
            rng = random.Random(3)
            first, second = SocketAddress("192.0.2.1", 9), SocketAddress("2001:db8::1", 9)
            flows = [
                RequestFlow(RequestOptions("a", first, TRACKER, "a", size=30_000), rng),
                RequestFlow(RequestOptions("b", second, LABELLER, "b", size=30_000), rng),
                UdpRequestFlow(RequestOptions("c", first, RESOLVER, "c", size=3_000), rng),
            ]
            truths = await asyncio.gather(*(client.run(flow) for flow in flows))
            client.close()
            self.assertEqual([truth.outcome for truth in truths], [Outcome.ANSWERED] * 3)
            self.assertEqual(
                [truth.backends for truth in truths],
                [["10.0.0.1/1"], ["fd00::1/0"], ["10.0.0.3/0"]],
            )
            self.assertTrue(fleet.fabric.model.counters.lost)

        faults = FabricOptions(loss=0.05, duplication=0.05, reordering=0.2)
        with_fleet({TRACKER: 2, LABELLER: 1, RESOLVER: 1}, scenario, faults)

    def test_load_counts_flows_by_outcome(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            result = await run_load(
                ProfileName.VAKATALE,
                rate=100.0,
                duration=1.0,
                fabric=fleet.fabric.client_address,
                services={"tracker": TRACKER, "labeller": LABELLER},
            )
            for backend in fleet.backends:
                await backend.wait_idle()
            self.assertEqual((result.flows, result.outcomes["answered"]), (100, 100))
            self.assertEqual((result.broken_flows, result.not_ended, result.split_flows), (0, 0, 0))
            self.assertEqual(result.updates_sent, result.updates_answered)
            self.assertGreaterEqual(result.imbalance["tracker"].open_flows, 1.0)
            violations = [item.model.truth.tenancy_violations for item in fleet.backends]
            self.assertFalse(any(violations))

        with_fleet({TRACKER: 7, LABELLER: 3}, scenario)

    def test_health_endpoint_reports_draining_and_injected_load(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            base = f"http://{fleet.backends[0].health_address}"
            async with aiohttp.ClientSession() as session:
                (await session.post(f"{base}/drain")).raise_for_status()
                (await session.post(f"{base}/faults", json={"load": 7.5})).raise_for_status()
                health = await (await session.get(f"{base}/health")).json()
                expected = {"healthy": True, "shedding": False, "draining": True, "load": 7.5}
                self.assertEqual(health, expected)
                refused = await session.post(f"{base}/faults", json={"laod": 1})
                self.assertEqual(refused.status, 400)

        with_fleet({TRACKER: 1}, scenario)

    def test_fabric_endpoint_replaces_the_list_of_balancers(self) -> None:
        async def scenario() -> None:
            fabric = FabricProcess(FabricModel(random.Random(1)))
            await fabric.start(admin_address=ANY_PORT)
            try:
                url = f"http://{fabric.admin_address}/balancers"
                async with aiohttp.ClientSession() as session:
                    listed = {"balancers": ["127.0.0.1:7001", "[::1]:7002"]}
                    answer = await (await session.put(url, json=listed)).json()
                    self.assertEqual(answer, listed)
                    refused = await session.put(url, json={"balancers": ["nowhere"]})
                    self.assertEqual(refused.status, 400)
                    self.assertEqual(await (await session.get(url)).json(), listed)
            finally:
                await fabric.stop()

        asyncio.run(scenario())
