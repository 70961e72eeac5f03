"""The tree of settings: scopes, overrides, and inheritance from global to tenant to service."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from beamloom.settings.declarations import (
    DECLARATIONS,
    SettingDeclaration,
    SettingLevel,
    SettingValue,
)
from beamloom.settings.errors import InvalidScopeError
from beamloom.settings.validation import find_declaration

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
"""Names of tenants, services, backends and zones."""

SETTINGS_PREFIX = "settings/"
DEFAULT_LEVEL = "default"
_REMEDY = "give global, tenant/T or tenant/T/service/S"


@dataclass(frozen=True, slots=True)
class Scope:
    """A place in the tree: global (no names), a tenant, or a service of a tenant."""

    tenant: str | None = None
    service: str | None = None

    @property
    def level(self) -> SettingLevel:
        """The scope's level."""
        if self.service is not None:
            return SettingLevel.SERVICE
        return SettingLevel.GLOBAL if self.tenant is None else SettingLevel.TENANT

    @property
    def object_key(self) -> str:
        """The key of the stored object that holds the scope's overrides."""
        if self.service is not None:
            return f"{SETTINGS_PREFIX}service/{self.tenant}/{self.service}"
        if self.tenant is not None:
            return f"{SETTINGS_PREFIX}tenant/{self.tenant}"
        return f"{SETTINGS_PREFIX}global"

    @property
    def owner_key(self) -> str | None:
        """The key of the tenant or service object itself; None for global."""
        if self.service is not None:
            return f"service/{self.tenant}/{self.service}"
        return None if self.tenant is None else f"tenant/{self.tenant}"

    @property
    def parent(self) -> Scope | None:
        """The scope from which this one inherits; None for global."""
        if self.service is not None:
            return Scope(self.tenant)
        return None if self.tenant is None else Scope()

    def path(self) -> Iterator[Scope]:
        """Yield this scope and its ancestors, nearest first."""
        scope: Scope | None = self
        while scope is not None:
            yield scope
            scope = scope.parent

    def __str__(self) -> str:
        """Return the scope as operators write it."""
        if self.service is not None:
            return f"tenant/{self.tenant}/service/{self.service}"
        return "global" if self.tenant is None else f"tenant/{self.tenant}"

    @classmethod
    def parse(cls, text: str) -> Scope:
        """Parse `global`, `tenant/T` or `tenant/T/service/S`; raises InvalidScopeError."""
        match text.split("/"):
            case ["global"]:
                return cls()
            case ["tenant", tenant] if is_name(tenant):
                return cls(tenant)
            case ["tenant", tenant, "service", service] if is_name(tenant) and is_name(service):
                return cls(tenant, service)
        raise InvalidScopeError(f"{text!r} is not a scope", _REMEDY)

    @classmethod
    def from_object_key(cls, key: str) -> Scope:
        """Parse the key of a stored settings object; raises InvalidScopeError."""
        match key.split("/"):
            case ["settings", "global"]:
                return cls()
            case ["settings", "tenant", tenant] if is_name(tenant):
                return cls(tenant)
            case ["settings", "service", tenant, service] if is_name(tenant) and is_name(service):
                return cls(tenant, service)
        raise InvalidScopeError(f"{key!r} is not the key of a settings object", _REMEDY)


GLOBAL_SCOPE = Scope()


@dataclass(frozen=True, slots=True)
class EffectiveSetting:
    """A value in force and its origin.

    `level` is global, tenant, service or default. `scope_key` is the key of the stored object that
    sets the value, `since_revision` the object's revision; a default has an empty key and 0.
    """

    value: SettingValue
    level: str
    scope_key: str
    since_revision: int


@dataclass(frozen=True, slots=True)
class ScopeOverrides:
    """The checked overrides of one scope, as of the stored object's revision."""

    values: Mapping[str, SettingValue]
    revision: int


@dataclass(frozen=True, slots=True)
class TreeNode:
    """One scope for display: its own overrides and the scopes beneath it."""

    scope: Scope
    overrides: Mapping[str, SettingValue]
    children: tuple[TreeNode, ...]


@dataclass(slots=True)
class SettingsTree:
    """Overrides of every scope; a setting that no scope overrides has its declared default."""

    _overrides: dict[Scope, ScopeOverrides] = field(default_factory=dict)

    def replace(self, scope: Scope, values: Mapping[str, SettingValue], revision: int) -> None:
        """Replace all overrides of a scope; the values must have been checked."""
        self._overrides[scope] = ScopeOverrides(dict(values), revision)

    def remove(self, scope: Scope) -> None:
        """Remove a scope's overrides; unknown scopes are ignored."""
        self._overrides.pop(scope, None)

    def overrides(self, scope: Scope) -> Mapping[str, SettingValue]:
        """Return the values that a scope sets itself."""
        found = self._overrides.get(scope)
        return {} if found is None else found.values

    def revision(self, scope: Scope) -> int:
        """Return the highest revision among a scope's and its ancestors' overrides, or 0."""
        found = (self._overrides.get(ancestor) for ancestor in scope.path())
        return max((overrides.revision for overrides in found if overrides is not None), default=0)

    def effective(self, scope: Scope, name: str) -> EffectiveSetting:
        """Return the value of a setting in force at a scope.

        Raises UnknownSettingError, or WrongLevelError if the setting does not exist at that level.
        """
        declaration = find_declaration(name)
        declaration.require_level(scope.level)
        for ancestor in scope.path():
            overrides = self._overrides.get(ancestor)
            if overrides is not None and name in overrides.values:
                value = overrides.values[name]
                level = ancestor.level.value
                return EffectiveSetting(value, level, ancestor.object_key, overrides.revision)
        return EffectiveSetting(declaration.default, DEFAULT_LEVEL, "", 0)

    def effective_values(self, scope: Scope) -> dict[str, SettingValue]:
        """Return the values in force at a scope by name, without those that no scope sets."""
        values: dict[str, SettingValue] = {}
        for ancestor in reversed(list(scope.path())):
            values.update(self.overrides(ancestor))
        return values

    def render(self) -> TreeNode:
        """Return the whole tree for display, children in the order of their names."""
        return self._render(GLOBAL_SCOPE)

    def _render(self, scope: Scope) -> TreeNode:
        children = tuple(self._render(child) for child in self._children(scope))
        return TreeNode(scope, self.overrides(scope), children)

    def _children(self, scope: Scope) -> list[Scope]:
        known = {ancestor for leaf in self._overrides for ancestor in leaf.path()}
        return sorted((child for child in known if child.parent == scope), key=str)


def settings_at(level: SettingLevel) -> list[SettingDeclaration]:
    """Return the declarations of the settings that can be set at a level."""
    return [declaration for declaration in DECLARATIONS.values() if level in declaration.levels]


def is_name(text: str) -> bool:
    """Whether a text is a valid name of a tenant, service, backend or zone."""
    return NAME_PATTERN.fullmatch(text) is not None
