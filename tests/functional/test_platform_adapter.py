"""The adapter delivers results as events, and leaves no tasks or watches behind when closed."""

import asyncio

from beamloom.object_api.adapter import StoreAdapter
from beamloom.protocol.commands import (
    Command,
    ListStore,
    ReadObject,
    StopNode,
    StopWatch,
    WatchStore,
    WriteObject,
)
from beamloom.protocol.events import (
    Event,
    StoreChanged,
    StoreConflict,
    StoredObject,
    StoreFailed,
    StoreListed,
    StoreObjectRead,
    StoreWritten,
)
from beamloom.standins.platform_faults import FaultPlan
from tests.functional.platform_case import HISTORY_LIMIT, PlatformTestCase

STORED = StoredObject("tenant/a", {}, 1, 1)


class StoreAdapterTest(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.adapter = StoreAdapter(self.client, self.events.put_nowait)
        self.addAsyncCleanup(self.adapter.close)

    async def ask(self, command: Command) -> Event:
        self.assertTrue(self.adapter.execute(command))
        return await self.events.get()

    async def test_each_command_delivers_its_event(self) -> None:
        self.assertEqual(await self.ask(WriteObject(1, "tenant/a", {}, 0)), StoreWritten(1, 1))
        self.assertEqual(
            await self.ask(WriteObject(2, "tenant/a", {}, 0)), StoreConflict(2, STORED)
        )
        self.assertEqual(await self.ask(ListStore(3)), StoreListed(3, 1, (STORED,)))
        self.assertEqual(await self.ask(ReadObject(4, "tenant/a")), StoreObjectRead(4, STORED))
        self.assertEqual(await self.ask(ReadObject(5, "tenant/b")), StoreObjectRead(5, None))
        self.assertEqual(self.adapter.open_requests, 0)

    async def test_commands_that_are_not_for_the_store_are_not_executed(self) -> None:
        self.assertFalse(self.adapter.execute(StopNode(True, "test")))

    async def test_failures_are_delivered_as_events(self) -> None:
        self.store.inject(FaultPlan(down=True))
        for command in (
            ListStore(1),
            ReadObject(2, "x"),
            WriteObject(3, "x", {}, 0),
            WatchStore(4, 0),
        ):
            event = await self.ask(command)
            self.assertIsInstance(event, StoreFailed)
            self.assertFalse(event.gone)

    async def test_write_with_lost_response_fails_but_takes_effect(self) -> None:
        self.store.inject(FaultPlan(lost_answers=1))
        self.assertIsInstance(await self.ask(WriteObject(1, "tenant/a", {}, 0)), StoreFailed)
        self.assertEqual(await self.ask(ReadObject(2, "tenant/a")), StoreObjectRead(2, STORED))

    async def test_watch_delivers_changes_and_reports_lost_history(self) -> None:
        self.assertEqual(await self.ask(WatchStore(1, 0)), StoreChanged(1, 0, ()))
        self.store.write("tenant/a", {}, 0)
        event = await self.events.get()
        while event == StoreChanged(1, 0, ()):
            event = await self.events.get()
        self.assertEqual(event, StoreChanged(1, 1, (STORED,)))
        self.adapter.execute(StopWatch(1))
        for number in range(HISTORY_LIMIT + 1):
            self.store.write("tenant/a", {}, number + 1)
        while not self.events.empty():
            self.events.get_nowait()
        gone = await self.ask(WatchStore(2, 0))
        self.assertTrue(isinstance(gone, StoreFailed) and gone.gone)

    async def test_no_events_tasks_or_watches_remain_after_close(self) -> None:
        await self.ask(WatchStore(1, 0))
        self.store.inject(FaultPlan(delay_seconds=1.0))
        self.adapter.execute(WatchStore(2, 0))
        self.adapter.execute(ListStore(3))
        self.adapter.execute(StopWatch(1))
        self.adapter.execute(StopWatch(99))
        await self.adapter.close()
        while not self.events.empty():
            self.events.get_nowait()
        self.store.write("tenant/a", {}, 0)
        self.gate.set()
        await self.server.stop()
        self.assertTrue(self.events.empty())
        self.assertEqual((self.adapter.open_requests, self.store.watch_count), (0, 0))
        self.assertEqual(asyncio.all_tasks(), {asyncio.current_task()})
