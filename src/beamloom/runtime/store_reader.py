"""Drives one ObjectWatch over a connection: lists, watches, deadlines, pauses.

Each call has a deadline, so a connection that is dead, or a store that takes calls and never
answers, costs one wait. With a wait of 2.3 s and 0.7 s of patience a node hears again within 3.0 s
after the store came back, within the 4 s after which it must again be in time.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from beamloom.replication.object_watch import (
    ChangeBatch,
    ListPage,
    ListRequest,
    ObjectChange,
    ObjectWatch,
    WatchRequest,
    WholeList,
)
from beamloom.runtime.http_client import CallFailedError, HttpAnswer, HttpConnection

Record = TypeVar("Record")

LIST_SECONDS = 2.0
WATCH_WAIT_SECONDS = 2.3
WATCH_PATIENCE_SECONDS = 0.7

STATUS_OK = 200
STATUS_GONE = 410
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class KindFormat(Generic[Record]):
    """How one kind of object is asked for and read; `label` names it in counters and logs."""

    label: str
    list_path: Callable[[ListRequest], str]
    watch_path: Callable[[WatchRequest, float], str]
    read_page: Callable[[bytes], ListPage[Record]]
    read_changes: Callable[[bytes], ChangeBatch[Record]]


class StoreReader(Generic[Record]):
    """Reads one kind for ever; `run` ends only when it is cancelled."""

    def __init__(
        self,
        watch: ObjectWatch[Record],
        kind: KindFormat[Record],
        connection: HttpConnection,
        on_list: Callable[[WholeList[Record]], None],
        on_changes: Callable[[tuple[ObjectChange[Record], ...]], None],
    ) -> None:
        self.watch = watch
        self.counters: Counter[str] = Counter()
        self.on_failure: Callable[[str, int], None] = lambda reason, failures: None
        self.on_recovery: Callable[[int], None] = lambda failures: None
        self._kind = kind
        self._connection = connection
        self._on_list = on_list
        self._on_changes = on_changes

    async def run(self) -> None:
        """List and watch until cancelled."""
        try:
            while True:
                failure = await self._step()
                if failure is not None:
                    pause = self.watch.take_failure()
                    self.on_failure(failure, self.watch.failures)
                    await asyncio.sleep(pause)
        finally:
            self._connection.close()

    async def _step(self) -> str | None:
        """Make one call and take its answer; return why it had no usable one."""
        request = self.watch.next_request()
        failures = self.watch.failures
        try:
            answer = await self._call(request)
        except CallFailedError as error:
            self.counters[f"calls_{error.failure.value}"] += 1
            return error.failure.value
        self.counters[f"calls_{answer.status}"] += 1
        failure = self._take(request, answer)
        if failure is None and failures:
            self.on_recovery(failures)
        return failure

    async def _call(self, request: ListRequest | WatchRequest) -> HttpAnswer:
        if isinstance(request, ListRequest):
            return await self._connection.call("GET", self._kind.list_path(request), LIST_SECONDS)
        path = self._kind.watch_path(request, WATCH_WAIT_SECONDS)
        deadline = WATCH_WAIT_SECONDS + WATCH_PATIENCE_SECONDS
        return await self._connection.call("GET", path, deadline)

    def _take(self, request: ListRequest | WatchRequest, answer: HttpAnswer) -> str | None:
        now = asyncio.get_running_loop().time()
        if answer.status == STATUS_GONE:
            self.watch.take_lost_history(now)
            return None
        if answer.status != STATUS_OK:
            return f"status_{answer.status}"
        try:
            self._take_body(request, answer.body, now)
        except ValueError as error:
            return f"unreadable: {error}"
        return None

    def _take_body(self, request: ListRequest | WatchRequest, body: bytes, now: float) -> None:
        if isinstance(request, ListRequest):
            whole = self.watch.take_page(self._kind.read_page(body), now)
            if whole is not None:
                self._on_list(whole)
            return
        batch = self._kind.read_changes(body)
        self.watch.take_changes(batch, now)
        if batch.changes:
            self._on_changes(batch.changes)
