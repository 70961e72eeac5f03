"""A persistent HTTP/1.1 connection; each call has a deadline.

httptools is the parser, since importing aiohttp would delay the start of a node. A connection is
closed after any error. From the second call on, or if the server may delay the answer, keep-alive
probes and a limit on unacknowledged data let the kernel detect a silent connection before the
deadline. They are not used for the first call, since the connection has just been established and
acknowledgements may be late while a whole fleet starts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from enum import Enum
from typing import NamedTuple

import httptools

from beamloom.runtime.connection_limits import CONNECT_SECONDS, CallLimits, enable_silence_detection


class CallFailure(Enum):
    """Why a call failed; the values are counter labels.

    SILENT: the kernel found that the other end no longer acknowledges data. STALLED: a part of the
    answer was received, but no more of it in time.
    """

    NO_CONNECTION = "no_connection"
    DEADLINE = "deadline"
    BROKEN = "broken"
    SILENT = "silent"
    STALLED = "stalled"


HELD_UP_SECONDS = 0.02
"""A timer that runs later than this shows that the event loop was held up. Data that arrived
meanwhile is read before an answer counts as stalled.
"""
SILENCE_FAILURES = frozenset({CallFailure.DEADLINE, CallFailure.SILENT, CallFailure.STALLED})
"""Failures that a silent connection may cause; DEADLINE may also be caused by a slow server."""


class CallFailedError(Exception):
    """A call failed, and the server may or may not have executed it; reads may be repeated."""

    def __init__(self, failure: CallFailure, detail: str) -> None:
        super().__init__(f"no answer from the store ({failure.value}: {detail}); try again later")
        self.failure = failure


class HttpResponse(NamedTuple):
    """Status, complete body, and headers by their names in lower case."""

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = {}


class _HttpProtocol(asyncio.Protocol):
    """Reads one answer at a time; the parser calls the methods named on_*."""

    def __init__(self, *, detects_silence: bool) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._headers: dict[bytes, bytes] = {}
        self._answer: asyncio.Future[HttpResponse] | None = None
        self._progress_seconds = 0.0
        self._received_at = 0.0
        self._progress_timer: asyncio.TimerHandle | None = None
        self._silence_detection_due = detects_silence

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(CallFailure.BROKEN, f"invalid HTTP: {error}")
            self.close()
            return
        self._extend_progress_timeout()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        silent = isinstance(exc, TimeoutError)
        failure = CallFailure.SILENT if silent else CallFailure.BROKEN
        self._fail(failure, "closed" if exc is None else str(exc))

    def begin_response(self, limits: CallLimits) -> asyncio.Future[HttpResponse]:
        """Return a future of the next answer; to be called before the request is sent."""
        if self._answer is not None or limits.waits:
            self._enable_silence_detection()
        self._body = []
        self._headers = {}
        self._progress_seconds = limits.progress_seconds
        self._answer = asyncio.get_running_loop().create_future()
        return self._answer

    def _enable_silence_detection(self) -> None:
        if self._silence_detection_due:
            self._silence_detection_due = False
            assert self.transport is not None
            enable_silence_detection(self.transport.get_extra_info("socket"))

    def close(self) -> None:
        """Abort the connection and discard data in transit."""
        self.closed = True
        self._stop_progress_timer()
        if self.transport is not None:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.closed = True
        status = self._parser.get_status_code()
        answer = HttpResponse(status, b"".join(self._body), self._headers)
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(answer)

    def _fail(self, failure: CallFailure, detail: str) -> None:
        self._stop_progress_timer()
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(CallFailedError(failure, detail))

    def _extend_progress_timeout(self) -> None:
        """Start or extend the progress timeout while a part of an answer is outstanding."""
        if self._answer is None or self._answer.done():
            self._stop_progress_timer()
            return
        loop = asyncio.get_running_loop()
        self._received_at = loop.time()
        if self._progress_timer is None:
            self._set_progress_timer(loop)

    def _set_progress_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        due = self._received_at + self._progress_seconds
        self._progress_timer = loop.call_at(due, self._check_progress)

    def _check_progress(self) -> None:
        loop = asyncio.get_running_loop()
        late_seconds = loop.time() - self._received_at - self._progress_seconds
        if late_seconds > HELD_UP_SECONDS:
            self._received_at += late_seconds
        if late_seconds < 0 or late_seconds > HELD_UP_SECONDS:
            self._set_progress_timer(loop)
            return
        self._fail(CallFailure.STALLED, f"no more data in {self._progress_seconds:g} s")
        self.close()

    def _stop_progress_timer(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None


class HttpConnection:
    """Makes calls to one server, one at a time, from the address `local_host`.

    `on_silence` is called with each failure that a silent connection may have caused. Without
    `detects_silence` the kernel does not detect silent connections.
    """

    def __init__(
        self, host: str, port: int, local_host: str, *, detects_silence: bool = True
    ) -> None:
        self._host = host
        self._local_address = (local_host, 0)
        self._port = port
        self._detects_silence = detects_silence
        self._protocol: _HttpProtocol | None = None
        self.on_silence: Callable[[CallFailure], None] = lambda failure: None

    def use(self, host: str, port: int) -> None:
        """Close the connection and send further calls to another server."""
        self._host = host
        self._port = port
        self.close()

    async def call(
        self, method: str, path: str, limits: CallLimits, body: bytes = b""
    ) -> HttpResponse:
        """Make a call, connecting first if needed; raises CallFailedError."""
        protocol = await self._connected()
        try:
            return await self._exchange(protocol, self._request(method, path, body), limits)
        except CallFailedError as error:
            protocol.close()
            if error.failure in SILENCE_FAILURES:
                self.on_silence(error.failure)
            raise
        except BaseException:
            protocol.close()
            raise

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._protocol is not None:
            self._protocol.close()
            self._protocol = None

    async def _connected(self) -> _HttpProtocol:
        if self._protocol is not None and not self._protocol.closed:
            return self._protocol
        self.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, self._protocol = await loop.create_connection(
                    self._make_protocol, self._host, self._port, local_addr=self._local_address
                )
        except TimeoutError:
            detail = f"not connected in {CONNECT_SECONDS:g} s"
            raise CallFailedError(CallFailure.NO_CONNECTION, detail) from None
        except OSError as error:
            raise CallFailedError(CallFailure.NO_CONNECTION, str(error)) from error
        return self._protocol

    def _make_protocol(self) -> _HttpProtocol:
        return _HttpProtocol(detects_silence=self._detects_silence)

    async def _exchange(
        self, protocol: _HttpProtocol, request: bytes, limits: CallLimits
    ) -> HttpResponse:
        try:
            answer = protocol.begin_response(limits)
        except OSError as error:
            # Setting socket options failed because the connection was just closed.
            raise CallFailedError(CallFailure.BROKEN, str(error)) from error
        assert protocol.transport is not None
        protocol.transport.write(request)
        try:
            async with asyncio.timeout(limits.deadline_seconds):
                return await answer
        except TimeoutError:
            detail = f"{limits.deadline_seconds:g} s"
            raise CallFailedError(CallFailure.DEADLINE, detail) from None

    def _request(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}:{self._port}"]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        return "\r\n".join([*lines, "", ""]).encode() + body
