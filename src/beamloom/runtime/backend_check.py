"""Checks over TCP whether a process listens at a backend's address.

The check only opens and closes a connection: a health request would occupy a slot of the backend,
and its answer says little about the backend's flows.

An answer may be late or lost because this node's link is congested. After silent attempts the node
therefore makes another one, and right after it connects to other backends, the references. A link
delivers in order, so the answers of references show that the backend's is not waiting in the link.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable

from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.liveness import CheckOutcome, LivenessChecks, confirm_silence
from beamloom.runtime.connection_limits import (
    CHECK_ATTEMPT_SECONDS,
    CHECK_ATTEMPTS,
    REFERENCE_MARGIN_SECONDS,
    REFERENCE_SECONDS,
)

Address = tuple[str, int]


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
        attempts = _Attempts(self._local_host)
        try:
            outcome = await attempts.check(
                backend.record.address,
                lambda: [one.record.address for one in self._checks.find_references(backend)],
            )
        finally:
            attempts.cancel()
        self._checks.apply_outcome(backend, outcome, asyncio.get_running_loop().time())
        self._on_done()


class _Attempts:
    """The connection attempts of one check; each goes on until it is answered or cancelled."""

    def __init__(self, local_host: str) -> None:
        self._local_host = local_host
        self._target: set[asyncio.Task[CheckOutcome]] = set()
        self._references: set[asyncio.Task[CheckOutcome]] = set()

    def cancel(self) -> None:
        """Cancel the attempts that have not ended."""
        for task in self._target | self._references:
            task.cancel()

    async def check(
        self, address: Address, find_references: Callable[[], Iterable[Address]]
    ) -> CheckOutcome:
        """Return what connection attempts to an address show of the backend there."""
        for _ in range(CHECK_ATTEMPTS):
            self._target.add(self._connect(address))
            await asyncio.wait(
                self._target, timeout=CHECK_ATTEMPT_SECONDS, return_when=asyncio.FIRST_COMPLETED
            )
            if answer := _first_result(self._target):
                return answer
        self._target.add(self._connect(address))
        self._references = {self._connect(reference) for reference in find_references()}
        return await self._compare_with_references()

    async def _compare_with_references(self) -> CheckOutcome:
        loop = asyncio.get_running_loop()
        due = loop.time() + REFERENCE_SECONDS
        while not self._references_answered and (seconds := due - loop.time()) > 0:
            pending = {task for task in self._target | self._references if not task.done()}
            await asyncio.wait(pending, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
            if answer := _first_result(self._target):
                return answer
        if not self._references_answered:
            return CheckOutcome.UNCONFIRMED
        await asyncio.wait(
            self._target, timeout=REFERENCE_MARGIN_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        return _first_result(self._target) or CheckOutcome.SILENT

    @property
    def _references_answered(self) -> bool:
        """Whether enough references have answered so far."""
        results = [task.result() if task.done() else None for task in self._references]
        return confirm_silence(results)

    def _connect(self, address: Address) -> asyncio.Task[CheckOutcome]:
        return asyncio.get_running_loop().create_task(_connect(address, self._local_host))


def _first_result(tasks: Iterable[asyncio.Task[CheckOutcome]]) -> CheckOutcome | None:
    return next((task.result() for task in tasks if task.done()), None)


async def _connect(address: Address, local_host: str) -> CheckOutcome:
    """Attempt a connection until it is answered; return what the answer shows of the backend."""
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        connection.bind((local_host, 0))
        await asyncio.get_running_loop().sock_connect(connection, address)
    except (ConnectionRefusedError, ConnectionResetError):
        return CheckOutcome.REFUSED
    except OSError:
        return CheckOutcome.UNCLEAR
    finally:
        connection.close()
    return CheckOutcome.ALIVE
