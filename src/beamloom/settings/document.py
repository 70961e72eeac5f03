"""Reads a settings file in TOML or JSON as a mapping.

A node reads its file before it serves. JSON shortens the start: it is parsed faster, and `tomllib`
is imported only for TOML.
"""

from __future__ import annotations

import json
import os
from typing import Any

JSON_PREFIX = "{"
"""No TOML file begins with this."""


def read_document(path: str | os.PathLike[str]) -> dict[str, Any]:
    """Return the contents of a file; raises OSError or ValueError."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    try:
        return _decode(text)
    except RecursionError as error:
        raise ValueError("it is nested too deeply") from error


def _decode(text: str) -> dict[str, Any]:
    if text.lstrip().startswith(JSON_PREFIX):
        document: dict[str, Any] = json.loads(text)
        return document
    import tomllib

    return tomllib.loads(text)
