"""A flow closed by both sides is not open, and its entry expires even if packets follow."""

from __future__ import annotations

import unittest

from beamloom.model.machines import NodeId
from beamloom.routing.hashing import flow_key, flow_seed, partition_of
from beamloom.routing.home import CLOSED_FLOW_SECONDS
from beamloom.routing.ownership import JOIN_WAIT_SECONDS
from tests.unit.routing.fleet import (
    ACK,
    FIN,
    GATEWAY,
    RST,
    SYN,
    Fleet,
    answer,
    backend,
    service,
    tcp,
)

CLIENT = 7
BACKEND = backend(1)


class ClosedFlowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.configure(service([[BACKEND]]))
        self.fleet.add(0)
        self.fleet.run(JOIN_WAIT_SECONDS + 0.5)
        self.node = self.fleet.nodes[NodeId("n0")]

    def client_sends(self, flags: int, payload: bytes = b"") -> None:
        address = self.node.forward(tcp(CLIENT, flags, payload), GATEWAY, False, self.fleet.now)
        self.assertEqual(address, BACKEND.data_address)

    def backend_sends(self, flags: int) -> None:
        source = BACKEND.data_address
        self.node.forward(answer(CLIENT, flags), source, False, self.fleet.now)

    def open_flows(self) -> int:
        return sum(self.node.snapshot().open_flows.values())

    def open_flow(self) -> None:
        self.client_sends(SYN)
        self.client_sends(ACK, b"update")
        self.assertEqual(self.open_flows(), 1)

    def test_last_acknowledgement_does_not_keep_the_entry(self) -> None:
        self.open_flow()
        self.backend_sends(FIN)
        self.client_sends(FIN)
        self.assertEqual(self.open_flows(), 0)
        self.client_sends(ACK)
        self.client_sends(ACK, b"late")
        self.fleet.run(CLOSED_FLOW_SECONDS + 1.0)
        self.assertEqual(len(self.node.table), 0)
        self.assertEqual(self.open_flows(), 0)

    def test_half_closed_flow_stays_open(self) -> None:
        self.open_flow()
        self.backend_sends(FIN)
        self.client_sends(ACK)
        self.fleet.run(CLOSED_FLOW_SECONDS + 1.0)
        self.assertEqual(self.open_flows(), 1)

    def test_flow_is_counted_as_ended_once(self) -> None:
        self.open_flow()
        for _ in range(2):
            self.backend_sends(FIN)
            self.client_sends(FIN)
            self.client_sends(RST)
        other = tcp(CLIENT + 1, SYN)
        self.node.forward(other, GATEWAY, False, self.fleet.now)
        self.assertEqual(self.open_flows(), 1)
        self.fleet.run(CLOSED_FLOW_SECONDS + 1.0)
        self.assertEqual(self.open_flows(), 1)

    def test_closed_flow_that_is_handed_over_is_counted_as_ended_once(self) -> None:
        self.open_flow()
        self.backend_sends(FIN)
        self.client_sends(FIN)
        self.node.forward(tcp(CLIENT + 1, SYN), GATEWAY, False, self.fleet.now)
        hash_input = tcp(CLIENT, ACK)[12:24]
        key = flow_key(hash_input, flow_seed(b"key", 6))
        self.assertIn(key, self.node.table.rows)
        self.node.home.demote([partition_of(key)], self.fleet.now)
        self.assertEqual(self.open_flows(), 1)
