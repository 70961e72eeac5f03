"""Who reads the store: a few nodes, without a controller, and rather those that can do more.

Nodes hear of readers by gossip. A node that has heard fewer than `TARGET_READERS` of them for a
moment drawn by chance becomes one; a reader that hears `TARGET_READERS` others with lower ids
steps back. A reader that is killed, cut or refused is no longer heard of, and others take its
place; two too many for a while cost a few calls, and none breaks nothing, as a node whose view has
not been confirmed for a while asks the store by itself (`reading_times.py`).
"""

from __future__ import annotations

import math
import random
from typing import Any

from beamloom.replication.object_watch import ObjectWatch
from beamloom.replication.reading_times import STALE_SPREAD_SECONDS, ReadingTimes
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms

TARGET_READERS = 2
STALE_WITHOUT_READERS_SECONDS = 0.7
"""Where no reader is heard of, as after a start of all nodes, a view counts as stale sooner."""
LONGEST_HESITATION_SECONDS = 0.8
LISTENING_SECONDS = 0.8
"""A node that has just started hears of its peers' readers before it may become one."""
OUTAGE_CALLS_PER_SECOND = 20.0
"""About so often a fleet asks a store that answers none of its nodes: by choice, a twentieth of a
second is soon enough to notice its return, and what one node notices it tells the others."""
KINDS_READ = 2
"""Kinds of object that each node asks for: backends and configurations."""


LEAST_CORES = 0.05
LEAST_LINK_MEGABITS = 5.0
LOWEST_RANK = 9
RANK_DIGITS = 1


def reader_id_of(cores: float, link_megabits: float, start: str) -> str:
    """Return the id of one start of a node: its rank as a reader, then what is its own.

    Each doubling of both processor and link makes the rank one better; 0 is the best.
    """
    steps = math.log2(min(cores / LEAST_CORES, link_megabits / LEAST_LINK_MEGABITS))
    rank = LOWEST_RANK - max(0, min(LOWEST_RANK, int(steps)))
    return f"{rank}{start}"


