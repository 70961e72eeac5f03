"""Simulated operators: the product's writer with a client of the simulated store."""

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
    """An object client whose requests take virtual time and are subject to the store's faults."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def list_objects(self, prefix: str = "") -> ObjectListing:
        """Read every object under a prefix."""
        await self._simulate_request(is_write=False)
        return self._store.list_objects(prefix)

    async def read(self, key: str) -> ObjectReading:
        """Read one object."""
        await self._simulate_request(is_write=False)
        return self._store.read(key)

    async def write(self, key: str, value: Value | None, expected_revision: int) -> int:
        """Write one object if it has the expected revision."""
        lost = await self._simulate_request(is_write=True)
        stored = self._store.write(key, value, expected_revision)
        if lost:
            raise OutcomeUnknownError("injected fault")
        return stored.revision

    async def watch(self, revision: int, prefix: str = "") -> AsyncGenerator[ChangeBatch, None]:
        """Yield batches of the changes after `revision`, past ones included."""
        await self._simulate_request(is_write=False)
        watch = self._store.open_watch(revision, prefix)
        try:
            while True:
                yield self._store.take_changes(watch)
                await sleep(PLATFORM_DELAY)
        finally:
            self._store.close_watch(watch)

    async def _simulate_request(self, *, is_write: bool) -> bool:
        """Wait for the time of a request and return whether its answer is lost.

        Raises StoreUnavailableError if the store is down.
        """
        await sleep(2 * PLATFORM_DELAY)
        decision = self._store.faults.decide(is_write=is_write)
        if decision.unavailable:
            raise StoreUnavailableError("injected fault")
        await sleep(decision.delay_seconds)
        return decision.lose_answer


class Operators:
    """Executes operators' writes and keeps their outcomes in `accepted` and `failed`."""

    def __init__(self, clock: VirtualClock, store: PlatformStore, rng: random.Random) -> None:
        self._clock = clock
        client = SimulatedStoreClient(store)
        self.writer = OperatorWriter(client, rng, Retrier(RetryPolicy(), rng, sleep))
        self.accepted: list[AcceptedWrite] = []
        self.failed: list[PlatformError] = []

    def create(self, key: str, value: Value) -> None:
        """Create an object."""
        self._run(self.writer.create_object(key, value))

    def update(
        self,
        key: str,
        change: Callable[[Value], Value],
        accepted: Callable[[AcceptedWrite], None] | None = None,
    ) -> None:
        """Change an object; `accepted` is called when the writer reports that it took effect."""
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
            self.failed.append(error)

        run_coroutine(self._clock, coroutine, succeed, fail)
