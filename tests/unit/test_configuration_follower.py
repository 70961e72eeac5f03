"""Nodes that received the configuration in different ways compile identical contracts."""

import unittest
from collections.abc import Mapping
from typing import Any, cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test

from beamloom.model.contracts import ServiceContract
from beamloom.node.configuration_follower import ConfigurationFollower, read_generations
from beamloom.protocol.configuration_messages import ReplicatedChange
from beamloom.protocol.events import StoredObject
from beamloom.replication.applied_state import AppliedState
from beamloom.replication.backend_history import BackendHistory
from beamloom.replication.configuration_replica import ConfigurationReplica
from beamloom.replication.configuration_state import ConfigurationState, snapshot_digest
from beamloom.settings.configuration import Configuration
from tests.unit.settings.object_rules import SCOPES, ObjectMachine


class Node:
    """A follower of a replica's applied state, without gossip."""

    def __init__(self) -> None:
        self.applied = AppliedState()
        self.follower = ConfigurationFollower(cast(ConfigurationReplica, self))
        self.contracts: dict[str, ServiceContract] = {}

    @property
    def backend_histories(self) -> Mapping[str, BackendHistory]:
        return self.applied.state.backend_histories

    def take_applied_changes(self) -> list[StoredObject]:
        return self.applied.take_unseen()

    def catch_up(self) -> None:
        delta = self.follower.catch_up()
        if delta is None:
            return
        for contract in delta.services_removed:
            assert self.contracts.pop(contract.service_id).service_number == contract.service_number
        for contract in delta.services_changed:
            known = self.contracts.get(contract.service_id, contract)
            assert known.service_number == contract.service_number
            self.contracts[contract.service_id] = contract


class FollowerMachine(ObjectMachine):
    """Compares three nodes: by every step, by snapshots, and newly loaded after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.steady, self.late = Node(), Node()
        self.store: dict[str, StoredObject] = {}
        self.revision = 0
        self.watch_is_broken = False

    def write(self, key: str, value: dict[str, Any] | None) -> None:
        self.revision += 1
        before = self.store.get(key)
        created = self.revision if before is None else before.created_revision
        change = StoredObject(key, value, self.revision, created)
        if value is None:
            self.store.pop(key, None)
        else:
            self.store[key] = change
        if not self.watch_is_broken:
            self.take(ReplicatedChange(self.steady.applied.revision, self.revision, (change,)))

    def take(self, step: ReplicatedChange) -> None:
        self.steady.applied.apply(step)
        self.steady.catch_up()

    @rule()
    def break_watch(self) -> None:
        self.watch_is_broken = True

    @rule()
    def list_store(self) -> None:
        self.revision += 1
        self.watch_is_broken = False
        self.take(self.steady.applied.state.difference(self.revision, self.store.values()))

    @rule()
    def load_snapshot(self) -> None:
        data = self.steady.applied.state.encode()
        state = ConfigurationState.decode(data, snapshot_digest(data))
        if state.revision > self.late.applied.revision:
            self.late.applied.load(state)
            self.late.catch_up()

    @rule(scope=st.sampled_from(SCOPES), value=st.sampled_from([None, "never", 3]))
    def settings(self, scope: str, value: object) -> None:
        values = {"values": {"request.repeat": value}}
        self.write(f"settings/{scope}", None if value is None else values)

    @invariant()
    def all_nodes_agree(self) -> None:
        state = self.steady.applied.state
        histories = {
            name: read_generations(history) for name, history in state.backend_histories.items()
        }
        loaded = Configuration.load(state.objects.values(), histories)
        assert_same(loaded, self.steady.follower.configuration)
        if self.late.applied.revision == self.steady.applied.revision:
            assert_same(loaded, self.late.follower.configuration)

    @invariant()
    def deltas_are_complete(self) -> None:
        for node in (self.steady, self.late):
            assert node.contracts == node.follower.configuration.services


def assert_same(one: Configuration, other: Configuration) -> None:
    assert one.services == other.services, f"{one.services} != {other.services}"
    assert one.tenants == other.tenants, f"{one.tenants} != {other.tenants}"
    problems = set(map(str, one.problems)), set(map(str, other.problems))
    assert problems[0] == problems[1], problems


class ConfigurationFollowerTest(unittest.TestCase):
    def test_snapshot_brings_generations_of_a_backend_that_came_and_went(self) -> None:
        machine = FollowerMachine()
        machine.tenant("t", True)
        machine.service("t/s", "10.0.0.1")
        machine.backend("t/s", "1", "127.0.0.1:1")
        machine.load_snapshot()
        machine.backend("t/s", "2", "127.0.0.1:2")
        machine.backend("t/s", "2", None)
        machine.load_snapshot()
        generations = machine.late.follower.configuration.services["t/s"].generations
        self.assertEqual([made.revision for made in generations], [3, 4, 5])
        machine.all_nodes_agree()

    def test_service_without_backends_has_its_own_revision(self) -> None:
        machine = FollowerMachine()
        machine.service("t/s", "10.0.0.1")
        machine.tenant("t", True)
        machine.service("t/s", "10.0.0.2")
        machine.load_snapshot()
        machine.all_nodes_agree()

    def test_nodes_agree(self) -> None:
        run_state_machine_as_test(
            FollowerMachine,
            settings=settings(
                derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
            ),
        )