class ReaderDuty:
    """Whether this node reads the store. `reader_id` begins with its rank; ids compare as text."""

    def __init__(
        self,
        reader_id: str,
        chance: random.Random,
        times: ReadingTimes,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self.reading = False
        self._mechanisms = mechanisms
        self.times = times
        self.reader_id = reader_id
        self._now = 0.0
        self._chance = chance
        self._heard: dict[str, float] = {}
        self._starts_at: float | None = None
        self._listens_until: float | None = None
        self._failed_at = float("-inf")
        self.peer_count = 0

    def note_answer(self, now: float) -> None:
        """Note that the store answered this node.

        Only a reader's answers count: a node that asked once, as its view was stale, would keep
        others from becoming readers.
        """
        self._failed_at = float("-inf")
        if self.reading:
            self._heard[self.reader_id] = now

    def note_failure(self, now: float) -> None:
        """Note that the store did not answer this node: for now it is not one to rely on."""
        self._failed_at = now

    def shared_pause_seconds(self) -> float:
        """Return the pause between calls that fail, the longer the more nodes call as well."""
        shared = KINDS_READ * (self.peer_count + 1) / OUTAGE_CALLS_PER_SECOND
        return min(shared, self.times.outage_pause_seconds)

    @property
    def answered(self) -> bool:
        """Whether the store has answered this reader lately, so that others hear of it.

        A first watch that waits lets all nodes that start together become readers meanwhile.
        """
        return self.reader_id in self._heard

    def note_reader(self, reader_id: str, at: float) -> None:
        """Note that the store answered another node at a moment."""
        self._heard[reader_id] = max(at, self._heard.get(reader_id, at))

    def advance(self, now: float) -> bool:
        """Take up or give up the duty; return whether that changed anything."""
        self._now = now
        if not self._mechanisms.few_readers:
            was, self.reading = self.reading, True
            return not was
        others = [name for name in self.recent(now) if name != self.reader_id]
        if self.reading:
            lower = sum(name < self.reader_id for name in others)
            if lower >= TARGET_READERS:
                self.reading = False
                return True
            return False
        fails = now - self._failed_at < self.times.silence_seconds
        if len(others) >= TARGET_READERS or fails:
            self._starts_at = None
            return False
        if self._listens_until is None:
            self._listens_until = now + LISTENING_SECONDS
        if self._starts_at is None:
            self._starts_at = max(now, self._listens_until) + self._hesitation()
        if now < self._starts_at:
            return False
        self._starts_at = None
        self.reading = True
        return True

    def reads(self, kind: int) -> bool:
        """Whether this node, as a reader, is the one that reads the kind of this number.

        The readers that are heard of share the kinds among them; a reader that hears of no other
        reads all. Two that do not hear the same both read, or neither: then the view becomes stale.
        """
        if not self.reading:
            return False
        if not (self._mechanisms.few_readers and self._mechanisms.shared_kinds):
            return True
        readers = sorted({*self.recent(self._now), self.reader_id})[:TARGET_READERS]
        return self.reader_id in readers and readers.index(self.reader_id) == kind % len(readers)

    def _hesitation(self) -> float:
        """Draw how long to hesitate; nodes of a better rank come first."""
        rank = int(self.reader_id[:RANK_DIGITS], 16) / LOWEST_RANK
        half = LONGEST_HESITATION_SECONDS / 2
        return min(1.0, rank) * half + self._chance.uniform(0.0, half)

    def foremost(self, now: float) -> list[tuple[str, float]]:
        """Return the recent readers that others must know of: those with the lowest ids."""
        return sorted(self.recent(now).items())[: TARGET_READERS + 1]

    def recent(self, now: float) -> dict[str, float]:
        """Return the readers heard of lately and when the store last answered each."""
        self._heard = {
            name: at for name, at in self._heard.items() if now - at < self.times.silence_seconds
        }
        return self._heard


class ReadingTurn:
    """Whether this node is to ask the store for one kind of object, the `kind`th, now."""

    def __init__(
        self, watch: ObjectWatch[Any], duty: ReaderDuty, chance: random.Random, kind: int = 0
    ) -> None:
        self._watch = watch
        self._kind = kind
        self._duty = duty
        self._chance = chance
        self._stale_after = duty.times.stale_seconds
        self._spread = 0.0
        self._unconfirmed_until = float("-inf")
        self._gathered = 0.0

    @property
    def wait_seconds(self) -> float:
        """How long a watch may wait: 0 but for a reader that others have heard of."""
        if not self._duty.reads(self._kind) or not self._duty.answered:
            return 0.0
        return self._duty.times.wait_seconds - self._gathered

    def must_ask(self, now: float) -> bool:
        """Whether to ask now: as a reader, for want of a list, or as the view has become stale."""
        if self._watch.must_list or self._duty.reads(self._kind):
            return True
        age = self._watch.view.age(now)
        if age is None:
            return now >= self._unconfirmed_until
        if not self._duty.recent(now):
            return age >= min(self._stale_after, STALE_WITHOUT_READERS_SECONDS + self._spread)
        if self._duty.reading:
            return age >= self._duty.times.overdue_seconds
        return age >= self._stale_after

    def note_answer(self, now: float, *, changes: bool) -> float:
        """Note an answer of the store; return the seconds to rest before the next call.

        Changes come in bursts, each of which would else cost every reader a call of its own. When
        the view will count as stale is drawn anew, so that not all nodes ask at once.
        """
        self._spread = self._chance.uniform(0.0, STALE_SPREAD_SECONDS)
        self._stale_after = self._duty.times.stale_seconds + self._spread
        self._unconfirmed_until = now + self._duty.times.unconfirmed_seconds + self._spread
        self._gathered = self._duty.times.gather_seconds if changes else 0.0
        return self._gathered

    def note_failure(self, now: float) -> float:
        """Note a call without a usable answer; return the seconds to rest before the next one."""
        self._duty.note_failure(now)
        relied_on = self._watch.must_list or (self._duty.reading and self._duty.answered)
        return self._watch.take_failure(0.0 if relied_on else self._duty.shared_pause_seconds())

    def distrust(self) -> None:
        """Ask again before anything else: what was heard meanwhile looks newer than it is."""
        self._watch.view.confirmed_at = None
        self._unconfirmed_until = float("-inf")
