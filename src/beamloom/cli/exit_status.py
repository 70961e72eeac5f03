"""Exit statuses of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses of commands; INTERRUPTED is 128 plus the number of SIGINT."""

    SUCCESS = 0
    FAILED = 1
    USAGE = 2
    INTERRUPTED = 130
