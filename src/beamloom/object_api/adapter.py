"""Executes the core's store commands with a client and delivers the results as events."""

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
    """Runs one task per command or watch; `deliver` is called with each resulting event.

    Once `StopWatch` or `close` has cancelled a task, no further event of it is delivered.
    """

    def __init__(self, client: ObjectClient, deliver: Callable[[Event], None]) -> None:
        self._client = client
        self._deliver = deliver
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._unfinished: set[asyncio.Task[None]] = set()

    @property
    def open_requests(self) -> int:
        """The number of commands and watches in progress."""
        return len(self._tasks)

    def execute(self, command: Command) -> bool:
        """Start or stop a store request; return False if the command is not for the store.

        A request in progress with the same id is cancelled.
        """
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
        """Cancel every task and wait until all have ended."""
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
                self._deliver_if_active(command.request_id, await self._perform_request(command))
        except PlatformError as error:
            gone = isinstance(error, WatchGoneError)
            self._deliver_if_active(
                command.request_id, StoreFailed(command.request_id, str(error), gone)
            )
        except Exception as error:
            self._report_unexpected(error)
            self._deliver_if_active(
                command.request_id, StoreFailed(command.request_id, repr(error))
            )
        finally:
            if self._tasks.get(command.request_id) is task:
                del self._tasks[command.request_id]

    async def _perform_request(self, command: ListStore | ReadObject | WriteObject) -> Event:
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
                self._deliver_if_active(command.request_id, event)

    def _report_unexpected(self, error: Exception) -> None:
        """Pass an exception that is not a PlatformError to the event loop's exception handler."""
        context = {"message": "a store request failed unexpectedly", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)

    def _deliver_if_active(self, request_id: int, event: Event) -> None:
        if self._tasks.get(request_id) is asyncio.current_task():
            self._deliver(event)
