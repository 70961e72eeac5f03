"""Checks of settings by name and level against their declarations."""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from typing import Any

from beamloom.settings.declarations import (
    DECLARATIONS,
    SettingDeclaration,
    SettingLevel,
    SettingValue,
)
from beamloom.settings.errors import SettingsError, UnknownSettingError


def find_declaration(name: str) -> SettingDeclaration:
    """Return a setting's declaration; raises UnknownSettingError, which proposes a similar name."""
    declaration = DECLARATIONS.get(name)
    if declaration is not None:
        return declaration
    nearest = difflib.get_close_matches(name, DECLARATIONS, n=1, cutoff=0.4)
    remedy = f"did you mean {nearest[0]}?" if nearest else "see `beamloom settings tree`"
    raise UnknownSettingError(f"there is no setting {name!r}", remedy)


def check_setting(level: SettingLevel, name: str, value: object) -> SettingValue:
    """Check a value for a setting at a level and return it in the setting's type.

    Raises UnknownSettingError, WrongLevelError, WrongTypeError or OutOfBoundsError.
    """
    declaration = find_declaration(name)
    declaration.require_level(level)
    return declaration.check(value)


def partition_values(
    level: SettingLevel, values: Mapping[str, Any]
) -> tuple[dict[str, SettingValue], tuple[SettingsError, ...]]:
    """Return the valid values of one level, and the errors of the others."""
    valid: dict[str, SettingValue] = {}
    errors: list[SettingsError] = []
    for name, value in values.items():
        try:
            valid[name] = check_setting(level, name, value)
        except SettingsError as error:
            errors.append(error)
    return valid, tuple(errors)
