"""Errors of the settings tree and of stored objects; each message names the remedy."""

from __future__ import annotations


class SettingsError(Exception):
    """Base of the errors of settings: the cause (`reason`) and what to do (`remedy`)."""

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"{reason}: {remedy}")
        self.reason = reason
        self.remedy = remedy


class UnknownSettingError(SettingsError):
    """The name is not that of a setting of this version."""


class WrongTypeError(SettingsError):
    """The value is not of the setting's type."""


class OutOfBoundsError(SettingsError):
    """The value is outside the setting's bounds or not one of its choices."""


class WrongLevelError(SettingsError):
    """The setting cannot be set at that level of the tree."""


class InvalidScopeError(SettingsError):
    """The text is not a scope of the settings tree."""


class UnknownObjectKeyError(SettingsError):
    """The key of a stored object is malformed or of a kind that this version does not know."""


class MalformedObjectError(SettingsError):
    """A stored object lacks a field, or its value or a field cannot be read."""


class MissingParentError(SettingsError):
    """The tenant or service of a stored object does not exist."""


class DuplicateVirtualAddressError(SettingsError):
    """A service with an earlier claim holds the virtual IP, protocol and port."""
