"""Bytes that are no usual HTTP, from a caller of a node and from a store."""

import asyncio
import random
import unittest
from contextlib import suppress
from typing import Any

from beamloom.runtime.connection_limits import ConnectionKind, list_limits
from beamloom.runtime.http_client import CallFailedError, HttpConnection, HttpResponse
from beamloom.runtime.http_responder import MAXIMUM_PATH_BYTES, HttpResponder
from beamloom.standins.another_writer import damage

HOST = "127.0.0.1"
REQUEST = b"GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
UPGRADES = (
    b"GET /ready HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    b"CONNECT /ready HTTP/1.1\r\n\r\n",
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nStore-Era: 1\r\n\r\n{}"
SWITCH = b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
CASES = 150


class ForeignHttpTest(unittest.IsolatedAsyncioTestCase):
    """Guards against errors that only the event loop catches, with a traceback for each."""

    def setUp(self) -> None:
        self.errors: list[Any] = []

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.errors.append(context)
        )

    async def test_a_responder_answers_after_any_bytes(self) -> None:
        responder = HttpResponder(
            {"/ready": lambda: HttpResponse(200, b"ready")}, ConnectionKind.READINESS
        )
        await responder.start(HOST, 0)
        self.addCleanup(responder.close)
        assert responder._server is not None
        address = responder._server.sockets[0].getsockname()
        rng = random.Random(47)
        for data in (*UPGRADES, *(damage(REQUEST, rng) for _ in range(CASES))):
            _, writer = await asyncio.open_connection(*address)
            writer.write(data)
            writer.close()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        self.assertIn(b"200 OK", await reader.readline())
        writer.close()
        self.assertEqual(self.errors, [])

    async def test_a_caller_with_an_endless_path_is_disconnected(self) -> None:
        """Guards against time and memory that grow with a path, part by part."""
        responder = HttpResponder({}, ConnectionKind.READINESS)
        await responder.start(HOST, 0)
        self.addCleanup(responder.close)
        assert responder._server is not None
        reader, writer = await asyncio.open_connection(*responder._server.sockets[0].getsockname())
        writer.write(b"GET /" + bytes(b"a" * MAXIMUM_PATH_BYTES))
        with suppress(ConnectionError):
            self.assertEqual(await asyncio.wait_for(reader.read(), 1.0), b"")
        writer.close()
        self.assertEqual(responder.counters["flooding"], 1)

    async def test_a_call_is_answered_or_fails_as_declared(self) -> None:
        rng = random.Random(47)
        answers = [SWITCH, *(damage(ANSWER, rng) for _ in range(CASES))]
        remaining = iter(answers)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(next(remaining))
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        for _ in answers:
            connection = HttpConnection(*server.sockets[0].getsockname(), HOST)
            try:
                await connection.call("GET", "/", list_limits(2.0))
            except CallFailedError:
                pass
            finally:
                connection.close()
        self.assertEqual(self.errors, [])


if __name__ == "__main__":
    unittest.main()
