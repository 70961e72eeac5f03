"""Converts the values in force at a scope to a service's policy or a tenant's limits."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from beamloom.model.contracts import (
    PlacementPreference,
    RepeatPolicy,
    ServicePolicy,
    TenantLimits,
)
from beamloom.settings.declarations import DECLARATIONS, SettingValue
from beamloom.settings.tree import Scope, SettingsTree

_ENUMERATIONS: Mapping[str, Callable[[Any], Any]] = {
    "placement.prefer": PlacementPreference,
    "request.repeat": RepeatPolicy,
}


def service_policy(tree: SettingsTree, scope: Scope) -> ServicePolicy:
    """Return the policy in force at the scope of a service."""
    return ServicePolicy(**_fields(tree.effective_values(scope), limits=False))


def tenant_limits(tree: SettingsTree, scope: Scope) -> TenantLimits:
    """Return the limits in force at the scope of a tenant."""
    return TenantLimits(**_fields(tree.effective_values(scope), limits=True))


def _fields(values: Mapping[str, SettingValue], limits: bool) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, value in values.items():
        declaration = DECLARATIONS[name]
        if declaration.is_limit is limits:
            convert = _ENUMERATIONS.get(name)
            fields[declaration.field_name] = value if convert is None else convert(value)
    return fields
