"""Chooses the few nodes that read the store, by gossip and without a coordinator.

Digests carry the ids of recent readers. A node that knows of fewer than `TARGET_READERS` others for
a random time becomes a reader; a reader that knows of `TARGET_READERS` others with lower ids steps
down. Ids begin with the machine's rank, so that machines with more capacity are preferred. A reader
that fails, is partitioned or is refused by the store expires and is replaced. Extra readers cost a
few calls. Without any, nodes whose views are not confirmed in time ask the store themselves
(`store_call_times.py`).
"""

from __future__ import annotations

import random

from beamloom.replication.store_call_times import StoreCallTimes
from beamloom.settings.capacity import LOWEST_RANK, Capacity
from beamloom.settings.mechanisms import ALL_MECHANISMS, Mechanisms

TARGET_READERS = 2
"""If one is lost, the other still reads until it is replaced; more would only cost calls."""
MAXIMUM_START_DELAY_SECONDS = 0.8
"""The longest delay before becoming a reader, half of it by rank and half random; well below the
shortest staleness (2 s).
"""
READER_DISCOVERY_SECONDS = 0.3
"""How long a node that has just joined waits for digests with readers before it may become one: a
heartbeat during discovery (DISCOVERY_HEARTBEAT_SECONDS).
"""
MAXIMUM_JOIN_SECONDS = 3.0
"""A node that has not joined by then may become a reader; slow machines take a second to join."""
OUTAGE_CALLS_PER_SECOND = 20.0
"""The approximate rate at which a whole fleet calls a store that does not answer. The first node
that gets an answer spreads it to the others.
"""
KINDS_READ = 2
"""Kinds of object that each node requests while the store fails: backends and configurations."""

RANK_DIGITS = 1
"""The digits of the rank at the beginning of an id; ids are compared as text."""


def reader_id_of(cores: float, link_megabits: float, start: str) -> str:
    """Return a reader id: the rank of the machine, followed by a text unique to this start."""
    return f"{Capacity(cores, link_megabits).rank}{start}"


class ReaderRole:
    """The reader role of one node; `reader_id` begins with its rank.

    With `is_shedding` set it yields the role to another reader.
    """

    def __init__(
        self,
        reader_id: str,
        rng: random.Random,
        times: StoreCallTimes,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self.reading = False
        self.is_shedding = False
        self._mechanisms = mechanisms
        self.times = times
        self.reader_id = reader_id
        self._now = 0.0
        self._rng = rng
        self._readers_seen: dict[str, float] = {}
        self._becomes_reader_at: float | None = None
        self._started_at: float | None = None
        self._listens_until: float | None = None
        self._failed_at = float("-inf")
        self.peer_count = 0

    def note_answer(self, given_at: float) -> None:
        """Record an answer of the store to this node, which was not given before a time.

        Only a reader's answers are advertised: a node that asked once because its view was stale
        would keep others from becoming readers.
        """
        self._failed_at = float("-inf")
        if self.reading:
            known = self._readers_seen.get(self.reader_id, given_at)
            self._readers_seen[self.reader_id] = max(known, given_at)

    def note_failure(self, now: float) -> None:
        """Record a failed call; this node does not become a reader for `silence_seconds`."""
        self._failed_at = now

    def shared_pause_seconds(self) -> float:
        """Return the pause between failing calls, which grows with the fleet up to a limit."""
        shared = KINDS_READ * (self.peer_count + 1) / OUTAGE_CALLS_PER_SECOND
        return min(shared, self.times.outage_pause_seconds)

    @property
    def answered(self) -> bool:
        """Whether the store recently answered this reader, so that digests advertise it.

        Before that its watches must not wait, or all nodes that start together become readers.
        """
        return self.reader_id in self._readers_seen

    def note_reader(self, reader_id: str, at: float) -> bool:
        """Record when the store answered another reader.

        Return whether it was unknown and has one of the TARGET_READERS lowest ids.
        """
        is_new = reader_id not in self._readers_seen
        self._readers_seen[reader_id] = max(at, self._readers_seen.get(reader_id, at))
        return is_new and reader_id in sorted(self._readers_seen)[:TARGET_READERS]

    @property
    def expects_reader(self) -> bool:
        """Whether this node joined so recently that it may not know of a reader yet."""
        if self._listens_until is None:
            return True
        return self._now < self._listens_until + MAXIMUM_START_DELAY_SECONDS

    def advance(self, now: float, *, joined: bool = True) -> bool:
        """Become a reader or step down; return whether the role changed.

        `joined` is whether this node exchanges views with peers yet.
        """
        self._now = now
        before = self.reading
        if not self._mechanisms.few_readers:
            self.reading = True
        elif self.reading:
            lower = sum(name < self.reader_id for name in self.recent(now))
            self.reading = lower < TARGET_READERS and not self._yields_to_other_reader(now)
        else:
            self.reading = self._should_become_reader(now, joined)
        return self.reading != before

    def _yields_to_other_reader(self, now: float) -> bool:
        """Whether this node sheds load and another reader is known."""
        return self.is_shedding and len(self.recent(now).keys() - {self.reader_id}) > 0

    def _should_become_reader(self, now: float, joined: bool) -> bool:
        """Whether too few readers were known for the whole random delay of this node."""
        if self._started_at is None:
            self._started_at = now
        if self._listens_until is None and (
            joined or now - self._started_at > MAXIMUM_JOIN_SECONDS
        ):
            self._listens_until = now + READER_DISCOVERY_SECONDS
        has_failed = now - self._failed_at < self.times.silence_seconds
        others = self.recent(now).keys() - {self.reader_id}
        yields = self._yields_to_other_reader(now)
        if self._listens_until is None or has_failed or yields or len(others) >= TARGET_READERS:
            self._becomes_reader_at = None
            return False
        if self._becomes_reader_at is None:
            self._becomes_reader_at = max(now, self._listens_until) + self._start_delay()
        if now < self._becomes_reader_at:
            return False
        self._becomes_reader_at = None
        return True

    def reads(self, kind: int) -> bool:
        """Whether this node is the reader of the kind with this number.

        The known readers divide the kinds among them; a reader that knows of no other reads all.
        If two know of different readers, both or neither may read a kind; in the latter case its
        views become stale, and nodes ask the store themselves.
        """
        if not self.reading:
            return False
        if not (self._mechanisms.few_readers and self._mechanisms.shared_kinds):
            return True
        readers = sorted({*self.recent(self._now), self.reader_id})[:TARGET_READERS]
        return self.reader_id in readers and readers.index(self.reader_id) == kind % len(readers)

    def _start_delay(self) -> float:
        """Draw the delay before becoming a reader; it is shorter for a better rank."""
        rank = int(self.reader_id[:RANK_DIGITS], 16) / LOWEST_RANK
        half = MAXIMUM_START_DELAY_SECONDS / 2
        return min(1.0, rank) * half + self._rng.uniform(0.0, half)

    def advertised_readers(self, now: float) -> list[tuple[str, float]]:
        """Return the recent readers to put into digests: those with the lowest ids."""
        return sorted(self.recent(now).items())[: TARGET_READERS + 1]

    def recent(self, now: float) -> dict[str, float]:
        """Return the recent readers and when the store last answered each; drop older ones."""
        self._readers_seen = {
            name: at
            for name, at in self._readers_seen.items()
            if now - at < self.times.silence_seconds
        }
        return self._readers_seen
