"""Structured lines that are bounded and never block: for processes that must not wait for a reader.

`record` keeps an event in memory, at most EVENTS_KEPT of them and at most `lines_per_second` on
average of each class; `flush` renders and writes them. What does not fit is counted, and the next
line that is written carries the number. Lines have the form that structlog's JSONRenderer gives.
structlog itself is left out: importing it takes a third of a node's start (see
docs/design/decisions.md).
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, deque
from collections.abc import Callable

EVENTS_KEPT = 2000
DEFAULT_LINES_PER_SECOND = 40.0
BURST_SECONDS = 5.0
UNWRITTEN_BYTES = 128 << 10
"""Kept for a reader that is slow: two starts' lines of a fleet with 150 backends."""

FieldValue = str | int | float | bool | None
Write = Callable[[bytes], int]


class _Bucket:
    """A token bucket: `level` lines may be written now."""

    __slots__ = ("filled_at", "left_out", "level")

    def __init__(self, level: float, filled_at: float) -> None:
        self.level = level
        self.filled_at = filled_at
        self.left_out = 0


class EventLog:
    """The log of one process. `clock` is steady, in seconds; `time_of_day` stamps the lines."""

    def __init__(
        self,
        node: str,
        write: Write,
        clock: Callable[[], float] = time.monotonic,
        time_of_day: Callable[[], float] = time.time,
        lines_per_second: float = DEFAULT_LINES_PER_SECOND,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._node = node
        self._write = write
        self._clock = clock
        self._time_of_day = time_of_day
        self._rate = lines_per_second
        self._buckets: dict[str, _Bucket] = {}
        self._events: deque[dict[str, FieldValue]] = deque()
        self._unwritten = b""

    def allows(self, event: str) -> bool:
        """Whether a line of this event may be recorded now; counts it as left out if not."""
        now = self._clock()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _Bucket(self._rate * BURST_SECONDS, now)
        gained = (now - bucket.filled_at) * self._rate
        bucket.level = min(self._rate * BURST_SECONDS, bucket.level + gained)
        bucket.filled_at = now
        if bucket.level < 1.0 or len(self._events) >= EVENTS_KEPT:
            bucket.left_out += 1
            self.counters["left_out"] += 1
            return False
        return True

    def record(self, event: str, fields: dict[str, FieldValue]) -> None:
        """Keep a line for the next flush, if the bound allows it."""
        if self.allows(event):
            self.append(event, fields)

    def append(self, event: str, fields: dict[str, FieldValue]) -> None:
        """Keep a line that `allows` has just let pass: for fields that are costly to make."""
        bucket = self._buckets[event]
        bucket.level -= 1.0
        line: dict[str, FieldValue] = {
            "time": round(self._time_of_day(), 4),
            "node": self._node,
            "event": event,
        }
        line.update(fields)
        if bucket.left_out:
            line["left_out_before"] = bucket.left_out
            bucket.left_out = 0
        self._events.append(line)

    def flush(self) -> None:
        """Write what is kept, as far as the reader takes it."""
        parts = [self._unwritten]
        parts.extend(render_line(line) for line in self._events)
        self._events.clear()
        data = b"".join(parts)
        if not data:
            return
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.counters["write_failed"] += 1
            self._unwritten = b""
            return
        self._keep_rest(data, written)

    def _keep_rest(self, data: bytes, written: int) -> None:
        """Keep what did not fit for the next flush, as whole lines and as far as the bound goes."""
        end = len(data)
        if end - written > UNWRITTEN_BYTES:
            end = data.rfind(b"\n", written, written + UNWRITTEN_BYTES) + 1 or written
        self._unwritten = data[written:end]
        self.counters["left_out"] += data.count(b"\n", end)


def render_line(line: dict[str, FieldValue]) -> bytes:
    """Return the JSON line of an event."""
    return json.dumps(line).encode() + b"\n"


def standard_output() -> Write:
    """Return a writer to standard output that does not wait for its reader."""
    descriptor = 1
    try:
        os.set_blocking(descriptor, False)
    except OSError:
        return len
    return lambda data: os.write(descriptor, data)
