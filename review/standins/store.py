"""The platform's metadata store over HTTP/1.1: lists, watches, and calls that change one object."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

OBJECTS = "/beamloom/objects/"
PAGE_SIZE = 500
ANSWER_SECONDS = 0.004
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Answer(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class Call(NamedTuple):
    """One call: its path, its query, its body."""

    method: str
    kind: str
    name: str
    query: dict[str, str]
    body: bytes


class Stored(NamedTuple):
    """One object; `spec` is the text that its writer sent."""

    name: str
    revision: int
    made: int
    spec: bytes

    def encode(self) -> bytes:
        """Return the object as the store sends it, with the writer's text unchanged."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "made": self.made,
            "finalizers": [],
            "deleting": False,
        }
        return (
            b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + self.spec + b',"status":null}'
        )


class Store:
    """All objects with one counter of revisions; loses nothing and is linearizable.

    `on_watch_answered` is called with the caller's host, the kind and the number of events.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.on_watch_answered: Callable[[str, str, int], None] = lambda host, kind, events: None
        self._objects: dict[str, dict[str, Stored]] = {}
        self._history: list[tuple[int, str, bool, Stored]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> int:
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and break off all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: bytes, *, changes: bool = True) -> int:
        """Write an object; return the revision. Without `changes` only `sequence` has risen."""
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and (not changes or known.spec == spec):
            objects[name] = known._replace(spec=spec)
            return self.revision
        self.revision += 1
        made = self.revision if known is None else known.made
        stored = Stored(name, self.revision, made, spec)
        objects[name] = stored
        self._note(kind, False, stored)
        return self.revision

    def remove(self, kind: str, name: str) -> int:
        """Remove an object; return the revision."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, True, stored)
        return self.revision

    def holds(self, kind: str, name: str) -> bool:
        """Whether an object is there."""
        return name in self._objects.get(kind, {})

    def _note(self, kind: str, gone: bool, stored: Stored) -> None:
        self._history.append((self.revision, kind, gone, stored))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (call := await _read_call(reader)) is not None:
                await asyncio.sleep(ANSWER_SECONDS)
                answer = await self._answer(call, writer.get_extra_info("peername")[0])
                head = (
                    f"HTTP/1.1 {answer.status} {REASONS[answer.status]}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(answer.body)}\r\n\r\n"
                )
                writer.write(head.encode() + answer.body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has gone, or the run is over
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, call: Call, host: str) -> Answer:
        if call.method == "GET" and call.name:
            stored = self._objects.get(call.kind, {}).get(call.name)
            return Answer(404, b"{}") if stored is None else Answer(200, stored.encode())
        if call.method == "GET" and "watch" in call.query:
            return await self._watch(call, host)
        if call.method == "GET":
            return self._list(call)
        if call.method == "POST":
            document = json.loads(call.body)
            name = str(document["meta"]["name"])
            if self.holds(call.kind, name):
                return Answer(409, b"{}")
            self.put(call.kind, name, json.dumps(document["spec"]).encode())
            return Answer(200, self._objects[call.kind][name].encode())
        return Answer(404, b"{}")

    def _list(self, call: Call) -> Answer:
        objects = self._objects.get(call.kind, {})
        names = sorted(name for name in objects if name > call.query.get("after", ""))
        items = b",".join(objects[name].encode() for name in names[:PAGE_SIZE])
        more = b"true" if len(names) > PAGE_SIZE else b"false"
        at = str(self.revision).encode()
        return Answer(200, b'{"items":[' + items + b'],"more":' + more + b',"at":' + at + b"}")

    async def _watch(self, call: Call, host: str) -> Answer:
        loop = asyncio.get_running_loop()
        after, end = int(call.query["watch"]), loop.time() + int(call.query["wait-ms"]) / 1000
        while True:
            events = [
                b'{"gone":' + (b"true" if gone else b"false") + b',"object":' + one.encode() + b"}"
                for revision, kind, gone, one in self._history
                if revision > after and kind == call.kind
            ]
            left = end - loop.time()
            if events or left <= 0:
                break
            await self._wait(left)
        self.on_watch_answered(host, call.kind, len(events))
        at = str(self.revision).encode()
        return Answer(200, b'{"events":[' + b",".join(events) + b'],"at":' + at + b"}")

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


async def _read_call(reader: asyncio.StreamReader) -> Call | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split()
    length = 0
    while (header := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.decode().partition(":")
        if name.lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length)
    parts = urlsplit(target)
    kind, _, name = unquote(parts.path.removeprefix(OBJECTS)).partition("/")
    query = {key: values[0] for key, values in parse_qs(parts.query).items()}
    return Call(method, kind, name, query, body)


def to_json(document: object) -> bytes:
    """Return the JSON of a document."""
    return json.dumps(document, separators=(",", ":")).encode()
