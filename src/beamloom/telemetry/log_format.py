"""The forms of log lines."""

from __future__ import annotations

from enum import StrEnum


class LogFormat(StrEnum):
    """Forms of log lines."""

    CONSOLE = "console"
    JSON = "json"
