"""Restores the store from an older copy of itself, and repeats its writers' writes afterwards.

Only a restore loses acknowledged writes. Operators and endpoints then write their current state
again; the entry of an endpoint that has ended is removed after its heartbeat timeout.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from beamloom.standins.token_store import StoreCopy, TokenStore

COPY_INTERVAL_SECONDS = 0.5
MAXIMUM_COPIES = 24
MAXIMUM_COPY_AGE_SECONDS = 8.0
MAXIMUM_OUTAGE_SECONDS = 3.0
OPERATOR_REWRITE_SECONDS = 1.0
ENDPOINT_REWRITE_SECONDS = 2.0
"""Maximum delay until operators and endpoints have written again after a restore."""
HEARTBEAT_TIMEOUT_SECONDS = 3.6
"""Three heartbeat intervals; an entry without a heartbeat for this long is removed."""


class TakenCopy(NamedTuple):
    """A copy of the store and the time at which it was taken."""

    at: float
    copy: StoreCopy


class Writer(NamedTuple):
    """Brings one part of the store up to date after a restore, with a random delay in seconds."""

    write: Callable[[], object]
    maximum_delay_seconds: float
    minimum_delay_seconds: float = 0.0


class RestorableDeployment(Protocol):
    """A deployment whose store can be restored."""

    def suspend_store(self, seconds: float) -> None:
        """Make the store unavailable for `seconds`."""

    def writers(self) -> Iterable[Writer]:
        """Return the writers that correct the store after a restore."""


class StoreRestores:
    """Restores of one store, of which copies are taken at intervals.

    `call_later` calls a function after some seconds.
    """

    def __init__(
        self,
        store: TokenStore,
        deployment: RestorableDeployment,
        rng: random.Random,
        now: Callable[[], float],
        call_later: Callable[[float, Callable[[], object]], object],
    ) -> None:
        self._store = store
        self._deployment = deployment
        self._rng = rng
        self._now = now
        self._call_later = call_later
        self._copies: deque[TakenCopy] = deque(maxlen=MAXIMUM_COPIES)
        self._take_copy()

    def restore_at_random(self) -> None:
        """Restore the store after a random outage, from a copy of random age."""
        outage_seconds = self._rng.uniform(0.0, MAXIMUM_OUTAGE_SECONDS)
        self.restore(outage_seconds, self._rng.uniform(0.0, MAXIMUM_COPY_AGE_SECONDS))

    def restore(self, outage_seconds: float, copy_age_seconds: float) -> None:
        """Make the store unavailable, then restore it from the newest copy of at least this age.

        The age counts at the beginning of the outage. If no copy is old enough, the oldest is used.
        """
        latest = self._now() - copy_age_seconds
        copies = [taken.copy for taken in self._copies if taken.at <= latest]
        copy = copies[-1] if copies else self._copies[0].copy
        self._deployment.suspend_store(outage_seconds)
        self._call_later(outage_seconds, lambda: self._complete_restore(copy))

    def _take_copy(self) -> None:
        self._copies.append(TakenCopy(self._now(), self._store.copy()))
        self._call_later(COPY_INTERVAL_SECONDS, self._take_copy)

    def _complete_restore(self, copy: StoreCopy) -> None:
        if copy.revision > self._store.revision:
            # Another restore went back further: the revisions of this copy no longer exist.
            copy = self._store.copy()
        self._store.restore(copy)
        for writer in self._deployment.writers():
            seconds = self._rng.uniform(writer.minimum_delay_seconds, writer.maximum_delay_seconds)
            self._call_later(seconds, writer.write)
