"""Checks over TCP whether a process listens at a backend's address.

The check only opens and closes a connection: a health request would occupy a slot of the backend,
and its answer says little about the backend's flows.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.liveness import CheckOutcome, LivenessChecks
from beamloom.runtime.connection_limits import CHECK_ATTEMPT_SECONDS, CHECK_ATTEMPTS

MAXIMUM_LOOP_DELAY_SECONDS = 0.03
"""If the event loop ran later than this, an answer may have arrived in time but not been read."""


class BackendChecker:
    """Runs the checks that `checks` requests; `on_done` is called after each outcome."""

    def __init__(
        self, checks: LivenessChecks, local_host: str, on_done: Callable[[], None]
    ) -> None:
        self._checks = checks
        self._local_host = local_host
        self._on_done = on_done
        self._tasks: set[asyncio.Task[None]] = set()
        checks.start_check = self._start

    def close(self) -> None:
        """Cancel the running checks."""
        for task in self._tasks:
            task.cancel()

    def _start(self, backend: Backend) -> None:
        task = asyncio.get_running_loop().create_task(self._check(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, backend: Backend) -> None:
        outcome = CheckOutcome.UNCLEAR
        for _ in range(CHECK_ATTEMPTS):
            outcome = await _connect(backend.record.address, self._local_host)
            if outcome is not CheckOutcome.SILENT:
                break
        self._checks.apply_outcome(backend, outcome, asyncio.get_running_loop().time())
        self._on_done()


async def _connect(address: tuple[str, int], local_host: str) -> CheckOutcome:
    """Attempt a connection once; return what that shows of the backend."""
    loop = asyncio.get_running_loop()
    due = loop.time() + CHECK_ATTEMPT_SECONDS
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        connection.bind((local_host, 0))
        async with asyncio.timeout_at(due):
            await loop.sock_connect(connection, address)
    except TimeoutError:
        return (
            CheckOutcome.SILENT
            if loop.time() - due < MAXIMUM_LOOP_DELAY_SECONDS
            else CheckOutcome.UNCLEAR
        )
    except (ConnectionRefusedError, ConnectionResetError):
        return CheckOutcome.REFUSED
    except OSError:
        return CheckOutcome.UNCLEAR
    finally:
        connection.close()
    return CheckOutcome.ALIVE
