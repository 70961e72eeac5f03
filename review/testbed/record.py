"""The record of a run: what was sent, answered and run, with the seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines of one run; `now` is the time in seconds since its start."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append(f"{self.now:9.4f} {text}")

    def write(self, path: Path, verdict: str) -> None:
        """Write all lines, the verdict last."""
        path.write_text("\n".join([*self._lines, "", verdict, ""]))
