"""Serves a `TokenStore` over HTTP as the platform does, with injected faults.

A content that is bytes is sent as it is, as another program may have written it.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from beamloom.platform import store_encoding
from beamloom.platform.store_encoding import StoreCall
from beamloom.platform.store_objects import ERA_HEADER, OBJECTS_PATH
from beamloom.standins.token_store import (
    ConflictError,
    HistoryGoneError,
    NoSuchObjectError,
    StoredObject,
    TokenStore,
)

SILENT_ANSWER_DELAY_SECONDS = 60.0
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


@dataclass(slots=True)
class TokenStoreFaults:
    """Faults of the server.

    `unavailable`, `refused_hosts` and `failing_kinds` answer 503, `throttled` and `throttled_hosts`
    429, `silent` and `silent_hosts` delay calls by `SILENT_ANSWER_DELAY_SECONDS`. Every call is
    delayed by `delay_seconds`. The next `lost_writes` creations take effect, and their connections
    are aborted without an answer.
    """

    unavailable: bool = False
    silent: bool = False
    throttled: bool = False
    silent_hosts: set[str] = field(default_factory=set)
    throttled_hosts: set[str] = field(default_factory=set)
    delay_seconds: float = 0.0
    refused_hosts: set[str] = field(default_factory=set)
    lost_writes: int = 0
    failing_kinds: set[str] = field(default_factory=set)


class TokenStoreServer:
    """One server; `reports_era` adds the era header to answers.

    `calls` counts calls by method and status, except those with an invalid path or a failing kind.
    """

    def __init__(self, store: TokenStore) -> None:
        self.store = store
        self.faults = TokenStoreFaults()
        self.reports_era = True
        self.calls: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self, host: str, port: int = 0) -> None:
        """Listen (port 0: any free port); raises OSError when the address is taken."""
        application = web.Application()
        application.router.add_route("*", f"{OBJECTS_PATH}{{rest:.*}}", self._handle)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self.port = int(self._runner.addresses[0][1])

    async def close(self) -> None:
        """Stop listening and end open connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def note_change(self) -> None:
        """Wake all watches after a change of the store."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        response = await self._respond(request)
        if self.reports_era:
            response.headers[ERA_HEADER.decode()] = str(self.store.era)
        return response

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        injected_status = await self._injected_status(request)
        if injected_status is not None:
            self.calls[f"{request.method} {injected_status}"] += 1
            return web.Response(status=injected_status)
        call = store_encoding.parse_call(request.path_qs)
        if call is None:
            return web.Response(status=404)
        if call.kind in self.faults.failing_kinds:
            return web.Response(status=503)
        try:
            status, body = await self._answer(request, call)
        except NoSuchObjectError:
            status, body = 404, {"error": "no such object"}
        except ConflictError:
            status, body = 409, {"error": "the object is there"}
        except HistoryGoneError:
            status, body = 410, {"error": "history is gone"}
        injected_status = await self._injected_host_status(request)
        if injected_status is not None:
            status, body = injected_status, {"error": "this host is refused"}
        self.calls[f"{request.method} {status}"] += 1
        content = _render(body)
        return web.Response(body=content, status=status, content_type="application/json")

    async def _injected_status(self, request: web.Request) -> int | None:
        faults = self.faults
        if faults.silent:
            await asyncio.sleep(SILENT_ANSWER_DELAY_SECONDS)
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if faults.throttled:
            return STATUS_TOO_MANY
        return await self._injected_host_status(request)

    async def _injected_host_status(self, request: web.Request) -> int | None:
        faults = self.faults
        if request.remote in faults.silent_hosts:
            await asyncio.sleep(SILENT_ANSWER_DELAY_SECONDS)
        if faults.unavailable or request.remote in faults.refused_hosts:
            return STATUS_UNAVAILABLE
        return STATUS_TOO_MANY if request.remote in faults.throttled_hosts else None

    async def _answer(self, request: web.Request, call: StoreCall) -> tuple[int, Any]:
        if request.method == "POST":
            return await self._create(request, call)
        if call.name is not None:
            return 200, self._encode(self.store.read(call.kind, call.name))
        if call.watch is not None:
            return 200, await self._watch(call, call.watch)
        if call.stale:
            objects, more, revision = self.store.stale_page(call.kind, call.after)
        else:
            objects, more = self.store.page(call.kind, call.after)
            revision = self.store.revision
        encoded = [self._encode(stored) for stored in objects]
        return 200, store_encoding.encode_list(encoded, more, revision)

    async def _create(self, request: web.Request, call: StoreCall) -> tuple[int, Any]:
        document = await request.json()
        stored = self.store.create(call.kind, document["meta"]["name"], document["spec"])
        self.note_change()
        if self.faults.lost_writes > 0:
            self.faults.lost_writes -= 1
            assert request.transport is not None
            request.transport.abort()
        return 200, self._encode(stored)

    async def _watch(self, call: StoreCall, revision: int) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        end = loop.time() + call.wait_seconds
        while True:
            changes = self.store.changes_after(call.kind, revision)
            remaining = end - loop.time()
            if changes or remaining <= 0:
                encoded = [(change.gone, self._encode(change.stored)) for change in changes]
                return store_encoding.encode_changes(encoded, self.store.revision)
            await self._wait_for_change(remaining)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _encode(self, stored: StoredObject) -> dict[str, Any]:
        return store_encoding.encode_object(
            stored.name, stored.revision, stored.created_revision, stored.content
        )


def _render(body: object) -> bytes:
    """Return the JSON of an answer, with contents that are bytes as they were written."""
    contents: dict[bytes, bytes] = {}

    def stand_for(value: object) -> str:
        if not isinstance(value, bytes):
            raise TypeError(f"{value!r} is no content of an object")
        placeholder = f"content {len(contents)}\0"
        contents[json.dumps(placeholder).encode()] = value
        return placeholder

    text = json.dumps(body, default=stand_for).encode()
    for placeholder, content in contents.items():
        text = text.replace(placeholder, content, 1)
    return text
