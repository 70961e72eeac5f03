"""What a home sees of backends contradicts what these report of themselves."""

from __future__ import annotations

import unittest

from beamloom.model.addresses import SocketAddress
from beamloom.model.contracts import BackendOperatingStatus
from beamloom.model.machines import NodeId
from beamloom.node.neighbours import ClientRefusals, ObservedHealth
from beamloom.protocol.events import BackendChecked
from beamloom.replication.backend_status.views import BackendView
from beamloom.routing.answer_times import AWAITED_FLOWS, AnswerTimes
from beamloom.routing.hooks import AssumedHealth, PermissiveAdmission, RoutingHooks
from tests.unit.backend_status.fleet import Fleet as WatcherFleet
from tests.unit.routing.fleet import ACK, GATEWAY, RST, SYN, Fleet, answer, backend, service, tcp

LIAR = 1
BACKENDS = [[backend(number) for number in range(1, 6)]]
NODE = NodeId("node-0")


class RealHealthCase(unittest.TestCase):
    """One forwarder with the watchers' own view of backends; `load` is what the liar reports."""

    load = 0.5

    def setUp(self) -> None:
        contract = service(BACKENDS)
        self.watchers = WatcherFleet(3, [contract])
        self.watchers.checked = lambda node, number, now: BackendChecked(
            number, True, False, (self.load if number == LIAR else 0.5) + now / 1e6, 0.005
        )
        self.watchers.run(300.0)
        self.health = ObservedHealth(self.watchers.nodes[NODE], self.watchers.now)
        hooks = RoutingHooks(PermissiveAdmission(), ClientRefusals(), self.health)
        self.fleet = Fleet(hooks=hooks, now=self.watchers.now)
        self.fleet.configure(contract)
        self.fleet.add(0)

    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)
        self.watchers.run(seconds)
        self.health.now = self.fleet.now

    def view(self, number: int = LIAR) -> BackendView:
        return self.watchers.nodes[NODE].status(number, self.fleet.now)


class AnswerTimeTest(RealHealthCase):
    load = 5.0

    def ask(self, client: int, seconds: float) -> None:
        address = self.fleet.open(client)
        self.fleet.answer(answer(client, SYN | ACK), address)
        self.fleet.reach(client)
        self.pass_time(seconds)
        self.fleet.answer(answer(client, ACK, payload=b"answer"), address)

    def test_a_false_report_of_load_loses_its_say(self) -> None:
        self.assertEqual(self.view().weight_factor, 0.25)
        for client in range(600):
            self.ask(client, 0.05)
        self.pass_time(3.0)
        self.assertEqual(self.view().weight_factor, 1.0)
        self.assertIn("contradicts", self.view().reason)

    def test_a_true_report_keeps_its_say(self) -> None:
        for client in range(300):
            slow = self.fleet.open(client) == backend(LIAR).data_address
            self.ask(client, 0.3 if slow else 0.05)
        self.pass_time(3.0)
        self.assertEqual(self.view().weight_factor, 0.25)

    def test_only_the_first_answer_to_the_first_payload_counts(self) -> None:
        seen: list[tuple[int, float]] = []

        class Recorder(AssumedHealth):
            def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
                seen.append((backend_number, seconds))

        times = AnswerTimes(Recorder())
        times.answered(1, 1.0)
        times.payload_sent(1, 7, 1.0)
        times.answered(1, 1.5)
        times.answered(1, 9.0)
        times.payload_sent(2, 8, 1.0)
        times.answered(2, 99.0)
        for key in range(AWAITED_FLOWS + 1):
            times.payload_sent(key, 9, 2.0)
        times.answered(0, 2.5)
        self.assertEqual(seen, [(7, 0.5)])


class RefusedConnectionTest(RealHealthCase):
    def to_liar(self, client: int) -> bool:
        return self.fleet.open(client) == backend(LIAR).data_address

    def refuse(self, client: int) -> list[SocketAddress]:
        return self.fleet.answer(answer(client, RST | ACK), backend(LIAR).data_address)

    def test_a_backend_that_refuses_while_it_reports_health_gets_no_new_flows(self) -> None:
        clients = [client for client in range(100) if self.to_liar(client)]
        for client in clients[:3]:
            self.assertNotEqual(self.refuse(client), [GATEWAY])
        self.assertEqual(self.view().status, BackendOperatingStatus.SHEDDING)
        self.assertFalse(any(self.to_liar(client) for client in range(200, 300)))
        self.pass_time(6.0)
        self.assertEqual(self.view().status, BackendOperatingStatus.ONLINE)

    def test_resets_that_clients_provoke_or_repeat_are_no_refusals(self) -> None:
        clients = [client for client in range(100) if self.to_liar(client)]
        for client in clients[:6]:
            self.fleet.send(tcp(client, ACK))
            self.assertEqual(self.refuse(client), [GATEWAY])
        for _ in range(6):
            self.refuse(clients[7])
        self.assertEqual(self.view().status, BackendOperatingStatus.ONLINE)


if __name__ == "__main__":
    unittest.main()
