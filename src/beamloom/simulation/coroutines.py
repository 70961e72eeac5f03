"""Runs coroutines on the virtual clock, for product code that awaits but does not use asyncio."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar

from beamloom.simulation.clock import VirtualClock

Result = TypeVar("Result")


class Sleep:
    """Awaitable that suspends a coroutine for `seconds` of virtual time."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def __await__(self) -> Generator[float, None, None]:
        yield self._seconds


async def sleep(seconds: float) -> None:
    """Suspend the coroutine for `seconds` of virtual time."""
    await Sleep(seconds)


def run_coroutine(
    clock: VirtualClock,
    coroutine: Coroutine[Any, Any, Result],
    succeeded: Callable[[Result], None],
    failed: Callable[[Exception], None],
) -> None:
    """Run a coroutine that awaits only `sleep`; one of the two callbacks receives its outcome."""

    def step() -> None:
        try:
            delay = coroutine.send(None)
        except StopIteration as stop:
            succeeded(stop.value)
        except Exception as error:
            failed(error)
        else:
            clock.call_later(delay, step)

    step()
