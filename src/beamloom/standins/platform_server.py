"""HTTP/JSON server that stands in for the platform, over a `PlatformStore` with injected faults."""

from __future__ import annotations

import asyncio
import hmac
import json
import ssl
from collections.abc import Awaitable, Callable

from aiohttp import web

from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import NodeId
from beamloom.object_api import wire
from beamloom.object_api.errors import (
    PlatformError,
    StoreConflictError,
    StoreUnavailableError,
    TooManyReadersError,
    WatchGoneError,
)
from beamloom.object_api.retry import Sleep
from beamloom.object_api.statuses import HttpStatus
from beamloom.standins.platform_faults import FaultPlan
from beamloom.standins.platform_store import PlatformStore, StoreWatch

DEFAULT_KEEPALIVE_SECONDS = 3.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class WatchStream:
    """One open watch connection; `changed` wakes it, and `is_closed` ends it when woken."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self.is_closed = False


class PlatformServer:
    """Serves a store; `start` returns the bound address (port 0: any free port).

    `sleep` waits for injected delays; idle watches get an empty batch every `keepalive_seconds`.
    """

    def __init__(
        self,
        store: PlatformStore,
        token: str,
        address: SocketAddress,
        *,
        tls: ssl.SSLContext | None = None,
        keepalive_seconds: float = DEFAULT_KEEPALIVE_SECONDS,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._store = store
        self._authorization = f"Bearer {token}".encode()
        self._address = address
        self._tls = tls
        self._keepalive_seconds = keepalive_seconds
        self._sleep = sleep
        self._runner: web.AppRunner | None = None
        self._streams: set[WatchStream] = set()
        self._writes: set[asyncio.Future[int]] = set()

    async def start(self) -> SocketAddress:
        """Listen; raises OSError when the address is taken."""
        runner = web.AppRunner(
            self._application(), handler_cancellation=True, access_log=None, shutdown_timeout=1.0
        )
        await runner.setup()
        site = web.TCPSite(runner, self._address.host, self._address.port, ssl_context=self._tls)
        try:
            await site.start()
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner
        host, port = runner.addresses[0][:2]
        return SocketAddress(host, port)

    async def stop(self) -> None:
        """End all watches, cancel pending writes and close the socket."""
        self.drop_watches()
        for write in tuple(self._writes):
            write.cancel()
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    def drop_watches(self) -> None:
        """Abort the connections of all open watches, as a restart of the platform would."""
        for stream in self._streams:
            stream.is_closed = True
            stream.changed.set()

    def _application(self) -> web.Application:
        application = web.Application(middlewares=[self._handle_request])
        application.router.add_get(wire.OBJECTS_PATH, self._list)
        application.router.add_get(wire.OBJECTS_PATH + "/{key:.+}", self._read)
        application.router.add_put(wire.OBJECTS_PATH + "/{key:.+}", self._put)
        application.router.add_delete(wire.OBJECTS_PATH + "/{key:.+}", self._delete)
        application.router.add_get(wire.WATCH_PATH, self._watch)
        application.router.add_get(wire.MACHINES_PATH, self._list_machines)
        application.router.add_post(wire.MACHINES_PATH, self._report_machine)
        application.router.add_post(wire.FAULTS_PATH, self._inject)
        return application

    @web.middleware
    async def _handle_request(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        authorization = request.headers.get("Authorization", "").encode(errors="replace")
        if not hmac.compare_digest(authorization, self._authorization):
            return _error_response(HttpStatus.UNAUTHORIZED, "send the bearer token of the platform")
        try:
            return await handler(request)
        except PlatformError as error:
            return _platform_error_response(error)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _error_response(HttpStatus.BAD_REQUEST, f"{type(error).__name__}: {error}")

    async def _list(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        listing = self._store.list_objects(request.query.get("prefix", ""))
        objects = [wire.object_to_json(stored) for stored in listing.objects]
        return web.json_response({"revision": listing.revision, "objects": objects})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        reading = self._store.read(request.match_info["key"])
        found = None if reading.found is None else wire.object_to_json(reading.found)
        return web.json_response({"revision": reading.revision, "object": found})

    async def _put(self, request: web.Request) -> web.StreamResponse:
        value = await request.json()
        if not isinstance(value, dict):
            raise ValueError("the value must be a JSON object")
        return await self._write(request, value)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        return await self._write(request, None)

    async def _write(
        self, request: web.Request, value: wire.JsonObject | None
    ) -> web.StreamResponse:
        expected = request.headers.get("If-Match")
        if expected is None:
            return _error_response(HttpStatus.PRECONDITION_REQUIRED, 'send If-Match: "REVISION"')
        expected_revision = int(expected.strip('"'))
        key = request.match_info["key"]
        decision = self._store.faults.decide(is_write=True)
        if decision.unavailable:
            raise StoreUnavailableError("injected fault")

        async def run() -> int:
            await self._pause(decision.delay_seconds)
            return self._store.write(key, value, expected_revision).revision

        # Shielded: the write continues when the client disconnects.
        try:
            revision = await asyncio.shield(self._track_write(run()))
        finally:
            if decision.lose_answer:
                _abort(request)
        return web.json_response({"revision": revision})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        revision = int(request.query["revision"])
        watch = self._store.open_watch(revision, request.query.get("prefix", ""))
        stream = WatchStream()
        self._streams.add(stream)
        self._store.add_listener(stream.changed.set)
        try:
            return await self._stream(request, watch, stream)
        finally:
            self._store.remove_listener(stream.changed.set)
            self._streams.discard(stream)
            self._store.close_watch(watch)

    async def _stream(
        self, request: web.Request, watch: StoreWatch, stream: WatchStream
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        try:
            while not stream.is_closed:
                stream.changed.clear()
                batch = self._store.take_changes(watch)
                await response.write(_batch_line(batch))
                await self._wait_for(stream.changed)
        except (StoreUnavailableError, WatchGoneError, ConnectionError):
            pass  # The headers are sent already, so the connection is aborted.
        _abort(request)
        return response

    async def _wait_for(self, changed: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(self._keepalive_seconds):
                await changed.wait()
        except TimeoutError:
            return

    async def _list_machines(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        listing = self._store.machines.listing(_now())
        return web.json_response(
            {
                "live": [wire.machine_to_json(machine) for machine in listing.live],
                "leaving": [wire.machine_to_json(machine) for machine in listing.leaving],
            }
        )

    async def _report_machine(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        await self._apply_faults()
        return web.json_response({"known": self._record_report(body)})

    def _record_report(self, body: wire.JsonObject) -> bool:
        machines = self._store.machines
        action = body["action"]
        if action == "register":
            machines.register(wire.machine_from_json(body["machine"]), _now())
            return True
        node_id = NodeId(str(body["node_id"]))
        if action == "heartbeat":
            return machines.heartbeat(node_id, _now())
        if action == "leave":
            return machines.leave(node_id, _now())
        raise ValueError("action must be register, heartbeat or leave")

    async def _inject(self, request: web.Request) -> web.StreamResponse:
        self._store.inject(FaultPlan(**await request.json()))
        return web.json_response({"injected": True})

    async def _apply_faults(self) -> None:
        decision = self._store.faults.decide(is_write=False)
        if decision.unavailable:
            raise StoreUnavailableError("injected fault")
        await self._pause(decision.delay_seconds)

    async def _pause(self, seconds: float) -> None:
        if seconds > 0:
            await self._sleep(seconds)

    def _track_write(self, work: Awaitable[int]) -> asyncio.Future[int]:
        task = asyncio.ensure_future(work)
        self._writes.add(task)
        task.add_done_callback(self._finish_write)
        return task

    def _finish_write(self, task: asyncio.Future[int]) -> None:
        self._writes.discard(task)
        if not task.cancelled():
            task.exception()


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()


def _batch_line(batch: wire.ChangeBatch) -> bytes:
    changes = [wire.object_to_json(change) for change in batch.changes]
    return json.dumps({"revision": batch.revision, "changes": changes}).encode() + b"\n"


def _error_response(status: HttpStatus, detail: str) -> web.Response:
    return web.json_response({"error": detail}, status=status)


def _platform_error_response(error: PlatformError) -> web.Response:
    if isinstance(error, StoreConflictError):
        current = None if error.current is None else wire.object_to_json(error.current)
        body = {"error": str(error), "key": error.key, "current": current}
        return web.json_response(body, status=HttpStatus.CONFLICT)
    if isinstance(error, TooManyReadersError):
        response = _error_response(HttpStatus.TOO_MANY_REQUESTS, str(error))
        response.headers["Retry-After"] = f"{error.retry_after:g}"
        return response
    if isinstance(error, WatchGoneError):
        return _error_response(HttpStatus.GONE, str(error))
    if isinstance(error, StoreUnavailableError):
        return _error_response(HttpStatus.SERVICE_UNAVAILABLE, str(error))
    return _error_response(HttpStatus.BAD_REQUEST, str(error))
