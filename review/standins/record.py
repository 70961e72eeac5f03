"""The record of a run: one line for each thing sent, answered, run or done to a process."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt`; times are seconds of the monotonic clock since the record began."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def line(self, event: str, **fields: object) -> None:
        """Write one line: time, event, fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
