"""A structured log with bounded memory, for processes that must not wait for its reader.

`record` queues an event: at most MAXIMUM_EVENTS in all, and of each event name `lines_per_second`
on average. `flush` renders and writes them. Lines that are not queued are counted, and the next
line of the same event carries their number. Lines have the format of structlog's JSONRenderer;
structlog itself is not used, as importing it delays a node's start (see docs/design/decisions.md).
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, deque
from collections.abc import Callable

MAXIMUM_EVENTS = 2000
DEFAULT_LINES_PER_SECOND = 40.0
BURST_SECONDS = 5.0
MAXIMUM_UNWRITTEN_BYTES = 128 << 10
"""Output kept for a slow reader; enough for the lines of two starts with 150 backends."""

FieldValue = str | int | float | bool | None
Write = Callable[[bytes], int]


class _TokenBucket:
    """A token bucket for one event; `left_out` counts lines dropped since the last queued one."""

    __slots__ = ("left_out", "refilled_at", "tokens")

    def __init__(self, tokens: float, refilled_at: float) -> None:
        self.tokens = tokens
        self.refilled_at = refilled_at
        self.left_out = 0


class EventLog:
    """The log of one process; `clock` is monotonic, and `time_of_day` provides the timestamps."""

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
        self._buckets: dict[str, _TokenBucket] = {}
        self._events: deque[dict[str, FieldValue]] = deque()
        self._unwritten = b""

    def allows(self, event: str) -> bool:
        """Whether a line of this event may be queued now; if not, it is counted as left out."""
        now = self._clock()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket(self._rate * BURST_SECONDS, now)
        gained = (now - bucket.refilled_at) * self._rate
        bucket.tokens = min(self._rate * BURST_SECONDS, bucket.tokens + gained)
        bucket.refilled_at = now
        if bucket.tokens < 1.0 or len(self._events) >= MAXIMUM_EVENTS:
            bucket.left_out += 1
            self.counters["left_out"] += 1
            return False
        return True

    def record(self, event: str, fields: dict[str, FieldValue]) -> None:
        """Queue a line for the next flush, if the limits allow it."""
        if self.allows(event):
            self.append(event, fields)

    def append(self, event: str, fields: dict[str, FieldValue]) -> None:
        """Queue a line that `allows` has just permitted, if its fields are costly to build."""
        bucket = self._buckets[event]
        bucket.tokens -= 1.0
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
        """Write the queued lines, as far as this is possible without blocking."""
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
        self._keep_unwritten(data, written)

    def _keep_unwritten(self, data: bytes, written: int) -> None:
        """Keep unwritten whole lines for the next flush, at most MAXIMUM_UNWRITTEN_BYTES."""
        end = len(data)
        if end - written > MAXIMUM_UNWRITTEN_BYTES:
            end = data.rfind(b"\n", written, written + MAXIMUM_UNWRITTEN_BYTES) + 1 or written
        self._unwritten = data[written:end]
        self.counters["left_out"] += data.count(b"\n", end)


def render_line(line: dict[str, FieldValue]) -> bytes:
    """Return the JSON line of an event."""
    return json.dumps(line).encode() + b"\n"


def non_blocking_stdout() -> Write:
    """Return a non-blocking writer to standard output; if there is none, it discards all data."""
    descriptor = 1
    try:
        os.set_blocking(descriptor, False)
    except OSError:
        return len
    return lambda data: os.write(descriptor, data)
