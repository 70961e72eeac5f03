"""Checks the effective settings of a configuration against a dict of overrides."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from beamloom.fuzzing.errors import InvariantViolationError
from beamloom.protocol.events import StoredObject
from beamloom.settings.configuration import Configuration
from beamloom.settings.declarations import DECLARATIONS, SettingDeclaration, SettingType
from beamloom.settings.tree import Scope

SCOPES = (Scope(), Scope("a"), Scope("b"), Scope("a", "one"), Scope("a", "two"), Scope("b", "one"))
NAMES = tuple(sorted(DECLARATIONS))


class SettingsSubject:
    """Writes and deletes overrides, and checks all effective values after each change."""

    def __init__(self) -> None:
        self._configuration = Configuration()
        self._stored: dict[Scope, dict[str, Any]] = {}
        self._created: dict[Scope, int] = {}
        self._revisions: dict[Scope, int] = {}
        self._revision = 0

    @property
    def actions(self) -> Mapping[str, Callable[..., object]]:
        """Changes by operators, and the delivery of an outdated change."""
        return {
            "set_value": self._set_value,
            "clear_value": self._clear_value,
            "delete_scope": self._delete_scope,
            "repeat_old_change": self._repeat_old_change,
        }

    def finish(self) -> None:
        """Load the stored objects as a snapshot and check that it yields the same values."""
        objects = [
            StoredObject(
                scope.object_key,
                {"values": dict(values)},
                self._revisions[scope],
                self._created[scope],
            )
            for scope, values in self._stored.items()
        ]
        self._compare(Configuration.load(objects), "after loading a snapshot")

    def _set_value(self, scope: int, override: tuple[int, object]) -> None:
        name, value = override
        values = dict(self._stored.get(SCOPES[scope], {}))
        values[NAMES[name]] = value
        self._write(SCOPES[scope], values)

    def _clear_value(self, scope: int, name: int) -> None:
        values = dict(self._stored.get(SCOPES[scope], {}))
        values.pop(NAMES[name], None)
        self._write(SCOPES[scope], values)

    def _delete_scope(self, scope: int) -> None:
        if SCOPES[scope] in self._stored:
            self._write(SCOPES[scope], None)

    def _repeat_old_change(self, scope: int, override: tuple[int, object]) -> None:
        """Apply a change that is older than the latest one; it must be ignored."""
        name, value = override
        if self._revision > 1:
            values = {"values": {NAMES[name]: value}}
            change = StoredObject(SCOPES[scope].object_key, values, self._revision - 1, 1)
            self._configuration.apply(change)
            self._compare(self._configuration, "after an old change")

    def _write(self, scope: Scope, values: dict[str, Any] | None) -> None:
        self._revision += 1
        self._revisions[scope] = self._revision
        created = self._created.setdefault(scope, self._revision)
        if values is None:
            del self._stored[scope], self._created[scope]
        else:
            self._stored[scope] = values
        value = None if values is None else {"values": dict(values)}
        self._configuration.apply(StoredObject(scope.object_key, value, self._revision, created))
        self._compare(self._configuration, f"after revision {self._revision}")

    def _compare(self, configuration: Configuration, when: str) -> None:
        for scope in SCOPES:
            for name in NAMES:
                declaration = DECLARATIONS[name]
                if scope.level in declaration.levels:
                    found = configuration.effective_setting(scope, name)
                    expected = self._expected(scope, declaration)
                    if (found.value, found.since_revision) != expected:
                        raise InvariantViolationError(
                            f"{when}, {name} at {scope}: expected {expected!r}, "
                            f"found {(found.value, found.since_revision)!r}"
                        )

    def _expected(self, scope: Scope, declaration: SettingDeclaration) -> tuple[object, int]:
        """Return the value and revision of the nearest valid override, or the default and 0."""
        for ancestor in (scope, *_parents(scope)):
            values = self._stored.get(ancestor, {})
            if ancestor.level in declaration.levels and declaration.name in values:
                value = values[declaration.name]
                if _is_valid(declaration, value):
                    return value, self._revisions[ancestor]
        return declaration.default, 0


def _parents(scope: Scope) -> tuple[Scope, ...]:
    if scope.service is not None:
        return Scope(scope.tenant), Scope()
    return (Scope(),) if scope.tenant is not None else ()


def _is_valid(declaration: SettingDeclaration, value: object) -> bool:
    """Whether a value has the declared type and bounds, without use of the code under test."""
    match declaration.value_type:
        case SettingType.BOOLEAN:
            return isinstance(value, bool)
        case SettingType.CHOICE:
            return isinstance(value, str) and value in declaration.choices
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if declaration.value_type is SettingType.INTEGER and not isinstance(value, int):
        return False
    return math.isfinite(value) and declaration.minimum <= value <= declaration.maximum
