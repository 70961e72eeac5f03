"""Reads the store for a reader: one listing if needed, then a watch."""

from __future__ import annotations

import random
from collections.abc import Iterator

from beamloom.protocol.commands import Command, ListStore, StopWatch, WatchStore
from beamloom.protocol.events import Event, StoreChanged, StoreFailed, StoreListed
from beamloom.replication.backoff import Backoff
from beamloom.replication.configuration_replica import ConfigurationReplica

LISTING_CHECK_INTERVAL = 0.25
"""Seconds between checks whether a listing, or the changes up to it, have been applied."""


class StoreWatch:
    """Feeds the replica from the store while this node is a reader.

    Answers to abandoned requests are ignored. A change that peers receive late does no harm, as it
    names the revision that it follows.
    """

    def __init__(
        self, replica: ConfigurationReplica, rng: random.Random, request_ids: Iterator[int]
    ) -> None:
        self._replica = replica
        self._request_ids = request_ids
        self._backoff = Backoff(rng)
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
        """Whether a request is running or scheduled."""
        return self._request_id is not None or self._retry_at is not None

    def start(self, lease_number: int) -> list[Command]:
        """Start from the replica's applied revision, or with a listing if it is empty."""
        self._lease_number = lease_number
        self._must_list = self._replica.applied_revision == 0
        self._awaited_revision = 0
        self._seen_revision = 0
        return self._request()

    def stop(self) -> list[Command]:
        """End the watch; answers that still arrive are ignored."""
        stopped, self._request_id, self._retry_at = self._request_id, None, None
        return [] if stopped is None else [StopWatch(stopped)]

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle the store's answer to the current request; other events are ignored."""
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
        """Send the next request if it is due and no listing is waiting to be applied."""
        if self._retry_at is None or now < self._retry_at:
            return []
        if self._awaited_revision and self._replica.awaits_listing:
            self._retry_at = now + LISTING_CHECK_INTERVAL
            return []
        self._retry_at = None
        return self._request()

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
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
