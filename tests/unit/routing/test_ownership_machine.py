"""Stateful test: once its SYN was forwarded, all packets of a flow reach the same backend."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from beamloom.model.addresses import SocketAddress
from beamloom.model.contracts import Backend
from tests.unit.routing.fleet import ACK, SYN, Fleet, backend, service, tcp

MAXIMUM_NODES = 5
REPLICA_SECONDS = 12.0
SYN_SECONDS = 10.0


class OwnershipMachine(RuleBasedStateMachine):
    """Joins, planned leaves, crashes and new generations, with message loss and stale members."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.generations: list[list[Backend]] = [[backend(number) for number in range(1, 5)]]
        self.flows: dict[int, SocketAddress] = {}
        self.opened_at: dict[int, float] = {}
        self.opened = 0
        self.joined = 3

    @initialize(seed=st.integers(0, 1000), loss=st.sampled_from((0.0, 0.1, 0.3)))
    def start(self, seed: int, loss: float) -> None:
        self.fleet = Fleet(seed=seed, loss=loss, duplication=loss / 3)
        self.fleet.configure(service(self.generations))
        self.fleet.add(0, 1, 2)
        self.fleet.run(12.0)

    @rule(count=st.integers(1, 20))
    def open_flows(self, count: int) -> None:
        for client in range(self.opened, self.opened + count):
            address = self.fleet.send(tcp(client, SYN))
            if address is not None:
                self.flows[client] = address
                self.opened_at[client] = self.fleet.now
        self.opened += count

    @rule()
    def retransmit_and_send(self) -> None:
        """Send payload on every flow, and a SYN while the client would still retransmit it."""
        for client, address in self.flows.items():
            young = self.fleet.now - self.opened_at[client] < SYN_SECONDS
            for data in [tcp(client, SYN)] * young + [tcp(client, ACK, b"x")]:
                reached = self.fleet.send(data)
                assert reached in {None, address}, (client, reached, address)

    @rule(seconds=st.sampled_from((0.05, 0.5, 3.0)))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @precondition(lambda self: len(self.fleet.nodes) < MAXIMUM_NODES)
    @rule(tell=st.booleans())
    def join(self, tell: bool) -> None:
        self.fleet.add(self.joined, update_members=tell)
        if not tell:
            self.fleet.update_member_lists(sorted(self.fleet.nodes)[-1:])
        self.joined += 1

    @rule(position=st.integers(0, MAXIMUM_NODES))
    def update_one_member_list(self, position: int) -> None:
        nodes = sorted(self.fleet.nodes)
        self.fleet.update_member_lists([nodes[position % len(nodes)]])

    @precondition(lambda self: len(self.fleet.nodes) > 2)
    @rule(position=st.integers(0, MAXIMUM_NODES))
    def leave(self, position: int) -> None:
        nodes = sorted(self.fleet.nodes)
        assert self.fleet.leave(nodes[position % len(nodes)], 300.0)

    @precondition(lambda self: len(self.fleet.nodes) > 2)
    @rule(position=st.integers(0, MAXIMUM_NODES))
    def crash(self, position: int) -> None:
        """Crash a node after all have had time to replicate their exceptions."""
        self.fleet.update_member_lists()
        self.fleet.run(REPLICA_SECONDS if self.fleet.loss else 4.0)
        nodes = sorted(self.fleet.nodes)
        self.fleet.crash(nodes[position % len(nodes)])

    @precondition(lambda self: len(self.generations) < 6)
    @rule(drained=st.integers(1, 4))
    def change_generation(self, drained: int) -> None:
        """Drain one of the first four backends and add a new one."""
        group = [item for item in self.generations[-1] if item.backend_number != drained]
        group += [backend(drained, draining=True), backend(10 + len(self.generations))]
        self.generations.append(sorted(group, key=lambda item: item.backend_number))
        self.fleet.configure(service(self.generations))

    def teardown(self) -> None:
        self.fleet.update_member_lists()
        self.fleet.run(20.0)
        for client, address in self.flows.items():
            assert self.fleet.reach(client) == address, client


OwnershipMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=6,
    stateful_step_count=10,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class OwnershipMachineTest(OwnershipMachine.TestCase):  # type: ignore[misc, name-defined]
    """Runs the state machine under unittest."""


if __name__ == "__main__":
    unittest.main()
