"""Client of the platform's HTTP/JSON object API.

Reads are retried. A write is retried only if it was certainly not executed (no connection, status
429 or 503). After a lost response or another 5xx it may have been executed: OutcomeUnknownError is
raised, and the caller must read the object to find out.
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
    """Asynchronous client; use it as an async context manager or call `start` and `close`."""

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
        """Open the session without sending a request; raises TlsConfigurationError."""
        self._session = open_session(self._options)

    async def close(self) -> None:
        """Close every connection; further calls have no effect."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def list_objects(self, prefix: str = "") -> wire.ObjectListing:
        """Return every object whose key starts with `prefix`."""
        body = await self._get(wire.OBJECTS_PATH, {"prefix": prefix})
        return wire.decode(wire.listing_from_json, body)

    async def read(self, key: str) -> wire.ObjectReading:
        """Return one object and the store's revision; `found` is None if it does not exist."""
        body = await self._get(_object_path(key))
        return wire.decode(wire.reading_from_json, body)

    async def write(self, key: str, value: dict[str, Any] | None, expected_revision: int) -> int:
        """Write an object if its revision is `expected_revision`; return the new revision.

        A `value` of None deletes the object. An `expected_revision` of 0 requires that the object
        does not exist. Raises StoreConflictError, OutcomeUnknownError, StoreUnavailableError and
        the other PlatformErrors.
        """
        method = "DELETE" if value is None else "PUT"
        headers = {"If-Match": f'"{expected_revision}"'}
        path = _object_path(key)
        body = await self._retry(
            lambda: self._request(method, path, headers=headers, body=value), WRITE_RETRY_ERRORS
        )
        return wire.decode(wire.revision_from_json, body)

    async def watch(
        self, revision: int, prefix: str = ""
    ) -> AsyncGenerator[wire.ChangeBatch, None]:
        """Yield the changes after `revision`, each once and in order, reconnecting as needed.

        The first batch contains all changes up to now; empty batches are keepalives. Raises
        WatchGoneError if the objects must be listed again, and StoreUnavailableError or
        TooManyReadersError once the retries since the last batch are used up. Close the iterator
        with `aclosing`.
        """
        delays = self._retrier.delays()
        while True:
            failure: StoreUnavailableError | TooManyReadersError
            try:
                async with aclosing(self._watch_once(revision, prefix)) as batches:
                    async for batch in batches:
                        revision = batch.revision
                        delays = self._retrier.delays()
                        yield batch
                failure = StoreUnavailableError("the platform ended the watch")
            except OutcomeUnknownError as error:
                failure = StoreUnavailableError(f"the watch was interrupted: {error.__cause__!r}")
            except (StoreUnavailableError, TooManyReadersError) as error:
                failure = error
            delay = next(delays, None)
            if delay is None:
                raise failure
            await self._retrier.wait(_at_least_retry_after(delay, failure))

    async def list_machines(self) -> wire.MachineListing:
        """Return the platform's list of machines, which may be out of date."""
        body = await self._get(wire.MACHINES_PATH)
        return wire.decode(wire.machines_from_json, body)

    async def register_machine(self, machine: Machine) -> None:
        """Add a machine to the platform's list."""
        await self._post_report({"action": "register", "machine": wire.machine_to_json(machine)})

    async def heartbeat_machine(self, node_id: NodeId) -> None:
        """Report that a machine is alive; raises MachineNotRegisteredError if it is not listed."""
        await self._post_report({"action": "heartbeat", "node_id": node_id})

    async def leave_machine(self, node_id: NodeId) -> None:
        """Report that a machine leaves; raises MachineNotRegisteredError if it is not listed."""
        await self._post_report({"action": "leave", "node_id": node_id})

    async def _post_report(self, body: wire.JsonObject) -> None:
        # Reports are idempotent, so they are retried like reads after a lost response.
        response = await self._retry_read(
            lambda: self._request("POST", wire.MACHINES_PATH, body=body)
        )
        if not response.get("known", True):
            raise MachineNotRegisteredError(str(body.get("node_id")))

    async def _get(self, path: str, parameters: dict[str, str] | None = None) -> wire.JsonObject:
        return await self._retry_read(lambda: self._request("GET", path, parameters=parameters))

    async def _retry_read(
        self, attempt: Callable[[], Awaitable[wire.JsonObject]]
    ) -> wire.JsonObject:
        try:
            return await self._retry(attempt, READ_RETRY_ERRORS)
        except OutcomeUnknownError as error:
            raise StoreUnavailableError(f"no response: {error.__cause__!r}") from error

    async def _retry(
        self, attempt: Callable[[], Awaitable[Result]], errors: tuple[type[PlatformError], ...]
    ) -> Result:
        for delay in self._retrier.delays():
            try:
                return await attempt()
            except errors as error:
                await self._retrier.wait(_at_least_retry_after(delay, error))
        return await attempt()

    async def _request(
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
            async with self._require_session().request(
                method,
                self._url + path,
                params=parameters,
                headers=headers,
                json=body,
                timeout=timeout,
            ) as response:
                return await self._parse_response(response, path)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise OutcomeUnknownError(f"{method} {path}: {error!r}") from error

    async def _parse_response(self, response: aiohttp.ClientResponse, path: str) -> wire.JsonObject:
        text = await response.text()
        try:
            body = json.loads(text)
        except ValueError:
            body = None
        if response.status == HttpStatus.CONFLICT and isinstance(body, dict):
            raise _conflict_error(body)
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
            sock_read=self._options.watch_idle_timeout_seconds,
        )
        parameters = {"revision": str(revision), "prefix": prefix}
        try:
            async with self._require_session().get(
                self._url + wire.WATCH_PATH, params=parameters, timeout=timeout
            ) as response:
                if response.status == HttpStatus.GONE:
                    raise WatchGoneError(revision)
                if response.status != HttpStatus.OK:
                    text = await response.text()
                    raise error_for_status(response.status, response.headers, text)
                async for line in _complete_lines(response.content):
                    yield wire.decode(wire.batch_from_json, _parse_json_line(line))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise OutcomeUnknownError(f"watch: {error!r}") from error

    def _require_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise StoreUnavailableError("the client is not started; call start() first")
        return self._session


def _object_path(key: str) -> str:
    return f"{wire.OBJECTS_PATH}/{quote(key)}"


def _conflict_error(body: wire.JsonObject) -> StoreConflictError:
    current = wire.decode(lambda answer: wire.optional_object_from_json(answer["current"]), body)
    return StoreConflictError(str(body.get("key")), current)


def _at_least_retry_after(delay: float, error: PlatformError) -> float:
    return max(delay, error.retry_after) if isinstance(error, TooManyReadersError) else delay


async def _complete_lines(content: aiohttp.StreamReader) -> AsyncGenerator[bytes, None]:
    """Yield lines of any length; a last line without a newline is incomplete and dropped."""
    pending = b""
    async for chunk in content.iter_any():
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            yield line


def _parse_json_line(line: bytes) -> object:
    try:
        return json.loads(line)
    except ValueError as error:
        raise MalformedAnswerError(f"a watch line is not JSON: {error}") from error
