"""A TCP proxy on loopback between one node and the store, with faults that can be switched on."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536
HOLD_POLL_SECONDS = 0.005
CLOSE_TIMEOUT_SECONDS = 0.5
"""How long `close` waits for the forwarding tasks, whose connections it has reset."""


class ProxyFault(Enum):
    """A fault of a node's connections."""

    NONE = "none"
    REFUSE = "refuse"
    """New connections are reset at once; the harness resets the open ones."""
    CUT = "cut"
    """Data is dropped in both directions, without a reset."""
    CUT_ANSWERS = "cut_answers"
    """Requests pass, answers are dropped."""
    DELAY = "delay"
    """Answers are delayed."""
    HOLD = "hold"
    """Data is held up in both directions until the fault ends, as TCP sends it again."""


class _Connection:
    """Both ends of one forwarded connection; data on a `silent` one is dropped."""

    def __init__(self, node: asyncio.StreamWriter, store: asyncio.StreamWriter) -> None:
        self.silent = False
        self._ends = (node, store)

    def abort(self) -> None:
        """Reset both ends."""
        for end in self._ends:
            end.transport.abort()


class StoreProxy:
    """Forwards connections to the store; `fault` applies to open and new ones.

    Their source address at the store is the one that the node connects to, one for each node, so
    that the store can apply faults to some nodes only.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.fault = ProxyFault.NONE
        self.delay_seconds = 0.3
        self.port = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self.host = ""
        self._connections: set[_Connection] = set()
        self._serving_tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port; raises OSError."""
        self.host = host
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        if self._serving_tasks:
            await asyncio.wait(self._serving_tasks, timeout=CLOSE_TIMEOUT_SECONDS)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.abort()

    def silence_connections(self) -> None:
        """Drop all further data of the open connections, in both directions, without a reset."""
        for connection in self._connections:
            connection.silent = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving_tasks.add(task)
        task.add_done_callback(self._serving_tasks.discard)
        await self._forward(reader, writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is ProxyFault.REFUSE:
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(
                *self._target, local_addr=(self.host, 0)
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, store_writer)
        self._connections.add(connection)
        calls = asyncio.create_task(self._pump(connection, reader, store_writer, answers=False))
        answers = asyncio.create_task(self._pump(connection, store_reader, writer, answers=True))
        await asyncio.wait({calls, answers}, return_when=asyncio.FIRST_COMPLETED)
        if connection.silent:
            await calls
        for task in (calls, answers):
            task.cancel()
        await asyncio.gather(calls, answers, return_exceptions=True)
        connection.abort()
        self._connections.discard(connection)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if answers and self.fault is ProxyFault.DELAY:
                    await asyncio.sleep(self.delay_seconds)
                while self.fault is ProxyFault.HOLD:
                    await asyncio.sleep(HOLD_POLL_SECONDS)
                if connection.silent or self._drops_data(answers):
                    continue
                writer.write(data)
                await writer.drain()

    def _drops_data(self, answers: bool) -> bool:
        if self.fault is ProxyFault.CUT:
            return True
        return answers and self.fault is ProxyFault.CUT_ANSWERS
