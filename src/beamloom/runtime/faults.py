"""What happens to an exception that escapes: it is counted, logged with its trace, never lost.

The policy, by where it escaped:

- *packet* and *control_datagram*: what came from outside is dropped and the node goes on, since one
  datagram that no test foresaw must not stop a node, and then the next one it is sent to.
- *component* (timers, store answers, machine lists, health checks, the stop itself): the state may
  be half changed and a timer may never be set again, so the process ends with exit status 1; the
  fleet takes over as it does after any crash.
- *task* (an asyncio task or callback): counted and logged; whoever owns the task decides.

The log has one line with a trace per place in the code, however often it happens; the counter
`beamloom_faults_total` tells how often.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import StrEnum
from typing import Any

import structlog

from beamloom.runtime.errors import BrokenComponentError


class FaultSource(StrEnum):
    """Where an exception escaped."""

    PACKET = "packet"
    CONTROL_DATAGRAM = "control_datagram"
    COMPONENT = "component"
    TASK = "task"
    ADMIN_REQUEST = "admin_request"


class FaultRecorder:
    """Counts escaped exceptions and logs each place once."""

    def __init__(self, node: str) -> None:
        self.counts: Counter[FaultSource] = Counter()
        self._places: set[tuple[object, ...]] = set()
        self._log = structlog.get_logger().bind(node=node)

    def record(self, source: FaultSource, error: BaseException) -> None:
        """Count one exception; the first of its place is logged with its trace."""
        self.counts[source] += 1
        place = (source, type(error), *_place_of(error))
        if place in self._places:
            return
        self._places.add(place)
        self._log.error("fault", subject=source.value, error=repr(error), exc_info=error)

    def record_broken(self, error: Exception) -> BrokenComponentError:
        """Count an exception after which the node must stop, and return the error to stop with."""
        self.record(FaultSource.COMPONENT, error)
        broken = BrokenComponentError(error)
        broken.__cause__ = error
        return broken

    def handle_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Take what asyncio reports: callbacks that raised, and tasks whose exception none took."""
        error = context.get("exception")
        if error is None:
            error = RuntimeError(str(context.get("message")))
        self.record(FaultSource.TASK, error)


def _place_of(error: BaseException) -> tuple[object, ...]:
    """Return the file and line that raised."""
    trace = error.__traceback__
    if trace is None:
        return (str(error),)
    while trace.tb_next is not None:
        trace = trace.tb_next
    return (trace.tb_frame.f_code.co_filename, trace.tb_lineno)
