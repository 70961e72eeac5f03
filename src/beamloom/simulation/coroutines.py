"""Runs coroutines on the virtual clock, so that asyncio-free product code awaits virtual time."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar

from beamloom.simulation.clock import VirtualClock

Result = TypeVar("Result")


class Sleep:
    """Awaiting this lets `seconds` of virtual time pass."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def __await__(self) -> Generator[float, None, None]:
        yield self._seconds


async def sleep(seconds: float) -> None:
    """Let `seconds` of virtual time pass."""
    await Sleep(seconds)


def run_coroutine(
    clock: VirtualClock,
    coroutine: Coroutine[Any, Any, Result],
    succeeded: Callable[[Result], None],
    failed: Callable[[Exception], None],
) -> None:
    """Run a coroutine that awaits nothing but `sleep`; one of the two callbacks ends it."""

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
