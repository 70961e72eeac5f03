"""Carries out the core's store commands with a client and answers each with an event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from beamloom.object_api.errors import PlatformError, StoreConflictError, WatchGoneError
from beamloom.object_api.object_client import ObjectClient
from beamloom.protocol.commands import (
    Command,
    ListStore,
    ReadObject,
    StopWatch,
    WatchStore,
    WriteObject,
)
from beamloom.protocol.events import (
    Event,
    StoreChanged,
    StoreConflict,
    StoreFailed,
    StoreListed,
    StoreObjectRead,
    StoreWritten,
)

StoreCommand = ListStore | ReadObject | WriteObject | WatchStore


class StoreAdapter:
    """Runs one task per command or watch; `deliver` gets each answering event.

    After `StopWatch` or `close` no event of the ended tasks is delivered any more.
    """

    def __init__(self, client: ObjectClient, deliver: Callable[[Event], None]) -> None:
        self._client = client
        self._deliver = deliver
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._unfinished: set[asyncio.Task[None]] = set()

    @property
    def open_requests(self) -> int:
        """How many commands and watches are under way."""
        return len(self._tasks)

    def execute(self, command: Command) -> bool:
        """Start a store command; false where the command is not for the store."""
        if isinstance(command, StopWatch):
            self._cancel(command.request_id)
            return True
        if not isinstance(command, StoreCommand):
            return False
        self._cancel(command.request_id)
        task = asyncio.get_running_loop().create_task(self._run(command))
        self._tasks[command.request_id] = task
        self._unfinished.add(task)
        task.add_done_callback(self._unfinished.discard)
        return True

    async def close(self) -> None:
        """End every task and wait until all have ended."""
        tasks = tuple(self._unfinished)
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _cancel(self, request_id: int) -> None:
        task = self._tasks.pop(request_id, None)
        if task is not None:
            task.cancel()

    async def _run(self, command: StoreCommand) -> None:
        task = asyncio.current_task()
        try:
            if isinstance(command, WatchStore):
                await self._watch(command)
            else:
                self._answer(command.request_id, await self._event(command))
        except PlatformError as error:
            gone = isinstance(error, WatchGoneError)
            self._answer(command.request_id, StoreFailed(command.request_id, str(error), gone))
        except Exception as error:
            self._report(error)
            self._answer(command.request_id, StoreFailed(command.request_id, repr(error)))
        finally:
            if self._tasks.get(command.request_id) is task:
                del self._tasks[command.request_id]

    async def _event(self, command: ListStore | ReadObject | WriteObject) -> Event:
        request_id = command.request_id
        if isinstance(command, ListStore):
            listing = await self._client.list_objects()
            return StoreListed(request_id, listing.revision, listing.objects)
        if isinstance(command, ReadObject):
            reading = await self._client.read(command.key)
            return StoreObjectRead(request_id, reading.found)
        try:
            revision = await self._client.write(
                command.key, command.value, command.expected_revision
            )
        except StoreConflictError as error:
            return StoreConflict(request_id, error.current)
        return StoreWritten(request_id, revision)

    async def _watch(self, command: WatchStore) -> None:
        async with aclosing(self._client.watch(command.revision)) as batches:
            async for batch in batches:
                event = StoreChanged(command.request_id, batch.revision, batch.changes)
                self._answer(command.request_id, event)

    def _report(self, error: Exception) -> None:
        """Hand a fault of this program to the loop's exception handler."""
        context = {"message": "a store request failed unexpectedly", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)

    def _answer(self, request_id: int, event: Event) -> None:
        if self._tasks.get(request_id) is asyncio.current_task():
            self._deliver(event)
