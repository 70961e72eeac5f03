"""A small HTTP/1.1 server for readiness and metrics: GET of known paths, bodies made at once.

httptools parses; see http_client.py for why not aiohttp.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import httptools

from beamloom.runtime.http_client import HttpAnswer

MAXIMUM_CONNECTIONS = 64
IDLE_SECONDS = 30.0
_REASONS = {200: "OK", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable"}

Handler = Callable[[], HttpAnswer]


class HttpResponder:
    """Answers GET requests by path. A connection that sends nothing for IDLE_SECONDS is closed."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen; raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def answer(self, method: str, path: str) -> HttpAnswer:
        """Return the answer to one request."""
        handler = self._handlers.get(path.partition("?")[0])
        if handler is None:
            return HttpAnswer(404, b"no such path\n")
        if method != "GET":
            return HttpAnswer(405, b"only GET is answered here\n")
        return handler()


class _Connection(asyncio.Protocol):
    """One client; methods named on_* are called by the parser."""

    def __init__(self, responder: HttpResponder) -> None:
        self._responder = responder
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""
        self._transport: asyncio.Transport | None = None
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._responder.connections) >= MAXIMUM_CONNECTIONS:
            transport.abort()
            return
        self._responder.connections.add(self)
        self._expect_more()

    def connection_lost(self, exc: Exception | None) -> None:
        self._responder.connections.discard(self)
        if self._idle is not None:
            self._idle.cancel()

    def data_received(self, data: bytes) -> None:
        self._expect_more()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        self._path = ""

    def on_url(self, url: bytes) -> None:
        self._path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        answer = self._responder.answer(self._parser.get_method().decode("latin-1"), self._path)
        reason = _REASONS[answer.status]
        head = f"HTTP/1.1 {answer.status} {reason}\r\nContent-Length: {len(answer.body)}\r\n"
        assert self._transport is not None
        keep = self._parser.should_keep_alive()
        end = "\r\n" if keep else "Connection: close\r\n\r\n"
        self._transport.write((head + end).encode() + answer.body)
        if not keep:
            self._transport.close()

    def _expect_more(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = asyncio.get_running_loop().call_later(IDLE_SECONDS, self.close)
