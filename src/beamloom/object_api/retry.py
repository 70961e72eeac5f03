"""Bounded retries with full jitter (Brooker 2015, 'Exponential Backoff And Jitter')."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from random import Random

Sleep = Callable[[float], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """At most `attempts` tries; pauses are drawn from 0 to `base` doubled per try, up to `cap`.

    Times are in seconds.
    """

    attempts: int = 4
    base_seconds: float = 0.1
    cap_seconds: float = 5.0


class Retrier:
    """Draws the pauses between tries; `rng` and `sleep` are handed in."""

    def __init__(self, policy: RetryPolicy, rng: Random, sleep: Sleep = asyncio.sleep) -> None:
        self.policy = policy
        self._rng = rng
        self._sleep = sleep

    def pauses(self) -> Iterator[float]:
        """Yield the pause before each further try; one fewer than the tries allowed."""
        for attempt in range(self.policy.attempts - 1):
            ceiling = min(self.policy.cap_seconds, self.policy.base_seconds * 2**attempt)
            yield self._rng.uniform(0.0, ceiling)

    async def pause(self, seconds: float) -> None:
        """Wait before the next try."""
        await self._sleep(seconds)
