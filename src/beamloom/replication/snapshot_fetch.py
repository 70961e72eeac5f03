"""Fetches one snapshot, part by part, from several peers that offer the very same bytes."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import (
    SnapshotOffered,
    SnapshotPartSent,
    SnapshotPartsRequested,
    SnapshotRequested,
)
from beamloom.replication.configuration_state import ConfigurationState, SnapshotCorruptError
from beamloom.replication.snapshot_sender import SnapshotName
from beamloom.world.machines import NodeId

SOURCE_COUNT = 3
OFFER_TIMEOUT = 0.5
REQUEST_WINDOW = 4
PART_TIMEOUT = 4.0
MAXIMUM_STALLS = 5
MAXIMUM_ROUNDS = 10
"""Rounds of asking without an offer before the fetch is given up; a digest starts the next."""


@dataclass(slots=True)
class _Source:
    outstanding: set[int] = field(default_factory=set)
    deadline: float = 0.0
    stalls: int = 0


class SnapshotFetch:
    """One attempt to fetch a snapshot newer than `minimum_revision`.

    After corrupt bytes it goes on with one source at a time, and leaves out each that is at fault.
    """

    def __init__(self, minimum_revision: int, chance: random.Random, now: float) -> None:
        self._minimum_revision = minimum_revision
        self._chance = chance
        self._offers: dict[NodeId, SnapshotOffered] = {}
        self._name: SnapshotName | None = None
        self._part_count = 0
        self._parts: dict[int, bytes] = {}
        self._sources: dict[NodeId, _Source] = {}
        self._timer = now + OFFER_TIMEOUT
        self._rounds = 0
        self._distrusted: set[NodeId] = set()
        self._source_count = SOURCE_COUNT
        self.corrupt_snapshots = 0

    @property
    def abandoned(self) -> bool:
        """Whether no peer offered anything newer."""
        return self._name is None and self._rounds > MAXIMUM_ROUNDS

    @property
    def name(self) -> SnapshotName | None:
        """The snapshot that is being fetched."""
        return self._name

    def ask(self, peers: Sequence[NodeId]) -> list[Command]:
        """Ask some peers what they can send."""
        wanted = SnapshotRequested(*(self._name or (0, b"")))
        trusted = [peer for peer in peers if peer not in self._distrusted]
        chosen = self._chance.sample(trusted, min(SOURCE_COUNT, len(trusted)))
        return [SendMessage(peer, wanted) for peer in chosen]

    def offered(self, sender: NodeId, offer: SnapshotOffered, now: float) -> list[Command]:
        """Take an offer; the first ones decide which snapshot it is to be."""
        if offer.revision <= self._minimum_revision or sender in self._distrusted:
            return []
        if self._name is None:
            self._offers[sender] = offer
            return self._choose(now) if len(self._offers) >= SOURCE_COUNT else []
        room = len(self._sources) < self._source_count
        if room and (offer.revision, offer.digest) == self._name:
            self._sources.setdefault(sender, _Source())
            return self._request(sender, now)
        return []

    def received(
        self, sender: NodeId, part: SnapshotPartSent, now: float
    ) -> tuple[ConfigurationState | None, list[Command]]:
        """Take a part; returns the verified state once the last one is there."""
        known = (part.revision, part.digest) == self._name and 0 <= part.index < self._part_count
        if not known:
            return None, []
        source = self._sources.get(sender)
        if source is None:
            return None, []
        self._parts.setdefault(part.index, part.data)
        source.outstanding.discard(part.index)
        source.deadline = now + PART_TIMEOUT
        source.stalls = 0
        if len(self._parts) < self._part_count:
            return None, [] if source.outstanding else self._request(sender, now)
        return self._complete(now), []

    def poll(self, peers: Sequence[NodeId], now: float) -> list[Command]:
        """Choose an offer, ask again for parts that did not come, and look for more sources."""
        if now < self._timer:
            return []
        self._timer = now + OFFER_TIMEOUT
        if self._name is None:
            self._rounds += 1
            return self._choose(now) if self._offers else self.ask(peers)
        commands = self._retry(now)
        if len(self._sources) < self._source_count:
            self._timer = now + PART_TIMEOUT / 2
            others = [peer for peer in peers if peer not in self._sources]
            commands += self.ask(others)
        return commands

    def next_timer(self) -> float:
        """Return when `poll` has something to do."""
        return self._timer

    def _choose(self, now: float) -> list[Command]:
        offers = list(self._offers.values())
        best = max(offers, key=lambda item: (item.revision, offers.count(item), item.digest))
        self._name = (best.revision, best.digest)
        self._part_count = best.part_count
        commands: list[Command] = []
        offering = [peer for peer, offer in self._offers.items() if offer == best]
        for peer in offering[: self._source_count]:
            self._sources[peer] = _Source()
            commands += self._request(peer, now)
        return commands

    def _request(self, peer: NodeId, now: float) -> list[Command]:
        assert self._name is not None
        source = self._sources[peer]
        asked = {index for item in self._sources.values() for index in item.outstanding}
        missing = [index for index in range(self._part_count) if index not in self._parts]
        free = [index for index in missing if index not in asked]
        source.outstanding = set((free or missing)[:REQUEST_WINDOW])
        source.deadline = now + PART_TIMEOUT
        if not source.outstanding:
            return []
        indexes = sorted(source.outstanding)
        return [SendMessage(peer, SnapshotPartsRequested(*self._name, indexes))]

    def _retry(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for peer, source in list(self._sources.items()):
            if now < source.deadline:
                continue
            source.stalls += 1
            source.outstanding.clear()
            if source.stalls > MAXIMUM_STALLS:
                del self._sources[peer]
            else:
                commands += self._request(peer, now)
        if not self._sources:
            self._restart(now)
        return commands

    def _complete(self, now: float) -> ConfigurationState | None:
        assert self._name is not None
        data = b"".join(self._parts[index] for index in range(self._part_count))
        try:
            return ConfigurationState.decode(data, self._name[1])
        except SnapshotCorruptError:
            self.corrupt_snapshots += 1
            if len(self._sources) == 1:
                self._distrusted.update(self._sources)
            self._source_count = 1
            self._restart(now)
            return None

    def _restart(self, now: float) -> None:
        self._name = None
        self._offers.clear()
        self._parts.clear()
        self._sources.clear()
        self._timer = now
