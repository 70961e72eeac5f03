"""A small HTTP/1.1 server for readiness and metrics: GET of fixed paths with synchronous handlers.

As in http_client.py, httptools is the parser. Clients replace a connection that has fallen silent
without closing it, so the server limits the number of connections and the time of each state.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum

import httptools

from beamloom.runtime.connection_limits import ConnectionKind, ResponderLimits
from beamloom.runtime.http_client import HttpResponse

_REASON_PHRASES = {
    200: "OK",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}

Handler = Callable[[], HttpResponse]


class _State(Enum):
    """What a connection waits for; the values label the timeouts in counters."""

    IDLE = "idle"
    """The next request."""
    REQUEST = "half_sent"
    """The rest of a request."""
    UNREAD = "unread"
    """The client to read its answers."""


MAXIMUM_PATH_BYTES = 8192
"""A caller that sends a longer path is disconnected."""
EVICTED = "evicted"
"""Counts connections that were closed in favour of a new one."""
FLOODING = "flooding"
"""Counts connections closed because the client sent requests without reading answers."""


class HttpResponder:
    """Answers GET requests by path.

    A connection is closed if it stays in a state for longer than `limits` allow. If there are too
    many connections, the one that has sent nothing for longest is closed.
    """

    def __init__(
        self,
        handlers: Mapping[str, Handler],
        kind: ConnectionKind,
        limits: ResponderLimits | None = None,
    ) -> None:
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._connections: dict[_Connection, None] = {}
        self.kind = kind
        self.limits = limits or ResponderLimits()
        self.counters: Counter[str] = Counter()

    async def start(self, host: str, port: int) -> None:
        """Start to listen; raises OSError if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def answer(self, method: str, path: str) -> HttpResponse:
        """Return the answer to one request."""
        handler = self._handlers.get(path.partition("?")[0])
        if handler is None:
            return HttpResponse(404, b"no such path\n")
        if method != "GET":
            return HttpResponse(405, b"only GET is answered here\n")
        return handler()

    def add(self, connection: _Connection) -> None:
        """Add a new connection; at the limit, close the one that has sent nothing for longest."""
        if len(self._connections) >= self.limits.connections:
            least_recent = next(iter(self._connections))
            self.counters[EVICTED] += 1
            self.discard(least_recent)
            least_recent.close()
        self._connections[connection] = None

    def discard(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)

    def note_activity(self, connection: _Connection) -> None:
        """Record that data was received on a connection, which makes it the last to be evicted."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def timeout_seconds(self, state: _State) -> float:
        """Return how long a connection may stay in a state."""
        match state:
            case _State.IDLE:
                return self.limits.idle_seconds
            case _State.REQUEST:
                return self.limits.request_seconds
            case _State.UNREAD:
                return self.limits.unread_seconds


class _Connection(asyncio.Protocol):
    """One client connection; the parser calls the methods named on_*."""

    def __init__(self, responder: HttpResponder) -> None:
        self._responder = responder
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""
        self._transport: asyncio.Transport | None = None
        self._state = _State.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._request_incomplete = False
        self._writing_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._responder.add(self)
        self._set_timer(_State.IDLE)

    def connection_lost(self, exc: Exception | None) -> None:
        self._responder.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._responder.note_activity(self)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        self._update_state()

    def pause_writing(self) -> None:
        """Read no more requests from a client that does not read its answers."""
        assert self._transport is not None
        self._writing_paused = True
        self._transport.pause_reading()
        self._update_state()

    def resume_writing(self) -> None:
        assert self._transport is not None
        self._writing_paused = False
        self._transport.resume_reading()
        self._update_state()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        self._path = ""
        self._request_incomplete = True

    def on_url(self, url: bytes) -> None:
        if len(self._path) + len(url) > MAXIMUM_PATH_BYTES:
            self._responder.counters[FLOODING] += 1
            self.close()
            return
        self._path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        self._request_incomplete = False
        assert self._transport is not None
        if self._transport.is_closing():
            return
        if self._writing_paused:
            # Answers to the other pipelined requests of this read could use any amount of memory.
            self._responder.counters[FLOODING] += 1
            self.close()
            return
        answer = self._responder.answer(self._parser.get_method().decode("latin-1"), self._path)
        self._send(answer, keep_alive=self._parser.should_keep_alive())

    def _send(self, answer: HttpResponse, *, keep_alive: bool) -> None:
        assert self._transport is not None
        reason = _REASON_PHRASES[answer.status]
        head = f"HTTP/1.1 {answer.status} {reason}\r\nContent-Length: {len(answer.body)}\r\n"
        end = "\r\n" if keep_alive else "Connection: close\r\n\r\n"
        self._transport.write((head + end).encode() + answer.body)
        if not keep_alive:
            self._transport.close()

    def _update_state(self) -> None:
        """Time the current state; further bytes of a request do not extend its timeout."""
        if self._writing_paused:
            state = _State.UNREAD
        else:
            state = _State.REQUEST if self._request_incomplete else _State.IDLE
        if state is not self._state or state is _State.IDLE:
            self._set_timer(state)

    def _set_timer(self, state: _State) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._state = state
        seconds = self._responder.timeout_seconds(state)
        self._timer = asyncio.get_running_loop().call_later(seconds, self._time_out)

    def _time_out(self) -> None:
        self._responder.counters[self._state.value] += 1
        self.close()
