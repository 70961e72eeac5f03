"""A reader's view of the store: list once when needed, then watch from the applied revision."""

from __future__ import annotations

import random
from collections.abc import Iterator

from beamloom.protocol.commands import Command, ListStore, StopWatch, WatchStore
from beamloom.protocol.events import Event, StoreChanged, StoreFailed, StoreListed
from beamloom.replication.backoff import Backoff
from beamloom.replication.configuration_replica import ConfigurationReplica

LISTING_CHECK_INTERVAL = 0.25
"""Seconds between looks whether a listing, or the steps up to it, has been applied."""


class StoreWatch:
    """Feeds the replica from the store while this node is a reader.

    Answers to a request that was given up are ignored. Each change that is passed on names the
    revision that it follows, so a late one states a true step of the store's order, no more.
    """

    def __init__(
        self, replica: ConfigurationReplica, chance: random.Random, request_ids: Iterator[int]
    ) -> None:
        self._replica = replica
        self._request_ids = request_ids
        self._backoff = Backoff(chance)
        self._request_id: int | None = None
        self._retry_at: float | None = None
        self._lease_number = 0
        self._must_list = False
        self._awaited_revision = 0
        self._seen_revision = 0
        self.failures = 0
        self.listings = 0

    @property
    def active(self) -> bool:
        """Whether the watch is running or about to be tried again."""
        return self._request_id is not None or self._retry_at is not None

    def start(self, lease_number: int) -> list[Command]:
        """Begin, from what the replica has."""
        self._lease_number = lease_number
        self._must_list = self._replica.applied_revision == 0
        self._awaited_revision = 0
        self._seen_revision = 0
        return self._request()

    def stop(self) -> list[Command]:
        """End the watch; what still arrives from it is ignored."""
        stopped, self._request_id, self._retry_at = self._request_id, None, None
        return [] if stopped is None else [StopWatch(stopped)]

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take an answer of the store, if it is to the present request."""
        if self._request_id is None or getattr(event, "request_id", None) != self._request_id:
            return []
        match event:
            case StoreListed():
                return self._listed(event, now)
            case StoreChanged():
                return self._changed(event, now)
            case StoreFailed():
                self._failed(event, now)
        return []

    def poll(self, now: float) -> list[Command]:
        """Try again when the pause after a failure is over."""
        if self._retry_at is None or now < self._retry_at:
            return []
        if self._awaited_revision and self._replica.awaits_listing:
            self._retry_at = now + LISTING_CHECK_INTERVAL
            return []
        self._retry_at = None
        return self._request()

    def next_timer(self) -> float | None:
        """Return when to try again."""
        return self._retry_at

    def _request(self) -> list[Command]:
        self._request_id = next(self._request_ids)
        if self._must_list:
            return [ListStore(self._request_id)]
        revision = max(self._seen_revision, self._replica.applied_revision)
        self._seen_revision = revision
        return [WatchStore(self._request_id, revision)]

    def _listed(self, event: StoreListed, now: float) -> list[Command]:
        self._backoff.reset()
        self.listings += 1
        self._must_list = False
        commands = self._replica.accept_listing(
            event.revision, event.objects, now, self._lease_number
        )
        self._seen_revision = 0
        self._awaited_revision = event.revision
        self._request_id = None
        self._retry_at = now
        return commands + self.poll(now)

    def _changed(self, event: StoreChanged, now: float) -> list[Command]:
        self._backoff.reset()
        commands: list[Command] = []
        for stored in event.changes:
            commands += self._replica.accept_change(stored, now)
            self._seen_revision = max(self._seen_revision, stored.revision)
        return commands

    def _failed(self, event: StoreFailed, now: float) -> None:
        self.failures += 1
        self._request_id = None
        self._must_list = self._must_list or event.gone
        self._retry_at = now + self._backoff.next_delay()
