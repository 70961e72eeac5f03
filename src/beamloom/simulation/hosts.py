"""Simulated hosts, which can be paused, slow or crashed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, TypeVarTuple

from beamloom.model.zones import Zone
from beamloom.simulation.clock import VirtualClock

Arguments = TypeVarTuple("Arguments")


class Host:
    """One simulated machine; its process receives every event through `deliver`."""

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
        """Call `function` now, later if the host is paused or slow, or never if it does not run."""
        if not self.running:
            return
        if self.paused:
            self._queue.append((function, arguments))
        elif self.processing_seconds > 0:
            self._deliver_after_processing(function, arguments)
        else:
            function(*arguments)

    def _deliver_after_processing(
        self, function: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> None:
        start = max(self._clock.now, self._busy_until)
        self._busy_until = start + self.processing_seconds
        self._clock.call_at(self._busy_until, self._run_or_queue, function, arguments)

    def _run_or_queue(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        if not self.running:
            return
        if self.paused:
            self._queue.append((function, arguments))
        else:
            function(*arguments)

    def pause(self) -> None:
        """Queue events until `resume`, as for a process under SIGSTOP; its clock continues."""
        self.paused = True

    def resume(self) -> None:
        """End the pause and process the queued events in order."""
        self.paused = False
        while self._queue and self.running and not self.paused:
            function, arguments = self._queue.popleft()
            function(*arguments)

    def crash(self) -> None:
        """Stop permanently and discard the queued events."""
        self.running = False
        self._queue.clear()
