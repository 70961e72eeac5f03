"""When a node asks the store for one kind of object, what for, and how long it rests in between."""

from __future__ import annotations

import random
from enum import Enum
from typing import Any

from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reader_duty import ReaderDuty
from beamloom.replication.reading_times import STALE_SPREAD_SECONDS, ReadingTimes

STALE_WITHOUT_READERS_SECONDS = 0.7
"""Where no reader is heard of, as after a start of all nodes, a view counts as stale sooner."""


class CallPurpose(Enum):
    """What a call to the store is for; the values are counter labels."""

    START = "start"
    HISTORY_LOST = "history_lost"
    READER = "reader"
    CONFIRMATION = "confirmation"
    RETRY = "retry"


class ReadingTurn:
    """Whether this node is to ask the store for one kind of object, the `kind`th, now.

    `times` are those of the duty where they are not given. With `begins_with_peers` a node that
    starts leaves the first list to its peers to tell, for as long as it would leave to them what
    has changed since a stale list. A node that is no reader does not ask while calls for the kind
    that `leader` reads fail.
    """

    def __init__(
        self,
        watch: ObjectWatch[Any],
        duty: ReaderDuty,
        chance: random.Random,
        kind: int = 0,
        *,
        times: ReadingTimes | None = None,
        begins_with_peers: bool = False,
        leader: ObjectWatch[Any] | None = None,
    ) -> None:
        self._leader = leader
        self._watch = watch
        self._kind = kind
        self._duty = duty
        self._times = duty.times if times is None else times
        self._chance = chance
        self._stale_after = self._times.stale_seconds
        self._spread = 0.0
        self._begins_with_peers = begins_with_peers
        self._lists_from: float | None = None
        self._unconfirmed_until = float("-inf")
        self._gathered = 0.0

    @property
    def purpose(self) -> CallPurpose:
        """What the next call is for; a node that does not read asks to have its view confirmed."""
        if self._watch.failures:
            return CallPurpose.RETRY
        if not self._watch.holds_stale:
            if self._watch.view.revision is None:
                return CallPurpose.START
            if self._watch.must_list:
                return CallPurpose.HISTORY_LOST
        return CallPurpose.READER if self._duty.reads(self._kind) else CallPurpose.CONFIRMATION

    @property
    def wait_seconds(self) -> float:
        """How long a watch may wait: 0 but for a reader that others have heard of."""
        if not self._duty.reads(self._kind) or not self._duty.answered:
            return 0.0
        return self._times.wait_seconds - self._gathered

    def must_ask(self, now: float) -> bool:
        """Whether to ask now: as a reader, for want of a list, or as the view has become stale."""
        if self._duty.reads(self._kind):
            return True
        if self._leader is not None and self._leader.failures:
            return False
        if self._watch.must_list and not self._watch.holds_stale:
            return not self._leaves_list_to_peers(now)
        return self._is_stale(now)

    def _is_stale(self, now: float) -> bool:
        age = self._watch.view.age(now)
        if age is None:
            return now >= self._unconfirmed_until
        if not (self._duty.recent(now) or self._duty.expects_reader):
            return age >= min(self._stale_after, STALE_WITHOUT_READERS_SECONDS + self._spread)
        if self._duty.reading:
            return age >= self._times.overdue_seconds
        return age >= self._stale_after

    def _leaves_list_to_peers(self, now: float) -> bool:
        """Whether a node without a list may yet be told it by its peers.

        Where a stale list was empty, the fleet starts for the first time, and operators have yet to
        write: of 146 nodes that started together each made a call more at full price, to no avail.
        """
        waits = self._begins_with_peers or self._watch.rejected_empty_list
        if not waits or self._watch.view.revision is not None:
            return False
        if self._lists_from is None:
            spread = self._chance.uniform(0.0, STALE_SPREAD_SECONDS)
            self._lists_from = now + self._times.unconfirmed_seconds + spread
        return now < self._lists_from

    def note_answer(self, now: float, *, changes: bool) -> float:
        """Note an answer of the store; return the seconds to rest before the next call.

        Changes come in bursts, each of which would else cost every reader a call of its own. When
        the view will count as stale is drawn anew, so that not all nodes ask at once.
        """
        self._spread = self._chance.uniform(0.0, STALE_SPREAD_SECONDS)
        self._stale_after = self._times.stale_seconds + self._spread
        self._unconfirmed_until = now + self._times.unconfirmed_seconds + self._spread
        self._gathered = self._times.gather_seconds if changes else 0.0
        return self._gathered

    def note_failure(self, now: float) -> float:
        """Note a call without a usable answer; return the seconds to rest before the next one."""
        self._duty.note_failure(now)
        knows_nothing = self._watch.must_list and not self._watch.holds_stale
        relied_on = knows_nothing or (self._duty.reading and self._duty.answered)
        return self._watch.take_failure(0.0 if relied_on else self._duty.shared_pause_seconds())

    def distrust(self) -> None:
        """Ask again before anything else: what was heard meanwhile looks newer than it is."""
        self._watch.view.confirmed_at = None
        self._unconfirmed_until = float("-inf")
