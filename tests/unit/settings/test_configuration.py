"""Stored objects are compiled to contracts; unusable ones are reported without side effects."""

import unittest
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test

from beamloom.model.addresses import TransportProtocol, VirtualAddress
from beamloom.model.contracts import PlacementPreference, ServiceContract
from beamloom.protocol.events import StoredObject
from beamloom.settings.configuration import Configuration, ConfigurationDelta
from beamloom.settings.errors import (
    DuplicateVirtualAddressError,
    MalformedObjectError,
    MissingParentError,
    UnknownObjectKeyError,
    UnknownSettingError,
    WrongLevelError,
)
from beamloom.settings.service_records import GENERATIONS_KEPT
from beamloom.settings.tree import Scope
from tests.unit.settings.object_rules import SCOPES, ObjectMachine
from tests.unit.settings.objects import backend, service, stored, values


def applied(*changes: StoredObject) -> Configuration:
    configuration = Configuration()
    for change in changes:
        configuration.apply(change)
    return configuration


def error_types(configuration: Configuration) -> list[type[Exception]]:
    return [type(problem.error) for problem in configuration.problems]


class ConfigurationTest(unittest.TestCase):
    def test_duplicate_address_stays_with_the_earlier_service(self) -> None:
        older, newer = service("b/old", 3), service("a/new", 4)
        tenants = stored("tenant/a", {}, 1), stored("tenant/b", {}, 2)
        configuration = applied(*tenants, older, newer)
        self.assertEqual(list(configuration.services), ["b/old"])
        self.assertEqual(error_types(configuration), [DuplicateVirtualAddressError])
        delta = configuration.apply(stored("service/b/old", None, 5, created=3))
        self.assertEqual([gone.service_id for gone in delta.services_removed], ["b/old"])
        self.assertEqual([new.service_id for new in delta.services_changed], ["a/new"])
        self.assertEqual(configuration.problems, ())

    def test_older_service_that_moves_to_another_tenants_address_does_not_get_it(self) -> None:
        tenants = stored("tenant/a", {}, 1), stored("tenant/b", {}, 2)
        moved = stored("service/a/old", service("a/old", 5).value, 5, created=3)
        objects = (*tenants, service("a/old", 3, ip="10.0.0.2"), service("b/young", 4))
        configuration = applied(*objects)
        delta = configuration.apply(moved)
        self.assertEqual([gone.service_id for gone in delta.services_removed], ["a/old"])
        loaded = Configuration.load((*tenants, objects[3], moved))
        contested = VirtualAddress("10.0.0.1", TransportProtocol.TCP, 80)
        for found in (configuration, loaded):
            self.assertEqual(found.by_virtual_address[contested].service_id, "b/young")
            self.assertIn("belongs to service b/young", str(found.problems[0]))

    def test_service_of_a_recreated_tenant_does_not_take_its_address_back(self) -> None:
        first = stored("tenant/a", {}, 1), service("a/s", 2), stored("tenant/b", {}, 3)
        deleted, second = stored("tenant/a", None, 4, created=1), service("b/s", 5)
        returned = stored("tenant/a", {}, 6)
        configuration = applied(*first, deleted, second, returned)
        loaded = Configuration.load((first[1], first[2], second, returned))
        unseen = applied(*first, second, returned)
        for found in (configuration, loaded, unseen):
            self.assertEqual(list(found.services), ["b/s"])

    def test_service_without_tenant_is_not_in_force_until_the_tenant_exists(self) -> None:
        configuration = applied(service("t/s", 1), backend("t/s/b", 2))
        self.assertEqual(error_types(configuration), [MissingParentError])
        delta = configuration.apply(stored("tenant/t", {}, 3))
        self.assertEqual(len(delta.services_changed), 1)
        self.assertEqual([made.revision for made in delta.services_changed[0].generations], [1, 2])

    def test_malformed_backend_keeps_its_last_usable_version(self) -> None:
        good = (stored("tenant/t", {}, 1), service("t/s", 2), backend("t/s/b", 3))
        bad = backend("t/s/b", 4, address="nowhere", created=3)
        configuration = applied(*good, bad)
        self.assertEqual(error_types(configuration), [MalformedObjectError])
        self.assertEqual(configuration.services["t/s"].backends[0].backend_number, 3)
        recreated = applied(*good, bad, stored("backend/t/s/b", None, 5, 3))
        recreated.apply(backend("t/s/b", 6, address="nowhere"))
        self.assertEqual(recreated.services["t/s"].backends, ())

    def test_service_recreated_without_a_seen_deletion_loses_its_address_to_an_older_claim(
        self,
    ) -> None:
        tenant = stored("tenant/t", {}, 1)
        configuration = applied(tenant, service("t/a", 2), service("t/b", 3))
        delta = configuration.apply(service("t/a", 6))
        self.assertEqual([new.service_id for new in delta.services_changed], ["t/b"])
        self.assertEqual([old.service_number for old in delta.services_removed], [2])

    def test_service_recreated_without_a_seen_deletion_is_removed_and_added(self) -> None:
        configuration = applied(stored("tenant/t", {}, 1), service("t/a", 2))
        delta = configuration.apply(service("t/a", 6))
        self.assertEqual([old.service_number for old in delta.services_removed], [2])
        self.assertEqual([new.service_number for new in delta.services_changed], [6])

    def test_unusable_objects_are_reported_with_a_remedy(self) -> None:
        for change, expected in (
            (service("t/s", 2, ip="10.0.0"), MalformedObjectError),
            (service("t/s", 2, port=0), MalformedObjectError),
            (service("t/s", 2, port=True), MalformedObjectError),
            (stored("service/t/s", {"ip": "10.0.0.1", "port": 80}, 2), MalformedObjectError),
            (stored("service/t/s", 7, 2), MalformedObjectError),
            (stored("service/t", {}, 2), UnknownObjectKeyError),
            (stored("quota/t", {}, 2), UnknownObjectKeyError),
            (backend("t/s/b", 2), MissingParentError),
            (backend("t/s/b", 2, address="127.0.0.1:70000"), MalformedObjectError),
            (values("global", 2, flow__lifetime=3), UnknownSettingError),
            (values("service/t/s", 2, limit__open_flows=3), WrongLevelError),
            (stored("settings/global", {"values": 3}, 2), MalformedObjectError),
            (stored("settings/everything", {"values": {}}, 2), Exception),
        ):
            with self.subTest(key=change.key, value=change.value):
                configuration = applied(stored("tenant/t", {}, 1), change)
                self.assertEqual(dict(configuration.services), {})
                self.assertEqual(len(configuration.problems), 1)
                self.assertIsInstance(configuration.problems[0].error, expected)
                self.assertTrue(configuration.problems[0].error.remedy)

    def test_one_bad_value_leaves_the_others_in_force(self) -> None:
        change = values("tenant/t", 3, placement__prefer="balance", flow__idle_timeout=-1)
        configuration = applied(stored("tenant/t", {}, 1), service("t/s", 2), change)
        policy = configuration.services["t/s"].policy
        self.assertEqual(policy.placement_prefer, PlacementPreference.BALANCE)
        self.assertEqual(policy.flow_idle_timeout, 3600.0)
        self.assertEqual(len(configuration.problems), 1)

    def test_older_change_is_ignored(self) -> None:
        configuration = applied(stored("tenant/t", {}, 1), service("t/s", 5))
        self.assertEqual(
            configuration.apply(service("t/s", 4, ip="10.9.9.9")), ConfigurationDelta()
        )
        self.assertEqual(configuration.services["t/s"].virtual_address.ip, "10.0.0.1")

    def test_keeps_the_last_generations(self) -> None:
        configuration = applied(stored("tenant/t", {}, 1), service("t/s", 2))
        for revision in range(3, 40):
            configuration.apply(backend("t/s/b", revision, f"127.0.0.1:{revision}", created=3))
        generations = configuration.services["t/s"].generations
        self.assertEqual(len(generations), GENERATIONS_KEPT)
        self.assertEqual(generations[-1].revision, 39)

    def test_unchanged_backends_create_no_generation(self) -> None:
        configuration = applied(stored("tenant/t", {}, 1), service("t/s", 2), backend("t/s/b", 3))
        delta = configuration.apply(backend("t/s/b", 4, created=3))
        self.assertEqual(delta, ConfigurationDelta())

    def test_limits_reach_tenants_and_only_changed_ones_are_reported(self) -> None:
        configuration = applied(stored("tenant/t", {}, 1), stored("tenant/u", {}, 2))
        delta = configuration.apply(values("tenant/t", 3, limit__open_flows=10))
        self.assertEqual([changed.tenant for changed in delta.tenants_changed], ["t"])
        self.assertEqual(configuration.tenants["t"].limits.open_flows, 10)
        origin = configuration.effective_setting(Scope("t"), "limit.open_flows")
        self.assertEqual(
            (origin.value, origin.scope_key, origin.since_revision), (10, "settings/tenant/t", 3)
        )


