"""How a reader of the store reacts to silent connections, stalled lists and new eras."""

import asyncio
import unittest
from collections.abc import Sequence

from beamloom.platform.store_objects import read_era
from beamloom.replication.object_watch import ChangeBatch, ListPage
from beamloom.routing.tokens.records import BackendRecord
from beamloom.runtime.connection_limits import CallLimits
from beamloom.runtime.http_client import CallFailedError, CallFailure, HttpConnection, HttpResponse
from beamloom.runtime.store_reader import KindFormat, StoreReader
from tests.unit.tokens.builders import new_core

LIST_PATH = "list"
REVISION = 7
MAXIMUM_SECONDS = 5.0

BACKENDS = KindFormat[BackendRecord](
    "backends",
    lambda request: LIST_PATH,
    lambda request, wait_seconds: f"wait {round(wait_seconds, 1):g}",
    lambda body, era: ListPage((), False, REVISION, ""),
    lambda body, era: ChangeBatch((), REVISION),
    read_era,
)


class _ScriptedConnection(HttpConnection):
    """Answers calls with 200 or fails them, by the script; calls after its end never return."""

    def __init__(self, script: Sequence[CallFailure | None]) -> None:
        super().__init__("127.0.0.1", 1, "127.0.0.1")
        self.paths: list[str] = []
        self.limits: list[CallLimits] = []
        self.exhausted = asyncio.Event()
        self._script = list(script)

    async def call(
        self, method: str, path: str, limits: CallLimits, body: bytes = b""
    ) -> HttpResponse:
        if not self._script:
            self.exhausted.set()
            await asyncio.Event().wait()
        self.paths.append(path)
        self.limits.append(limits)
        failure = self._script.pop(0)
        if failure is not None:
            raise CallFailedError(failure, "scripted")
        return HttpResponse(200, b"", {b"store-era": b"4"})


class StoreReaderTest(unittest.IsolatedAsyncioTestCase):
    async def read(self, *script: CallFailure | None) -> tuple[_ScriptedConnection, list[str]]:
        """Run a reader against a script; return the connection and the reported failures."""
        core = new_core()
        core.role.reading = True
        connection = _ScriptedConnection(script)
        reader = StoreReader(core.backend_watch, BACKENDS, connection, core.backend_schedule)
        failures: list[str] = []
        reader.on_failure = lambda reason, count: failures.append(reason)
        reader.on_answer = lambda changes, given_at: core.role.note_answer(given_at)
        task = asyncio.create_task(reader.run())
        try:
            await asyncio.wait_for(connection.exhausted.wait(), MAXIMUM_SECONDS)
        finally:
            task.cancel()
            await asyncio.wait({task})
        return connection, failures

    async def test_the_call_after_a_silent_connection_is_immediate_and_does_not_wait(self) -> None:
        script = (None, None, CallFailure.SILENT, None, None)
        connection, failures = await self.read(*script)
        self.assertEqual(
            connection.paths, [LIST_PATH, "wait 1.5", "wait 1.5", "wait 0", "wait 1.5"]
        )
        self.assertEqual([limits.waits for limits in connection.limits[2:]], [True, False, True])
        self.assertEqual(failures, [])

    async def test_a_second_silence_in_a_row_counts_as_a_failure(self) -> None:
        _, failures = await self.read(None, CallFailure.SILENT, CallFailure.SILENT, None)
        self.assertEqual(failures, ["silent"])

    async def test_a_stalled_list_gets_more_time(self) -> None:
        connection, failures = await self.read(CallFailure.STALLED, None)
        self.assertEqual(failures, ["stalled"])
        before, after = connection.limits[:2]
        self.assertEqual(after.deadline_seconds, 2 * before.deadline_seconds)
        self.assertEqual(after.progress_seconds, 2 * before.progress_seconds)

    async def test_a_new_era_of_the_store_is_reported_once(self) -> None:
        core = new_core()
        core.role.reading = True
        connection = _ScriptedConnection((None, None, None))
        reader = StoreReader(core.backend_watch, BACKENDS, connection, core.backend_schedule)
        eras: list[int] = []
        reader.on_era = eras.append
        task = asyncio.create_task(reader.run())
        await asyncio.wait_for(connection.exhausted.wait(), MAXIMUM_SECONDS)
        task.cancel()
        await asyncio.wait({task})
        self.assertEqual(eras, [4])
        self.assertEqual(reader.era, 4)


class EraTest(unittest.TestCase):
    def test_an_invalid_era_header_is_ignored(self) -> None:
        self.assertEqual(read_era({b"store-era": b"12"}), 12)
        for value in (b"", b"-1", b"1.5", b"twelve", b"\xff"):
            self.assertIsNone(read_era({b"store-era": value}), value)
        self.assertIsNone(read_era({}))
