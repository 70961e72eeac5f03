"""Health checks over HTTP: valid answers, invalid ones, and endpoints that do not answer."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from aiohttp import web

from beamloom.model.addresses import SocketAddress
from beamloom.protocol.commands import CheckBackend, StopWatch
from beamloom.protocol.events import BackendChecked, Event
from beamloom.runtime.health_checks import HealthChecks
from beamloom.standins.http_server import HttpServer

ANY_PORT = SocketAddress("127.0.0.1", 0)
GOOD = {"healthy": True, "shedding": True, "draining": False, "load": 0.5}


class HealthChecksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.respond: Callable[[], Awaitable[web.Response]] = self.good
        self.server = await HttpServer.open(ANY_PORT, [web.get("/health", self.health)])
        self.address = self.server.address
        self.addAsyncCleanup(self.server.close)
        self.checks = HealthChecks(self.events.put_nowait, timeout_seconds=5.0)
        self.addAsyncCleanup(self.checks.close)

    async def health(self, request: web.Request) -> web.Response:
        return await self.respond()

    async def good(self) -> web.Response:
        return web.json_response(GOOD)

    async def check(self) -> BackendChecked:
        self.checks.execute(CheckBackend(7, self.address))
        event = await self.events.get()
        assert isinstance(event, BackendChecked)
        return event

    async def test_good_answer_is_passed_on(self) -> None:
        event = await self.check()
        self.assertEqual((event.backend_number, event.healthy), (7, True))
        self.assertEqual((event.shedding, event.load), (True, 0.5))
        self.assertGreater(event.answer_seconds, 0.0)
        self.assertFalse(self.checks.execute(StopWatch(1)))

    async def test_invalid_answers_count_as_not_healthy(self) -> None:
        answers = (
            web.Response(status=500),
            web.Response(status=302, headers={"Location": "/health"}),
            web.Response(text="not JSON"),
            web.json_response([]),
            web.json_response(GOOD | {"load": -1}),
            web.Response(text='{"healthy": true, "load": NaN}'),
            web.json_response(GOOD | {"padding": "x" * 10_000}),
        )
        for answer in answers:

            async def respond(answer: web.Response = answer) -> web.Response:
                return answer

            self.respond = respond
            with self.subTest(answer.status):
                self.assertFalse((await self.check()).healthy)
        self.assertEqual(self.checks.counters["failed"], len(answers))

    async def test_answer_may_start_the_next_check_at_once(self) -> None:
        def deliver(event: Event) -> None:
            if self.events.empty():
                self.checks.execute(CheckBackend(7, self.address))
            self.events.put_nowait(event)

        self.checks._deliver = deliver
        await self.check()
        await self.events.get()
        self.assertEqual(
            (self.checks.counters["skipped"], self.checks.counters["answered"]), (0, 2)
        )

    async def test_draining_backend_is_healthy_and_takes_no_new_work(self) -> None:
        async def draining() -> web.Response:
            return web.json_response(GOOD | {"draining": True, "shedding": False})

        self.respond = draining
        event = await self.check()
        self.assertEqual((event.healthy, event.shedding), (True, True))

    async def test_closed_port_and_silence_count_as_not_healthy(self) -> None:
        release = asyncio.Event()

        async def silent() -> web.Response:
            await release.wait()
            return await self.good()

        self.respond = silent
        checks = HealthChecks(self.events.put_nowait, timeout_seconds=0.01)
        self.addAsyncCleanup(checks.close)
        checks.execute(CheckBackend(1, self.address))
        checks.execute(CheckBackend(1, self.address))
        event = await self.events.get()
        assert isinstance(event, BackendChecked)
        self.assertFalse(event.healthy)
        self.assertEqual(checks.counters["skipped"], 1)
        release.set()
        await self.server.close()
        self.assertFalse((await self.check()).healthy)