class ConfigurationMachine(ObjectMachine):
    """Applies arbitrary changes; loading a snapshot with histories must give the same contracts."""

    def __init__(self) -> None:
        super().__init__()
        self.configuration = Configuration()
        self.store: dict[str, StoredObject] = {}
        self.deltas: dict[str, Any] = {}
        self.revision = 0

    def write(self, key: str, value: object) -> None:
        self.revision += 1
        before = self.store.get(key)
        in_force = dict(self.configuration.by_virtual_address)
        created = self.revision if before is None else before.created_revision
        change = StoredObject(key, value, self.revision, created)
        delta = self.configuration.apply(change)
        for contract in delta.services_removed:
            del self.deltas[contract.service_id]
        for contract in delta.services_changed:
            self.deltas[contract.service_id] = contract
        if value is None:
            self.store.pop(key, None)
        else:
            self.store[key] = change
        self.assert_holders_stay(key, in_force)

    def assert_holders_stay(self, key: str, before: dict[VirtualAddress, ServiceContract]) -> None:
        """A write to another service or tenant must not take an address from a service."""
        for address, contract in before.items():
            own = f"service/{contract.service_id}", f"tenant/{contract.tenant}"
            if key not in own:
                after = self.configuration.by_virtual_address[address]
                self.assert_equal(after.service_id, contract.service_id)

    @rule(
        scope=st.sampled_from(SCOPES),
        chosen=st.sampled_from(
            [None, {"request.repeat": "never"}, {"request.repeat": 3}, {"x": 1}]
        ),
    )
    def settings(self, scope: str, chosen: dict[str, Any] | None) -> None:
        self.write(f"settings/{scope}", None if chosen is None else {"values": chosen})

    @invariant()
    def snapshot_equals_changes(self) -> None:
        loaded = Configuration.load(self.store.values(), self.configuration.histories)
        self.assert_equal(loaded.services, self.configuration.services)
        self.assert_equal(loaded.by_virtual_address, self.configuration.by_virtual_address)
        self.assert_equal(loaded.tenants, self.configuration.tenants)
        self.assert_equal(loaded.histories, self.configuration.histories)
        self.assert_equal(
            set(map(str, loaded.problems)), set(map(str, self.configuration.problems))
        )

    @invariant()
    def deltas_report_every_change(self) -> None:
        self.assert_equal(self.deltas, self.configuration.services)

    def assert_equal(self, one: object, other: object) -> None:
        assert one == other, f"{one} != {other}"


class ConfigurationPropertyTest(unittest.TestCase):
    def test_snapshot_equals_changes(self) -> None:
        run_state_machine_as_test(
            ConfigurationMachine,
            settings=settings(
                derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
            ),
        )
