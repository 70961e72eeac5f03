"""Answer times and refusals that a home observes override what backends report."""

from __future__ import annotations

import unittest

from beamloom.model.addresses import SocketAddress
from beamloom.model.contracts import BackendOperatingStatus
from beamloom.model.machines import NodeId
from beamloom.node.routing_hooks import ObservedHealth, RefusalPackets
from beamloom.protocol.events import BackendChecked
from beamloom.replication.backend_status.views import BackendView
from beamloom.routing.answer_times import MAXIMUM_PENDING_FLOWS, AnswerTimes
from beamloom.routing.hooks import PermissiveAdmission, RoutingHooks, StaticHealth
from tests.unit.backend_status.fleet import Fleet as WatcherFleet
from tests.unit.routing.fleet import ACK, GATEWAY, RST, SYN, Fleet, answer, backend, service, tcp

MISREPORTING = 1
BACKENDS = [[backend(number) for number in range(1, 6)]]
NODE = NodeId("node-0")


class RealHealthCase(unittest.TestCase):
    """One forwarder with the watchers' view of backends; one backend reports `load`."""

    load = 0.5

    def setUp(self) -> None:
        contract = service(BACKENDS)
        self.watchers = WatcherFleet(3, [contract])
        self.watchers.checked = lambda node, number, now: BackendChecked(
            number, True, False, (self.load if number == MISREPORTING else 0.5) + now / 1e6, 0.005
        )
        self.watchers.run(300.0)
        self.health = ObservedHealth(self.watchers.nodes[NODE], self.watchers.now)
        hooks = RoutingHooks(PermissiveAdmission(), RefusalPackets(), self.health)
        self.fleet = Fleet(hooks=hooks, now=self.watchers.now)
        self.fleet.configure(contract)
        self.fleet.add(0)

    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)
        self.watchers.run(seconds)
        self.health.now = self.fleet.now

    def view(self, number: int = MISREPORTING) -> BackendView:
        return self.watchers.nodes[NODE].status(number, self.fleet.now)


class AnswerTimeTest(RealHealthCase):
    load = 5.0

    def send_request(self, client: int, seconds: float) -> None:
        address = self.fleet.open(client)
        self.fleet.answer(answer(client, SYN | ACK), address)
        self.fleet.reach(client)
        self.pass_time(seconds)
        self.fleet.answer(answer(client, ACK, payload=b"answer"), address)

    def test_load_report_contradicted_by_answer_times_is_ignored(self) -> None:
        self.assertEqual(self.view().weight_factor, 0.25)
        for client in range(600):
            self.send_request(client, 0.05)
        self.pass_time(3.0)
        self.assertEqual(self.view().weight_factor, 1.0)
        self.assertIn("contradicts", self.view().reason)

    def test_load_report_confirmed_by_answer_times_is_applied(self) -> None:
        for client in range(300):
            slow = self.fleet.open(client) == backend(MISREPORTING).data_address
            self.send_request(client, 0.3 if slow else 0.05)
        self.pass_time(3.0)
        self.assertEqual(self.view().weight_factor, 0.25)

    def test_only_the_first_answer_to_the_first_payload_counts(self) -> None:
        seen: list[tuple[int, float]] = []

        class Recorder(StaticHealth):
            def observe_answer_time(self, backend_number: int, seconds: float, now: float) -> None:
                seen.append((backend_number, seconds))

        times = AnswerTimes(Recorder())
        times.answered(1, 1.0)
        times.payload_sent(1, 7, 1.0)
        times.answered(1, 1.5)
        times.answered(1, 9.0)
        times.payload_sent(2, 8, 1.0)
        times.answered(2, 99.0)
        for key in range(MAXIMUM_PENDING_FLOWS + 1):
            times.payload_sent(key, 9, 2.0)
        times.answered(0, 2.5)
        self.assertEqual(seen, [(7, 0.5)])


class RefusedConnectionTest(RealHealthCase):
    def reaches_misreporting(self, client: int) -> bool:
        return self.fleet.open(client) == backend(MISREPORTING).data_address

    def refuse(self, client: int) -> list[SocketAddress]:
        return self.fleet.answer(answer(client, RST | ACK), backend(MISREPORTING).data_address)

    def test_backend_that_refuses_but_reports_healthy_gets_no_new_flows(self) -> None:
        clients = [client for client in range(100) if self.reaches_misreporting(client)]
        for client in clients[:3]:
            self.assertNotEqual(self.refuse(client), [GATEWAY])
        self.assertEqual(self.view().status, BackendOperatingStatus.SHEDDING)
        self.assertFalse(any(self.reaches_misreporting(client) for client in range(200, 300)))
        self.pass_time(6.0)
        self.assertEqual(self.view().status, BackendOperatingStatus.ONLINE)

    def test_resets_provoked_by_clients_or_repeated_do_not_count_as_refusals(self) -> None:
        clients = [client for client in range(100) if self.reaches_misreporting(client)]
        for client in clients[:6]:
            self.fleet.send(tcp(client, ACK))
            self.assertEqual(self.refuse(client), [GATEWAY])
        for _ in range(6):
            self.refuse(clients[7])
        self.assertEqual(self.view().status, BackendOperatingStatus.ONLINE)


if __name__ == "__main__":
    unittest.main()
