"""The hosts of other nodes, as far as a node has heard of them lately.

Most of what a node tells goes to peers of its own zone: bytes between zones cost more, and a few of
them suffice for news to get there.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from beamloom.settings.capacity import LEAST, LOWEST_RANK, Capacity, weight_of_rank

PEER_SILENCE_SECONDS = 15.0
MAXIMUM_PEERS = 2048
SAMPLE_SIZE = 8
OWN_ZONE_SHARE = 0.85
MOST_TOLD = 24
"""Peers that the ablest machine tells: some 6 kB of digests for each change."""
UNKNOWN_RANK = -1
"""In messages, of a host that has not told what it can do."""


class PeerTable:
    """Hosts with the moment at which each was last alive. `seeds` are asked while few are known.

    Hosts that nobody has told the zone of count as those of another one.
    """

    def __init__(
        self,
        host: str,
        seeds: Iterable[str],
        chance: random.Random,
        zone: str = "",
        capacity: Capacity = LEAST,
    ) -> None:
        self.host = host
        self.zone = zone
        self.capacity = capacity
        self._ableness = 1.0
        self._ranks: dict[str, int] = {}
        self._capacities: dict[str, Capacity] = {}
        self._zones: dict[str, str] = {}
        self._chance = chance
        self._heard: dict[str, float] = {}
        self.seeds: list[str] = []
        self.use_seeds(seeds)

    def use_seeds(self, seeds: Iterable[str]) -> None:
        """Ask these hosts from now on while few are known."""
        self.seeds = [seed for seed in seeds if seed != self.host]

    def __len__(self) -> int:
        return len(self._heard)

    def note(self, host: str, at: float, now: float) -> bool:
        """Note that a host was alive at a moment; return whether it was unknown."""
        if host == self.host or now - at >= PEER_SILENCE_SECONDS:
            return False
        known = self._heard.get(host)
        if known is None and len(self._heard) >= MAXIMUM_PEERS:
            return False
        if known is None or at > known:
            self._heard[host] = at
        return known is None

    def note_zone(self, host: str, zone: str) -> None:
        """Note the zone that a host says it is in."""
        if host in self._heard and zone:
            self._zones[host] = zone

    def note_capacity(self, host: str, capacity: Capacity) -> None:
        """Note what a host says it can do."""
        if host in self._heard:
            self._capacities[host] = capacity
            self._ranks[host] = capacity.rank

    def note_rank(self, host: str, rank: int) -> None:
        """Note the rank that another host tells of this one; its own word goes first."""
        is_told = host in self._capacities or host not in self._heard
        if not is_told and isinstance(rank, int) and 0 <= rank <= LOWEST_RANK:
            self._ranks[host] = rank

    def capacity_of(self, host: str) -> Capacity | None:
        """Return what a host said it can do; None where it has not said so here."""
        return self._capacities.get(host)

    def rank_of(self, host: str) -> int | None:
        """Return the rank of a host; None where nobody has told it."""
        return self.capacity.rank if host == self.host else self._ranks.get(host)

    def weight_of(self, host: str) -> int:
        """Return how many times the roles of the least machine a host can bear.

        A host whose rank nobody has told counts as this node itself.
        """
        rank = self.rank_of(host)
        return self.capacity.weight if rank is None else weight_of_rank(rank)

    def knows(self, host: str) -> bool:
        """Return whether a host was heard of lately."""
        return host in self._heard

    def is_near(self, host: str) -> bool:
        """Return whether a host is known to be in this node's zone."""
        return self._zones.get(host) == self.zone

    def fan_out(self, count: int) -> int:
        """Return to how many peers this node passes on what usually goes to `count`.

        Able machines tell more. None tells fewer: with three peers told by each of the least, a
        change took 1 s to reach the last of 150 nodes, and 0.05 s with five to seven (in memory).
        """
        return max(count, min(MOST_TOLD, round(count * self._ableness)))

    def forget_silent(self, now: float) -> None:
        """Drop hosts that nobody has heard for long."""
        self._heard = {
            host: at for host, at in self._heard.items() if now - at < PEER_SILENCE_SECONDS
        }
        self._zones = {host: zone for host, zone in self._zones.items() if host in self._heard}
        self._ranks = {host: rank for host, rank in self._ranks.items() if host in self._heard}
        self._capacities = {
            host: told for host, told in self._capacities.items() if host in self._heard
        }
        self._compare_with_peers()

    def _compare_with_peers(self) -> None:
        """Take how much more than its peers, on average, this node can bear."""
        weights = [self.weight_of(host) for host in self._heard]
        self._ableness = self.capacity.weight * len(weights) / sum(weights) if weights else 1.0

    def choose(self, count: int) -> list[str]:
        """Return up to so many hosts, drawn by chance; all of them where there are no more."""
        hosts = sorted(self._heard)
        if len(hosts) <= count:
            return hosts
        near = [host for host in hosts if self._zones.get(host) == self.zone]
        far = [host for host in hosts if self._zones.get(host) != self.zone]
        from_near = int(count * OWN_ZONE_SHARE + self._chance.random())
        from_near = max(count - len(far), min(from_near, len(near)))
        chosen = self._chance.sample(near, from_near)
        return chosen + self._chance.sample(far, count - from_near)

    def hosts(self) -> Iterable[str]:
        """Return all hosts heard of lately."""
        return self._heard.keys()

    def of_own_zone(self) -> list[str]:
        """Return the hosts that are known to be in this node's zone."""
        return [host for host, zone in self._zones.items() if zone == self.zone]

    def sample(self, now: float) -> list[tuple[str, float]]:
        """Return a few hosts of any zone and how long ago each was heard, in seconds."""
        hosts = sorted(self._heard)
        drawn = self._chance.sample(hosts, min(SAMPLE_SIZE, len(hosts)))
        return [(host, now - self._heard[host]) for host in drawn]
