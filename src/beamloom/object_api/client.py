"""Client of the platform's HTTP/JSON object API.

Reads are retried. A write is retried only where it was certainly not run (no connection, status
429 or 503); once it may have been run, OutcomeUnknownError leaves the answer to a read-back.
"""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from types import TracebackType
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp

from beamloom.model.machines import Machine, NodeId
from beamloom.object_api import wire
from beamloom.object_api.errors import (
    MachineNotRegisteredError,
    MalformedAnswerError,
    OutcomeUnknownError,
    PlatformError,
    StoreConflictError,
    StoreUnavailableError,
    TooManyReadersError,
    WatchGoneError,
)
from beamloom.object_api.options import PlatformOptions
from beamloom.object_api.retry import Retrier
from beamloom.object_api.statuses import HttpStatus, error_for_status
from beamloom.object_api.transport import open_session

Result = TypeVar("Result")

READ_RETRY_ERRORS = (StoreUnavailableError, OutcomeUnknownError, TooManyReadersError)
WRITE_RETRY_ERRORS = (StoreUnavailableError, TooManyReadersError)


class PlatformClient:
    """Asynchronous client; use it as a context manager or call `start` and `close`."""

    def __init__(self, options: PlatformOptions, retrier: Retrier) -> None:
        self._options = options
        self._retrier = retrier
        self._url = options.url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> PlatformClient:
        """Start the client."""
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the client."""
        await self.close()

    async def start(self) -> None:
        """Open the session; no request is sent yet. Raises TlsConfigurationError."""
        self._session = open_session(self._options)

    async def close(self) -> None:
        """Close every connection; closing twice is harmless."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def list_objects(self, prefix: str = "") -> wire.ObjectListing:
        """Return every object whose key starts with `prefix`."""
        body = await self._read(wire.OBJECTS_PATH, {"prefix": prefix})
        return wire.decode(wire.listing_from_json, body)

    async def read(self, key: str) -> wire.ObjectReading:
        """Return one object and the store's revision; `found` is None where there is none."""
        body = await self._read(_object_path(key))
        return wire.decode(wire.reading_from_json, body)

    async def write(self, key: str, value: dict[str, Any] | None, expected_revision: int) -> int:
        """Write (`value` None: delete) if the revision is as expected; return the new revision.

        `expected_revision` 0 means: the object must not exist. Raises StoreConflictError,
        OutcomeUnknownError, StoreUnavailableError and the other PlatformErrors.
        """
        method = "DELETE" if value is None else "PUT"
        headers = {"If-Match": f'"{expected_revision}"'}
        path = _object_path(key)
        body = await self._retrying(
            lambda: self._exchange(method, path, headers=headers, body=value), WRITE_RETRY_ERRORS
        )
        return wire.decode(wire.revision_from_json, body)

    async def watch(
        self, revision: int, prefix: str = ""
    ) -> AsyncGenerator[wire.ChangeBatch, None]:
        """Yield the changes after `revision`, each once and in order, across disconnections.

        The first batch brings everything up to now; empty batches show that the watch lives.
        Raises WatchGoneError (list anew), and StoreUnavailableError or TooManyReadersError once
        the retries since the last batch are used up. Close the iterator with `aclosing`.
        """
        pauses = self._retrier.pauses()
        while True:
            failure: StoreUnavailableError | TooManyReadersError
            try:
                async with aclosing(self._watch_once(revision, prefix)) as batches:
                    async for batch in batches:
                        revision = batch.revision
                        pauses = self._retrier.pauses()
                        yield batch
                failure = StoreUnavailableError("the platform ended the watch")
            except OutcomeUnknownError as error:
                failure = StoreUnavailableError(f"the watch broke: {error.__cause__!r}")
            except (StoreUnavailableError, TooManyReadersError) as error:
                failure = error
            pause = next(pauses, None)
            if pause is None:
                raise failure
            await self._retrier.pause(_at_least_retry_after(pause, failure))

    async def list_machines(self) -> wire.MachineListing:
        """Return the platform's lagging list of machines."""
        body = await self._read(wire.MACHINES_PATH)
        return wire.decode(wire.machines_from_json, body)

    async def register_machine(self, machine: Machine) -> None:
        """Enter a machine into the platform's list."""
        await self._report({"action": "register", "machine": wire.machine_to_json(machine)})

    async def heartbeat_machine(self, node_id: NodeId) -> None:
        """Tell that a machine lives; raises MachineNotRegisteredError where it must register."""
        await self._report({"action": "heartbeat", "node_id": node_id})

    async def leave_machine(self, node_id: NodeId) -> None:
        """Tell that a machine is leaving; raises MachineNotRegisteredError."""
        await self._report({"action": "leave", "node_id": node_id})

    async def _report(self, body: wire.JsonObject) -> None:
        # Repeating a report changes nothing, so a lost answer is retried like a read.
        answer = await self._reading(lambda: self._exchange("POST", wire.MACHINES_PATH, body=body))
        if not answer.get("known", True):
            raise MachineNotRegisteredError(str(body.get("node_id")))

    async def _read(self, path: str, parameters: dict[str, str] | None = None) -> wire.JsonObject:
        return await self._reading(lambda: self._exchange("GET", path, parameters=parameters))

    async def _reading(self, attempt: Callable[[], Awaitable[wire.JsonObject]]) -> wire.JsonObject:
        try:
            return await self._retrying(attempt, READ_RETRY_ERRORS)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(f"no answer: {error.__cause__!r}") from error

    async def _retrying(
        self, attempt: Callable[[], Awaitable[Result]], errors: tuple[type[PlatformError], ...]
    ) -> Result:
        for pause in self._retrier.pauses():
            try:
                return await attempt()
            except errors as error:
                await self._retrier.pause(_at_least_retry_after(pause, error))
        return await attempt()

    async def _exchange(
        self,
        method: str,
        path: str,
        *,
        parameters: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        body: wire.JsonObject | None = None,
    ) -> wire.JsonObject:
        timeout = aiohttp.ClientTimeout(total=self._options.request_timeout_seconds)
        try:
            async with self._open_session().request(
                method,
                self._url + path,
                params=parameters,
                headers=headers,
                json=body,
                timeout=timeout,
            ) as response:
                return await self._checked_body(response, path)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise OutcomeUnknownError(f"{method} {path}: {error!r}") from error

    async def _checked_body(self, response: aiohttp.ClientResponse, path: str) -> wire.JsonObject:
        text = await response.text()
        try:
            body = json.loads(text)
        except ValueError:
            body = None
        if response.status == HttpStatus.CONFLICT and isinstance(body, dict):
            raise _conflict(body)
        if response.status != HttpStatus.OK:
            raise error_for_status(response.status, response.headers, text)
        if not isinstance(body, dict):
            raise MalformedAnswerError(f"{path}: the body is not a JSON object")
        return body

    async def _watch_once(
        self, revision: int, prefix: str
    ) -> AsyncGenerator[wire.ChangeBatch, None]:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._options.request_timeout_seconds,
            sock_read=self._options.watch_silence_seconds,
        )
        parameters = {"revision": str(revision), "prefix": prefix}
        try:
            async with self._open_session().get(
                self._url + wire.WATCH_PATH, params=parameters, timeout=timeout
            ) as response:
                if response.status == HttpStatus.GONE:
                    raise WatchGoneError(revision)
                if response.status != HttpStatus.OK:
                    text = await response.text()
                    raise error_for_status(response.status, response.headers, text)
                async for line in _whole_lines(response.content):
                    yield wire.decode(wire.batch_from_json, _json_line(line))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise OutcomeUnknownError(f"watch: {error!r}") from error

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise StoreUnavailableError("the client is not started; call start() first")
        return self._session


def _object_path(key: str) -> str:
    return f"{wire.OBJECTS_PATH}/{quote(key)}"


def _conflict(body: wire.JsonObject) -> StoreConflictError:
    current = wire.decode(lambda answer: wire.optional_object_from_json(answer["current"]), body)
    return StoreConflictError(str(body.get("key")), current)


def _at_least_retry_after(pause: float, error: PlatformError) -> float:
    return max(pause, error.retry_after) if isinstance(error, TooManyReadersError) else pause


async def _whole_lines(content: aiohttp.StreamReader) -> AsyncGenerator[bytes, None]:
    """Yield lines of any length; a last line without its end was cut off and is dropped."""
    pending = b""
    async for chunk in content.iter_any():
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            yield line


def _json_line(line: bytes) -> object:
    try:
        return json.loads(line)
    except ValueError as error:
        raise MalformedAnswerError(f"a watch line is not JSON: {error}") from error
