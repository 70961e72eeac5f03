"""Faults of settings files: where they are, what is wrong and what to do about it."""

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
"""Endings of keys that name a unit, whether or not any key uses them."""


class SettingsFileError(SettingsError):
    """One fault of a settings file; `line` counts from 1 and is 0 where no line is to blame."""

    def __init__(self, line: int, key: str, reason: str, remedy: str) -> None:
        super().__init__(reason, remedy)
        self.line = line
        self.key = key

    def __str__(self) -> str:
        """Return one line for people."""
        place = f"line {self.line}: " if self.line else ""
        key = f"{self.key}: " if self.key else ""
        return f"{place}{key}{self.reason}: {self.remedy}"


def unknown_key_remedy(key: str, known: Iterable[str]) -> str:
    """Return the remedy for a key that does not exist, with the unit where only that is wrong."""
    names = sorted(known)
    stem, suffix = split_unit(key)
    for name in names:
        known_stem, known_suffix = split_unit(name)
        if known_suffix and known_stem == stem and known_suffix != suffix:
            return f"give the value in {unit_words(known_suffix)} as {name}"
    nearest = difflib.get_close_matches(key, names, n=1)
    return f"did you mean {nearest[0]}?" if nearest else f"remove it; known: {', '.join(names)}"


def split_unit(key: str) -> tuple[str, str]:
    """Return a key without its unit, and the unit's suffix or an empty text."""
    for suffix in sorted(UNIT_SUFFIXES, key=len, reverse=True):
        if key.endswith(suffix):
            return key.removesuffix(suffix), suffix
    return key, ""


def unit_words(suffix: str) -> str:
    """Return a unit's suffix as words."""
    return suffix.strip("_").replace("_", " ")
