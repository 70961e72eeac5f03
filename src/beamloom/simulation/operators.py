"""Simulated operators: the product's own writer over a client of the simulated store."""

from __future__ import annotations

import random
from collections.abc import AsyncGenerator, Callable, Coroutine
from typing import Any

from beamloom.object_api.errors import OutcomeUnknownError, PlatformError, StoreUnavailableError
from beamloom.object_api.operator import AcceptedWrite, OperatorWriter
from beamloom.object_api.retry import Retrier, RetryPolicy
from beamloom.object_api.wire import ChangeBatch, ObjectListing, ObjectReading
from beamloom.simulation.clock import VirtualClock
from beamloom.simulation.coroutines import run_coroutine, sleep
from beamloom.simulation.deployment import PLATFORM_DELAY
from beamloom.standins.platform_store import PlatformStore

Value = dict[str, Any]


class SimulatedStoreClient:
    """An object client whose requests take virtual time and meet the store's faults."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def list_objects(self, prefix: str = "") -> ObjectListing:
        """Read every object under a prefix."""
        await self._travel(is_write=False)
        return self._store.list_objects(prefix)

    async def read(self, key: str) -> ObjectReading:
        """Read one object."""
        await self._travel(is_write=False)
        return self._store.read(key)

    async def write(self, key: str, value: Value | None, expected_revision: int) -> int:
        """Write one object if its revision is as expected."""
        lost = await self._travel(is_write=True)
        stored = self._store.write(key, value, expected_revision)
        if lost:
            raise OutcomeUnknownError("injected fault")
        return stored.revision

    async def watch(self, revision: int, prefix: str = "") -> AsyncGenerator[ChangeBatch, None]:
        """Yield the changes after `revision`, first those that there are already."""
        await self._travel(is_write=False)
        watch = self._store.open_watch(revision, prefix)
        try:
            while True:
                yield self._store.take_changes(watch)
                await sleep(PLATFORM_DELAY)
        finally:
            self._store.close_watch(watch)

    async def _travel(self, *, is_write: bool) -> bool:
        """Let a request's time pass; returns whether its answer gets lost."""
        await sleep(2 * PLATFORM_DELAY)
        decision = self._store.faults.decide(is_write=is_write)
        if decision.unavailable:
            raise StoreUnavailableError("injected fault")
        await sleep(decision.delay_seconds)
        return decision.lose_answer


class Operators:
    """Runs operators' writes; every outcome is kept."""

    def __init__(self, clock: VirtualClock, store: PlatformStore, rng: random.Random) -> None:
        self._clock = clock
        client = SimulatedStoreClient(store)
        self.writer = OperatorWriter(client, rng, Retrier(RetryPolicy(), rng, sleep))
        self.accepted: list[AcceptedWrite] = []
        self.refused: list[PlatformError] = []

    def create(self, key: str, value: Value) -> None:
        """Create an object."""
        self._run(self.writer.create_object(key, value))

    def update(
        self,
        key: str,
        change: Callable[[Value], Value],
        accepted: Callable[[AcceptedWrite], None] | None = None,
    ) -> None:
        """Change an object; `accepted` is called once the operator knows that it took effect."""
        self._run(self.writer.update_object(key, change), accepted)

    def _run(
        self,
        coroutine: Coroutine[Any, Any, AcceptedWrite],
        accepted: Callable[[AcceptedWrite], None] | None = None,
    ) -> None:
        def succeed(write: AcceptedWrite) -> None:
            self.accepted.append(write)
            if accepted is not None:
                accepted(write)

        def fail(error: Exception) -> None:
            if not isinstance(error, PlatformError):
                raise error
            self.refused.append(error)

        run_coroutine(self._clock, coroutine, succeed, fail)
