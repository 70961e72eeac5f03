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
    """Calls of all nodes; those of `partitioned_hosts` are dropped, of `refused_hosts` refused.

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
        if self._drops_call(host):
            return
        if self.fault is StoreFault.REFUSES or host in self.refused_hosts:
            self._clock.call_later(self.call_latency_seconds, on_answer, StoreAnswer())
            return
        end = self._clock.now + wait
        self._clock.call_later(
            self.call_latency_seconds, self._answer, host, kind, request, end, on_answer
        )

    def _drops_call(self, host: str) -> bool:
        return self.fault is StoreFault.SILENT or host in self.partitioned_hosts

    def _answer(
        self,
        host: str,
        kind: str,
        request: ListRequest | WatchRequest,
        end: float,
        on_answer: OnAnswer,
    ) -> None:
        if self._drops_call(host):
            return
        if isinstance(request, ListRequest):
            on_answer(StoreAnswer(page=self._page(kind, request)))
            return
        try:
            batch = self._batch(kind, request)
        except HistoryGoneError:
            on_answer(StoreAnswer(history_gone=True))
            return
        if batch.changes or self._clock.now >= end:
            on_answer(StoreAnswer(batch=batch))
            return
        self._clock.call_later(
            POLL_INTERVAL_SECONDS, self._answer, host, kind, request, end, on_answer
        )

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
