"""The platform's metadata store: objects by kind and name, lists and watches.

A content that is bytes is sent as its writer sent it, as it need not be readable.
"""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

OBJECTS_PATH = "/beamloom/objects/"
ANSWER_SECONDS = 0.004
"""Time of an answer, as on the site sheets."""
PAGE_SIZE = 50
REASONS = {200: "OK", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 410: "Gone"}

Answer = tuple[int, Any]


class Event(NamedTuple):
    """A change of one object."""

    revision: int
    gone: bool
    stored: dict[str, Any]


class Store:
    """All objects; one counter of revisions rises with each change."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = defaultdict(dict)
        self._events: dict[str, list[Event]] = defaultdict(list)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object; return the revision. Equal content changes nothing."""
        known = self._objects[kind].get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        made = self.revision if known is None else known["meta"]["made"]
        meta = {
            "name": name,
            "revision": self.revision,
            "made": made,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"meta": meta, "spec": spec, "status": None}
        self._objects[kind][name] = stored
        self._note(kind, Event(self.revision, False, stored))
        return self.revision

    def delete(self, kind: str, name: str) -> int:
        """Remove an object if it exists; return the store's revision."""
        stored = self._objects[kind].pop(name, None)
        if stored is not None:
            self.revision += 1
            gone = {**stored, "meta": {**stored["meta"], "revision": self.revision}}
            self._note(kind, Event(self.revision, True, gone))
        return self.revision

    def list_of(self, kind: str) -> dict[str, Any]:
        """Return what a list of all objects of a kind answers."""
        items = [self._objects[kind][name] for name in sorted(self._objects[kind])]
        return {"items": items, "more": False, "at": self.revision}

    def _note(self, kind: str, event: Event) -> None:
        self._events[kind].append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            return  # the run is over; asyncio's streams log a cancelled task as an error
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, target, _ = head[0].split(" ")
        lengths = [
            line.partition(":")[2] for line in head if line.lower().startswith("content-length:")
        ]
        body = await reader.readexactly(int(lengths[0])) if lengths else b""
        await asyncio.sleep(ANSWER_SECONDS)
        status, document = await self._answer(method, target, body)
        content = _render(document)
        lines = [
            f"HTTP/1.1 {status} {REASONS[status]}",
            "Content-Type: application/json",
            f"Content-Length: {len(content)}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + content)
        await writer.drain()

    async def _answer(self, method: str, target: str, body: bytes) -> Answer:
        parts = urlsplit(target)
        if not parts.path.startswith(OBJECTS_PATH):
            return 404, {}
        kind, _, name = parts.path[len(OBJECTS_PATH) :].partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method == "POST":
            return self._create(kind, json.loads(body))
        if method != "GET":
            return 405, {}
        if name:
            stored = self._objects[kind].get(name)
            return (404, {}) if stored is None else (200, stored)
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait-ms", 0)) / 1000)
        return self._list(kind, query.get("after", ""))

    def _create(self, kind: str, document: dict[str, Any]) -> Answer:
        name = document["meta"]["name"]
        if name in self._objects[kind]:
            return 409, self._objects[kind][name]
        self.put(kind, name, document["spec"])
        return 200, self._objects[kind][name]

    def _list(self, kind: str, after: str) -> Answer:
        names = sorted(name for name in self._objects[kind] if name > after)
        page = names[:PAGE_SIZE]
        items = [self._objects[kind][name] for name in page]
        return 200, {"items": items, "more": len(names) > len(page), "at": self.revision}

    async def _watch(self, kind: str, revision: int, wait_seconds: float) -> Answer:
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_seconds
        while True:
            events = [event for event in self._events[kind] if event.revision > revision]
            remaining = end - loop.time()
            if events or remaining <= 0:
                told = [{"object": event.stored, "gone": event.gone} for event in events]
                return 200, {"events": told, "at": self.revision}
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue


def _render(document: object) -> bytes:
    """Return the body of an answer, with contents that are bytes as they were written."""
    contents: dict[bytes, bytes] = {}

    def stand_for(value: object) -> str:
        if not isinstance(value, bytes):
            raise TypeError(f"{value!r} is no content of an object")
        name = f"raw content {len(contents)}"
        contents[f'"{name}"'.encode()] = value
        return name

    body = json.dumps(document, default=stand_for).encode()
    for name, content in contents.items():
        body = body.replace(name, content, 1)
    return body
