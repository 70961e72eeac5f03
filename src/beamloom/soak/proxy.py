"""A TCP proxy on loopback between one node and the store, with faults that can be switched on."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536


class ProxyFault(Enum):
    """What befalls the connections of a node."""

    NONE = "none"
    REFUSE = "refuse"
    """New connections are closed at once, old ones are reset."""
    CUT = "cut"
    """Nothing passes in either direction, and nobody is told."""
    CUT_ANSWERS = "cut_answers"
    """Calls pass, answers do not."""
    DELAY = "delay"
    """Answers come late."""


class StoreProxy:
    """Forwards connections to the store; `fault` applies to old and new ones."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.fault = ProxyFault.NONE
        self.delay_seconds = 0.3
        self.port = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port; raises OSError."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset every connection there is."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is ProxyFault.REFUSE:
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, store_writer}
        self._writers |= ends
        calls = asyncio.create_task(self._pump(reader, store_writer, answers=False))
        answers = asyncio.create_task(self._pump(store_reader, writer, answers=True))
        await asyncio.wait({calls, answers}, return_when=asyncio.FIRST_COMPLETED)
        for task in (calls, answers):
            task.cancel()
        await asyncio.gather(calls, answers, return_exceptions=True)
        for end in ends:
            end.transport.abort()
        self._writers -= ends

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if answers and self.fault is ProxyFault.DELAY:
                    await asyncio.sleep(self.delay_seconds)
                if self._swallows(answers):
                    continue
                writer.write(data)
                await writer.drain()

    def _swallows(self, answers: bool) -> bool:
        if self.fault is ProxyFault.CUT:
            return True
        return answers and self.fault is ProxyFault.CUT_ANSWERS
