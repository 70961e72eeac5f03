"""Who reads the store: a few nodes, without a controller, and rather those that can do more.

Nodes hear of readers by gossip. A node that has heard fewer than `TARGET_READERS` of them for a
moment drawn by chance becomes one; a reader that hears `TARGET_READERS` others with lower ids
steps back. A reader that is killed, cut or refused is no longer heard of, and others take its
place; two too many for a while cost a few calls, and none breaks nothing, as a node whose view has
not been confirmed for a while asks the store by itself (`reading_times.py`).
"""

from __future__ import annotations

import random

from beamloom.replication.reading_times import ReadingTimes
from beamloom.settings.capacity import LOWEST_RANK, Capacity
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms

TARGET_READERS = 2
"""One that is lost is noticed while the other still reads; more would only cost calls."""
LONGEST_HESITATION_SECONDS = 0.8
"""Half of it by rank, half by chance, well below the shortest staleness (2 s)."""
LISTENING_SECONDS = 0.3
"""A node that has just met its peers hears of their readers before it may become one: a heartbeat
of nodes that meet (MEETING_HEARTBEAT_SECONDS).
"""
LONGEST_JOIN_SECONDS = 3.0
"""A node that has met no peers by then does without them; joining takes a second on slow ones."""
OUTAGE_CALLS_PER_SECOND = 20.0
"""About so often a fleet asks a store that answers none of its nodes: a twentieth of a
second is soon enough to notice its return, and what one node notices it tells the others.
"""
KINDS_READ = 2
"""Kinds of object that each node asks for while the store fails: backends and configurations."""

RANK_DIGITS = 1
"""Ranks are a decimal digit at the beginning of an id, as ids compare as text."""


def reader_id_of(cores: float, link_megabits: float, start: str) -> str:
    """Return the id of one start of a node: its rank as a reader, then what is its own."""
    return f"{Capacity(cores, link_megabits).rank}{start}"


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
        self.sheds = False
        self._mechanisms = mechanisms
        self.times = times
        self.reader_id = reader_id
        self._now = 0.0
        self._chance = chance
        self._heard: dict[str, float] = {}
        self._starts_at: float | None = None
        self._began_at: float | None = None
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

    def note_reader(self, reader_id: str, at: float) -> bool:
        """Note that the store answered another node at a moment.

        Return whether that is one of the readers to rely on, and was unknown.
        """
        is_new = reader_id not in self._heard
        self._heard[reader_id] = max(at, self._heard.get(reader_id, at))
        return is_new and reader_id in sorted(self._heard)[:TARGET_READERS]

    @property
    def expects_reader(self) -> bool:
        """Whether this node has met its peers so lately that a reader may yet be heard of."""
        if self._listens_until is None:
            return True
        return self._now < self._listens_until + LONGEST_HESITATION_SECONDS

    def advance(self, now: float, *, joined: bool = True) -> bool:
        """Take up or give up the duty; return whether that changed anything.

        `joined` tells whether this node hears its peers by now.
        """
        self._now = now
        before = self.reading
        if not self._mechanisms.few_readers:
            self.reading = True
        elif self.reading:
            lower = sum(name < self.reader_id for name in self.recent(now))
            self.reading = lower < TARGET_READERS and not self._leaves_it_to_others(now)
        else:
            self.reading = self._takes_up(now, joined)
        return self.reading != before

    def _leaves_it_to_others(self, now: float) -> bool:
        """Whether this node is near its own limits and another one reads."""
        return self.sheds and len(self.recent(now).keys() - {self.reader_id}) > 0

    def _takes_up(self, now: float, joined: bool) -> bool:
        """Whether to become a reader now: too few are heard of, for a moment drawn by chance."""
        if self._began_at is None:
            self._began_at = now
        if self._listens_until is None and (joined or now - self._began_at > LONGEST_JOIN_SECONDS):
            self._listens_until = now + LISTENING_SECONDS
        fails = now - self._failed_at < self.times.silence_seconds
        others = self.recent(now).keys() - {self.reader_id}
        is_spared = self._leaves_it_to_others(now)
        if self._listens_until is None or fails or is_spared or len(others) >= TARGET_READERS:
            self._starts_at = None
            return False
        if self._starts_at is None:
            self._starts_at = max(now, self._listens_until) + self._hesitation()
        if now < self._starts_at:
            return False
        self._starts_at = None
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
