"""Faults of settings files, with their place, cause and remedy."""

from __future__ import annotations

import difflib
from collections.abc import Iterable

from beamloom.settings.errors import SettingsError

UNIT_SUFFIXES = (
    "_bytes_per_second",
    "_kilobytes_per_second",
    "_bits_per_second",
    "_milliseconds",
    "_microseconds",
    "_seconds",
    "_minutes",
    "_hours",
    "_ms",
    "_bytes",
    "_kilobytes",
    "_kb",
)
"""Suffixes of keys that name a unit, including some that no key uses."""


class SettingsFileError(SettingsError):
    """One fault of a settings file; `line` counts from 1 and is 0 if the fault has no line."""

    def __init__(self, line: int, key: str, reason: str, remedy: str) -> None:
        super().__init__(reason, remedy)
        self.line = line
        self.key = key

    def __str__(self) -> str:
        """Return one line for operators."""
        place = f"line {self.line}: " if self.line else ""
        key = f"{self.key}: " if self.key else ""
        return f"{place}{key}{self.reason}: {self.remedy}"


def unknown_key_remedy(key: str, known: Iterable[str]) -> str:
    """Return the remedy for an unknown key; if only its unit is wrong, the right unit."""
    names = sorted(known)
    stem, suffix = split_unit(key)
    for name in names:
        known_stem, known_suffix = split_unit(name)
        if known_suffix and known_stem == stem and known_suffix != suffix:
            return f"give the value in {unit_words(known_suffix)} as {name}"
    nearest = difflib.get_close_matches(key, names, n=1)
    return f"did you mean {nearest[0]}?" if nearest else f"remove it; known: {', '.join(names)}"


def split_unit(key: str) -> tuple[str, str]:
    """Return a key without the suffix of its unit, and the suffix or an empty string."""
    for suffix in sorted(UNIT_SUFFIXES, key=len, reverse=True):
        if key.endswith(suffix):
            return key.removesuffix(suffix), suffix
    return key, ""


def unit_words(suffix: str) -> str:
    """Return the suffix of a unit in words."""
    return suffix.strip("_").replace("_", " ")
