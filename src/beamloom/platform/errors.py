"""What can be wrong with what the platform hands over."""

from __future__ import annotations


class PlatformFormatError(ValueError):
    """Something of the platform's is not as its pages say; the text names the field and remedy."""


class PlatformSettingsError(PlatformFormatError):
    """The settings file of the process cannot be used."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(
            f"settings file {path}: {reason}; correct the file, the former settings stay in force"
        )
