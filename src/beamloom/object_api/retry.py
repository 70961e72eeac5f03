"""Bounded retries with full jitter (Brooker 2015, 'Exponential Backoff And Jitter')."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from random import Random

Sleep = Callable[[float], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """At most `attempts` attempts, with a random delay before each retry.

    Each delay is drawn from 0 to a limit that starts at `base_seconds` and doubles per retry, up to
    `cap_seconds`.
    """

    attempts: int = 4
    base_seconds: float = 0.1
    cap_seconds: float = 5.0


class Retrier:
    """Draws the delays between attempts and waits for them."""

    def __init__(self, policy: RetryPolicy, rng: Random, sleep: Sleep = asyncio.sleep) -> None:
        self.policy = policy
        self._rng = rng
        self._sleep = sleep

    def delays(self) -> Iterator[float]:
        """Yield the delay before each retry: one fewer than the attempts of the policy."""
        for attempt in range(self.policy.attempts - 1):
            ceiling = min(self.policy.cap_seconds, self.policy.base_seconds * 2**attempt)
            yield self._rng.uniform(0.0, ceiling)

    async def wait(self, seconds: float) -> None:
        """Wait before the next attempt."""
        await self._sleep(seconds)
