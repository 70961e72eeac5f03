"""Connections that go silent in each state must be detected and replaced within their limits."""

import asyncio
import socket
import time
import unittest
from unittest import mock

from beamloom.runtime import http_client
from beamloom.runtime.connection_limits import (
    KEEP_ALIVE_SECONDS,
    UNACKNOWLEDGED_SECONDS,
    CallLimits,
    ConnectionKind,
    ResponderLimits,
    list_limits,
    watch_limits,
)
from beamloom.runtime.http_client import CallFailedError, CallFailure, HttpConnection, HttpResponse
from beamloom.runtime.http_responder import HttpResponder
from tests.functional.silent_proxy import Silence, SilentProxy
from tests.functional.token_node_case import METRICS_PORT, TokenNodeCase

HOST = "127.0.0.1"
DELAY_MARGIN_SECONDS = 1.0
"""Margin for the kernel's retransmissions and a busy machine."""
UNACKNOWLEDGED_LIMIT_SECONDS = UNACKNOWLEDGED_SECONDS + DELAY_MARGIN_SECONDS
PROBE_LIMIT_SECONDS = 2 * KEEP_ALIVE_SECONDS + DELAY_MARGIN_SECONDS
LIST = list_limits(8.0)
BODY = bytes(50_000)
LARGE = bytes(8_000_000)
"""More than the kernel's send buffer holds."""


class _Server:
    """Answers each request after `pause_seconds`; reads no body."""

    def __init__(self) -> None:
        self.pause_seconds = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(self.pause_seconds)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
                writer.write(BODY)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The test has ended; asyncio's stream server would log the cancellation as an error.
            writer.close()


class SilentCallsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = _Server()
        listener = await asyncio.start_server(self.server.serve, HOST, 0)
        self.addCleanup(listener.close)
        self.proxy = SilentProxy(listener.sockets[0].getsockname())
        await self.proxy.start(HOST)
        self.addAsyncCleanup(self.proxy.close)
        self.connection = self.connect()
        self.reported: list[CallFailure] = []
        self.connection.on_silence = self.reported.append
        await self.call()

    def connect(self, *, detects_silence: bool = True) -> HttpConnection:
        connection = HttpConnection(HOST, self.proxy.port, HOST, detects_silence=detects_silence)
        self.addCleanup(connection.close)
        return connection

    async def call(self, limits: CallLimits = LIST, body: bytes = b"") -> HttpResponse:
        return await self.connection.call("GET", "/objects", limits, body)

    async def failure(
        self, within_seconds: float, limits: CallLimits = LIST, body: bytes = b""
    ) -> CallFailure:
        """Make a call that fails and one that succeeds on a new connection; return the failure."""
        async with asyncio.timeout(within_seconds):
            with self.assertRaises(CallFailedError) as caught:
                await self.call(limits, body)
        self.assertEqual(self.reported, [caught.exception.failure])
        self.server.pause_seconds = 0.0
        self.assertEqual((await self.call()).body, BODY)
        self.assertEqual(self.proxy.opened, 2)
        return caught.exception.failure

    async def test_silent_while_idle(self) -> None:
        self.proxy.go_silent()
        self.assertIs(await self.failure(UNACKNOWLEDGED_LIMIT_SECONDS), CallFailure.SILENT)

    async def test_silent_while_idle_though_its_kernel_answers(self) -> None:
        self.proxy.silence = Silence.KERNEL
        self.proxy.go_silent()
        limits = watch_limits(0.0)
        within = limits.deadline_seconds + DELAY_MARGIN_SECONDS
        self.assertIs(await self.failure(within, limits), CallFailure.DEADLINE)

    async def test_silent_in_the_middle_of_a_request(self) -> None:
        self.proxy.request_bytes = 1000
        failure = await self.failure(UNACKNOWLEDGED_LIMIT_SECONDS, body=LARGE)
        self.assertIs(failure, CallFailure.SILENT)

    async def test_silent_in_the_middle_of_an_answer(self) -> None:
        limits = list_limits(2.0)
        for silence in Silence:
            with self.subTest(silence=silence):
                self.connection = self.connect()
                self.connection.on_silence = self.reported.append
                self.reported.clear()
                self.proxy.opened = 0
                self.proxy.silence = silence
                await self.call()
                self.proxy.answer_bytes = len(BODY) // 2
                within = limits.progress_seconds + DELAY_MARGIN_SECONDS
                self.assertIs(await self.failure(within, limits), CallFailure.STALLED)

    async def test_silent_while_a_watch_waits(self) -> None:
        limits = watch_limits(10.0)
        self.server.pause_seconds = 20.0
        asyncio.get_running_loop().call_later(0.2, self.proxy.go_silent)
        self.assertIs(await self.failure(PROBE_LIMIT_SECONDS, limits), CallFailure.SILENT)

    async def test_silent_while_a_watch_waits_though_its_kernel_answers(self) -> None:
        limits = watch_limits(1.0)
        self.proxy.silence = Silence.KERNEL
        self.server.pause_seconds = 20.0
        asyncio.get_running_loop().call_later(0.2, self.proxy.go_silent)
        within = limits.deadline_seconds + DELAY_MARGIN_SECONDS
        self.assertIs(await self.failure(within, limits), CallFailure.DEADLINE)

    async def test_a_watch_that_waits_for_longer_than_probes_take_is_not_given_up(self) -> None:
        self.server.pause_seconds = PROBE_LIMIT_SECONDS
        answer = await self.call(watch_limits(2 * PROBE_LIMIT_SECONDS))
        self.assertEqual(answer.body, BODY)

    async def test_an_answer_that_comes_slowly_is_not_given_up(self) -> None:
        limits = CallLimits(4.0, 0.3)
        protocol = self.connection._protocol
        assert protocol is not None
        answer = protocol.begin_response(limits)
        protocol.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        for _ in range(5):
            await asyncio.sleep(0.2)
            protocol.data_received(b"x")
        self.assertEqual((await answer).body, b"xxxxx")

    async def test_an_answer_is_not_given_up_while_the_event_loop_is_held_up(self) -> None:
        """Guards against a part that has arrived, but is read only after a timer."""
        protocol = self.connection._protocol
        assert protocol is not None
        answer = protocol.begin_response(CallLimits(4.0, 0.3))
        protocol.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
        for _ in range(2):
            asyncio.get_running_loop().call_later(0.1, time.sleep, 0.34)
            await asyncio.sleep(0.2)
            protocol.data_received(b"x")
        self.assertEqual((await answer).body, b"xx")

    async def test_a_connection_that_has_just_ended_fails_the_call_alone(self) -> None:
        refusal = OSError("Bad file descriptor")
        with (
            mock.patch.object(http_client, "enable_silence_detection", side_effect=refusal),
            self.assertRaises(CallFailedError) as caught,
        ):
            await self.call()
        self.assertIs(caught.exception.failure, CallFailure.BROKEN)
        self.assertEqual((await self.call()).body, BODY)

    async def test_without_probes_only_the_deadline_detects_silence(self) -> None:
        self.connection = self.connect(detects_silence=False)
        self.connection.on_silence = self.reported.append
        self.proxy.opened = 0
        await self.call()
        self.proxy.go_silent()
        limits = list_limits(UNACKNOWLEDGED_LIMIT_SECONDS)
        within = UNACKNOWLEDGED_LIMIT_SECONDS + DELAY_MARGIN_SECONDS
        self.assertIs(await self.failure(within, limits), CallFailure.DEADLINE)


