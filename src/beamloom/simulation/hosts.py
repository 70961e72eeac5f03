"""Simulated hosts: whether a machine runs, stands still, is slow or is gone."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, TypeVarTuple

from beamloom.model.zones import Zone
from beamloom.simulation.clock import VirtualClock

Arguments = TypeVarTuple("Arguments")


class Host:
    """One simulated machine; every event of its process goes through `deliver`."""

    __slots__ = (
        "_busy_until",
        "_clock",
        "_queue",
        "name",
        "paused",
        "processing_seconds",
        "running",
        "zone",
    )

    def __init__(self, clock: VirtualClock, name: str, zone: Zone) -> None:
        self._clock = clock
        self._queue: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self._busy_until = 0.0
        self.name = name
        self.zone = zone
        self.running = True
        self.paused = False
        self.processing_seconds = 0.0

    @property
    def labels(self) -> tuple[str, str, str]:
        """Names by which a network fault can select this host."""
        return (self.name, self.zone.name, self.zone.region)

    def deliver(self, function: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Run an event of this host's process now, later when it is held up, never when dead."""
        if not self.running:
            return
        if self.paused:
            self._queue.append((function, arguments))
        elif self.processing_seconds > 0:
            self._deliver_slowly(function, arguments)
        else:
            function(*arguments)

    def _deliver_slowly(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        start = max(self._clock.now, self._busy_until)
        self._busy_until = start + self.processing_seconds
        self._clock.call_at(self._busy_until, self._run_if_able, function, arguments)

    def _run_if_able(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        if not self.running:
            return
        if self.paused:
            self._queue.append((function, arguments))
        else:
            function(*arguments)

    def pause(self) -> None:
        """Stand still, as a process under SIGSTOP: its clock goes on, its events queue up."""
        self.paused = True

    def resume(self) -> None:
        """Go on, beginning with everything that has queued up."""
        self.paused = False
        while self._queue and self.running and not self.paused:
            function, arguments = self._queue.popleft()
            function(*arguments)

    def crash(self) -> None:
        """Stop for ever, losing everything."""
        self.running = False
        self._queue.clear()
