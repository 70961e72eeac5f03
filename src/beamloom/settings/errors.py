"""Typed errors of the settings tree and of stored objects; each message names the remedy."""

from __future__ import annotations


class SettingsError(Exception):
    """Base of every error of this package: what is wrong (`reason`) and what to do (`remedy`)."""

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"{reason}: {remedy}")
        self.reason = reason
        self.remedy = remedy


class UnknownSettingError(SettingsError):
    """No setting of this version has that name."""


class WrongTypeError(SettingsError):
    """The value is of another type than the setting's."""


class OutOfBoundsError(SettingsError):
    """The value lies outside the setting's bounds, or is none of its choices."""


class WrongLevelError(SettingsError):
    """The setting cannot be set at that level of the tree."""


class InvalidScopeError(SettingsError):
    """The text names no scope of the settings tree."""


class UnknownObjectKeyError(SettingsError):
    """The key of a stored object is of a kind that this version does not know."""


class MalformedObjectError(SettingsError):
    """A stored object lacks a field, or a field cannot be read."""


class MissingParentError(SettingsError):
    """A stored object stands under a tenant or service that does not exist."""


class DuplicateVirtualAddressError(SettingsError):
    """An older service already holds the virtual IP, protocol and port."""
