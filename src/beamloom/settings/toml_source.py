"""A TOML file with the line of each key, for the messages of faults.

`tomllib` parses the file. The lines come from a separate scan of headers and `key =` lines; a key
that the scan does not find, as in an inline table, has the line of the enclosing key or table.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beamloom.settings.file_faults import SettingsFileError

KeyPath = tuple[str | int, ...]
"""The path of a value in a file: keys of tables and indexes of arrays."""

MAXIMUM_FILE_BYTES = 16 * 1024 * 1024

_KEY = r"""[A-Za-z0-9_-]+|"[^"]*"|'[^']*'"""
_DOTTED = rf"(?:{_KEY})(?:\s*\.\s*(?:{_KEY}))*"
_HEADER = re.compile(rf"\s*(\[\[?)\s*({_DOTTED})\s*\]")
_ASSIGNMENT = re.compile(rf"\s*({_DOTTED})\s*=")
_SYNTAX_LINE = re.compile(r"\(at line (\d+)")
_MULTILINE_QUOTES = ('"""', "'''")


@dataclass(frozen=True, slots=True)
class TomlSource:
    """The contents of a TOML file and the line of each key, counted from 1."""

    data: Mapping[str, Any]
    lines: Mapping[KeyPath, int]

    def line_of(self, path: KeyPath) -> int:
        """Return the line of a key, or of its nearest ancestor with a line; 0 if there is none."""
        for length in range(len(path), 0, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return 0


def load_toml(path: Path) -> TomlSource:
    """Read a file; raises SettingsFileError if it cannot be read or is not TOML."""
    try:
        if path.stat().st_size > MAXIMUM_FILE_BYTES:
            raise SettingsFileError(0, "", f"{path} is too large", "give a settings file")
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        reason = f"cannot read {path}: {error.strerror}"
        raise SettingsFileError(0, "", reason, "give the path of a readable file") from error
    except UnicodeDecodeError:
        raise SettingsFileError(0, "", f"{path} is not UTF-8", "save it as UTF-8") from None
    return parse_toml(text)


def parse_toml(text: str) -> TomlSource:
    """Parse TOML; raises SettingsFileError if it is invalid."""
    try:
        data = tomllib.loads(text)
    except RecursionError:
        raise SettingsFileError(0, "", "arrays are nested too deep", "flatten them") from None
    except tomllib.TOMLDecodeError as error:
        found = _SYNTAX_LINE.search(str(error))
        line = int(found.group(1)) if found else len(text.splitlines())
        raise SettingsFileError(line, "", f"not TOML: {error}", "correct the syntax") from None
    return TomlSource(data, _index_lines(text))


def _index_lines(text: str) -> dict[KeyPath, int]:
    lines: dict[KeyPath, int] = {}
    table: KeyPath = ()
    counts: dict[KeyPath, int] = {}
    closing_quotes = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if closing_quotes:
            closing_quotes = "" if closing_quotes in line else closing_quotes
            continue
        header = _HEADER.match(line)
        assignment = _ASSIGNMENT.match(line)
        if header:
            is_array = header.group(1) == "[["
            table = _enter_table(_split_key(header.group(2)), is_array, counts)
            lines[table] = number
        elif assignment:
            lines[table + _split_key(assignment.group(1))] = number
            closing_quotes = _open_quotes(line[assignment.end() :])
    return lines


def _enter_table(keys: KeyPath, is_array: bool, counts: dict[KeyPath, int]) -> KeyPath:
    """Return the path of the table of a header; each array is followed by its last index."""
    path: KeyPath = ()
    for position, key in enumerate(keys):
        path += (key,)
        if is_array and position == len(keys) - 1:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path += (counts[path] - 1,)
    return path


def _split_key(text: str) -> KeyPath:
    return tuple(part.strip("\"'") for part in re.findall(_KEY, text))


def _open_quotes(value: str) -> str:
    for quotes in _MULTILINE_QUOTES:
        if value.count(quotes) == 1:
            return quotes
    return ""
