"""Compilation of stored objects into the contracts in force, one change at a time.

What is compiled is a function of the objects that exist and of the generations that each service
had, never of the way by which a node learnt them, so that every node has the same contracts. An
object that cannot be used is left out and reported in `problems`; nothing raises out of `apply`.
A backend whose object became unusable stays as it last was, since the generations hold it.
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
    orphaned_backend,
    refused_service,
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
from beamloom.settings.validation import split_values

__all__ = ["Configuration", "ConfigurationDelta", "ConfigurationProblem"]


@dataclass(frozen=True, slots=True)
class _Affected:
    """Names of what a change may alter; `regenerated` services may need a new generation."""

    services: Iterable[str] = ()
    tenants: Iterable[str] = ()
    regenerated: Iterable[str] = ()


@dataclass(slots=True)
class Configuration:
    """Contracts in force; a service is named `T/S`, its key after `service/`."""

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
        """The services in force by their virtual IP, protocol and port."""
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
        """The generations of every service object, also of those not in force, for `load`."""
        return {name: record.generations for name, record in self._records.items()}

    @property
    def problems(self) -> tuple[ConfigurationProblem, ...]:
        """What is stored and not in force, in the order of the keys."""
        found = [problem for problems in self._problems.values() for problem in problems]
        found.extend(self._refused_services())
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
            configuration._take(stored)
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
        """Take one change in and return what it altered; changes come in the order of revisions.

        A change older than one already applied is ignored, so that nothing goes back.
        """
        if change.revision < self.revision:
            return ConfigurationDelta()
        self.revision = change.revision
        affected = self._take(change)
        for name in affected.regenerated:
            backends = self._backends.get(name, {}).values()
            self._records[name].update_generation(backends, change.revision)
        return self._refresh(affected)

    def apply_batch(
        self, changes: Iterable[StoredObject], histories: Mapping[str, Sequence[Generation]]
    ) -> ConfigurationDelta:
        """Take several changes in at once, in order, and compile what they altered once.

        `histories` holds the generations, by `T/S`, of each service that may have others than
        before; they come from the replica, so that nodes which saw other batches have the same.
        """
        services, tenants, regenerated = set[str](), set[str](), set(histories)
        for change in changes:
            self.revision = max(self.revision, change.revision)
            affected = self._take(change)
            services.update(affected.services)
            tenants.update(affected.tenants)
            regenerated.update(affected.regenerated)
        regenerated &= self._records.keys()
        for name in regenerated:
            self._adopt_generations(name, histories.get(name, ()))
        return self._refresh(_Affected(services | regenerated, tenants))

    def _adopt_generations(self, name: str, known: Sequence[Generation]) -> None:
        """Give a service known generations; one without any has a single one."""
        record = self._records[name]
        record.generations = tuple(known)
        if not known:
            backends = self._backends.get(name, {}).values()
            record.update_generation(backends, _oldest_possible_revision(record, backends))

    def _take(self, change: StoredObject) -> _Affected:
        """Enter one object, or its deletion, and return what must be compiled anew."""
        self._problems.pop(change.key, None)
        try:
            key = ObjectKey.parse(change.key)
            if key.kind is ObjectKind.SETTINGS:
                return self._take_settings(Scope.from_object_key(change.key), change)
        except SettingsError as error:
            self._report(change, error)
            return _Affected()
        match key.kind:
            case ObjectKind.TENANT:
                return self._take_tenant(key.names[0], change)
            case ObjectKind.SERVICE:
                return self._take_service("/".join(key.names), change)
            case ObjectKind.BACKEND:
                return self._take_backend("/".join(key.names[:2]), key.names[2], change)
        return _Affected()

    def _take_tenant(self, tenant: str, change: StoredObject) -> _Affected:
        if change.value is None:
            self._tenants_created.pop(tenant, None)
        else:
            self._tenants_created[tenant] = change.created_revision
        return _Affected(self._services_of.get(tenant, ()), (tenant,))

    def _take_service(self, name: str, change: StoredObject) -> _Affected:
        record = self._records.get(name)
        competitors: set[str] = set()
        if record is not None and _is_replaced(record.stored, change):
            competitors = self._forget_service(name, record)
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
            self._report(change, error)
        return _Affected({name, *competitors}, regenerated=(name,))

    def _forget_service(self, name: str, record: ServiceRecord) -> set[str]:
        """Forget a service object and return the services that may take over its address."""
        del self._records[name]
        self._services_of[_tenant_of(name)].discard(name)
        siblings = self._backends.get(name, {})
        for backend_id in list(siblings):
            if f"backend/{name}/{backend_id}" in self._problems:
                del siblings[backend_id]
        return self._claims.move(name, record, None)

    def _take_backend(self, name: str, backend_id: str, change: StoredObject) -> _Affected:
        record = self._records.get(name)
        siblings = self._backends.setdefault(name, {})
        siblings.pop(backend_id, None)
        if change.value is not None:
            try:
                siblings[backend_id] = read_backend(change)
            except SettingsError as error:
                self._report(change, error)
                number = change.created_revision
                last = None if record is None else record.last_known(backend_id, number)
                if last is not None:
                    siblings[backend_id] = last
        return _Affected() if record is None else _Affected((name,), regenerated=(name,))

    def _take_settings(self, scope: Scope, change: StoredObject) -> _Affected:
        if change.value is None:
            self._tree.remove(scope)
        else:
            try:
                good, errors = split_values(scope.level, read_setting_values(change))
            except SettingsError as error:
                good, errors = {}, (error,)
            self._tree.replace(scope, good, change.revision)
            self._report(change, *errors)
        if scope.tenant is None:
            return _Affected(self._records, self._tenants_created)
        if scope.service is not None:
            return _Affected((f"{scope.tenant}/{scope.service}",))
        return _Affected(self._services_of.get(scope.tenant, ()), (scope.tenant,))

    def _report(self, change: StoredObject, *errors: SettingsError) -> None:
        if errors:
            found = (ConfigurationProblem(change.key, change.revision, error) for error in errors)
            self._problems[change.key] = tuple(found)

    def _refresh(self, affected: _Affected) -> ConfigurationDelta:
        """Compile what is affected, and whoever gains or loses an address by it."""
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
            tuple(old for name, old in before.items() if old and _is_gone(old, after[name])),
            *tenants,
        )

    def _refresh_tenants(
        self, tenants: Iterable[str]
    ) -> tuple[tuple[TenantContract, ...], tuple[TenantContract, ...]]:
        """Compile tenants; return those changed and those removed."""
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
        claimed = max(record.stored.revision, tenant_created)
        return self._claims.move(name, record, record.address, claimed)

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

    def _refused_services(self) -> Iterator[ConfigurationProblem]:
        for name, record in self._records.items():
            if record.address is not None and name not in self._contracts:
                holder = None if record.claim is None else self._claims.holder(record.claim)
                yield refused_service(name, record, holder)

    def _orphaned_backends(self) -> Iterator[ConfigurationProblem]:
        for name in self._backends.keys() - self._records.keys():
            for backend in self._backends[name].values():
                yield orphaned_backend(name, backend)


def _oldest_possible_revision(record: ServiceRecord, backends: Iterable[Backend]) -> int:
    """Return a revision for a generation whose true one is not known; numbers are revisions."""
    numbers = (backend.backend_number for backend in backends)
    return max(record.stored.created_revision, *numbers, 0)


def _tenant_of(name: str) -> str:
    return name.split("/", 1)[0]


def _is_replaced(stored: StoredObject, change: StoredObject) -> bool:
    return change.value is None or stored.created_revision != change.created_revision


def _is_gone(old: ServiceContract, new: ServiceContract | None) -> bool:
    """Whether a service left, or was created anew under another number."""
    return new is None or new.service_number != old.service_number
