"""Structured logs: lines for changes of state only, and a bound on how many.

Counters tell how often something happens; a line tells that a state changed. Something that flaps
writes at most LINES_PER_WINDOW lines per window and subject; the next line that passes carries the
number of those left out. Traces are plain: the values of variables, keys among them, stay out.
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
    """A structlog processor that drops lines of one event and subject beyond the bound."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.counters: Counter[str] = Counter()
        self._clock = clock
        self._windows: dict[tuple[object, ...], _Window] = {}

    def __call__(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        """Return the line, or raise DropEvent where it is one too many."""
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
            self._forget_ended(now)
            window = self._windows[key] = _Window(now)
        elif now - window.started >= WINDOW_SECONDS:
            window.started = now
            window.lines = 0
        return window

    def _forget_ended(self, now: float) -> None:
        """Keep the table small; where nothing has ended, everything starts anew."""
        if len(self._windows) < MAXIMUM_SUBJECTS:
            return
        kept = {
            key: window
            for key, window in self._windows.items()
            if now - window.started < WINDOW_SECONDS
        }
        self._windows = kept if len(kept) < MAXIMUM_SUBJECTS else {}


def configure_logs(log_format: LogFormat, stream: TextIO | None = None) -> LineLimit:
    """Set up structlog for the whole process and return the bound; its `counters` are metrics."""
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
