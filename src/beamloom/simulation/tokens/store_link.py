"""Access of simulated nodes to the store: latency, waiting watches and faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from beamloom.model.store_revision import UNKNOWN_ERA, number_of, revision_in_era
from beamloom.replication.object_watch import (
    ChangeBatch,
    ListPage,
    ListRequest,
    WatchRequest,
)
from beamloom.replication.store_view import NamedRecord, ObjectChange
from beamloom.simulation.clock import VirtualClock
from beamloom.standins.token_store import HistoryGoneError, TokenStore

NamedType = TypeVar("NamedType", NamedRecord[object], ObjectChange[object])

CALL_LATENCY_SECONDS = 0.004
POLL_INTERVAL_SECONDS = 0.005
"""Interval at which a waiting watch looks for changes; the real store answers at once."""


class StoreFault(Enum):
    """A fault of the store that affects all calls."""

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """The result of a call: a page, a batch of changes, a lost history, or none if it failed."""

    page: ListPage[object] | None = None
    batch: ChangeBatch[object] | None = None
    history_gone: bool = False

    def in_era(self, era: int) -> StoreAnswer:
        """Return the answer with its revisions in `era`, for a store that reports no era."""
        page, batch = self.page, self.batch
        if page is not None:
            records = tuple(_with_era(named, era) for named in page.records)
            revision = revision_in_era(era, page.revision)
            return StoreAnswer(page._replace(records=records, revision=revision))
        if batch is not None:
            changes = tuple(_with_era(change, era) for change in batch.changes)
            revision = revision_in_era(era, batch.revision)
            return StoreAnswer(batch=batch._replace(changes=changes, revision=revision))
        return self


def _with_era(named: NamedType, era: int) -> NamedType:
    return named._replace(revision=revision_in_era(era, named.revision))


OnAnswer = Callable[[StoreAnswer], None]


class StoreLink:
    """Calls of all nodes; those of `refused_hosts` are refused.

    Calls and answers of `partitioned_hosts` are held up until `heal`, as TCP sends them again.
    Without `reports_era`, revisions in answers have an unknown era.
    """

    def __init__(self, clock: VirtualClock, store: TokenStore) -> None:
        self.fault = StoreFault.NONE
        self.partitioned_hosts: set[str] = set()
        self.refused_hosts: set[str] = set()
        self.reports_era = True
        self.call_latency_seconds = CALL_LATENCY_SECONDS
        self.calls = 0
        self.disturbed_until = 0.0
        self._clock = clock
        self._store = store
        self._held: dict[str, list[Callable[[], None]]] = {}

    def heal(self, host: str) -> None:
        """End the partition of a host and deliver what it held up."""
        self.partitioned_hosts.discard(host)
        for deliver in self._held.pop(host, []):
            self._clock.call_later(self.call_latency_seconds, deliver)

    def _deliver(self, host: str, deliver: Callable[[], None]) -> None:
        """Deliver a call or an answer of a host, now or when its partition ends."""
        if host in self.partitioned_hosts:
            self._held.setdefault(host, []).append(deliver)
        else:
            deliver()

    def call(
        self,
        host: str,
        kind: str,
        request: ListRequest | WatchRequest,
        wait: float,
        on_answer: OnAnswer,
    ) -> None:
        """Make a call; `on_answer` is called later, or never if the call is dropped."""
        self.calls += 1

        def receive() -> None:
            if self.fault is StoreFault.SILENT:
                return
            if self.fault is StoreFault.REFUSES or host in self.refused_hosts:
                self._clock.call_later(self.call_latency_seconds, on_answer, StoreAnswer())
                return
            end = self._clock.now + wait
            self._clock.call_later(
                self.call_latency_seconds, self._answer, host, kind, request, end, on_answer
            )

        self._deliver(host, receive)

    def _answer(
        self,
        host: str,
        kind: str,
        request: ListRequest | WatchRequest,
        end: float,
        on_answer: OnAnswer,
    ) -> None:
        if self.fault is StoreFault.SILENT:
            return
        answer = self._answer_now(kind, request, is_due=self._clock.now >= end)
        if answer is not None:
            self._deliver(host, lambda: on_answer(answer))
            return
        self._clock.call_later(
            POLL_INTERVAL_SECONDS, self._answer, host, kind, request, end, on_answer
        )

    def _answer_now(
        self, kind: str, request: ListRequest | WatchRequest, *, is_due: bool
    ) -> StoreAnswer | None:
        """Return the answer to a call; None if a watch goes on waiting."""
        if isinstance(request, ListRequest):
            return StoreAnswer(page=self._page(kind, request))
        try:
            batch = self._batch(kind, request)
        except HistoryGoneError:
            return StoreAnswer(history_gone=True)
        return StoreAnswer(batch=batch) if batch.changes or is_due else None

    def _page(self, kind: str, request: ListRequest) -> ListPage[object]:
        if request.stale:
            objects, more, revision = self._store.stale_page(kind, request.after)
        else:
            objects, more = self._store.page(kind, request.after)
            revision = self._store.revision
        records = tuple(
            NamedRecord(stored.name, self._revision(stored.revision), stored.content)
            for stored in objects
        )
        last = records[-1].name if records else ""
        return ListPage(records, more, self._revision(revision), last)

    def _batch(self, kind: str, request: WatchRequest) -> ChangeBatch[object]:
        changes = tuple(
            ObjectChange(
                change.stored.name,
                self._revision(change.stored.revision),
                None if change.gone else change.stored.content,
            )
            for change in self._store.changes_after(kind, number_of(request.revision))
        )
        return ChangeBatch(changes, self._revision(self._store.revision))

    def _revision(self, number: int) -> int:
        return revision_in_era(self._store.era if self.reports_era else UNKNOWN_ERA, number)
