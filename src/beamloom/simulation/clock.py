"""Virtual clock: simulated time in seconds, on a simpy environment.

Callbacks that are due at the same time run in the order in which they were scheduled, so that runs
are reproducible. docs/design/simulation.md explains the choice of simpy.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVarTuple

import simpy
from simpy.events import Event

Arguments = TypeVarTuple("Arguments")


class ScheduledCall(Event):
    """A scheduled call: a simpy event without a process."""

    __slots__ = ("arguments", "function")

    def __init__(
        self,
        environment: simpy.Environment,
        function: Callable[..., Any],
        arguments: tuple[Any, ...],
    ) -> None:
        super().__init__(environment)
        self._ok = True
        self._value = None
        self.function: Callable[..., Any] | None = function
        self.arguments = arguments
        self.callbacks.append(_run_scheduled_call)

    def cancel(self) -> None:
        """Prevent the call."""
        self.function = None
        self.arguments = ()


def _run_scheduled_call(scheduled: ScheduledCall) -> None:
    if scheduled.function is not None:
        scheduled.function(*scheduled.arguments)


class VirtualClock:
    """The clock of a run; it starts at zero."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return float(self._environment._now)

    def call_later(
        self, delay: float, function: Callable[[*Arguments], object], *arguments: *Arguments
    ) -> ScheduledCall:
        """Call `function` after `delay` seconds; a negative delay counts as zero."""
        scheduled = ScheduledCall(self._environment, function, arguments)
        self._environment.schedule(scheduled, delay=max(delay, 0.0))
        return scheduled

    def call_at(
        self, time: float, function: Callable[[*Arguments], object], *arguments: *Arguments
    ) -> ScheduledCall:
        """Call `function` at `time`, or as soon as possible if that has passed."""
        return self.call_later(time - self.now, function, *arguments)

    def run_until(self, time: float) -> None:
        """Make every call that is due before `time`, then set the clock to `time`."""
        self._environment.run(until=time)


class LocalClock:
    """The clock of one machine, with an offset and a rate relative to the virtual clock.

    `rate` is local seconds per second of the virtual clock (1.0001 gains 0.1 ms a second).
    """

    __slots__ = ("_clock", "_offset", "_rate")

    def __init__(self, clock: VirtualClock, offset: float = 0.0, rate: float = 1.0) -> None:
        self._clock = clock
        self._offset = offset
        self._rate = rate

    @property
    def now(self) -> float:
        """Local time in seconds."""
        return self._offset + self._clock.now * self._rate

    def delay_until(self, local_time: float) -> float:
        """Return the seconds of the virtual clock until the local clock shows `local_time`."""
        return (local_time - self.now) / self._rate

    def change_rate(self, rate: float) -> None:
        """Change the rate from now on; local time does not jump."""
        local = self.now
        self._rate = rate
        self._offset = local - self._clock.now * rate
