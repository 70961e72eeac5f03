"""The timeline of one start, from the beginning of the process to the first forwarded packet.

A start is reported once, in the log and in metrics: when the first packet is forwarded, on an
earlier stop, or after MAXIMUM_START_SECONDS.
"""

from __future__ import annotations

import time

from beamloom.telemetry.histogram import LatencyHistogram
from beamloom.units import MILLISECONDS

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Literal

    from beamloom.node.token_core import TokenCore
    from beamloom.telemetry.event_log import FieldValue

    Moment = Literal[
        "interpreter",
        "settings",
        "socket",
        "modules",
        "listening",
        "key",
        "configuration",
        "first_backends",
        "last_backends",
        "readiness_asked",
        "ready",
        "readiness_answered",
        "packet_read",
        "packet_forwarded",
    ]
    Outcome = Literal["forwarded", "no_packet", "not_ready", "stopped"]

MAXIMUM_START_SECONDS = 10.0
"""Ten times what a start takes on the smallest machine (a tenth of a core) if the store answers; a
longer one is reported as it is so far.
"""
MAXIMUM_INTERPRETER_SECONDS = 2.0
"""Far above the processor time that the interpreter uses before the first own code. On a host whose
process clock shows more, that clock measures something else and is ignored.
"""


class StartTimeline:
    """The moments of a start so far, each recorded once and in order; without I/O.

    `began_at` is when the process began, on the monotonic clock. It is computed as the time of the
    first own code less the processor time used until then, so that it lacks the time in which the
    interpreter waited for a processor. Without `has_processor_time`,
    processor times are neither recorded nor reported.
    """

    def __init__(self, began_at: float, *, has_processor_time: bool = True) -> None:
        self.began_at = began_at
        self._has_processor_time = has_processor_time
        self.seconds: dict[Moment, float] = {}
        self.processor_seconds: dict[Moment, float] = {}
        self.outcome: Outcome | None = None
        self.ready_seconds = LatencyHistogram()
        self.forwarded_seconds = LatencyHistogram()
        self.forwarded_processor_seconds = LatencyHistogram()

    def record(self, moment: Moment, now: float, processor_seconds: float) -> None:
        """Record the first occurrence of a moment; later ones are ignored."""
        if moment not in self.seconds:
            self.seconds[moment] = now - self.began_at
            if self._has_processor_time:
                self.processor_seconds[moment] = processor_seconds

    def is_overdue(self, now: float) -> bool:
        """Whether the start is to be reported although no packet was forwarded."""
        return now - self.began_at >= MAXIMUM_START_SECONDS

    def end(self, *, stopped: bool = False) -> dict[str, FieldValue] | None:
        """End the start and update its metrics; return the log fields, or None if it had ended."""
        if self.outcome is not None:
            return None
        self.outcome = self._classify(stopped=stopped)
        for moment, histogram in (
            ("ready", self.ready_seconds),
            ("packet_forwarded", self.forwarded_seconds),
        ):
            if moment in self.seconds:
                histogram.observe(self.seconds[moment])
        if "packet_forwarded" in self.processor_seconds:
            self.forwarded_processor_seconds.observe(self.processor_seconds["packet_forwarded"])
        return self._fields()

    def _classify(self, *, stopped: bool) -> Outcome:
        if "packet_forwarded" in self.seconds:
            return "forwarded"
        if stopped:
            return "stopped"
        return "no_packet" if "ready" in self.seconds else "not_ready"

    def _fields(self) -> dict[str, FieldValue]:
        fields: dict[str, FieldValue] = {"outcome": self.outcome}
        for moment, seconds in self.seconds.items():
            fields[f"{moment}_ms"] = _milliseconds(seconds)
        for moment in ("modules", "ready", "packet_forwarded"):
            if moment in self.processor_seconds:
                used = _milliseconds(self.processor_seconds[moment])
                fields[f"{moment}_processor_ms"] = used
        return fields


class StartLog:
    """Records moments on the process's clocks; `log_event` gets an event's name and fields."""

    def __init__(self, timeline: StartTimeline, log_event: Callable[..., None]) -> None:
        self.timeline = timeline
        self._log_event = log_event

    def record(self, moment: Moment) -> None:
        """Record a moment; the first forwarded packet ends the start."""
        record_now(self.timeline, moment)
        if moment == "packet_forwarded":
            self._end()

    def record_progress(self, core: TokenCore) -> None:
        """Record which prerequisites of readiness the node has."""
        if "ready" in self.timeline.seconds:
            return
        if core.router.codec is not None:
            self.record("key")
        if core.router.routes.version >= 0:
            self.record("configuration")
        if core.backend_watch.records_read:
            self.record("first_backends")
        if core.backends.revision is not None:
            self.record("last_backends")

    def advance(self, now: float) -> None:
        """Report a start that takes too long; to be called a few times a second."""
        if self.timeline.outcome is None and self.timeline.is_overdue(now):
            self._end()

    def stop(self) -> None:
        """Report the start, unless that was done, as the node stops."""
        self._end(stopped=True)

    def _end(self, *, stopped: bool = False) -> None:
        fields = self.timeline.end(stopped=stopped)
        if fields is not None:
            self._log_event("StartTimeline", **fields)


def begin_timeline(first_at: float, processor_seconds: float) -> StartTimeline:
    """Return a timeline from the time of the first own code and the processor time used by then.

    The process began earlier by that processor time; any time that the interpreter waited for a
    processor is not included.
    """
    known = 0.0 < processor_seconds <= MAXIMUM_INTERPRETER_SECONDS
    began_at = first_at - processor_seconds if known else first_at
    timeline = StartTimeline(began_at, has_processor_time=known)
    timeline.record("interpreter", first_at, processor_seconds)
    return timeline


def record_now(timeline: StartTimeline, moment: Moment) -> None:
    """Record a moment on the clocks of this process."""
    timeline.record(moment, time.monotonic(), time.process_time())


def _milliseconds(seconds: float) -> float:
    return round(MILLISECONDS * seconds, 1)
