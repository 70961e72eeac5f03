"""Executes `CheckBackend`: requests a backend's health endpoint over HTTP.

The endpoint answers `{"healthy", "shedding", "draining", "load"}`. A timeout, any status but 200 or
an unreadable body counts as not healthy. A backend that reports draining counts as shedding: it
gets no new work, and its current work continues.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from beamloom.object_api.statuses import HttpStatus
from beamloom.protocol.commands import CheckBackend, Command
from beamloom.protocol.events import BackendChecked, Event

CHECK_TIMEOUT_SECONDS = 1.0
CONCURRENT_CHECKS = 32
MAXIMUM_ANSWER_BYTES = 4096

CHECK_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValidationError, ValueError)


class HealthAnswer(BaseModel):
    """The body of a health endpoint's answer; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    healthy: bool
    shedding: bool = False
    draining: bool = False
    load: float = Field(default=0.0, ge=0.0, allow_inf_nan=False)


class HealthChecks:
    """Runs at most CONCURRENT_CHECKS checks at once; more are queued.

    A check of a backend that is still being checked is skipped.
    """

    def __init__(
        self, deliver: Callable[[Event], None], timeout_seconds: float = CHECK_TIMEOUT_SECONDS
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._deliver = deliver
        self._timeout = timeout_seconds
        self._slots = asyncio.Semaphore(CONCURRENT_CHECKS)
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._session: aiohttp.ClientSession | None = None

    def execute(self, command: Command) -> bool:
        """Start a check; return False if the command is not a check."""
        if not isinstance(command, CheckBackend):
            return False
        if command.backend_number in self._tasks:
            self.counters["skipped"] += 1
            return True
        task = asyncio.get_running_loop().create_task(self._run(command))
        self._tasks[command.backend_number] = task
        return True

    async def close(self) -> None:
        """Cancel all checks and wait until they have ended."""
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _run(self, command: CheckBackend) -> None:
        try:
            async with self._slots:
                answer = await self._check(command)
            del self._tasks[command.backend_number]  # Delivering may start the next check.
            self._deliver(answer)
        except Exception as error:
            self._tasks.pop(command.backend_number, None)
            context = {"message": "a health check failed unexpectedly", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)

    async def _check(self, command: CheckBackend) -> BackendChecked:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            answer = await self._request_health(command)
            self.counters["answered"] += 1
        except CHECK_ERRORS:
            answer = HealthAnswer(healthy=False)
            self.counters["failed"] += 1
        return BackendChecked(
            command.backend_number,
            answer.healthy,
            answer.shedding or answer.draining,
            answer.load,
            loop.time() - started_at,
        )

    async def _request_health(self, command: CheckBackend) -> HealthAnswer:
        timeout = aiohttp.ClientTimeout(total=self._timeout)
        url = f"http://{command.health_address}/health"
        async with self._client().get(url, timeout=timeout, allow_redirects=False) as response:
            if response.status != HttpStatus.OK:
                raise ValueError(f"status {response.status}; the endpoint must answer 200")
            body = await _read_bounded(response)
        return HealthAnswer.model_validate_json(body)

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=CONCURRENT_CHECKS)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return the body; raises ValueError if it is longer than MAXIMUM_ANSWER_BYTES."""
    body: Any = b""
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAXIMUM_ANSWER_BYTES:
            raise ValueError(f"more than {MAXIMUM_ANSWER_BYTES} bytes; answer the report only")
    return bytes(body)