REQUEST = b"GET /ready HTTP/1.1\r\n\r\n"
SHORT = ResponderLimits(connections=3, request_seconds=0.3, unread_seconds=1.0)
LARGE_ANSWER = bytes(16_000_000)


class SilentCallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        handlers = {
            "/ready": lambda: HttpResponse(200, b"ready\n"),
            "/large": lambda: HttpResponse(200, LARGE_ANSWER),
        }
        self.responder = HttpResponder(handlers, ConnectionKind.READINESS, SHORT)
        with socket.socket() as free:
            free.bind((HOST, 0))
            self.port = free.getsockname()[1]
        await self.responder.start(HOST, self.port)
        self.addCleanup(self.responder.close)

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(HOST, self.port, limit=1024)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def is_answered(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        writer.write(REQUEST)
        try:
            return b"ready" in await asyncio.wait_for(reader.readuntil(b"ready\n"), 2.0)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False

    async def wait_for_count(self, cause: str) -> None:
        async with asyncio.timeout(4.0):
            while not self.responder.counters[cause]:
                await asyncio.sleep(0.02)

    async def test_the_longest_idle_connection_is_closed_for_a_new_one(self) -> None:
        connections = [await self.open() for _ in range(3)]
        for ends in connections:
            self.assertTrue(await self.is_answered(*ends))
        self.assertTrue(await self.is_answered(*connections[0]))
        self.assertTrue(await self.is_answered(*await self.open()))
        self.assertEqual(
            [await self.is_answered(*ends) for ends in connections], [True, False, True]
        )
        self.assertEqual(self.responder.counters["evicted"], 1)

    async def test_a_request_that_arrives_too_slowly_is_closed(self) -> None:
        reader, writer = await self.open()
        for byte in REQUEST[:4]:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.1)
        await self.wait_for_count("half_sent")
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)

    async def test_a_caller_that_does_not_read_is_closed(self) -> None:
        _, writer = await self.open()
        writer.write(REQUEST.replace(b"ready", b"large"))
        await self.wait_for_count("unread")

    async def test_requests_of_a_caller_that_does_not_read_are_not_all_answered(self) -> None:
        _, writer = await self.open()
        writer.write(1000 * REQUEST.replace(b"ready", b"large"))
        await self.wait_for_count("flooding")

    async def test_a_slow_reader_gets_its_answer(self) -> None:
        reader, writer = await self.open()
        writer.write(REQUEST.replace(b"ready", b"large"))
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        self.assertEqual(await reader.readexactly(len(LARGE_ANSWER)), LARGE_ANSWER)
        self.assertTrue(await self.is_answered(reader, writer))


BOUND_SECONDS = 3.0
"""A node's default bound for applying configurations and drains."""


class SilentStoreTest(TokenNodeCase):
    """A whole node whose connections to the store go silent, at different moments."""

    network = "127.63.0"

    async def assert_change_applied(self, version: int) -> None:
        """Change the configuration, and check that the node applies it within the bound."""
        self.configure(version, "tracker")

        def is_in_force() -> bool:
            versions = (line.get("version") for line in self.lines(1))
            return version in versions

        await self.wait_until(is_in_force, BOUND_SECONDS, f"no version {version}")

    async def test_changes_are_applied_within_the_bound(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        proxy = await self.start_store_proxy()
        self.start_node(1)
        await self.wait_until_ready(1)
        await asyncio.sleep(2.0)
        version = 1
        for silence in Silence:
            for pause_seconds in (0.0, 0.2, 1.2):
                with self.subTest(silence=silence, pause_seconds=pause_seconds):
                    version += 1
                    proxy.silence = silence
                    proxy.go_silent()
                    await asyncio.sleep(pause_seconds)
                    await self.assert_change_applied(version)
                    proxy.answer_bytes = 100
                    version += 1
                    await self.assert_change_applied(version)
        self.assertEqual(await self.readiness(1), 200)
        _, figures = await self.get(1, METRICS_PORT, "/metrics")
        self.assertIn("beamloom_silent_connections_total", figures)
