"""Errors in the data that the platform provides."""

from __future__ import annotations


class PlatformFormatError(ValueError):
    """The platform's data is not in its documented format; the text says what cannot be read."""


class PlatformSettingsError(PlatformFormatError):
    """The settings file of the process cannot be used."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(
            f"settings file {path}: {reason}; correct the file; a running node keeps its settings"
        )
