"""Handling of unexpected exceptions: each is counted, and logged with its traceback.

What follows depends on the source:

- *packet* and *control_datagram*: the input is dropped and the node goes on. Otherwise one
  unforeseen datagram could stop a node, and then each further node that receives it.
- *component* (timers, store answers, machine lists, health checks, the stop itself): the state may
  be inconsistent and a timer may be missing, so the process ends with exit status 1. The fleet
  takes over as after any crash.
- *task* (an asyncio task or callback): the owner of the task decides.
- *admin_request*: the request is answered with status 500.

The log has one entry per source, exception type and raising line; the counter
`beamloom_faults_total` has the number of exceptions.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import StrEnum
from typing import Any

import structlog

from beamloom.runtime.errors import BrokenComponentError


class FaultSource(StrEnum):
    """The part of a node in which an unexpected exception was caught."""

    PACKET = "packet"
    CONTROL_DATAGRAM = "control_datagram"
    COMPONENT = "component"
    TASK = "task"
    ADMIN_REQUEST = "admin_request"


class FaultRecorder:
    """Counts unexpected exceptions and logs the first of each place in the code."""

    def __init__(self, node: str) -> None:
        self.counts: Counter[FaultSource] = Counter()
        self._places: set[tuple[object, ...]] = set()
        self._log = structlog.get_logger().bind(node=node)

    def record(self, source: FaultSource, error: BaseException) -> None:
        """Count an exception; the first of its place is logged with its traceback."""
        self.counts[source] += 1
        place = (source, type(error), *_place_of(error))
        if place in self._places:
            return
        self._places.add(place)
        self._log.error("fault", subject=source.value, error=repr(error), exc_info=error)

    def record_broken(self, error: Exception) -> BrokenComponentError:
        """Record an exception that requires the node to stop; return the error to stop with."""
        self.record(FaultSource.COMPONENT, error)
        broken = BrokenComponentError(error)
        broken.__cause__ = error
        return broken

    def handle_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Record exceptions of callbacks, and of tasks whose exception was never retrieved."""
        error = context.get("exception")
        if error is None:
            error = RuntimeError(str(context.get("message")))
        self.record(FaultSource.TASK, error)


def _place_of(error: BaseException) -> tuple[object, ...]:
    """Return the file and line that raised an error, or its text if there is no traceback."""
    trace = error.__traceback__
    if trace is None:
        return (str(error),)
    while trace.tb_next is not None:
        trace = trace.tb_next
    return (trace.tb_frame.f_code.co_filename, trace.tb_lineno)
