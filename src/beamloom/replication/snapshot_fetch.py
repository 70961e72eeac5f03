"""Fetches one snapshot, part by part, from several peers that offer identical bytes."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import (
    SnapshotOffered,
    SnapshotPartSent,
    SnapshotPartsRequested,
    SnapshotRequested,
)
from beamloom.replication.configuration_state import ConfigurationState, SnapshotCorruptError
from beamloom.replication.snapshot_sender import SnapshotName

SOURCE_COUNT = 3
OFFER_TIMEOUT_SECONDS = 0.5
SOURCE_SEARCH_INTERVAL_SECONDS = 1.0
REQUEST_WINDOW = 4
PART_TIMEOUT_SECONDS = 10.0
"""Seconds without a part after which a source is dropped; a sender's full queue takes less."""
MAXIMUM_ROUNDS = 10
"""Rounds of requests without an offer before the fetch is abandoned."""
MAXIMUM_SOURCE_SEARCHES = 60
"""Searches for more sources without a received part before another snapshot is chosen."""


@dataclass(slots=True)
class _Source:
    held: set[int] | None
    deadline: float
    outstanding: set[int] = field(default_factory=set)


class SnapshotFetch:
    """One attempt to fetch a snapshot newer than `minimum_revision`.

    Parts come from up to `SOURCE_COUNT` peers in parallel, including peers that are still fetching
    the snapshot. After corrupt data the fetch restarts with one complete source at a time; a peer
    that supplied a corrupt snapshot alone is excluded.
    """

    def __init__(self, minimum_revision: int, rng: random.Random, now: float) -> None:
        self._minimum_revision = minimum_revision
        self._rng = rng
        self._offers: dict[NodeId, SnapshotOffered] = {}
        self._sources: dict[NodeId, _Source] = {}
        self._excluded: set[NodeId] = set()
        self._suppliers: set[NodeId] = set()
        self._single_source = False
        self._timer = now + OFFER_TIMEOUT_SECONDS
        self._rounds = 0
        self._source_searches = 0
        self.name: SnapshotName | None = None
        self.part_count = 0
        self.parts: dict[int, bytes] = {}
        self.corrupt_snapshots = 0

    @property
    def abandoned(self) -> bool:
        """Whether the fetch has ended because no peer offered a newer snapshot."""
        return self.name is None and self._rounds > MAXIMUM_ROUNDS

    @property
    def data(self) -> bytes:
        """The parts received so far, joined."""
        return b"".join(self.parts[index] for index in sorted(self.parts))

    def partial_offer(self) -> SnapshotOffered | None:
        """Return an offer of the parts received so far; None after corrupt data."""
        if self.name is None or not self.parts or self._single_source:
            return None
        bitmap = sum(1 << index for index in self.parts)
        held = bitmap.to_bytes(-(-self.part_count // 8), "little")
        return SnapshotOffered(self.name[0], self.name[1], self.part_count, held)

    def request_offers(self, peers: Sequence[NodeId]) -> list[Command]:
        """Ask up to `SOURCE_COUNT` random peers for an offer."""
        wanted = SnapshotRequested(*(self.name or (self._minimum_revision, b"")))
        unasked = [peer for peer in peers if peer not in self._excluded | self._sources.keys()]
        chosen = self._rng.sample(unasked, min(SOURCE_COUNT, len(unasked)))
        return [SendMessage(peer, wanted) for peer in chosen]

    def offered(self, sender: NodeId, offer: SnapshotOffered, now: float) -> list[Command]:
        """Handle an offer; the first offers decide which snapshot is fetched."""
        if offer.revision <= self._minimum_revision or sender in self._excluded:
            return []
        if self._single_source and offer.held:
            return []
        if self.name is None:
            self._offers[sender] = offer
            return self._choose(now) if len(self._offers) >= SOURCE_COUNT else []
        return self._add_source(sender, offer, now)

    def received(
        self, sender: NodeId, part: SnapshotPartSent, now: float
    ) -> tuple[ConfigurationState | None, list[Command]]:
        """Handle a part; returns the verified state once all parts have arrived."""
        source = self._sources.get(sender)
        known = (part.revision, part.digest) == self.name and 0 <= part.index < self.part_count
        if source is None or not known:
            return None, []
        self.parts.setdefault(part.index, part.data)
        self._suppliers.add(sender)
        source.outstanding.discard(part.index)
        source.deadline = now + PART_TIMEOUT_SECONDS
        self._source_searches = 0
        if len(self.parts) == self.part_count:
            return self._complete(now), []
        return None, [] if source.outstanding else self._request(sender, now)

    def poll(self, peers: Sequence[NodeId], now: float) -> list[Command]:
        """Choose a snapshot among the offers, drop expired sources and search for more."""
        if now < self._timer:
            return []
        self._timer = now + OFFER_TIMEOUT_SECONDS
        if self.name is None:
            self._rounds += 1
            return self._choose(now) if self._offers else self.request_offers(peers)
        self._timer = now + SOURCE_SEARCH_INTERVAL_SECONDS
        self._drop_expired_sources(now)
        if self.name is None or len(self._sources) >= self._source_limit:
            return []
        self._source_searches += 1
        return self.request_offers(peers)

    def next_timer(self) -> float:
        """Return when `poll` is due next."""
        return self._timer

    @property
    def _source_limit(self) -> int:
        return 1 if self._single_source else SOURCE_COUNT

    def _choose(self, now: float) -> list[Command]:
        names = [(item.revision, item.digest) for item in self._offers.values()]
        best = max(names, key=lambda name: (name[0], names.count(name), name[1]))
        offering = {peer: item for peer, item in self._offers.items() if item.digest == best[1]}
        self.name = best
        self.part_count = next(iter(offering.values())).part_count
        commands: list[Command] = []
        for peer, offer in offering.items():
            commands += self._add_source(peer, offer, now)
        return commands

    def _add_source(self, peer: NodeId, offer: SnapshotOffered, now: float) -> list[Command]:
        room = len(self._sources) < self._source_limit and peer not in self._sources
        same = (offer.revision, offer.digest, offer.part_count) == (
            *self._chosen_name,
            self.part_count,
        )
        if not room or not same:
            return []
        bitmap = int.from_bytes(offer.held, "little")
        held = {index for index in range(self.part_count) if bitmap >> index & 1}
        self._sources[peer] = _Source(held if offer.held else None, now + PART_TIMEOUT_SECONDS)
        return self._request(peer, now)

    @property
    def _chosen_name(self) -> SnapshotName:
        assert self.name is not None
        return self.name

    def _request(self, peer: NodeId, now: float) -> list[Command]:
        """Request random parts from a source, preferring those not requested from another one."""
        source = self._sources[peer]
        asked = {index for item in self._sources.values() for index in item.outstanding}
        missing = [index for index in range(self.part_count) if index not in self.parts]
        if source.held is not None:
            missing = [index for index in missing if index in source.held]
        useful = [index for index in missing if index not in asked] or missing
        if not useful:
            del self._sources[peer]
            return []
        chosen = self._rng.sample(useful, min(REQUEST_WINDOW, len(useful)))
        source.outstanding = set(chosen)
        source.deadline = now + PART_TIMEOUT_SECONDS
        return [SendMessage(peer, SnapshotPartsRequested(*self._chosen_name, sorted(chosen)))]

    def _drop_expired_sources(self, now: float) -> None:
        expired = [peer for peer, source in self._sources.items() if now >= source.deadline]
        for peer in expired:
            del self._sources[peer]
        if self._source_searches >= MAXIMUM_SOURCE_SEARCHES or (expired and self._single_source):
            self._restart(now)

    def _complete(self, now: float) -> ConfigurationState | None:
        try:
            return ConfigurationState.decode(self.data, self._chosen_name[1])
        except SnapshotCorruptError:
            self.corrupt_snapshots += 1
            if len(self._suppliers) == 1:
                self._excluded.update(self._suppliers)
            self._single_source = True
            self._restart(now)
            return None

    def _restart(self, now: float) -> None:
        self.name = None
        self._source_searches = 0
        self._offers.clear()
        self.parts = {}
        self._suppliers.clear()
        self._sources.clear()
        self._timer = now
