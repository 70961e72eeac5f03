"""A small HTTP/1.1 server for readiness and metrics: GET of known paths, bodies made at once.

httptools parses; see http_client.py for why not aiohttp. A caller's connection may have fallen
silent, and is then replaced by the caller: no such connection may keep out the new one, or hold
memory for long.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum

import httptools

from beamloom.runtime.connection_limits import ConnectionKind, ResponderLimits
from beamloom.runtime.http_client import HttpAnswer

_REASONS = {200: "OK", 404: "Not Found", 405: "Method Not Allowed", 503: "Service Unavailable"}

Handler = Callable[[], HttpAnswer]


class _State(Enum):
    """What a connection waits for; the values are counter labels."""

    IDLE = "idle"
    """The next request."""
    REQUEST = "half_sent"
    """The rest of a request."""
    UNREAD = "unread"
    """The caller, which has not read its answers."""


EVICTED = "evicted"
"""Counts connections that were closed for a new one."""
FLOODING = "flooding"
"""Counts connections whose callers sent on without reading."""


class HttpResponder:
    """Answers GET requests by path.

    A connection is closed that stays idle, half-sent or unread for longer than `limits` say. Where
    there are too many, the one that has sent nothing for longest makes room for the new one.
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
        """Listen; raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def answer(self, method: str, path: str) -> HttpAnswer:
        """Return the answer to one request."""
        handler = self._handlers.get(path.partition("?")[0])
        if handler is None:
            return HttpAnswer(404, b"no such path\n")
        if method != "GET":
            return HttpAnswer(405, b"only GET is answered here\n")
        return handler()

    def add(self, connection: _Connection) -> None:
        """Hold a new connection, in place of the longest idle one where there are too many."""
        if len(self._connections) >= self.limits.connections:
            longest_idle = next(iter(self._connections))
            self.counters[EVICTED] += 1
            self.discard(longest_idle)
            longest_idle.close()
        self._connections[connection] = None

    def discard(self, connection: _Connection) -> None:
        """Forget a connection that is closed."""
        self._connections.pop(connection, None)

    def note_activity(self, connection: _Connection) -> None:
        """Note that something came on a connection: the others have been idle for longer."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def seconds_in(self, state: _State) -> float:
        """Return for how long a connection may stay in a state."""
        match state:
            case _State.IDLE:
                return self.limits.idle_seconds
            case _State.REQUEST:
                return self.limits.request_seconds
            case _State.UNREAD:
                return self.limits.unread_seconds


class _Connection(asyncio.Protocol):
    """One client; methods named on_* are called by the parser."""

    def __init__(self, responder: HttpResponder) -> None:
        self._responder = responder
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""
        self._transport: asyncio.Transport | None = None
        self._state = _State.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._in_request = False
        self._unread = False

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
        except httptools.HttpParserError:
            self.close()
        self._follow_state()

    def pause_writing(self) -> None:
        """Take no more requests of a caller that does not read."""
        assert self._transport is not None
        self._unread = True
        self._transport.pause_reading()
        self._follow_state()

    def resume_writing(self) -> None:
        assert self._transport is not None
        self._unread = False
        self._transport.resume_reading()
        self._follow_state()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        self._path = ""
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        self._path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        self._in_request = False
        assert self._transport is not None
        if self._transport.is_closing():
            return
        if self._unread:
            # The rest of what was read at once: answering it all could take any amount of memory.
            self._responder.counters[FLOODING] += 1
            self.close()
            return
        answer = self._responder.answer(self._parser.get_method().decode("latin-1"), self._path)
        self._send(answer, keep=self._parser.should_keep_alive())

    def _send(self, answer: HttpAnswer, *, keep: bool) -> None:
        assert self._transport is not None
        reason = _REASONS[answer.status]
        head = f"HTTP/1.1 {answer.status} {reason}\r\nContent-Length: {len(answer.body)}\r\n"
        end = "\r\n" if keep else "Connection: close\r\n\r\n"
        self._transport.write((head + end).encode() + answer.body)
        if not keep:
            self._transport.close()

    def _follow_state(self) -> None:
        """Time the state that the connection is in; a half-sent request gains nothing by bytes."""
        if self._unread:
            state = _State.UNREAD
        else:
            state = _State.REQUEST if self._in_request else _State.IDLE
        if state is not self._state or state is _State.IDLE:
            self._set_timer(state)

    def _set_timer(self, state: _State) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._state = state
        seconds = self._responder.seconds_in(state)
        self._timer = asyncio.get_running_loop().call_later(seconds, self._give_up)

    def _give_up(self) -> None:
        self._responder.counters[self._state.value] += 1
        self.close()
