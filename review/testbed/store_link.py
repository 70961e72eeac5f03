"""A node's path to the store: a proxy that holds up all bytes while the path is cut."""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import NamedTuple

from review.testbed.record import Record

READ_BYTES = 65_536
_WATCH = re.compile(rb"GET /beamloom/objects/servers\?watch=(\d+)&wait-ms=(\d+) ")
_LIST = re.compile(rb"GET /beamloom/objects/servers(?:\?after=\S*)? ")


class ServersCall(NamedTuple):
    """A call for the endpoints' entries; `wait_seconds` is how long a watch may wait."""

    at: float
    wait_seconds: float


class StoreLink:
    """The path of one machine to the store. Bytes that a cut holds up arrive when it heals."""

    def __init__(self, address: tuple[str, int], store: tuple[str, int], record: Record) -> None:
        self.address = address
        self.last_call = ServersCall(float("-inf"), 0.0)
        self.healed_at = float("-inf")
        self._store = store
        self._record = record
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for the node."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def cut(self) -> None:
        """Hold up all bytes, in both directions."""
        self._open.clear()

    def heal(self) -> None:
        """Let all bytes pass, first those that were held up."""
        self.healed_at = self._record.now
        self._open.set()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self._store)
            both = (
                asyncio.create_task(self._pass_on(reader, store_writer, from_node=True)),
                asyncio.create_task(self._pass_on(store_reader, writer, from_node=False)),
            )
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for one in both:
                    one.cancel()
                store_writer.close()
                writer.close()
        except OSError:
            writer.close()
        except asyncio.CancelledError:
            return  # the run is over
        finally:
            self._tasks.discard(task)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, from_node: bool
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(READ_BYTES):
                await self._open.wait()
                if from_node:
                    self._note(data)
                writer.write(data)
                await writer.drain()

    def _note(self, data: bytes) -> None:
        watch = _WATCH.search(data)
        if watch is not None:
            self.last_call = ServersCall(self._record.now, int(watch.group(2)) / 1000)
        elif _LIST.search(data) is not None:
            self.last_call = ServersCall(self._record.now, 0.0)
