"""Compiles stored objects into the contracts in force, one change at a time.

The result depends only on the existing objects and on the generations of each service, not on how a
node received them, so that every node has the same contracts. An unusable object is left out and
reported in `problems`; `apply` does not raise for it. A backend whose object becomes unusable keeps
its last usable version, which is taken from the last generation.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from beamloom.model.addresses import VirtualAddress
from beamloom.model.contracts import Backend, Generation, ServiceContract, TenantContract
from beamloom.protocol.events import StoredObject
from beamloom.settings.configuration_changes import (
    ConfigurationDelta,
    ConfigurationProblem,
    inactive_service_problem,
    orphaned_backend_problem,
)
from beamloom.settings.errors import (
    SettingsError,
)
from beamloom.settings.policies import service_policy, tenant_limits
from beamloom.settings.service_records import AddressClaims, ServiceRecord
from beamloom.settings.stored_objects import (
    ObjectKey,
    ObjectKind,
    parents_first,
    read_backend,
    read_setting_values,
    read_virtual_address,
)
from beamloom.settings.tree import EffectiveSetting, Scope, SettingsTree
from beamloom.settings.validation import partition_values

__all__ = ["Configuration", "ConfigurationDelta", "ConfigurationProblem"]


@dataclass(frozen=True, slots=True)
class _Affected:
    """What a change may alter, by name; `regenerated` services may need a new generation."""

    services: Iterable[str] = ()
    tenants: Iterable[str] = ()
    regenerated: Iterable[str] = ()


@dataclass(slots=True)
class Configuration:
    """Contracts in force; a service is named `T/S`, its key without the prefix `service/`."""

    revision: int = 0
    _tree: SettingsTree = field(default_factory=SettingsTree)
    _contracts: dict[str, ServiceContract] = field(default_factory=dict)
    _tenants_created: dict[str, int] = field(default_factory=dict)
    _tenants: dict[str, TenantContract] = field(default_factory=dict)
    _by_address: dict[VirtualAddress, ServiceContract] = field(default_factory=dict)
    _records: dict[str, ServiceRecord] = field(default_factory=dict)
    _services_of: dict[str, set[str]] = field(default_factory=dict)
    _backends: dict[str, dict[str, Backend]] = field(default_factory=dict)
    _claims: AddressClaims = field(default_factory=AddressClaims)
    _problems: dict[str, tuple[ConfigurationProblem, ...]] = field(default_factory=dict)

    @property
    def services(self) -> Mapping[str, ServiceContract]:
        """The services in force by name `T/S`."""
        return MappingProxyType(self._contracts)

    @property
    def by_virtual_address(self) -> Mapping[VirtualAddress, ServiceContract]:
        """The services in force by virtual address."""
        return MappingProxyType(self._by_address)

    @property
    def tenants(self) -> Mapping[str, TenantContract]:
        """The tenants in force by name."""
        return MappingProxyType(self._tenants)

    @property
    def tree(self) -> SettingsTree:
        """The tree of settings in force."""
        return self._tree

    @property
    def histories(self) -> dict[str, tuple[Generation, ...]]:
        """The generations of every service object, in force or not, as `load` accepts them."""
        return {name: record.generations for name, record in self._records.items()}

    @property
    def problems(self) -> tuple[ConfigurationProblem, ...]:
        """What is stored but not in force, in the order of the keys."""
        found = [problem for problems in self._problems.values() for problem in problems]
        found.extend(self._inactive_services())
        found.extend(self._orphaned_backends())
        return tuple(sorted(found, key=lambda problem: (problem.key, str(problem.error))))

    def effective_setting(self, scope: Scope, name: str) -> EffectiveSetting:
        """Return a setting's value at a scope and where it comes from.

        Raises UnknownSettingError or WrongLevelError.
        """
        return self._tree.effective(scope, name)

    @classmethod
    def load(
        cls,
        objects: Iterable[StoredObject],
        histories: Mapping[str, Sequence[Generation]] | None = None,
    ) -> Configuration:
        """Compile a snapshot; `histories` holds the generations of each service by `T/S`.

        With the `histories` of a node that applied every change, the result equals that node's.
        """
        configuration = cls()
        known = {} if histories is None else histories
        for stored in sorted(objects, key=parents_first):
            configuration._apply_object(stored)
            record = configuration._records.get(stored.key.removeprefix("service/"))
            if record is not None and record.stored is stored:
                record.generations = tuple(known.get(stored.key.removeprefix("service/"), ()))
            configuration.revision = max(configuration.revision, stored.revision)
        for name, record in configuration._records.items():
            backends = configuration._backends.get(name, {}).values()
            record.update_generation(backends, _oldest_possible_revision(record, backends))
        configuration._refresh(_Affected(configuration._records, configuration._tenants_created))
        return configuration

    def apply(self, change: StoredObject) -> ConfigurationDelta:
        """Apply a change and return what it altered; changes must come in the order of revisions.

        A change older than the last one applied is ignored.
        """
        if change.revision < self.revision:
            return ConfigurationDelta()
        self.revision = change.revision
        affected = self._apply_object(change)
        for name in affected.regenerated:
            backends = self._backends.get(name, {}).values()
            self._records[name].update_generation(backends, change.revision)
        return self._refresh(affected)

    def apply_batch(
        self, changes: Iterable[StoredObject], histories: Mapping[str, Sequence[Generation]]
    ) -> ConfigurationDelta:
        """Apply several changes in order, and compile what they altered once.

        `histories` holds the generations, by `T/S`, of each service whose generations may have
        changed; they come from the replica, so that nodes that saw other batches have the same.
        """
        services, tenants, regenerated = set[str](), set[str](), set(histories)
        for change in changes:
            self.revision = max(self.revision, change.revision)
            affected = self._apply_object(change)
            services.update(affected.services)
            tenants.update(affected.tenants)
            regenerated.update(affected.regenerated)
        regenerated &= self._records.keys()
        for name in regenerated:
            self._adopt_generations(name, histories.get(name, ()))
        return self._refresh(_Affected(services | regenerated, tenants))

    def _adopt_generations(self, name: str, known: Sequence[Generation]) -> None:
        """Replace a service's generations; if none are known, a first one is created."""
        record = self._records[name]
        record.generations = tuple(known)
        if not known:
            backends = self._backends.get(name, {}).values()
            record.update_generation(backends, _oldest_possible_revision(record, backends))

    def _apply_object(self, change: StoredObject) -> _Affected:
        """Store one object, or its deletion, and return what must be compiled again."""
        self._problems.pop(change.key, None)
        try:
            key = ObjectKey.parse(change.key)
            if key.kind is ObjectKind.SETTINGS:
                return self._apply_settings(Scope.from_object_key(change.key), change)
        except SettingsError as error:
            self._record_problems(change, error)
            return _Affected()
        match key.kind:
            case ObjectKind.TENANT:
                return self._apply_tenant(key.names[0], change)
            case ObjectKind.SERVICE:
                return self._apply_service("/".join(key.names), change)
            case ObjectKind.BACKEND:
                return self._apply_backend("/".join(key.names[:2]), key.names[2], change)
        return _Affected()

    def _apply_tenant(self, tenant: str, change: StoredObject) -> _Affected:
        if change.value is None:
            self._tenants_created.pop(tenant, None)
        else:
            self._tenants_created[tenant] = change.created_revision
        return _Affected(self._services_of.get(tenant, ()), (tenant,))

    def _apply_service(self, name: str, change: StoredObject) -> _Affected:
        record = self._records.get(name)
        competitors: set[str] = set()
        if record is not None and _ends_object(record.stored, change):
            competitors = self._remove_service(name, record)
            record = None
        if change.value is None:
            return _Affected({name, *competitors})
        if record is None:
            record = self._records[name] = ServiceRecord(change)
            self._services_of.setdefault(_tenant_of(name), set()).add(name)
        record.stored = change
        try:
            record.address = read_virtual_address(change)
        except SettingsError as error:
            record.address = None
            self._record_problems(change, error)
        return _Affected({name, *competitors}, regenerated=(name,))

    def _remove_service(self, name: str, record: ServiceRecord) -> set[str]:
        """Remove a service object; return the services that may take over its address."""
        del self._records[name]
        self._services_of[_tenant_of(name)].discard(name)
        siblings = self._backends.get(name, {})
        for backend_id in list(siblings):
            if f"backend/{name}/{backend_id}" in self._problems:
                del siblings[backend_id]
        return self._claims.move(name, record, None)

    def _apply_backend(self, name: str, backend_id: str, change: StoredObject) -> _Affected:
        record = self._records.get(name)
        siblings = self._backends.setdefault(name, {})
        siblings.pop(backend_id, None)
        if change.value is not None:
            try:
                siblings[backend_id] = read_backend(change)
            except SettingsError as error:
                self._record_problems(change, error)
                number = change.created_revision
                last = None if record is None else record.find_last_known(backend_id, number)
                if last is not None:
                    siblings[backend_id] = last
        return _Affected() if record is None else _Affected((name,), regenerated=(name,))

    def _apply_settings(self, scope: Scope, change: StoredObject) -> _Affected:
        if change.value is None:
            self._tree.remove(scope)
        else:
            try:
                valid, errors = partition_values(scope.level, read_setting_values(change))
            except SettingsError as error:
                valid, errors = {}, (error,)
            self._tree.replace(scope, valid, change.revision)
            self._record_problems(change, *errors)
        if scope.tenant is None:
            return _Affected(self._records, self._tenants_created)
        if scope.service is not None:
            return _Affected((f"{scope.tenant}/{scope.service}",))
        return _Affected(self._services_of.get(scope.tenant, ()), (scope.tenant,))

    def _record_problems(self, change: StoredObject, *errors: SettingsError) -> None:
        if errors:
            found = (ConfigurationProblem(change.key, change.revision, error) for error in errors)
            self._problems[change.key] = tuple(found)

    def _refresh(self, affected: _Affected) -> ConfigurationDelta:
        """Compile what is affected, and each service that gains or loses an address by it."""
        names = set(affected.services)
        for name in affected.services:
            names |= self._refresh_claim(name)
        before = {name: self._contracts.pop(name, None) for name in sorted(names)}
        for contract in before.values():
            if contract is not None:
                del self._by_address[contract.virtual_address]
        after = {name: self._compile(name) for name in before}
        for name, contract in after.items():
            if contract is not None:
                self._contracts[name] = contract
                self._by_address[contract.virtual_address] = contract
        tenants = self._refresh_tenants(affected.tenants)
        return ConfigurationDelta(
            tuple(new for name, new in after.items() if new is not None and new != before[name]),
            tuple(old for name, old in before.items() if old and _is_removed(old, after[name])),
            *tenants,
        )

    def _refresh_tenants(
        self, tenants: Iterable[str]
    ) -> tuple[tuple[TenantContract, ...], tuple[TenantContract, ...]]:
        """Compile tenants; return the changed and the removed ones."""
        changed, removed = [], []
        for tenant in sorted(tenants):
            before = self._tenants.pop(tenant, None)
            if tenant in self._tenants_created:
                contract = TenantContract(tenant, tenant_limits(self._tree, Scope(tenant)))
                self._tenants[tenant] = contract
                if contract != before:
                    changed.append(contract)
            elif before is not None:
                removed.append(before)
        return tuple(changed), tuple(removed)

    def _refresh_claim(self, name: str) -> set[str]:
        record = self._records.get(name)
        if record is None:
            return set()
        tenant_created = self._tenants_created.get(_tenant_of(name))
        if record.address is None or tenant_created is None:
            return self._claims.move(name, record, None)
        claim_revision = max(record.stored.revision, tenant_created)
        return self._claims.move(name, record, record.address, claim_revision)

    def _compile(self, name: str) -> ServiceContract | None:
        record = self._records.get(name)
        if record is None or record.claim is None or self._claims.holder(record.claim) != name:
            return None
        tenant, service = name.split("/")
        scope = Scope(tenant, service)
        newest_setting = self._tree.revision(scope)
        return ServiceContract(
            service_id=name,
            service_number=record.stored.created_revision,
            tenant=tenant,
            virtual_address=record.claim,
            revision=max(record.stored.revision, record.generations[-1].revision, newest_setting),
            policy=service_policy(self._tree, scope),
            generations=record.generations,
        )

    def _inactive_services(self) -> Iterator[ConfigurationProblem]:
        for name, record in self._records.items():
            if record.address is not None and name not in self._contracts:
                holder = None if record.claim is None else self._claims.holder(record.claim)
                yield inactive_service_problem(name, record, holder)

    def _orphaned_backends(self) -> Iterator[ConfigurationProblem]:
        for name in self._backends.keys() - self._records.keys():
            for backend in self._backends[name].values():
                yield orphaned_backend_problem(name, backend)


def _oldest_possible_revision(record: ServiceRecord, backends: Iterable[Backend]) -> int:
    """Return a lower bound of a generation's unknown revision; object numbers are revisions."""
    numbers = (backend.backend_number for backend in backends)
    return max(record.stored.created_revision, *numbers, 0)


def _tenant_of(name: str) -> str:
    return name.split("/", 1)[0]


def _ends_object(stored: StoredObject, change: StoredObject) -> bool:
    return change.value is None or stored.created_revision != change.created_revision


def _is_removed(old: ServiceContract, new: ServiceContract | None) -> bool:
    """Whether a service was removed, or created again under another number."""
    return new is None or new.service_number != old.service_number
