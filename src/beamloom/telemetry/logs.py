"""Structured logs of state changes, at a bounded rate.

Frequencies belong in counters. For each event, node and subject at most LINES_PER_WINDOW lines pass
in a window, so that a flapping state does not flood the log; the next line that passes carries the
number of suppressed ones. Tracebacks leave out the values of variables, which may be keys.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

from beamloom.telemetry.log_format import LogFormat

LINES_PER_WINDOW = 10
WINDOW_SECONDS = 60.0
MAXIMUM_SUBJECTS = 4096
SUBJECT_FIELDS = ("node", "subject")


@dataclass(slots=True)
class _Window:
    started: float
    lines: int = 0
    suppressed: int = 0


class LineLimit:
    """A structlog processor that limits the lines of each event, node and subject."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.counters: Counter[str] = Counter()
        self._clock = clock
        self._windows: dict[tuple[object, ...], _Window] = {}

    def __call__(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        """Return the line, or raise DropEvent if its window is full."""
        window = self._window((event.get("event"), *(event.get(key) for key in SUBJECT_FIELDS)))
        if window.lines >= LINES_PER_WINDOW:
            window.suppressed += 1
            self.counters["suppressed"] += 1
            raise structlog.DropEvent
        window.lines += 1
        if window.suppressed:
            event["suppressed_lines"] = window.suppressed
            window.suppressed = 0
        return event

    def _window(self, key: tuple[object, ...]) -> _Window:
        now = self._clock()
        window = self._windows.get(key)
        if window is None:
            self._evict_expired(now)
            window = self._windows[key] = _Window(now)
        elif now - window.started >= WINDOW_SECONDS:
            window.started = now
            window.lines = 0
        return window

    def _evict_expired(self, now: float) -> None:
        """Remove windows that have ended from a full table, or all if that does not suffice."""
        if len(self._windows) < MAXIMUM_SUBJECTS:
            return
        kept = {
            key: window
            for key, window in self._windows.items()
            if now - window.started < WINDOW_SECONDS
        }
        self._windows = kept if len(kept) < MAXIMUM_SUBJECTS else {}


def configure_logs(log_format: LogFormat, stream: TextIO | None = None) -> LineLimit:
    """Configure structlog for the whole process; return the limit, which counts dropped lines."""
    limit = LineLimit()
    target = sys.stderr if stream is None else stream
    processors: list[Processor] = [
        structlog.processors.add_log_level,
        limit,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if log_format is LogFormat.JSON:
        processors += [
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ]
    else:
        processors.append(
            structlog.dev.ConsoleRenderer(
                colors=target.isatty(), exception_formatter=structlog.dev.plain_traceback
            )
        )
    structlog.configure(
        processors=processors,
        logger_factory=structlog.PrintLoggerFactory(target),
        cache_logger_on_first_use=False,
    )
    return limit
