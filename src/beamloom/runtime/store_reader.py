"""Drives one ObjectWatch over a connection: lists, watches, deadlines, pauses.

Each call has a deadline, so a dead connection or a store that accepts calls and never answers costs
one timeout. A connection that the kernel reports as silent is no evidence about the store: the next
call is made at once on a new connection, where a watch does not wait for changes, so that the view
is confirmed before other nodes' views are stale. A reader watches continuously. Any other node
calls the store only if it has no list, or if neither it nor a peer has confirmed the view lately.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Generic, NamedTuple, TypeVar

from beamloom.model.store_revision import UNKNOWN_ERA, era_of, number_of
from beamloom.replication.object_watch import (
    ChangeBatch,
    ListPage,
    ListRequest,
    ObjectWatch,
    Question,
    WatchRequest,
)
from beamloom.replication.store_call_schedule import StoreCallSchedule
from beamloom.replication.store_view import ObjectChange
from beamloom.runtime.connection_limits import (
    LIST_SECONDS,
    MAXIMUM_LIST_SECONDS,
    list_limits,
    watch_limits,
)
from beamloom.runtime.http_client import CallFailedError, CallFailure, HttpConnection, HttpResponse
from beamloom.telemetry.histogram import LatencyHistogram

Record = TypeVar("Record")

STATUS_OK = 200
STATUS_GONE = 410


class KindFormat(NamedTuple, Generic[Record]):
    """Paths and decoders for one kind of object; `label` names it in counters and logs.

    `read_page` and `read_changes` get a body and the era of its revisions. `read_era` returns the
    era that an answer's headers state, or None.
    """

    label: str
    list_path: Callable[[ListRequest], str]
    watch_path: Callable[[WatchRequest, float], str]
    read_page: Callable[[bytes, int], ListPage[Record]]
    read_changes: Callable[[bytes, int], ChangeBatch[Record]]
    read_era: Callable[[Mapping[bytes, bytes]], int | None] = lambda headers: None


class StoreReader(Generic[Record]):
    """Reads one kind of object; `run` ends only when it is cancelled.

    `on_answer` is called with the changes after each list or watch that was answered and decoded,
    and a time before which the store has not given the answer.
    """

    def __init__(
        self,
        watch: ObjectWatch[Record],
        kind: KindFormat[Record],
        connection: HttpConnection,
        schedule: StoreCallSchedule,
    ) -> None:
        self.watch = watch
        self.counters: Counter[str] = Counter()
        self.purposes: Counter[str] = Counter()
        self.list_seconds = LatencyHistogram()
        self.on_answer: Callable[[tuple[ObjectChange[Record], ...], float], None] = (
            lambda changes, given_at: None
        )
        self.on_failure: Callable[[str, int], None] = lambda reason, failures: None
        self.on_recovery: Callable[[int], None] = lambda failures: None
        self.on_unreadable: Callable[[str], None] = lambda text: None
        self.on_era: Callable[[int], None] = lambda era: None
        self.on_older_list: Callable[[int, int], None] = lambda listed, known: None
        self.era: int | None = None
        self._kind = kind
        self._connection = connection
        self._schedule = schedule
        self._wake = asyncio.Event()
        self._list_seconds = LIST_SECONDS
        self._pause_seconds = 0.0
        self._was_silent = False
        self._saw_unreadable = False

    def advance(self, now: float) -> None:
        """Wake `run` if a call has become necessary; to be called a few times a second."""
        if self._schedule.must_ask(now):
            self._wake.set()

    async def run(self) -> None:
        """List and watch until cancelled."""
        try:
            while True:
                await self._wait_for_call()
                failure = await self._call_once()
                if failure is not None:
                    self._pause_seconds = self._schedule.note_failure(_now())
                    self.on_failure(failure, self.watch.failures)
                if self._pause_seconds:
                    await asyncio.sleep(self._pause_seconds)
        finally:
            self._connection.close()

    async def _wait_for_call(self) -> None:
        if self._schedule.must_ask(_now()):
            return
        self._connection.close()
        self._wake.clear()
        await self._wake.wait()

    async def _call_once(self) -> str | None:
        """Make one call and handle its answer; return why there was no usable one, or None."""
        self._pause_seconds = 0.0
        request = self.watch.next_request()
        failures = self.watch.failures
        question = self._ask(request)
        try:
            answer = await self._call(question)
        except CallFailedError as error:
            self.counters[f"calls_{error.failure.value}"] += 1
            return self._handle_failure(error.failure)
        self._was_silent = False
        self.counters[f"calls_{answer.status}"] += 1
        self._report_new_era(answer)
        failure = self._handle_answer(question, answer)
        if failure is None and failures:
            self.on_recovery(failures)
        return failure

    def _report_new_era(self, answer: HttpResponse) -> None:
        """Report an era that differs from that of the previous answers."""
        era = self._kind.read_era(answer.headers)
        if era is not None and era != self.era:
            self.era = era
            self.on_era(era)

    def _handle_failure(self, failure: CallFailure) -> str | None:
        """Return the reason of a failed call, or None if the next call is to be made at once."""
        if failure is CallFailure.SILENT and not self._was_silent:
            self._was_silent = True
            return None
        self._was_silent = False
        if failure in (CallFailure.DEADLINE, CallFailure.STALLED):
            self._list_seconds = min(MAXIMUM_LIST_SECONDS, 2 * self._list_seconds)
        return failure.value

    def _ask(self, request: ListRequest | WatchRequest) -> Question:
        now = _now()
        waits = isinstance(request, WatchRequest) and not self._was_silent
        wait = self._schedule.wait_seconds(now) if waits else 0.0
        return Question(request, now, wait, self._view_era)

    async def _call(self, question: Question) -> HttpResponse:
        self.purposes[self._schedule.purpose.value] += 1
        request = question.request
        if isinstance(request, ListRequest):
            limits = list_limits(self._list_seconds)
            return await self._connection.call("GET", self._kind.list_path(request), limits)
        path = self._kind.watch_path(request, question.wait_seconds)
        return await self._connection.call("GET", path, watch_limits(question.wait_seconds))

    def _handle_answer(self, question: Question, answer: HttpResponse) -> str | None:
        if answer.status == STATUS_GONE:
            self.watch.handle_lost_history()
            return None
        if answer.status != STATUS_OK:
            return f"status_{answer.status}"
        try:
            changes, given_at = self._apply_body(question, answer)
        except ValueError as error:
            return f"unreadable: {error}"
        # A pause after unreadable objects bounds how often another writer can cause lists.
        pauses = bool(changes) or (self._saw_unreadable and not self.watch.must_list)
        self._pause_seconds = self._schedule.note_answer(_now(), changes=pauses)
        self.on_answer(changes, given_at)
        return None

    def _apply_body(
        self, question: Question, answer: HttpResponse
    ) -> tuple[tuple[ObjectChange[Record], ...], float]:
        """Apply an answer; return the changes and a time before which it was not given."""
        request, asked_at = question.request, question.asked_at
        answer_era = self._kind.read_era(answer.headers)
        reports_era = answer_era is not None
        era = question.era if answer_era is None else answer_era
        self._list_seconds = LIST_SECONDS if not self.watch.must_list else self._list_seconds
        if isinstance(request, ListRequest):
            self.list_seconds.observe(_now() - asked_at)
            page = self._kind.read_page(answer.body, era)
            self._report_unreadable(page.unreadable)
            self._report_older_list(page.revision)
            return self.watch.handle_page(page, asked_at, reports_era=reports_era), asked_at
        batch = self._kind.read_changes(answer.body, era)
        self._report_unreadable(batch.unreadable)
        given_at = question.earliest_answer_time(batch, _now())
        changes = self.watch.handle_changes(
            batch, request.revision, given_at, reports_era=reports_era
        )
        return changes, given_at

    @property
    def _view_era(self) -> int:
        """The era of the view when a call is made, assumed for an answer that states none."""
        known = self.watch.view.revision
        return UNKNOWN_ERA if known is None else era_of(known)

    def _report_older_list(self, listed: int) -> None:
        """Count and report a list that is older than the view."""
        known = self.watch.view.revision
        if known is not None and listed < known:
            self.counters["lists_older"] += 1
            self.on_older_list(number_of(listed), number_of(known))

    def _report_unreadable(self, unreadable: tuple[str, ...]) -> None:
        self._saw_unreadable = bool(unreadable)
        for text in unreadable:
            self.counters["objects_unreadable"] += 1
            self.on_unreadable(text)


def _now() -> float:
    return asyncio.get_running_loop().time()
