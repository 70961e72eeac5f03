"""A TCP proxy on loopback whose connections go silent for good, while new ones work."""

import asyncio
import contextlib
import ctypes
import socket
import struct
from enum import Enum

CHUNK_BYTES = 65_536
SO_ATTACH_FILTER = 26
"""Linux socket option that `socket` does not define."""
RETURN_CONSTANT = 0x06
DROP = struct.pack("HBBI", RETURN_CONSTANT, 0, 0, 0)
"""A BPF program of one instruction, which accepts 0 bytes of each packet."""


class Silence(Enum):
    """What still answers on a silent connection.

    KERNEL: the kernel still acknowledges data, but the proxy forwards none. NOBODY: all packets are
    dropped, also keep-alive probes and retransmissions.
    """

    KERNEL = "kernel"
    NOBODY = "nobody"


class _Tunnel:
    """A client's connection and its connection to the server."""

    def __init__(self, writer: asyncio.StreamWriter, server_writer: asyncio.StreamWriter) -> None:
        self.writers = (writer, server_writer)
        self.silent = False

    def go_silent(self, silence: Silence) -> None:
        self.silent = True
        if silence is Silence.NOBODY:
            _drop_all_packets(self.writers[0].get_extra_info("socket"))

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class SilentProxy:
    """Forwards connections to `target`.

    `answer_bytes` limits the size of a block of answer data, `request_bytes` that of request data;
    None means no limit. The first block that exceeds its limit is cut to it and its connection goes
    silent in the way of `silence`; both limits then end.
    """

    def __init__(self, target: tuple[str, int], silence: Silence = Silence.NOBODY) -> None:
        self.silence = silence
        self.answer_bytes: int | None = None
        self.request_bytes: int | None = None
        self.opened = 0
        self.port = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._tunnels: set[_Tunnel] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for tunnel in list(self._tunnels):
            tunnel.abort()
        while self._tunnels:
            await asyncio.sleep(0.01)

    def go_silent(self) -> None:
        """Make all open connections go silent."""
        for tunnel in self._tunnels:
            tunnel.go_silent(self.silence)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        server_reader, server_writer = await asyncio.open_connection(*self._target)
        tunnel = _Tunnel(writer, server_writer)
        self._tunnels.add(tunnel)
        pumps = [
            asyncio.create_task(self._pump(reader, server_writer, tunnel, answers=False)),
            asyncio.create_task(self._pump(server_reader, writer, tunnel, answers=True)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        tunnel.abort()
        self._tunnels.discard(tunnel)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        tunnel: _Tunnel,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                passing = b"" if tunnel.silent else self._limit(data, tunnel, answers=answers)
                writer.write(passing)
                await writer.drain()

    def _limit(self, data: bytes, tunnel: _Tunnel, *, answers: bool) -> bytes:
        """Return the part of a block that is forwarded; the rest is dropped."""
        limit = self.answer_bytes if answers else self.request_bytes
        if limit is None or len(data) <= limit:
            return data
        self.answer_bytes = self.request_bytes = None
        tunnel.go_silent(self.silence)
        return data[:limit]


def _drop_all_packets(connection: socket.socket) -> None:
    instruction = ctypes.create_string_buffer(DROP)
    program = struct.pack("HP", 1, ctypes.addressof(instruction))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
