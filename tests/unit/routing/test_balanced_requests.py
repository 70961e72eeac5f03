"""Deadlines and cancellations of requests from a stand-in client to a stand-in backend.

Both ends check the sequence numbers of resets as RFC 5961 requires.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Sequence

from beamloom.model.addresses import SocketAddress, TransportProtocol, VirtualAddress
from beamloom.model.contracts import ServicePolicy
from beamloom.model.machines import Member, MemberState
from beamloom.node.routing_hooks import RefusalPackets
from beamloom.protocol.commands import Command, SendPacket
from beamloom.routing.forwarder import Forwarder
from beamloom.routing.hooks import PermissiveAdmission, RoutingHooks, StaticHealth
from beamloom.routing.ownership import JOIN_WAIT_SECONDS
from beamloom.standins.backend_model import BackendModel, BackendOptions
from beamloom.standins.client_model import Outcome
from beamloom.standins.client_request import RequestFlow, RequestOptions
from beamloom.standins.client_stream import StreamFlow, StreamOptions
from tests.unit.routing.fleet import GATEWAY, PORT, SERVICE_IP, backend, machine, service
from tests.unit.standin_network import CLIENT, Network, make_backend

SERVICE = VirtualAddress(SERVICE_IP, TransportProtocol.TCP, PORT)
SLOW = BackendOptions(slots=1, queue_limit=8, service_time=lambda request, rng: 5.0)
DEADLINE = 2.0
TICK = 0.1


class BalancedNetwork(Network):
    """A network with one forwarder between the clients and the backend."""

    def __init__(self, model: BackendModel, deadline: float = DEADLINE) -> None:
        super().__init__(model)
        hooks = RoutingHooks(PermissiveAdmission(), RefusalPackets(), StaticHealth())
        self.forwarder = Forwarder(machine(0), b"key", (GATEWAY,), hooks)
        policy = ServicePolicy(request_deadline=deadline)
        self.forwarder.update_services([service([[backend(1)]], policy=policy)], [], 0.0)
        self.forwarder.update_members([Member(machine(0), MemberState.ALIVE, 0)], 0.0)
        self._tick()
        self.run(JOIN_WAIT_SECONDS + 1.0)
        self.started = self.now

    def run_for(self, seconds: float) -> None:
        """Run until `seconds` after the start."""
        self.run(self.started + seconds)

    def _tick(self) -> None:
        self._carry_out(self.forwarder.poll(self.now))
        self._at(TICK, self._tick)

    def _reach_backend(self, data: bytes) -> None:
        self._forward(data, GATEWAY)

    def _reach_client(self, data: bytes) -> None:
        self._forward(data, backend(1).data_address)

    def _forward(self, data: bytes, source: SocketAddress) -> None:
        address = self.forwarder.forward(data, source, False, self.now)
        if address is not None:
            self._deliver(address, data)
        self._carry_out(self.forwarder.take_commands())

    def _carry_out(self, commands: Sequence[Command]) -> None:
        for command in commands:
            if isinstance(command, SendPacket):
                self._deliver(command.destination, command.data)

    def _deliver(self, address: SocketAddress, data: bytes) -> None:
        if address == GATEWAY:
            super()._reach_client(data)
        else:
            super()._reach_backend(data)


def request(number: int, size: int = 100) -> RequestFlow:
    local = SocketAddress(CLIENT.host, 40_000 + number)
    name = f"r{number}"
    options = RequestOptions(name, local, SERVICE, name, deadline=60.0, size=size)
    return RequestFlow(options, random.Random(number))


class BalancedRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backend = make_backend(service=SERVICE, options=SLOW)

    def start(self, network: Network, *flows: RequestFlow | StreamFlow) -> None:
        for flow in flows:
            network.from_client(network.host.start(flow, network.now))

    def test_requests_past_their_deadline_are_reset_at_the_backend_and_the_client(self) -> None:
        network = BalancedNetwork(self.backend)
        running, waiting = request(0), request(1)
        self.start(network, running, waiting)
        network.run_for(DEADLINE - 0.3)
        self.assertEqual((running.outcome, waiting.outcome), (None, None))
        network.run_for(DEADLINE + 0.5)
        self.assertEqual((running.outcome, waiting.outcome), (Outcome.RESET, Outcome.RESET))
        self.assertEqual((self.backend.open_connections, self.backend.busy), (0, 0))
        self.assertEqual(self.backend.truth.not_run, {"r1": "cancelled"})
        network.run_for(20.0)
        self.assertEqual(network.forwarder.snapshot().flows, 0)

    def test_answers_before_the_deadline_are_complete(self) -> None:
        network = BalancedNetwork(make_backend(service=SERVICE))
        flows = [request(number, size=30_000) for number in range(2)]
        self.start(network, *flows)
        network.run_for(30.0)
        self.assertEqual([flow.outcome for flow in flows], [Outcome.ANSWERED] * 2)
        self.assertEqual(network.forwarder.counters["flows_past_deadline"], 0)

    def test_a_stream_with_traffic_at_the_deadline_is_reset_at_both_sides(self) -> None:
        network = BalancedNetwork(self.backend)
        flow = StreamFlow(StreamOptions("s", CLIENT, SERVICE), random.Random(1))
        self.start(network, flow)
        for step in range(40):
            network.run_for(DEADLINE - 0.2 + step * 0.01)
            network.from_backend(self.backend.push(network.now, b"position"))
        network.run_for(DEADLINE + 1.0)
        self.assertEqual((flow.outcome, self.backend.open_connections), (Outcome.RESET, 0))

    def test_a_cancelled_request_frees_the_backend_and_the_table(self) -> None:
        network = BalancedNetwork(self.backend, deadline=0.0)
        running, waiting = request(0), request(1)
        self.start(network, running, waiting)
        network.run_for(0.5)
        for flow in (running, waiting):
            network.from_client(network.host.cancel(flow, network.now))
        network.run_for(1.0)
        self.assertEqual((self.backend.open_connections, self.backend.busy), (0, 0))
        network.run_for(20.0)
        self.assertEqual(network.forwarder.snapshot().flows, 0)


if __name__ == "__main__":
    unittest.main()
