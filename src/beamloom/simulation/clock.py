"""Virtual clock: simulated time in seconds, on a simpy environment.

Callbacks that are due at the same instant run in the order in which they were scheduled, so a run
depends on nothing but the calls made. docs/design/simulation.md tells why simpy was chosen.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVarTuple

import simpy
from simpy.events import Event

Arguments = TypeVarTuple("Arguments")


class ScheduledCall(Event):
    """One call that the clock will make; a thin simpy event without a generator behind it."""

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
        self.callbacks.append(_make_call)

    def cancel(self) -> None:
        """Make nothing happen when the time comes."""
        self.function = None
        self.arguments = ()


def _make_call(scheduled: ScheduledCall) -> None:
    if scheduled.function is not None:
        scheduled.function(*scheduled.arguments)


class VirtualClock:
    """The one clock of a run, starting at zero."""

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
        """Call `function` at `time`, or at once when that has passed."""
        return self.call_later(time - self.now, function, *arguments)

    def run_until(self, time: float) -> None:
        """Make every call that is due before `time`, then stand at `time`."""
        self._environment.run(until=time)


class LocalClock:
    """A machine's own clock: it starts elsewhere and runs faster or slower than true time.

    `rate` is local seconds per true second (1.0001 gains 0.1 ms a second).
    """

    __slots__ = ("_clock", "_offset", "_rate")

    def __init__(self, clock: VirtualClock, offset: float = 0.0, rate: float = 1.0) -> None:
        self._clock = clock
        self._offset = offset
        self._rate = rate

    @property
    def now(self) -> float:
        """What the machine believes the time to be, in seconds."""
        return self._offset + self._clock.now * self._rate

    def delay_until(self, local_time: float) -> float:
        """Return the true seconds from now until the local clock shows `local_time`."""
        return (local_time - self.now) / self._rate

    def change_rate(self, rate: float) -> None:
        """Drift at another rate from now on, without a jump."""
        local = self.now
        self._rate = rate
        self._offset = local - self._clock.now * rate
