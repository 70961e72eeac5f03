"""Checks of backends on real sockets: a listener, a closed port and a silent port."""

import asyncio
import socket
import time
import unittest

from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.liveness import CheckOutcome, LivenessChecks, Suspicion
from beamloom.runtime.backend_check import BackendChecker
from beamloom.runtime.connection_limits import (
    CHECK_ATTEMPT_SECONDS,
    CHECK_ATTEMPTS,
    REFERENCE_SECONDS,
)
from tests.unit.tokens.builders import backend

HOST = "127.0.0.1"


class BackendCheckTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, port: int, *references: int) -> tuple[str, float]:
        """Check a port; return the outcome and how long it took, in seconds."""
        checks = LivenessChecks()
        checks.find_references = lambda _: [
            Backend(backend(number, port=reference), 1)
            for number, reference in enumerate(references, 2)
        ]
        done = asyncio.Event()
        checker = BackendChecker(checks, HOST, done.set)
        began_at = time.monotonic()
        target = Backend(backend(1, port=port), 1)
        checks.suspect(target, Suspicion.REPORTED, asyncio.get_running_loop().time())
        await asyncio.wait_for(done.wait(), 5.0)
        checker.close()
        outcomes = {outcome.value for outcome in CheckOutcome}
        (found,) = outcomes & checks.counters.keys()
        return found, time.monotonic() - began_at

    def listen(self, backlog: int) -> socket.socket:
        server = socket.create_server((HOST, 0), backlog=backlog)
        self.addCleanup(server.close)
        return server

    async def test_a_listener_is_alive(self) -> None:
        outcome, _ = await self.check(self.listen(8).getsockname()[1])
        self.assertEqual(outcome, "alive")

    async def test_a_port_that_nobody_listens_on_refuses(self) -> None:
        server = self.listen(1)
        port = server.getsockname()[1]
        server.close()
        self.assertEqual((await self.check(port))[0], "refused")

    def listen_silently(self) -> socket.socket:
        """Return a listener with a full backlog; it drops SYNs, like a machine that is down."""
        server = self.listen(0)
        for _ in range(4):
            self.connect(server.getsockname()[1])
        return server

    def connect(self, port: int) -> None:
        pending = socket.socket()
        pending.setblocking(False)
        pending.connect_ex((HOST, port))
        self.addCleanup(pending.close)

    async def test_a_port_that_answers_nothing_is_silent_after_all_attempts(self) -> None:
        port = self.listen_silently().getsockname()[1]
        outcome, seconds = await self.check(port, self.listen(8).getsockname()[1])
        self.assertEqual(outcome, "silent")
        self.assertGreaterEqual(seconds, CHECK_ATTEMPTS * CHECK_ATTEMPT_SECONDS)
        self.assertLess(seconds, CHECK_ATTEMPTS * CHECK_ATTEMPT_SECONDS + 2.0)

    async def test_silence_is_unconfirmed_if_no_reference_answers(self) -> None:
        port = self.listen_silently().getsockname()[1]
        silent = self.listen_silently().getsockname()[1]
        for references in ((), (silent,), (silent, self.listen(8).getsockname()[1])):
            with self.subTest(references=references):
                outcome, seconds = await self.check(port, *references)
                self.assertEqual(outcome, "unconfirmed")
                self.assertLess(seconds, 2.0 + REFERENCE_SECONDS)
