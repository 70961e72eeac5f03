"""Exit statuses of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a command's exit status says; interrupted is 128 plus the number of SIGINT."""

    GOOD = 0
    FAILED = 1
    USAGE = 2
    INTERRUPTED = 130
