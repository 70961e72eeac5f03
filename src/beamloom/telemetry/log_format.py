"""The formats of log lines."""

from __future__ import annotations

from enum import StrEnum


class LogFormat(StrEnum):
    """Format of log lines: for reading on a console, or JSON."""

    CONSOLE = "console"
    JSON = "json"
