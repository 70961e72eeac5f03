"""Decides when a node calls the store for one kind of object, why, and how long it pauses."""

from __future__ import annotations

import random
from enum import Enum
from typing import Any

from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reader_role import ReaderRole
from beamloom.replication.store_call_times import STALE_SPREAD_SECONDS, StoreCallTimes

STALE_WITHOUT_READERS_SECONDS = 0.7
"""While no reader is known, as after a start of all nodes, a view becomes stale sooner."""


class CallPurpose(Enum):
    """The purpose of a call to the store; the values are counter labels."""

    START = "start"
    HISTORY_LOST = "history_lost"
    READER = "reader"
    CONFIRMATION = "confirmation"
    RETRY = "retry"


class StoreCallSchedule:
    """The calls of one node for one kind of object, which has the number `kind`.

    `times` defaults to that of `role`. With `lists_from_peers` a starting node waits for a list
    from its peers before it lists the store itself, as long as it waits for their changes after a
    stale list. While calls of `depends_on`, the watch of another kind, fail, only readers call.
    """

    def __init__(
        self,
        watch: ObjectWatch[Any],
        role: ReaderRole,
        rng: random.Random,
        kind: int = 0,
        *,
        times: StoreCallTimes | None = None,
        lists_from_peers: bool = False,
        depends_on: ObjectWatch[Any] | None = None,
    ) -> None:
        self._depends_on = depends_on
        self._watch = watch
        self._kind = kind
        self._role = role
        self._times = role.times if times is None else times
        self._rng = rng
        self._stale_after = self._times.stale_seconds
        self._stale_spread = 0.0
        self._lists_from_peers = lists_from_peers
        self._lists_at: float | None = None
        self._unconfirmed_until = float("-inf")

    @property
    def purpose(self) -> CallPurpose:
        """The purpose of the next call; a node that is no reader calls to confirm its view."""
        if self._watch.failures:
            return CallPurpose.RETRY
        if not self._watch.holds_stale:
            if self._watch.view.revision is None:
                return CallPurpose.START
            if self._watch.must_list:
                return CallPurpose.HISTORY_LOST
        return CallPurpose.READER if self._role.reads(self._kind) else CallPurpose.CONFIRMATION

    def wait_seconds(self, now: float) -> float:
        """How long a watch may wait: 0 unless this node reads the kind and is advertised.

        The answer must arrive before the view's last confirmation is older than the usual wait.
        """
        if not self._role.reads(self._kind) or not self._role.answered:
            return 0.0
        age = self._watch.view.age(now)
        return max(0.0, self._times.wait_seconds - max(0.0 if age is None else age, 0.0))

    def must_ask(self, now: float) -> bool:
        """Whether to call now: as a reader, for a missing list, or because the view is stale."""
        if self._role.reads(self._kind):
            return True
        if self._depends_on is not None and self._depends_on.failures:
            return False
        if self._watch.must_list and not self._watch.holds_stale:
            return not self._awaits_list_from_peers(now)
        return self._is_stale(now)

    def _is_stale(self, now: float) -> bool:
        age = self._watch.view.age(now)
        if age is None:
            return now >= self._unconfirmed_until
        if not (self._role.recent(now) or self._role.expects_reader):
            return age >= min(self._stale_after, STALE_WITHOUT_READERS_SECONDS + self._stale_spread)
        if self._role.reading:
            return age >= self._times.overdue_seconds
        return age >= self._stale_after

    def _awaits_list_from_peers(self, now: float) -> bool:
        """Whether to wait for a list from peers instead of listing the store.

        This applies after an empty stale list too: the store may hold nothing yet, and a fresh list
        by every starting node would be wasted.
        """
        waits = self._lists_from_peers or self._watch.rejected_empty_list
        if not waits or self._watch.view.revision is not None:
            return False
        if self._lists_at is None:
            spread = self._rng.uniform(0.0, STALE_SPREAD_SECONDS)
            self._lists_at = now + self._times.unconfirmed_seconds + spread
        return now < self._lists_at

    def note_answer(self, now: float, *, changes: bool) -> float:
        """Record an answer of the store; return the seconds to pause before the next call.

        The pause after changes lets a burst of them arrive in one answer. The time at which the
        view becomes stale is drawn again, so that not all nodes ask at once.
        """
        self._stale_spread = self._rng.uniform(0.0, STALE_SPREAD_SECONDS)
        self._stale_after = self._times.stale_seconds + self._stale_spread
        self._unconfirmed_until = now + self._times.unconfirmed_seconds + self._stale_spread
        return self._times.gather_seconds if changes else 0.0

    def note_failure(self, now: float) -> float:
        """Record a call without a usable answer; return the seconds to pause before the next one.

        The pause depends on the size of the fleet, unless this node lacks a list or is a reader
        that was answered recently.
        """
        self._role.note_failure(now)
        lacks_list = self._watch.must_list and not self._watch.holds_stale
        is_urgent = lacks_list or (self._role.reading and self._role.answered)
        return self._watch.handle_failure(0.0 if is_urgent else self._role.shared_pause_seconds())

    def discard_confirmation(self) -> None:
        """Discard the confirmation, as after a stall, which makes old messages look recent."""
        self._watch.view.confirmed_at = None
        self._unconfirmed_until = float("-inf")
